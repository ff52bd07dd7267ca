package table

import (
	"slices"

	"cuminstair.org/cuminstair"
)

// Faults are the faults that are switched on. The zero value is a platform without faults.
type Faults struct {
	Down    bool                `json:"down,omitempty"`    // every request is refused and has no effect
	Slow    cuminstair.Duration `json:"slow,omitempty"`    // every request takes this long before it has an effect
	Lose    int                 `json:"lose,omitempty"`    // answers of this many writes are lost after they took effect
	Lag     cuminstair.Duration `json:"lag,omitempty"`     // the host list shows what was true this long ago
	Usage   cuminstair.Duration `json:"usage,omitempty"`   // usage reports appear this late
	Workers []string            `json:"workers,omitempty"` // workers that fail every task
	Jobs    []string            `json:"jobs,omitempty"`    // jobs that fail on every worker
}

// SetFaults replaces the faults that are on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Workers = slices.Clone(f.Workers)
	f.Jobs = slices.Clone(f.Jobs)
	s.faults = f
}

// Faults returns the faults that are on.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
