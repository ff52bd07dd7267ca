package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/place"
)

// stepID names a step of an occurrence of a job.
type stepID struct {
	job              string
	occurrence, step int
}

func stepOf(t cuminstair.TaskID) stepID { return stepID{t.Job, t.Occurrence, t.Step} }

// worker is the owner's state of a worker.
type worker struct {
	info          cuminstair.WorkerInfo
	total         place.Room
	used          place.Room // by all attempts, including those being stopped
	attempts      map[cuminstair.TaskID]*attempt
	stepRuns      map[stepID]int // by step: number of attempts
	lateStarts    []*attempt     // released without an answer to their start, which a later incarnation may carry out
	longRunning   int            // number of long-running attempts that are not best-effort
	bestEffort    int            // number of best-effort attempts
	listed        bool           // in the platform's list
	leavingSince  time.Time      // when it was first seen leaving; zero: it is not
	cordonedUntil time.Time      // no new tasks until then: its host is due for maintenance or a move
	mayHaveMoved  bool           // it was reported as idle for a move: no new tasks until it answers after the cordon
	vacateUntil   time.Time      // no new long-running tasks until then: its host is due for maintenance later
	vacating      bool           // whether vacateUntil was in the future at the last decision
	recorded      bool           // the stored worker record has its present identity, so that the next owner will contact it
	synced        bool           // this owner has read the lists of running and ended tasks of the present incarnation
	moreEnds      bool           // its last report lacked ends, so that a missing run may have ended
	gone          bool           // this incarnation has ended

	clock         time.Duration // lower bound of its clock at clockAt
	clockAt       time.Time
	lease         time.Duration // latest lease sent, as a time on its clock
	heldLease     time.Duration // latest lease that it may have got by an order, of any owner, for its earlier incarnation
	leaseSentAt   time.Time     // when the last order with a lease was sent
	longLease     bool          // an earlier owner has seen it restart
	restarted     bool          // it has restarted since this owner learned of it
	leaseUnsure   bool          // heldLease is to be set by its next report
	lateUntil     time.Time     // until when a start that was sent before its restart was known may extend its lease
	processed     int64         // sequence number up to which ends are processed
	stored        int64         // sequence number up to which ends are stored
	acknowledged  int64         // sequence number up to which ends are acknowledged
	ackSent       int64         // the acknowledgement in the renewal in flight, 0 if none
	clockWentBack bool          // an answer had an earlier clock: a new incarnation that has not been read

	renewing     bool      // a renewal is in flight
	renewalWaits bool      // the renewal in flight waits for an end
	askAgain     bool      // the next renewal does not wait; see reportMayBeStale
	lastRenewal  time.Time // when the last successful renewal was sent
	listsReadAt  time.Time // when the last renewal was sent whose lists were read; see reportMayBeStale
	answeredAt   time.Time // when it last answered a call
	knownSince   time.Time // when this owner learned of the present incarnation
	listedAt     time.Time // when its entry was last seen with a new version
	nextRenewal  time.Time // when the next renewal may be sent
	failedCalls  int       // consecutive failed renewals, and starts that did not reach it
	failingSince time.Time // first of the failedCalls; zero: none
	connRefused  bool      // the last failed renewal was a refused connection, so the host is not cut off
	blockedUntil time.Time // no new tasks until then, after refusals or failures
	failedRuns   int       // consecutive failed runs
	candidate    bool      // it might be given tasks at the last decision
	askFirst     bool      // it would be a candidate if it had answered lately; see restartMayBeMissed
	idleSince    time.Time // since when it has no tasks

	reservedFor   *task     // only this task may be placed on it; nil: any
	reservedUntil time.Time // when the reservation ends unless it is renewed

	riskyStart    time.Time // last start of a task whose queue is at risk
	trials        int       // runs whose start may crash the worker, which gets no other tasks meanwhile
	trialAt       time.Time // when the last trial was started
	soleTrial     bool      // the last trial was of sole suspects
	trialFailed   bool      // it stopped answering in a trial
	suspects      []*task   // tasks that may have crashed it
	suspectsKnown bool      // suspects has been set since it last answered

	slowdown float64 // moving mean of actual to expected durations; 0: unknown
}

func newWorker(now time.Time, info cuminstair.WorkerInfo) *worker {
	w := &worker{attempts: map[cuminstair.TaskID]*attempt{}, stepRuns: map[stepID]int{}, knownSince: now}
	w.setInfo(info)
	return w
}

// identity is what the next owner needs to contact the worker.
func (w *worker) identity() workerRecord {
	return workerRecord{ID: w.info.ID, Addr: w.info.Addr, Born: w.info.Incarnation, Host: w.info.Host, Long: w.restarted || w.longLease}
}

// recordAgain makes the worker wait for tasks until its present identity is stored.
func (s *Service) recordAgain(w *worker) {
	w.recorded = false
	s.workersDirty = true
}

func (w *worker) setInfo(info cuminstair.WorkerInfo) {
	w.info = info
	w.total = place.Room{CPU: info.CPU, Memory: info.Memory, Accel: info.Accel}
}

// clockAtLeast returns a lower bound of the worker's clock at now.
func (w *worker) clockAtLeast(now time.Time) time.Duration {
	since := now.Sub(w.clockAt)
	return w.clock + since - time.Duration(maxClockSlowdown*float64(since))
}

// leaseExpired reports whether all runs on the worker under this owner's token have certainly ended. A worker that has
// restarted and has not been read gets no leases, and has the longest one at most.
func (s *Service) leaseExpired(w *worker, now time.Time) bool {
	if w.failingSince.Before(w.lateUntil) && now.Sub(w.failingSince) <= s.longestLease() {
		return false
	}
	if w.restarted && !w.synced {
		return now.Sub(w.knownSince) > s.longestLease()
	}
	return w.synced && w.clockAtLeast(now) > max(w.lease, w.heldLease)+leaseMargin
}

// longestLease is how long a worker may run tasks after an order, whatever its lease, on the slowest clock.
func (s *Service) longestLease() time.Duration {
	longest := s.Bounds.MaxLease
	return longest + time.Duration(maxClockSlowdown*float64(longest)) + leaseMargin
}

// nextLease returns the lease to send now. A worker that does not answer keeps its present lease, so that its tasks end
// for certain. No lease outlasts the time for which the owner may give orders, and none is longer than Lease on the
// slowest clock that the worker may have, so that the next owner knows when all leases have run out.
func (s *Service) nextLease(now time.Time, w *worker) time.Duration {
	if w.failedCalls > 0 {
		return w.lease
	}
	length := Lease
	if s.Grace > 0 {
		length = max(0, min(Lease, s.confirmedAt.Add(s.Grace).Sub(now)))
	}
	w.lease, w.leaseSentAt = max(w.lease, w.clockAtLeast(now)+length), now
	return w.lease
}

// callFailed counts a call that did not reach the worker or got no answer.
func (w *worker) callFailed(now time.Time) {
	if w.failedCalls == 0 {
		w.failingSince = now
	}
	w.failedCalls++
}

// idle reports whether the worker has no runs, and no ends that only it and this owner know of.
func (w *worker) idle() bool {
	left := w.gone || !w.listed && w.suspect()
	return len(w.attempts) == 0 && w.processed == w.stored && (left || !w.moreEnds)
}

func (w *worker) suspect() bool { return w.failedCalls >= suspectAfter }

// usable reports whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.gone && w.synced && !w.moreEnds && w.recorded && w.leavingSince.IsZero() && !w.suspect() &&
		now.After(w.blockedUntil) && now.After(w.cordonedUntil) && !w.mayHaveMoved
}

// restartMayBeMissed reports whether a worker may have restarted lately without this owner knowing. It matters only if other
// daemons may take this one for dead: a new owner may have found the host of the worker down and have started its tasks
// elsewhere, and the worker, which has seen no token since, would carry out a start of this owner.
func (s *Service) restartMayBeMissed(now time.Time, w *worker) bool {
	return s.Grace > 0 && now.Sub(s.aliveAt) >= AliveTime && now.Sub(w.lastRenewal) > silentTimeout
}

func (w *worker) free() place.Room { return w.total.Plus(w.used, -1) }

// freeCores returns the free cores, limited by the free share of memory.
func (w *worker) freeCores() float64 {
	free := w.free()
	if w.total.Memory <= 0 {
		return float64(free.CPU) / 1000
	}
	return min(float64(free.CPU), float64(free.Memory)*float64(w.total.CPU)/float64(w.total.Memory)) / 1000
}

func (w *worker) add(a *attempt) {
	a.worker = w
	w.attempts[a.id] = a
	w.stepRuns[stepOf(a.id)]++
	w.adjustUsage(a, 1)
}

// adjustUsage adds n times the room of an attempt to the usage of the worker.
func (w *worker) adjustUsage(a *attempt, n int) {
	w.used = w.used.Plus(a.room, n)
	switch {
	case a.bestEffort:
		w.bestEffort += n
	case a.longRunning:
		w.longRunning += n
	}
}

func (w *worker) remove(now time.Time, a *attempt) {
	if w.attempts[a.id] != a {
		return
	}
	delete(w.attempts, a.id)
	if id := stepOf(a.id); w.stepRuns[id] > 1 {
		w.stepRuns[id]--
	} else {
		delete(w.stepRuns, id)
	}
	w.adjustUsage(a, -1)
	if a.trial && !a.passed {
		w.trials--
	}
	w.idleSince = now
}

// SetWorkers updates the workers from the platform's list for this service.
func (s *Service) SetWorkers(now time.Time, list []cuminstair.WorkerInfo) {
	inList := map[string]bool{}
	for _, info := range list {
		inList[info.ID] = true
		w, ok := s.workers[info.ID]
		if !ok {
			w = newWorker(now, info)
			if !s.now.IsZero() {
				w.listedAt = now // it is new; at a takeover the age of the entry is not known
			}
			s.workers[info.ID] = w
			s.workersDirty = true
			s.changed = true
		}
		s.updateWorker(now, w, info)
	}
	cores := 0.0
	for id, w := range s.workers {
		if inList[id] {
			cores += float64(w.total.CPU) / 1000
			if w.total.CPU > s.hostCPU {
				s.hostCPU, s.hostMemory = w.total.CPU, w.total.Memory
			}
			continue
		}
		w.listed = false
		w.dropLateStarts(now)
		if w.idle() && len(w.lateStarts) == 0 && s.inheritedResolved() {
			s.settleSuspects(now, w)
			delete(s.workers, id)
			s.workersDirty = true
		}
	}
	s.maxCores = max(s.maxCores, cores)
}

func (s *Service) updateWorker(now time.Time, w *worker, info cuminstair.WorkerInfo) {
	switch {
	case info.Version < w.info.Version:
		return // the entry is from a stale read
	case info.Incarnation < w.info.Incarnation && info.Incarnation != 0:
		return // the entry is of an earlier incarnation
	case info.Incarnation > w.info.Incarnation && w.info.Incarnation != 0:
		s.workerRestarted(now, w, info.Incarnation, nil)
	case info.Incarnation > w.info.Incarnation:
		w.info.Incarnation, w.knownSince = info.Incarnation, now
	}
	if w.gone && info.Incarnation == w.info.Incarnation {
		return
	}
	before := w.identity()
	if info.Version > w.info.Version && w.info.Version > 0 {
		w.listedAt = now
	}
	w.setInfo(info)
	if w.identity() != before {
		s.recordAgain(w)
	}
	w.listed = true
	switch {
	case info.State != cuminstair.WorkerLeaving:
		w.leavingSince = time.Time{}
	case w.leavingSince.IsZero():
		w.leavingSince = now
		s.Log.Info("dispatch: worker is leaving", "service", s.Name, "worker", w.info.ID, "tasks", len(w.attempts), "version", info.Version)
	}
}

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
	w.info.Incarnation, w.knownSince = incarnation, now
	w.processed, w.stored, w.acknowledged, w.ackSent, w.failedCalls, w.failedRuns, w.slowdown = 0, 0, 0, 0, 0, 0, 0
	w.synced, w.moreEnds, w.gone, w.clock, w.lease, w.failingSince = false, false, false, 0, 0, time.Time{}
	w.leaseUnsure = len(kept) > 0 || len(w.lateStarts) > 0 || w.leaseSentAt.After(w.lastRenewal) || s.earlierOwnerMayReach(w)
	w.heldLease, w.restarted = 0, true
	s.recordAgain(w)
	w.blockedUntil, w.nextRenewal = time.Time{}, now
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
		s.workerAnswers(w)
	}
	w.failedCalls, w.connRefused, w.lastRenewal, w.answeredAt = 0, false, sent, now
	w.failingSince = time.Time{}
	w.clock, w.clockAt = r.Clock, now
	w.clockWentBack = false
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
	w.nextRenewal = now.Add(max(renewalGap, time.Duration(len(s.workers))*time.Second/maxRenewalRate))
	if w.processed > w.stored {
		w.nextRenewal = now.Add(unstoredEndsGap)
	}
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
	a.percent, a.gauge = t.Percent, t.Gauge
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
	a := &attempt{id: t.Task, run: t.Run, runTimes: runTimes{sentAt: now, answeredAt: now}, cpuShare: 100, adopted: true}
	j, x := s.jobs[t.Task.Job], s.taskOfRun(now, t.Task)
	switch {
	case j != nil && t.Task.Step < len(j.spec.Steps):
		// Finished jobs have no tasks, but their remaining runs still take room.
		st := step{JobStep: j.spec.Steps[t.Task.Step]}
		a.room, a.longRunning, a.bestEffort = st.room(), st.LongRunning, st.BestEffort
	default:
		a.room = w.free() // its size is unknown: the worker gets no tasks until it has ended
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
	w.add(a)
	if x != nil && !x.done && !j.finished() && x.attempt == nil {
		a.task, x.attempt, x.adopted = x, a, j.isFirstRun(t.Run)
		if x.needsTrial() {
			s.startTrial(time.Time{}, a)
		}
		return a
	}
	s.Log.Warn("dispatch: stopping an unexpected run", "service", s.Name, "job", t.Task.Job,
		"step", t.Task.Step, "task", t.Task.Index, "run", t.Run, "worker", w.info.ID)
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
		case a.longRunning && a.answeredAt.IsZero() && a.callEndedBefore(sent) && a.stopConfirmedAt.IsZero():
			s.stopUnanswered(now, a) // it is not at work now, but may be started late
		case !a.answeredAt.IsZero() && a.answeredAt.Before(sent):
			a.missingReports++
			s.conclude(now, a, absent)
		}
	}
}
