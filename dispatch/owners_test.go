package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// workerRecord returns the stored records of workers, from which the next owner learns whom to ask.
func (p *pool) workerRecord() string {
	var all []string
	for key, value := range p.store {
		if key.Table == dispatch.WorkerTable && strings.HasPrefix(key.Key, "worker") {
			all = append(all, string(value))
		}
	}
	return strings.Join(all, "\n")
}

// restart starts a worker again under its id.
func (w *fakeWorker) restart(now time.Time) {
	w.runs, w.barred, w.ended = map[cuminstair.TaskID]*fakeRun{}, map[cuminstair.TaskID]int64{}, nil
	w.seq, w.token, w.lease, w.startedAt = 0, 0, 0, now
	w.info.Incarnation = now.UnixMilli()
}

// Guards against a worker that runs tasks without being in the stored record of workers, since it was taken for gone when
// that was written: the next owner would not ask it and would start its tasks again.
func TestReturnedWorkerIsRecordedBeforeItRuns(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	a := p.workers[0]
	a.replaced = true
	p.submit(jobA, step(1, 2000))
	p.run(200 * time.Millisecond)
	p.addWorker("b", 1)
	p.s.SetWorkers(p.now, p.list)
	p.run(300 * time.Millisecond)
	p.is.True(!strings.Contains(p.workerRecord(), `"id":"a"`))

	a.restart(p.now)
	a.replaced = false
	p.list[0] = a.info
	p.s.SetWorkers(p.now, p.list)
	p.submit(jobB, step(8, 8000)) // needs both workers
	for end := p.now.Add(2 * time.Second); len(a.runs) == 0 && p.now.Before(end); {
		p.run(tick)
	}
	p.is.True(len(a.runs) > 0)
	p.is.True(strings.Contains(p.workerRecord(), `"id":"a"`))
}

// Guards against a worker that leaves the stored record of workers before the ends that it reported are stored, since a
// write has no room for all: the next owner would not ask the worker and would start its tasks again.
func TestWorkerStaysRecordedUntilItsEndsAreStored(t *testing.T) {
	const jobs = 300 // more than two writes take
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	for i := range jobs {
		p.submit(fmt.Sprintf("%016x", i), step(1, 100))
	}
	p.run(300 * time.Millisecond)
	p.is.Equal(len(p.starts), jobs)
	p.storeDown = true
	p.run(time.Second) // the tasks end
	p.is.Equal(len(p.busy()), 0)
	for _, w := range p.workers {
		p.unlist(w.info.ID)
	}
	p.s.SetWorkers(p.now, p.list)
	p.storeDown = false
	p.writeBatch() // in flight when the workers left the list
	p.writeBatch()
	p.takeOver(200, 0)
	p.addWorker("d", 3)
	p.s.SetWorkers(p.now, p.list)
	p.run(3 * time.Second)
	for id, n := range p.starts {
		if n != 1 {
			t.Fatalf("task %v was started %d times", id, n)
		}
	}
}

// Guards against moving a host away whose worker alone knows how a task has ended: if the owner is lost before it has stored
// the end, the task would run again.
func TestHostsWithUnstoredEndsAreNotIdle(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 2000))
	p.run(300 * time.Millisecond)
	p.storeDown = true
	p.run(time.Second) // the task ends
	p.is.Equal(len(p.busy()), 0)
	p.is.Equal(len(p.s.Cordon(p.now, []string{"a"})), 0)
	p.storeDown = false
	p.run(300 * time.Millisecond)
	p.is.Equal(len(p.s.Cordon(p.now, []string{"a"})), 1)
}

// Guards against leases that are longer than the next owner waits for them, since they were counted from an old reading of
// a slow clock.
func TestLeaseOfAnIdleSlowWorkerIsNotLonger(t *testing.T) {
	p := newPool(t, 2)
	for _, w := range p.workers {
		w.slowClock = true
	}
	p.run(40 * time.Second)
	p.submit(jobA, longRunning(1))
	p.run(20 * time.Millisecond)
	p.run(20 * time.Millisecond)
	p.is.Equal(len(p.busy()), 1)
	p.busy()[0].partitioned = true
	p.takeOver(200, 0)
	p.run(6 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 1)
}

// Guards against refused starts on a worker that was idle for long: its lease would begin in the past.
func TestWorkerGetsTasksAfterALongIdleTime(t *testing.T) {
	p := newPool(t, 1)
	p.run(5 * time.Minute)
	p.submit(jobA, longRunning(1))
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 1)
	p.is.Equal(len(p.orders), 1)
}

// Guards against taking a part of a worker's ends for all of them: tasks whose ends are not listed yet would run again.
func TestEndsBeyondOneReportAreWaitedFor(t *testing.T) {
	for name, newOwner := range map[string]bool{"same owner": false, "new owner": true} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 2)
			p.workers[0].info.CPU, p.workers[0].info.Memory = 1000_000, 10_000_000
			p.list[0] = p.workers[0].info
			p.s.SetWorkers(p.now, p.list)
			p.run(200 * time.Millisecond)
			for i := range 6 {
				p.submit(fmt.Sprintf("%016x", i), step(100, 1000))
			}
			p.run(300 * time.Millisecond)
			p.is.Equal(len(p.starts), 600)
			p.storeDown = true
			p.run(time.Second) // the tasks end
			p.storeDown = false
			if newOwner {
				p.takeOver(200, 0)
			}
			p.run(3 * time.Second)
			for id, n := range p.starts {
				if n != 1 {
					t.Fatalf("task %v was started %d times", id, n)
				}
			}
			p.is.Equal(p.s.Open(), 0)
		})
	}
}

// Guards against a new owner whose clock is behind that of the earlier one, and which does not know yet that an occurrence of
// a job has begun: it would drop the ends of its tasks, stop its runs and start its tasks again.
func TestTasksOfOccurrencesThatAreNotDueYetCount(t *testing.T) {
	for name, runTime := range map[string]time.Duration{"ended": 300 * time.Millisecond, "running": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 2)
			p.duration = func(cuminstair.TaskID) time.Duration { return runTime }
			p.run(200 * time.Millisecond)
			spec := &cuminstair.JobSpec{
				Steps: []cuminstair.JobStep{step(2, 1000), step(2, 1000)}, First: p.now.Add(time.Second).UnixMilli(),
			}
			spec.Steps[1].After = []int{0}
			p.specs[jobA] = spec
			p.s.Submit(p.now, jobA, spec, cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Target: time.Second, Attempts: 3}, "", func(dispatch.Result) {})
			p.run(900 * time.Millisecond)
			p.storeDown = true // the progress is not stored
			p.run(500 * time.Millisecond)
			p.is.Equal(len(p.starts) >= 2, true)
			p.storeDown = false
			p.now = p.now.Add(-700 * time.Millisecond)
			p.takeOver(200, 0)
			p.run(8 * time.Second)
			p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
			p.is.Equal(p.duplicateRuns, 0)
			for id, n := range p.starts {
				if n != 1 {
					t.Errorf("task %v was started %d times", id, n)
				}
			}
		})
	}
}

// Guards against starting a task again that runs on a worker which has restarted under its id: the new incarnation carried
// the start out before the owner knew of it.
func TestStartsOnARestartedWorkerCount(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	for _, w := range p.workers {
		w.restart(p.now.Add(time.Millisecond))
	}
	p.submit(jobA, step(1, 1000))
	p.writeBatch()
	for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, p.now)...) {
		if o.Kind == dispatch.OrderStart {
			p.execute(o)
		} else {
			p.deliver(o, cuminstair.ErrUncertain, nil)
		}
	}
	p.is.Equal(len(p.busy()), 1)
	busy := p.busy()[0]
	for i, w := range p.workers {
		if w == busy {
			p.list[i] = w.info
		}
	}
	busy.partitioned = true // answers no renewal yet
	p.s.SetWorkers(p.now, p.list)
	p.run(400 * time.Millisecond)
	busy.partitioned = false
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.duplicateRuns, 0)
	for _, n := range p.starts {
		p.is.Equal(n, 1)
	}
}

// Guards against tasks that wait for ever since no event follows the end of a worker's block.
func TestTasksStartWhenABlockEnds(t *testing.T) {
	p := newPool(t, 1)
	p.fails = func(cuminstair.TaskID, *fakeWorker) bool { return p.now.Sub(begin) < 2500*time.Millisecond }
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 1000))
	p.run(20 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// decide returns the orders of an owner that wrote to the store some time ago.
func (p *pool) decide(ago time.Duration) []dispatch.Order {
	p.s.SetAlive(p.now.Add(-ago))
	return append([]dispatch.Order(nil), p.s.Decide(p.now, p.now)...)
}

// Guards against an owner that acts on an end which a worker reported after a new owner had read the worker: the new owner
// takes the run for the only one of its task, and the next step for not started. A renewal that waits at the worker is
// answered at its end whoever owns the service by then.
func TestSilentOwnerLooksTwiceAtEnds(t *testing.T) {
	for name, age := range map[string]time.Duration{"alive": 500 * time.Millisecond, "silent": time.Second} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.run(200 * time.Millisecond)
			second := step(1, 2000)
			second.After = []int{0}
			p.submit(jobA, step(1, 1000), second)
			p.run(200 * time.Millisecond)
			var waiting dispatch.Order
			for end := p.now.Add(time.Second); waiting.Wait == 0 && p.now.Before(end); p.now = p.now.Add(tick) {
				for _, o := range p.decide(age) {
					if o.Kind == dispatch.OrderRenew && o.Wait > 0 {
						waiting = o
						continue
					}
					p.execute(o)
				}
			}
			p.is.True(waiting.Wait > 0)
			p.now = p.now.Add(800 * time.Millisecond)
			p.endRuns()
			p.s.SetAlive(p.now.Add(-age))
			p.execute(waiting)
			orders := p.decide(age)
			p.is.Equal(len(orders), 1)
			if age < time.Second {
				p.is.Equal(orders[0].Kind, dispatch.OrderStart)
				return
			}
			p.is.Equal(orders[0].Kind, dispatch.OrderRenew)
			p.is.Equal(orders[0].Wait, time.Duration(0))
			p.execute(orders[0])
			orders = p.decide(age)
			p.is.True(len(orders) > 0)
			p.is.Equal(orders[0].Kind, dispatch.OrderStart)
		})
	}
}

// Guards against giving up runs of a restarted worker too early: it may have got a lease that was counted on the clock of its
// earlier incarnation, and that is as long as the worker permits.
func TestLeaseOfARestartedWorkerMayBeLong(t *testing.T) {
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
	p.s.SetWorkers(p.now, p.list)
	p.run(15 * time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 1)
}

// Guards against starting a task again that a worker refuses to start since the same run has already ended there: a start
// may be carried out twice on its way.
func TestRefusalAsAnOldRunIsNoProofThatItDidNotRun(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 2000))
	p.writeBatch()
	orders := append([]dispatch.Order(nil), p.s.Decide(p.now, p.now)...)
	for _, o := range orders {
		if o.Kind != dispatch.OrderStart {
			p.execute(o)
			continue
		}
		w := p.worker(o.Worker.ID)
		p.starts[o.Task]++
		w.token, w.lease = o.Token, o.Start.Lease
		w.end(o.Task, &fakeRun{run: o.Run}, cuminstair.EndDone)
		p.execute(o)
		w.partitioned = true
	}
	p.run(200 * time.Millisecond)
	for _, w := range p.workers {
		w.partitioned = false
	}
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA}], 1)
}

// Guards against tasks that wait for ever since the only worker that has room for them is the one on which they failed.
func TestTaskReturnsToTheOnlyWorkerWithRoom(t *testing.T) {
	p := newPool(t, 2)
	p.list[1].CPU = 1000
	p.s.SetWorkers(p.now, p.list)
	failures := 0
	p.fails = func(cuminstair.TaskID, *fakeWorker) bool {
		failures++
		return failures == 1
	}
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 20000))
	p.run(10 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// Guards against sending starts again and again that a worker refuses since their lease has passed on its clock, which this
// owner has read too long ago.
func TestStartsAreNotRepeatedOnAWorkerWithAnUnknownClock(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 2000))
	p.writeBatch()
	refused := 0
	for end := p.now.Add(280 * time.Millisecond); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, p.now)...) {
			if o.Kind == dispatch.OrderStart {
				refused++
				p.deliver(o, cuminstair.ErrLeaseExpired, nil)
			}
		}
	}
	p.is.Equal(refused, 1)
}

// Guards against an acknowledgement that was meant for the earlier incarnation of a worker: the new one would forget ends that
// no owner has read.
func TestEndsOfARestartedWorkerAreNotAcknowledgedUnread(t *testing.T) {
	for name, answered := range map[string]bool{"start answered": true, "start not answered": false} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.duration = func(cuminstair.TaskID) time.Duration { return 20 * time.Millisecond }
			p.run(200 * time.Millisecond)
			p.submit(jobA, step(5, 2000))
			p.run(2 * time.Second)
			p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
			w := p.workers[0]
			p.is.Equal(len(w.ended), 0) // acknowledged
			w.restart(p.now)
			w.dropReplies = !answered
			p.submit(jobB, step(1, 2000))
			p.writeBatch()
			for _, o := range p.decide(0) {
				if o.Kind == dispatch.OrderStart {
					p.execute(o)
				} else {
					p.deliver(o, cuminstair.ErrUncertain, nil) // the run ends before the first report
				}
			}
			p.run(4 * time.Second)
			p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
			p.is.Equal(p.starts[cuminstair.TaskID{Job: jobB}], 1)
		})
	}
}

// Guards against acknowledgements that are lost with a renewal.
func TestLostAcknowledgementsAreRepeated(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 2000))
	p.run(500 * time.Millisecond)
	lost := 0
	for end := p.now.Add(3 * time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		p.endRuns()
		for _, o := range p.decide(0) {
			if o.Kind == dispatch.OrderRenew && o.Seen > 0 && lost < 2 {
				lost++
				p.deliver(o, cuminstair.ErrUncertain, nil)
				continue
			}
			p.execute(o)
		}
		p.writeBatch()
	}
	p.is.Equal(lost, 2)
	p.is.Equal(len(p.workers[0].ended), 0)
}

// Guards against giving up a start without an answer when the lease has run out by the clock of the worker's earlier incarnation:
// the worker has restarted unnoticed, and its lease runs for longer by its new clock.
func TestStartAfterAnUnnoticedRestartKeepsTheLongestLease(t *testing.T) {
	p := newPool(t, 2)
	p.run(20 * time.Second) // the clock is far ahead of that of a later incarnation
	w := p.workers[0]
	p.unlist(w.info.ID)
	p.unlist(p.workers[1].info.ID)
	p.list = append(p.list, w.info)
	p.s.SetWorkers(p.now, p.list)
	w.restart(p.now)
	w.dropReplies = true
	p.submit(jobA, step(1, 2000))
	p.duration = func(cuminstair.TaskID) time.Duration { return time.Minute }
	p.writeBatch()
	for _, o := range p.decide(0) {
		if o.Kind == dispatch.OrderStart {
			p.execute(o)
		} else {
			p.deliver(o, cuminstair.ErrUncertain, nil)
		}
	}
	id := cuminstair.TaskID{Job: jobA}
	p.is.Equal(p.starts[id], 1)
	w.partitioned = true
	p.list = append(p.list, p.workers[1].info)
	p.s.SetWorkers(p.now, p.list)
	p.run(21 * time.Second) // 12 s for a late copy of the start, and most of the longest lease
	p.is.Equal(p.starts[id], 1)
	p.run(4 * time.Second)
	p.is.Equal(p.starts[id], 2)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against ends that stay listed since their acknowledgement was withheld from a new connection.
func TestWithheldAcknowledgementsAreRepeated(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.withhold = 2
	p.submit(jobA, step(1, 2000))
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.withhold, 0)
	p.is.Equal(len(p.workers[0].ended), 0)
}

// Guards against a new owner that takes the step after a gang for not started since it has found a member of the gang: any
// other member may have told the earlier owner of its end.
func TestFoundGangDoesNotProveThatTheNextStepHasNotBegun(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	gang, next := step(2, 20000), step(1, 2000)
	gang.Gang, next.After = true, []int{0}
	p.submit(jobA, gang, next)
	p.run(200 * time.Millisecond)
	p.is.Equal(len(p.busy()), 2)
	for _, w := range p.workers {
		w.partitioned = w != p.busy()[0]
	}
	p.takeOver(200, 6*time.Second)
	p.run(3 * time.Second)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA, Step: 1}], 0)
}

// Guards against an owner that starts the tasks of a lost worker again although it may have a successor, which may have read
// their ends before.
func TestLossIsNotActedUponByAnOwnerWithoutTheStore(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.run(time.Second)
	w := p.busy()[0]
	w.replaced = true
	w.runs = map[cuminstair.TaskID]*fakeRun{}
	confirmed := p.now
	starts := 0
	for end := p.now.Add(3 * time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		if p.now.After(begin.Add(3 * time.Second)) {
			confirmed = p.now // the store answers again
		}
		p.s.SetAlive(begin)
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, confirmed)...) {
			if o.Kind == dispatch.OrderStart {
				starts++
				p.is.True(p.now.After(begin.Add(3 * time.Second)))
			}
			p.execute(o)
		}
		p.writeBatch()
	}
	p.is.Equal(starts, 1)
}

// rerunPool returns a pool in which an earlier owner has started the first step of job A again, although a step after it was
// done, since it had not read that the first step was done too. The last step has ended as done on a worker that does not
// answer the new owner.
func rerunPool(t *testing.T) *pool {
	t.Helper()
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	steps := []cuminstair.JobStep{step(1, 20000), step(1, 20000), step(1, 20000)}
	steps[1].After, steps[2].After = []int{0}, []int{1}
	p.submit(jobA, steps...)
	last := cuminstair.TaskID{Job: jobA, Step: 2}
	for end := p.now.Add(10 * time.Second); p.starts[last] == 0 && p.now.Before(end); {
		p.run(tick)
	}
	p.run(200 * time.Millisecond)
	for key := range p.store {
		if key.Table == dispatch.RunTable {
			p.store[key] = []byte(`{"state":2,"next":1,"runs":[{"done":["","*",""]}]}`)
		}
	}
	var again *fakeWorker
	for _, w := range p.workers {
		w.partitioned = len(w.runs) > 0
		if !w.partitioned {
			again = w
		}
	}
	again.runs[cuminstair.TaskID{Job: jobA}] = &fakeRun{run: 100*1024 + 9, started: p.now, cpu: 20000}
	p.storeDown = true
	p.run(500 * time.Millisecond) // the last step ends
	p.storeDown = false
	p.takeOver(200, 6*time.Second)
	return p
}

// Guards against starting a step before all workers of the earlier owner have answered, since a task of a step before it
// still runs: that may be a second run.
func TestSecondRunOfAnEarlierStepProvesNothing(t *testing.T) {
	p := rerunPool(t)
	p.run(3 * time.Second)
	for _, w := range p.workers {
		w.partitioned = false
	}
	p.run(4 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.starts[cuminstair.TaskID{Job: jobA, Step: 2}], 1)
}

// Guards against running a step again although a step after it has begun, which proves that it was done.
func TestStepBeforeABegunOneIsDone(t *testing.T) {
	p := newPool(t, 2)
	p.list[0].Labels, p.list[1].Labels = []string{"x"}, []string{"y"}
	p.s.SetWorkers(p.now, p.list)
	p.duration = func(id cuminstair.TaskID) time.Duration { return time.Duration(1+id.Step) * time.Second }
	p.run(200 * time.Millisecond)
	first, second := step(1, 2000), step(1, 2000)
	first.Label, second.Label, second.After = "x", "y", []int{0}
	p.submit(jobA, first, second)
	p.run(500 * time.Millisecond)
	p.storeDown = true // the end of the first step is not stored
	p.run(time.Second)
	p.is.Equal(len(p.workers[1].runs), 1)
	p.storeDown = false
	p.workers[0].partitioned = true
	p.takeOver(200, 6*time.Second)
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.workers[0].partitioned = false
	p.run(6 * time.Second)
	for _, n := range p.starts {
		p.is.Equal(n, 1)
	}
}
