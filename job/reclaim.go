package job

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// reclaim is the capacity of a worker that is being freed for an urgent job.
type reclaim struct {
	worker  *worker
	size    size
	pending map[string]cuminstair.TaskAction // tasks that have not been throttled or checkpointed yet
	tasks   []*task
}

// placeUrgentJobs starts urgent jobs, if necessary by throttling or checkpointing archive tasks.
func (s *Scheduler) placeUrgentJobs(now time.Time) {
	waiting := s.urgent[:0]
	s.searches = 0
	for _, e := range s.urgent {
		s.Work++
		if e.State == Queued && !s.placeUrgentJob(now, e) && e.State == Queued {
			waiting = append(waiting, e)
			continue
		}
		if e.State != Queued && e.reclaim != nil {
			s.releaseReclaim(e)
		}
	}
	clear(s.urgent[len(waiting):])
	s.urgent = waiting
}

// placeUrgentJob starts an urgent job or continues to free capacity for it. It returns true once the job is started.
func (s *Scheduler) placeUrgentJob(now time.Time, e *jobEntry) bool {
	if r := e.reclaim; r != nil {
		if len(r.pending) > 0 {
			return false
		}
		s.releaseReclaim(e)
		if r.size.fits(r.worker.free) && !r.worker.unavailable {
			s.start(now, e, r.worker, r.size, ReasonUrgent)
			return true
		}
	}
	z, t := s.size(&e.Job), s.teams[e.Team]
	if why := s.neverFits(t, z); why != "" {
		s.step(e, "park", why)
		return false
	}
	if t.used+z.cores > t.quota {
		e.Why = fmt.Sprintf("team %s holds %.1f of its %.0f cores", t.name, t.used, t.quota)
		return false
	}
	if s.searches++; s.searches > maxStarts {
		return false // tried again in the next call
	}
	w := s.workers.fit(z, func(w *worker) bool { return z.fits(w.free) && e.mayRunOn(w, now) })
	if w != nil {
		s.start(now, e, w, z, ReasonUrgent)
		return true
	}
	s.reclaim(now, e, z)
	return false
}

// reclaim plans to throttle or checkpoint archive tasks of one worker, and reserves the capacity that this frees for the
// urgent job.
func (s *Scheduler) reclaim(now time.Time, e *jobEntry, z size) {
	w := s.workers.find(byReclaim, z, func(w *worker) bool {
		return z.fits(w.free.plus(w.archive, 1)) && e.mayRunOn(w, now)
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
	r := &reclaim{worker: w, size: z, pending: map[string]cuminstair.TaskAction{}}
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
		t.reclaim = r
		r.pending[t.id] = action
		r.tasks = append(r.tasks, t)
		s.plan.Actions[action] = append(s.plan.Actions[action], t.id)
		w.archive = w.archive.plus(t.size, -1)
	}
	e.reclaim = r
	e.Why = fmt.Sprintf("%s of %d archive tasks on %s", action, len(r.pending), w.Name)
	w.free = w.free.plus(z, -1)
	s.workers.reindex(w)
}

// archiveTasks returns the archive tasks that are in no reclaim yet, the largest first, so that few are affected. It
// includes throttled tasks only if includeThrottled is set.
func (w *worker) archiveTasks(includeThrottled bool) []*task {
	var list []*task
	for _, t := range w.tasks {
		if t.job.Archive && t.reclaim == nil && (includeThrottled || !t.throttled) {
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

// releaseReclaim ends the reservation of capacity for an urgent job.
func (s *Scheduler) releaseReclaim(e *jobEntry) {
	r := e.reclaim
	e.reclaim = nil
	r.worker.free = r.worker.free.plus(r.size, 1)
	for _, t := range r.tasks {
		t.reclaim = nil
		if !t.released {
			r.worker.archive = r.worker.archive.plus(t.size, 1)
		}
	}
	s.workers.reindex(r.worker)
}

// ActionResult processes the outcome of an action on tasks. A failed action is planned again, except a renewal.
func (s *Scheduler) ActionResult(now time.Time, action cuminstair.TaskAction, ids []string, ok bool) {
	for _, id := range ids {
		t, known := s.tasks[id]
		if !known {
			continue
		}
		if !ok {
			if action != cuminstair.TaskRenew { // the next renewal is planned anyway, before the lease expires
				s.plan.Actions[action] = append(s.plan.Actions[action], id)
			}
			continue
		}
		s.applyAction(now, t, action)
	}
}

func (s *Scheduler) applyAction(now time.Time, t *task, action cuminstair.TaskAction) {
	switch action {
	case cuminstair.TaskRenew:
		t.renewed = now
	case cuminstair.TaskThrottle:
		if s.step(t.job, "throttle", "throttled for an urgent job") {
			t.throttled = true
			s.throttled[t] = true
			s.resize(t, size{cores: t.unthrottled.cores * throttledShare, memory: t.size.memory, accel: t.size.accel})
		}
		t.reclaimed()
	case cuminstair.TaskCheckpoint:
		if s.step(t.job, "save", "saved for an urgent job") {
			s.enqueue(t.job)
		}
		s.release(t)
	case cuminstair.TaskStop:
		s.release(t)
	case cuminstair.TaskResume:
		s.step(t.job, "resume", "has its cores back")
		t.throttled = false
	}
}

// reclaimed marks the task as no longer pending in the reclaim that it belongs to.
func (t *task) reclaimed() {
	if t.reclaim != nil {
		delete(t.reclaim.pending, t.id)
	}
}

// resize changes the size that is reserved for a task.
func (s *Scheduler) resize(t *task, z size) {
	old := t.size
	t.size = z
	w := t.worker
	w.free = w.free.plus(old, 1).plus(z, -1)
	if t.job.Archive && t.reclaim == nil {
		w.archive = w.archive.plus(old, -1).plus(z, 1)
	}
	if tm, ok := s.teams[t.job.Team]; ok {
		tm.used += z.cores - old.cores
	}
	s.workers.reindex(w)
}

// resume restores the cores of throttled tasks whose worker has enough free cores again.
func (s *Scheduler) resume() {
	for t := range s.throttled {
		s.Work++
		if t.released || !t.throttled {
			delete(s.throttled, t)
			continue
		}
		more := size{cores: t.unthrottled.cores - t.size.cores}
		if t.reclaim == nil && more.fits(t.worker.free) {
			s.resize(t, t.unthrottled)
			s.plan.Actions[cuminstair.TaskResume] = append(s.plan.Actions[cuminstair.TaskResume], t.id)
			delete(s.throttled, t)
		}
	}
}
