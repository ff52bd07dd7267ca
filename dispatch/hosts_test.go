package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// hostedPool returns a pool whose workers run on hosts, with a long-running task on one of them, which is returned.
func hostedPool(t *testing.T) (*pool, *fakeWorker) {
	t.Helper()
	p := newPool(t, 4)
	p.startOnHosts()
	p.is.Equal(len(p.busy()), 1)
	return p, p.busy()[0]
}

// startOnHosts gives the workers hosts and starts a long-running task of job A.
func (p *pool) startOnHosts() {
	for i, w := range p.workers {
		w.info.Host = "h" + w.info.ID
		p.list[i] = w.info
	}
	p.s.SetWorkers(p.now, p.list)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.run(2 * time.Second)
}

// hostsIn returns records of the hosts of all workers, of which one has the given phase and the others are up.
func (p *pool) hostsIn(w *fakeWorker, phase cuminstair.HostPhase) []cuminstair.HostRecord {
	var list []cuminstair.HostRecord
	for _, x := range p.workers {
		h := cuminstair.HostRecord{Name: x.info.Host, Pool: "s", Phase: cuminstair.PhaseUp, Worker: x.info.ID}
		if x == w {
			h.Phase = phase
			if phase == cuminstair.PhaseDown {
				h.Worker = ""
			}
		}
		list = append(list, h)
	}
	return list
}

// Guards against tasks that wait for the end of a lease although their worker is known to have ended.
func TestTasksOfADownHostAreStartedAgain(t *testing.T) {
	p, w := hostedPool(t)
	w.crashed = true
	p.run(1500 * time.Millisecond)
	p.is.True(p.s.NeedsHosts())
	p.s.SetHosts(p.now, p.now, p.hostsIn(w, cuminstair.PhaseDown))
	p.run(200 * time.Millisecond)
	p.is.Equal(p.running(), 1)
}

// Guards against starting the tasks of a worker again that only can't be reached.
func TestTasksOfAHostThatIsNotDownStay(t *testing.T) {
	for name, phase := range map[string]cuminstair.HostPhase{"up": cuminstair.PhaseUp, "unknown": cuminstair.PhaseUnknown} {
		t.Run(name, func(t *testing.T) {
			p, w := hostedPool(t)
			w.partitioned = true
			p.run(1500 * time.Millisecond)
			p.s.SetHosts(p.now, p.now, p.hostsIn(w, phase))
			p.run(time.Second)
			p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 1)
		})
	}
}

// Guards against taking a worker for gone by a record of its host that was requested before it last answered, or before
// it started: its host was down then.
func TestOldRecordOfAHostProvesNothing(t *testing.T) {
	p, w := hostedPool(t)
	before := p.now.Add(-time.Second)
	w.partitioned = true
	p.run(1500 * time.Millisecond)
	p.s.SetHosts(p.now, before, p.hostsIn(w, cuminstair.PhaseDown))
	p.run(time.Second)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 1)

	p, w = hostedPool(t)
	before = p.now
	w.info.Incarnation += 1000 // a new incarnation, which does not answer yet
	w.startedAt, w.runs, w.partitioned = p.now, map[cuminstair.TaskID]*fakeRun{}, true
	for i := range p.list {
		if p.list[i].ID == w.info.ID {
			p.list[i] = w.info
		}
	}
	p.run(tick)
	p.s.SetWorkers(p.now, p.list)
	p.run(time.Second)
	p.s.SetHosts(p.now, before, p.hostsIn(w, cuminstair.PhaseDown))
	w.partitioned = false
	for _, x := range p.workers {
		x.partitioned = x != w
	}
	p.run(6 * time.Second)
	p.is.Equal(len(w.runs), 1) // it is used
}

// Guards against taking a start for lost by a record of its host that was requested before the call of the start had ended:
// the worker may have restarted since, and run the task. A record that was requested later proves the loss.
func TestRecordOfAHostFromBeforeAStartProvesNothing(t *testing.T) {
	for name, unanswered := range map[string]bool{"call under way": false, "call without an answer": true} {
		t.Run(name, func(t *testing.T) {
			p, w := hostedPool(t)
			w.restart(p.now)
			w.partitioned = true
			for !p.s.NeedsHosts() { // until a renewal has failed
				p.run(tick)
			}
			requested := p.now
			p.now = p.now.Add(tick)
			spread := step(len(p.workers), 2000)
			spread.PerWorker = 1
			p.submit(jobB, spread)
			p.writeBatch()
			var start dispatch.Order
			for _, o := range p.decide(0) {
				if o.Kind == dispatch.OrderStart && o.Worker.ID == w.info.ID {
					start = o
					continue
				}
				p.execute(o)
			}
			p.is.Equal(start.Task.Job, jobB)
			p.duration = func(id cuminstair.TaskID) time.Duration {
				if id == start.Task {
					return time.Minute
				}
				return 20 * time.Millisecond
			}
			p.launch(w, start)
			if unanswered {
				p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
			}
			p.s.SetHosts(p.now, requested, p.hostsIn(w, cuminstair.PhaseDown))
			p.run(500 * time.Millisecond)
			p.is.Equal(p.starts[start.Task], 1)

			w.crashed = true
			if !unanswered {
				p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
			}
			p.now = p.now.Add(tick)
			p.s.SetHosts(p.now, p.now, p.hostsIn(w, cuminstair.PhaseDown))
			p.run(500 * time.Millisecond)
			p.is.Equal(p.starts[start.Task], 2)
			p.is.Equal(p.duplicateRuns, 0)
		})
	}
}

// Guards against giving a run up by a record of its host that lags behind: the worker has restarted and answered the start of the
// run, and the record, which was requested after that, still shows the host as down.
func TestRecordOfAHostThatLagsBehindProvesNothing(t *testing.T) {
	p, w := hostedPool(t)
	w.partitioned = true
	for !p.s.NeedsHosts() { // until a renewal has failed
		p.run(tick)
	}
	w.restart(p.now)
	w.partitioned = false
	spread := step(len(p.workers), 2000)
	spread.PerWorker = 1
	p.submit(jobB, spread)
	p.writeBatch()
	var start dispatch.Order
	p.duration = func(id cuminstair.TaskID) time.Duration {
		if id == start.Task {
			return time.Minute
		}
		return 20 * time.Millisecond // so that there is room for another start
	}
	for _, o := range p.decide(0) {
		switch {
		case o.Worker.ID != w.info.ID:
			p.execute(o)
		case o.Kind == dispatch.OrderStart:
			start = o
			p.execute(o) // and answered
		default:
			p.deliver(o, cuminstair.ErrUncertain, nil) // no report shows the restart
		}
	}
	p.is.Equal(start.Task.Job, jobB)
	w.partitioned = true
	p.now = p.now.Add(140 * time.Millisecond)
	p.s.SetHosts(p.now, p.now.Add(-10*time.Millisecond), p.hostsIn(w, cuminstair.PhaseDown))
	p.run(time.Second)
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.duplicateRuns, 0)
}
