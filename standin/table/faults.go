package table

import (
	"slices"

	"cuminstair.org/cuminstair"
)

// Faults are the faults that the platform injects. The zero value injects none.
type Faults struct {
	Down    bool                `json:"down,omitempty"`    // every request fails and has no effect
	Slow    cuminstair.Duration `json:"slow,omitempty"`    // every request is delayed by this much before it takes effect
	Lose    int                 `json:"lose,omitempty"`    // number of next writes that take effect, but get no answer
	Lag     cuminstair.Duration `json:"lag,omitempty"`     // the host list lags behind by this much
	Usage   cuminstair.Duration `json:"usage,omitempty"`   // usage reports are delayed by this much
	Workers []string            `json:"workers,omitempty"` // workers that fail every task
	Jobs    []string            `json:"jobs,omitempty"`    // jobs that fail on every worker
}

// SetFaults replaces the current faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Workers = slices.Clone(f.Workers)
	f.Jobs = slices.Clone(f.Jobs)
	s.faults = f
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
