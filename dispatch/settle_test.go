package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against starting a step without waiting for all workers because of a found run of a step before it, if the task of
// that run was done by another run, which an earlier owner had read before it began the step.
func TestFoundRunOfATaskThatIsDoneProvesNothing(t *testing.T) {
	p := newPool(t, 5)
	first, second, rerun := p.workers[0], p.workers[1], p.workers[2]
	for i := range p.list {
		p.list[i].Labels = []string{"x"}
		if i >= 3 {
			p.list[i].Labels = []string{"y"}
		}
	}
	p.s.SetWorkers(p.now, p.list)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	steps := []cuminstair.JobStep{step(2, 2000), step(1, 2000)}
	steps[0].Label, steps[1].Label, steps[1].After = "x", "y", []int{0}
	p.submit(jobA, steps...)
	p.run(500 * time.Millisecond)
	t0, t1 := cuminstair.TaskID{Job: jobA}, cuminstair.TaskID{Job: jobA, Index: 1}
	next := cuminstair.TaskID{Job: jobA, Step: 1}
	var run0, run1 *fakeRun
	for _, w := range p.workers {
		if r, ok := w.runs[t0]; ok {
			run0 = r
			delete(w.runs, t0)
		}
		if r, ok := w.runs[t1]; ok {
			run1 = r
			delete(w.runs, t1)
		}
	}
	p.is.True(run0 != nil && run1 != nil)
	// A second owner, with the token 150, has started task 0 again, after its first run was done unread.
	for _, w := range p.workers {
		w.lease = w.clock(p.now) + 3*time.Second
	}
	first.end(t0, run0, cuminstair.EndDone)
	second.runs[t1] = run1
	rerun.runs[t0] = &fakeRun{run: 150*1024 + 1, started: p.now, cpu: 2000}
	rerun.hangs = true
	p.storeDown = true
	p.duration = func(id cuminstair.TaskID) time.Duration {
		switch id {
		case t1:
			return time.Second
		case t0:
			return 2500 * time.Millisecond
		}
		return 1200 * time.Millisecond
	}
	p.takeOver(200, 6*time.Second)
	for end := p.now.Add(2 * time.Second); p.starts[next] == 0 && p.now.Before(end); {
		p.run(tick)
	}
	p.is.Equal(p.starts[next], 1) // the third owner goes on with the step after task 1, which it found
	p.run(100 * time.Millisecond)
	for _, w := range p.workers[3:] {
		w.partitioned = len(w.runs) > 0
	}
	rerun.hangs, rerun.hanging = false, nil
	first.partitioned = true
	p.takeOver(300, 6*time.Second)
	p.run(3 * time.Second)
	p.is.Equal(p.starts[next], 1)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against a second run of a task that goes on although a step after it is known to have begun: the other tasks of that
// step wait for it.
func TestSecondRunIsStoppedWhenALaterStepIsFound(t *testing.T) {
	p := newPool(t, 3)
	for i := range p.list {
		p.list[i].Labels = []string{[]string{"x", "x", "y"}[i]}
	}
	p.s.SetWorkers(p.now, p.list)
	p.duration = func(id cuminstair.TaskID) time.Duration { return time.Duration(1+9*id.Step) * time.Second }
	p.run(200 * time.Millisecond)
	steps := []cuminstair.JobStep{step(1, 2000), step(1, 2000)}
	steps[0].Label, steps[1].Label, steps[1].After = "x", "y", []int{0}
	p.submit(jobA, steps...)
	p.run(500 * time.Millisecond)
	p.storeDown = true
	p.run(time.Second)
	p.is.Equal(len(p.workers[2].runs), 1) // the second step has begun
	id := cuminstair.TaskID{Job: jobA}
	again := p.workers[0]
	for _, w := range p.workers[:2] {
		w.ended = nil // the first run can't be read
	}
	again.runs[id] = &fakeRun{run: 100*1024 + 9, started: p.now, cpu: 2000}
	again.lease = again.clock(p.now) + 3*time.Second
	p.duration = func(cuminstair.TaskID) time.Duration { return 20 * time.Second }
	p.workers[2].hangs = true
	p.storeDown = false
	p.takeOver(200, 6*time.Second)
	p.run(300 * time.Millisecond) // the second run is found first
	p.workers[2].hangs = false
	p.run(2 * time.Second)
	_, runs := again.runs[id]
	p.is.True(!runs)
}

// Guards against tasks that wait for ever for a worker which has restarted, and has not answered since.
func TestRunsOfARestartedWorkerThatIsSilentAreGivenUp(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 2000))
	for end := p.now.Add(time.Second); len(p.busy()) == 0 && p.now.Before(end); {
		p.run(tick)
	}
	w := p.busy()[0]
	restarted := w.info
	restarted.Incarnation, restarted.Version = p.now.UnixMilli(), 1
	w.partitioned, w.runs = true, map[cuminstair.TaskID]*fakeRun{}
	for i := range p.list {
		if p.list[i].ID == w.info.ID {
			p.list[i] = restarted
		}
	}
	p.s.SetWorkers(p.now, p.list) // before the first renewal after the start has been answered
	p.run(time.Second)
	p.unlist(w.info.ID)
	p.s.SetWorkers(p.now, p.list)
	p.run(maxLease + dispatch.Lease + 10*time.Second)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 2)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// Guards against a new owner that, taking over at the end of an outage of the store, counts with the capacities of before: the
// workers write their entries again within one heartbeat.
func TestTakeoverAfterAnOutageGrantsNoStartsOnOldCapacities(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	p := capacityPool(t)
	for _, w := range p.workers {
		w.info.CPU, w.info.Version = 8000, w.info.Version+1 // the entry in the list stays as it was
	}
	p.outage(5 * time.Second)
	p.takeOver(200, 0)
	p.s.SetOutageEnd(p.now)
	p.run(200 * time.Millisecond)
	p.submit(jobB, step(10, 4000))
	p.run(heartbeat)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against a service that starts nothing while the store answers, but slowly: each confirmation is older than the entries
// may be when it is known.
func TestSlowStoreStopsNoStarts(t *testing.T) {
	const latency = 2600 * time.Millisecond
	p := capacityPool(t)
	p.submit(jobB, step(10, 4000))
	p.run(tick)
	id := cuminstair.TaskID{Job: jobB, Index: 9}
	p.is.Equal(p.starts[id], 0) // there is no room yet
	confirmed, sent := p.now, p.now
	for end := p.now.Add(20 * time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		p.endRuns()
		if p.now.Sub(sent) >= latency {
			confirmed, sent = sent, p.now
			p.s.SetListRead(confirmed)
			for _, w := range p.workers { // the list is read too
				w.info.Version++
				p.relist(w)
			}
		}
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, confirmed)...) {
			p.execute(o)
		}
		p.writeBatch()
	}
	p.is.Equal(p.starts[id], 1)
}

// Guards against a new owner that counts the leases of a restarted worker as any other: the earlier owner may have sent one on the
// clock of the incarnation before, which is as long as the worker permits.
func TestNewOwnerExpectsTheLongLeaseOfARestartedWorker(t *testing.T) {
	p := newPool(t, 1)
	p.run(30 * time.Second)
	p.submit(jobA, longRunning(1))
	p.run(2 * time.Second)
	w := p.workers[0]
	w.restart(p.now) // the next renewal has a lease on the earlier clock
	p.run(400 * time.Millisecond)
	p.is.Equal(p.running(), 1)
	w.partitioned = true
	p.addWorker("b", 1)
	p.list[0] = w.info
	p.takeOver(200, 6*time.Second)
	p.run(15 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 1)
}

// Guards against a worker that is called for ever, and stays in the stored record, although it has left: it was silent after a
// report that did not have all of its ends.
func TestLeftWorkerWithUnreadEndsIsForgotten(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	w := p.workers[0]
	p.submit(jobA, step(1, 2000))
	p.run(2 * time.Second)
	for range 3 * maxListedEnds {
		w.seq++
		w.ended = append(w.ended, cuminstair.EndedTask{Seq: w.seq, Task: cuminstair.TaskID{Job: jobA}, Run: 1, How: cuminstair.EndFailed})
	}
	p.takeOver(200, 6*time.Second)
	p.run(tick)
	w.partitioned = true
	p.unlist(w.info.ID)
	p.s.SetWorkers(p.now, p.list)
	p.run(time.Minute)
	p.s.SetWorkers(p.now, p.list)
	p.is.Equal(p.s.Workers(), 1)
}

// Guards against tasks that wait for ever, since a late answer of a worker that is gone has made their runs there count again:
// nobody asks that worker any more.
func TestLateReportOfAGoneWorkerBringsNoRunsBack(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.run(2 * time.Second)
	w := p.workers[0]
	id := cuminstair.TaskID{Job: jobA}
	late := cuminstair.WorkerReport{
		Clock: w.clock(p.now), Incarnation: w.info.Incarnation,
		Running: []cuminstair.RunningTask{{Task: id, Run: w.runs[id].run, Percent: 100}},
	}
	sent := p.now
	w.crashed, w.replaced = true, true
	w.runs = map[cuminstair.TaskID]*fakeRun{}
	p.s.Renewed(p.now, p.now, w.info.ID, cuminstair.WorkerReport{}, cuminstair.ErrOtherIncarnation)
	p.run(tick)
	p.s.Renewed(p.now, sent, w.info.ID, late, nil)
	p.unlist(w.info.ID)
	p.addWorker("b", 1)
	p.s.SetWorkers(p.now, p.list)
	p.run(30 * time.Second)
	p.is.Equal(p.running(), 1)
}

// Guards against beginning a step while a second run of a task before it is being stopped, if the end of the first run was read
// before the second run was found: a new owner that finds the second run takes the step for not begun.
func TestNextStepWaitsForASecondRunThatIsFoundLater(t *testing.T) {
	p := newPool(t, 4)
	first, rerun := p.workers[0], p.workers[1]
	for i := range p.list {
		p.list[i].Labels = []string{[]string{"x", "x", "y", "y"}[i]}
	}
	p.s.SetWorkers(p.now, p.list)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	steps := []cuminstair.JobStep{step(1, 2000), step(1, 2000)}
	steps[0].Label, steps[1].Label, steps[1].After = "x", "y", []int{0}
	p.submit(jobA, steps...)
	p.run(500 * time.Millisecond)
	id, next := cuminstair.TaskID{Job: jobA}, cuminstair.TaskID{Job: jobA, Step: 1}
	w := p.busy()[0]
	run := w.runs[id]
	delete(w.runs, id)
	first.end(id, run, cuminstair.EndDone)
	// A second owner, with the token 150, has started the task again.
	rerun.runs[id] = &fakeRun{run: 150*1024 + 1, started: p.now, cpu: 2000}
	rerun.lease = rerun.clock(p.now) + 4*time.Second
	rerun.stopDuration = 600 * time.Millisecond
	p.storeDown = true
	rerun.hangs = true
	p.takeOver(200, 6*time.Second)
	p.run(100 * time.Millisecond)
	rerun.hangs = false
	for end := p.now.Add(time.Second); p.starts[next] == 0 && p.now.Before(end); {
		p.run(tick)
	}
	p.run(100 * time.Millisecond)
	for _, w := range p.workers[2:] {
		w.partitioned = len(w.runs) > 0
	}
	first.hangs = true
	p.takeOver(300, 6*time.Second)
	p.run(100 * time.Millisecond)
	first.hangs = false
	p.run(3 * time.Second)
	p.is.True(p.starts[next] <= 1)
	p.is.Equal(p.duplicateRuns, 0)
}
