package job

import (
	"time"

	"cuminstair.org/cuminstair"
)

// wheelSlots is above the seconds of a renewal period.
const wheelSlots = 64

// slack covers a worker's clock that runs slower than ours, and a renewal that was under way.
const slack = 5 * time.Second

// quietAfter is how long a task may go unreported before it counts as ended: the platform renews a task that has ended
// without complaint, and its last report may have been lost with an earlier controller.
const quietAfter = 5 * time.Minute

// wheel holds the tasks by the second in which their lease is renewed, so that renewals are batched and cost nothing
// for tasks that are not due.
type wheel struct {
	slots [wheelSlots][]*task
	last  int64 // second up to which all are renewed
}

func (w *wheel) add(t *task, at time.Time) {
	i := at.Unix() % wheelSlots
	w.slots[i] = append(w.slots[i], t)
}

// renew renews the leases that are due, in one action.
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
			s.renewOne(now, t)
		}
	}
}

func (s *Scheduler) renewOne(now time.Time, t *task) {
	switch {
	case t.gone || t.worker.lost:
	case now.Sub(t.renewed) >= Lease+slack:
		s.lose(t, "its lease ran out")
	case now.Sub(t.heard) >= quietAfter:
		t.quiet = true
		s.expire = append(s.expire, t)
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
		s.expire = append(s.expire, t)
	}
}

// expired queues the jobs of lost workers whose leases have run out.
func (s *Scheduler) expired(now time.Time) {
	rest := s.expire[:0]
	for _, t := range s.expire {
		s.Work++
		switch {
		case t.gone:
		case now.Sub(t.renewed) >= Lease+slack:
			s.lose(t, "its worker is lost")
		case t.worker.lost || t.quiet:
			rest = append(rest, t)
		default: // the worker is back, or the task was reported again
			s.wheel.add(t, now.Add(time.Second))
		}
	}
	clear(s.expire[len(rest):])
	s.expire = rest
}

// CordonWorker stops the placement of new tasks on a worker. Tasks that already run there continue.
func (s *Scheduler) CordonWorker(name string) {
	w, ok := s.workers.all[name]
	if !ok {
		return
	}
	if w.suspect {
		s.workers.outs--
	}
	w.out, w.suspect = true, false
	s.workers.reindex(w)
}
