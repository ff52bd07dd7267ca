package dispatch

import (
	"sort"
	"time"
)

// moveAfterTakeover is how long after a takeover, besides the time of a stop, planned work takes no task away.
const moveAfterTakeover = 1500 * time.Millisecond

// stopSettles is how long a worker that leaves waits with a move for the planned stop of another task. It is well below
// the time for which a worker serves on after it was seen to leave.
const stopSettles = 1200 * time.Millisecond

// silentAfter is the age of the last answer of a worker at which its tasks count as away.
const silentAfter = renewEvery + holdWait

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

// Yield empties up to n workers without long-running tasks, those that are free most first, so that their hosts can go
// to a pool that lacks them. Workers that are being emptied already count.
func (s *Service) Yield(now time.Time, n int) {
	var list []*worker
	for _, w := range s.workers {
		if !w.listed || w.gone || !w.synced || !w.leaving.IsZero() || w.longRunning > 0 || w.bestEffort > 0 || len(w.attempts) == 0 {
			continue
		}
		if now.Before(w.cordon) {
			n--
			w.cordon = now.Add(cordonFor)
			continue
		}
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := freeShare(list[i]), freeShare(list[j])
		if a != b {
			return a > b
		}
		return list[i].info.ID < list[j].info.ID
	})
	for _, w := range list[:max(0, min(n, len(list)))] {
		w.cordon = now.Add(cordonFor)
	}
}

// Vacate keeps new long-running tasks away from workers whose hosts are due for maintenance later, and moves those that are
// there away one after the other; short tasks go on there. It returns the workers without long-running tasks, and has to
// be called again and again.
func (s *Service) Vacate(now time.Time, ids []string) (free []string) {
	for _, id := range ids {
		w, ok := s.workers[id]
		if !ok {
			continue
		}
		w.vacate = now.Add(cordonFor)
		if w.synced && w.longRunning == 0 && w.bestEffort == 0 {
			free = append(free, id)
		}
	}
	return free
}

// evacuate moves long-running tasks away from workers that leave, are cordoned, or whose hosts are due for maintenance.
func (s *Service) evacuate(now time.Time) {
	if s.stopping {
		return
	}
	for _, w := range s.toEmpty(now) {
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
			near := s.neighbours(a.task.step)
			to := s.choose(a.task.step, a.task, near)
			if to != nil && to.vacating && w.leaving.IsZero() && !now.Before(w.cordon) {
				continue // it would have to move again
			}
			if to == nil && a.task.step.advised() {
				s.seekAdvice(now, a.task.step)
				continue
			}
			if to == nil {
				s.reserve(now, a.task.step, a.task, near)
				continue
			}
			to.keep(now, a.task) // until it has stopped
			s.move(now, a)
		}
	}
}

// toEmpty returns the workers that long-running tasks should leave: those that go first, and then those with the fewest,
// so that hosts become free one after the other.
func (s *Service) toEmpty(now time.Time) []*worker {
	var list []*worker
	for _, w := range s.workers {
		if w.longRunning+w.bestEffort > 0 && (!w.leaving.IsZero() || now.Before(w.cordon) || w.vacating) {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.leaving.IsZero() != b.leaving.IsZero() {
			return b.leaving.IsZero()
		}
		if a.longRunning != b.longRunning {
			return a.longRunning < b.longRunning
		}
		return a.info.ID < b.info.ID
	})
	return list
}

// mayMove tells whether planned work may take a long-running task away now.
func (s *Service) mayMove(now time.Time, t *task) bool {
	if now.Sub(s.taken) < s.Bounds.StopGrace+moveAfterTakeover {
		return false // an earlier owner's stops of other tasks may not show yet
	}
	away := 0
	for _, o := range t.step.tasks {
		if o != t && (!o.away.IsZero() || o.at == nil || !o.at.stop.IsZero() || o.at.percent < 100 || silent(now, o.at.worker)) {
			away++
		}
	}
	return away < max(1, t.step.MayMiss)
}

// silent tells whether a worker has not answered for longer than the renewals take, so that its tasks may be gone.
func silent(now time.Time, w *worker) bool {
	return w.failed > 0 || now.Sub(w.held) > silentAfter
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
