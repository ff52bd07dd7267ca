package pools

import "time"

// Figures of the forecast.
const (
	// risesAbove is how far over its mean the demand of a service is during its peak.
	risesAbove = 1.6
	// fallsBelow ends a peak.
	fallsBelow = 0.8
	// meanTime is the time constant of the mean.
	meanTime = 10 * time.Second
	// leadTime is how long before a peak hosts have to be ordered: a move and the first contact with the worker.
	leadTime = 2300 * time.Millisecond
	// lateTime is how long after its expected start a peak is still expected.
	lateTime = 1200 * time.Millisecond
	// unseenShare is the part of its first pool that a service is expected to ask for in its first peak.
	unseenShare = 1.6
	// riseTime is how long the demand of a peak rises at most.
	riseTime = 3 * time.Second
	// baseShare is the part of its first pool that a service asks for during its peak at least.
	baseShare = 0.5
)

// Forecast forecasts demand that goes from service to service in rotation: the peaks are equally long, and after a service
// comes the one that came after it before, or else the one whose last peak is the longest ago. It must be made with
// NewForecast.
type Forecast struct {
	services map[string]*series
	last     string    // service whose peak began last
	began    time.Time // when it began
	length   time.Duration
	next     map[string]string // by service: the one whose peak came after
}

type series struct {
	base  float64 // room of its first pool in cores
	mean  float64
	seen  time.Time
	began time.Time // zero: it had no peak
	peak  float64   // highest demand of its last peak
	high  bool
	rose  time.Time // when high was last set
}

// NewForecast returns a forecast that has seen nothing.
func NewForecast() *Forecast {
	return &Forecast{services: map[string]*series{}, next: map[string]string{}}
}

// Observe takes the demand of a service. base is the room that its pool had at first, in cores.
func (t *Forecast) Observe(now time.Time, service string, cores, base float64) {
	s := t.services[service]
	if s == nil {
		s = &series{seen: now, base: base}
		t.services[service] = s
	}
	weight := min(1, now.Sub(s.seen).Seconds()/meanTime.Seconds())
	s.seen = now
	s.mean += weight * (cores - s.mean)
	switch {
	case !s.high && cores > risesAbove*s.mean && cores > baseShare*base:
		s.high, s.rose = true, now
		s.peak = cores
		t.begin(now, service, s)
	case s.high && cores < fallsBelow*s.mean:
		s.high = false
	}
	if s.high {
		s.peak = max(s.peak, cores)
	}
}

// begin notes that the peak of a service has begun.
func (t *Forecast) begin(now time.Time, service string, s *series) {
	if t.last != "" && t.last != service {
		since := now.Sub(t.began)
		if t.length == 0 || since < 2*t.length {
			if t.length == 0 {
				t.length = since
			}
			t.length += (since - t.length) / 2
			t.next[t.last] = service
		}
	}
	if t.last == service {
		return
	}
	s.began, t.last, t.began = now, service, now
}

// Seen tells whether a service has had a peak.
func (t *Forecast) Seen(service string) bool {
	s := t.services[service]
	return s != nil && !s.began.IsZero()
}

// Rises tells whether the peak of a service has just begun, or has not been noticed: its demand may rise further.
func (t *Forecast) Rises(now time.Time, service string) bool {
	s := t.services[service]
	return s == nil || !s.high || now.Sub(s.rose) <= riseTime
}

// Rising returns the demand that a service will ask for whose peak has begun and has not reached what is expected of it.
func (t *Forecast) Rising(now time.Time, service string) (float64, bool) {
	s := t.services[service]
	if s == nil || !s.high || t.last != service || now.Sub(s.began) > riseTime {
		return 0, false
	}
	return max(s.peak, unseenShare*s.base), true
}

// Expect returns the demand of a service whose peak is about to begin.
func (t *Forecast) Expect(now time.Time, service string) (float64, bool) {
	if t.length == 0 {
		return 0, false
	}
	next, known := t.successor()
	s := t.services[service]
	if s == nil || (known && next != service) || (!known && !s.began.IsZero()) {
		return 0, false
	}
	until := t.began.Add(t.length).Sub(now)
	if until > leadTime || until < -lateTime {
		return 0, false
	}
	return max(s.peak, unseenShare*s.base), true
}

// successor returns the service whose peak comes next. It is not known while several had no peak yet.
func (t *Forecast) successor() (string, bool) {
	if n, ok := t.next[t.last]; ok {
		return n, true
	}
	oldest, at, unseen := "", time.Time{}, 0
	for name, s := range t.services {
		switch {
		case name == t.last:
		case s.began.IsZero():
			oldest = name
			unseen++
		case unseen == 0 && (oldest == "" || s.began.Before(at)):
			oldest, at = name, s.began
		}
	}
	return oldest, unseen < 2
}
