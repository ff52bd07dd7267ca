package job_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
)

// Delays of the platform and of the caller of the scheduler, and the size of a worker.
const (
	tick            = 250 * time.Millisecond // between two decisions
	throttleDelay   = 800 * time.Millisecond
	checkpointDelay = 1500 * time.Millisecond
	startDelay      = time.Second
	reportInterval  = 10 * time.Second // between two reports about a task
	cores           = 32
	memory          = 128e9
)

var start = time.Unix(1000, 0)

// kind describes the actual behaviour of the jobs of a class.
type kind struct {
	cores      float64
	memory     cuminstair.Bytes
	duration   time.Duration // 0: no end
	failsAfter time.Duration // age at which it fails; 0: never
	usesAll    bool          // uses all cores and memory that it is given
}

// running is a task on a worker of the simulated platform.
type running struct {
	task    cuminstair.Task
	started time.Time
}

// world simulates the platform and the caller of the scheduler in virtual time.
type world struct {
	is          *is.I
	s           *job.Scheduler
	now         time.Time
	classes     map[string]kind
	badWorkers  map[string]bool // workers that fail every task
	unreachable map[string]bool // workers that can't be reached
	tasks       map[string]*running
	scheduled   map[time.Time][]func()
	started     map[string]time.Time // job: first start
	running     map[string]int       // job: number of its tasks that run
	actions     map[cuminstair.TaskAction]int
	quarantined map[string]string
	startCount  int
}

func newWorld(t *testing.T, workers int) *world {
	w := &world{
		is: is.New(t), s: job.New(), now: start, classes: map[string]kind{},
		badWorkers: map[string]bool{}, unreachable: map[string]bool{}, tasks: map[string]*running{}, scheduled: map[time.Time][]func(){},
		started: map[string]time.Time{}, running: map[string]int{},
		actions: map[cuminstair.TaskAction]int{}, quarantined: map[string]string{},
	}
	for n := range workers {
		w.s.AddWorker(job.Worker{Name: fmt.Sprint("w", n), Cores: cores, Memory: memory})
	}
	w.s.SetTeam("t", 1e9)
	return w
}

func (w *world) submit(n int, j job.Job) {
	name := j.ID
	for i := range n {
		j.ID = fmt.Sprintf("%s-%d", name, i)
		j.Team = "t"
		w.s.Submit(w.now, j)
	}
}

func (w *world) after(d time.Duration, fn func()) {
	at := w.now.Add(d.Truncate(tick))
	w.scheduled[at] = append(w.scheduled[at], fn)
}

func (w *world) step() {
	w.now = w.now.Add(tick)
	for _, fn := range w.scheduled[w.now] {
		fn()
	}
	delete(w.scheduled, w.now)
	plan := w.s.Decide(w.now)
	for action, ids := range plan.Actions {
		w.actions[action] += len(ids)
		delay := throttleDelay
		if action == cuminstair.TaskCheckpoint {
			delay = checkpointDelay
		}
		w.after(delay, func() { w.act(action, ids) })
	}
	for _, st := range plan.Starts {
		w.startCount++
		w.after(startDelay, func() { w.start(st) })
	}
	for name, why := range plan.Quarantine {
		w.quarantined[name] = why
	}
}

func (w *world) act(action cuminstair.TaskAction, ids []string) {
	for _, id := range ids {
		if r := w.tasks[id]; r != nil && (action == cuminstair.TaskCheckpoint || action == cuminstair.TaskStop) {
			w.end(r)
		}
	}
	w.s.ActionResult(w.now, action, ids, true)
}

func (w *world) end(r *running) {
	delete(w.tasks, r.task.ID)
	w.running[r.task.Job]--
}

func (w *world) start(st job.Start) {
	r := &running{task: st.Task, started: w.now}
	w.tasks[r.task.ID] = r
	w.running[r.task.Job]++
	w.is.True(w.running[r.task.Job] <= 1) // never two tasks of a job at once
	if _, ok := w.started[r.task.Job]; !ok {
		w.started[r.task.Job] = w.now
	}
	w.s.StartResult(w.now, st, true, false)
	w.report(r)
}

// report sends a report about a task and schedules the next one.
func (w *world) report(r *running) {
	if w.tasks[r.task.ID] != r || w.unreachable[r.task.Worker] {
		return
	}
	class, _, _ := strings.Cut(r.task.Job, "-")
	k := w.classes[class]
	age := w.now.Sub(r.started)
	u := cuminstair.Usage{
		Task: r.task.ID, Worker: r.task.Worker, Job: r.task.Job, State: "running", Cores: k.cores, Memory: k.memory, At: w.now,
	}
	if k.usesAll {
		u.Cores, u.Memory = r.task.Cores, r.task.Memory
	}
	switch {
	case k.failsAfter > 0 && age >= k.failsAfter || w.badWorkers[r.task.Worker] && age >= time.Second:
		u.State, u.Message = "failed", "exit 1"
		w.end(r)
	case k.duration > 0 && age >= k.duration:
		u.State = "done"
		w.end(r)
	default:
		wait := reportInterval
		if age == 0 {
			wait = time.Second
		}
		w.after(wait, func() { w.report(r) })
		if age == 0 {
			return
		}
	}
	w.s.Report(w.now, u)
}

func (w *world) run(d time.Duration) {
	for range int(d / tick) {
		w.step()
	}
}

// Guards against urgent jobs that wait for archive tasks: on a full fleet of 28,000 workers each urgent job starts within
// 3.4 s, whether throttling is enough or memory has to be freed by a checkpoint. The platform takes 0.8 s to throttle,
// 1.5 s to checkpoint and 1 s to start a task.
func TestUrgentStart(t *testing.T) {
	const workers, urgent, bound = 28000, 400, 3400 * time.Millisecond
	w := newWorld(t, workers)
	w.classes["archive"] = kind{cores: 7.2, memory: 29e9} // with the headroom of learned sizes, four fill a worker
	w.classes["small"] = kind{cores: 4}
	w.classes["big"] = kind{cores: 4}
	w.submit(workers*cores/8, job.Job{ID: "archive", Class: "archive", Archive: true, Cores: 8, Memory: 32e9})
	w.run(75 * time.Second)
	w.is.Equal(len(w.tasks), workers*cores/8) // the fleet is full
	at := w.now
	w.submit(urgent, job.Job{ID: "small", Class: "small", Urgent: true, Cores: 4, Memory: 1e8})
	w.submit(urgent, job.Job{ID: "big", Class: "big", Urgent: true, Cores: 4, Memory: 40e9})
	w.run(5 * time.Second)
	worst := time.Duration(0)
	for i := range urgent {
		for _, name := range []string{"small", "big"} {
			began, ok := w.started[fmt.Sprintf("%s-%d", name, i)]
			w.is.True(ok)
			worst = max(worst, began.Sub(at))
		}
	}
	t.Logf("%d urgent jobs started within %s; %d tasks throttled, %d checkpointed", 2*urgent, worst,
		w.actions[cuminstair.TaskThrottle], w.actions[cuminstair.TaskCheckpoint])
	w.is.True(worst <= bound)
	w.is.True(w.actions[cuminstair.TaskThrottle] > 0 && w.actions[cuminstair.TaskCheckpoint] > 0)
}

// Guards against placement that relies on declared sizes: of jobs that use a fifth of what they declare, at least four
// times as many must run as would fit by the declaration, and jobs that use five times as much as they declare must no
// longer overload workers after 3 min.
func TestWrongSizes(t *testing.T) {
	const workers = 50
	w := newWorld(t, workers)
	w.classes["over"] = kind{cores: 1}
	w.submit(2000, job.Job{ID: "over", Class: "over", Cores: 5, Memory: 1e9})
	w.run(3 * time.Minute)
	declared := workers * (cores / 5)
	t.Logf("jobs that declare 5 cores and use 1: %d run, %d would fit by the declaration", len(w.tasks), declared)
	w.is.True(len(w.tasks) >= 4*declared)

	w = newWorld(t, workers)
	w.classes["under"] = kind{cores: 5, duration: 30 * time.Second}
	w.submit(5000, job.Job{ID: "under", Class: "under", Cores: 1, Memory: 1e9})
	w.run(3 * time.Minute)
	load := map[string]float64{}
	for _, r := range w.tasks {
		load[r.task.Worker] += 5
	}
	for name, l := range load {
		w.is.True(l <= cores) // no worker is overloaded
		w.is.True(name != "")
	}
}

// Guards against jobs that can never run and block others or are retried without end.
func TestJobsThatNeverRun(t *testing.T) {
	w := newWorld(t, 20)
	w.classes["good"] = kind{cores: 1, duration: 5 * time.Second}
	w.classes["broken"] = kind{cores: 1, failsAfter: 15 * time.Second}
	w.submit(3, job.Job{ID: "huge", Class: "huge", Cores: 100, Memory: 1e9})
	w.submit(50, job.Job{ID: "broken", Class: "broken", Cores: 1, Memory: 1e9})
	w.submit(300, job.Job{ID: "good", Class: "good", Cores: 1, Memory: 1e9})
	w.run(5 * time.Minute)
	for i := range 300 {
		j, _ := w.s.Job(fmt.Sprint("good-", i))
		w.is.Equal(j.State, job.Done)
	}
	for i := range 50 {
		j, _ := w.s.Job(fmt.Sprint("broken-", i))
		w.is.Equal(j.State, job.Parked)
		w.is.Equal(j.Tries, 3)
	}
	j, _ := w.s.Job("huge-0")
	w.is.Equal(j.State, job.Parked)
	w.is.True(strings.HasPrefix(j.Why, "no worker can ever have 100.0 cores"))
	w.is.Equal(len(w.quarantined), 0) // no worker is quarantined because of jobs that fail everywhere
}

// Guards against workers on which every task fails and which are therefore always free and given all jobs, and against
// an unlimited quarantine when the workers are not the cause.
func TestWorkersThatFailEverything(t *testing.T) {
	const workers, bad = 200, 3
	w := newWorld(t, workers)
	for n := range bad {
		w.badWorkers[fmt.Sprint("w", 7*n)] = true
	}
	w.classes["good"] = kind{cores: 1, duration: 20 * time.Second}
	w.classes["broken"] = kind{cores: 1, failsAfter: 15 * time.Second}
	w.submit(30, job.Job{ID: "broken", Class: "broken", Cores: 1, Memory: 1e9})
	w.submit(20000, job.Job{ID: "good", Class: "good", Cores: 1, Memory: 1e9})
	w.run(4 * time.Minute)
	w.is.Equal(len(w.quarantined), bad)
	for name := range w.quarantined {
		w.is.True(w.badWorkers[name])
	}
	for i := range 20000 {
		j, _ := w.s.Job(fmt.Sprint("good-", i))
		w.is.True(j.State != job.Parked)
	}
	for n := range workers {
		w.badWorkers[fmt.Sprint("w", n)] = n%3 == 0
	}
	w.submit(20000, job.Job{ID: "good-x", Class: "good", Cores: 1, Memory: 1e9})
	w.run(4 * time.Minute)
	w.is.True(len(w.quarantined) <= 4) // 2% of the workers
}

// Guards against learned sizes that grow by the headroom each time that jobs use all that they are given, until no
// worker is large enough and good jobs are parked.
func TestSizesSettleForJobsThatUseAll(t *testing.T) {
	w := newWorld(t, 4)
	w.classes["all"] = kind{usesAll: true, duration: 20 * time.Second}
	w.submit(2000, job.Job{ID: "all", Class: "all", Cores: 1, Memory: 1e9})
	w.run(40 * time.Minute)
	for i := range 2000 {
		j, _ := w.s.Job(fmt.Sprint("all-", i))
		w.is.Equal(j.State, job.Done)
	}
}

// Guards against a cancellation whose cost, at once or in later decisions, exceeds a few steps per cancelled job.
func TestCancelManyAtOnce(t *testing.T) {
	const queued, cancelled = 60000, 10000
	w := newWorld(t, 100)
	w.classes["j"] = kind{cores: 1}
	w.submit(queued, job.Job{ID: "j", Class: "j", Cores: 1, Memory: 1e9})
	w.run(10 * time.Second)
	var ids []string
	for i := range cancelled {
		ids = append(ids, fmt.Sprint("j-", i))
	}
	before := w.s.Work
	w.s.Cancel(ids)
	w.run(10 * time.Second)
	t.Logf("%d steps for %d cancelled jobs, %d of them running", w.s.Work-before, cancelled, w.actions[cuminstair.TaskStop])
	w.is.True(w.s.Work-before <= 4*cancelled)
	w.is.True(w.actions[cuminstair.TaskStop] >= 3000)
	w.is.Equal(len(w.tasks), 2900) // others run in their place: 29 tasks of 1.1 cores on each worker
	for i := range cancelled {
		j, _ := w.s.Job(ids[i])
		w.is.Equal(j.State, job.Cancelled)
	}
}

// Guards against a placement whose cost grows with the number of workers.
func TestPlacementCost(t *testing.T) {
	cost := func(workers int) float64 {
		w := newWorld(t, workers)
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range workers * 10 {
			w.s.Submit(w.now, job.Job{
				ID: fmt.Sprint(i), Team: "t", Class: fmt.Sprint(i), Cores: 0.5 + 12*rng.Float64(), Memory: cuminstair.Bytes(rng.IntN(40)+1) * 1e9,
			})
		}
		for range workers * 10 / 500 {
			w.step()
		}
		return float64(w.s.Probed()) / float64(w.startCount)
	}
	small, large := cost(280), cost(28000)
	t.Logf("workers examined per placement: %.1f of 280, %.1f of 28,000", small, large)
	is := is.New(t)
	is.True(large <= 2*small+8)
}

// Guards against a job that runs twice because its worker was only unreachable, and against renewals more often than
// needed.
func TestLostWorker(t *testing.T) {
	w := newWorld(t, 2)
	w.classes["j"] = kind{cores: 1}
	w.submit(20, job.Job{ID: "j", Class: "j", Cores: 1, Memory: 1e9})
	w.run(2 * time.Minute)
	w.is.True(w.actions[cuminstair.TaskRenew] <= 20*7)
	name := ""
	for _, r := range w.tasks {
		name = r.task.Worker
	}
	w.unreachable[name] = true
	w.s.MarkWorkerLost(name)
	w.run(job.Lease - 20*time.Second - tick)
	for _, r := range w.tasks {
		if r.task.Worker == name {
			w.after(20*time.Second, func() { w.end(r) }) // the worker stops them when their leases expire
		}
	}
	w.run(30 * time.Second)
	for i := range 20 {
		j, _ := w.s.Job(fmt.Sprint("j-", i))
		w.is.Equal(j.State, job.Running)
		w.is.True(j.Worker != name)
	}
}

// Guards against a job that takes down each worker that starts it and is started again for ever: a lost worker is not a
// failure of the job.
func TestJobThatTakesWorkersDownIsParked(t *testing.T) {
	const workers = 10
	w := newWorld(t, workers)
	w.classes["j"], w.classes["k"] = kind{cores: 1}, kind{cores: 1}
	lost := map[string]bool{}
	w.submit(1, job.Job{ID: "j", Class: "j", Cores: 20, Memory: 1e9})
	for range workers * 100 {
		w.run(time.Second)
		for _, r := range w.tasks {
			if r.task.Job != "j-0" || w.unreachable[r.task.Worker] {
				continue
			}
			lost[r.task.Worker], w.unreachable[r.task.Worker] = true, true
			w.s.MarkWorkerLost(r.task.Worker)
			w.after(job.Lease, func() { w.end(r) })
		}
	}
	j, _ := w.s.Job("j-0")
	w.is.Equal(j.State, job.Parked)
	w.is.Equal(len(lost), 3)
	w.s.Release("j-0") // an operator may try again
	w.run(2 * time.Second)
	j, _ = w.s.Job("j-0")
	w.is.Equal(j.State, job.Running)
}

// Guards against parking a job that has run for long on each worker that was lost.
func TestLongJobOnLostWorkersIsNotParked(t *testing.T) {
	w := newWorld(t, 6)
	w.classes["j"] = kind{cores: 1}
	w.submit(1, job.Job{ID: "j", Class: "j", Cores: 20, Memory: 1e9})
	for range 4 {
		w.run(5 * time.Minute)
		for _, r := range w.tasks {
			w.unreachable[r.task.Worker] = true
			w.s.MarkWorkerLost(r.task.Worker)
			w.after(job.Lease/2, func() { w.end(r) }) // the lease may have been renewed before the loss
		}
		w.run(2 * time.Minute)
	}
	j, _ := w.s.Job("j-0")
	w.is.Equal(j.State, job.Running)
}
