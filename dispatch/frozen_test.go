package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against an owner that stops a task at work as making no progress after it was frozen: the first report after the
// freeze lists an end, so that it may be stale and is left unread, and the progress that the owner knows is old.
func TestFrozenOwnerDoesNotStopTasksAtWork(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 1)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Second }
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.submit(jobB, step(1, 1000))
	p.run(600 * time.Millisecond) // both run, and the long-running task has not started up
	is.Equal(len(p.workers[0].runs), 2)
	freeze(p)
	p.workers[0].hangs = true
	p.now = p.now.Add(100 * time.Millisecond)
	for _, o := range p.s.Decide(p.now, p.now) {
		is.True(o.Kind != dispatch.OrderStop)
	}
}

// freeze lets time pass without the owner, which then takes a step.
func freeze(p *pool) {
	p.now = p.now.Add(3600 * time.Millisecond)
	p.endRuns()
	for _, o := range p.s.Decide(p.now, p.now) {
		p.execute(o)
	}
}
