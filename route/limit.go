package route

import (
	"time"
)

// Bounds and steps of the adaptive limits.
const (
	// maxOff is the factor by which declared slots may be wrong in either direction.
	maxOff = 5
	// windowSamples is how many latencies a decision averages. With service times that are distributed exponentially
	// the mean of 256 is off by 6% (one standard deviation), which the ratios below allow for.
	windowSamples = 256
	// sparseSamples is how many suffice at low load; their mean is off by 12.5%.
	sparseSamples = 64
	// minSamples is how many tell the load.
	minSamples = 16
	// maxTrial is how long a raise may take to show something.
	maxTrial = 3 * time.Second
	// settleMeans is how many mean latencies pass after a change before latencies count, and windowMeans how many a window
	// lasts at least. Only the short requests of a window would count otherwise.
	settleMeans = 4
	windowMeans = 6
	// cutRatio is the mean latency, relative to that at low load, above which the scale is lowered.
	cutRatio = 1.25
	// clearRatio is the ratio at which one window is enough; below, two in a row are, since 1% of the windows are above
	// cutRatio by chance.
	clearRatio = 1.5
	// resolution is how far the declared slots must be off before they are not trusted. A limit that is one too high puts
	// nearly every request of a busy instance above its slots.
	resolution = 0.3
	// clearFall is the mean latency relative to that at low load below which the latter is replaced at once.
	clearFall = 0.7
	// learnWeight is the weight of a window in the latency at low load.
	learnWeight = 0.3
	// growRatio is the mean latency, relative to that at low load, up to which the scale may be raised.
	growRatio = 1.15
	// growStep is the factor of one raise, and maxCut that of the largest cut. A raise by half shows clearly in one window
	// whether the instances have the slots, and if they have only some, the cut that follows leaves these.
	growStep = 1.5
	maxCut   = 0.5
	// growPeriod is the period on the clock at whose start raises happen, in all daemons at the same time: the load
	// would hardly rise if only one of them sent more, and nothing could be seen.
	growPeriod = 4 * time.Second
	// atOnce is how long after the start of a period a change still counts as made at the same time.
	atOnce = 500 * time.Millisecond
	// fullShare is the part of a raised limit that must be in use to judge it. With less, too few daemons have raised theirs
	// for the latency to show it.
	fullShare = 0.9
	// aboveShare is the load relative to the limit above which other daemons must have a higher one.
	aboveShare = 1.1
	// undoBelow is the factor of a cut up to which its effect is checked; that of a smaller one is lost in the noise.
	undoBelow = 0.75
	// busyShare is the part of the limit above which the instances count as saturated, and lowShare the part up to
	// which their latency is taken for that at low load.
	busyShare = 0.8
	lowShare  = 0.5
	// minWait and maxWait bound the pause after a raise that turned out to be too much; it doubles each time.
	minWait = 64 * time.Second
	maxWait = 5 * time.Minute
	// Instances that are never at low load are brought there on purpose, since the latency at low load can't be told
	// otherwise. It happens at multiples of the period on the clock, so that all daemons do it at the same time. It
	// happens rarely where it can't tell anything new.
	lowPeriod     = 3 * growPeriod
	lowPeriodRare = 24 * growPeriod
	minLowFor     = time.Second
	maxLowFor     = 8 * time.Second
	followed      = 1.3 // load relative to the lowered limit up to which the other daemons must have lowered theirs
	// fellShare is the latency relative to that before, below which it fell with the load. It falls to lowScale if the
	// load was too high; the comparison of 256 with 160 latencies is off by 10%.
	fellShare  = 0.75
	sameShare  = 0.9 // latency relative to that before, from which it clearly did not fall
	lowSamples = 160 // that such a phase must bring to count
	lowScale   = 0.6
)

// scale finds by which factor the declared slots of a service are off, from the latencies of all its instances. While
// the load is at most the real capacity, the latency does not depend on it; above, it grows in proportion.
type scale struct {
	factor   float64 // between 1/maxOff and maxOff
	kinds    map[string]*kindTime
	ratio    float64 // mean latency of the last window relative to that at low load
	measured bool    // ratio holds for the present factor
	window   window
	since    time.Time // of the last change
	typical  float64   // mean latency of the last window in seconds
	growAt   time.Time // no raise before
	wait     time.Duration
	doubt    bool    // the last window was above cutRatio, but not clearly
	armed    bool    // the next start of a period brings a raise
	grown    float64 // factor before the last change if that was a raise, else 0
	cutFrom  float64 // factor before the last change if that was a cut, else 0
	cutMean  float64 // ratio before that cut
	low      lowering
}

// window sums up samples.
type window struct {
	latency float64 // seconds
	ratio   float64 // latencies relative to those of their kinds at low load
	load    float64 // relative to the limit of the instance
	n       int
}

// lowering is the state of bringing the load down on purpose.
type lowering struct {
	lastLow time.Time // last window at low load
	from    time.Time // zero while the load is not lowered
	period  time.Duration
	known   bool // the base was measured at low load, so that limits may be raised on it
}

func newScale() scale {
	return scale{factor: 1, ratio: 1, wait: minWait, low: lowering{period: lowPeriod}}
}

// value returns the factor on declared slots that holds now.
func (s *scale) value(now time.Time) float64 {
	if s.lowered(now) {
		return s.factor * lowScale
	}
	return s.factor
}

func (s *scale) lowered(now time.Time) bool {
	return !s.low.from.IsZero() && now.Sub(s.low.from) < maxLowFor
}

// observe takes the latency of a request of a kind, and the load of its instance relative to its limit. It returns the
// latency relative to the usual one of the kind, or 0 while that is unknown.
func (s *scale) observe(now time.Time, kind string, latency time.Duration, load float64) float64 {
	if s.since.IsZero() {
		s.since, s.low.lastLow = now, now
	}
	if now.Sub(s.since) < seconds(settleMeans*s.typical) {
		s.start(now)
		return 0
	}
	if s.typical == 0 {
		s.settle(now, latency)
		return 0
	}
	relative, ok := s.relative(now, kind, latency.Seconds())
	if !ok {
		return 0
	}
	s.window.latency += latency.Seconds()
	s.window.ratio += relative
	s.window.load += load
	s.window.n++
	s.advance(now)
	return relative
}

// slowness returns how many times longer than at low load the requests of the service take now, at least 1.
func (s *scale) slowness() float64 {
	if s.window.n >= minSamples {
		return max(s.window.ratio/float64(s.window.n), 1)
	}
	return max(s.ratio, 1)
}

// advance decides if the window is complete.
func (s *scale) advance(now time.Time) {
	n := float64(s.window.n)
	mean, ratio := s.window.latency/n, s.window.ratio/n
	switch {
	case !s.low.from.IsZero():
		s.endLow(now, ratio)
	case !s.complete(now, mean):
		s.start(now)
	default:
		s.typical = mean
		before := s.factor
		s.ratio, s.measured = ratio, true
		s.decide(now, ratio, s.window.load/n)
		s.restart()
		if s.factor != before {
			s.since, s.measured = now, false
			return
		}
		s.start(now)
	}
}

// settle takes from the first latencies only how long they are, so that the first window is not too short.
func (s *scale) settle(now time.Time, latency time.Duration) {
	s.window.latency += latency.Seconds()
	s.window.n++
	if s.window.n < minSamples {
		return
	}
	s.typical, s.since = s.window.latency/float64(s.window.n), now
	s.restart()
}

// complete reports whether the window is long enough for a decision. At low load fewer latencies do, since they only
// move the latency at low load.
func (s *scale) complete(now time.Time, mean float64) bool {
	if now.Sub(s.since) < seconds((settleMeans+windowMeans)*mean) {
		return false
	}
	return s.window.n >= windowSamples || (s.window.n >= sparseSamples && !s.busy(lowShare))
}

// start makes the changes that all daemons make at the same time.
func (s *scale) start(now time.Time) {
	if s.grown > 0 && now.Sub(s.since) > max(maxTrial, s.lowFor()) {
		s.set(s.grown) // the load went away before the raise showed anything
		s.since = now
		s.restart()
		return
	}
	if now.Sub(now.Truncate(growPeriod)) >= atOnce {
		return
	}
	if s.armed && s.busy(busyShare) {
		from := s.factor
		s.set(from * growStep)
		s.grown, s.since, s.measured = from, now, false
		s.restart()
		return
	}
	s.startLow(now)
}

// busy reports whether the load in the current window is above a share of the limit.
func (s *scale) busy(part float64) bool {
	return s.window.n >= minSamples && s.window.load > part*float64(s.window.n)
}

// startLow brings the load down if it was not low for a period.
func (s *scale) startLow(now time.Time) {
	due := s.low.lastLow.Truncate(s.low.period).Add(s.low.period)
	if !s.low.known {
		due = s.low.lastLow
	}
	if !s.low.from.IsZero() || now.Before(due) || now.Sub(now.Truncate(s.low.period)) >= atOnce || !s.busy(lowShare) || !s.measured {
		return
	}
	s.low.from, s.since = now, now
	s.restart()
}

// endLow ends the phase of lowered load when it is due; ratio is the relative latency in it.
func (s *scale) endLow(now time.Time, ratio float64) {
	passed := now.Sub(s.low.from)
	if passed < s.lowFor() || (s.window.n < lowSamples && passed < maxLowFor) {
		return
	}
	s.low.lastLow = now
	// The other daemons must have lowered their load as well, or the phase tells nothing.
	switch {
	case s.window.n < lowSamples:
		s.low.period = lowPeriodRare // too few requests; costs less if it is seldom tried
	case !s.busy(followed):
		s.judgeLow(now, ratio)
	}
	s.low.from, s.since = time.Time{}, now
	s.restart()
}

// judgeLow takes the relative latency at lowered load.
func (s *scale) judgeLow(now time.Time, ratio float64) {
	s.low.known = true
	if s.busy(busyShare) && ratio < fellShare*s.ratio {
		// The latency fell with the load, so that the load was too high.
		s.low.period = lowPeriod
		s.stretch(ratio)
		s.measured = true
		before := s.factor
		s.set(before * lowScale)
		if s.factor == before {
			s.low.period = lowPeriodRare // it can't be lower
		}
		return
	}
	s.low.period = s.nextPeriod(ratio)
	s.learn(now, ratio)
}

// nextPeriod returns the period after a phase of lowered load that showed nothing new. While the declared slots are
// trusted each is twice as long as the one before. They divide each other, so that daemons with different periods still
// lower their load together.
func (s *scale) nextPeriod(ratio float64) time.Duration {
	if s.factor != 1 {
		return lowPeriod
	}
	if ratio >= sameShare*s.ratio {
		return lowPeriodRare
	}
	return min(2*s.low.period, lowPeriodRare)
}

// lowFor returns how long a phase of lowered load lasts.
func (s *scale) lowFor() time.Duration {
	return min(max(minLowFor, seconds((settleMeans+windowMeans)*s.typical)), maxLowFor)
}

func (s *scale) decide(now time.Time, ratio, load float64) {
	if load <= lowShare {
		s.learn(now, ratio)
		s.low.known = true
		s.armed = false
		if s.grown > 0 {
			s.set(s.grown) // the load went away before the raise showed anything
		}
		return
	}
	if s.cutFrom > 0 && s.undo(ratio) {
		return
	}
	if !s.low.known {
		s.learnKinds()
		return
	}
	if ratio < clearFall {
		s.stretch(ratio)
		s.armed = false // the ratio of this window says nothing
		return
	}
	grown := s.grown
	s.grown, s.armed = 0, false
	s.react(now, ratio, load, grown)
}

// react compares a window at high load with the latency at low load. grown is the factor before a raise that the window
// was to judge, or 0.
func (s *scale) react(now time.Time, ratio, load, grown float64) {
	switch {
	case ratio > cutRatio && grown == 0 && ratio < clearRatio && !s.doubt:
		s.doubt = true
		return
	case ratio > cutRatio:
		s.cut(now, ratio, load/ratio, grown)
	case grown > 0 && load < fullShare:
		// Other daemons did not raise. Keeps what was in use, and these see that more works.
		s.set(max(grown, s.factor*load))
	case ratio <= growRatio && load >= aboveShare && s.factor >= 1 && s.factor < maxOff:
		// Other daemons have raised. Below 1 it is rather that they have not come down yet.
		s.set(s.factor * load)
	case ratio <= growRatio && load >= busyShare:
		if grown > 0 {
			s.wait = minWait
		}
		s.armed = s.low.known && !now.Before(s.growAt) && s.factor < maxOff
	case grown > 0:
		s.set(grown) // not clear
	}
	s.doubt = false
}

// learn takes a window at low load.
func (s *scale) learn(now time.Time, ratio float64) {
	s.low.lastLow = now
	if ratio < clearFall && s.window.n >= windowSamples {
		s.stretch(ratio)
		return
	}
	s.learnKinds()
}

// cut lowers the factor to part of it. If it was raised from grown just before, it does not go below that.
func (s *scale) cut(now time.Time, ratio, part, grown float64) {
	before := s.factor
	s.set(max(s.factor*min(max(part, maxCut), 1), grown))
	if grown > 0 {
		s.growAt = now.Add(s.wait)
		s.wait = min(2*s.wait, maxWait)
		return
	}
	if s.factor <= undoBelow*before {
		s.cutFrom, s.cutMean = before, ratio
	}
}

// undo takes a cut back that did not lower the latency by at least half of what it would have if the load were the
// cause. The requests take longer whatever the load is, so that their latency is the new base.
func (s *scale) undo(ratio float64) bool {
	expected := s.cutMean * (1 + s.factor/s.cutFrom) / 2
	from := s.cutFrom
	s.cutFrom = 0
	if ratio <= expected {
		return false
	}
	s.set(from)
	s.stretch(ratio)
	return true
}

func (s *scale) set(factor float64) {
	s.cutFrom, s.grown, s.armed = 0, 0, false
	s.factor = min(max(factor, 1.0/maxOff), maxOff)
	if s.factor < 1+resolution && s.factor > 1/(1+resolution) {
		s.factor = 1
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
