package job

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// task is a task on a worker.
type task struct {
	id      string
	job     *entry
	worker  *worker
	size    size // what it takes now
	full    size // what it takes when it is not throttled
	given   size // what it was started with; zero if an earlier controller started it
	renewed time.Time
	begun   time.Time // when it was asked for
	heard   time.Time // when it was last reported
	quiet   bool      // not reported for quietAfter, so that it is no longer renewed
	slow    bool      // throttled
	wanted  *reclaim  // the urgent job that waits for it
	gone    bool
}

// entry is a job with its place in the queues.
type entry struct {
	Job
	task   *task
	wants  *reclaim                 // room that is being made for it
	failed map[string]time.Duration // worker: the age at which its task failed there
}

// team is the queue and the quota of a team.
type team struct {
	name   string
	quota  float64
	used   float64 // cores of its tasks
	queue  []*entry
	queued int // entries of the queue that are still queued
}

// Start is a task to start.
type Start struct {
	Task   cuminstair.Task
	Reason cuminstair.Reason
	Why    string
}

// Plan is what Decide wants to be done. Actions come before starts.
type Plan struct {
	Actions map[cuminstair.TaskAction][]string // task ids
	Starts  []Start
	// Quarantine maps workers to the reason to quarantine them; the wave planner does so within the availability budget.
	Quarantine map[string]string
	// Changed are the ids of the jobs whose rows differ.
	Changed []string
}

// Scheduler places the jobs of one data centre. It must be made with New.
type Scheduler struct {
	workers workers
	classes map[string]*class
	jobs    map[string]*entry
	teams   map[string]*team
	order   []*team // teams in turn
	turn    int
	urgent  []*entry
	tasks   map[string]*task
	wheel   wheel
	slow    map[*task]bool // throttled tasks
	expire  []*task        // tasks of lost workers, whose leases run out
	plan    Plan
	changed map[string]bool
	// searches counts the searches for urgent jobs in one Decide.
	searches int
	// Work counts steps of decisions, for tests of the cost.
	Work int
}

// New returns a scheduler without workers, teams and jobs.
func New() *Scheduler {
	s := &Scheduler{
		classes: map[string]*class{}, jobs: map[string]*entry{}, teams: map[string]*team{}, tasks: map[string]*task{},
		changed: map[string]bool{}, slow: map[*task]bool{},
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
		s.order = append(s.order, t)
	}
	t.quota = cores
}

// AddWorker adds a worker, or brings one back into service.
func (s *Scheduler) AddWorker(w Worker) {
	x, ok := s.workers.all[w.Name]
	if !ok {
		x = &worker{
			Worker: w, free: size{w.Cores, w.Memory, w.Accel}, tasks: map[string]*task{}, fails: map[string]bool{},
			failed: map[*entry]bool{}, place: nowhere,
		}
		s.workers.all[w.Name] = x
		if s.workers.ratio == 0 {
			s.workers.ratio = max(1, float64(w.Memory)/max(1, w.Cores))
		}
		m := &s.workers.most
		m.cores, m.memory, m.accel = max(m.cores, w.Cores), max(m.memory, w.Memory), max(m.accel, w.Accel)
	}
	if x.suspect {
		s.workers.outs--
	}
	x.out, x.suspect, x.lost, x.row, x.until = false, false, false, 0, time.Time{}
	clear(x.fails)
	s.workers.reindex(x)
}

// Jobs returns the number of jobs that are known.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// Job returns a job as its row should be.
func (s *Scheduler) Job(id string) (Job, bool) {
	e, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return e.Job, true
}

// Submit takes a new job, or the row of one that an earlier controller knew.
func (s *Scheduler) Submit(now time.Time, j Job) {
	if _, ok := s.jobs[j.ID]; ok {
		return
	}
	e := &entry{Job: j, failed: map[string]time.Duration{}}
	if e.State == "" {
		e.State = State(jobChart.Start)
	}
	for _, w := range j.Failed {
		e.failed[w] = 0
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

// recover takes over the task of a job that is running already.
func (s *Scheduler) recover(now time.Time, e *entry) {
	w, ok := s.workers.all[e.Worker]
	if !ok {
		// Its worker is unknown, so that its lease runs out.
		w = &worker{Worker: Worker{Name: e.Worker}, tasks: map[string]*task{}, fails: map[string]bool{}, failed: map[*entry]bool{}, out: true, lost: true, place: nowhere}
	}
	t := &task{id: e.Task, job: e, worker: w, size: s.size(&e.Job), renewed: now, begun: now, heard: now}
	t.full = t.size
	if e.State == Throttled {
		t.slow, t.size.cores = true, throttledShare*t.full.cores
		s.slow[t] = true
	}
	s.hold(now, t)
	switch {
	case !ok:
		s.expire = append(s.expire, t)
	case e.State == Starting:
		// The earlier controller may have stopped between writing the row and the start, which is harmless to repeat.
		s.plan.Starts = append(s.plan.Starts, Start{Task: t.order(), Reason: ReasonPlaced, Why: e.Why})
	}
}

func (s *Scheduler) enqueue(e *entry) {
	s.SetTeam(e.Team, s.quota(e.Team))
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

// step moves a job along the chart. An event that the state does not allow, such as a late report, is ignored.
func (s *Scheduler) step(e *entry, event, why string) bool {
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

// Decide places what fits and returns what is to be done since the last call.
func (s *Scheduler) Decide(now time.Time) Plan {
	s.expired(now)
	s.renew(now)
	s.placeUrgent(now)
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

// placeTeams gives each team its turn until none of them can start anything.
func (s *Scheduler) placeTeams(now time.Time) {
	idle := 0
	for starts := 0; starts < perDecide && idle < len(s.order); {
		t := s.order[s.turn%len(s.order)]
		s.turn++
		s.Work++
		if t.queued > 0 && s.placeNext(now, t) {
			starts++
			idle = 0
			continue
		}
		idle++
	}
}

// placeNext starts one of the first jobs of a team.
func (s *Scheduler) placeNext(now time.Time, t *team) bool {
	tried := 0
	for i := 0; i < len(t.queue) && tried < lookAhead; {
		s.Work++
		e := t.queue[i]
		if e.State != Queued {
			t.drop(i) // cancelled meanwhile
			continue
		}
		if s.placeOne(now, t, e) {
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

// drop takes the i-th entry out of the queue. i is small, so that few entries are moved.
func (t *team) drop(i int) {
	copy(t.queue[1:i+1], t.queue[:i])
	t.queue[0] = nil
	t.queue = t.queue[1:]
}

// placeOne starts a job if its team's quota and some worker have room. It parks a job that can never run.
func (s *Scheduler) placeOne(now time.Time, t *team, e *entry) bool {
	z := s.size(&e.Job)
	if why := s.never(t, z); why != "" {
		s.step(e, "park", why)
		return false
	}
	if t.used+z.cores > t.quota {
		e.Why = fmt.Sprintf("team %s holds %.1f of its %.0f cores", t.name, t.used, t.quota)
		return false
	}
	w := s.workers.fit(z, func(w *worker) bool {
		return z.fits(w.free) && e.maySit(w, now)
	})
	if w == nil {
		e.Why = fmt.Sprintf("no worker has %.1f cores and %s free", z.cores, z.memory)
		return false
	}
	s.start(now, e, w, z, ReasonPlaced)
	return true
}

// never explains why no worker can ever run a task of this size, or returns nothing. Learned sizes may shrink again, so
// that an operator can release such a job.
func (s *Scheduler) never(t *team, z size) string {
	most := s.workers.most
	switch {
	case len(s.workers.all) == 0:
		return ""
	case !z.fits(most):
		return fmt.Sprintf("no worker can ever have %.1f cores, %s and %d accelerators: the largest has %.0f, %s and %d",
			z.cores, z.memory, z.accel, most.cores, most.memory, most.accel)
	case t != nil && z.cores > t.quota:
		return fmt.Sprintf("it takes %.1f cores and the quota of team %s is %.0f", z.cores, t.name, t.quota)
	default:
		return ""
	}
}

// start puts a job on a worker.
func (s *Scheduler) start(now time.Time, e *entry, w *worker, z size, reason cuminstair.Reason) {
	e.Tries++
	e.Task, e.Worker = fmt.Sprintf("%s/%d", e.ID, e.Tries), w.Name
	why := fmt.Sprintf("%.1f cores on %s, which has %.1f free", z.cores, w.Name, w.free.cores)
	s.step(e, "start", why)
	t := &task{id: e.Task, job: e, worker: w, size: z, full: z, given: z, renewed: now, begun: now, heard: now}
	s.hold(now, t)
	s.plan.Starts = append(s.plan.Starts, Start{Task: t.order(), Reason: reason, Why: why})
}

// order is the task as the platform is asked to start it.
func (t *task) order() cuminstair.Task {
	return cuminstair.Task{
		ID: t.id, Worker: t.worker.Name, Job: t.job.ID, Lease: cuminstair.Duration(Lease),
		Cores: t.size.cores, Memory: t.size.memory, Accel: t.size.accel,
	}
}

// hold books a task on its worker and team.
func (s *Scheduler) hold(now time.Time, t *task) {
	t.job.task = t
	s.tasks[t.id] = t
	t.worker.tasks[t.id] = t
	s.book(t, t.size, 1)
	s.wheel.add(t, now.Add(renewEvery))
}

// book adds n times a size to what a task takes.
func (s *Scheduler) book(t *task, z size, n float64) {
	w := t.worker
	w.free = w.free.plus(z, -n)
	if t.job.Archive && t.wanted == nil {
		w.archive = w.archive.plus(z, n)
	}
	if tm, ok := s.teams[t.job.Team]; ok {
		tm.used += n * z.cores
	}
	if w.place[0] >= 0 || !w.out {
		s.workers.reindex(w)
	}
}

// release ends the booking of a task.
func (s *Scheduler) release(t *task) {
	if t.gone {
		return
	}
	t.gone = true
	s.book(t, t.size, -1)
	delete(s.tasks, t.id)
	delete(t.worker.tasks, t.id)
	t.job.task = nil
	if t.job.State == Cancelled {
		s.changed[t.job.ID] = true // it can be forgotten now
	}
	if t.wanted != nil {
		delete(t.wanted.wait, t.id)
	}
}

// maySit tells whether a worker may be given the job at all.
func (e *entry) maySit(w *worker, now time.Time) bool {
	_, failed := e.failed[w.Name]
	return !failed && !now.Before(w.until)
}

// Forget drops a job whose final row has been written.
func (s *Scheduler) Forget(id string) {
	if e, ok := s.jobs[id]; ok && (e.State == Done || e.State == Cancelled) && e.task == nil {
		delete(s.jobs, id)
	}
}
