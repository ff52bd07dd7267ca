package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// limitedStep returns a step that allows copies and one task on each worker.
func limitedStep(count int) cuminstair.JobStep {
	st := step(count, 2000)
	st.Duplicates, st.PerWorker = true, 1
	return st
}

// endRunOn ends the run of the step on a worker as done.
func (p *pool) endRunOn(w *fakeWorker) {
	for id, r := range w.runs {
		w.end(id, r, cuminstair.EndDone)
	}
}

// Guards against a task that starts beside a run of its step, beyond the limit of tasks on a worker, since the task of that run has
// a copy elsewhere: the worker did not answer for some time.
func TestRunWithACopyElsewhereCountsTowardsTheLimit(t *testing.T) {
	p := newPool(t, 4)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	p.submit(jobA, limitedStep(8))
	p.run(300 * time.Millisecond)
	p.is.Equal(len(p.busy()), 4)
	silent, ends := p.workers[0], p.workers[1]
	silent.partitioned = true
	p.run(1500 * time.Millisecond) // a copy of its task is due
	p.endRunOn(ends)
	p.run(200 * time.Millisecond)
	p.is.Equal(len(ends.runs), 1) // the copy
	silent.partitioned = false
	p.run(2 * time.Second)
	p.is.Equal(len(silent.runs), 1)
	p.is.Equal(p.overLimit, 0)
}

// Guards against a task that starts beside a run of its step, beyond the limit of tasks on a worker, since that run was found after a
// takeover while a copy ran elsewhere, and is being stopped.
func TestFoundRunThatIsStoppedCountsTowardsTheLimit(t *testing.T) {
	p := newPool(t, 4)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	p.submit(jobA, limitedStep(6))
	p.run(300 * time.Millisecond)
	p.is.Equal(len(p.busy()), 4)
	silent, ends := p.workers[3], p.workers[0]
	silent.partitioned = true
	p.endRunOn(ends)
	p.takeOver(200, 6*time.Second)
	p.run(1500 * time.Millisecond)
	p.is.Equal(len(ends.runs), 1) // a copy of the task of the silent worker
	silent.partitioned = false
	p.run(2 * time.Second)
	p.is.Equal(len(silent.runs), 1) // another task of the step, after the found run
	p.is.Equal(p.overLimit, 0)
}
