// Package timer is the clock of the system. Components subscribe to it instead of reading the wall clock, so that a test
// can drive all of them in virtual time.
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

// maxSleep is the longest time that Run sleeps before it reads CLOCK_BOOTTIME again: Go's monotonic clock stops while
// the host is suspended, and CLOCK_BOOTTIME does not.
const maxSleep = time.Second

// Service is the real clock. It reads CLOCK_BOOTTIME, which also advances while the process is paused or the host is
// suspended. It must be created with New.
type Service struct {
	start time.Time     // wall clock at New
	boot  time.Duration // CLOCK_BOOTTIME at New

	mu    sync.Mutex
	queue queue
	wake  chan struct{}
}

// New returns a clock. Subscribers are called only while Run runs.
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

// Now returns the wall clock time at New plus the time that has passed since then on CLOCK_BOOTTIME.
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
		// Run has to be woken only if the entry is due before all others.
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

// Ticks returns a channel that receives a value every d until stop is called. A tick is dropped while the previous one
// has not been received, so that a receiver that was busy or paused for several periods catches up with one step.
func Ticks(t cuminstair.Timer, d time.Duration) (due <-chan struct{}, stop func() bool) {
	ticks := make(chan struct{}, 1)
	stop = t.Every(d, func(time.Time) {
		select {
		case ticks <- struct{}{}:
		default:
		}
	})
	return ticks, stop
}

// Run calls the subscribers until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		wait := s.runDue()
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

// runDue calls the subscribers that are due and returns the time until the next one, at most maxSleep.
func (s *Service) runDue() time.Duration {
	for {
		now := s.Now()
		s.mu.Lock()
		e, wait := s.queue.popDue(now)
		s.mu.Unlock()
		if e == nil {
			return min(wait, maxSleep)
		}
		e.fn(now)
	}
}

// Virtual is a clock that advances only when Advance is called. It must be created with NewVirtual.
type Virtual struct {
	mu    sync.Mutex
	now   time.Time
	queue queue
}

// NewVirtual returns a virtual clock that is set to start.
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

// Advance advances the clock by d. On the caller's goroutine, it calls the subscribers that become due, in the order of
// their due times; during each call the clock shows the due time of that subscriber.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	end := v.now.Add(d)
	for len(v.queue.entries) > 0 && !v.queue.entries[0].at.After(end) {
		if at := v.queue.entries[0].at; at.After(v.now) {
			v.now = at
		}
		// Passing end to popDue instead would drop ticks of a periodic subscriber.
		e, _ := v.queue.popDue(v.now)
		now := v.now
		v.mu.Unlock()
		e.fn(now)
		v.mu.Lock()
	}
	v.now = end
	v.mu.Unlock()
}
