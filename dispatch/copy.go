package dispatch

import (
	"slices"
	"time"
)

// copyDelay is how long after a takeover no copies are started of tasks that may still run. By then the workers that
// answer have reported their runs.
const copyDelay = time.Second

// detachUnreachable detaches the runs on workers that do not answer or whose data centre is cut off, if copies of the
// task may run at the same time and none runs on a worker that answers, so that the task starts on another worker. Other
// tasks wait until the lease of their worker has run out.
func (s *Service) detachUnreachable(now time.Time) {
	for _, w := range s.workers {
		if len(w.attempts) == 0 || (!w.suspect() && !s.isCutOff(now, w)) {
			continue
		}
		for _, a := range w.attempts {
			if a.task != nil && a.task.step.copyable() && a.stopSentAt.IsZero() && s.liveCopy(a.task) == nil {
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
	t.detach(a)
	s.changed = true
	s.requeue(t.step)
}

// detach makes a run the detached copy of its task, which then has no attempt.
func (t *task) detach(a *attempt) {
	t.attempt, a.task = nil, nil
	t.addCopy(a)
}

// addCopy adds a detached run to its task.
func (t *task) addCopy(a *attempt) {
	a.copyOf = t
	t.copies = append(t.copies, a)
}

// liveCopy returns a detached run of a task that goes on as far as is known, or nil.
func (s *Service) liveCopy(t *task) *attempt {
	for _, c := range t.copies {
		if c.stopSentAt.IsZero() && !c.answeredAt.IsZero() && !c.worker.gone && !c.worker.suspect() && !s.isCutOff(s.now, c.worker) {
			return c
		}
	}
	return nil
}

// reattach makes a detached run the attempt of its task again, whose other copy has ended without completing it.
func (t *task) reattach(a *attempt) {
	t.removeCopy(a)
	a.task, a.copyOf, t.attempt = t, nil, a
}

func (t *task) removeCopy(a *attempt) {
	t.copies = slices.DeleteFunc(t.copies, func(c *attempt) bool { return c == a })
}

// stopCopies stops the detached runs of a task except a, which may be nil.
func (s *Service) stopCopies(now time.Time, t *task, a *attempt) {
	for _, c := range t.copies {
		if c != a {
			s.orderStop(now, c)
		}
	}
}

// releaseCopy removes a run that is released from the copies of its task.
func (s *Service) releaseCopy(now time.Time, a *attempt) {
	t := a.task
	if a.copyOf != nil {
		t = a.copyOf
		t.removeCopy(a)
	}
	if t != nil {
		s.copyReleased(now, t, a)
	}
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
