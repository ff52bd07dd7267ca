package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// newAgedPool returns a pool of two workers of an age, on which a task works for a minute.
func newAgedPool(t *testing.T, age time.Duration) *pool {
	t.Helper()
	p := newPool(t, 2)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(age)
	return p
}

// heldStart submits job A with one task and returns its start, which is still on its way to the worker.
func (p *pool) heldStart() dispatch.Order {
	p.t.Helper()
	p.submit(jobA, step(1, 2000))
	p.writeBatch()
	var start dispatch.Order
	for _, o := range p.decide(0) {
		if o.Kind == dispatch.OrderStart {
			start = o
		} else {
			p.execute(o)
		}
	}
	p.is.Equal(start.Task.Job, jobA)
	return start
}

// cordonOthers makes the next runs start on one worker.
func (p *pool) cordonOthers(w *fakeWorker) {
	for _, x := range p.workers {
		if x != w {
			p.s.Cordon(p.now, []string{x.info.ID})
		}
	}
}

// Guards against giving up a start that was sent before a renewal which the earlier incarnation answered, but was carried out
// by the later one: the list of workers shows the restart before the worker's next report.
func TestStartAnsweredAfterTheLastReportIsKeptAtARestart(t *testing.T) {
	p := newAgedPool(t, 200*time.Millisecond)
	start := p.heldStart()
	w := p.worker(start.Worker.ID)
	p.now = p.now.Add(10 * tick)
	for _, o := range p.decide(0) {
		p.execute(o) // the earlier incarnation answers a renewal
	}
	w.restart(p.now)
	p.now = p.now.Add(tick)
	p.execute(start)
	p.is.Equal(len(w.runs), 1)

	w.partitioned = true // answers no renewal yet
	p.relist(w)
	p.run(400 * time.Millisecond)
	w.partitioned = false
	p.run(time.Second)
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against placing tasks on a restarted worker whose report was left unread, since it may be stale: the worker may have
// runs that the owner does not know.
func TestWorkerWithAnUnreadReportGetsNoTasks(t *testing.T) {
	p := newPool(t, 1)
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 1000))
	p.run(200 * time.Millisecond)
	w := p.workers[0]
	var renewal dispatch.Order
	for renewal.Wait == 0 {
		p.now = p.now.Add(tick)
		for _, o := range p.decide(0) {
			renewal = o
		}
	}
	p.now = p.now.Add(dispatch.AliveTime)
	w.restart(p.now)
	p.submit(jobB, step(2, hostCPU))
	w.end(cuminstair.TaskID{Job: jobB}, &fakeRun{run: 1}, cuminstair.EndStopped) // of an earlier owner
	unknown := cuminstair.TaskID{Job: jobB, Index: 1}
	p.launch(w, dispatch.Order{Task: unknown, Run: 1})
	p.execute(renewal)
	p.writeBatch()
	for range 3 {
		for _, o := range p.decide(time.Second) {
			p.is.True(o.Kind != dispatch.OrderStart)
		}
		p.writeBatch()
	}
}

// Guards against taking a stop that the earlier incarnation confirmed for proof that the later one will not start the run: it
// knows nothing of the stop, and the start may still be on its way.
func TestStopConfirmedByTheEarlierIncarnationProvesNothing(t *testing.T) {
	for name, released := range map[string]bool{"before the release": false, "after the release": true} {
		t.Run(name, func(t *testing.T) {
			p := newAgedPool(t, 200*time.Millisecond)
			for _, w := range p.workers {
				w.startDelay = 4 * time.Second
			}
			start := p.heldStart()
			p.execute(start)
			w := p.worker(start.Worker.ID)
			for w.barred[start.Task] < start.Run { // until the stop is confirmed
				p.now = p.now.Add(tick)
				for _, o := range p.decide(0) {
					p.execute(o)
				}
			}
			for _, x := range p.workers {
				x.startDelay = 0
			}
			if released {
				p.run(200 * time.Millisecond)
				p.is.Equal(p.running(), 1) // it has started again
			}
			w.restart(p.now)
			p.now = p.now.Add(tick)
			p.relist(w)
			p.run(10 * time.Second)
			p.is.Equal(p.running(), 1)
			p.is.Equal(p.duplicateRuns, 0)
		})
	}
}

// Guards against giving a run up under the short lease of its owner although the start, which the later incarnation of its
// worker carried out after a renewal had overtaken it, carries a lease on the clock of the earlier incarnation.
func TestLeaseOfAStartThatARenewalHasOvertaken(t *testing.T) {
	for name, listed := range map[string]bool{"restart shown by the list": true, "restart shown by the report": false} {
		t.Run(name, func(t *testing.T) {
			p := newAgedPool(t, 20*time.Second)
			start := p.heldStart()
			w := p.worker(start.Worker.ID)
			p.now = p.now.Add(10 * tick)
			orders := p.decide(0)
			p.now = p.now.Add(5 * time.Millisecond) // the calls are sent after the decision
			for _, o := range orders {
				p.execute(o) // the earlier incarnation answers a renewal
			}
			w.restart(p.now)
			p.now = p.now.Add(tick)
			p.execute(start)
			p.is.Equal(len(w.runs), 1)
			if listed {
				p.relist(w)
			}
			p.run(400 * time.Millisecond) // the later incarnation is read
			w.partitioned = true
			p.run(12 * time.Second)
			p.is.Equal(p.duplicateRuns, 0)
		})
	}
}

// Guards against giving a run up under its owner's short lease although the answer to its start has shown that a later
// incarnation carried it out, with a lease on the clock of the earlier one.
func TestLeaseOfAnAnsweredStartOnAnUnnoticedIncarnation(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	p.submit(jobA, step(1, 2000))
	p.writeBatch()
	var w *fakeWorker
	for _, o := range p.decide(0) {
		if o.Kind != dispatch.OrderStart {
			p.deliver(o, cuminstair.ErrUncertain, nil)
			continue
		}
		w = p.worker(o.Worker.ID)
		w.restart(p.now)
		p.now = p.now.Add(tick)
		p.execute(o) // and answered
	}
	p.is.Equal(len(w.runs), 1)
	w.partitioned = true
	p.run(12 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against taking the confirmation of a stop by the earlier incarnation, which is read after the restart is known, for
// one by the later incarnation. The stop that is repeated at the restart is lost.
func TestStopAnsweredByTheEarlierIncarnationIsReadAfterTheRestart(t *testing.T) {
	p := newAgedPool(t, 200*time.Millisecond)
	for _, w := range p.workers {
		w.startDelay = 4 * time.Second
	}
	start := p.heldStart()
	p.execute(start)
	w := p.worker(start.Worker.ID)
	var stop dispatch.Order
	for stop.Kind != dispatch.OrderStop {
		p.now = p.now.Add(tick)
		for _, o := range p.decide(0) {
			if o.Kind == dispatch.OrderStop {
				stop = o
			} else {
				p.execute(o)
			}
		}
	}
	for _, x := range p.workers {
		x.startDelay = 0
	}
	w.barred[stop.Task] = stop.Run // the earlier incarnation confirms the stop
	w.restart(p.now)
	p.relist(w)
	p.now = p.now.Add(tick)
	for _, o := range p.decide(0) {
		if o.Kind == dispatch.OrderStop {
			p.s.Stopped(p.now, o, cuminstair.ErrUncertain) // the repeated stop is lost
		} else {
			p.execute(o)
		}
	}
	p.s.Stopped(p.now, stop, nil)          // the answer to the first one
	p.s.Cordon(p.now, []string{w.info.ID}) // so that the task starts elsewhere
	p.run(10 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 1)
}

// Guards against a restart after which only the older one of two runs of a task is stopped that were released without an answer
// to their starts.
func TestTwoBarredRunsOfOneTask(t *testing.T) {
	p := newAgedPool(t, 200*time.Millisecond)
	w, other := p.workers[0], p.workers[1]
	p.s.Cordon(p.now, []string{other.info.ID}) // the first two runs are on w
	w.startDelay = 4 * time.Second
	p.submit(jobA, step(1, 2000))
	p.run(1300 * time.Millisecond)
	p.s.Cordon(p.now, []string{other.info.ID})
	p.is.Equal(len(w.delayed), 2)
	p.s.Cordon(p.now, []string{w.info.ID}) // the third one is elsewhere
	p.run(1900 * time.Millisecond)
	p.s.Cordon(p.now, []string{w.info.ID})
	p.run(300 * time.Millisecond)
	p.is.Equal(len(w.delayed), 2)
	p.is.Equal(len(other.runs), 1)
	w.startDelay = 0
	w.restart(p.now)
	p.relist(w)
	p.run(5 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 1)
}

// unansweredLongRunning starts a long-running task on the only worker of a pool. The start has no answer, and is returned.
func unansweredLongRunning(t *testing.T) (*pool, dispatch.Order) {
	t.Helper()
	p := newPool(t, 1)
	p.workers[0].info.Host, p.list[0].Host = "h", "h"
	p.s.SetWorkers(p.now, p.list)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.writeBatch()
	var start dispatch.Order
	for _, o := range p.decide(0) {
		if o.Kind == dispatch.OrderStart {
			start = o
			p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		} else {
			p.execute(o)
		}
	}
	p.is.Equal(start.Task.Job, jobA)
	return p, start
}

// Guards against stopping a task at work that was started late by a later incarnation, since its run was released before the
// restart: the task has no other run, and could be kept.
func TestReleasedRunAtWorkIsNotStoppedAtARestart(t *testing.T) {
	p, start := unansweredLongRunning(t)
	w := p.workers[0]
	w.partitioned = true
	p.run(500 * time.Millisecond)
	p.s.SetHosts(p.now, p.now.Add(-10*time.Millisecond), []cuminstair.HostRecord{{Name: "h", Pool: "s", Phase: cuminstair.PhaseDown}})
	w.restart(p.now)
	p.launch(w, start)
	w.lease = maxLease
	p.run(1500 * time.Millisecond)
	w.partitioned = false
	p.is.Equal(p.ready(), 1)
	p.relist(w)
	stops := p.s.Counts().Stops
	p.run(2 * time.Second)
	p.is.Equal(p.s.Counts().Stops, stops)
	p.is.Equal(p.starts[start.Task], 1)
}

// Guards against stopping a task at work that is kept at the same time: its start had no answer, and the report that shows the
// restart lists it.
func TestKeptRunAtWorkIsNotStoppedAtARestart(t *testing.T) {
	p, start := unansweredLongRunning(t)
	w := p.workers[0]
	stops := 0
	for end := p.now.Add(time.Second); stops == 0 && p.now.Before(end); p.now = p.now.Add(tick) {
		for _, o := range p.decide(0) {
			if o.Kind == dispatch.OrderStop {
				stops++
				p.s.Stopped(p.now, o, cuminstair.ErrUncertain) // it is lost
				continue
			}
			p.execute(o)
		}
	}
	p.is.Equal(stops, 1)
	w.partitioned = true
	w.restart(p.now)
	p.launch(w, start)
	w.lease = maxLease
	p.run(1500 * time.Millisecond)
	w.partitioned = false
	p.is.Equal(p.ready(), 1)
	p.run(2 * time.Second)
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.ready(), 1)
}

// Guards against asking a worker without pause while its answers contradict what is known of it.
func TestContradictionsAreNotRepeatedWithoutPause(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.list[0].Incarnation += 5000
	p.s.SetWorkers(p.now, p.list)
	p.run(3 * time.Second)
	p.is.True(p.s.Counts().Contradictions <= 10)
}

// Guards against giving up the runs of a restarted worker under a lease that a start has extended meanwhile: it was sent before
// the restart was known, is carried out seconds later, and is refused as an old run, but its lease is taken.
func TestRefusedLateStartExtendsTheLease(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	w := p.worker(start.Worker.ID)
	p.cordonOthers(w)
	w.restart(p.now)
	p.now = p.now.Add(tick)
	p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
	p.run(1800 * time.Millisecond)
	p.is.Equal(len(w.runs), 1)
	p.is.Equal(w.barred[start.Task], start.Run)
	w.extend(p.now, start.Start.Lease) // the first start is refused
	w.partitioned = true
	p.run(13 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against giving up a run whose start is carried out seconds late by an incarnation that the owner doesn't know of.
func TestLateStartOnAnUnnoticedIncarnationThatIsSilent(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	w := p.worker(start.Worker.ID)
	p.now = p.now.Add(tick)
	p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
	w.restart(p.now)
	w.partitioned = true
	w.delayed = append(w.delayed, delayedStart{at: p.now.Add(4 * time.Second), order: start})
	w.lease = maxLease + 4*time.Second // the lease of the start, which is cut when it is carried out
	p.run(16 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against another start at a worker that is known to have restarted before its lists have been read, and against taking
// the task whose start was not sent for one that crashed the worker.
func TestWorkerThatHasRestartedIsReadBeforeItsNextStart(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	w := p.worker(start.Worker.ID)
	p.cordonOthers(w)
	w.restart(p.now)
	p.now = p.now.Add(tick)
	p.s.Started(p.now, start, 0, cuminstair.ErrRestarted)
	for _, o := range p.decide(0) {
		p.is.True(o.Kind != dispatch.OrderStart)
		p.execute(o)
	}
	for end := p.now.Add(time.Second); p.running() == 0 && p.now.Before(end); p.now = p.now.Add(tick) {
		p.writeBatch()
		for _, o := range p.decide(0) {
			p.is.True(o.Kind != dispatch.OrderStart || o.Worker.Incarnation == w.info.Incarnation)
			p.execute(o)
		}
	}
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.s.Counts().Crashes, 0)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against a run that lapses on a worker which is cut off from a new owner for some seconds, although that owner waits for the
// longest lease, since the worker has restarted: nothing is gained by the shorter one, and the work is lost.
func TestRunOnARestartedWorkerOutlastsACutAfterATakeover(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	p.duration = func(cuminstair.TaskID) time.Duration { return 9 * time.Second }
	w := p.worker(start.Worker.ID)
	w.restart(p.now)
	p.now = p.now.Add(tick)
	p.s.Started(p.now, start, 0, cuminstair.ErrRestarted)
	p.cordonOthers(w)
	p.run(600 * time.Millisecond)
	p.is.Equal(len(w.runs), 1)
	w.partitioned = true
	p.unlist(w.info.ID)
	p.now = p.now.Add(time.Second)
	p.takeOver(200, 0)
	p.run(5500 * time.Millisecond)
	w.partitioned = false
	p.run(6 * time.Second)
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against a new owner that starts a task again while a late copy of its predecessor's start, which had no answer, may still
// begin it on a worker that is not reached. The other tasks wait for the usual leases only.
func TestNewOwnerKnowsTheStartsWithoutAnAnswer(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	p.duration = func(id cuminstair.TaskID) time.Duration {
		if id.Job == jobB {
			return 20 * time.Millisecond // the next start of the other task is a trial, on an idle worker
		}
		return time.Minute
	}
	w := p.worker(start.Worker.ID)
	p.now = p.now.Add(tick)
	p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
	w.restart(p.now)
	w.partitioned = true
	w.delayed = append(w.delayed, delayedStart{at: p.now.Add(4 * time.Second), order: start})
	w.lease = maxLease + 4*time.Second // the lease of the start, which is cut when it is carried out
	p.run(200 * time.Millisecond)
	p.submit(jobB, step(1, 2000))
	p.writeBatch()
	p.unlist(w.info.ID)
	p.takeOver(200, 0)
	p.run(5 * time.Second)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobB}], 1)
	p.is.Equal(p.starts[start.Task], 1) // the late one
	p.run(11 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.run(10 * time.Second)
	p.is.Equal(p.starts[start.Task], 2)
}

// Guards against a new owner that waits for a run on a reached worker, or stops one at work, since its predecessor's start had no answer.
func TestNewOwnerReadsTheStartsWithoutAnAnswer(t *testing.T) {
	for name, begun := range map[string]bool{"the run is there": true, "the run is not there": false} {
		t.Run(name, func(t *testing.T) {
			p := newAgedPool(t, 20*time.Second)
			start := p.heldStart()
			if begun {
				p.launch(p.worker(start.Worker.ID), start)
			}
			p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
			p.writeBatch()
			p.takeOver(200, 0)
			p.run(400 * time.Millisecond)
			p.is.Equal(p.running(), 1)
			p.is.Equal(p.starts[start.Task], 1)
			p.is.Equal(p.s.Counts().Stops, 0)
		})
	}
}

// Guards against stopping a run at work since a record that is out of date names an earlier start of its task without an answer.
func TestNewOwnerKeepsARunLaterThanARecordedStart(t *testing.T) {
	p := newAgedPool(t, 20*time.Second)
	start := p.heldStart()
	p.s.Started(p.now, start, 0, cuminstair.ErrUncertain)
	p.writeBatch()
	p.s.Started(p.now, start, 0, cuminstair.ErrNoRoom) // it is refused after all, and starts elsewhere
	for _, o := range p.decide(tick) {
		p.execute(o)
	}
	p.is.Equal(p.running(), 1)
	p.worker(start.Worker.ID).partitioned = true
	p.takeOver(200, 0)
	p.run(time.Second)
	p.is.Equal(p.running(), 1)
	p.is.Equal(p.starts[start.Task], 1)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against starts by the label, the room or the rack that an earlier incarnation of a worker had: it comes back under its ID as another
// kind, and answers calls before the owner has read its new entry.
func TestRestartedWorkerGetsNoTasksBeforeItsEntryIsRead(t *testing.T) {
	large := step(1, 20000)
	labelled := step(1, 2000)
	labelled.Label = "b"
	for name, c := range map[string]struct {
		step   cuminstair.JobStep
		change func(*cuminstair.WorkerInfo)
	}{
		"label": {labelled, func(info *cuminstair.WorkerInfo) { info.Labels = []string{"c"} }},
		"room":  {large, func(info *cuminstair.WorkerInfo) { info.CPU = 8000 }},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeover), func(t *testing.T) {
				p := newPool(t, 1)
				w := p.workers[0]
				w.info.Labels = []string{"b"}
				p.readList()
				p.run(200 * time.Millisecond)
				p.entriesLate, p.verifies = true, true
				before := w.info
				w.restart(p.now)
				c.change(&w.info)
				if takeover {
					p.takeOver(200, 0)
				}
				p.submit(jobA, c.step)
				p.run(500 * time.Millisecond)
				p.list[0] = before // a list that was asked for before the restart
				p.s.SetWorkers(p.now, p.list)
				p.submit(jobB, c.step)
				p.run(500 * time.Millisecond)
				p.is.Equal(len(p.starts), 0)

				w.info.CPU, w.info.Labels = before.CPU, before.Labels
				w.restart(p.now)
				p.run(500 * time.Millisecond)
				p.is.Equal(len(p.starts), 0) // its entry has not come either
				p.readList()
				p.run(500 * time.Millisecond)
				p.is.True(len(p.starts) > 0)
			})
		}
	}
}

// Guards against tasks on a worker whose room is taken by a run of unknown size that the owner found before the worker's entry.
func TestWorkerWithARunOfUnknownSizeGetsNoTasks(t *testing.T) {
	p := newPool(t, 1)
	w := p.workers[0]
	p.run(200 * time.Millisecond)
	list := p.list
	p.list = nil
	p.takeOver(200, 0)
	unknown := cuminstair.TaskID{Job: jobA}
	p.specs[jobA] = &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step(1, hostCPU)}}
	w.runs[unknown] = &fakeRun{run: 1, started: p.now, cpu: hostCPU}
	w.stopDuration = 2 * time.Second
	w.lease = w.clock(p.now) + maxLease
	p.run(200 * time.Millisecond)
	p.list = list
	p.s.SetWorkers(p.now, p.list)
	p.submit(jobB, step(1, 2000))
	p.run(300 * time.Millisecond)
	p.is.Equal(p.overCapacity, 0)
	p.is.Equal(p.running(), 1) // the unknown run only
	p.run(5 * time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
}
