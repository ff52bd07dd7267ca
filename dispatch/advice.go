package dispatch

import (
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// Limits of advice. The adviser answers one call of a daemon at a time, after a time for each worker that is named.
const (
	// adviceWorkers is how many workers one call names.
	adviceWorkers = 30
	// adviceCalls bounds the calls of a service that wait for the adviser.
	adviceCalls = 6
	// adviceRetry is the pause of a step after a call that failed.
	adviceRetry = 250 * time.Millisecond
	// ticketMargin is kept of the validity of a ticket for the way to the worker.
	ticketMargin = 100 * time.Millisecond
)

// advice is what is known of the workers that may run a step of an advised queue.
type advice struct {
	tickets map[string]ticket // by worker
	asked   map[string]int64  // by worker: the life that was named in a call, whatever came of it
	asking  bool
	next    time.Time // when the adviser may be asked again
}

// ticket lets tasks of one step run on a worker.
type ticket struct {
	text  string
	born  int64     // life of the worker
	until time.Time // when it must have been used
}

// Advise names a step and the workers to judge. Its answer goes back to Advised.
type Advise struct {
	Step    cuminstair.StepID
	Workers []string

	step *step
}

// ticketFor returns the ticket of a worker for a step, or "".
func (st *step) ticketFor(now time.Time, w *worker) string {
	t, ok := st.advice.tickets[w.info.ID]
	if !ok || t.born != w.info.Born || !now.Before(t.until) {
		return ""
	}
	return t.text
}

// advised tells whether the workers of a step need tickets.
func (st *step) advised() bool { return st.occ.job.queue.Advised }

// adviceTime is how long one call takes that names n workers.
func adviceTime(q *cuminstair.WorkQueue, n int) time.Duration {
	if !q.Advised {
		return 0
	}
	return q.Decision + time.Duration(n)*q.PerWorker
}

// seekAdvice asks for more workers for a step whose tasks found none with a ticket and room.
func (s *Service) seekAdvice(now time.Time, st *step) {
	a := &st.advice
	if a.asking || now.Before(a.next) || s.advising >= adviceCalls {
		return
	}
	ids := s.unjudged(now, st)
	if len(ids) == 0 {
		return
	}
	a.asking = true
	s.advising++
	o := Order{Kind: OrderAdvise, Advise: Advise{
		Step: cuminstair.StepID{Job: st.occ.job.id, Occurrence: st.occ.number, Step: st.index}, Workers: ids, step: st,
	}}
	s.orders = append(s.orders, o)
}

// unjudged returns workers with room to ask about: those whose tickets have run out, and then those that were not asked
// about, the emptiest first. Which workers are good for a step does not change.
func (s *Service) unjudged(now time.Time, st *step) []string {
	var again, fresh []*worker
	for _, w := range s.around {
		if !st.room().Fits(w.free()) || !matches(st.Label, w.info.Labels) || st.ticketFor(now, w) != "" {
			continue
		}
		_, good := st.advice.tickets[w.info.ID]
		switch born, asked := st.advice.asked[w.info.ID]; {
		case good:
			again = append(again, w)
		case !asked || born != w.info.Born:
			fresh = append(fresh, w)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		a, b := freeShare(fresh[i]), freeShare(fresh[j])
		if a != b {
			return a > b
		}
		return fresh[i].info.ID < fresh[j].info.ID
	})
	var ids []string
	for _, w := range append(again, fresh...) {
		if len(ids) == adviceWorkers {
			break
		}
		ids = append(ids, w.info.ID)
	}
	return ids
}

// Advised takes the answer of the adviser to a call that was sent at sent: the tickets of the workers that may run the
// step, by worker, and for how long they are valid.
func (s *Service) Advised(now, sent time.Time, o Order, tickets map[string]string, validity time.Duration, err error) {
	st := o.Advise.step
	a := &st.advice
	a.asking = false
	s.advising--
	s.changed = true
	if err != nil {
		a.next = now.Add(adviceRetry)
		s.Log.Info("dispatch: no advice", "service", s.Name, "job", o.Advise.Step.Job, "step", o.Advise.Step.Step, "workers", len(o.Advise.Workers), "error", err)
		return
	}
	if a.tickets == nil {
		a.tickets, a.asked = map[string]ticket{}, map[string]int64{}
	}
	if validity <= 0 {
		validity = st.occ.job.queue.Validity
	}
	for _, id := range o.Advise.Workers {
		w, ok := s.workers[id]
		if !ok {
			continue
		}
		a.asked[id] = w.info.Born
		delete(a.tickets, id)
		if text, good := tickets[id]; good {
			a.tickets[id] = ticket{text: text, born: w.info.Born, until: sent.Add(validity - ticketMargin)}
		}
	}
	s.Log.Info("dispatch: advice", "service", s.Name, "job", o.Advise.Step.Job, "step", o.Advise.Step.Step, "workers", len(o.Advise.Workers),
		"good", len(tickets), "after", now.Sub(sent).Round(time.Millisecond).String())
}
