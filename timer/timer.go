// Package timer is the clock of the system. Parts subscribe to it and none reads the wall clock, so that a test can
// drive all of them in virtual time.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"cuminstair.org/cuminstair"
)

var (
	_ cuminstair.Timer = (*Service)(nil)
	_ cuminstair.Timer = (*Virtual)(nil)
)

// maxSleep bounds how long Run sleeps on Go's monotonic clock, which stops while the host is suspended, before it
// compares with CLOCK_BOOTTIME, which goes on.
const maxSleep = time.Second

// Service is the real clock. It reads CLOCK_BOOTTIME, which shows a pause of the process and a suspended host alike.
// It must be made with New.
type Service struct {
	start time.Time     // wall clock at New
	boot  time.Duration // CLOCK_BOOTTIME at New

	mu    sync.Mutex
	queue queue
	wake  chan struct{}
}

// New returns a running clock; Run must be called for subscriptions to fire.
func New() *Service {
	return &Service{start: time.Now().Round(0), boot: bootTime(), wake: make(chan struct{}, 1)}
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the wall clock at New plus the time since on CLOCK_BOOTTIME.
func (s *Service) Now() time.Time { return s.start.Add(bootTime() - s.boot) }

// After implements cuminstair.Timer.
func (s *Service) After(d time.Duration, fn func(now time.Time)) func() bool {
	return s.add(&entry{at: s.Now().Add(d), fn: fn})
}

// Every implements cuminstair.Timer.
func (s *Service) Every(d time.Duration, fn func(now time.Time)) func() bool {
	return s.add(&entry{at: s.Now().Add(d), period: d, fn: fn})
}

func (s *Service) add(e *entry) func() bool {
	s.mu.Lock()
	heap.Push(&s.queue, e)
	first := e.index == 0
	s.mu.Unlock()
	if first {
		// Only an entry that is due before all others shortens the sleep of Run.
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.remove(e)
	}
}

// Run calls the subscribers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		wait := s.fire()
		sleep := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			sleep.Stop()
			return nil
		case <-s.wake:
			sleep.Stop()
		case <-sleep.C:
		}
	}
}

// fire calls what is due and returns the time until the next entry, at most maxSleep.
func (s *Service) fire() time.Duration {
	for {
		now := s.Now()
		s.mu.Lock()
		e, wait := s.queue.due(now)
		s.mu.Unlock()
		if e == nil {
			return min(wait, maxSleep)
		}
		e.fn(now)
	}
}

// Virtual is a clock that moves only when Advance is called. It must be made with NewVirtual.
type Virtual struct {
	mu    sync.Mutex
	now   time.Time
	queue queue
}

// NewVirtual returns a virtual clock that shows start.
func NewVirtual(start time.Time) *Virtual { return &Virtual{now: start} }

// Now implements cuminstair.Timer.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// After implements cuminstair.Timer.
func (v *Virtual) After(d time.Duration, fn func(now time.Time)) func() bool {
	return v.add(d, &entry{fn: fn})
}

// Every implements cuminstair.Timer.
func (v *Virtual) Every(d time.Duration, fn func(now time.Time)) func() bool {
	return v.add(d, &entry{period: d, fn: fn})
}

func (v *Virtual) add(d time.Duration, e *entry) func() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e.at = v.now.Add(d)
	heap.Push(&v.queue, e)
	return func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.queue.remove(e)
	}
}

// Advance moves the clock by d and calls, in order of time, each subscriber that becomes due, on the caller's
// goroutine and with the clock at the time that the subscriber asked for.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now.Add(d)
	for len(v.queue.entries) > 0 && !v.queue.entries[0].at.After(end) {
		if at := v.queue.entries[0].at; at.After(v.now) {
			v.now = at
		}
		// The time of the entry, not end: a periodic subscriber would lose the ticks in between otherwise.
		e, _ := v.queue.due(v.now)
		now := v.now
		v.mu.Unlock()
		e.fn(now)
		v.mu.Lock()
	}
	v.now = end
	v.mu.Unlock()
}
