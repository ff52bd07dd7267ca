package admit

import (
	"math"
	"time"

	"cuminstair.org/cuminstair"
)

const (
	// lendDivisor limits lending: a kind lends its slots to another kind if the borrower's mean service time is at most
	// 1/lendDivisor of the time that the lender's requests can wait, since some requests take several times the mean.
	lendDivisor = 4
	// peakDecay is the time in which the peak of a kind's demand decays to 1/e. Demand that rotates between kinds reaches
	// each kind again within this time.
	peakDecay = time.Minute
)

// nextKind returns the kind that starts a request next: among the kinds with waiting requests that may run, the one
// with the fewest running requests for its weight, then the one with the smallest pass.
func (q *Queue) nextKind(_ time.Time) *share {
	var best *share
	for _, s := range q.order {
		if len(s.waiting) == 0 || !q.mayRun(s) {
			continue
		}
		if best == nil || runsBefore(s, best) {
			best = s
		}
	}
	return best
}

func runsBefore(a, b *share) bool {
	x, y := a.running*b.kind.Weight, b.running*a.kind.Weight
	if x != y {
		return x < y
	}
	return a.pass < b.pass
}

// guaranteed returns the number of slots that a kind's weight entitles it to; it may be a fraction.
func (q *Queue) guaranteed(s *share) float64 {
	if q.weights == 0 {
		return 0
	}
	return float64(q.capacity) * float64(s.kind.Weight) / float64(q.weights)
}

// mayRun reports whether a kind may start one more request while there is room. A kind may always fill its own share.
// Beyond its share, it may not use slots that another kind is likely to need before they would be free again.
func (q *Queue) mayRun(s *share) bool {
	if float64(s.running+1) <= max(math.Ceil(q.guaranteed(s)), 1) {
		return true
	}
	free := float64(q.capacity - q.running)
	for _, o := range q.order {
		if o != s && !q.canLend(o, s) {
			free -= max(min(q.guaranteed(o), max(o.peak, 1))-float64(o.running), 0)
		}
	}
	return free >= 1
}

// canLend reports whether the requests of one kind, from, can wait until a request of another kind, to, frees a slot.
func (q *Queue) canLend(from, to *share) bool {
	if to.service.mean == 0 {
		return false // no sample yet
	}
	slack := from.kind.Deadline.D() - from.timeNeeded()
	return seconds(to.service.mean) <= slack/lendDivisor
}

// updatePeak updates the decaying peak of running and waiting requests.
func (s *share) updatePeak(now time.Time) {
	if elapsed := now.Sub(s.peakTime); elapsed > 0 {
		s.peak *= math.Exp(-elapsed.Seconds() / peakDecay.Seconds())
		s.peakTime = now
	}
	s.peak = max(s.peak, float64(s.running+len(s.waiting)))
}

// timeNeeded returns how long before its deadline a request has to start.
func (s *share) timeNeeded() time.Duration { return s.service.timeNeeded(s.kind.Deadline.D()) }

// minPass returns the smallest pass among the other kinds that have running or waiting requests. A kind that was idle
// starts from this value, so that it gains no advantage from being idle.
func (q *Queue) minPass(self *share) float64 {
	smallest, found := 0.0, false
	for _, s := range q.order {
		if s == self || s.running+len(s.waiting) == 0 {
			continue
		}
		if !found || s.pass < smallest {
			smallest, found = s.pass, true
		}
	}
	return smallest
}

// estimateWait estimates how long a request of a kind would wait: the time to run all waiting requests that are at
// least as urgent on the slots that the kind has now or is guaranteed, whichever are more. The order by deadline is
// ignored, since bounding the work for a request matters more than the order among requests of the same urgency.
func (q *Queue) estimateWait(s *share, r *cuminstair.Request) time.Duration {
	ahead := 1
	for urgency, n := range s.byUrgency {
		if urgency >= r.Urgency {
			ahead += n
		}
	}
	slots := max(q.guaranteed(s), float64(s.running))
	if slots <= 0 {
		return MaxRetryAfter
	}
	return seconds(float64(ahead) * s.service.mean / slots)
}

func retryHint(wait time.Duration) time.Duration { return min(max(wait, MinRetryAfter), MaxRetryAfter) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
