package dispatch

import "time"

// copyDelay is how long after a takeover no copies are started of tasks that may still run. By then the workers that
// answer have reported their runs.
const copyDelay = time.Second

// detachUnreachable detaches the runs on workers that do not answer or whose data centre is cut off, if copies of the
// task may run at the same time, so that the task starts on another worker. Other tasks wait until the lease of their
// worker has run out.
func (s *Service) detachUnreachable(now time.Time) {
	for _, w := range s.workers {
		if len(w.attempts) == 0 || (!w.suspect() && !s.isCutOff(now, w)) {
			continue
		}
		for _, a := range w.attempts {
			if a.task != nil && a.task.step.copyable() && a.stopSentAt.IsZero() {
				s.detach(now, a)
			}
		}
	}
}

// copyable reports whether copies of a task may run at the same time.
func (st *step) copyable() bool {
	return st.Duplicates && !st.Gang && !st.LongRunning && !st.BestEffort
}

// detach separates a run from its task, so that another copy of the task is started elsewhere. The run still occupies
// its room on the worker. If the run succeeds, the task is done; if it fails, that counts as a failed attempt of the
// task.
func (s *Service) detach(now time.Time, a *attempt) {
	t := a.task
	s.Log.Info("dispatch: starting another copy of a task", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "silent for", now.Sub(a.worker.lastRenewal).Round(time.Millisecond).String())
	t.attempt, a.task = nil, nil
	s.changed = true
	s.requeue(t.step)
}

// obsolete reports whether a detached run is no longer needed because its task is done or its job has finished.
func (s *Service) obsolete(a *attempt) bool {
	if a.task != nil || !a.stopSentAt.IsZero() {
		return false
	}
	j := s.jobs[a.id.Job]
	if j == nil || j.finished() {
		return true
	}
	t := j.task(a.id)
	return t == nil || t.done
}
