package dispatch

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// OrderKind is the kind of an order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderRenew  // renews the lease, reads the lists of running and ended tasks, and acknowledges ends
	OrderPace   // sets the CPU share of a best-effort task
	OrderAdvise // a call to the adviser, not to a worker
)

// Order is a call to a worker or the adviser. Its answer is passed to Started, Stopped, Renewed, Paced or Advised.
type Order struct {
	Kind    OrderKind
	Worker  cuminstair.WorkerInfo
	Task    cuminstair.TaskID
	Run     int64
	Token   int64
	Start   cuminstair.StartOrder // OrderStart
	Lease   time.Duration         // OrderRenew: end of the lease, on the clock of the worker
	Seen    int64                 // OrderRenew: ends up to this sequence number are acknowledged
	Wait    time.Duration         // OrderRenew: how long the worker may delay its answer
	Percent int                   // OrderPace: CPU share
	Advise  Advise                // OrderAdvise

	attempt *attempt
}

// scanInterval is the time between two passes over all runs, which look for runs to stop or pace. The time limits that
// these passes check are several times as long.
const scanInterval = 60 * time.Millisecond

// refusalBlock is how long a worker gets no new tasks after it refused an order.
const refusalBlock = 300 * time.Millisecond

// Decide returns the orders to send now. confirmed is when the daemon last read from the store that it is the owner; an
// owner that has not been confirmed for Grace gives no orders, since another daemon may have taken over.
func (s *Service) Decide(now, confirmed time.Time) []Order {
	if s.deposed {
		return nil
	}
	s.outage.observe(now, s.listReadAt)
	if !s.now.IsZero() && now.Sub(s.now) > pauseLimit {
		s.limitShares.Expire() // the limits may have been cut while this daemon stood still
	}
	s.now, s.confirmedAt = now, confirmed
	s.answerUnknownCancels(now)
	s.answerClosings()
	s.forgetDenials(now)
	s.expireLeases(now, confirmed)
	s.startScheduled(now)
	scan := now.Sub(s.lastScan) >= scanInterval
	if scan {
		s.lastScan = now
		s.checkRuns(now)
		s.detectCutOffs(now)
		s.detachUnreachable(now)
		s.changed = s.changed || s.waitingTrials > 0 // they wait for a time too
	}
	s.listCandidates(now)
	s.unplacedMoves = 0
	s.changed = s.changed || s.spaced || s.rackWaitOver(now)
	s.evacuate(now)
	confirmedInTime := s.Grace == 0 || now.Sub(confirmed) < s.Grace
	if !s.stopping && confirmedInTime {
		s.placeAll(now)
		if scan {
			s.copyLate(now)
		}
	}
	if scan && !s.stopping {
		s.paceAll(now)
	}
	s.orderRenewals(now)
	if !confirmedInTime {
		s.withdrawOrders()
	}
	// Stops may also have been ordered since the last call.
	orders := s.orders
	s.orders = nil
	return orders
}

// withdrawOrders undoes the pending orders, which are not sent. There are no starts among them.
func (s *Service) withdrawOrders() {
	for _, o := range s.orders {
		switch o.Kind {
		case OrderStop:
			o.attempt.stopSentAt = time.Time{}
		case OrderRenew:
			if w, ok := s.workers[o.Worker.ID]; ok {
				w.renewing = false
			}
		case OrderAdvise:
			o.Advise.step.advice.pending = false
			s.adviceCallsOpen--
		default:
		}
	}
	s.orders = nil
	s.changed = true
}

// expireLeases gives up the runs on workers that could not be reached until their lease ran out. Another owner could
// have extended the lease, so the store must also have confirmed this owner after the lease ran out.
func (s *Service) expireLeases(now, confirmed time.Time) {
	at := confirmed
	if now.Before(at) {
		at = now
	}
	for _, w := range s.workers {
		if len(w.attempts) == 0 || !w.suspect() || !s.leaseExpired(w, at) {
			continue
		}
		o := observation{kind: observedLapse, incarnation: w.info.Incarnation, since: at, until: now, longestLease: s.longestLease()}
		for _, a := range w.attempts {
			s.conclude(now, a, o)
		}
	}
}

// checkRuns stops runs whose start was not answered, repeats stops that are unconfirmed or have had no effect, and
// stops runs that make no progress. It lists the runs of which a second copy may pay.
func (s *Service) checkRuns(now time.Time) {
	clear(s.lateRuns)
	s.lateRuns = s.lateRuns[:0]
	for _, w := range s.workers {
		for _, a := range w.attempts {
			switch {
			case a.longRunning && a.answeredAt.IsZero() && (a.stopSentAt.IsZero() || a.stopUnanswered):
				// handleMissing stops it: it may be at work by now.
			case !a.stopSentAt.IsZero():
				if a.stopConfirmedAt.IsZero() || now.Sub(a.stopConfirmedAt) > stopRetry+s.Bounds.StopGrace {
					s.orderStop(now, a)
				}
			case a.answeredAt.IsZero():
				if now.Sub(a.sentAt) > unansweredTimeout {
					s.stopUnanswered(now, a)
				}
			case s.stuck(now, a):
				s.Log.Info("dispatch: stopping a task that makes no progress", "service", s.Name, "job", a.id.Job, "step", a.id.Step,
					"task", a.id.Index, "run", a.run, "worker", w.info.ID, "percent", a.percent)
				w.blockedUntil = now.Add(minBlock * 4)
				a.task.stuckStops++
				s.orderStop(now, a)
			default:
				s.listLate(now, a)
			}
		}
	}
}

// stopUnanswered stops a run whose start had no answer, or prevents that it starts later.
func (s *Service) stopUnanswered(now time.Time, a *attempt) {
	if !a.stopUnanswered {
		s.Log.Info("dispatch: stopping a task whose start was not answered", "service", s.Name, "job", a.id.Job, "step", a.id.Step,
			"task", a.id.Index, "run", a.run, "worker", a.worker.info.ID)
	}
	a.stopUnanswered = true
	s.orderStop(now, a)
}

// keepUnanswered withdraws the stop of a run whose start had no answer, once its worker lists it, unless the stop has been
// confirmed or the run is not needed any more. The start was carried out late, and the run may be at work by now.
func (s *Service) keepUnanswered(a *attempt) {
	if !a.stopUnanswered || !a.stopConfirmedAt.IsZero() || a.task == nil || a.task.done || a.task.step.occ.job.finished() {
		return
	}
	s.Log.Info("dispatch: keeping a task whose start was not answered", "service", s.Name, "job", a.id.Job, "step", a.id.Step,
		"task", a.id.Index, "run", a.run, "worker", a.worker.info.ID)
	a.stopUnanswered, a.stopSentAt = false, time.Time{}
}

// Limits after which a task counts as stuck.
const (
	// stuckFactor times its expected duration is how long a short task must have run.
	stuckFactor = 2.5
	// minStallTime is the shortest time without progress.
	minStallTime = 1500 * time.Millisecond
	// maxStartupTime is how long a long-running task may take to start up.
	maxStartupTime = 4 * time.Second
	// stallShare times stuckFactor is the multiple of a short task's expected duration for which its progress must not
	// have risen.
	stallShare = 0.3
	// stuckDoublings bounds how often the limits are doubled.
	stuckDoublings = 5
)

// stuck reports whether a task makes no progress by lists of its worker that are current. A report that may be stale is left
// unread, and shows no progress.
func (s *Service) stuck(now time.Time, a *attempt) bool {
	if a.task == nil || a.progressAt.IsZero() || a.worker.suspect() || now.Sub(a.worker.listsReadAt) > renewInterval+maxRenewalWait {
		return false
	}
	if a.task.step.LongRunning {
		return a.percent < 100 && now.Sub(a.answeredAt) > maxStartupTime
	}
	// A task that was stopped as stuck before may just be long, so the limits double each time.
	times := time.Duration(1) << min(a.task.stuckStops, stuckDoublings)
	stallLimit := times * max(minStallTime, time.Duration(stuckFactor*stallShare*float64(a.expected)))
	ageLimit := times * time.Duration(stuckFactor*float64(a.expected))
	return now.Sub(a.progressAt) > stallLimit && now.Sub(a.answeredAt) > ageLimit
}

// orderRenewals orders the renewals that are due: they extend leases, read the workers' lists and acknowledge ends.
func (s *Service) orderRenewals(now time.Time) {
	mayAsk := 0 // number of idle workers that may be asked whether they have restarted
	if len(s.ready) > 0 || s.unplacedMoves > 0 {
		mayAsk = maxAsked
	}
	for _, w := range s.workers {
		if w.gone || w.renewing || now.Before(w.nextRenewal) || w.info.Addr == "" {
			continue
		}
		switch {
		case !w.synced, w.unread, w.moreEnds, w.mayHaveMoved && w.listed && now.After(w.cordonedUntil), len(w.attempts) > 0, w.stored > w.acknowledged:
		case w.failedCalls > 0 && w.listed: // retry until the worker answers or is no longer listed
		case w.listed && now.Sub(w.clockAt) > maxClockAge:
		case w.askFirst && mayAsk > 0:
			mayAsk--
		default:
			continue
		}
		w.renewing = true
		o := Order{Kind: OrderRenew, Worker: w.info, Token: s.Token, Seen: w.toAcknowledge()}
		if w.synced && len(w.attempts) > 0 {
			if w.failedCalls == 0 {
				o.Lease = s.nextLease(now, w) // a worker that does not answer keeps the lease that it has
			}
			o.Wait = renewalWait(w)
		}
		w.ackSent = o.Seen
		w.renewalWaits = o.Wait > 0
		s.orders = append(s.orders, o)
	}
}

// toAcknowledge returns the sequence number up to which the worker may forget ends, 0 if it has been told already. A
// needless acknowledgement could reach a new incarnation of the worker, which would forget ends that no owner has read.
func (w *worker) toAcknowledge() int64 {
	if w.stored == w.acknowledged || w.unread {
		return 0
	}
	return w.stored
}

// renewalWait returns how long a worker may delay its answer to a renewal while it waits for a task to end.
func renewalWait(w *worker) time.Duration {
	if w.askAgain {
		return 0
	}
	if w.processed > w.stored {
		return 0 // the worker would answer at once with the ends that it has already reported
	}
	wait := maxRenewalWait
	for _, a := range w.attempts {
		switch {
		case !a.stopConfirmedAt.IsZero():
			return 0
		case a.trial && !a.passed:
			wait = startupRenewalWait
		case a.longRunning && a.percent < 100 && (a.stopSentAt.IsZero() || a.stopUnanswered):
			wait = startupRenewalWait // the next planned move in the step waits until this task has started up
		}
	}
	return wait
}

// Started processes the answer to a start order.
func (s *Service) Started(now time.Time, o Order, clock time.Duration, err error) {
	a := o.attempt
	w := a.worker
	if w.attempts[a.id] != a {
		return
	}
	switch {
	case err == nil:
		if clock > 0 && clock+leaseMargin < w.clockAtLeast(a.sentAt) {
			w.unread, w.nextRenewal = true, now
			// A later incarnation has cut the lease of the start to the longest one, from its own clock.
			w.heldLease = max(w.heldLease, w.clockAtLeast(now)+s.Bounds.MaxLease)
		}
		a.answeredAt, w.answeredAt = now, now
		if a.progressAt.IsZero() {
			a.progressAt = now
		}
		if w.attempts[a.id] == a && a.task != nil {
			a.task.step.markStarted()
			s.countLocality(a)
		}
		return
	case errors.Is(err, cuminstair.ErrStaleRun):
		a.unansweredAt, a.refusedAsOld = now, true
		// A run number is used once, so that the run may have been there. The lists of the worker decide.
		s.Log.Info("dispatch: start was refused as an old run", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
			"run", a.run, "worker", w.info.ID)
		return
	case errors.Is(err, cuminstair.ErrUncertain):
		a.unansweredAt = now
		if o.Worker.Incarnation != w.info.Incarnation {
			w.expectLateStart(now, a)
		}
		s.recordUnanswered(a)
		s.Log.Info("dispatch: start was not answered", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
			"run", a.run, "worker", w.info.ID, "error", err)
		return
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", w.info.ID)
		return
	case errors.Is(err, cuminstair.ErrOtherIncarnation):
		s.startRefused(now, a)
		s.workerReplaced(now, a.sentAt, w)
		return
	}
	s.blockAfterRefusal(now, a, err)
	s.Log.Info("dispatch: start was refused", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", w.info.ID, "error", err)
	s.startRefused(now, a)
	if w.failedCalls > 0 {
		s.suspectRuns(now, w)
	}
}

// blockAfterRefusal keeps other tasks away from a worker that did not carry a start out, as long as the reason may last.
func (s *Service) blockAfterRefusal(now time.Time, a *attempt, err error) {
	w := a.worker
	switch {
	case errors.Is(err, cuminstair.ErrRestarted):
		w.blockedUntil, w.nextRenewal, w.unread = now.Add(refusalBlock), now, true
	case errors.Is(err, cuminstair.ErrNotDone):
		w.callFailed(now)
		w.blockedUntil = now.Add(refusalBlock)
	case errors.Is(err, cuminstair.ErrNoRoom):
		w.blockedUntil = now.Add(refusalBlock)
	case errors.Is(err, cuminstair.ErrLeaseExpired):
		// The reading of the worker's clock is too old, for instance after a pause of this daemon.
		w.blockedUntil, w.nextRenewal = now.Add(refusalBlock), now
	case errors.Is(err, cuminstair.ErrMalformed):
		w.blockedUntil = now.Add(minBlock)
	case errors.Is(err, cuminstair.ErrTicketInvalid) && a.task != nil:
		delete(a.task.step.advice.tickets, w.info.ID)
		delete(a.task.step.advice.queried, w.info.ID)
	}
}

// startRefused concludes a run whose start was answered without being carried out.
func (s *Service) startRefused(now time.Time, a *attempt) {
	s.conclude(now, a, observation{kind: observedRefusal, incarnation: a.worker.info.Incarnation, since: a.sentAt, until: now})
	s.withdrawRun(a)
}

// Stopped processes the answer to a stop order.
func (s *Service) Stopped(now time.Time, o Order, err error) {
	a := o.attempt
	switch {
	case err == nil && o.Worker.Incarnation != a.worker.info.Incarnation: // it may be of the earlier incarnation
	case err == nil:
		a.stopConfirmedAt, a.worker.answeredAt = now, now
		a.worker.nextRenewal = now
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", o.Worker.ID)
	case errors.Is(err, cuminstair.ErrOtherIncarnation):
		s.workerReplaced(now, a.stopSentAt, a.worker)
	default:
	}
}
