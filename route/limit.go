package route

import (
	"math"
	"time"
)

// Bounds and steps of the adaptive limit.
const (
	// maxOff is the factor by which declared slots may be wrong in either direction.
	maxOff = 5
	// windowSamples is how many latencies a decision averages. With service times that are distributed exponentially
	// the mean of 64 is off by 12.5% (one standard deviation), which the ratios below allow for.
	windowSamples = 64
	// cutSamples is how many suffice when the latency has more than doubled.
	cutSamples = 16
	// cutRatio is the mean latency, relative to that at low load, above which the limit is lowered.
	cutRatio = 1.35
	// growRatio is the mean latency, relative to that at low load, up to which the limit may be raised.
	growRatio = 1.1
	// growStep is the factor of one raise.
	growStep = 1.25
	// busyShare is the part of the limit above which an instance counts as saturated.
	busyShare = 0.8
	// minWait and maxWait bound the pause after a raise that turned out to be too much; it doubles each time.
	minWait = 2 * time.Second
	maxWait = 60 * time.Second
	// lowEvery is how long an instance may be loaded above half its limit before its load is lowered on purpose, since
	// the latency at low load can't be told otherwise.
	lowEvery = 5 * time.Second
	// lowFor bounds how long the load is lowered.
	lowFor = 2 * time.Second
)

// limiter finds how many requests an instance runs at once from its latency. While the load is at most the real
// capacity, the latency does not depend on it; above, it grows in proportion. The limit stays within a factor of 5 of
// the declared slots.
type limiter struct {
	declared float64
	limit    float64
	base     float64 // latency at low load in seconds; 0 while unknown
	sum      float64 // of the latencies in the window, in seconds
	loads    float64 // sum of the loads in the window
	n        int
	lowAt    time.Time     // when the load was last low
	lowUntil time.Time     // set while the load is lowered on purpose
	growAt   time.Time     // no raise before
	wait     time.Duration // pause after the next raise that fails
	raised   bool          // the last change was a raise
}

func newLimiter(slots int) limiter {
	slots = max(slots, 1)
	return limiter{declared: float64(slots), limit: float64(slots), wait: minWait}
}

// whole returns the limit in requests, at least 1.
func (l *limiter) whole() int {
	limit := l.limit
	if !l.lowUntil.IsZero() {
		limit /= 2
	}
	return max(int(math.Round(limit)), 1)
}

// observe takes the latency of a request that ended while load requests, this one included, were in flight.
func (l *limiter) observe(now time.Time, latency time.Duration, load int) {
	if l.lowAt.IsZero() {
		l.lowAt = now
	}
	lowered := !l.lowUntil.IsZero()
	if lowered && load > l.whole()+1 && now.Before(l.lowUntil) {
		return // sent before the load was lowered
	}
	l.sum += latency.Seconds()
	l.loads += float64(load)
	l.n++
	mean := l.sum / float64(l.n)
	clear := l.base > 0 && l.n >= cutSamples && mean > 2*l.base
	timeout := lowered && !now.Before(l.lowUntil)
	if l.n < windowSamples && !clear && !timeout {
		return
	}
	l.decide(now, mean, l.loads/float64(l.n), lowered)
	l.sum, l.loads, l.n = 0, 0, 0
}

func (l *limiter) decide(now time.Time, mean, load float64, lowered bool) {
	if lowered || l.base == 0 || load <= l.limit/2 {
		l.learn(now, mean)
		l.lowUntil = time.Time{}
		if l.limit < l.declared && mean < cutRatio*l.base {
			l.set(l.limit * growStep)
		}
		return
	}
	if mean < l.base {
		l.base += 0.2 * (mean - l.base)
	}
	busy := load >= busyShare*l.limit
	switch ratio := mean / l.base; {
	case ratio > cutRatio:
		l.cut(now, load/ratio)
	case ratio <= growRatio && busy && !now.Before(l.growAt):
		if l.raised {
			l.wait = minWait
		}
		l.set(max(l.limit*growStep, l.limit+1))
		l.raised = true
	}
	if now.Sub(l.lowAt) > lowEvery {
		l.lowUntil = now.Add(lowFor)
	}
}

// learn adjusts the latency at low load: quickly downwards and slowly upwards, so that a slow phase is not taken for
// the usual latency at once.
func (l *limiter) learn(now time.Time, mean float64) {
	l.lowAt = now
	switch {
	case l.base == 0:
		l.base = mean
	case mean < l.base:
		l.base += 0.5 * (mean - l.base)
	default:
		l.base += 0.1 * (mean - l.base)
	}
}

func (l *limiter) cut(now time.Time, to float64) {
	if l.raised {
		l.growAt = now.Add(l.wait)
		l.wait = min(2*l.wait, maxWait)
	}
	l.raised = false
	l.set(max(to, l.limit/2))
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, l.declared/maxOff, 1), l.declared*maxOff)
}
