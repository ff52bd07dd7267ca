package dispatch

import (
	"sort"
	"time"
)

// takeoverMoveDelay is how long after a takeover, in addition to StopGrace, no task is moved for planned work such as
// maintenance.
const takeoverMoveDelay = 1500 * time.Millisecond

// plannedStopTimeout is how long a move from a leaving worker waits for the planned stop of another task of the step.
// It is well below the time for which a leaving worker keeps running.
const plannedStopTimeout = 1200 * time.Millisecond

// silentTimeout is the age of a worker's last answer above which its tasks count as not running.
const silentTimeout = renewInterval + maxRenewalWait

// cordonTTL is how long a cordon lasts unless it is renewed.
const cordonTTL = 2 * time.Second

// Cordon keeps new tasks off workers whose hosts are due for maintenance or a move, and moves their long-running tasks
// elsewhere. It returns the idle workers, whose hosts may be taken down or moved: they have no tasks, and the ends of their
// tasks are stored. Callers repeat the call until the hosts
// are down or moved, since a cordon expires. An unknown worker counts as idle only once all runs started by earlier
// owners are known or have ended. The list of workers may show an idle worker for seconds after its host was moved, so it
// gets no task after the cordon until it has answered.
func (s *Service) Cordon(now time.Time, ids []string) (idle []string) {
	for _, id := range ids {
		w, ok := s.workers[id]
		switch {
		case !ok:
			if s.inheritedResolved() {
				idle = append(idle, id)
			}
		default:
			w.cordonedUntil = now.Add(cordonTTL)
			if w.synced && w.idle() {
				idle = append(idle, id)
				w.mayHaveMoved = true
			}
		}
	}
	return idle
}

// Yield cordons up to n workers that run only short tasks, the least loaded first, so that their hosts can be moved to a
// pool that lacks hosts. Workers that are cordoned already count towards n.
func (s *Service) Yield(now time.Time, n int) {
	var list []*worker
	for _, w := range s.workers {
		if !w.listed || w.gone || !w.synced || !w.leavingSince.IsZero() || w.longRunning > 0 || w.bestEffort > 0 || len(w.attempts) == 0 {
			continue
		}
		if now.Before(w.cordonedUntil) {
			n--
			w.cordonedUntil = now.Add(cordonTTL)
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
		w.cordonedUntil = now.Add(cordonTTL)
	}
}

// Vacate keeps new long-running tasks off workers whose hosts are due for maintenance later, and moves existing ones
// away one after the other; short tasks still run there. It returns the workers without long-running tasks. Callers
// repeat the call, since its effect expires.
func (s *Service) Vacate(now time.Time, ids []string) (free []string) {
	for _, id := range ids {
		w, ok := s.workers[id]
		if !ok {
			continue
		}
		w.vacateUntil = now.Add(cordonTTL)
		if w.synced && w.longRunning == 0 && w.bestEffort == 0 {
			free = append(free, id)
		}
	}
	return free
}

// evacuate moves long-running tasks off workers that are leaving or cordoned, or whose hosts are due for maintenance.
func (s *Service) evacuate(now time.Time) {
	if s.stopping {
		return
	}
	for _, w := range s.workersToEmpty(now) {
		for _, a := range w.attempts {
			if a.task == nil || !a.task.step.LongRunning || !a.stopSentAt.IsZero() || a.answeredAt.IsZero() {
				continue
			}
			if w.leavingSince.IsZero() && !s.mayMove(now, a.task) {
				continue
			}
			if !w.leavingSince.IsZero() && plannedStopPending(now, a.task) {
				continue
			}
			to := s.choose(a.task.step, a.task, s.spreadOf(a.task.step))
			if to != nil && to.vacating && w.leavingSince.IsZero() && !now.Before(w.cordonedUntil) {
				continue // the task would have to move again
			}
			if to == nil && a.task.step.needsTicket() {
				s.requestAdvice(now, a.task.step)
				continue
			}
			if to == nil {
				s.reserve(now, a.task.step, a.task)
				continue
			}
			to.reserve(now, a.task) // holds the room until the task has stopped
			s.move(now, a)
		}
	}
}

// workersToEmpty returns the workers from which long-running tasks are to be moved: leaving ones first, then those with
// the fewest such tasks, so that hosts become free one after the other.
func (s *Service) workersToEmpty(now time.Time) []*worker {
	var list []*worker
	for _, w := range s.workers {
		if w.longRunning+w.bestEffort > 0 && (!w.leavingSince.IsZero() || now.Before(w.cordonedUntil) || w.vacating) {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.leavingSince.IsZero() != b.leavingSince.IsZero() {
			return b.leavingSince.IsZero()
		}
		if a.longRunning != b.longRunning {
			return a.longRunning < b.longRunning
		}
		return a.info.ID < b.info.ID
	})
	return list
}

// mayMove reports whether planned work may interrupt a long-running task now.
func (s *Service) mayMove(now time.Time, t *task) bool {
	if now.Sub(s.takenOverAt) < s.Bounds.StopGrace+takeoverMoveDelay {
		return false // stops of other tasks that an earlier owner ordered may not be visible yet
	}
	down := 0
	for _, o := range t.step.tasks {
		if o != t && (!o.awaySince.IsZero() || o.attempt == nil ||
			!o.attempt.stopSentAt.IsZero() || o.attempt.percent < 100 || silent(now, o.attempt.worker)) {
			down++
		}
	}
	return down < max(1, t.step.MaxUnavailable)
}

// silent reports whether the last call to a worker failed or its last answer is older than silentTimeout, so that its
// tasks may have ended.
func silent(now time.Time, w *worker) bool {
	return w.failedCalls > 0 || now.Sub(w.lastRenewal) > silentTimeout
}

// plannedStopPending reports whether another task of the step is being stopped for a move from a worker that is not
// leaving. That interruption counts as planned, so no other task may be down at the same time.
func plannedStopPending(now time.Time, t *task) bool {
	for _, o := range t.step.tasks {
		if o != t && o.plannedMove && o.attempt != nil && o.attempt.worker.leavingSince.IsZero() &&
			!o.attempt.stopSentAt.IsZero() && now.Sub(o.awaySince) < plannedStopTimeout {
			return true
		}
	}
	return false
}

// move stops a long-running task, so that it is started on another worker.
func (s *Service) move(now time.Time, a *attempt) {
	a.task.awaySince, a.task.plannedMove = now, true
	s.Log.Info("dispatch: moving a long-running task", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "leaving", !a.worker.leavingSince.IsZero())
	s.orderStop(now, a)
}
