package dispatch

import "time"

// A run holds room on its worker, counts towards the limit of tasks per worker, and keeps its task from starting again. It is
// released when an observation proves that it has ended or never begins: ended decides, and conclude, which is the only caller
// of release, acts on it. docs/run-ends.md says what the protocol guarantees for each observation.

// observationKind says what an owner has observed of a worker or a run.
type observationKind uint8

// Kinds of observations.
const (
	observedEnd         observationKind = iota // the worker lists the run as ended
	observedRefusal                            // the worker answered the start without carrying it out
	observedLaterRun                           // the worker lists a later run of the task
	observedStop                               // the lists of the worker lack a run whose stop was ordered
	observedAbsence                            // the lists of the worker lack the run
	observedRestart                            // there is a later incarnation of the worker under its ID
	observedReplacement                        // another worker answers at the address
	observedHostDown                           // the record of the host says that it is down
	observedNewHost                            // the record of the host says that the worker has left it
	observedLapse                              // the lease of a worker that does not answer has run out
)

// String returns the reason for a release as it is logged.
func (k observationKind) String() string {
	switch k {
	case observedEnd:
		return "the worker lists its end"
	case observedRefusal:
		return "the worker refused its start"
	case observedLaterRun:
		return "the worker lists a later run"
	case observedStop:
		return "its stop is confirmed and the worker does not list it"
	case observedAbsence:
		return "the worker does not list it"
	case observedRestart:
		return "the worker restarted"
	case observedReplacement:
		return "another worker answers at its address"
	case observedHostDown:
		return "its host is down"
	case observedNewHost:
		return "its host has another worker, is moving or is in maintenance"
	case observedLapse:
		return "the worker did not answer before its lease ran out"
	default:
		return "unknown"
	}
}

// isLoss reports whether an observation shows that a run is lost, without a report of its end or an order to stop it.
func (k observationKind) isLoss() bool {
	switch k {
	case observedEnd, observedRefusal, observedLaterRun, observedStop:
		return false
	default:
		return true
	}
}

// observation is what an answer, a list or a record shows of one incarnation of a worker. What it shows was true at some time
// between since and until. Both are on this daemon's clock: when a call was sent, and when its answer was read.
type observation struct {
	kind         observationKind
	incarnation  int64 // of the worker that showed it, as its start in Unix milliseconds; 0: not known
	since, until time.Time
	longestLease time.Duration // observedLapse: how long a run may go on after its start was carried out
}

// runTimes is what an owner knows of when a run began and ended. A zero time means that it has not happened as far as the owner knows.
type runTimes struct {
	sentAt          time.Time // when the start was ordered, or the run first seen
	answeredAt      time.Time // when the start was answered or the run first seen
	unansweredAt    time.Time // when the call of the start ended without telling whether it runs
	stopConfirmedAt time.Time // when the present incarnation of the worker confirmed the stop
	seen            bool      // the present incarnation of the worker has listed it as running
	refusedAsOld    bool      // its start was answered, and refused as an old run
	ofEarlierOwner  bool      // its start is of an earlier owner: a worker that has answered this one refuses it
	missingReports  int       // consecutive reports that lack it although they should list it
}

// callEndedBefore reports whether the call of the start had ended by t. A start whose call has ended without an answer may still
// be carried out later.
func (r *runTimes) callEndedBefore(t time.Time) bool {
	if r.answeredAt.IsZero() {
		return !r.unansweredAt.IsZero() && r.unansweredAt.Before(t)
	}
	return r.answeredAt.Before(t)
}

// refusedByToken reports whether a worker that has answered this owner would refuse the start.
func (r *runTimes) refusedByToken() bool { return r.ofEarlierOwner && r.answeredAt.IsZero() }

// lateCall returns how long after its call ended the start may be carried out, by an incarnation that the owner does not know.
func (r *runTimes) lateCall() time.Duration {
	if r.refusedAsOld {
		return 0
	}
	return lateCallTime
}

// ended reports whether an observation proves that a run has ended or never begins. An observation says nothing of a start that
// may have been carried out after it, or by a later incarnation.
func (r *runTimes) ended(o observation) bool {
	switch o.kind {
	case observedEnd, observedRefusal, observedLaterRun, observedReplacement:
		return true
	case observedStop:
		return !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(o.since)
	case observedAbsence:
		return r.refusedByToken() || !r.answeredAt.IsZero() && r.answeredAt.Before(o.since) && r.missingReports > 1
	case observedRestart: // the earlier incarnation was still there at since
		return r.seen || !r.answeredAt.IsZero() && !r.answeredAt.After(o.since)
	case observedHostDown, observedNewHost:
		return r.callEndedBefore(o.since)
	case observedLapse:
		return !r.answeredAt.IsZero() || !r.unansweredAt.IsZero() && o.since.Sub(r.unansweredAt) > r.lateCall()+o.longestLease
	default:
		return false
	}
}

// mayRunAfter reports whether a run on the worker may go on, or begin, in spite of an observation.
func (w *worker) mayRunAfter(o observation) bool {
	for _, a := range w.attempts {
		if !a.ended(o) {
			return true
		}
	}
	return false
}

// conclude releases an attempt if an observation proves its end, and reports whether it does.
func (s *Service) conclude(now time.Time, a *attempt, o observation) bool {
	if !a.ended(o) {
		return false
	}
	w := a.worker
	if o.kind.isLoss() {
		s.recordLoss(now, a, o)
	} else if s.Log.IsDebug() {
		s.Log.Debug("dispatch: run released", s.describe(now, a, o)...)
	}
	s.release(now, a)
	if a.answeredAt.IsZero() && o.kind != observedEnd && o.kind != observedRefusal {
		w.keepLateStart(now, a)
	}
	if t := s.taskOf(a); t != nil && a.mayHaveEnded && o.kind.isLoss() {
		s.giveUpCrashing(now, t) // the crash under the run is certain now
	}
	return true
}

// describe returns the fields of a log line on the release of a run: the observation, the incarnation that it is of, how old it is
// at most, and how long the call took that brought it.
func (s *Service) describe(now time.Time, a *attempt, o observation) []any {
	return []any{
		"service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index, "run", a.run, "worker", a.worker.info.ID, "why", o.kind.String(),
		"born", o.incarnation, "age", now.Sub(o.since).Round(time.Millisecond).String(), "took", o.until.Sub(o.since).Round(time.Millisecond).String(),
	}
}

// recordLoss counts and logs that a run has ended without a report of its end.
func (s *Service) recordLoss(now time.Time, a *attempt, o observation) {
	s.counts.Lost++
	s.Log.Info("dispatch: task lost", s.describe(now, a, o)...)
	if a.task != nil {
		a.task.lostAt = now
		a.task.adopted = false // an earlier owner may have noticed the loss too, and have started the task again
	}
}

// earlierIncarnation handles a report of an incarnation that is known to have ended. It is a contradiction only if it was requested after
// that was known.
func (s *Service) earlierIncarnation(now, sent time.Time, w *worker, incarnation int64) {
	if sent.After(w.knownSince) {
		s.contradicts(w, "its incarnation has ended", w.info.Incarnation, incarnation)
		w.nextRenewal = now.Add(renewalBackoff)
	}
}

// contradicts counts and logs an answer that can't be true of the worker as it is known. It proves nothing, so that no run is lost.
func (s *Service) contradicts(w *worker, why string, known, reported int64) {
	s.counts.Contradictions++
	s.Log.Warn("dispatch: answer contradicts what is known of the worker", "service", s.Name, "worker", w.info.ID, "why", why, "known", known, "reported", reported)
}
