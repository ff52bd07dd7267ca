package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Guards against restarting tasks while an unreachable worker still runs them.
func TestCutWorkerKeepsItsTasksUntilTheLeaseIsOver(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 3)
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			w.partitioned = true
			break
		}
	}
	p.run(dispatch.Lease + 3*time.Second)
	p.is.Equal(p.duplicateRuns, 0)
	p.is.Equal(p.running(), 3) // started again elsewhere
}

// Guards against counting a lease as extended by a failed renewal, so that a long-running task of a crashed worker is
// never restarted.
func TestDeadWorkerLosesItsLease(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(2 * time.Second)
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			w.crashed = true
			break
		}
	}
	p.run(dispatch.Lease + 2*time.Second)
	p.is.Equal(p.running(), 3)
}

// Guards against an old owner that treats leases as expired which a new owner has extended: after a data centre was
// cut off, tasks would run twice.
func TestUnconfirmedOwnerDoesNotStartAgain(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(2 * time.Second)
	p.s.Grace = time.Hour
	confirmed := p.now
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			w.partitioned = true // for this owner; another owner may reach the worker and extend its lease
			break
		}
	}
	for end := p.now.Add(dispatch.Lease + 3*time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, confirmed)...) {
			if o.Kind == dispatch.OrderStart {
				t.Fatalf("task %v was started again by an owner that the store did not confirm", o.Task)
			}
			p.execute(o)
		}
	}
}

// Guards against orders of an owner that has learned of a newer owner.
func TestHigherTokenStopsTheOwner(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(2, 2000))
	p.run(300 * time.Millisecond)
	for _, w := range p.workers {
		w.token = 500
	}
	p.run(2 * time.Second)
	p.is.True(p.s.Deposed())
	p.is.Equal(len(p.s.Decide(p.now, p.now)), 0)
}

// Guards against restarting tasks that still run on workers which the new owner can't reach.
func TestTakeoverWaitsForWorkersThatDoNotAnswer(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(2))
	p.run(2 * time.Second)
	for _, w := range p.workers {
		w.partitioned = len(w.runs) > 0
	}
	p.takeOver(200, 6*time.Second)
	p.run(5 * time.Second) // the earlier owner may still extend leases
	for _, n := range p.starts {
		p.is.Equal(n, 1)
	}
	p.run(2 * time.Second) // no lease outlasts the time for which the earlier owner may give orders
	p.is.Equal(p.running(), 2)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against leases that outlast the time for which an owner may give orders without the store. The next owner
// relies on that bound before it restarts tasks of earlier jobs.
func TestLeasesEndWithTheGrace(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(2))
	p.run(2 * time.Second)
	confirmed := p.now // the store stops answering
	for end := p.now.Add(8 * time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, o := range p.s.Decide(p.now, confirmed) {
			p.execute(o)
		}
	}
	for _, w := range p.workers {
		is.True(!w.startedAt.Add(w.lease).After(confirmed.Add(p.s.Grace)))
	}
}

// Guards against a new owner that is cut off immediately and treats leases of the earlier owner as expired while the
// next owner extends them, so that tasks run twice.
func TestUnconfirmedTakeoverDoesNotStartAgain(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(2))
	p.run(2 * time.Second)
	for _, w := range p.workers {
		w.partitioned = len(w.runs) > 0 // for this owner; another owner reaches the worker and extends its lease
	}
	p.takeOver(200, 0)
	confirmed := p.now
	for end := p.now.Add(dispatch.Lease + 3*time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		for _, o := range p.s.Decide(p.now, confirmed) {
			if o.Kind == dispatch.OrderStart {
				t.Fatalf("task %v was started again by an owner that the store did not confirm", o.Task)
			}
			p.execute(o)
		}
	}
}

// Guards against a new owner that gives no orders once the earlier owner has stopped: the period for which the earlier
// owner may give orders must not limit the new owner.
func TestUnchallengedOwnerGoesOn(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(2))
	p.run(2 * time.Second)
	p.takeOver(200, 6*time.Second)
	p.run(100 * time.Millisecond)
	p.s.EarlierOwnerStopped(p.now)
	p.submit(jobB, step(2, 1000))
	p.run(dispatch.Lease + time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
	p.is.Equal(p.running(), 2)
	for _, n := range p.starts {
		p.is.Equal(n, 1) // leases were extended
	}
}

// Guards against planned work that interrupts a task right after a takeover, while a stop ordered by the earlier owner
// may still be in progress.
func TestNoMovesRightAfterATakeover(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(3 * time.Second)
	var ids []string
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			ids = append(ids, w.info.ID)
		}
	}
	p.takeOver(200, 0)
	for range 30 {
		p.s.Cordon(p.now, ids)
		p.run(tick)
	}
	p.is.Equal(p.ready(), 3)
}

// Guards against exceeding the room of a worker because runs of a finished job that have not ended yet are counted as
// taking no room.
func TestRunsOfEndedJobsKeepTheirRoom(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(10)) // 20 of 32 cores
	p.run(2 * time.Second)
	p.s.Cancel(p.now, jobA, func(dispatch.Result) {})
	p.writeBatch() // the cancellation is stored, but the stops are lost with the owner
	p.workers[0].partitioned = true
	p.takeOver(200, 0)
	p.workers[0].partitioned = false
	p.workers[0].stopDuration = time.Second
	p.submit(jobB, step(8, 3000)) // 24 cores
	p.run(4 * time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against acknowledging ends before they are stored: the next owner would run the tasks again.
func TestEndsAreStoredBeforeTheyAreAcknowledged(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(4, 2000))
	p.run(300 * time.Millisecond)
	p.storeDown = true
	p.run(1500 * time.Millisecond) // the tasks end while the store is down
	p.storeDown = false
	p.takeOver(200, 0)
	p.run(3 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	for id, n := range p.starts {
		if n != 1 {
			t.Errorf("task %v was started %d times", id, n)
		}
	}
}

// Guards against losing a failure after a takeover, when workers report failures in another order than they happened.
// A task limited to three attempts would then be started a fourth time.
func TestFailuresCountOnceInAnyOrder(t *testing.T) {
	for round := range 8 { // the order in which workers are read varies
		p := newPool(t, 3)
		p.fails = func(cuminstair.TaskID, *fakeWorker) bool { return true }
		p.run(200 * time.Millisecond)
		p.submit(jobA, step(1, 1000))
		p.run(time.Second)
		p.storeDown = true // the failures are not stored, only the workers have them
		p.run(1100 * time.Millisecond)
		p.storeDown = false
		p.takeOver(200, 0)
		p.run(6 * time.Second)
		p.is.Equal(p.s.State(jobA), cuminstair.JobFailed)
		for id, n := range p.starts {
			if n != 3 {
				t.Errorf("round %d: task %v was started %d times", round, id, n)
			}
		}
	}
}

// Guards against mishandling a worker that restarts under the same id: its earlier runs are lost, and starts that the
// new incarnation got meanwhile still count.
func TestRebornWorker(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(4))
	p.run(2 * time.Second)
	for _, w := range p.workers {
		if len(w.runs) == 0 {
			continue
		}
		w.runs, w.barred, w.ended = map[cuminstair.TaskID]*fakeRun{}, map[cuminstair.TaskID]int64{}, nil
		w.seq, w.token, w.lease, w.startedAt = 0, 0, 0, p.now
		w.info.Incarnation += 2000
		break
	}
	p.run(2 * time.Second) // the list still has the earlier incarnation
	p.is.Equal(p.running(), 4)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against never contacting a worker again that was cut off until its tasks had ended elsewhere. The worker would
// get no more tasks.
func TestSilentWorkerIsAskedAgain(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.duration = func(cuminstair.TaskID) time.Duration { return 2 * time.Second }
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(4, 8000)) // fills half of each worker, or one worker
	p.run(300 * time.Millisecond)
	isolated := p.workers[0]
	if len(isolated.runs) == 0 {
		isolated = p.workers[1]
	}
	isolated.partitioned = true
	p.run(9 * time.Second)
	is.Equal(p.s.State(jobA), cuminstair.JobCompleted) // by the other worker
	isolated.partitioned = false
	p.run(1500 * time.Millisecond)
	p.submit(jobB, step(8, 8000)) // fills both workers
	p.run(500 * time.Millisecond)
	is.True(len(isolated.runs) > 0)
}

// Guards against placing tasks in a data centre that is cut off until each worker there has failed on its own, and
// against avoiding a data centre although only one of its workers is silent or its hosts have moved.
func TestCutOffCentreIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name   string
		cut    int // number of workers of the first data centre that are cut off
		cutOff bool
		moved  bool // the hosts of these workers have moved and refuse connections
	}{{"cut", 4, true, false}, {"one worker", 1, false, false}, {"hosts have moved", 4, false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, 8)
			for i := range p.list {
				p.list[i].Centre = string(rune('x' + i/4))
			}
			p.s.SetWorkers(p.now, p.list)
			p.duration = func(cuminstair.TaskID) time.Duration { return 2 * time.Second }
			p.run(200 * time.Millisecond)
			for _, w := range p.workers[:c.cut] {
				w.dropStarts, w.connRefused = !c.moved, c.moved // orders are lost silently, or connections are refused
			}
			p.submit(jobA, step(32, 6000)) // four on each worker
			p.run(500 * time.Millisecond)
			before := len(p.orders)
			p.submit(jobB, step(4, 6000))
			p.run(200 * time.Millisecond)
			startsInCut := 0
			for _, o := range p.orders[before:] {
				if o.Task.Job == jobB && o.Worker.Centre == "x" {
					startsInCut++
				}
			}
			is.Equal(len(p.s.Demand(p.now, 0, 0).CutOff) > 0, c.cutOff)
			if c.cutOff {
				is.Equal(startsInCut, 0)
			}
		})
	}
}

// Guards against tasks that wait for leases in a data centre that is cut off although copies are allowed, against
// copies of other tasks, and against copies that keep running when no longer needed.
func TestCopiesRunDuringACut(t *testing.T) {
	for _, dup := range []bool{true, false} {
		t.Run(fmt.Sprintf("duplicates=%v", dup), func(t *testing.T) {
			is := is.New(t)
			p := newPool(t, 8)
			for i := range p.list {
				p.list[i].Centre = string(rune('x' + i/4))
			}
			p.s.SetWorkers(p.now, p.list)
			p.duration = func(cuminstair.TaskID) time.Duration { return 1500 * time.Millisecond }
			p.run(200 * time.Millisecond)
			s := step(40, 6000) // five on each worker, so that some are in the cut-off data centre wherever they are placed
			s.Duplicates = dup
			p.submit(jobA, s)
			p.run(500 * time.Millisecond)
			for _, w := range p.workers[:4] {
				w.partitioned = true
			}
			p.run(3500 * time.Millisecond)
			is.Equal(p.s.State(jobA) == cuminstair.JobCompleted, dup)
			for _, w := range p.workers {
				w.partitioned = false
			}
			p.run(5 * time.Second)
			is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
			is.Equal(len(p.busy()), 0)
			if !dup {
				is.Equal(p.duplicateRuns, 0)
			}
		})
	}
}

// newCentresPool returns a pool whose workers lie in turn in three data centres.
func newCentresPool(t *testing.T, workers int) *pool {
	p := newPool(t, 0)
	for i := range workers {
		p.addWorker(string(rune('a'+i)), i)
		w := p.workers[i]
		w.info.Centre = "c" + string(rune('0'+i%3))
		p.list[i] = w.info
	}
	p.s.SetWorkers(p.now, p.list)
	p.run(200 * time.Millisecond)
	return p
}

// Guards against the loss of one data centre that delays nearly every job: the tasks of each job are spread over all data
// centres, and the job waits for the leases of those that are cut off. Of jobs that are spread evenly, a third lies in
// each of three data centres.
func TestCutDelaysOnlyTheJobsPlacedThere(t *testing.T) {
	p := newCentresPool(t, 12)
	const jobs = 9
	id := func(i int) string { return fmt.Sprintf("%016x", i+1) }
	for i := range jobs {
		p.submit(id(i), step(5, hostCPU/8))
		p.run(20 * time.Millisecond)
	}
	p.run(200 * time.Millisecond)
	for _, w := range p.workers {
		w.partitioned = w.info.Centre == "c1"
	}
	p.run(time.Second)
	delayed := 0
	for i := range jobs {
		if p.s.State(id(i)) != cuminstair.JobCompleted {
			delayed++
		}
	}
	p.is.Equal(delayed, jobs/3)
	p.run(8 * time.Second)
	for i := range jobs {
		p.is.Equal(p.s.State(id(i)), cuminstair.JobCompleted)
	}
	p.is.Equal(p.duplicateRuns, 0)
}

// twoJobsInTwoCentres starts two jobs of two steps, each in a data centre of its own, and lets another owner take over
// while the workers of the first job do not answer.
func twoJobsInTwoCentres(t *testing.T) *pool {
	p := newCentresPool(t, 6)
	second := step(2, 2000)
	second.After = []int{0}
	p.submit(jobA, step(2, 2000), second)
	p.run(100 * time.Millisecond)
	p.submit(jobB, step(2, 2000), second)
	p.run(200 * time.Millisecond)
	for _, w := range p.workers {
		for id := range w.runs {
			w.partitioned = w.partitioned || id.Job == jobA
		}
	}
	p.takeOver(200, 6*time.Second)
	return p
}

// Guards against jobs that wait for the leases of workers on which none of their tasks can run: the next step of a job
// whose tasks ran on workers that answer the new owner.
func TestTakeoverGoesOnWithJobsOnWorkersThatAnswer(t *testing.T) {
	p := twoJobsInTwoCentres(t)
	p.run(1600 * time.Millisecond) // two steps of 600 ms
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
	p.is.True(p.s.State(jobA) != cuminstair.JobCompleted)
	p.run(10 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against a second run of a task whose worker failed after the takeover: the earlier owner may have noticed the
// failure too, and have started the task again on a worker that does not answer the new owner.
func TestTakeoverWaitsForTasksOfFailedWorkers(t *testing.T) {
	p := twoJobsInTwoCentres(t)
	p.run(100 * time.Millisecond)
	before := map[cuminstair.TaskID]int{}
	for id, n := range p.starts {
		before[id] = n
	}
	for _, w := range p.workers {
		if len(w.runs) > 0 && !w.partitioned {
			w.runs = map[cuminstair.TaskID]*fakeRun{}
			w.info.Incarnation, w.startedAt, w.token = p.now.UnixMilli(), p.now, 0
		}
	}
	p.run(2 * time.Second)
	for id, n := range p.starts {
		p.is.Equal(n, before[id])
	}
}

// Guards against a new owner that holds back earlier jobs for a lease although the worker which does not answer is gone:
// its host was moved to another pool, and the list of workers shows it still.
func TestTakeoverDoesNotWaitForMovedHosts(t *testing.T) {
	p := newPool(t, 2)
	p.startOnHosts()
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			w.connRefused = true
			w.runs = map[cuminstair.TaskID]*fakeRun{}
		}
	}
	p.takeOver(200, 0)
	p.run(time.Second)
	p.is.Equal(p.running(), 0) // the refused connection alone is no proof
	p.is.True(p.s.NeedsHosts())
	p.s.SetHosts(p.now, p.now, []cuminstair.HostRecord{{Name: "ha", Pool: "other"}, {Name: "hb", Pool: "other"}})
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 1)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against a new owner that gives up runs after its own leases on a worker which had restarted under its id before the
// takeover: an order of the earlier owner, with a lease on the clock of the incarnation before, holds them for as long as the
// worker permits. The earlier owner may have recorded the restart, or not have known of it.
func TestNewOwnerKeepsTheRunsOfARestartedWorkerThatHasAnswered(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprintf("recorded=%v", recorded), func(t *testing.T) {
			p := newPool(t, 1)
			p.run(30 * time.Second)
			w := p.workers[0]
			if recorded {
				p.submit(jobA, longRunning(1))
				p.run(2 * time.Second)
				w.restart(p.now) // the next renewal has a lease on the earlier clock
				p.run(400 * time.Millisecond)
			} else {
				w.restart(p.now) // and is idle, so that it isn't asked before the start
				p.submit(jobA, longRunning(1))
				p.run(tick)
				p.storeDown = true
				p.run(tick)
			}
			p.is.Equal(p.running(), 1)
			p.storeDown, p.list[0] = false, w.info
			p.takeOver(200, 6*time.Second)
			p.run(200 * time.Millisecond)
			w.partitioned = true
			p.addWorker("b", 1)
			p.s.SetWorkers(p.now, p.list)
			p.run(15 * time.Second)
			p.is.Equal(p.duplicateRuns, 0)
			p.is.Equal(p.running(), 1)
		})
	}
}

// Guards against a lease on the clock of an earlier incarnation that counts for the later one, whose clock begins anew: the
// tasks of a worker that is cut off would wait for as long as the earlier incarnation had run.
func TestRestartEndsTheLeasesOfTheEarlierClock(t *testing.T) {
	p := newPool(t, 1)
	w := p.workers[0]
	w.restart(p.now.Add(tick))
	p.list[0] = w.info
	p.run(30 * time.Second)
	p.takeOver(200, 0) // the record tells of the restart
	p.submit(jobB, step(1, 1000))
	p.run(20 * time.Second)
	w.restart(p.now)
	p.list[0] = w.info
	p.s.SetWorkers(p.now, p.list)
	p.run(time.Second)
	p.submit(jobA, longRunning(1))
	p.run(time.Second)
	p.is.Equal(p.running(), 1)
	w.partitioned = true
	p.addWorker("b", 1)
	p.s.SetWorkers(p.now, p.list)
	p.run(15 * time.Second)
	p.is.Equal(p.running(), 1)
}
