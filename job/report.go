package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// StartResult processes the outcome of a start: accepted, refused (neither flag is set), or unknown (repeat is set), in
// which case the start is repeated with the same id.
func (s *Scheduler) StartResult(now time.Time, st Start, accepted, repeat bool) {
	t, ok := s.tasks[st.Task.ID]
	switch {
	case !ok:
	case repeat:
		s.plan.Starts = append(s.plan.Starts, st)
	case accepted:
		t.renewed = now
		s.step(t.job, "run", t.job.Why)
	default:
		s.requeue(t, "the platform refused the start")
	}
}

// Report processes a worker's report about a task. Reports lag, so those about tasks that are no longer known are ignored.
func (s *Scheduler) Report(now time.Time, u cuminstair.Usage) {
	t, ok := s.tasks[u.Task]
	if !ok {
		return
	}
	t.lastReport, t.unreported = now, false
	switch u.State {
	case "running":
		s.running(now, t, u)
	case "done":
		t.worker.failuresInRow = 0
		s.step(t.job, "finish", "finished on "+t.worker.Name)
		s.blameWorkers(t, now.Sub(t.requested)+time.Nanosecond)
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
			s.requeue(t, "stopped by its worker")
			return
		}
		s.release(t)
	}
}

// running adds a report to the samples of the class and reserves at least what the task uses.
func (s *Scheduler) running(now time.Time, t *task, u cuminstair.Usage) {
	s.step(t.job, "run", t.job.Why)
	s.blameWorkers(t, now.Sub(t.requested))
	if t.throttled || t.job.State == Throttled {
		return // the usage of a throttled task does not show its size
	}
	c, ok := s.classes[t.job.Class]
	if !ok {
		c = &class{}
		s.classes[t.job.Class] = c
	}
	used := sampleValue(u.Cores, t.atStart.cores, t.job.Cores)
	memory := sampleValue(float64(u.Memory), float64(t.atStart.memory), float64(t.job.Memory))
	c.add(used, cuminstair.Bytes(memory))
	z := s.size(&t.job.Job)
	z.cores, z.memory = max(z.cores, u.Cores), max(z.memory, u.Memory)
	t.unthrottled = z
	if z != t.size {
		s.resize(t, z)
	}
}

// failed counts a failure against the job and starts the backoff of the worker. The failure counts towards a quarantine
// of the worker only if the job later runs longer on another worker.
func (s *Scheduler) failed(now time.Time, t *task, message string) {
	e, w := t.job, t.worker
	s.step(e, "fail", fmt.Sprintf("failed on %s: %s", w.Name, message))
	e.failedAtAge[w.Name] = now.Sub(t.requested)
	e.Failed = slices.Sorted(maps.Keys(e.failedAtAge))
	w.failedJobs[e] = true
	if !t.requested.Before(w.lastFailure) {
		// Tasks that were requested before the last failure are not counted, since they give no new evidence.
		w.failuresInRow++
		w.lastFailure = now
		w.backoffUntil = now.Add(min(maxBackoff, firstBackoff<<min(w.failuresInRow-1, 10)))
	}
	s.release(t)
	if e.State != Queued {
		return
	}
	if len(e.failedAtAge) >= parkAfter {
		// The state is set without step, which would reduce the team's count of queued jobs: the job is in no queue.
		e.State, e.Why = Parked, fmt.Sprintf("failed on %d workers, last on %s: %s", len(e.failedAtAge), w.Name, message)
		return
	}
	s.enqueue(e)
}

// blameWorkers counts earlier failures of a job against the workers on which they happened if the job has now run
// longer on another worker than it did there.
func (s *Scheduler) blameWorkers(t *task, age time.Duration) {
	for name, failedAt := range t.job.failedAtAge {
		w, ok := s.workers.all[name]
		if !ok || w == t.worker || age <= failedAt || w.ranLongerElsewhere[t.job.ID] {
			continue
		}
		w.ranLongerElsewhere[t.job.ID] = true
		if len(w.ranLongerElsewhere) >= quarantineAfter && !w.quarantined {
			s.quarantine(w)
		}
	}
}

// quarantine plans the quarantine of a worker, unless too many workers are quarantined already. The failures on this
// worker then no longer count against the jobs that failed there.
func (s *Scheduler) quarantine(w *worker) {
	if s.workers.quarantineCount >= max(1, int(maxQuarantined*float64(len(s.workers.all)))) {
		return
	}
	s.workers.quarantineCount++
	w.quarantined, w.unavailable = true, true
	s.workers.reindex(w)
	s.plan.Quarantine[w.Name] = fmt.Sprintf("%d jobs failed on it that got further elsewhere", len(w.ranLongerElsewhere))
	for e := range w.failedJobs {
		delete(e.failedAtAge, w.Name)
		e.Failed = slices.Sorted(maps.Keys(e.failedAtAge))
		if e.State == Parked && len(e.failedAtAge) < parkAfter {
			s.Release(e.ID)
		}
	}
	clear(w.failedJobs)
}

// Release queues a parked job again.
func (s *Scheduler) Release(id string) {
	if e, ok := s.jobs[id]; ok && e.State == Parked && s.step(e, "release", "released") {
		e.Lost = 0
		s.enqueue(e)
	}
}

// Cancel cancels jobs in bulk. Its cost grows only with the number of jobs that it cancels: queued jobs are removed
// when they reach the front of their queue, and running ones are stopped with one action for all.
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

// requeue ends the reservation of a task that no longer runs and queues its job again.
func (s *Scheduler) requeue(t *task, why string) {
	e := t.job
	s.release(t)
	if s.step(e, "lose", why) {
		s.enqueue(e)
	}
}
