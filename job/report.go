package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Started reports what became of a start: accepted, refused for certain, or to be repeated under the same id.
func (s *Scheduler) Started(now time.Time, st Start, accepted, repeat bool) {
	t, ok := s.tasks[st.Task.ID]
	switch {
	case !ok:
	case repeat:
		s.plan.Starts = append(s.plan.Starts, st)
	case accepted:
		t.renewed = now
		s.step(t.job, "run", t.job.Why)
	default:
		s.lose(t, "the platform refused the start")
	}
}

// Report takes a worker's report about a task. Reports lag: those about tasks that are not known any more are ignored.
func (s *Scheduler) Report(now time.Time, u cuminstair.Usage) {
	t, ok := s.tasks[u.Task]
	if !ok {
		return
	}
	t.heard, t.quiet = now, false
	switch u.State {
	case "running":
		s.running(now, t, u)
	case "done":
		t.worker.row = 0
		s.step(t.job, "finish", "finished on "+t.worker.Name)
		s.vindicate(t, now.Sub(t.begun)+time.Nanosecond)
		s.release(t)
	case "failed":
		s.failed(now, t, u.Message)
	case "saved":
		if s.step(t.job, "save", "saved") {
			s.enqueue(t.job)
		}
		s.release(t)
	case "stopped":
		if t.job.State != Cancelled {
			s.lose(t, "stopped by its worker")
			return
		}
		s.release(t)
	}
}

// running learns from a report and books what the task really takes.
func (s *Scheduler) running(now time.Time, t *task, u cuminstair.Usage) {
	s.step(t.job, "run", t.job.Why)
	s.vindicate(t, now.Sub(t.begun))
	if t.slow || t.job.State == Throttled {
		return // a throttled task shows nothing of its size
	}
	c, ok := s.classes[t.job.Class]
	if !ok {
		c = &class{}
		s.classes[t.job.Class] = c
	}
	used := measured(u.Cores, t.given.cores, t.job.Cores)
	memory := measured(float64(u.Memory), float64(t.given.memory), float64(t.job.Memory))
	c.add(used, cuminstair.Bytes(memory))
	z := s.size(&t.job.Job)
	z.cores, z.memory = max(z.cores, u.Cores), max(z.memory, u.Memory)
	t.full = z
	if z != t.size {
		s.resize(t, z)
	}
}

// failed counts a failure against the job. It counts against the worker only when the job gets further elsewhere.
func (s *Scheduler) failed(now time.Time, t *task, message string) {
	e, w := t.job, t.worker
	s.step(e, "fail", fmt.Sprintf("failed on %s: %s", w.Name, message))
	e.failed[w.Name] = now.Sub(t.begun)
	e.Failed = slices.Sorted(maps.Keys(e.failed))
	w.failed[e] = true
	if !t.begun.Before(w.failedAt) {
		// Tasks that were started before the last failure show nothing new.
		w.row++
		w.failedAt = now
		w.until = now.Add(min(maxBackoff, firstBackoff<<min(w.row-1, 10)))
	}
	s.release(t)
	if e.State != Queued {
		return
	}
	if len(e.failed) >= parkAfter {
		// The job is in no queue, so that the count of its team is not touched.
		e.State, e.Why = Parked, fmt.Sprintf("failed on %d workers, last on %s: %s", len(e.failed), w.Name, message)
		return
	}
	s.enqueue(e)
}

// vindicate counts the earlier failures of a job against the workers where it failed at an age that it has now passed
// elsewhere.
func (s *Scheduler) vindicate(t *task, age time.Duration) {
	for name, failedAt := range t.job.failed {
		w, ok := s.workers.all[name]
		if !ok || w == t.worker || age <= failedAt || w.fails[t.job.ID] {
			continue
		}
		w.fails[t.job.ID] = true
		if len(w.fails) >= suspectAfter && !w.suspect {
			s.suspect(w)
		}
	}
}

// suspect asks for a worker to be quarantined, unless too many are, and takes its failures off the jobs' accounts.
func (s *Scheduler) suspect(w *worker) {
	if s.workers.outs >= max(1, int(quarantineShare*float64(len(s.workers.all)))) {
		return
	}
	s.workers.outs++
	w.suspect, w.out = true, true
	s.workers.reindex(w)
	s.plan.Quarantine[w.Name] = fmt.Sprintf("%d jobs failed on it that got further elsewhere", len(w.fails))
	for e := range w.failed {
		delete(e.failed, w.Name)
		e.Failed = slices.Sorted(maps.Keys(e.failed))
		if e.State == Parked && len(e.failed) < parkAfter {
			s.Release(e.ID)
		}
	}
	clear(w.failed)
}

// Release queues a parked job again.
func (s *Scheduler) Release(id string) {
	if e, ok := s.jobs[id]; ok && e.State == Parked && s.step(e, "release", "released") {
		s.enqueue(e)
	}
}

// Cancel cancels jobs in bulk. Its cost grows with the jobs that it cancels only: queued ones are dropped when their
// turn comes, and running ones are stopped with one action for all.
func (s *Scheduler) Cancel(ids []string) {
	for _, id := range ids {
		s.Work++
		e, ok := s.jobs[id]
		if !ok || !s.step(e, "cancel", "cancelled") {
			continue
		}
		if e.task != nil {
			s.plan.Actions[cuminstair.TaskStop] = append(s.plan.Actions[cuminstair.TaskStop], e.task.id)
		}
	}
}

// lose queues a job again whose task does not run any more.
func (s *Scheduler) lose(t *task, why string) {
	e := t.job
	s.release(t)
	if s.step(e, "lose", why) {
		s.enqueue(e)
	}
}
