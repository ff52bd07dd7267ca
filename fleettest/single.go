package fleettest

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// singleQueue is a baseline: one bounded queue shared by all kinds, ordered by less, or first in, first out if less
// is nil.
type singleQueue struct {
	less     func(a, b *cuminstair.Request) int
	capacity int
	running  map[*cuminstair.Request]bool
	waiting  []*cuminstair.Request
}

// maxQueueLength is the maximum length of a baseline's queue.
const maxQueueLength = 1024

// NewFIFO returns the baseline with one first-in, first-out queue for all kinds.
func NewFIFO() cuminstair.Admission {
	return &singleQueue{running: map[*cuminstair.Request]bool{}}
}

// NewStrict returns the baseline with one queue ordered by urgency, most urgent first.
func NewStrict() cuminstair.Admission {
	return &singleQueue{
		running: map[*cuminstair.Request]bool{},
		less:    func(a, b *cuminstair.Request) int { return b.Urgency - a.Urgency },
	}
}

func (s *singleQueue) Configure([]cuminstair.Kind) {}

func (s *singleQueue) SetCapacity(_ time.Time, n int) []*cuminstair.Request {
	s.capacity = n
	return s.fill()
}

func (s *singleQueue) Offer(_ time.Time, r *cuminstair.Request) cuminstair.Verdict {
	if len(s.running) < s.capacity {
		s.running[r] = true
		return cuminstair.Verdict{Run: true}
	}
	if len(s.waiting) >= maxQueueLength {
		return cuminstair.Verdict{Reason: cuminstair.ReasonFull}
	}
	s.waiting = append(s.waiting, r)
	if s.less != nil {
		slices.SortStableFunc(s.waiting, s.less)
	}
	return cuminstair.Verdict{Wait: true}
}

func (s *singleQueue) Finish(_ time.Time, r *cuminstair.Request, _ cuminstair.Result) []*cuminstair.Request {
	delete(s.running, r)
	return s.fill()
}

func (s *singleQueue) fill() []*cuminstair.Request {
	n := min(max(s.capacity-len(s.running), 0), len(s.waiting))
	out := slices.Clone(s.waiting[:n])
	s.waiting = s.waiting[n:]
	for _, r := range out {
		s.running[r] = true
	}
	return out
}

func (s *singleQueue) Cancel(_ time.Time, r *cuminstair.Request) bool {
	i := slices.Index(s.waiting, r)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

func (s *singleQueue) Expire(now time.Time) []*cuminstair.Request {
	var out []*cuminstair.Request
	s.waiting = slices.DeleteFunc(s.waiting, func(r *cuminstair.Request) bool {
		late := !now.Before(r.Deadline)
		if late {
			out = append(out, r)
		}
		return late
	})
	return out
}

// open is a baseline without admission control: each request is sent at once and queues at the instance.
type open struct{}

// NewOpen returns the admission of the round robin baseline, which sends each request at once.
func NewOpen() cuminstair.Admission { return open{} }

func (open) Configure([]cuminstair.Kind) {}

func (open) SetCapacity(time.Time, int) []*cuminstair.Request { return nil }

func (open) Offer(time.Time, *cuminstair.Request) cuminstair.Verdict {
	return cuminstair.Verdict{Run: true, Reason: cuminstair.ReasonOK}
}

func (open) Finish(time.Time, *cuminstair.Request, cuminstair.Result) []*cuminstair.Request {
	return nil
}

func (open) Cancel(time.Time, *cuminstair.Request) bool { return false }

func (open) Expire(time.Time) []*cuminstair.Request { return nil }
