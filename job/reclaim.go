package job

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// reclaim is the room that is being made for an urgent job.
type reclaim struct {
	worker *worker
	size   size
	wait   map[string]cuminstair.TaskAction // tasks that have not been throttled or saved yet
	all    []*task
}

// placeUrgent starts urgent jobs, where necessary in the place of archive tasks.
func (s *Scheduler) placeUrgent(now time.Time) {
	waiting := s.urgent[:0]
	s.searches = 0
	for _, e := range s.urgent {
		s.Work++
		if e.State == Queued && !s.urgentNow(now, e) && e.State == Queued {
			waiting = append(waiting, e)
			continue
		}
		if e.State != Queued && e.wants != nil {
			s.abandon(e)
		}
	}
	clear(s.urgent[len(waiting):])
	s.urgent = waiting
}

// urgentNow starts an urgent job or goes on making room for it. It returns true once the job is started.
func (s *Scheduler) urgentNow(now time.Time, e *entry) bool {
	if r := e.wants; r != nil {
		if len(r.wait) > 0 {
			return false
		}
		s.abandon(e)
		if r.size.fits(r.worker.free) && !r.worker.out {
			s.start(now, e, r.worker, r.size, ReasonUrgent)
			return true
		}
	}
	z, t := s.size(&e.Job), s.teams[e.Team]
	if why := s.never(t, z); why != "" {
		s.step(e, "park", why)
		return false
	}
	if t.used+z.cores > t.quota {
		e.Why = fmt.Sprintf("team %s holds %.1f of its %.0f cores", t.name, t.used, t.quota)
		return false
	}
	if s.searches++; s.searches > perDecide {
		return false // its turn comes in the next call
	}
	w := s.workers.fit(z, func(w *worker) bool { return z.fits(w.free) && e.maySit(w, now) })
	if w != nil {
		s.start(now, e, w, z, ReasonUrgent)
		return true
	}
	s.reclaim(now, e, z)
	return false
}

// reclaim throttles or checkpoints archive tasks of one worker, and books the room for the urgent job.
func (s *Scheduler) reclaim(now time.Time, e *entry, z size) {
	w := s.workers.find(byReclaim, z, func(w *worker) bool {
		return z.fits(w.free.plus(w.archive, 1)) && e.maySit(w, now)
	})
	if w == nil {
		e.Why = fmt.Sprintf("no worker could free %.1f cores and %s of archive tasks", z.cores, z.memory)
		return
	}
	action, tasks := cuminstair.TaskThrottle, w.archiveTasks(false)
	after := w.free
	for _, t := range tasks {
		after.cores += t.size.cores * (1 - throttledShare)
	}
	if !z.fits(after) {
		action, tasks = cuminstair.TaskCheckpoint, w.archiveTasks(true)
	}
	r := &reclaim{worker: w, size: z, wait: map[string]cuminstair.TaskAction{}}
	free := w.free
	for _, t := range tasks {
		if z.fits(free) {
			break
		}
		s.Work++
		gain := t.size
		if action == cuminstair.TaskThrottle {
			gain = size{cores: t.size.cores * (1 - throttledShare)}
		}
		free = free.plus(gain, 1)
		t.wanted = r
		r.wait[t.id] = action
		r.all = append(r.all, t)
		s.plan.Actions[action] = append(s.plan.Actions[action], t.id)
		w.archive = w.archive.plus(t.size, -1)
	}
	e.wants = r
	e.Why = fmt.Sprintf("%s of %d archive tasks on %s", action, len(r.wait), w.Name)
	w.free = w.free.plus(z, -1)
	s.workers.reindex(w)
}

// archiveTasks returns the archive tasks that no urgent job waits for yet, the largest first, so that few are touched;
// throttled ones only if slow is set.
func (w *worker) archiveTasks(slow bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.job.Archive && t.wanted == nil && (slow || !t.slow) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *task) int {
		if a.size.cores != b.size.cores {
			if a.size.cores > b.size.cores {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	return list
}

// abandon gives up the booking of room for an urgent job.
func (s *Scheduler) abandon(e *entry) {
	r := e.wants
	e.wants = nil
	r.worker.free = r.worker.free.plus(r.size, 1)
	for _, t := range r.all {
		t.wanted = nil
		if !t.gone {
			r.worker.archive = r.worker.archive.plus(t.size, 1)
		}
	}
	s.workers.reindex(r.worker)
}

// ActionResult takes the outcome of an action on tasks: accepted, or failed, so that it has to be repeated.
func (s *Scheduler) ActionResult(now time.Time, action cuminstair.TaskAction, ids []string, ok bool) {
	for _, id := range ids {
		t, known := s.tasks[id]
		if !known {
			continue
		}
		if !ok {
			if action != cuminstair.TaskRenew { // a renewal has its turn again before the lease ends
				s.plan.Actions[action] = append(s.plan.Actions[action], id)
			}
			continue
		}
		s.acted(now, t, action)
	}
}

func (s *Scheduler) acted(now time.Time, t *task, action cuminstair.TaskAction) {
	switch action {
	case cuminstair.TaskRenew:
		t.renewed = now
	case cuminstair.TaskThrottle:
		if s.step(t.job, "throttle", "throttled for an urgent job") {
			t.slow = true
			s.slow[t] = true
			s.resize(t, size{cores: t.full.cores * throttledShare, memory: t.size.memory, accel: t.size.accel})
		}
		t.done()
	case cuminstair.TaskCheckpoint:
		if s.step(t.job, "save", "saved for an urgent job") {
			s.enqueue(t.job)
		}
		s.release(t)
	case cuminstair.TaskStop:
		s.release(t)
	case cuminstair.TaskResume:
		s.step(t.job, "resume", "has its cores back")
		t.slow = false
	}
}

// done tells the urgent job that waits for the task.
func (t *task) done() {
	if t.wanted != nil {
		delete(t.wanted.wait, t.id)
	}
}

// resize books another size for a task.
func (s *Scheduler) resize(t *task, z size) {
	old := t.size
	t.size = z
	w := t.worker
	w.free = w.free.plus(old, 1).plus(z, -1)
	if t.job.Archive && t.wanted == nil {
		w.archive = w.archive.plus(old, -1).plus(z, 1)
	}
	if tm, ok := s.teams[t.job.Team]; ok {
		tm.used += z.cores - old.cores
	}
	s.workers.reindex(w)
}

// resume gives throttled tasks their cores back where there is room again.
func (s *Scheduler) resume() {
	for t := range s.slow {
		s.Work++
		if t.gone || !t.slow {
			delete(s.slow, t)
			continue
		}
		more := size{cores: t.full.cores - t.size.cores}
		if t.wanted == nil && more.fits(t.worker.free) {
			s.resize(t, t.full)
			s.plan.Actions[cuminstair.TaskResume] = append(s.plan.Actions[cuminstair.TaskResume], t.id)
			delete(s.slow, t)
		}
	}
}
