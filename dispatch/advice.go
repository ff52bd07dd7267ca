package dispatch

import (
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// Limits of calls to the adviser. It answers one call of a daemon at a time, and takes longer the more
// workers the call names.
const (
	// maxAdviceWorkers is the most workers that one call names.
	maxAdviceWorkers = 30
	// maxAdviceCalls bounds the open calls of a service to the adviser.
	maxAdviceCalls = 6
	// adviceRetry is the pause between a failed call for a step and the next call for it.
	adviceRetry = 250 * time.Millisecond
	// ticketMargin is subtracted from the validity of a ticket to leave time for the start order to reach the worker.
	ticketMargin = 100 * time.Millisecond
)

// advice holds the adviser's answers for a step of an advised queue, whose tasks need a ticket from the adviser.
type advice struct {
	tickets map[string]ticket // by worker
	queried map[string]int64  // by worker: the incarnation that was last asked about
	pending bool
	retryAt time.Time // earliest time of the next call
}

// ticket permits one worker to run tasks of one step.
type ticket struct {
	text        string
	incarnation int64     // of the worker
	expires     time.Time // last moment for sending a start order with it
}

// Advise is a call to the adviser, which tells which of the workers may run the step. Its answer is passed to Advised.
type Advise struct {
	Step    cuminstair.StepID
	Workers []string

	step *step
}

// ticketFor returns the valid ticket of a worker for the step, or "".
func (st *step) ticketFor(now time.Time, w *worker) string {
	t, ok := st.advice.tickets[w.info.ID]
	if !ok || t.incarnation != w.info.Incarnation || !now.Before(t.expires) {
		return ""
	}
	return t.text
}

// needsTicket reports whether a worker needs a ticket to run tasks of the step.
func (st *step) needsTicket() bool { return st.occ.job.queue.Advised }

// adviceDuration returns how long a call to the adviser that names n workers takes, or 0 if the queue needs no advice.
func adviceDuration(q *cuminstair.WorkQueue, n int) time.Duration {
	if !q.Advised {
		return 0
	}
	return q.Decision + time.Duration(n)*q.PerWorker
}

// requestAdvice calls the adviser for a step whose tasks found no worker with a ticket and enough room.
func (s *Service) requestAdvice(now time.Time, st *step) {
	a := &st.advice
	if a.pending || now.Before(a.retryAt) || s.adviceCallsOpen >= maxAdviceCalls {
		return
	}
	ids := s.adviceCandidates(now, st)
	if len(ids) == 0 {
		return
	}
	a.pending = true
	s.adviceCallsOpen++
	o := Order{Kind: OrderAdvise, Advise: Advise{
		Step: cuminstair.StepID{Job: st.occ.job.id, Occurrence: st.occ.number, Step: st.index}, Workers: ids, step: st,
	}}
	s.orders = append(s.orders, o)
}

// adviceCandidates returns the workers to ask about, at most maxAdviceWorkers of those with enough room: first those
// whose ticket is no longer valid, then those not asked about yet, the least loaded first. A refused worker is asked
// about again only in a new incarnation, since the adviser's verdict on an incarnation and a step does not change.
func (s *Service) adviceCandidates(now time.Time, st *step) []string {
	var expired, unqueried []*worker
	for _, w := range s.candidates {
		if !st.room().Fits(w.free()) || !hasLabel(st.Label, w.info.Labels) || st.ticketFor(now, w) != "" {
			continue
		}
		_, hadTicket := st.advice.tickets[w.info.ID]
		switch incarnation, queried := st.advice.queried[w.info.ID]; {
		case hadTicket:
			expired = append(expired, w)
		case !queried || incarnation != w.info.Incarnation:
			unqueried = append(unqueried, w)
		}
	}
	sort.Slice(unqueried, func(i, j int) bool {
		a, b := freeShare(unqueried[i]), freeShare(unqueried[j])
		if a != b {
			return a > b
		}
		return unqueried[i].info.ID < unqueried[j].info.ID
	})
	var ids []string
	for _, w := range append(expired, unqueried...) {
		if len(ids) == maxAdviceWorkers {
			break
		}
		ids = append(ids, w.info.ID)
	}
	return ids
}

// Advised processes the adviser's answer to a call made at sent: the tickets, by worker, of those that may run the
// step, and how long the tickets are valid. If validity is 0, that of the queue applies.
func (s *Service) Advised(now, sent time.Time, o Order, tickets map[string]string, validity time.Duration, err error) {
	st := o.Advise.step
	a := &st.advice
	a.pending = false
	s.adviceCallsOpen--
	s.changed = true
	if err != nil {
		a.retryAt = now.Add(adviceRetry)
		s.Log.Info("dispatch: advice call failed", "service", s.Name, "job", o.Advise.Step.Job, "step", o.Advise.Step.Step, "workers",
			len(o.Advise.Workers), "error", err)
		return
	}
	if a.tickets == nil {
		a.tickets, a.queried = map[string]ticket{}, map[string]int64{}
	}
	if validity <= 0 {
		validity = st.occ.job.queue.Validity
	}
	for _, id := range o.Advise.Workers {
		w, ok := s.workers[id]
		if !ok {
			continue
		}
		a.queried[id] = w.info.Incarnation
		delete(a.tickets, id)
		if text, granted := tickets[id]; granted {
			a.tickets[id] = ticket{text: text, incarnation: w.info.Incarnation, expires: sent.Add(validity - ticketMargin)}
		}
	}
	s.Log.Info("dispatch: advice received", "service", s.Name, "job", o.Advise.Step.Job, "step", o.Advise.Step.Step,
		"workers", len(o.Advise.Workers), "good", len(tickets), "after", now.Sub(sent).Round(time.Millisecond).String())
}
