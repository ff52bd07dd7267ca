package route

import (
	"time"
)

// kindLatency tracks the baseline latency of one kind of work: its mean at low load. Latencies are compared with the
// baseline of their own kind, since a mean over all kinds would change with the mix of kinds.
type kindLatency struct {
	baseline  float64   // mean latency at low load in seconds; 0 while unknown
	count     float64   // number of latencies averaged in baseline; capped by scaleBaselines
	sum       float64   // sum of the latencies in the current window, in seconds
	n         float64   // number of latencies in the current window
	from      time.Time // earlier latencies are ignored
	roughMean float64   // mean of the first latencies in seconds, only used to size the first window; 0 while unknown
}

// relative returns the ratio of a latency to the baseline of its kind. It returns false while the baseline is unknown.
func (s *scale) relative(now time.Time, kind string, latency float64) (float64, bool) {
	k := s.kinds[kind]
	if k == nil {
		if s.kinds == nil {
			s.kinds = map[string]*kindLatency{}
		}
		k = &kindLatency{}
		s.kinds[kind] = k
	}
	if now.Before(k.from) {
		return 0, false
	}
	k.sum += latency
	k.n++
	switch {
	case k.baseline > 0:
		return latency / k.baseline, true
	case k.roughMean == 0:
		k.estimateMean(now)
	case k.n >= s.requiredSamples() && now.Sub(k.from) >= seconds(windowMeans*k.roughMean):
		// The load may be high now: divide by the ratio that the other kinds showed in the last window.
		k.baseline, k.count = k.sum/k.n/max(s.ratio, 1), k.n
	}
	return 0, false
}

// requiredSamples returns how many latencies the first baseline of a kind needs. While no kind has a baseline,
// lowLoadSamples are enough, since nothing else shows the load. Later the mean of so few is too inaccurate for the
// comparison with cutRatio.
func (s *scale) requiredSamples() float64 {
	for _, k := range s.kinds {
		if k.baseline > 0 {
			return windowSamples
		}
	}
	return lowLoadSamples
}

// estimateMean computes roughMean from the first latencies of a kind. They are not averaged in the baseline: when
// requests of a kind start to arrive, the short ones end first, so that the mean is too low.
func (k *kindLatency) estimateMean(now time.Time) {
	if k.n < minSamples {
		return
	}
	k.roughMean = k.sum / k.n
	k.from = now.Add(seconds(settleMeans * k.roughMean))
	k.sum, k.n = 0, 0
}

// baseline returns the baseline latency of a kind in seconds, or 0 while it is unknown.
func (s *scale) baseline(kind string) float64 {
	if k := s.kinds[kind]; k != nil {
		return k.baseline
	}
	return 0
}

// updateBaselines updates the baselines from the latencies of the current window. It is called for windows at low load
// and, before the first of these, also for other windows.
func (s *scale) updateBaselines() {
	s.ratio = 1
	for _, k := range s.kinds {
		if k.n == 0 || k.baseline == 0 {
			continue
		}
		k.count += k.n
		weight := max(baselineWeight*min(k.n/windowSamples, 1), k.n/k.count)
		k.baseline += weight * (k.sum/k.n - k.baseline)
	}
}

// scaleBaselines multiplies the baselines of all kinds by a factor.
func (s *scale) scaleBaselines(factor float64) {
	s.ratio = 1
	for _, k := range s.kinds {
		k.baseline *= factor
		k.count = min(k.count, windowSamples)
	}
}

// resetWindow starts a new window.
func (s *scale) resetWindow() {
	s.window = window{}
	for _, k := range s.kinds {
		if k.baseline > 0 {
			k.sum, k.n = 0, 0
		}
	}
}
