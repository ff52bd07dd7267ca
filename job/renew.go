package job

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// wheelSlots is the number of seconds that the wheel covers. It is larger than renewEvery.
const wheelSlots = 64

// leaseSlack is added to the lease before a task counts as ended, to allow for a worker's clock that runs slower than
// this host's and for a renewal in flight.
const leaseSlack = 5 * time.Second

// reportTimeout is how long a task may go unreported before its lease is no longer renewed. Once the lease has expired,
// the task counts as ended. The platform accepts renewals of ended tasks without an error, and the last report of a task
// may have been lost with an earlier controller.
const reportTimeout = 5 * time.Minute

// wheel is a timing wheel that holds tasks by the second in which their lease is renewed, so that renewals are batched
// and tasks that are not due cost nothing.
type wheel struct {
	slots [wheelSlots][]*task
	last  int64 // second up to which all due leases were renewed
}

func (w *wheel) add(t *task, at time.Time) {
	i := at.Unix() % wheelSlots
	w.slots[i] = append(w.slots[i], t)
}

// renew plans the renewal of the leases that are due, in one action.
func (s *Scheduler) renew(now time.Time) {
	w := &s.wheel
	if w.last == 0 || now.Unix()-w.last > wheelSlots {
		w.last = max(w.last, now.Unix()-wheelSlots)
	}
	for w.last < now.Unix() {
		w.last++
		i := w.last % wheelSlots
		due := w.slots[i]
		w.slots[i] = nil
		for _, t := range due {
			s.Work++
			s.renewLease(now, t)
		}
	}
}

func (s *Scheduler) renewLease(now time.Time, t *task) {
	switch {
	case t.released || t.worker.lost:
	case now.Sub(t.renewed) >= Lease+leaseSlack:
		s.requeue(t, "its lease ran out")
	case now.Sub(t.lastReport) >= reportTimeout:
		t.unreported = true
		s.expiring = append(s.expiring, t)
	default:
		s.wheel.add(t, now.Add(renewEvery))
		s.plan.Actions[cuminstair.TaskRenew] = append(s.plan.Actions[cuminstair.TaskRenew], t.id)
	}
}

// MarkWorkerLost takes a worker out of service. Its jobs restart elsewhere only after the leases of their tasks have
// expired, since the worker may only be unreachable and still run them.
func (s *Scheduler) MarkWorkerLost(name string) {
	w, ok := s.workers.all[name]
	if !ok || w.lost {
		return
	}
	s.CordonWorker(name)
	w.lost = true
	s.workers.reindex(w)
	for _, t := range w.tasks {
		s.expiring = append(s.expiring, t)
	}
}

// requeueExpired queues the jobs of lost workers and unreported tasks again once their leases have expired.
func (s *Scheduler) requeueExpired(now time.Time) {
	remaining := s.expiring[:0]
	for _, t := range s.expiring {
		s.Work++
		switch {
		case t.released:
		case now.Sub(t.renewed) >= Lease+leaseSlack:
			s.requeueLost(t)
		case t.worker.lost || t.unreported:
			remaining = append(remaining, t)
		default: // the worker is back in service, or the task was reported again
			s.wheel.add(t, now.Add(time.Second))
		}
	}
	clear(s.expiring[len(remaining):])
	s.expiring = remaining
}

// requeueLost queues the job of a lost worker again, or parks it if it may be the cause of several such losses.
func (s *Scheduler) requeueLost(t *task) {
	e := t.job
	if t.lastReport.Sub(t.requested) > lostSoon {
		e.Lost = 0
	} else {
		e.Lost++
	}
	if e.Lost < parkAfter {
		s.requeue(t, "its worker is lost")
		return
	}
	s.release(t)
	if s.step(e, "lose", "its worker is lost") {
		// As after failures, the state is set without step: the job is in no queue.
		e.State, e.Why = Parked, fmt.Sprintf("%d workers were lost soon after they had started it, last %s", e.Lost, t.worker.Name)
	}
}

// CordonWorker stops the placement of new tasks on a worker. Tasks that already run there continue.
func (s *Scheduler) CordonWorker(name string) {
	w, ok := s.workers.all[name]
	if !ok {
		return
	}
	if w.quarantined {
		s.workers.quarantineCount--
	}
	w.unavailable, w.quarantined = true, false
	s.workers.reindex(w)
}
