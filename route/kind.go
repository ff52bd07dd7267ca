package route

// kindTime is the usual latency of one kind of work. Latencies are compared with that of their own kind, since the mean
// over all would follow the mix of kinds.
type kindTime struct {
	norm  float64 // seconds at low load; 0 while unknown
	count float64 // latencies that norm averages, as far as they are counted
	sum   float64 // of the current window, in seconds
	n     float64 // of the current window
}

// relative returns a latency relative to the usual one of its kind. It returns false while that is unknown.
func (s *scale) relative(kind string, latency float64) (float64, bool) {
	k := s.kinds[kind]
	if k == nil {
		if s.kinds == nil {
			s.kinds = map[string]*kindTime{}
		}
		k = &kindTime{}
		s.kinds[kind] = k
	}
	k.sum += latency
	k.n++
	if k.norm > 0 {
		return latency / k.norm, true
	}
	if k.n >= sparseSamples {
		// Whatever the load is now, the others are off by the last ratio.
		k.norm, k.count = k.sum/k.n/max(s.ratio, 1), k.n
	}
	return 0, false
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
