package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

// next returns the kind that starts a request next: of those that wait and may run, the one that runs least for its
// weight, then the one that received least.
func (q *Queue) next(_ time.Time) *share {
	var best *share
	for _, s := range q.order {
		if len(s.waiting) == 0 || !q.mayRun(s) {
			continue
		}
		if best == nil || before(s, best) {
			best = s
		}
	}
	return best
}

func before(a, b *share) bool {
	x, y := a.running*b.kind.Weight, b.running*a.kind.Weight
	if x != y {
		return x < y
	}
	return a.pass < b.pass
}

// part returns the places that a kind is sure of; it may be a fraction.
func (q *Queue) part(s *share) float64 {
	if q.weights == 0 {
		return 0
	}
	return float64(q.capacity) * float64(s.kind.Weight) / float64(q.weights)
}

// mayRun reports whether a kind may start one more request while there is room.
func (q *Queue) mayRun(_ *share) bool { return true }

// need returns the time that a request must have left when it starts.
func (s *share) need() time.Duration { return s.time.need(s.kind.Deadline.D()) }

// leastPass returns the least pass among the other kinds that have work. A kind that was idle starts there and gains
// nothing from its pause.
func (q *Queue) leastPass(self *share) float64 {
	least, found := 0.0, false
	for _, s := range q.order {
		if s == self || s.running+len(s.waiting) == 0 {
			continue
		}
		if !found || s.pass < least {
			least, found = s.pass, true
		}
	}
	return least
}

// wait estimates how long a request of a kind would wait: those ahead of it, at the pace of the places that the kind
// has now or is sure of.
func (q *Queue) wait(s *share, r *cuminstair.Request) time.Duration {
	ahead := 0
	probe := queue{{req: r, seq: q.seq + 1}, nil}
	for _, it := range s.waiting {
		probe[1] = it
		if probe.Less(1, 0) {
			ahead++
		}
	}
	places := max(q.part(s), float64(s.running))
	if places <= 0 {
		return MaxAfter
	}
	return seconds(float64(ahead+1) * s.time.mean / places)
}

func hint(wait time.Duration) time.Duration { return min(max(wait, MinAfter), MaxAfter) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
