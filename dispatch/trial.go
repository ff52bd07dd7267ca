package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Parameters of trials.
const (
	// trialDivisor limits the workers that run trials or have crashed in one to about one in trialDivisor candidates or
	// hosts that could be moved to the pool, but not to fewer than minTrials. It holds for each kind of task, see
	// trialAllowed.
	trialDivisor = 8
	minTrials    = 2
	// suspectsPerTrial is the number of waiting suspects for which one more worker may be used, up to one in
	// crowdedTrialDivisor.
	suspectsPerTrial    = 8
	crowdedTrialDivisor = 4
	// trialTime is how long a trial lasts at least.
	trialTime = 50 * time.Millisecond
	// trialPatience is how long a trial waits for a worker without long-running tasks, solePatience that of a sole
	// suspect, and longRunningPatience that of a long-running task.
	trialPatience       = 3 * time.Second
	solePatience        = 9 * time.Second
	longRunningPatience = time.Second
)

// needsTrial reports whether the next start of the task is a trial: it may crash the worker. The tasks of a gang have no
// trials, since they run only together.
func (t *task) needsTrial() bool {
	if len(t.crashes) == 0 || t.step.Gang {
		return false
	}
	return len(t.crashes) >= crashLimit || slices.ContainsFunc(t.crashes, func(c crash) bool { return c.Early })
}

// soleSuspect reports whether the task was the only suspect of a crash.
func (t *task) soleSuspect() bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.Early && c.Alone })
}

// trialOver reports whether the trial of a run that its worker still lists is over. That of a task which was on several
// crashed workers lasts until the run ends or has settled.
func (s *Service) trialOver(now time.Time, a *attempt) bool {
	t := s.taskOf(a)
	if t != nil && len(t.crashes) >= crashLimit && !a.settled() {
		return false
	}
	return now.Sub(a.sentAt) >= trialTime
}

// endTrials ends the trials on a worker whose runs are still listed after trialTime.
func (s *Service) endTrials(now time.Time, w *worker, running map[cuminstair.TaskID]int64) {
	if w.trials == 0 {
		return
	}
	for _, a := range w.attempts {
		if a.trial && !a.passed && running[a.id] == a.run && s.trialOver(now, a) {
			s.passTrial(now, a)
		}
	}
}

func (s *Service) passTrial(now time.Time, a *attempt) {
	a.passed = true
	a.worker.trials--
	s.changed = true
	t := s.taskOf(a)
	if t == nil {
		return
	}
	s.Log.Info("dispatch: task did not crash its worker", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "age", now.Sub(a.sentAt).Round(time.Millisecond).String())
	for i := range t.crashes {
		t.crashes[i].Early = false
	}
}

// admits reports whether the trials and reservations on a worker permit the start of a task there. A trial needs a worker
// whose other runs are those of earlier trials; a worker reserved for the trial may have long-running tasks too.
func (s *Service) admits(w *worker, t *task) bool {
	reserved := w.reservedFor == t
	switch {
	case w.trials > 0:
		return w.trialAt.Equal(s.now) && w.soleTrial && t.needsTrial() && t.soleSuspect()
	case w.reservedFor != nil && !reserved:
		return false
	case !t.needsTrial():
		return true
	case !reserved && !s.trialAllowed(t):
		return false
	}
	for _, a := range w.attempts {
		mayStay := a.trial || reserved && a.longRunning
		if !mayStay {
			return false
		}
	}
	return true
}

// trialAllowed reports whether another worker may be used for a trial of a task. Each kind of task has workers of its own:
// long-running ones, sole suspects, which probably crash their worker and then explain a crash to others, and the rest.
func (s *Service) trialAllowed(t *task) bool {
	limit := s.trialLimit()
	switch {
	case t.step.LongRunning:
		return s.longRunningTrials() < limit
	case t.soleSuspect():
		return s.soleTrials < max(1, limit/2)
	}
	return s.trials-s.soleTrials < limit
}

// trialLimit returns how many workers may be used for trials of one kind of task.
func (s *Service) trialLimit() int {
	workers := max(len(s.candidates), s.available)
	return max(minTrials, workers/trialDivisor, min(s.waitingTrials/suspectsPerTrial, workers/crowdedTrialDivisor))
}

// countTrials counts the workers that run a trial of short tasks, are reserved for one, or have crashed in one and are not
// back.
func (s *Service) countTrials() {
	s.trials, s.soleTrials, s.waitingTrials = 0, 0, s.waitingSuspects()
	for _, w := range s.workers {
		switch {
		case w.gone, w.triesLongRunning(s.now):
		case w.reservedForTrial(s.now):
			s.addTrial(w.reservedFor.soleSuspect())
		case w.trials > 0, w.trialFailed:
			s.addTrial(w.soleTrial)
		}
	}
}

// waitingSuspects counts the tasks that wait for a worker for their trial.
func (s *Service) waitingSuspects() int {
	n := 0
	for _, st := range s.ready {
		for _, t := range st.tasks {
			if !t.done && t.attempt == nil && t.needsTrial() && t.mayStart() {
				n++
			}
		}
	}
	return n
}

// longRunningTrials counts the workers that run a trial of a long-running task, are reserved for one, or have crashed in one
// and are not back.
func (s *Service) longRunningTrials() int {
	n := 0
	for _, w := range s.workers {
		if !w.gone && w.triesLongRunning(s.now) {
			n++
		}
	}
	return n
}

func (w *worker) reservedForTrial(now time.Time) bool {
	return w.reservedFor != nil && now.Before(w.reservedUntil) && w.reservedFor.needsTrial()
}

// triesLongRunning reports whether a worker is used for a trial of a long-running task.
func (w *worker) triesLongRunning(now time.Time) bool {
	if w.reservedForTrial(now) {
		return w.reservedFor.step.LongRunning
	}
	if w.trialFailed {
		return slices.ContainsFunc(w.suspects, func(t *task) bool { return t.step.LongRunning })
	}
	if w.trials == 0 {
		return false
	}
	for _, a := range w.attempts {
		if a.longRunning && a.trial && !a.passed {
			return true
		}
	}
	return false
}

// addTrial counts a worker as used for a trial.
func (s *Service) addTrial(sole bool) {
	s.trials++
	if sole {
		s.soleTrials++
	}
}

// startTrial marks a run as a trial. now is zero for a run that an earlier owner has started. Only sole suspects that are
// started at the same time may join it.
func (s *Service) startTrial(now time.Time, a *attempt) {
	w, t := a.worker, a.task
	if w.trials == 0 && w.reservedFor != t && !t.step.LongRunning {
		s.addTrial(t.soleSuspect())
	}
	if !now.IsZero() {
		s.waitingTrials--
	}
	a.trial, w.trialAt, w.soleTrial, t.trialSince = true, now, t.soleSuspect(), time.Time{}
	w.trials++
}

// trialPatience returns how long a trial of the task waits for a worker without long-running tasks.
func (t *task) trialPatience() time.Duration {
	switch {
	case t.step.LongRunning:
		return longRunningPatience
	case t.soleSuspect():
		return solePatience
	}
	return trialPatience
}

// longRunningSettled reports whether all long-running tasks on the worker have settled, so that they are no suspects of a
// crash.
func (w *worker) longRunningSettled() bool {
	for _, a := range w.attempts {
		if a.longRunning && !a.settled() {
			return false
		}
	}
	return true
}

// reserveForTrial reserves the worker with the fewest runs for a trial, one without long-running tasks if possible.
func (s *Service) reserveForTrial(now time.Time, st *step, t *task) {
	if w := t.reserved; w != nil && w.reservedFor == t && w.usable(now) {
		w.reservedUntil = now.Add(reservationTTL)
		return
	}
	if !s.trialAllowed(t) {
		t.trialSince = time.Time{}
		return
	}
	if t.trialSince.IsZero() {
		t.trialSince = now
	}
	anywhere := now.Sub(t.trialSince) > t.trialPatience()
	var best *worker
	for _, w := range s.candidates {
		suits := w.longRunning+w.bestEffort == 0 || anywhere && w.longRunningSettled()
		if !suits || w.reservedFor != nil || w.trials > 0 || !s.eligible(st, t, w) || !st.room().Fits(w.freeWithoutShort()) {
			continue
		}
		if best == nil || len(w.attempts) < len(best.attempts) {
			best = w
		}
	}
	if best == nil {
		return
	}
	best.reserve(now, t)
	if !t.step.LongRunning {
		s.addTrial(t.soleSuspect())
	}
	s.Log.Info("dispatch: worker reserved for a task that may crash it", "service", s.Name, "job", t.id.Job, "step", t.id.Step, "task", t.id.Index,
		"worker", best.info.ID, "tasks", len(best.attempts), "trials", s.trials, "workers", len(s.candidates))
}
