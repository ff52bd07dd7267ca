package route

import (
	"math"
)

// Steps of the limit of one instance.
const (
	// shareSamples is how many latencies a decision about one instance averages; their mean is off by 12.5%.
	shareSamples = 64
	// shareSlow is the mean latency relative to that of the service above which an instance gets less.
	shareSlow = 2
	// shareClear is how many samples suffice when the latency is above twice that.
	shareClear = 16
	// shareStep is the factor by which its part grows again.
	shareStep = 1.25
)

// share is by how much one instance gets less than the others of its service, because it is slower.
type share struct {
	factor  float64 // between 1/maxOff and 1
	latency float64 // sum, relative to the service
	load    float64 // sum, relative to the limit
	n       int
}

// observe takes a latency of the instance relative to those of the service, and the load relative to the limit. It returns true if the factor changed.
func (s *share) observe(relative, load float64) bool {
	if relative == 0 {
		return false
	}
	s.latency += relative
	s.load += load
	s.n++
	ratio := s.latency / float64(s.n)
	if s.n < shareSamples && (s.n < shareClear || ratio < 2*shareSlow) {
		return false
	}
	load = s.load / float64(s.n)
	before := s.factor
	switch {
	case ratio > shareSlow:
		s.factor = max(s.factor*min(max(load/ratio, maxCut), 1), 1.0/maxOff)
	case ratio < cutRatio:
		s.factor = min(s.factor*shareStep, 1)
	}
	s.latency, s.load, s.n = 0, 0, 0
	return s.factor != before
}

// limitOf returns how many requests may be in flight at an instance when the declared slots of its service are off by a
// factor; it is at least 1.
func (e *entry) limitOf(factor float64) int {
	return max(int(math.Round(float64(max(e.up.Slots, 1))*factor*e.share.factor)), 1)
}
