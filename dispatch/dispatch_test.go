package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

// Guards against an accepted job that is not run, and steps that start before their dependencies are done.
func TestJobRunsItsStepsInOrder(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	second := step(3, 2000)
	second.After = []int{0}
	a := p.submit(jobA, step(4, 2000), second)
	p.run(100 * time.Millisecond)
	p.is.Equal(a.Outcome, dispatch.Accepted)
	p.is.Equal(a.calls, 1)
	p.run(300 * time.Millisecond)
	p.is.Equal(p.running(), 4) // the second step waits
	p.run(2 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(len(p.starts), 7)
	p.is.Equal(p.duplicateRuns, 0)
}

// Guards against reporting a job as accepted before it is stored, and as refused while it may be stored.
func TestAnswerWaitsForTheStore(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.storeDown = true
	first := p.submit(jobA, step(1, 1000))
	p.run(100 * time.Millisecond)
	p.is.Equal(first.calls, 0) // not decided yet
	second := p.submit(jobB, step(1, 1000))
	p.run(1200 * time.Millisecond)
	p.is.Equal(first.calls, 0)                       // a slow store may still accept the job, and Uncertain is final for the caller
	p.run(1500 * time.Millisecond)                   // callers time out after 3 s
	p.is.Equal(first.Outcome, dispatch.Uncertain)    // its write is in flight
	p.is.Equal(second.Outcome, dispatch.Unavailable) // its write was never sent
	sent := p.now.Add(-time.Second)
	p.is.True(!p.s.MayBeLate(p.now, jobA, sent))
	p.is.True(p.s.MayBeLate(p.now, jobB, sent)) // a late copy of its call must not be accepted without a question
	p.storeDown = false
	p.run(2 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.is.Equal(p.s.State(jobB), cuminstair.JobUnknown)
}

// Guards against long waits of callers whose jobs were not sent to the store when the store is known to be down.
func TestRefusalComesSoonWhileTheStoreIsDown(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.storeDown = true
	p.submit(jobA, step(1, 1000))
	p.run(100 * time.Millisecond)
	second := p.submit(jobB, step(1, 1000))
	p.run(700 * time.Millisecond)
	p.s.SetStoreDown(true)
	p.run(700 * time.Millisecond)
	p.is.Equal(second.Outcome, dispatch.Unavailable)
}

// Guards against a second job when a caller sends the same id again.
func TestRepeatIsOneJob(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(2, 1000))
	p.run(100 * time.Millisecond)
	again := p.submit(jobA, step(2, 1000))
	p.is.Equal(again.Outcome, dispatch.Accepted)
	p.run(3 * time.Second)
	again = p.submit(jobA, step(2, 1000))
	p.is.Equal(again.Outcome, dispatch.Accepted)
	p.run(time.Second)
	for id, n := range p.starts {
		if n != 1 {
			t.Errorf("task %v was started %d times", id, n)
		}
	}
}

// Guards against a second concurrent run of a task whose start was not answered, whether the worker starts the first run
// at once, later or never.
func TestStartWithoutAnswer(t *testing.T) {
	for name, fault := range map[string]func(w *fakeWorker){
		"started": func(w *fakeWorker) { w.dropReplies = true },
		"lost":    func(w *fakeWorker) { w.dropStarts = true },
		"late":    func(w *fakeWorker) { w.startDelay = 1200 * time.Millisecond },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 3)
			p.duration = func(cuminstair.TaskID) time.Duration { return 2 * time.Second }
			p.run(200 * time.Millisecond)
			for _, w := range p.workers {
				fault(w)
			}
			p.submit(jobA, step(3, 2000))
			p.run(100 * time.Millisecond)
			for _, w := range p.workers {
				w.dropReplies, w.dropStarts, w.startDelay = false, false, 0
			}
			p.run(9 * time.Second)
			p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
			p.is.Equal(p.duplicateRuns, 0)
		})
	}
}

// Guards against losing a job that is cancelled while its write is in flight.
func TestCancelWhileTheWriteIsUnderWay(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.storeDown = true
	p.submit(jobA, step(1, 1000))
	p.run(100 * time.Millisecond)
	a := &reply{}
	p.s.Cancel(p.now, jobA, a.set)
	p.run(2 * time.Second)
	p.is.Equal(a.calls, 0) // the result of the write is unknown
	p.storeDown = false
	p.run(time.Second)
	p.is.Equal(a.Outcome, dispatch.Accepted)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCancelled)
	p.is.Equal(len(p.starts), 0)
}

// Guards against the answer that there is no such job by a former owner, whose successor runs the job.
func TestCancelOfAnUnknownJobWaitsForTheStore(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	former, confirmed := p.now, &reply{}
	p.s.Cancel(p.now, jobA, confirmed.set)
	p.s.Decide(p.now.Add(100*time.Millisecond), former)
	p.is.Equal(confirmed.calls, 0) // the store has not named this owner since
	p.s.Decide(p.now.Add(200*time.Millisecond), p.now.Add(50*time.Millisecond))
	p.is.Equal(confirmed.Outcome, dispatch.NotFound)
	p.is.True(p.s.MayBeLate(p.now.Add(300*time.Millisecond), jobA, p.now.Add(150*time.Millisecond)))
	silent, deposed := &reply{}, &reply{}
	p.s.Cancel(p.now, jobA, silent.set)
	p.s.Decide(p.now.Add(3*time.Second), former)
	p.is.Equal(silent.Outcome, dispatch.Uncertain)
	p.s.Cancel(p.now, jobA, deposed.set)
	p.s.AnswerAll()
	p.is.Equal(deposed.Outcome, dispatch.Uncertain)
}

// Guards against the answer that there is no such job by a former owner whose job could not be stored.
func TestCancelOfAnUnwrittenJobWaitsForTheStore(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.storeDown = true
	p.submit(jobA, step(1, 1000)) // its write is under way
	p.run(100 * time.Millisecond)
	p.submit(jobB, step(1, 1000))
	a := &reply{}
	p.s.Cancel(p.now, jobB, a.set)
	former := p.now
	p.s.AnswerLate(p.now.Add(2500*time.Millisecond), p.batch)
	p.is.Equal(a.calls, 0)
	p.s.Decide(p.now.Add(2600*time.Millisecond), former)
	p.is.Equal(a.calls, 0) // the store has not named this owner since
	p.s.Decide(p.now.Add(2700*time.Millisecond), p.now.Add(2650*time.Millisecond))
	p.is.Equal(a.Outcome, dispatch.NotFound)
}

// Guards against denials that pile up while a write to the store is under way.
func TestDenialsAreForgottenDuringAnOutage(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	p.storeDown = true
	p.submit(jobB, step(1, 1000)) // its write is not answered
	p.run(100 * time.Millisecond)
	p.s.Cancel(p.now, jobA, func(dispatch.Result) {})
	p.run(time.Second)
	p.is.Equal(p.s.Denials(), 1)
	p.run(30 * time.Second)
	p.is.Equal(p.s.Denials(), 0)
}

// Guards against losing stops that are ordered between two calls of Decide.
func TestStopIsOrderedAtOnce(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(2))
	p.run(2 * time.Second)
	p.s.Cancel(p.now, jobA, func(dispatch.Result) {})
	p.run(2*tick + stopGrace/4)
	p.is.Equal(p.running(), 0)
}

// Guards against exceeding the room of a worker, which tasks that are being stopped still occupy.
func TestRoomIsNeverExceeded(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	for i := range 12 {
		p.submit("00000000000000"+string(rune('a'+i))+"0", step(6, 7000))
		p.run(60 * time.Millisecond)
		if i%3 == 2 {
			a := &reply{}
			p.s.Cancel(p.now, "00000000000000"+string(rune('a'+i-1))+"0", a.set)
		}
	}
	p.run(8 * time.Second)
	p.is.Equal(p.overCapacity, 0)
}

// Guards against a cancelled job that starts or keeps running, also after a takeover.
func TestCancelStopsAJob(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(4))
	p.run(2 * time.Second)
	a := &reply{}
	p.s.Cancel(p.now, jobA, a.set)
	p.is.Equal(a.calls, 0) // not stored yet
	p.run(time.Second)
	p.is.Equal(a.Outcome, dispatch.Accepted)
	p.is.Equal(p.running(), 0)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCancelled)
	p.takeOver(200, 0)
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 0)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCancelled)
}

// Guards against maintenance that interrupts more tasks of a long-running step than may be down at once.
func TestCordonMovesLastingTasksOneByOne(t *testing.T) {
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(4))
	p.run(3 * time.Second)
	var ids []string
	for _, w := range p.workers {
		if len(w.runs) > 0 && len(ids) < 3 {
			ids = append(ids, w.info.ID)
		}
	}
	idle := 0
	for i := range 600 {
		if i%10 == 0 {
			idle = len(p.s.Cordon(p.now, ids))
		}
		p.run(tick)
		if n := p.ready(); n < 3 {
			t.Fatalf("%d of 4 tasks are running, but only one may be missed", n)
		}
	}
	p.is.Equal(idle, len(ids))
	p.is.Equal(p.running(), 4)
}

// Guards against new tasks on a leaving worker, and against long-running tasks that are not moved off it.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(2 * time.Second)
	leaving := ""
	for i, w := range p.workers {
		if len(w.runs) > 0 {
			p.list[i].State = cuminstair.WorkerLeaving
			leaving = w.info.ID
			break
		}
	}
	p.s.SetWorkers(p.now, p.list)
	p.run(1500 * time.Millisecond)
	p.submit(jobB, step(40, 2000)) // more than the other workers have room for
	p.run(300 * time.Millisecond)
	p.is.Equal(len(p.worker(leaving).runs), 0)
	p.is.Equal(p.running(), 3)
}

// Guards against a planned move that interrupts a task while another one of its step is down. A worker begins to leave
// while a task of the same step is being stopped on a healthy worker; the leaving worker's task must not end first.
func TestLeavingWorkerWaitsForAPlannedMove(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	healthy, leaving := p.startPair()
	healthy.stopDuration = stopGrace
	p.s.Cordon(p.now, []string{healthy.info.ID})
	p.run(2 * tick)
	for i := range p.list {
		if p.list[i].ID == leaving.info.ID {
			p.list[i].State = cuminstair.WorkerLeaving
		}
	}
	p.s.SetWorkers(p.now, p.list)
	for len(healthy.runs) > 0 {
		is.Equal(len(leaving.runs), 1) // the other task runs until the stop has taken effect
		p.run(tick)
	}
	p.run(2 * time.Second)
	is.Equal(len(leaving.runs), 0)
	is.Equal(p.running(), 2)
}

// Guards against a planned move that interrupts a task while the worker of another task of its step does not answer,
// for example after its rack lost power. The silent worker's tasks must not count as running until their leases expire.
func TestNoMovesWhileAWorkerIsSilent(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	silent, healthy := p.startPair()
	silent.crashed = true
	p.run(time.Second)
	for range 200 { // until 5 s after the crash, before the silent worker's task can be ready on another worker
		p.s.Cordon(p.now, []string{healthy.info.ID})
		p.run(tick)
		if p.ready() == 0 {
			is.Equal(len(healthy.runs), 1)
		}
	}
	p.run(6 * time.Second)
	is.Equal(p.running(), 2)
}

// Guards against long-running tasks that stay on, or move to, hosts due for maintenance. They can be moved only one
// after the other and so delay a maintenance wave.
func TestVacatedWorkersLoseLongRunningTasks(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 6)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(3))
	p.run(2 * time.Second)
	var due []string
	for _, w := range p.busy() {
		due = append(due, w.info.ID)
	}
	var free []string
	for range 300 {
		free = p.s.Vacate(p.now, due)
		p.run(tick)
		is.True(p.ready() >= 2)
	}
	is.Equal(len(free), len(due))
	p.submit(jobB, step(6*hostCPU/2000, 2000)) // fills all workers
	p.run(300 * time.Millisecond)
	for _, id := range due {
		is.True(len(p.worker(id).runs) > 0) // short tasks still run there
	}
}

// Guards against late work that occupies workers which another pool needs, and against yielding workers with
// long-running tasks.
func TestYield(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 4)
	p.run(200 * time.Millisecond)
	p.submit(jobA, longRunning(1))
	p.run(200 * time.Millisecond)
	for i := range 60 {
		p.submit("00000000000001"+string(rune('a'+i/26))+string(rune('a'+i%26)), step(10, 4000))
	}
	p.run(200 * time.Millisecond)
	for range 50 {
		p.s.Yield(p.now, 2)
		p.run(tick)
	}
	empty := 0
	for _, w := range p.workers {
		if len(w.runs) == 0 {
			empty++
		}
	}
	is.Equal(empty, 2)
	is.Equal(len(p.s.Demand(p.now, 0, 0).Idle), 2)
	is.Equal(p.running(), 1)
}

// Guards against a long-running task that finds no room while its pool requests no more workers: many workers have free
// room, but none has enough for the task.
func TestLongRunningTaskWithoutRoomIsDemand(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	half := longRunning(2)
	half.Memory, half.PerWorker = hostMemory/2, 1
	p.submit(jobA, half)
	p.run(500 * time.Millisecond)
	is.Equal(p.s.Demand(p.now, 0, 0).Pinned, 2)
	large := longRunning(1)
	large.Memory = hostMemory * 3 / 4
	p.submit(jobB, large)
	p.run(500 * time.Millisecond)
	is.Equal(p.s.Demand(p.now, 0, 0).Pinned, 3)
}

// Guards against a large long-running task that never finds room because short tasks fill each gap first.
func TestLongRunningTaskGetsRoomInAFullPool(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 3)
	p.run(200 * time.Millisecond)
	calls := 0
	p.duration = func(cuminstair.TaskID) time.Duration { // the short tasks of a worker end at different times
		calls++
		return 600*time.Millisecond + time.Duration(calls%7)*100*time.Millisecond
	}
	for i := range 60 {
		p.submit("00000000000001"+string(rune('a'+i/26))+string(rune('a'+i%26)), step(10, 4000))
	}
	p.run(500 * time.Millisecond)
	large := longRunning(1)
	large.CPU = 24000
	p.submit(jobA, large)
	p.run(2500 * time.Millisecond)
	is.Equal(p.running(), 1)
	is.Equal(p.overCapacity, 0)
}

// submitStream submits n jobs at a constant rate, waits until all accepted jobs have finished, and returns how long each
// took. An answer within the call of submit is a refusal.
func (p *pool) submitStream(n int, every time.Duration, s cuminstair.JobStep) (took map[string]time.Duration, refused int) {
	submitted := map[string]time.Time{}
	took = map[string]time.Duration{}
	advance := func(d time.Duration) {
		p.run(d)
		for id, at := range submitted {
			if took[id] == 0 && p.s.State(id) == cuminstair.JobCompleted {
				took[id] = p.now.Sub(at)
			}
		}
	}
	for i := range n {
		id := "00000000000000" + string(rune('a'+i/26)) + string(rune('a'+i%26))
		a := p.submit(id, s)
		if a.calls == 0 {
			submitted[id] = p.now
		} else {
			refused++
			p.is.Equal(a.Outcome, dispatch.Refused)
			p.is.True(a.Wait >= time.Second)
		}
		advance(every)
	}
	for range 500 {
		advance(tick)
	}
	p.is.Equal(len(took), len(submitted)) // all accepted jobs have finished
	return took, refused
}

// countWithin counts the jobs that took at most d.
func countWithin(took map[string]time.Duration, d time.Duration) int {
	n := 0
	for _, t := range took {
		if t <= d {
			n++
		}
	}
	return n
}

// endLatency is the time until an end is read and stored.
const endLatency = 200 * time.Millisecond

// Guards against refusing work that could finish while its result is useful, accepting work that finishes after that,
// and late work that displaces work that can finish in time. The load is four times the capacity for 2.5 s.
func TestAdmissionInOverload(t *testing.T) {
	const objective = 2*600*time.Millisecond + 600*time.Millisecond
	is := is.New(t)
	p := newPool(t, 4) // 128 cores; each job takes 12 core-seconds
	p.run(200 * time.Millisecond)
	took, refused := p.submitStream(100, 25*time.Millisecond, step(10, 2000))
	is.Equal(countWithin(took, 3*objective+endLatency), len(took))
	// From the first job to the end of the last objective (2.5 s of submissions + 1.8 s) the pool can do 128 cores x 4.3 s
	// / 12 core-seconds = 45 jobs; at least three quarters of them are required.
	is.True(countWithin(took, objective+endLatency) >= 34)
	// Until the last result stops being useful (2.5 s + 3 x 1.8 s) it can do 128 x 7.9 / 12 = 84 jobs; at least three
	// quarters of them have to be accepted, and the jobs beyond 84 refused.
	is.True(len(took) >= 63)
	is.True(refused >= 100-84)
}

// Guards against admission that considers only processors while memory is full: since processors are free, no job is
// refused, and the work finishes late.
func TestAdmissionCountsMemory(t *testing.T) {
	is := is.New(t)
	p := newPool(t, 4) // 512 GB
	p.run(200 * time.Millisecond)
	s := step(8, 500)
	s.Memory = 30000 // 4 tasks fill a worker; a job takes half of the pool for 0.6 s
	took, _ := p.submitStream(60, 25*time.Millisecond, s)
	// A job has two waves, so its objective is 3 s and its result is useful for 9 s. The pool can do a job in 0.3 s: 15
	// jobs in the 1.5 s of submissions plus the objective, and 35 until the last result stops being useful.
	const objective = 3 * time.Second
	is.True(countWithin(took, objective+endLatency) >= 8)
	is.Equal(countWithin(took, 3*objective+endLatency), len(took))
	is.True(len(took) <= 35)
	is.Equal(p.overCapacity, 0)
}

// Guards against gangs that start partially, or whose tasks get different run numbers.
func TestGangStartsWhole(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobB, step(2, 20000)) // leaves 12 cores on each worker
	p.run(100 * time.Millisecond)
	gang := step(3, 8000)
	gang.Gang, gang.Estimate = true, 600*time.Millisecond
	p.submit(jobA, gang)
	p.run(200 * time.Millisecond)
	p.is.Equal(p.running(), 0) // there is room for only two of the three tasks
	p.run(700 * time.Millisecond)
	p.is.Equal(p.running(), 3)
	runs := map[int64]bool{}
	for _, w := range p.workers {
		for id, r := range w.runs {
			if id.Job == jobA {
				runs[r.run] = true
			}
		}
	}
	p.is.Equal(len(runs), 1)
	p.run(2 * time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// Guards against occurrences that start early, are skipped, or run again after a takeover.
func TestOccurrencesRunAtTheirTimes(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	spec := &cuminstair.JobSpec{
		Steps: []cuminstair.JobStep{step(2, 1000)}, Repeats: 3, Interval: time.Second, First: p.now.Add(500 * time.Millisecond).UnixMilli(),
	}
	p.specs[jobA] = spec
	a := &reply{}
	p.s.Submit(p.now, jobA, spec, cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Attempts: 3}, "", a.set)
	p.run(400 * time.Millisecond)
	p.is.Equal(a.Outcome, dispatch.Accepted)
	p.is.Equal(len(p.starts), 0)
	p.run(400 * time.Millisecond)
	p.is.Equal(len(p.starts), 2)
	p.run(time.Second)
	p.is.Equal(len(p.starts), 4)
	p.takeOver(200, 0)
	p.run(3 * time.Second)
	p.is.Equal(len(p.starts), 6)
	for id, n := range p.starts {
		if n != 1 {
			t.Errorf("task %v was started %d times", id, n)
		}
	}
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// Guards against dropping the state of a finished job before the retention period ends, and against never deleting its
// records.
func TestFinishedJobsAreForgotten(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 1000))
	p.run(time.Minute)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	p.run(time.Minute)
	p.is.Equal(p.s.State(jobA), cuminstair.JobUnknown)
	for key := range p.store {
		if key.Key == jobA {
			t.Errorf("record %v is kept", key)
		}
	}
}

// Guards against a CPU share of best-effort tasks that harms other tasks on the worker, and one that is never raised
// again.
func TestFillersGiveWay(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	served := longRunning(1)
	served.TailTarget = 100 * time.Millisecond
	bestEffort := longRunning(1)
	bestEffort.BestEffort = true
	p.submit(jobA, served, bestEffort)
	p.run(2 * time.Second)
	p.is.Equal(p.running(), 2)
	p.gauge = 150 // over its target
	p.run(1500 * time.Millisecond)
	p.is.Equal(p.cpuShare, 0)
	p.gauge = 20
	p.run(15 * time.Second)
	p.is.Equal(p.cpuShare, 100)
}

// Guards against a best-effort task that keeps a CPU share which its owner does not know: an order without an answer is not sent
// again, or a new owner takes the task for one with its full share.
func TestSharesAreOrderedUntilTheyAreConfirmed(t *testing.T) {
	for name, disturb := range map[string]func(p *pool){
		"lost orders": func(p *pool) { p.lostPaceOrders = 3 },
		"takeover":    func(p *pool) { p.takeOver(200, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t, 1)
			p.run(200 * time.Millisecond)
			served, bestEffort := longRunning(1), longRunning(1)
			served.TailTarget, bestEffort.BestEffort = 100*time.Millisecond, true
			p.submit(jobA, served, bestEffort)
			p.run(2 * time.Second)
			p.gauge = 65 // neither raised nor lowered
			p.cpuShare = -1
			disturb(p)
			if name == "lost orders" {
				p.gauge = 150
			}
			p.run(3 * time.Second)
			p.is.True(p.cpuShare >= 0)
			orders := p.paceOrders
			p.gauge = 65
			p.run(3 * time.Second)
			p.is.Equal(p.paceOrders, orders) // confirmed ones are not repeated
		})
	}
}

// Guards against repeatedly stopping a long task as stuck because its progress rises slowly, so that it never ends.
func TestLongTaskEnds(t *testing.T) {
	p := newPool(t, 3)
	p.duration = func(cuminstair.TaskID) time.Duration { return 4 * time.Minute }
	p.run(200 * time.Millisecond)
	p.submit(jobA, step(1, 1000)) // expected to take 0.6 s
	p.run(5 * time.Minute)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
}

// Guards against tasks that are ordered on a worker whose host was moved while it was cordoned: the list of workers shows
// it for some seconds more.
func TestNothingIsOrderedOnAMovedHost(t *testing.T) {
	p := newPool(t, 2)
	p.run(200 * time.Millisecond)
	p.is.Equal(p.s.Cordon(p.now, []string{"a"}), []string{"a"})
	moved := p.worker("a")
	moved.connRefused = true
	p.run(3 * time.Second) // the cordon is over
	p.submit(jobA, step(6, hostCPU/8))
	p.run(time.Second)
	p.is.Equal(p.s.State(jobA), cuminstair.JobCompleted)
	for _, o := range p.orders {
		p.is.True(o.Kind != dispatch.OrderStart || o.Worker.ID != "a")
	}
	p.is.Equal(p.s.Cordon(p.now, []string{"b"}), []string{"b"})
	p.run(3 * time.Second) // not moved: it gets tasks again
	p.submit(jobB, step(6, hostCPU/8))
	p.run(time.Second)
	p.is.Equal(p.s.State(jobB), cuminstair.JobCompleted)
}

// Guards against ending a long-running task that is at work because its start, which was carried out late, had no answer: the
// stop is repeated until it is confirmed, while other tasks of the step may be away.
func TestLateStartThatIsAtWorkIsKept(t *testing.T) {
	p := newPool(t, 1)
	p.run(200 * time.Millisecond)
	w := p.workers[0]
	w.startDelay = 1500 * time.Millisecond
	p.submit(jobA, longRunning(1))
	id := cuminstair.TaskID{Job: jobA}
	stops, lateStops := 0, 0
	for end := p.now.Add(6 * time.Second); p.now.Before(end); p.now = p.now.Add(tick) {
		p.endRuns()
		for _, o := range p.decide(0) {
			if o.Kind != dispatch.OrderStop {
				p.execute(o)
				continue
			}
			stops++
			if r := w.runs[id]; r != nil && p.now.Sub(r.started) > startup {
				lateStops++
			}
			p.deliver(o, cuminstair.ErrUncertain, nil) // lost
		}
		p.writeBatch()
	}
	p.is.True(stops > 0)
	p.is.Equal(lateStops, 0)
	p.is.Equal(len(w.runs), 1)
	p.is.Equal(p.starts[id], 1)
}
