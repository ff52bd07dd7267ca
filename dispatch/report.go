package dispatch

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Renewed processes the answer to a renewal that was sent at sent.
func (s *Service) Renewed(now, sent time.Time, id string, report cuminstair.WorkerReport, err error) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	w.renewing = false
	switch {
	case w.gone && (err != nil || report.Incarnation <= w.info.Incarnation): // sent before that was known
	case err == nil:
		s.handleReport(now, sent, w, report)
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", id)
	case errors.Is(err, cuminstair.ErrOtherIncarnation):
		s.workerReplaced(now, sent, w)
	default:
		w.callFailed(now)
		w.connRefused = errors.Is(err, cuminstair.ErrConnRefused)
		w.nextRenewal = now.Add(renewalBackoff)
		s.suspectRuns(now, w)
		if w.failedCalls == suspectAfter {
			s.Log.Warn("dispatch: worker does not answer", "service", s.Name, "worker", id, "tasks", len(w.attempts), "error", err)
		}
	}
}

func (s *Service) handleReport(now, sent time.Time, w *worker, r cuminstair.WorkerReport) {
	running := make(map[cuminstair.TaskID]int64, len(r.Running))
	for _, t := range r.Running {
		running[t.Task] = t.Run
	}
	if r.Incarnation != 0 && w.info.Incarnation != 0 && r.Incarnation != w.info.Incarnation {
		if r.Incarnation < w.info.Incarnation {
			s.earlierIncarnation(now, sent, w, r.Incarnation)
			return
		}
		s.workerRestarted(now, w, r.Incarnation, running)
		s.listDue = true
	}
	if r.Clock+leaseMargin < w.clock {
		s.contradicts(w, "its clock went back", w.clock.Milliseconds(), r.Clock.Milliseconds())
		w.nextRenewal = now.Add(renewalBackoff)
		return
	}
	if w.suspect() {
		s.Log.Info("dispatch: worker answers again", "service", s.Name, "worker", w.info.ID)
	}
	if w.suspectsKnown {
		s.withdrawSuspicion(w)
	}
	w.failedCalls, w.connRefused, w.hostTaken, w.lastRenewal, w.answeredAt = 0, false, false, sent, now
	w.failingSince = time.Time{}
	w.clock, w.clockAt = r.Clock, now
	w.unread = false
	if r.AckWithheld {
		s.Log.Info("dispatch: acknowledgement withheld", "service", s.Name, "worker", w.info.ID, "number", w.ackSent, "why", "new connection")
	} else {
		w.acknowledged = max(w.acknowledged, w.ackSent)
	}
	if w.leaseUnsure {
		w.leaseUnsure, w.heldLease = false, r.Clock+s.Bounds.MaxLease
	}
	if s.reportMayBeStale(now, w, r, running) {
		w.askAgain, w.nextRenewal = true, now
		return
	}
	w.askAgain = false
	if !w.synced || w.moreEnds {
		s.changed = true
	}
	w.synced = true
	if w.mayHaveMoved && sent.After(w.cordonedUntil) {
		w.mayHaveMoved = false
		s.changed = true
	}
	w.listsReadAt = sent
	w.moreEnds = !s.handleEnds(now, w, r.Ended) || r.More
	for _, t := range r.Running {
		s.handleRunning(now, w, t)
	}
	s.endTrials(now, w, running)
	if !w.moreEnds {
		s.handleMissing(now, sent, w, running)
	}
	w.nextRenewal = now.Add(s.renewalPause(w, r.LeaseWithheld))
}

// renewalPause returns the pause between an answer of a worker and the next renewal. A lease that was withheld follows soon.
func (s *Service) renewalPause(w *worker, leaseWithheld bool) time.Duration {
	switch {
	case leaseWithheld:
		return renewalGap
	case w.processed > w.stored:
		return unstoredEndsGap
	}
	return max(renewalGap, time.Duration(len(s.workers))*time.Second/maxRenewalRate)
}

// reportMayBeStale reports whether a report has ends or lacks runs, and may be of a time at which a new owner has read the lists of
// the worker: a renewal that waits is answered at an end even if the worker has seen a higher token meanwhile. A new owner
// relies on that this one knows nothing later. The next renewal does not wait, and is refused if there is a new owner.
func (s *Service) reportMayBeStale(now time.Time, w *worker, r cuminstair.WorkerReport, running map[cuminstair.TaskID]int64) bool {
	if !w.renewalWaits || now.Sub(s.aliveAt) < AliveTime {
		return false
	}
	for _, e := range r.Ended {
		if e.Seq > w.processed {
			return true
		}
	}
	for id, a := range w.attempts {
		if running[id] != a.run {
			return true
		}
	}
	return false
}

// handleEnds processes the ends that are new, and reports whether it could process them all: an end is left for a later
// report while its occurrence can't be created, since it would be acknowledged without having been stored.
func (s *Service) handleEnds(now time.Time, w *worker, list []cuminstair.EndedTask) bool {
	for _, e := range list {
		if e.Seq <= w.processed {
			continue
		}
		t := s.taskOfRun(now, e.Task)
		if t == nil && s.notCreatedYet(e.Task) {
			return false
		}
		s.handleEnd(now, w, t, e)
		w.processed = e.Seq
	}
	return true
}

// handleRunning processes an entry of the list of running tasks.
func (s *Service) handleRunning(now time.Time, w *worker, t cuminstair.RunningTask) {
	a, ok := w.attempts[t.Task]
	if !ok || a.run != t.Run {
		a = s.adopt(now, w, t)
		if a == nil {
			return
		}
	}
	if a.answeredAt.IsZero() {
		a.answeredAt = now
	}
	a.seen, a.missingReports = true, 0
	s.confirmRun(a)
	s.keepUnanswered(a)
	if t.Percent > a.percent || a.progressAt.IsZero() {
		a.percent, a.progressAt = t.Percent, now
	}
	a.percent, a.gauge, a.readAt = t.Percent, t.Gauge, now
	if s.obsolete(a) {
		s.orderStop(now, a)
	}
	if a.task == nil {
		return
	}
	a.task.savedBy(t.Run, t.Percent, t.Checkpoint)
	a.task.step.markStarted()
	if len(a.task.crashes) > 0 && a.settled() {
		a.task.crashes = nil
	}
	if a.task.step.LongRunning && t.Percent >= 100 && a.stopSentAt.IsZero() {
		a.task.awaySince, a.task.plannedMove = time.Time{}, false
	}
}

// adopt takes over a run that an earlier owner started or that is otherwise unknown. A run that is not wanted is
// stopped and keeps its room until it has ended.
func (s *Service) adopt(now time.Time, w *worker, t cuminstair.RunningTask) *attempt {
	a := &attempt{id: t.Task, run: t.Run, runTimes: runTimes{sentAt: now, answeredAt: now}, cpuShare: adoptedShare, shareUnsure: true, adopted: true}
	j, x := s.jobs[t.Task.Job], s.taskOfRun(now, t.Task)
	switch {
	case j != nil && t.Task.Step < len(j.spec.Steps):
		// Finished jobs have no tasks, but their remaining runs still take room.
		st := step{JobStep: j.spec.Steps[t.Task.Step]}
		a.room, a.longRunning, a.bestEffort = st.room(), st.LongRunning, st.BestEffort
		a.account, a.charge, a.found = j.account, chargeOf(&st.JobStep), t.Run < s.Token*runsPerToken
	default:
		a.unsized = true
	}
	if x != nil {
		x.run = max(x.run, t.Run)
		if !j.finished() {
			s.learnFromRun(now, x, t.Run)
		}
	}
	if old, ok := w.attempts[t.Task]; ok {
		if old.run > t.Run {
			return nil // an earlier run that is being stopped
		}
		s.conclude(now, old, observation{kind: observedLaterRun, incarnation: w.info.Incarnation, since: w.lastRenewal, until: now})
	}
	if x != nil {
		s.detachUnanswered(now, x, t.Run)
	}
	w.add(a)
	if x != nil && !x.done && !j.finished() && x.attempt == nil {
		a.task, x.attempt, x.adopted = x, a, j.isFirstRun(t.Run)
		x.step.recordRack(w)
		if x.needsTrial() {
			s.startTrial(time.Time{}, a)
		}
		return a
	}
	s.Log.Warn("dispatch: stopping an unexpected run", "service", s.Name, "job", t.Task.Job,
		"step", t.Task.Step, "task", t.Task.Index, "run", t.Run, "worker", w.info.ID)
	if x != nil && x.step.copyable() {
		x.addCopy(a)
	}
	s.orderStop(now, a)
	return a
}

// handleMissing concludes attempts that are missing in the list of running tasks of a report that was requested at sent: at once
// after a confirmed stop, otherwise when they are missing for the second time in a row. Long-running attempts whose start had
// no answer are stopped here.
func (s *Service) handleMissing(now, sent time.Time, w *worker, running map[cuminstair.TaskID]int64) {
	absent := observation{kind: observedAbsence, incarnation: w.info.Incarnation, since: sent, until: now}
	stopped := absent
	stopped.kind = observedStop
	for id, a := range w.attempts {
		if running[id] == a.run || s.conclude(now, a, stopped) {
			continue
		}
		switch {
		case a.refusedByToken():
			s.conclude(now, a, absent)
		case a.longRunning && a.answeredAt.IsZero() && a.callEndedBefore(sent) && a.stopConfirmedAt.IsZero():
			s.stopUnanswered(now, a) // it is not at work now, but may be started late
		case !a.answeredAt.IsZero() && a.answeredAt.Before(sent):
			a.missingReports++
			s.conclude(now, a, absent)
		}
	}
}
