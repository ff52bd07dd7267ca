package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cuminstair.org/cuminstair/straggler"
)

// maxCopies bounds the second copies that are started of a task, for instance because workers refuse them.
const maxCopies = 2

// maxReadAge is the longest time since the worker of a run has listed it in normal operation: a renewal waits for maxRenewalWait
// unless a run ends, and the next one follows.
const maxReadAge = maxRenewalWait + 200*time.Millisecond

// copyPair is a slow run of a task and its second copy, as long as both may run.
type copyPair struct {
	first, second *attempt
	startedAt     time.Time // of the second copy
	charged       float64   // core-seconds charged to the budget of extra work
	winner        *attempt  // run that has completed the task; nil: none yet
}

// lateRun is a run that lasts longer than usual.
type lateRun struct {
	attempt  *attempt
	run      straggler.Run
	decision straggler.Decision
}

// listLate lists a run if a second copy of it may pay. checkRuns calls it for each run that needs nothing else.
func (s *Service) listLate(now time.Time, a *attempt) {
	if !s.mayCopy(a) {
		return
	}
	if r := s.stragglerRun(now, a); s.stragglers.Late(&r) {
		s.lateRuns = append(s.lateRuns, lateRun{attempt: a, run: r})
	}
}

// mayCopy reports whether a second copy of a run may be started at all. A task of an inherited job may have another run that
// an earlier owner started, one more failure of either copy must not end the job, and the run
// may have ended since its worker has last listed it, for instance while this daemon stood still.
func (s *Service) mayCopy(a *attempt) bool {
	t := a.task
	if t == nil || !t.step.copyable() || t.done || t.copied >= maxCopies || t.pair != nil || len(t.copies) > 0 {
		return false
	}
	j := t.step.occ.job
	return !j.finished() && a.stopSentAt.IsZero() && !a.answeredAt.IsZero() && !a.worker.suspect() && s.now.Sub(a.readAt) <= maxReadAge && len(t.crashes) == 0 &&
		t.failures()+1 < j.queue.Attempts && (!j.inherited || s.settled)
}

// stragglerRun returns a run as the model sees it. The age of a run that was found after a takeover is a lower bound.
func (s *Service) stragglerRun(now time.Time, a *attempt) straggler.Run {
	st := a.task.step
	r := straggler.Run{
		Image: st.imageName(), Age: now.Sub(a.sentAt), Expected: a.expected, Percent: a.percent, ReadAt: a.readAt.Sub(a.sentAt),
		Cores: s.taskCores(&st.JobStep), Slack: s.dueOf(st.occ).Add(-st.pathAfter).Sub(now), Peers: st.peers,
	}
	if r.Expected <= 0 {
		r.Expected = s.expectedDuration(st.occ.job, st.index)
	}
	return r
}

// imageName names what the durations of a step are learned by.
func (st *step) imageName() string {
	if st.Image == "" {
		return st.occ.job.queue.Name
	}
	return st.Image
}

// copyLate starts second copies of the late runs for which that pays, those with the largest gain first. It runs after the
// placement, so that a copy gets only room that waiting tasks have left.
func (s *Service) copyLate(now time.Time) {
	if len(s.lateRuns) == 0 {
		return
	}
	pool := straggler.Pool{Free: s.freeShare(), Waiting: s.waitingInTime()}
	for i := range s.lateRuns {
		s.lateRuns[i].decision = s.stragglers.Decide(now, &s.lateRuns[i].run, pool)
	}
	slices.SortFunc(s.lateRuns, func(a, b lateRun) int { return cmp.Compare(b.decision.Gain, a.decision.Gain) })
	for i := range s.lateRuns {
		if l := &s.lateRuns[i]; l.decision.Copy && s.mayCopy(l.attempt) {
			l.decision = s.stragglers.Decide(now, &l.run, pool) // the copies before it have used the budget
			s.startCopy(now, l, pool.Free)
			pool.Free = s.freeShare()
		}
	}
}

// startCopy starts a second copy on another worker if one has room. The first run is detached, so that the task is done when
// either has ended.
func (s *Service) startCopy(now time.Time, l *lateRun, free float64) {
	a := l.attempt
	t := a.task
	if !l.decision.Copy || !t.step.room().Fits(s.maxFree) || !s.copyWithinLimit(t) {
		return
	}
	w := s.choose(t.step, t, s.spreadOf(t.step))
	if w == nil {
		return
	}
	t.detach(a)
	s.start(now, t, w, max(t.run, s.Token*runsPerToken)+1)
	t.copied++
	t.pair = &copyPair{first: a, second: t.attempt, startedAt: now, charged: l.decision.Cost}
	s.stragglers.Charge(now, l.decision.Cost)
	s.counts.Copies++
	s.Log.Info("dispatch: starting a second copy of a slow task", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", a.worker.info.ID, "copy", t.attempt.run, "on", w.info.ID, "age", roundText(l.run.Age),
		"expected", roundText(l.run.Expected), "percent", l.run.Percent, "remaining", roundText(l.decision.Remaining),
		"fresh", roundText(l.decision.Fresh), "slack", roundText(l.run.Slack), "gain", l.decision.Gain, "cost", l.decision.Cost,
		"free", free, "budget left", s.stragglers.Left(now))
}

func roundText(d time.Duration) string { return d.Round(time.Millisecond).String() }

// waitingInTime reports whether tasks that can be in time wait, or long-running ones.
func (s *Service) waitingInTime() bool {
	for _, st := range s.ready {
		if st.rank == rankInTime && !st.BestEffort && hasWaitingTask(st) {
			return true
		}
	}
	return false
}

// freeShare returns the share of the listed workers' cores that is free on workers that may be given tasks.
func (s *Service) freeShare() float64 {
	free, total := 0.0, 0.0
	for _, w := range s.workers {
		if w.listed && !w.gone {
			total += float64(w.total.CPU) / 1000
		}
	}
	for _, w := range s.candidates {
		free += w.freeCores()
	}
	if total <= 0 {
		return 0
	}
	return free / total
}

// learnDuration learns from a run of a task that allows copies, which has ended done.
func (s *Service) learnDuration(now time.Time, t *task, a *attempt) {
	if !t.step.copyable() || a.resumed || a.adopted || a.answeredAt.IsZero() || a.expected <= 0 {
		return
	}
	s.stragglers.Observe(t.step.imageName(), &t.step.peers, now.Sub(a.sentAt).Seconds()/a.expected.Seconds())
}

// copyDone records that a task with two copies was completed by the run a, or by none of them. If the first run is beaten, its
// worker counts as slow as if the run had ended now, since no end of it follows that would be compared.
func (s *Service) copyDone(now time.Time, t *task, a *attempt) {
	p := t.pair
	if p == nil {
		return
	}
	p.winner = a
	s.countCopy(t, p, a == p.second)
	if first := p.first; a == p.second && !first.resumed && !first.adopted && first.expected > 0 {
		ratio := now.Sub(first.sentAt).Seconds() / first.expected.Seconds()
		s.stragglers.ObserveStopped(t.step.imageName(), &t.step.peers, ratio)
		if ratio > first.worker.slowdown {
			first.worker.recordSlowdown(ratio)
		}
	}
}

// countCopy counts and logs which copy has won.
func (s *Service) countCopy(t *task, p *copyPair, won bool) {
	if won {
		s.counts.CopiesWon++
	} else {
		s.counts.CopiesWasted++
	}
	s.Log.Debug("dispatch: second copy of a slow task is settled", "service", s.Name, "job", t.id.Job, "step", t.id.Step, "task", t.id.Index,
		"run", p.first.run, "worker", p.first.worker.info.ID, "copy", p.second.run, "on", p.second.worker.info.ID, "won", won)
}

// copyReleased counts the time in which two copies of a task ran once the one that has not completed it is released. If that
// is the first one and the task is not done, the second one has replaced it.
func (s *Service) copyReleased(now time.Time, t *task, a *attempt) {
	p := t.pair
	if p == nil || a == p.winner || a != p.first && a != p.second {
		return
	}
	t.pair = nil
	work := s.taskCores(&t.step.JobStep) * max(0, now.Sub(p.startedAt).Seconds())
	s.counts.WastedCoreSeconds += work
	s.stragglers.Charge(now, work-p.charged)
	if !t.done {
		s.countCopy(t, p, a == p.first && !t.step.occ.job.finished())
	}
}
