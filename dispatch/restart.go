package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// workerRestarted handles a restart of a worker, which ended all its earlier runs. Attempts that running lists are
// kept, and so are those that the new incarnation may have started. Its next reports decide on these.
func (s *Service) workerRestarted(now time.Time, w *worker, incarnation int64, running map[cuminstair.TaskID]int64) {
	o := observation{kind: observedRestart, incarnation: incarnation, since: w.lastRenewal, until: now}
	kept := map[*attempt]bool{}
	for id, a := range w.attempts {
		if running[id] == a.run || !a.ended(o) {
			kept[a] = true
		}
	}
	s.workerCrashed(now, w, "it has restarted", kept)
	s.Log.Info("dispatch: worker restarted", "service", s.Name, "worker", w.info.ID, "born", incarnation, "tasks", len(w.attempts),
		"acknowledging", w.ackSent)
	leaseUnsure := len(kept) > 0 || len(w.lateStarts) > 0 || w.leaseSentAt.After(w.lastRenewal) || s.earlierOwnerMayReach(w)
	w.begin(now, incarnation)
	w.leaseUnsure, w.nextRenewal = leaseUnsure, now
	s.recordAgain(w)
	for _, a := range w.attempts {
		if kept[a] {
			a.mayHaveEnded, a.seen = true, false
			if a.answeredAt.IsZero() {
				w.expectLateStart(now, a)
			}
			s.repeatStop(now, a)
			continue
		}
		s.conclude(now, a, o)
	}
	s.stopLateStarts(now, w)
}

// expectLateStart records that a start without an answer, which was sent before a restart of the worker was known, may still be carried out
// or refused there. Its lease is one of the longest length to the later incarnation, and is taken in either case.
func (w *worker) expectLateStart(now time.Time, a *attempt) {
	ended := a.unansweredAt
	if ended.IsZero() {
		ended = now
	}
	if until := ended.Add(lateCallTime); until.After(w.lateUntil) {
		w.lateUntil = until
	}
}

// repeatStop orders the stop of a run again, if it was ordered, since a later incarnation of the worker does not know of it. One
// that was ordered only since the start had no answer is withdrawn: the later incarnation may have the run at work.
func (s *Service) repeatStop(now time.Time, a *attempt) {
	if a.stopSentAt.IsZero() {
		return
	}
	a.stopSentAt, a.stopConfirmedAt = time.Time{}, time.Time{}
	if a.stopUnanswered {
		a.stopUnanswered = false
		return
	}
	s.orderStop(now, a)
}

// keepLateStart keeps a released run whose start had no answer, so that it can be stopped if the worker restarts.
func (w *worker) keepLateStart(now time.Time, a *attempt) {
	w.dropLateStarts(now)
	if a.unansweredAt.IsZero() {
		a.unansweredAt = now
	}
	w.lateStarts = append(w.lateStarts, a)
}

// dropLateStarts removes the runs whose start can't be carried out any more.
func (w *worker) dropLateStarts(now time.Time) {
	w.lateStarts = slices.DeleteFunc(w.lateStarts, func(a *attempt) bool { return now.Sub(a.unansweredAt) > lateCallTime })
}

// stopLateStarts re-adds the runs that a later incarnation of the worker may still start, and stops them there unless their task
// has no other run. The stop of a run bars the earlier runs of its task as well, so that the latest run comes first.
func (s *Service) stopLateStarts(now time.Time, w *worker) {
	w.dropLateStarts(now)
	slices.SortFunc(w.lateStarts, func(a, b *attempt) int { return cmp.Compare(b.run, a.run) })
	for _, a := range w.lateStarts {
		w.expectLateStart(now, a)
		a.task, a.mayHaveEnded, a.trial = nil, true, false
		a.stopSentAt, a.stopConfirmedAt, a.stopUnanswered = time.Time{}, time.Time{}, false
		if w.attempts[a.id] == nil {
			w.add(a)
			if t := s.taskOf(a); t != nil && t.attempt == nil {
				a.task, t.attempt = t, a
				continue // its start counts as one without an answer
			}
		}
		s.orderStop(now, a)
	}
	w.lateStarts = nil
}

// earlierOwnerMayReach reports whether an order of an earlier owner may reach the later incarnation of a worker that has
// restarted: the earlier incarnation is not known to have been there after the earlier owners stopped giving orders. The later
// one has seen no token, and a lease on the clock of the earlier one is of the longest length to it.
func (s *Service) earlierOwnerMayReach(w *worker) bool {
	return s.inherited[w.info.ID] && !w.lastRenewal.After(s.takenOverAt.Add(s.EarlierOwnerGrace))
}

// confirmRun withdraws the crash that was counted for a run when its worker restarted, since the new incarnation has it.
func (s *Service) confirmRun(a *attempt) {
	if a.mayHaveEnded {
		a.mayHaveEnded = false
		s.withdrawRun(a)
	}
}

// workerReplaced records that another worker answers at the address of a worker, to a call that was sent at sent.
func (s *Service) workerReplaced(now, sent time.Time, w *worker) {
	o := observation{kind: observedReplacement, incarnation: w.info.Incarnation, since: sent, until: now}
	if !w.gone {
		s.workerCrashed(now, w, o.kind.String(), nil)
	}
	s.workerGone(now, w, o)
}

// workerGone records that a worker no longer exists as an observation shows; all its runs are lost.
func (s *Service) workerGone(now time.Time, w *worker, o observation) {
	if w.gone {
		return
	}
	s.Log.Info("dispatch: worker is gone", "service", s.Name, "worker", w.info.ID, "why", o.kind.String(), "tasks", len(w.attempts))
	w.gone, w.listed = true, false
	s.recordAgain(w)
	for _, a := range w.attempts {
		s.conclude(now, a, o)
	}
}
