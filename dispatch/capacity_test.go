package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// capacityPool returns a pool of two workers of which the first runs most of a job of long tasks.
func capacityPool(t *testing.T) *pool {
	t.Helper()
	p := newPool(t, 2)
	p.duration = func(cuminstair.TaskID) time.Duration { return 3 * time.Second }
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(10, 4000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 10)
	return p
}

// resize changes the capacity of a worker and of its entry in the list, which gets a new version.
func (p *pool) resize(w *fakeWorker, cpu int) {
	w.info.CPU = cpu
	w.info.Version++
	p.relist(w)
}

// relist puts the entry of a worker into the list and passes the list to the service.
func (p *pool) relist(w *fakeWorker) {
	for i := range p.list {
		if p.list[i].ID == w.info.ID {
			p.list[i] = w.info
		}
	}
	p.s.SetWorkers(p.now, p.list)
}

// usedCPU returns the CPU of the runs on a worker, in thousandths of a core.
func (w *fakeWorker) usedCPU() int {
	used := 0
	for _, r := range w.runs {
		used += r.cpu
	}
	return used
}

// Guards against starts on a worker whose capacity has shrunk below what runs there, and against leaving it unused when
// it has grown again.
func TestShrunkWorkerGetsNoTasksBeyondItsCapacity(t *testing.T) {
	p := capacityPool(t)
	w := p.busy()[0]
	for _, cpu := range []int{w.usedCPU() / 2, hostCPU, 6000, 30000, 1000, hostCPU} {
		p.resize(w, cpu)
		p.submit(jobB, step(10, 4000))
		p.run(1500 * time.Millisecond)
		p.s.Cancel(p.now, jobB, func(dispatch.Result) {})
		p.run(time.Second)
	}
	p.is.Equal(p.overCapacity, 0)
	p.submit("00000000000000cc", step(16, 4000))
	p.run(2 * time.Second)
	p.is.True(w.usedCPU() > hostCPU/2) // all of its capacity is used again
}

// Guards against using the room of a run that is being stopped on a worker that has shrunk meanwhile.
func TestStoppedRunCountsOnAShrunkWorker(t *testing.T) {
	p := capacityPool(t)
	for _, w := range p.workers {
		w.stopDuration = stopGrace
	}
	p.s.Cancel(p.now, jobA, func(dispatch.Result) {})
	p.run(tick)
	for _, w := range p.workers {
		p.resize(w, w.usedCPU())
	}
	p.submit(jobB, step(10, 4000))
	p.run(3 * time.Second)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against a new owner that counts with the capacity of before.
func TestTakeoverKnowsShrunkWorkers(t *testing.T) {
	for _, cpu := range []int{1000, 12000, 20000} {
		p := capacityPool(t)
		w := p.busy()[0]
		p.resize(w, cpu)
		p.takeOver(200, 0)
		p.submit(jobB, step(12, 4000))
		p.run(8 * time.Second)
		p.is.Equal(p.overCapacity, 0)
		p.is.Equal(p.duplicateRuns, 0)
	}
}

// Guards against an entry of the list that is older than the last one, from a stale read after the history was compacted:
// it shows the capacity of before.
func TestStaleEntryDoesNotBringCapacityBack(t *testing.T) {
	p := capacityPool(t)
	var old []cuminstair.WorkerInfo
	for _, w := range p.workers {
		old = append(old, w.info)
		p.resize(w, w.usedCPU())
	}
	p.s.SetWorkers(p.now, old)
	p.submit(jobB, step(10, 4000))
	p.run(1500 * time.Millisecond)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against a stale entry that takes a worker that is leaving for one that is ready.
func TestStaleEntryDoesNotEndDraining(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	w := p.workers[0]
	old := w.info
	w.info.State = cuminstair.WorkerLeaving
	w.info.Version++
	p.relist(w)
	p.s.SetWorkers(p.now, []cuminstair.WorkerInfo{old})
	p.submit(jobA, step(1, 1000))
	p.run(500 * time.Millisecond)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 0)
}

// outage runs the pool while the store can't be reached: it confirms no owner, takes no writes and has no list of workers.
func (p *pool) outage(d time.Duration) {
	confirmed := p.now.Add(-confirmationAge)
	p.storeDown = true
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		p.crashWorkers()
		p.endRuns()
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, confirmed)...) {
			p.execute(o)
		}
		p.writeBatch()
	}
	p.storeDown = false
}

// Guards against starts by an owner that has its first confirmation after an outage of the store, but still counts with
// the capacities of before: workers write their entries again within one heartbeat.
func TestListFromBeforeAnOutageGrantsNoStarts(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	p := capacityPool(t)
	for _, w := range p.workers {
		w.info.CPU, w.info.Version = 8000, w.info.Version+1 // the entry in the list stays as it was
	}
	p.outage(5 * time.Second)
	p.s.SetWorkers(p.now, p.list)
	p.submit(jobB, step(10, 4000))
	p.run(heartbeat)
	for _, w := range p.workers {
		p.relist(w)
	}
	p.run(20 * time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against an owner that waits for the entries of the workers after each short disturbance of the store.
func TestShortOutageDelaysNoStarts(t *testing.T) {
	p := capacityPool(t)
	p.outage(time.Second)
	p.submit(jobB, step(4, 4000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobB}], 1)
}

// Guards against planning starts in each decision of an owner that may give no orders: these are undone, but use up the
// run numbers of its token and fill the log.
func TestUnconfirmedOwnerPlansNoStarts(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	spec := &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(2, 1000)}, First: p.now.Add(7 * time.Second).UnixMilli()}
	p.specs[jobA] = spec
	p.s.Submit(p.now, jobA, spec, cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Attempts: 3}, "", func(dispatch.Result) {})
	p.run(400 * time.Millisecond)
	p.outage(9 * time.Second)
	p.is.Equal(p.s.Counts().Starts, 0)
	p.run(3 * time.Second)
	p.is.Equal(len(p.orders), 2)
	for _, o := range p.orders {
		p.is.Equal(o.Run, o.Token<<10+1)
	}
}

// Guards against tasks that wait for ever, since nothing happens after workers have become reachable again.
func TestTasksStartOnWorkersThatAnswerAgain(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	st := longRunning(3)
	st.PerWorker = 1
	p.submit(jobA, st)
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 3)
	cut := p.workers[1:]
	for _, w := range cut {
		w.partitioned = true
	}
	p.run(dispatch.Lease + 2*time.Second)
	p.is.Equal(p.running(), 1)
	for _, w := range cut {
		w.partitioned = false
	}
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 3)
}
