package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// slowTask is the task of job B that takes 7 times as long on the first worker on which it starts.
var slowTask = cuminstair.TaskID{Job: jobB, Index: 3}

// newSlowPool returns a pool whose owner knows how long tasks usually take, and the worker of the slow task, when this has a second
// copy, or after 3 s. Jobs of the steps others are submitted after the slow task has started.
func newSlowPool(t *testing.T, change func(st *cuminstair.JobStep), others ...cuminstair.JobStep) (p *pool, first *fakeWorker) {
	t.Helper()
	p = newPool(t, 4)
	p.slowOn = func(id cuminstair.TaskID, w *fakeWorker) bool {
		if id == slowTask && first == nil {
			first = w
		}
		return id == slowTask && w == first
	}
	p.duration = func(id cuminstair.TaskID) time.Duration { return p.step(id).Estimate }
	p.list[0].Labels = []string{"l"}
	p.s.SetWorkers(p.now, p.list)
	p.run(200 * time.Millisecond)
	st := step(8, 1000)
	st.Duplicates = true
	p.submit(jobA, slices.Repeat([]cuminstair.JobStep{st}, 10)...)
	p.run(time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	change(&st)
	p.submit(jobB, st)
	p.run(100 * time.Millisecond)
	for i, st := range others {
		p.submit(taskName(i), st)
	}
	for end := p.now.Add(3 * time.Second); len(p.copies()) < 2 && p.now.Before(end); {
		p.run(tick)
	}
	return p, first
}

func unchanged(*cuminstair.JobStep) {}

// copies returns the workers that run the slow task.
func (p *pool) copies() []*fakeWorker {
	var list []*fakeWorker
	for _, w := range p.workers {
		if w.runs[slowTask] != nil && !w.crashed {
			list = append(list, w)
		}
	}
	return list
}

// endCopyOn ends the run of the slow task on a worker.
func (p *pool) endCopyOn(w *fakeWorker, how cuminstair.TaskEnd) {
	w.end(slowTask, w.runs[slowTask], how)
}

// Guards against slow tasks that get no second copy or more than one, against a task that is not done when either has ended,
// and against the other copy that goes on then for as long as its worker delays its answer to a renewal.
func TestSecondCopyOfASlowTask(t *testing.T) {
	for _, firstWins := range []bool{false, true} {
		p, first := newSlowPool(t, unchanged)
		p.is.Equal(len(p.copies()), 2)
		r := first.runs[slowTask]
		if firstWins {
			p.endCopyOn(first, cuminstair.EndDone)
		}
		for p.s.State(jobB) == cuminstair.JobRunning {
			p.run(tick)
		}
		p.run(tick) // the next decision orders the stop
		p.is.Equal(r.stopOrdered.IsZero(), firstWins)
		p.run(100 * time.Millisecond)
		p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
		p.is.Equal(len(p.copies()), 0)
		p.is.Equal(p.starts[slowTask], 2)
		c := p.s.Counts()
		p.is.Equal(c.Copies, 1)
		p.is.Equal(c.CopiesWon == 0, firstWins)
		p.is.Equal(c.CopiesWon+c.CopiesWasted, 1)
		p.is.True(c.WastedCoreSeconds > 0 && c.WastedCoreSeconds < 1)
	}
}

// Guards against copies of tasks that must not have any, and against copies that are started although others wait. Gangs and
// long-running tasks are covered by the walks: here a gang ends with its first member, and long-running tasks never.
func TestNoSecondCopy(t *testing.T) {
	labelled := step(2, hostCPU) // tasks that wait for the only worker with the label, while the others have room
	labelled.Label, labelled.Estimate = "l", time.Minute
	filling := step(32, 3800) // leaves 5 of 128 cores, and room for a task on each worker
	filling.Estimate = time.Minute
	for _, c := range []struct {
		name   string
		change func(st *cuminstair.JobStep)
		others []cuminstair.JobStep
	}{
		{"not allowed", func(st *cuminstair.JobStep) { st.Duplicates = false }, nil},
		{"best effort", func(st *cuminstair.JobStep) { st.BestEffort = true }, nil},
		{"the pool is nearly full", unchanged, []cuminstair.JobStep{filling}},
		{"others wait for room", unchanged, []cuminstair.JobStep{labelled}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := newSlowPool(t, c.change, c.others...)
			p.is.Equal(p.s.Counts().Copies, 0)
			p.is.Equal(p.duplicateRuns, 0)
		})
	}
}

// Guards against a task that is started for a third time, although a copy goes on, when the other copy fails or runs on a
// worker that stops answering; and against failures that do not count.
func TestEndsOfOneCopy(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(p *pool, first, second *fakeWorker)
		failed int
	}{
		{"first fails", func(p *pool, first, _ *fakeWorker) { p.endCopyOn(first, cuminstair.EndFailed) }, 1},
		{"second fails", func(p *pool, _, second *fakeWorker) { p.endCopyOn(second, cuminstair.EndFailed) }, 1},
		{"second is silent", func(_ *pool, _, second *fakeWorker) { second.partitioned = true }, 0},
		{"first is silent", func(_ *pool, first, _ *fakeWorker) { first.partitioned = true }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, first := newSlowPool(t, unchanged)
			second := slices.DeleteFunc(p.copies(), func(w *fakeWorker) bool { return w == first })[0]
			c.end(p, first, second)
			for range 50 { // a third run may start only when one of the two has ended
				p.run(tick)
				p.is.True(len(p.copies()) <= 2)
			}
			p.run(6 * time.Second)
			p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
			p.is.Equal(p.s.Counts().Failed, c.failed)
			p.is.Equal(p.starts[slowTask], 1+p.s.Counts().Copies)
			for _, w := range p.workers {
				w.partitioned = false
			}
			p.run(time.Second)
			p.is.Equal(len(p.copies()), 0)
		})
	}
}

// Guards against copies of runs that have ended while the daemon stood still, and whose ends it has not read.
func TestNoSecondCopyAfterAFreeze(t *testing.T) {
	p, _ := newSlowPool(t, unchanged)
	p.run(2 * time.Second)
	before := p.s.Counts().Copies
	p.noProgress = true
	p.duration = func(id cuminstair.TaskID) time.Duration { return time.Duration(200+50*id.Index) * time.Millisecond }
	st := step(8, 1000)
	st.Duplicates = true
	p.submit(taskName(1), st)
	p.run(320 * time.Millisecond)
	p.now = p.now.Add(1150 * time.Millisecond) // shorter than a run counts as stuck
	p.run(time.Second)
	p.is.Equal(p.s.State(taskName(1)), cuminstair.JobCompleted)
	p.is.Equal(p.s.Counts().Copies, before)
}

// Guards against a third copy when the second one is slow too, and against a task that waits for copies which are both on
// workers that don't answer.
func TestThirdCopy(t *testing.T) {
	p, _ := newSlowPool(t, unchanged)
	p.slowOn = func(id cuminstair.TaskID, _ *fakeWorker) bool { return id == slowTask }
	p.run(2 * time.Second)
	p.is.Equal(p.starts[slowTask], 2)
	for _, w := range p.copies() {
		w.partitioned = true
	}
	p.run(2 * time.Second)
	p.is.Equal(p.starts[slowTask], 3)
}

// Guards against copies that go on after their job is cancelled or after a new owner has found both, and against a third one.
func TestCopiesEndWithTheJobOrTheOwner(t *testing.T) {
	p, _ := newSlowPool(t, unchanged)
	p.is.Equal(len(p.copies()), 2)
	p.s.Cancel(p.now, jobB, (&reply{}).set)
	p.run(2 * tick)
	p.is.Equal(len(p.copies()), 0)

	p, _ = newSlowPool(t, unchanged)
	p.is.Equal(len(p.copies()), 2)
	p.takeOver(200, 0)
	p.run(100 * time.Millisecond)
	p.is.Equal(len(p.copies()), 1)
	p.run(5 * time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
	p.is.Equal(p.starts[slowTask], 2)
}
