package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against starts without a valid ticket, on workers that the policy of the queue leaves out, and against questions
// about the same workers again and again.
func TestAdvisedQueue(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 6)
	p.good = map[string]bool{"b": true, "e": true}
	p.s.Adviser = true
	p.run(200 * time.Millisecond)
	second := step(40, 8000) // more than two workers have room for at once, so that tickets run out meanwhile
	second.After = []int{0}
	p.submit(jobA, step(4, 8000), second)
	p.run(8 * time.Second)
	is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	is.Equal(p.barred, 0)
	is.Equal(p.over, 0)
	for _, o := range p.orders {
		is.True(p.good[o.Worker.ID])
	}
	// Six workers for each step, and the two good ones again whenever their tickets have run out: 4 s / 0.7 s.
	is.True(p.asked <= 2*6+2*6)
}

// Guards against a ticket that is used for another life of its worker.
func TestTicketsEndWithTheLife(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.good = map[string]bool{"a": true, "b": true}
	p.s.Adviser = true
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(20, 16000))
	p.run(300 * time.Millisecond)
	for i, w := range p.workers {
		w.birth, w.lease, w.token, w.seq = p.now, 0, 0, 0
		w.ended, w.runs, w.barred = nil, map[cuminstair.TaskID]*fakeRun{}, map[cuminstair.TaskID]int64{}
		w.info.Born += 5000
		p.list[i].Born = w.info.Born
	}
	p.s.SetWorkers(p.now, p.list)
	p.run(8 * time.Second)
	is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	is.Equal(p.barred, 0)
}

// Guards against jobs that are accepted though nobody can say where they may run.
func TestAdvisedQueueWithoutAdviser(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.good = map[string]bool{}
	p.run(200 * time.Millisecond)
	a := p.submit(jobA, step(1, 1000))
	is.Equal(a.Outcome, dispatch.Never)
}
