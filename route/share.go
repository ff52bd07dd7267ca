package route

import (
	"math"
)

// Thresholds and steps of the limit of one instance.
const (
	// shareSamples is how many latencies a decision about one instance averages; their mean is off by 12.5%.
	shareSamples = 64
	// shareSlowRatio is the mean latency, relative to that of the service, above which the share of an instance is lowered.
	shareSlowRatio = 2
	// shareClearSamples is how many samples are enough when the latency is above twice shareSlowRatio.
	shareClearSamples = 16
	// shareStep is the factor by which a lowered share is raised again.
	shareStep = 1.25
)

// share is the part of the corrected slots that an instance gets; it is below 1 if the instance is slower than the others
// of its service.
type share struct {
	factor  float64 // between 1/maxCorrection and 1
	latency float64 // sum of latencies relative to those of the service
	load    float64 // sum of loads relative to the limit
	n       int     // samples in the sums
}

// observe records a latency of the instance relative to those of the service, and the load relative to the limit. It
// returns true if the factor changed.
func (s *share) observe(relative, load float64) bool {
	if relative == 0 {
		return false
	}
	s.latency += relative
	s.load += load
	s.n++
	ratio := s.latency / float64(s.n)
	if s.n < shareSamples && (s.n < shareClearSamples || ratio < 2*shareSlowRatio) {
		return false
	}
	load = s.load / float64(s.n)
	before := s.factor
	switch {
	case ratio > shareSlowRatio:
		s.factor = max(s.factor*min(max(load/ratio, maxCut), 1), 1.0/maxCorrection)
	case ratio < cutRatio:
		s.factor = min(s.factor*shareStep, 1)
	}
	s.latency, s.load, s.n = 0, 0, 0
	return s.factor != before
}

// limitOf returns how many requests may be in flight at an instance, at least 1. factor corrects the declared slots of
// its service.
func (e *entry) limitOf(factor float64) int {
	return max(int(math.Round(float64(max(e.up.Slots, 1))*factor*e.share.factor)), 1)
}
