package job

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// task is a task that was assigned to a worker.
type task struct {
	id          string
	job         *jobEntry
	worker      *worker
	size        size      // reserved now
	unthrottled size      // reserved when it is not throttled
	atStart     size      // reserved when it was started; zero if an earlier controller started it
	renewed     time.Time // start or last renewal of its lease
	requested   time.Time // when its start was requested
	lastReport  time.Time // when it was last reported
	unreported  bool      // not reported for reportTimeout, so that its lease is no longer renewed
	throttled   bool
	reclaim     *reclaim // the reclaim that throttles or checkpoints it, or nil
	released    bool
}

// jobEntry is a job and its scheduling state.
type jobEntry struct {
	Job
	task        *task
	reclaim     *reclaim                 // capacity that is being freed for it, or nil
	failedAtAge map[string]time.Duration // worker: how long the task had run there when it failed
}

// team is the queue and the quota of a team.
type team struct {
	name   string
	quota  float64 // cores that its tasks may hold at once
	used   float64 // cores reserved by its tasks
	queue  []*jobEntry
	queued int // entries of queue in state Queued
}

// Start is a task to start.
type Start struct {
	Task   cuminstair.Task
	Reason cuminstair.Reason
	Why    string
}

// Plan holds the actions and starts that the caller of Decide has to execute. Actions are executed before starts.
type Plan struct {
	Actions map[cuminstair.TaskAction][]string // task ids
	Starts  []Start
	// Quarantine maps workers to the reason to quarantine them; the wave planner does so within the availability budget.
	Quarantine map[string]string
	// Changed holds the ids of the jobs whose rows have to be written.
	Changed []string
}

// Scheduler places the jobs of one data centre. It must be made with New.
type Scheduler struct {
	workers   workers
	classes   map[string]*class
	jobs      map[string]*jobEntry
	teams     map[string]*team
	teamOrder []*team // teams in round-robin order
	nextTeam  int     // number of turns so far; modulo the number of teams, the index of the next team
	urgent    []*jobEntry
	tasks     map[string]*task
	wheel     wheel
	throttled map[*task]bool
	expiring  []*task // tasks whose leases are no longer renewed
	plan      Plan
	changed   map[string]bool
	// searches counts the searches for urgent jobs in one Decide.
	searches int
	// Work counts the steps of all decisions, for tests of their cost.
	Work int
}

// New returns a scheduler without workers, teams and jobs.
func New() *Scheduler {
	s := &Scheduler{
		classes: map[string]*class{}, jobs: map[string]*jobEntry{}, teams: map[string]*team{}, tasks: map[string]*task{},
		changed: map[string]bool{}, throttled: map[*task]bool{},
	}
	s.workers.all = map[string]*worker{}
	s.plan = newPlan()
	return s
}

func newPlan() Plan {
	return Plan{Actions: map[cuminstair.TaskAction][]string{}, Quarantine: map[string]string{}}
}

// SetTeam sets the cores that a team's tasks may hold at once in this data centre.
func (s *Scheduler) SetTeam(name string, cores float64) {
	t, ok := s.teams[name]
	if !ok {
		t = &team{name: name}
		s.teams[name] = t
		s.teamOrder = append(s.teamOrder, t)
	}
	t.quota = cores
}

// AddWorker adds a worker, or returns a known one to service.
func (s *Scheduler) AddWorker(w Worker) {
	x, ok := s.workers.all[w.Name]
	if !ok {
		x = &worker{
			Worker: w, free: size{w.Cores, w.Memory, w.Accel}, tasks: map[string]*task{}, ranLongerElsewhere: map[string]bool{},
			failedJobs: map[*jobEntry]bool{}, bucket: notIndexed,
		}
		s.workers.all[w.Name] = x
		if s.workers.memoryPerCore == 0 {
			s.workers.memoryPerCore = max(1, float64(w.Memory)/max(1, w.Cores))
		}
		largest := &s.workers.largest
		largest.cores, largest.memory, largest.accel =
			max(largest.cores, w.Cores), max(largest.memory, w.Memory), max(largest.accel, w.Accel)
	}
	if x.quarantined {
		s.workers.quarantineCount--
	}
	x.unavailable, x.quarantined, x.lost, x.failuresInRow, x.backoffUntil = false, false, false, 0, time.Time{}
	clear(x.ranLongerElsewhere)
	s.workers.reindex(x)
}

// Jobs returns the number of jobs that are known.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// Job returns the value that the row of a job should have.
func (s *Scheduler) Job(id string) (Job, bool) {
	e, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return e.Job, true
}

// Submit adds a new job, or a job that an earlier controller has already handled.
func (s *Scheduler) Submit(now time.Time, j Job) {
	if _, ok := s.jobs[j.ID]; ok {
		return
	}
	e := &jobEntry{Job: j, failedAtAge: map[string]time.Duration{}}
	if e.State == "" {
		e.State = State(jobChart.Start)
	}
	for _, w := range j.Failed {
		e.failedAtAge[w] = 0
	}
	s.jobs[j.ID] = e
	switch e.State {
	case Queued:
		s.enqueue(e)
	case Starting, Running, Throttled:
		s.recover(now, e)
	default:
	}
}

// recover takes over the task of a job that an earlier controller has started or was about to start.
func (s *Scheduler) recover(now time.Time, e *jobEntry) {
	w, ok := s.workers.all[e.Worker]
	if !ok {
		// The worker is unknown, so the job waits until the lease of its task has expired.
		w = &worker{
			Worker: Worker{Name: e.Worker}, tasks: map[string]*task{}, ranLongerElsewhere: map[string]bool{},
			failedJobs: map[*jobEntry]bool{}, unavailable: true, lost: true, bucket: notIndexed,
		}
	}
	t := &task{id: e.Task, job: e, worker: w, size: s.size(&e.Job), renewed: now, requested: now, lastReport: now}
	t.unthrottled = t.size
	if e.State == Throttled {
		t.throttled, t.size.cores = true, throttledShare*t.unthrottled.cores
		s.throttled[t] = true
	}
	s.addTask(now, t)
	switch {
	case !ok:
		s.expiring = append(s.expiring, t)
	case e.State == Starting:
		// The earlier controller may have stopped after writing the row and before the start. Repeating a start is safe.
		s.plan.Starts = append(s.plan.Starts, Start{Task: t.platformTask(), Reason: ReasonPlaced, Why: e.Why})
	}
}

func (s *Scheduler) enqueue(e *jobEntry) {
	s.SetTeam(e.Team, s.quota(e.Team)) // adds the team if it is unknown
	if e.Urgent {
		s.urgent = append(s.urgent, e)
		return
	}
	t := s.teams[e.Team]
	t.queue = append(t.queue, e)
	t.queued++
}

func (s *Scheduler) quota(name string) float64 {
	if t, ok := s.teams[name]; ok {
		return t.quota
	}
	return 0
}

// step applies an event to a job's state. An event that the state does not allow, such as a late report, is ignored.
func (s *Scheduler) step(e *jobEntry, event, why string) bool {
	next, err := jobChart.Next(string(e.State), event)
	if err != nil {
		return false
	}
	if e.State == State(next) {
		return true
	}
	if e.State == Queued && !e.Urgent {
		s.teams[e.Team].queued--
	}
	e.State, e.Why = State(next), why
	s.changed[e.ID] = true
	return true
}

// Decide places the jobs that fit and returns all actions and starts that have become due since the last call.
func (s *Scheduler) Decide(now time.Time) Plan {
	s.requeueExpired(now)
	s.renew(now)
	s.placeUrgentJobs(now)
	s.placeTeams(now)
	s.resume()
	for id := range s.changed {
		s.plan.Changed = append(s.plan.Changed, id)
	}
	clear(s.changed)
	plan := s.plan
	s.plan = newPlan()
	return plan
}

// placeTeams starts jobs of the teams in turn until no team can start another or maxStarts is reached.
func (s *Scheduler) placeTeams(now time.Time) {
	idle := 0
	for starts := 0; starts < maxStarts && idle < len(s.teamOrder); {
		t := s.teamOrder[s.nextTeam%len(s.teamOrder)]
		s.nextTeam++
		s.Work++
		if t.queued > 0 && s.placeNext(now, t) {
			starts++
			idle = 0
			continue
		}
		idle++
	}
}

// placeNext starts the first of a team's jobs that can be placed; it tries up to lookAhead of them.
func (s *Scheduler) placeNext(now time.Time, t *team) bool {
	tried := 0
	for i := 0; i < len(t.queue) && tried < lookAhead; {
		s.Work++
		e := t.queue[i]
		if e.State != Queued {
			t.drop(i) // cancelled in the meantime
			continue
		}
		if s.placeJob(now, t, e) {
			t.drop(i)
			return true
		}
		if e.State == Queued {
			tried++
			i++
		}
	}
	return false
}

// drop removes the i-th entry from the queue. i is small, so that few entries are moved.
func (t *team) drop(i int) {
	copy(t.queue[1:i+1], t.queue[:i])
	t.queue[0] = nil
	t.queue = t.queue[1:]
}

// placeJob starts a job if its team's quota allows it and a worker has room. It parks a job that can never run.
func (s *Scheduler) placeJob(now time.Time, t *team, e *jobEntry) bool {
	z := s.size(&e.Job)
	if why := s.neverFits(t, z); why != "" {
		s.step(e, "park", why)
		return false
	}
	if t.used+z.cores > t.quota {
		e.Why = fmt.Sprintf("team %s holds %.1f of its %.0f cores", t.name, t.used, t.quota)
		return false
	}
	w := s.workers.fit(z, func(w *worker) bool {
		return z.fits(w.free) && e.mayRunOn(w, now)
	})
	if w == nil {
		e.Why = fmt.Sprintf("no worker has %.1f cores and %s free", z.cores, z.memory)
		return false
	}
	s.start(now, e, w, z, ReasonPlaced)
	return true
}

// neverFits returns why no worker can ever run a task of this size, or "". Learned sizes may shrink again; an operator
// can then release such a job.
func (s *Scheduler) neverFits(t *team, z size) string {
	largest := s.workers.largest
	switch {
	case len(s.workers.all) == 0:
		return ""
	case !z.fits(largest):
		return fmt.Sprintf("no worker can ever have %.1f cores, %s and %d accelerators: the largest has %.0f, %s and %d",
			z.cores, z.memory, z.accel, largest.cores, largest.memory, largest.accel)
	case t != nil && z.cores > t.quota:
		return fmt.Sprintf("it takes %.1f cores and the quota of team %s is %.0f", z.cores, t.name, t.quota)
	default:
		return ""
	}
}

// start assigns a job to a worker and plans the start of its task.
func (s *Scheduler) start(now time.Time, e *jobEntry, w *worker, z size, reason cuminstair.Reason) {
	e.Tries++
	e.Task, e.Worker = fmt.Sprintf("%s/%d", e.ID, e.Tries), w.Name
	why := fmt.Sprintf("%.1f cores on %s, which has %.1f free", z.cores, w.Name, w.free.cores)
	s.step(e, "start", why)
	t := &task{
		id: e.Task, job: e, worker: w, size: z, unthrottled: z, atStart: z, renewed: now, requested: now, lastReport: now,
	}
	s.addTask(now, t)
	s.plan.Starts = append(s.plan.Starts, Start{Task: t.platformTask(), Reason: reason, Why: why})
}

// platformTask returns the task as it is sent to the platform.
func (t *task) platformTask() cuminstair.Task {
	return cuminstair.Task{
		ID: t.id, Worker: t.worker.Name, Job: t.job.ID, Lease: cuminstair.Duration(Lease),
		Cores: t.size.cores, Memory: t.size.memory, Accel: t.size.accel,
	}
}

// addTask reserves the size of a task on its worker and against the quota of its team.
func (s *Scheduler) addTask(now time.Time, t *task) {
	t.job.task = t
	s.tasks[t.id] = t
	t.worker.tasks[t.id] = t
	s.reserve(t, t.size, 1)
	s.wheel.add(t, now.Add(renewEvery))
}

// reserve raises what is reserved for a task, on its worker and against its team's quota, by n times z.
func (s *Scheduler) reserve(t *task, z size, n float64) {
	w := t.worker
	w.free = w.free.plus(z, -n)
	if t.job.Archive && t.reclaim == nil {
		w.archive = w.archive.plus(z, n)
	}
	if tm, ok := s.teams[t.job.Team]; ok {
		tm.used += n * z.cores
	}
	if w.bucket[0] >= 0 || !w.unavailable {
		s.workers.reindex(w)
	}
}

// release ends the reservation of a task.
func (s *Scheduler) release(t *task) {
	if t.released {
		return
	}
	t.released = true
	s.reserve(t, t.size, -1)
	delete(s.tasks, t.id)
	delete(t.worker.tasks, t.id)
	t.job.task = nil
	if t.job.State == Cancelled {
		s.changed[t.job.ID] = true // so that Forget is called for it
	}
	if t.reclaim != nil {
		delete(t.reclaim.pending, t.id)
	}
}

// mayRunOn reports whether a worker may be given the job: it has not failed there, and the worker is not in backoff.
func (e *jobEntry) mayRunOn(w *worker, now time.Time) bool {
	_, failed := e.failedAtAge[w.Name]
	return !failed && !now.Before(w.backoffUntil)
}

// Forget removes an ended job once its row has been deleted.
func (s *Scheduler) Forget(id string) {
	if e, ok := s.jobs[id]; ok && (e.State == Done || e.State == Cancelled) && e.task == nil {
		delete(s.jobs, id)
	}
}
