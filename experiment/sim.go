package experiment

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/place"
)

const (
	// lead is the time from the start of the daemons to that of the traffic.
	lead = 5 * time.Second
	// drainSeconds is the time after the traffic in which jobs may still end.
	drainSeconds = 20
)

// sim is a day that is being played.
type sim struct {
	clock
	day    *day
	policy *Policy

	queueIndex map[string]int

	hosts      []*host
	hostByName map[string]*host
	workerByID map[string]*worker
	listed     map[string][]*worker // by pool: the list of workers, which shows a worker for some time after its end
	owners     map[string]*owner
	planner    hostPlanner    // nil: hosts stay
	idle       map[string]int // by pool: idle hosts in the last plan
	byID       map[string]*job
	store      map[string]map[cuminstair.RecordKey][]byte // by service
	planState  []byte                                     // of an earlier controller of hosts
	lastToken  int64
	workers    int // started so far

	storeAwayAt time.Time // begin of the last outage of the store
	storeBackAt time.Time // end of the last outage
	cutCentre   string    // data centre that is cut off

	active  map[string]*progress // by job: accepted jobs that have not ended
	running map[cuminstair.TaskID]int
	count   counters
}

// counters are totals of a day.
type counters struct {
	moves        int
	overCapacity int     // starts beyond the capacity of a worker
	twice        int     // starts of a task that runs already
	wasted       float64 // core-seconds of runs that did not end well
	refusedEarly int     // refusals within a quarter of the job's objective
	refusedLate  int
	roomFree     int             // refusals although the pool had room for the first step
	firstStarts  []time.Duration // from the first submission to the first start of each job
	hostTime     HostTime
	usedCores    float64 // core-seconds
}

// Play plays a drawn day with a policy.
func Play(l *Load, p Policy, seed uint64) (Result, error) {
	if err := l.Validate(); err != nil {
		return Result{}, fmt.Errorf("load %q: %w", l.Name, err)
	}
	d := drawDay(l, seed)
	if p.bound != nil {
		return computeBound(d, &p, seed), nil
	}
	s := newSim(d, &p)
	s.run(begin.Add(seconds(l.Seconds + drainSeconds)))
	return s.result(seed), nil
}

func newSim(d *day, p *Policy) *sim {
	s := &sim{
		day: d, policy: p, hostByName: map[string]*host{}, workerByID: map[string]*worker{}, listed: map[string][]*worker{},
		owners: map[string]*owner{}, byID: map[string]*job{}, store: map[string]map[cuminstair.RecordKey][]byte{},
		active: map[string]*progress{}, running: map[cuminstair.TaskID]int{}, queueIndex: map[string]int{},
	}
	s.now = begin.Add(-lead)
	s.placeHosts()
	for i := range d.load.Queues {
		q := &d.load.Queues[i]
		s.queueIndex[q.Name] = i
		s.store[q.Name] = map[cuminstair.RecordKey][]byte{}
		s.owners[q.Name] = newOwner(s, q)
	}
	s.startPlanner()
	for _, j := range d.jobs {
		s.byID[j.id] = j
		at := j.sentAt.Sub(s.now)
		if j.lasting {
			at = lead / 2 // once the workers are known
		}
		s.after(at, func() { s.submit(j) })
	}
	s.startFaults()
	s.every(sampleInterval, s.sample)
	return s
}

// storeAway reports whether the store answers nothing.
func (s *sim) storeAway() bool { return s.now.Before(s.storeBackAt) }

// write runs done when a write that is sent now has been carried out and answered.
func (s *sim) write(done func()) {
	takes := seconds(s.day.load.WriteSeconds)
	s.after(takes, func() {
		if s.storeAway() {
			s.after(s.storeBackAt.Sub(s.now)+takes, done)
			return
		}
		done()
	})
}

// keep carries out the changes of a batch.
func (s *sim) keep(service string, b *dispatch.Batch) {
	records := s.store[service]
	for _, put := range b.Puts {
		records[put.RecordKey] = put.Value
	}
	for _, key := range b.Deletes {
		delete(records, key)
	}
}

// progress is the progress of an accepted job on the workers.
type progress struct {
	job     *job
	step    int
	left    int // tasks of the step that have not ended well
	waiting int // tasks of the step that have not started
	started map[int]bool
	lostRun bool                     // a run of the step was lost
	waits   [shortages]time.Duration // time that tasks waited, by what was short
}

func newProgress(j *job) *progress {
	p := &progress{job: j}
	p.enter(0)
	return p
}

// enter begins a step.
func (p *progress) enter(step int) {
	n := p.job.spec.Steps[step].Count
	p.step, p.left, p.waiting, p.started, p.lostRun = step, n, n, map[int]bool{}, false
}

// taskStarted notes the start of a run.
func (s *sim) taskStarted(r *run) {
	s.running[r.task]++
	if s.running[r.task] > 1 {
		s.count.twice++
	}
	p := s.active[r.task.Job]
	if p == nil || r.lasting() || r.task.Step != p.step || p.started[r.task.Index] {
		return
	}
	if p.step == 0 && p.waiting == p.job.spec.Steps[0].Count {
		s.count.firstStarts = append(s.count.firstStarts, s.now.Sub(p.job.sentAt))
	}
	p.started[r.task.Index] = true
	p.waiting--
}

// taskEnded notes the end of a run.
func (s *sim) taskEnded(r *run, done bool) {
	s.running[r.task]--
	if s.running[r.task] == 0 {
		delete(s.running, r.task)
	}
	if r.lasting() {
		return
	}
	p := s.active[r.task.Job]
	if !done {
		s.count.wasted += r.coreSeconds(s.now)
		if p != nil && p.step == r.task.Step && p.started[r.task.Index] {
			delete(p.started, r.task.Index)
			p.lostRun = true
			p.waiting++
		}
		return
	}
	if p == nil || r.task.Step != p.step {
		return
	}
	p.left--
	switch {
	case p.left > 0:
	case p.step+1 < len(p.job.spec.Steps):
		p.enter(p.step + 1)
	default:
		p.job.waits = p.waits
		delete(s.active, p.job.id)
	}
}

// sampleInterval is the time between two samples of the hosts and of the waiting jobs.
const sampleInterval = 100 * time.Millisecond

// sample adds the state of the hosts and the waiting jobs to the counters while the traffic lasts.
func (s *sim) sample() {
	waiting := map[string]place.Room{} // by queue: what its waiting tasks request
	ids := sortedKeys(s.active)
	for _, id := range ids {
		p := s.active[id]
		q := p.job.queue.Name
		waiting[q] = waiting[q].Plus(roomOf(&p.job.spec.Steps[p.step]), p.waiting)
	}
	for _, id := range ids {
		p := s.active[id]
		if p.waiting > 0 && !p.job.lasting {
			p.waits[s.shortageOfTasks(p, waiting[p.job.queue.Name])] += sampleInterval
		}
	}
	if s.now.Before(begin) || s.now.After(begin.Add(seconds(s.day.load.Seconds))) {
		return
	}
	for _, h := range s.hosts {
		s.sampleHost(h)
	}
}

// sampleHost adds the state of a host to the host time.
func (s *sim) sampleHost(h *host) {
	if h.pool == sparePool || h.phase == cuminstair.PhaseDown {
		return
	}
	t := &s.count.hostTime
	step := sampleInterval.Seconds()
	w := h.worker
	if w == nil {
		t.Moving += step
		return
	}
	cpu, memory := w.shares()
	t.Used += step * cpu
	t.Memory += step * max(0, memory-cpu)
	s.count.usedCores += step * float64(w.used.CPU) / 1000
	unused := 1 - max(cpu, memory)
	short := false
	for _, r := range w.runs {
		short = short || !r.lasting()
	}
	switch {
	case short:
		t.BesideTasks += step * unused
	case len(w.runs) > 0:
		t.BesideLasting += step * unused
	default:
		t.addIdle(s.day.phase(s.queueIndex[h.pool], s.now), step)
	}
}

// freeRoom is the free room of a pool's workers.
type freeRoom struct {
	all    place.Room // on all workers
	usable place.Room // on those that the owner may use
	tasks  int        // tasks of a step that all workers have room for
	places int        // tasks of a step that the usable workers have room for
}

// roomFor returns the free room of the pool of a job, and how many tasks of one of its steps it is enough for.
func (s *sim) roomFor(j *job, step int) (r freeRoom) {
	st := &j.spec.Steps[step]
	for _, h := range s.hosts {
		w := h.worker
		if h.pool != j.queue.Name || w == nil || !w.reachable() {
			continue
		}
		free := w.total().Plus(w.used, -1)
		n := max(0, min(free.CPU/st.CPU, free.Memory/st.Memory))
		if st.PerWorker > 0 {
			n = min(n, max(0, st.PerWorker-w.tasksOf(j, step)))
		}
		r.all = r.all.Plus(free, 1)
		r.tasks += n
		if w.usable() {
			r.usable = r.usable.Plus(free, 1)
			r.places += n
		}
	}
	return r
}

// hostsElsewhere reports whether hosts are switched off, idle in other pools or moving.
func (s *sim) hostsElsewhere(pool string) bool {
	for _, h := range s.hosts {
		switch {
		case h.phase == cuminstair.PhaseDown || h.centre == s.cutCentre:
		case h.phase == cuminstair.PhaseMoving, h.pool == sparePool:
			return true
		case h.pool != pool && h.worker != nil && len(h.worker.runs) == 0:
			return true
		}
	}
	return false
}
