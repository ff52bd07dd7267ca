package pools

import "time"

// Parameters of the forecast.
const (
	// A peak of a service starts when its demand exceeds peakStartFactor times its mean demand, and ends when its demand
	// falls below peakEndFactor times its mean demand.
	peakStartFactor = 1.6
	peakEndFactor   = 0.8
	// meanTimeConstant is the time constant of the exponential moving average that is the mean demand.
	meanTimeConstant = 10 * time.Second
	// leadTime is how long before a peak hosts have to be ordered. It covers a move and the first contact with the worker.
	leadTime = 2300 * time.Millisecond
	// startTolerance is how long after its expected start a peak that has not started is still expected.
	startTolerance = 1200 * time.Millisecond
	// firstPeakFactor is the expected demand of a service's first peak, and the least expected demand of later peaks, as a
	// factor of the capacity of its initial pool.
	firstPeakFactor = 1.6
	// maxRiseTime is the longest time for which the demand of a peak rises.
	maxRiseTime = 3 * time.Second
	// minPeakShare is the fraction of the capacity of a service's initial pool that its demand also has to exceed for a
	// peak to start.
	minPeakShare = 0.5
)

// Forecast predicts demand that peaks in one service after the other. It assumes that all peaks take equally long, and
// that after the peak of a service the same service peaks as last time, or if that is unknown, the service whose last
// peak is the longest ago. It must be created with NewForecast.
type Forecast struct {
	services    map[string]*series
	lastService string            // service with the most recent peak
	lastStart   time.Time         // start of that peak
	interval    time.Duration     // smoothed time between the starts of consecutive peaks; 0: unknown
	successors  map[string]string // by service: the service whose peak followed
}

// series is the observed demand of one service.
type series struct {
	baseCores   float64   // cores of its initial pool
	mean        float64   // moving average of the demand in cores
	observedAt  time.Time // time of the last observation
	peakStart   time.Time // start of its last peak; zero: it has had none
	peakCores   float64   // highest demand of its last peak in cores
	inPeak      bool      // a peak is in progress
	inPeakSince time.Time // when inPeak last became true
}

// NewForecast returns a forecast without observations.
func NewForecast() *Forecast {
	return &Forecast{services: map[string]*series{}, successors: map[string]string{}}
}

// Observe records the present demand of a service. baseCores is the number of cores of its initial pool.
func (f *Forecast) Observe(now time.Time, service string, cores, baseCores float64) {
	s := f.services[service]
	if s == nil {
		s = &series{observedAt: now, baseCores: baseCores}
		f.services[service] = s
	}
	weight := min(1, now.Sub(s.observedAt).Seconds()/meanTimeConstant.Seconds())
	s.observedAt = now
	s.mean += weight * (cores - s.mean)
	switch {
	case !s.inPeak && cores > peakStartFactor*s.mean && cores > minPeakShare*baseCores:
		s.inPeak, s.inPeakSince = true, now
		s.peakCores = cores
		f.recordPeakStart(now, service, s)
	case s.inPeak && cores < peakEndFactor*s.mean:
		s.inPeak = false
	}
	if s.inPeak {
		s.peakCores = max(s.peakCores, cores)
	}
}

// recordPeakStart records the start of a peak. Unless the previous peak is at least twice the interval ago, it also
// updates the interval and records the service as the successor of the previous one. A further peak of the same service
// is ignored.
func (f *Forecast) recordPeakStart(now time.Time, service string, s *series) {
	if f.lastService != "" && f.lastService != service {
		since := now.Sub(f.lastStart)
		if f.interval == 0 || since < 2*f.interval {
			if f.interval == 0 {
				f.interval = since
			}
			f.interval += (since - f.interval) / 2
			f.successors[f.lastService] = service
		}
	}
	if f.lastService == service {
		return
	}
	s.peakStart, f.lastService, f.lastStart = now, service, now
}

// HasPeaked reports whether a service has had a peak.
func (f *Forecast) HasPeaked(service string) bool {
	s := f.services[service]
	return s != nil && !s.peakStart.IsZero()
}

// MayRise reports whether the demand of a service may rise further: it has no peak in progress, or one that has just
// started.
func (f *Forecast) MayRise(now time.Time, service string) bool {
	s := f.services[service]
	return s == nil || !s.inPeak || now.Sub(s.inPeakSince) <= maxRiseTime
}

// Peaking reports whether the most recent peak is that of a service and should not be over yet.
func (f *Forecast) Peaking(now time.Time, service string) bool {
	return f.lastService == service && (f.interval == 0 || now.Sub(f.lastStart) < f.interval)
}

// RisingDemand returns the expected highest demand of a service whose peak has just started, in cores.
func (f *Forecast) RisingDemand(now time.Time, service string) (float64, bool) {
	s := f.services[service]
	if s == nil || !s.inPeak || f.lastService != service || now.Sub(s.peakStart) > maxRiseTime {
		return 0, false
	}
	return max(s.peakCores, firstPeakFactor*s.baseCores), true
}

// ExpectedDemand returns the expected highest demand of a service whose peak is about to start, in cores.
func (f *Forecast) ExpectedDemand(now time.Time, service string) (float64, bool) {
	if f.interval == 0 {
		return 0, false
	}
	next, known := f.nextService()
	s := f.services[service]
	if s == nil || (known && next != service) || (!known && !s.peakStart.IsZero()) {
		return 0, false
	}
	until := f.lastStart.Add(f.interval).Sub(now)
	if until > leadTime || until < -startTolerance {
		return 0, false
	}
	return max(s.peakCores, firstPeakFactor*s.baseCores), true
}

// nextService returns the service whose peak is expected next, or false if that is unknown: no successor is recorded and
// several services have had no peak.
func (f *Forecast) nextService() (string, bool) {
	if n, ok := f.successors[f.lastService]; ok {
		return n, true
	}
	oldest, at, withoutPeak := "", time.Time{}, 0
	for name, s := range f.services {
		switch {
		case name == f.lastService:
		case s.peakStart.IsZero():
			oldest = name
			withoutPeak++
		case withoutPeak == 0 && (oldest == "" || s.peakStart.Before(at)):
			oldest, at = name, s.peakStart
		}
	}
	return oldest, withoutPeak < 2
}
