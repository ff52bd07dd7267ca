// Package table simulates the platform: its table service, object store, host list and task runner. It serves the
// protocol of docs/platform.md over HTTP, and it can be used without HTTP as a cuminstair.Platform. It can inject
// faults. All times come from a cuminstair.Timer, so that tests can run it in virtual time.
package table

import (
	"context"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Platform = (*Service)(nil)

// Defaults of the durations in a Service.
const (
	DefaultReboot  = 2 * time.Minute
	DefaultReplace = 10 * time.Minute
	DefaultUsage   = 5 * time.Second // between two usage reports of a running task
)

// Service is the simulated platform. Set the exported fields before first use; only Timer is required. It is safe for
// concurrent use.
type Service struct {
	Timer   cuminstair.Timer
	Drain   time.Duration // how long a host is listed as leaving before a reboot or replacement; 0: not at all
	Reboot  time.Duration // duration of a reboot; 0: DefaultReboot
	Replace time.Duration // time until a replaced host is live again; 0: DefaultReplace
	Report  time.Duration // time between two usage reports of a running task; 0: DefaultUsage
	// Behave returns the actual behaviour of a task. If it is nil, a task behaves as declared and runs for DefaultRun.
	Behave func(t cuminstair.Task) Behaviour
	// OnHost, if not nil, is called from Timer right after a host changes its state, regardless of Faults.Lag.
	OnHost func(name, state string)

	mu        sync.Mutex
	faults    Faults
	store     store
	objects   map[string][]byte
	hosts     map[string]*host
	list      hostListing
	actionIDs map[string]bool // ids of accepted host actions
	workers   map[string]Worker
	tasks     map[string]*task
	reports   []report
	stats     Stats
}

// Stats counts requests, so that tests can check request budgets. Writes that arrive while Faults.Down is set are
// not counted.
type Stats struct {
	Reads  int `json:"reads"`  // row scans, object reads, lists and usage reads
	Writes int `json:"writes"` // commits, object writes, host actions, task starts and actions
}

// Stats returns the counts since the start.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// read waits for Faults.Slow, then runs fn under the lock unless Faults.Down is set.
func (s *Service) read(ctx context.Context, fn func() error) error {
	if err := s.delay(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Reads++
	if s.faults.Down {
		return cuminstair.ErrUnavailable
	}
	return fn()
}

// write runs fn under the lock after Faults.Slow. As on the real platform, a write still takes effect after its caller
// has given up waiting for it.
func (s *Service) write(ctx context.Context, fn func() error) error {
	done := make(chan error, 1)
	run := func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		done <- s.apply(fn)
	}
	s.mu.Lock()
	slow, down := s.faults.Slow.D(), s.faults.Down
	s.mu.Unlock()
	if down {
		return cuminstair.ErrUnavailable
	}
	if slow == 0 {
		run(time.Time{})
		return <-done
	}
	s.Timer.After(slow, run)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return cuminstair.ErrUncertain
	}
}

// apply runs a write. If Faults.Lose is set, it returns ErrUncertain after the write has taken effect.
func (s *Service) apply(fn func() error) error {
	s.stats.Writes++
	if s.faults.Down {
		return cuminstair.ErrUnavailable
	}
	err := fn()
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return cuminstair.ErrUncertain
	}
	return err
}

func (s *Service) delay(ctx context.Context) error {
	s.mu.Lock()
	slow := s.faults.Slow.D()
	s.mu.Unlock()
	if slow == 0 {
		return nil
	}
	done := make(chan struct{})
	s.Timer.After(slow, func(time.Time) { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return cuminstair.ErrUnavailable
	}
}

func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}
