package dispatch

import "time"

// copiesAfter is how long after a takeover tasks whose runs are not known are started once more. Workers that answer have
// told what they run by then.
const copiesAfter = time.Second

// copyAll starts tasks once more, whose copies may run at the same time, when their workers are cut off or do not answer.
// It answers cuts of data centres: a task that must not run twice waits until the lease of its worker has run out.
func (s *Service) copyAll(now time.Time) {
	for _, w := range s.workers {
		if len(w.attempts) == 0 || (!w.suspect() && !s.isCutOff(now, w)) {
			continue
		}
		for _, a := range w.attempts {
			if a.task != nil && a.task.step.mayCopy() && a.stop.IsZero() {
				s.detach(now, a)
			}
		}
	}
}

// mayCopy tells whether copies of the tasks may run at the same time.
func (st *step) mayCopy() bool { return st.Duplicates && !st.Gang && !st.LongRunning && !st.BestEffort }

// detach lets a run go on without its task, which is started elsewhere. Its room stays taken, and its end counts.
func (s *Service) detach(now time.Time, a *attempt) {
	t := a.task
	s.Log.Info("dispatch: task is started once more", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "silent for", now.Sub(a.worker.held).Round(time.Millisecond).String())
	t.at, a.task = nil, nil
	s.changed = true
	s.relist(t.step)
}

// superseded tells whether a detached run is of no use any more, since its task is done or its job over.
func (s *Service) superseded(a *attempt) bool {
	if a.task != nil || !a.stop.IsZero() {
		return false
	}
	j := s.jobs[a.id.Job]
	if j == nil || j.over() {
		return true
	}
	t := j.task(a.id)
	return t == nil || t.done
}
