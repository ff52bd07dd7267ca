package route

import (
	"time"
)

// kindTime is the usual latency of one kind of work. Latencies are compared with that of their own kind, since the mean
// over all would follow the mix of kinds.
type kindTime struct {
	norm  float64   // seconds at low load; 0 while unknown
	count float64   // latencies that norm averages, as far as they are counted
	sum   float64   // of the current window, in seconds
	n     float64   // of the current window
	from  time.Time // when the latencies that norm is first taken from begin to count
	brief float64   // mean of the first latencies in seconds, from which only their length is taken; 0 while unknown
}

// relative returns a latency relative to the usual one of its kind. It returns false while that is unknown.
func (s *scale) relative(now time.Time, kind string, latency float64) (float64, bool) {
	k := s.kinds[kind]
	if k == nil {
		if s.kinds == nil {
			s.kinds = map[string]*kindTime{}
		}
		k = &kindTime{}
		s.kinds[kind] = k
	}
	if now.Before(k.from) {
		return 0, false
	}
	k.sum += latency
	k.n++
	switch {
	case k.norm > 0:
		return latency / k.norm, true
	case k.brief == 0:
		k.settle(now)
	case k.n >= s.enough() && now.Sub(k.from) >= seconds(windowMeans*k.brief):
		// Whatever the load is now, the others are off by the last ratio.
		k.norm, k.count = k.sum/k.n/max(s.ratio, 1), k.n
	}
	return 0, false
}

// enough returns how many latencies the usual one of a new kind is taken from. While no kind is known, few do, since there is
// nothing else to tell the load by. Later the mean of few would be off by too much: it is compared with cutRatio.
func (s *scale) enough() float64 {
	for _, k := range s.kinds {
		if k.norm > 0 {
			return windowSamples
		}
	}
	return sparseSamples
}

// settle takes from the first latencies of a kind only how long they are: when its requests begin, the short ones end
// first, and their mean is below that of all.
func (k *kindTime) settle(now time.Time) {
	if k.n < minSamples {
		return
	}
	k.brief = k.sum / k.n
	k.from = now.Add(seconds(settleMeans * k.brief))
	k.sum, k.n = 0, 0
}

// usual returns the usual latency of a kind in seconds, or 0 while it is unknown.
func (s *scale) usual(kind string) float64 {
	if k := s.kinds[kind]; k != nil {
		return k.norm
	}
	return 0
}

// learnKinds takes the latencies of the current window for those at low load.
func (s *scale) learnKinds() {
	s.ratio = 1
	for _, k := range s.kinds {
		if k.n == 0 || k.norm == 0 {
			continue
		}
		k.count += k.n
		weight := max(learnWeight*min(k.n/windowSamples, 1), k.n/k.count)
		k.norm += weight * (k.sum/k.n - k.norm)
	}
}

// stretch multiplies the usual latencies of all kinds.
func (s *scale) stretch(factor float64) {
	s.ratio = 1
	for _, k := range s.kinds {
		k.norm *= factor
		k.count = min(k.count, windowSamples)
	}
}

// restart begins a new window.
func (s *scale) restart() {
	s.window = window{}
	for _, k := range s.kinds {
		if k.norm > 0 {
			k.sum, k.n = 0, 0
		}
	}
}
