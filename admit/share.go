package admit

import (
	"math"
	"time"

	"cuminstair.org/cuminstair"
)

const (
	// patienceShare is the part (one in so many) of the time that a kind can wait which the requests of another may
	// take in the mean to borrow its places, since some take several times the mean.
	patienceShare = 4
	// peakFade is the time in which the memory of a kind's demand fades to 1/e. Demand that rotates between the kinds
	// comes back within it.
	peakFade = time.Minute
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

// mayRun reports whether a kind may start one more request while there is room. Within its share it may. Beyond, it may
// not take the places that another kind is likely to need before they would be free again.
func (q *Queue) mayRun(s *share) bool {
	if float64(s.running+1) <= max(math.Ceil(q.part(s)), 1) {
		return true
	}
	free := float64(q.capacity - q.running)
	for _, o := range q.order {
		if o != s && !q.lends(o, s) {
			free -= max(min(q.part(o), max(o.peak, 1))-float64(o.running), 0)
		}
	}
	return free >= 1
}

// lends reports whether a kind can wait until a request of another kind has given a place back.
func (q *Queue) lends(from, to *share) bool {
	if to.time.mean == 0 {
		return false // not known yet
	}
	patience := from.kind.Deadline.D() - from.need()
	return seconds(to.time.mean) <= patience/patienceShare
}

// demand keeps the peak of the requests that wait or run, which fades away.
func (s *share) demand(now time.Time) {
	if passed := now.Sub(s.peakAt); passed > 0 {
		s.peak *= math.Exp(-passed.Seconds() / peakFade.Seconds())
		s.peakAt = now
	}
	s.peak = max(s.peak, float64(s.running+len(s.waiting)))
}

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

// wait estimates how long a request of a kind would wait: those that are at least as urgent, at the pace of the places
// that the kind has now or is sure of. Deadlines are not looked at, since a bound on the work for a request matters more
// than the order among equals.
func (q *Queue) wait(s *share, r *cuminstair.Request) time.Duration {
	ahead := 1
	for urgency, n := range s.levels {
		if urgency >= r.Urgency {
			ahead += n
		}
	}
	places := max(q.part(s), float64(s.running))
	if places <= 0 {
		return MaxAfter
	}
	return seconds(float64(ahead) * s.time.mean / places)
}

func hint(wait time.Duration) time.Duration { return min(max(wait, MinAfter), MaxAfter) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
