// Package admit decides which requests of a service run now, wait or are refused. Kinds of work have weighted fair
// shares of the capacity: idle slots of one kind are lent to others and are available to it again when the requests in
// them finish. Urgency orders requests of the same kind only. A Queue is not safe for concurrent use.
package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Admission = (*Queue)(nil)

// Limits of queues and retry hints.
const (
	// MaxWaiting is the largest number of waiting requests of one kind.
	MaxWaiting = 1024
	// MinRetryAfter and MaxRetryAfter bound the hint of when to retry.
	MinRetryAfter = 50 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
)

// Queue implements cuminstair.Admission for one service.
type Queue struct {
	capacity int
	running  int
	weights  int // sum of the weights of all kinds
	shares   map[string]*share
	order    []*share // in the configured order, which breaks ties
	items    map[*cuminstair.Request]*item
	seq      uint64
}

// share is the state of one kind of work.
type share struct {
	kind      cuminstair.Kind
	removed   bool // no longer configured; new requests are refused, queued ones still run
	running   int  // never below zero
	waiting   queue
	byUrgency map[int]int // number of waiting requests of each urgency
	service   serviceTime
	peak      float64   // decaying peak of running and waiting requests
	peakTime  time.Time // when peak was computed
	pass      float64   // slot seconds received divided by the weight; breaks ties in runsBefore
}

// Configure implements cuminstair.Admission. Requests of a kind that is no longer listed still run if already queued.
func (q *Queue) Configure(kinds []cuminstair.Kind) {
	if q.shares == nil {
		q.shares = map[string]*share{}
		q.items = map[*cuminstair.Request]*item{}
	}
	listed := map[string]bool{}
	order := make([]*share, 0, len(kinds))
	q.weights = 0
	for _, k := range kinds {
		s := q.shares[k.Name]
		if s == nil {
			s = &share{byUrgency: map[int]int{}}
			q.shares[k.Name] = s
		}
		k.Weight = max(k.Weight, 1)
		s.kind, s.removed = k, false
		q.weights += k.Weight
		listed[k.Name] = true
		order = append(order, s)
	}
	for _, s := range q.order {
		if listed[s.kind.Name] {
			continue
		}
		s.removed = true
		if s.running == 0 && len(s.waiting) == 0 {
			delete(q.shares, s.kind.Name)
			continue
		}
		order = append(order, s)
	}
	q.order = order
}

// SetCapacity implements cuminstair.Admission.
func (q *Queue) SetCapacity(now time.Time, n int) []*cuminstair.Request {
	q.capacity = max(n, 0)
	return q.fill(now)
}

// Offer implements cuminstair.Admission. A request that is already waiting or running is refused as malformed.
func (q *Queue) Offer(now time.Time, r *cuminstair.Request) cuminstair.Verdict {
	s := q.shares[r.Kind]
	if s == nil || s.removed || q.items[r] != nil {
		return cuminstair.Verdict{Reason: cuminstair.ReasonMalformed}
	}
	if !now.Before(r.Deadline) {
		return cuminstair.Verdict{Reason: cuminstair.ReasonLate}
	}
	defer s.updatePeak(now)
	need := s.timeNeeded()
	room := len(s.waiting) == 0 && q.running < q.capacity && q.mayRun(s)
	// If no request of the kind runs, a request runs even if it is estimated to be late: without a new sample, the
	// learned service time would never change.
	if room && (s.running == 0 || !now.Add(need).After(r.Deadline)) {
		q.start(s, r)
		return cuminstair.Verdict{Run: true, Reason: cuminstair.ReasonOK}
	}
	wait := q.estimateWait(s, r)
	if len(s.waiting) >= MaxWaiting {
		return cuminstair.Verdict{Reason: cuminstair.ReasonFull, After: retryHint(wait)}
	}
	if now.Add(wait + need).After(r.Deadline) {
		return cuminstair.Verdict{Reason: cuminstair.ReasonLate, After: retryHint(wait)}
	}
	q.seq++
	it := &item{req: r, share: s, seq: q.seq}
	q.items[r] = it
	s.push(it)
	return cuminstair.Verdict{Wait: true, Reason: cuminstair.ReasonOK}
}

// Finish implements cuminstair.Admission. A request that does not run is ignored.
func (q *Queue) Finish(now time.Time, r *cuminstair.Request, res cuminstair.Result) []*cuminstair.Request {
	it := q.items[r]
	if it == nil || it.index >= 0 {
		return nil
	}
	delete(q.items, r)
	s := it.share
	s.running--
	q.running--
	s.service.observe(res)
	return q.fill(now)
}

// Cancel implements cuminstair.Admission.
func (q *Queue) Cancel(_ time.Time, r *cuminstair.Request) bool {
	it := q.items[r]
	if it == nil || it.index < 0 {
		return false
	}
	it.share.remove(it)
	delete(q.items, r)
	return true
}

// Expire implements cuminstair.Admission.
func (q *Queue) Expire(now time.Time) []*cuminstair.Request {
	var out []*cuminstair.Request
	for _, s := range q.order {
		for _, it := range s.removeLate(now) {
			delete(q.items, it.req)
			out = append(out, it.req)
		}
	}
	return out
}

// Running returns how many requests of a kind run.
func (q *Queue) Running(kind string) int {
	if s := q.shares[kind]; s != nil {
		return s.running
	}
	return 0
}

// Waiting returns how many requests of a kind wait.
func (q *Queue) Waiting(kind string) int {
	if s := q.shares[kind]; s != nil {
		return len(s.waiting)
	}
	return 0
}

// fill starts queued requests while there is room. It does not check deadlines: Expire removes requests that can no
// longer end in time, so that they take no slot.
func (q *Queue) fill(now time.Time) []*cuminstair.Request {
	var out []*cuminstair.Request
	for q.running < q.capacity {
		s := q.nextKind(now)
		if s == nil {
			return out
		}
		it := s.pop()
		q.start(s, it.req)
		out = append(out, it.req)
	}
	return out
}

func (q *Queue) start(s *share, r *cuminstair.Request) {
	it := q.items[r]
	if it == nil {
		it = &item{req: r, share: s}
		q.items[r] = it
	}
	it.index = -1
	s.running++
	q.running++
	s.pass = max(s.pass, q.minPass(s)) + max(s.service.mean, 0.001)/float64(s.kind.Weight)
}
