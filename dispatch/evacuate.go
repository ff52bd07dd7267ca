package dispatch

import "time"

// moveAfterTakeover is how long after a takeover, besides the time of a stop, planned work takes no task away.
const moveAfterTakeover = 1500 * time.Millisecond

// stopSettles is how long a worker that leaves waits with a move for the planned stop of another task. It is well below
// the time for which a worker serves on after it was seen to leave.
const stopSettles = 1200 * time.Millisecond

// cordonFor is how long a worker gets no tasks after it was last asked for.
const cordonFor = 2 * time.Second

// Cordon keeps new tasks away from workers whose hosts are due for maintenance or a move, and moves what lasts away from
// them. It returns the workers that are idle, so that the host may be taken; it has to be called again and again until
// then. A worker that is not known counts as idle only once everything of earlier owners is known.
func (s *Service) Cordon(now time.Time, ids []string) (idle []string) {
	for _, id := range ids {
		w, ok := s.workers[id]
		switch {
		case !ok:
			if s.settled() {
				idle = append(idle, id)
			}
		default:
			w.cordon = now.Add(cordonFor)
			if w.synced && len(w.attempts) == 0 {
				idle = append(idle, id)
			}
		}
	}
	return idle
}

// evacuate moves long-running tasks away from workers that leave or are cordoned.
func (s *Service) evacuate(now time.Time) {
	if s.stopping {
		return
	}
	for _, w := range s.workers {
		if w.leaving.IsZero() && !now.Before(w.cordon) {
			continue
		}
		for _, a := range w.attempts {
			if a.task == nil || !a.task.step.LongRunning || !a.stop.IsZero() || a.answered.IsZero() {
				continue
			}
			if w.leaving.IsZero() && !s.mayMove(now, a.task) {
				continue
			}
			if !w.leaving.IsZero() && stopping(now, a.task) {
				continue
			}
			if s.choose(a.task.step, a.task, s.neighbours(a.task.step)) == nil {
				continue
			}
			s.move(now, a)
		}
	}
}

// mayMove tells whether planned work may take a long-running task away now.
func (s *Service) mayMove(now time.Time, t *task) bool {
	if now.Sub(s.taken) < s.Bounds.StopGrace+moveAfterTakeover {
		return false // an earlier owner's stops of other tasks may not show yet
	}
	away := 0
	for _, o := range t.step.tasks {
		if o != t && (!o.away.IsZero() || o.at == nil || !o.at.stop.IsZero() || o.at.percent < 100) {
			away++
		}
	}
	return away < max(1, t.step.MayMiss)
}

// stopping tells whether a task of the same step is being stopped on a worker that stays. Its end counts as planned, so
// that no other task may be away by then.
func stopping(now time.Time, t *task) bool {
	for _, o := range t.step.tasks {
		if o != t && o.moved && o.at != nil && o.at.worker.leaving.IsZero() && !o.at.stop.IsZero() && now.Sub(o.away) < stopSettles {
			return true
		}
	}
	return false
}

// move stops a long-running task, which is then started on another worker.
func (s *Service) move(now time.Time, a *attempt) {
	a.task.away, a.task.moved = now, true
	s.Log.Info("dispatch: moving a long-running task", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "leaving", !a.worker.leaving.IsZero())
	s.stop(now, a)
}
