package route

import (
	"time"
)

// Bounds and steps of the adaptive limits. A ratio is a mean latency relative to the baseline, the latency at low load.
const (
	// maxCorrection is the factor by which declared slots may be wrong in either direction.
	maxCorrection = 5
	// windowSamples is how many latencies a decision averages. With service times that are distributed exponentially
	// the mean of 256 is off by 6% (one standard deviation), which the ratios below allow for.
	windowSamples = 256
	// lowLoadSamples is how many latencies are enough for a window at low load; their mean is off by 12.5%.
	lowLoadSamples = 64
	// minSamples is how many samples are enough to estimate the load.
	minSamples = 16
	// maxRaiseTrial is how long the window after a raise may take; then the raise is undone.
	maxRaiseTrial = 3 * time.Second
	// settleMeans is the time, in mean latencies, for which latencies are ignored after a change; windowMeans is the
	// shortest length of a window. In a shorter window only short requests would end.
	settleMeans = 4
	windowMeans = 6
	// cutRatio is the ratio above which the factor is lowered.
	cutRatio = 1.25
	// clearRatio is the ratio from which one window is enough to lower the factor. Below it two windows in a row must be
	// above cutRatio, since 1% of the windows exceed cutRatio by chance.
	clearRatio = 1.5
	// deadBand is the error of the declared slots up to which they are used unchanged: at a limit that is too high by
	// one, nearly every request to a busy instance exceeds its slots.
	deadBand = 0.3
	// clearDrop is the ratio below which the baselines are replaced at once.
	clearDrop = 0.7
	// baselineWeight is the smallest weight of a full window when a baseline is updated. The weight is larger while the
	// baseline is the mean of few latencies.
	baselineWeight = 0.3
	// growRatio is the ratio up to which the factor may be raised.
	growRatio = 1.15
	// growStep multiplies the factor in one raise, and maxCut in the largest cut. A raise by half shows clearly in one
	// window whether the instances have the added slots; if they have only some of these, the next cut removes the others.
	growStep = 1.5
	maxCut   = 0.5
	// growPeriod is the wall-clock period at whose start raises happen, so that all daemons raise at the same time. If
	// only one of them sent more, the load would hardly rise and the latency would show nothing.
	growPeriod = 4 * time.Second
	// syncTolerance is how long after the start of a period a synchronised change may still be made.
	syncTolerance = 500 * time.Millisecond
	// evalShare is the part of a raised limit that must be in use to evaluate the raise. With less in use, too few
	// daemons have raised their limits for the latency to change.
	evalShare = 0.9
	// excessLoad is the load of an instance, as a multiple of its limit at this daemon, from which other daemons must have
	// a higher limit.
	excessLoad = 1.1
	// undoBelow is the largest ratio of the factor after a cut to the factor before the cut for which the effect of the cut
	// is checked; the effect of a smaller cut is lost in noise.
	undoBelow = 0.75
	// busyShare is the part of the limit above which the instances count as saturated; lowShare is the part up to which
	// the load counts as low.
	busyShare = 0.8
	lowShare  = 0.5
	// minRaisePause and maxRaisePause bound the pause after a raise that was too large; the pause doubles each time.
	minRaisePause = 64 * time.Second
	maxRaisePause = 5 * time.Minute
	// If the instances are never at low load, the daemons lower their load on purpose for a short phase, since the baseline
	// can't be measured otherwise. All daemons start a phase at the same time, at multiples of lowPeriod on the wall clock.
	// After phases that showed nothing new the period grows up to lowPeriodRare.
	lowPeriod      = 3 * growPeriod
	lowPeriodRare  = 24 * growPeriod
	minLowDuration = time.Second
	maxLowDuration = 8 * time.Second
	followedLoad   = 1.3 // load relative to the lowered limit above which some daemons did not lower their load
	// If the mean latency in a phase of lowered load is below fellRatio times the mean latency before the phase, the load
	// was too high before. The latency then falls to lowScale times that mean; comparing 256 with 160 latencies is off by
	// 10%.
	fellRatio      = 0.75
	unchangedRatio = 0.9 // from this multiple of the latency before the phase, the latency counts as unchanged
	lowSamples     = 160 // fewest latencies from which a phase is evaluated
	lowScale       = 0.6 // multiplies the limits in a phase
)

// scale estimates the factor between the declared and the real slots of a service from the latencies of all its
// instances. Up to the real capacity the latency does not depend on the load; above, it grows in proportion.
type scale struct {
	factor      float64 // between 1/maxCorrection and maxCorrection
	kinds       map[string]*kindLatency
	ratio       float64 // mean latency of the last window relative to the baselines
	measured    bool    // ratio was measured with the present factor
	window      window
	since       time.Time // time of the last change
	meanLatency float64   // mean latency of the last window in seconds
	raiseAfter  time.Time // no raise before this time
	raisePause  time.Duration
	unconfirmed bool    // the last window was above cutRatio, but below clearRatio
	raiseDue    bool    // raise at the start of the next period
	raisedFrom  float64 // factor before the last change if that was a raise, else 0
	cutFrom     float64 // factor before the last change if that was a cut, else 0
	ratioAtCut  float64 // ratio before that cut
	low         lowPhase
	reduced     bool // some listed instances are not active
}

// window holds the sums over the samples of one window.
type window struct {
	latency float64 // seconds
	ratio   float64 // latencies relative to the baselines of their kinds
	load    float64 // relative to the limit of the instance
	n       int
}

// lowPhase is the state of the phases in which the load is lowered on purpose.
type lowPhase struct {
	lastLow       time.Time // time of the last window at low load
	from          time.Time // start of the current phase; zero if there is none
	period        time.Duration
	baselineKnown bool // the baseline was measured at low load, so that limits may be raised
}

func newScale() scale {
	return scale{factor: 1, ratio: 1, raisePause: minRaisePause, low: lowPhase{period: lowPeriod}}
}

// effectiveFactor returns the factor to apply to declared slots now.
func (s *scale) effectiveFactor(now time.Time) float64 {
	if s.lowered(now) {
		return s.factor * lowScale
	}
	return s.factor
}

func (s *scale) lowered(now time.Time) bool {
	return !s.low.from.IsZero() && now.Sub(s.low.from) < maxLowDuration
}

// observe records the latency of a request of a kind, and the load of its instance relative to its limit. It returns
// the latency relative to the baseline of the kind, or 0 while the baseline is unknown or latencies are ignored.
func (s *scale) observe(now time.Time, kind string, latency time.Duration, load float64) float64 {
	if s.since.IsZero() {
		s.since, s.low.lastLow = now, now
	}
	if now.Sub(s.since) < seconds(settleMeans*s.meanLatency) {
		s.startSynced(now)
		return 0
	}
	if s.meanLatency == 0 {
		s.estimateMean(now, latency)
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

// slowdown returns the current latency of the service relative to that at low load, at least 1.
func (s *scale) slowdown() float64 {
	if s.window.n >= minSamples {
		return max(s.window.ratio/float64(s.window.n), 1)
	}
	return max(s.ratio, 1)
}

// advance handles a new sample: it ends a phase of lowered load or a complete window when that is due.
func (s *scale) advance(now time.Time) {
	n := float64(s.window.n)
	mean, ratio := s.window.latency/n, s.window.ratio/n
	switch {
	case !s.low.from.IsZero():
		s.endLow(now, ratio)
	case !s.complete(now, mean):
		s.startSynced(now)
	default:
		s.meanLatency = mean
		before := s.factor
		s.ratio, s.measured = ratio, true
		s.decide(now, ratio, s.window.load/n)
		s.resetWindow()
		if s.factor != before {
			s.since, s.measured = now, false
			return
		}
		s.startSynced(now)
	}
}

// estimateMean sets meanLatency from the first latencies, so that the first window is not too short. These latencies
// are used for nothing else.
func (s *scale) estimateMean(now time.Time, latency time.Duration) {
	s.window.latency += latency.Seconds()
	s.window.n++
	if s.window.n < minSamples {
		return
	}
	s.meanLatency, s.since = s.window.latency/float64(s.window.n), now
	s.resetWindow()
}

// complete reports whether the window is long enough for a decision. At low load fewer latencies are enough, since they
// only update the baselines.
func (s *scale) complete(now time.Time, mean float64) bool {
	if now.Sub(s.since) < seconds((settleMeans+windowMeans)*mean) {
		return false
	}
	return s.window.n >= windowSamples || (s.window.n >= lowLoadSamples && !s.busy(lowShare))
}

// startSynced undoes a raise that could not be evaluated in time, and starts the changes that all daemons make at the same
// time: a raise or a phase of lowered load.
func (s *scale) startSynced(now time.Time) {
	if s.raisedFrom > 0 && now.Sub(s.since) > max(maxRaiseTrial, s.lowDuration()) {
		s.set(s.raisedFrom) // the load fell before the raise could be evaluated
		s.since = now
		s.resetWindow()
		return
	}
	if now.Sub(now.Truncate(growPeriod)) >= syncTolerance {
		return
	}
	if s.raiseDue && s.busy(busyShare) {
		from := s.factor
		s.set(from * growStep)
		s.raisedFrom, s.since, s.measured = from, now, false
		s.resetWindow()
		return
	}
	s.startLow(now)
}

// busy reports whether the load in the current window is above a share of the limit.
func (s *scale) busy(part float64) bool {
	return s.window.n >= minSamples && s.window.load > part*float64(s.window.n)
}

// startLow starts a phase of lowered load at the start of a period, if the load was last low in an earlier period or the
// baseline was never measured at low load. While instances are out, a phase would add to the loss of capacity: if the last
// one showed nothing new, the next one waits until lowPeriodRare has passed.
func (s *scale) startLow(now time.Time) {
	due := s.low.lastLow.Truncate(s.low.period).Add(s.low.period)
	switch rare := s.low.lastLow.Add(lowPeriodRare); {
	case !s.low.baselineKnown:
		due = s.low.lastLow
	case s.reduced && s.low.period > lowPeriod && rare.After(due):
		due = rare
	}
	if !s.low.from.IsZero() || now.Before(due) || now.Sub(now.Truncate(s.low.period)) >= syncTolerance || !s.busy(lowShare) || !s.measured {
		return
	}
	s.low.from, s.since = now, now
	s.resetWindow()
}

// endLow ends the phase of lowered load when that is due; ratio is the mean latency in the phase relative to the baselines.
func (s *scale) endLow(now time.Time, ratio float64) {
	passed := now.Sub(s.low.from)
	if passed < s.lowDuration() || (s.window.n < lowSamples && passed < maxLowDuration) {
		return
	}
	s.low.lastLow = now
	// The result is valid only if the other daemons lowered their load as well.
	switch {
	case s.window.n < lowSamples:
		s.low.period = lowPeriodRare // too few requests to evaluate, so try rarely
	case !s.busy(followedLoad):
		s.evaluateLow(now, ratio)
	}
	s.low.from, s.since = time.Time{}, now
	s.resetWindow()
}

// evaluateLow compares the ratio at lowered load with the one before: it lowers the factor if the latency fell with the
// load, and updates the baselines otherwise.
func (s *scale) evaluateLow(now time.Time, ratio float64) {
	s.low.baselineKnown = true
	if s.busy(busyShare) && ratio < fellRatio*s.ratio {
		// The latency fell with the load: the load was too high before.
		s.low.period = lowPeriod
		s.scaleBaselines(ratio)
		s.measured = true
		before := s.factor
		s.set(before * lowScale)
		if s.factor == before {
			s.low.period = lowPeriodRare // the factor is at its minimum
		}
		return
	}
	s.low.period = s.nextPeriod(ratio)
	s.recordLowLoad(now, ratio)
}

// nextPeriod returns the period after a phase of lowered load that showed nothing new. While the factor is 1 the period
// doubles each time, or becomes lowPeriodRare at once if the latency did not change with the load. Longer periods are
// multiples of shorter ones, so that daemons with different periods still lower their load together.
func (s *scale) nextPeriod(ratio float64) time.Duration {
	if s.factor != 1 {
		return lowPeriod
	}
	if ratio >= unchangedRatio*s.ratio {
		return lowPeriodRare
	}
	return min(2*s.low.period, lowPeriodRare)
}

// lowDuration returns how long a phase of lowered load lasts.
func (s *scale) lowDuration() time.Duration {
	return min(max(minLowDuration, seconds((settleMeans+windowMeans)*s.meanLatency)), maxLowDuration)
}

func (s *scale) decide(now time.Time, ratio, load float64) {
	if load <= lowShare {
		s.recordLowLoad(now, ratio)
		s.low.baselineKnown = true
		s.raiseDue = false
		if s.raisedFrom > 0 {
			s.set(s.raisedFrom) // the load fell before the raise could be evaluated
		}
		return
	}
	if s.cutFrom > 0 && s.undo(ratio) {
		return
	}
	if !s.low.baselineKnown {
		s.updateBaselines()
		return
	}
	if ratio < clearDrop {
		s.scaleBaselines(ratio)
		s.raiseDue = false // the ratio of this window refers to the old baselines
		return
	}
	raisedFrom := s.raisedFrom
	s.raisedFrom, s.raiseDue = 0, false
	s.adjust(now, ratio, load, raisedFrom)
}

// adjust changes the factor after a window at high load. raisedFrom is the factor before a raise that this window
// evaluates, or 0.
func (s *scale) adjust(now time.Time, ratio, load, raisedFrom float64) {
	switch {
	case ratio > cutRatio && raisedFrom == 0 && ratio < clearRatio && !s.unconfirmed:
		s.unconfirmed = true
		return
	case ratio > cutRatio:
		s.cut(now, ratio, load/ratio, raisedFrom)
	case raisedFrom > 0 && load < evalShare:
		// Other daemons did not raise their limits. If this daemon keeps the load that was reached, the latencies
		// at the other daemons show that the instances can carry it.
		s.set(max(raisedFrom, s.factor*load))
	case ratio <= growRatio && load >= excessLoad && s.factor >= 1 && s.factor < maxCorrection:
		// Other daemons have raised their limits. With a factor below 1 it is more likely that they have not
		// lowered them yet.
		s.set(s.factor * load)
	case ratio <= growRatio && load >= busyShare:
		if raisedFrom > 0 {
			s.raisePause = minRaisePause
		}
		s.raiseDue = s.low.baselineKnown && !now.Before(s.raiseAfter) && s.factor < maxCorrection
	case raisedFrom > 0:
		s.set(raisedFrom) // the effect of the raise is unclear
	}
	s.unconfirmed = false
}

// recordLowLoad updates the baselines from a window at low load.
func (s *scale) recordLowLoad(now time.Time, ratio float64) {
	s.low.lastLow = now
	if ratio < clearDrop && s.window.n >= windowSamples {
		s.scaleBaselines(ratio)
		return
	}
	s.updateBaselines()
}

// cut multiplies the factor by part, which it limits to between maxCut and 1. The factor does not fall below raisedFrom,
// its value before the last change if that was a raise, else 0.
func (s *scale) cut(now time.Time, ratio, part, raisedFrom float64) {
	before := s.factor
	s.set(max(s.factor*min(max(part, maxCut), 1), raisedFrom))
	if raisedFrom > 0 {
		s.raiseAfter = now.Add(s.raisePause)
		s.raisePause = min(2*s.raisePause, maxRaisePause)
		return
	}
	if s.factor <= undoBelow*before {
		s.cutFrom, s.ratioAtCut = before, ratio
	}
}

// undo reverts a cut after which the latency fell by less than half of what is expected if the load was the cause. The
// requests then take longer at any load, and their latency becomes the new baseline.
func (s *scale) undo(ratio float64) bool {
	expected := s.ratioAtCut * (1 + s.factor/s.cutFrom) / 2
	from := s.cutFrom
	s.cutFrom = 0
	if ratio <= expected {
		return false
	}
	s.set(from)
	s.scaleBaselines(ratio)
	return true
}

func (s *scale) set(factor float64) {
	s.cutFrom, s.raisedFrom, s.raiseDue = 0, 0, false
	s.factor = min(max(factor, 1.0/maxCorrection), maxCorrection)
	if s.factor < 1+deadBand && s.factor > 1/(1+deadBand) {
		s.factor = 1
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
