package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against starts without a valid ticket, starts on workers that the adviser does not approve, and repeated calls
// to the adviser about the same workers.
func TestAdvisedQueue(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 6)
	p.approved = map[string]bool{"b": true, "e": true}
	p.s.Adviser = true
	p.run(200 * time.Millisecond)
	second := step(40, 8000) // more than two workers can run at once, so that tickets expire before the last start
	second.After = []int{0}
	p.submit(jobA, step(4, 8000), second)
	p.run(8 * time.Second)
	is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	is.Equal(p.invalidTickets, 0)
	is.Equal(p.overCapacity, 0)
	for _, o := range p.orders {
		is.True(p.approved[o.Worker.ID])
	}
	// The adviser is asked about six workers for each of two steps, and again about the two approved workers at most six
	// times: the steps run for about 4 s, and a ticket can be used for 0.7 s (validity minus ticketMargin).
	is.True(p.workersQueried <= 2*6+2*6)
}

// Guards against use of a ticket for a later incarnation of its worker.
func TestTicketsEndWithTheLife(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.approved = map[string]bool{"a": true, "b": true}
	p.s.Adviser = true
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(20, 16000))
	p.run(300 * time.Millisecond)
	for i, w := range p.workers {
		w.startedAt, w.lease, w.token, w.seq = p.now, 0, 0, 0
		w.ended, w.runs, w.barred = nil, map[cuminstair.TaskID]*fakeRun{}, map[cuminstair.TaskID]int64{}
		w.info.Incarnation += 5000
		p.list[i].Incarnation = w.info.Incarnation
	}
	p.s.SetWorkers(p.now, p.list)
	p.run(8 * time.Second)
	is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	is.Equal(p.invalidTickets, 0)
}

// Guards against accepting a job that needs advice when no adviser is configured.
func TestAdvisedQueueWithoutAdviser(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.approved = map[string]bool{}
	p.run(200 * time.Millisecond)
	a := p.submit(jobA, step(1, 1000))
	is.Equal(a.Outcome, dispatch.Impossible)
}
