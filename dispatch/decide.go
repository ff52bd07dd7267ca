package dispatch

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// OrderKind tells what a worker is asked to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderHold
	OrderPace
	OrderAdvise // asks the adviser, not a worker
)

// Order is a call to a worker. Its answer goes back to Started, Stopped or Held.
type Order struct {
	Kind    OrderKind
	Worker  cuminstair.WorkerInfo
	Task    cuminstair.TaskID
	Run     int64
	Token   int64
	Start   cuminstair.StartOrder // OrderStart
	Lease   time.Duration         // OrderHold
	Seen    int64                 // OrderHold
	Wait    time.Duration         // OrderHold
	Percent int                   // OrderPace
	Advise  Advise                // OrderAdvise

	attempt *attempt
}

// lookEvery is the pause between two passes over all runs for those that have to be settled or paced. The times that
// they are compared with are several times as long.
const lookEvery = 60 * time.Millisecond

// blockAfterRefusal is how long a worker that turned an order away gets no new tasks.
const blockAfterRefusal = 300 * time.Millisecond

// Decide returns the orders that are due. confirmed is when the daemon last saw in the store that it is the owner; an
// owner that has not been confirmed for Grace gives no orders, since another may have taken over.
func (s *Service) Decide(now, confirmed time.Time) []Order {
	if s.deposed {
		return nil
	}
	s.now, s.confirmed = now, confirmed
	s.expire(now, confirmed)
	for i := 0; i < len(s.timed); i++ {
		j := s.timed[i]
		s.occur(now, j)
		if j.next >= j.occurrences() || j.over() {
			s.timed = append(s.timed[:i], s.timed[i+1:]...)
			i--
		}
	}
	look := now.Sub(s.looked) >= lookEvery
	if look {
		s.looked = now
		s.settle(now)
		s.watchCentres(now)
		s.copyAll(now)
	}
	s.lookAround(now)
	s.movers = 0
	s.evacuate(now)
	if !s.stopping {
		s.placeAll(now)
	}
	if look && !s.stopping {
		s.paceAll(now)
	}
	s.holdAll(now)
	if s.Grace > 0 && now.Sub(confirmed) >= s.Grace {
		s.suspendOrders(now)
	}
	// Stops are also ordered between two calls.
	orders := s.orders
	s.orders = nil
	return orders
}

// suspendOrders takes back what Decide wanted to order.
func (s *Service) suspendOrders(now time.Time) {
	for _, o := range s.orders {
		switch o.Kind {
		case OrderStart:
			o.attempt.worker.remove(now, o.attempt)
			if t := o.attempt.task; t != nil && t.at == o.attempt {
				t.at = nil
				s.relist(t.step)
			}
		case OrderStop:
			o.attempt.stop = time.Time{}
		case OrderHold:
			if w, ok := s.workers[o.Worker.ID]; ok {
				w.holding = false
			}
		case OrderAdvise:
			o.Advise.step.advice.asking = false
			s.advising--
		default:
		}
	}
	s.orders = nil
	s.changed = true
}

// expire ends what ran on workers that have not been reached until all leases ran out. Another owner could have reached
// them and extended the leases, so that the store has to name this owner after that.
func (s *Service) expire(now, confirmed time.Time) {
	for _, w := range s.workers {
		if len(w.attempts) == 0 || !w.suspect() || !w.lapsed(now) || !w.lapsed(confirmed) {
			continue
		}
		for _, a := range w.attempts {
			s.lost(now, a, "the worker did not answer until its lease ran out")
		}
	}
}

// settle stops runs whose orders had no answer, repeats stops, and stops runs that stand still.
func (s *Service) settle(now time.Time) {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			switch {
			case !a.stop.IsZero():
				if a.barred.IsZero() || now.Sub(a.barred) > stopAgain+s.Bounds.StopGrace {
					s.stop(now, a)
				}
			case a.answered.IsZero():
				if now.Sub(a.sent) > unsureAfter {
					s.Log.Info("dispatch: order without an answer is settled by a stop", "service", s.Name, "job", a.id.Job,
						"step", a.id.Step, "task", a.id.Index, "run", a.run, "worker", w.info.ID)
					s.stop(now, a)
				}
			case s.stuck(now, a):
				s.Log.Info("dispatch: task stands still", "service", s.Name, "job", a.id.Job, "step", a.id.Step,
					"task", a.id.Index, "run", a.run, "worker", w.info.ID, "percent", a.percent)
				w.blocked = now.Add(firstBlock * 4)
				a.task.stuck++
				s.stop(now, a)
			}
		}
	}
}

// Times after which a task counts as standing still.
const (
	stuckFactor  = 2.5
	stuckAtLeast = 1500 * time.Millisecond
	stuckStart   = 4 * time.Second
	// stuckShare is the part of that time in which its progress must not have risen.
	stuckShare     = 0.3
	stuckDoublings = 5
)

// stuck tells whether a task makes no progress.
func (s *Service) stuck(now time.Time, a *attempt) bool {
	if a.task == nil || a.moved.IsZero() || a.worker.suspect() || now.Sub(a.worker.held) > renewEvery+holdWait {
		return false
	}
	if a.task.step.LongRunning {
		return a.percent < 100 && now.Sub(a.answered) > stuckStart
	}
	// A task that was stopped for this before may just be long: each time it is given twice as much.
	times := time.Duration(1) << min(a.task.stuck, stuckDoublings)
	still := times * max(stuckAtLeast, time.Duration(stuckFactor*stuckShare*float64(a.expected)))
	age := times * time.Duration(stuckFactor*float64(a.expected))
	return now.Sub(a.moved) > still && now.Sub(a.answered) > age
}

// holdAll renews leases, reads lists and acknowledges ends.
func (s *Service) holdAll(now time.Time) {
	for _, w := range s.workers {
		if w.gone || w.holding || now.Before(w.next) || w.info.Addr == "" {
			continue
		}
		switch {
		case !w.synced, len(w.attempts) > 0, w.stored > w.seen:
		case w.failed > 0 && w.listed: // it is asked until it answers, or is gone
		default:
			continue
		}
		w.holding = true
		o := Order{Kind: OrderHold, Worker: w.info, Token: s.Token, Seen: w.stored}
		if w.synced {
			if len(w.attempts) > 0 {
				o.Lease = s.nextLease(now, w)
				o.Wait = waitFor(w)
			}
			w.seen = w.stored
		}
		s.orders = append(s.orders, o)
	}
}

// waitFor is how long a worker may wait for an end before it answers a renewal.
func waitFor(w *worker) time.Duration {
	if w.processed > w.stored {
		return 0 // it would answer at once with the ends that it has listed
	}
	wait := holdWait
	for _, a := range w.attempts {
		switch {
		case !a.barred.IsZero():
			return 0
		case a.longRunning && a.percent < 100 && a.stop.IsZero():
			wait = startupWait // the next planned move of its step waits until it is at work
		}
	}
	return wait
}

// Started takes the answer to a start.
func (s *Service) Started(now time.Time, o Order, clock time.Duration, err error) {
	a := o.attempt
	w := a.worker
	if w.attempts[a.id] != a {
		return
	}
	switch {
	case err == nil:
		a.answered = now
		if a.moved.IsZero() {
			a.moved = now
		}
		if w.attempts[a.id] == a && a.task != nil {
			a.task.step.started()
		}
		_ = clock
		return
	case errors.Is(err, cuminstair.ErrUncertain):
		s.Log.Info("dispatch: start without an answer", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
			"run", a.run, "worker", w.info.ID, "error", err)
		return
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", w.info.ID)
		return
	case errors.Is(err, cuminstair.ErrOtherLife):
		s.lifeOver(now, w, "another worker answers at its address")
		return
	case errors.Is(err, cuminstair.ErrNotDone):
		w.failed++
		w.blocked = now.Add(blockAfterRefusal)
	case errors.Is(err, cuminstair.ErrNoRoom):
		w.blocked = now.Add(blockAfterRefusal)
	case errors.Is(err, cuminstair.ErrMalformed):
		w.blocked = now.Add(firstBlock)
	case errors.Is(err, cuminstair.ErrTicket) && a.task != nil:
		delete(a.task.step.advice.tickets, w.info.ID)
		delete(a.task.step.advice.asked, w.info.ID)
	}
	s.Log.Info("dispatch: start was turned away", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", w.info.ID, "error", err)
	s.release(now, a)
}

// Stopped takes the answer to a stop.
func (s *Service) Stopped(now time.Time, o Order, err error) {
	a := o.attempt
	switch {
	case err == nil:
		a.barred = now
		a.worker.next = now
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", o.Worker.ID)
	case errors.Is(err, cuminstair.ErrOtherLife):
		s.lifeOver(now, a.worker, "another worker answers at its address")
	default:
	}
}
