// Package maintenance decides which hosts of a maintenance wave are taken next. It answers waves that ask for half of the
// fleet while demand is high: hosts are emptied first, a few at a time, and only idle ones are taken down.
package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// ahead is how many hosts more than may be down at once are emptied at the same time.
const ahead = 1

// Phase is how far a host has come.
type Phase uint8

// Phases of a host.
const (
	Due     Phase = iota
	Ordered       // its maintenance was asked for; it may have begun
	Begun         // the platform has confirmed it
	Done          // the host is up again, or gone
)

// Wave is the state of one wave. Begun hosts are kept in the store, so that the next controller goes on from there.
type Wave struct {
	cuminstair.MaintenanceWave
	Seen  time.Time
	State map[string]*Host // by name
}

// Host is a host of a wave.
type Host struct {
	Name  string
	Phase Phase
	At    time.Time // of the last order or confirmation
	Seen  bool      // the list shows it in maintenance; if it is due, an earlier controller ordered that and did not store it
}

// Busy tells whether the maintenance of the host is under way.
func (h *Host) Busy() bool { return h.Phase == Ordered || h.Phase == Begun }

// New returns the state of a wave. r is what an earlier controller has stored. A wave that has ended is completed at once,
// so that its state is told again: the earlier controller may have ended before it told it.
func New(now time.Time, w cuminstair.MaintenanceWave, r Record) *Wave {
	s := &Wave{MaintenanceWave: w, Seen: now, State: map[string]*Host{}}
	for _, name := range w.Hosts {
		s.State[name] = &Host{Name: name}
	}
	for _, name := range r.Begun {
		if h, ok := s.State[name]; ok {
			h.Phase, h.At = Begun, now
		}
	}
	for _, h := range s.State {
		if r.Ended {
			h.Phase = Done
		}
	}
	return s
}

// Observe takes the platform's list of hosts, read after at.
func (w *Wave) Observe(at time.Time, list []cuminstair.HostRecord) {
	byName := make(map[string]cuminstair.HostRecord, len(list))
	for _, r := range list {
		byName[r.Name] = r
	}
	for _, h := range w.State {
		r, ok := byName[h.Name]
		h.Seen = ok && r.Phase == cuminstair.PhaseMaintenance
		switch {
		case !ok:
			h.Phase = Done
		case h.Phase == Begun && r.Phase == cuminstair.PhaseUp && at.After(h.At):
			h.Phase = Done
		}
	}
}

// Down counts the hosts that are, or may be, down.
func (w *Wave) Down() int {
	n := 0
	for _, h := range w.State {
		if h.Busy() || (h.Phase == Due && h.Seen) {
			n++
		}
	}
	return n
}

// Completed tells whether every host has had its maintenance.
func (w *Wave) Completed() bool {
	for _, h := range w.State {
		if h.Phase != Done {
			return false
		}
	}
	return true
}

// Candidates returns the hosts to empty, those that are cheapest first. rank tells how much it costs to empty a host;
// a negative rank means that it can't be taken now.
func (w *Wave) Candidates(rank func(host string) int) []string {
	var due []string
	for _, h := range w.State {
		if h.Phase == Due && rank(h.Name) >= 0 {
			due = append(due, h.Name)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := rank(due[i]), rank(due[j])
		if a != b {
			return a < b
		}
		return due[i] < due[j]
	})
	n := max(0, w.Limit+ahead-w.Down())
	return due[:min(n, len(due))]
}

// Due returns the hosts that have not been asked for yet.
func (w *Wave) Due() []string {
	var out []string
	for _, h := range w.State {
		if h.Phase == Due {
			out = append(out, h.Name)
		}
	}
	sort.Strings(out)
	return out
}

// Pending returns the hosts whose order has no clear answer. They have to be kept idle.
func (w *Wave) Pending() []string {
	var out []string
	for _, h := range w.State {
		if h.Phase == Ordered {
			out = append(out, h.Name)
		}
	}
	sort.Strings(out)
	return out
}

// Take returns the hosts to order now: those without a clear answer again, then others as far as the limit allows. Only
// idle hosts are ordered.
func (w *Wave) Take(now time.Time, idle []string, again time.Duration) []string {
	var out []string
	for _, h := range w.State {
		if h.Phase == Ordered && now.Sub(h.At) >= again && slices.Contains(idle, h.Name) {
			out = append(out, h.Name)
		}
	}
	room := w.Limit - w.Down()
	for _, name := range idle {
		h := w.State[name]
		if room <= 0 {
			break
		}
		if h == nil || h.Phase != Due {
			continue
		}
		h.Phase = Ordered
		room--
		out = append(out, name)
	}
	for _, name := range out {
		w.State[name].At = now
	}
	return out
}

// Confirm notes the answer to an order. Only a clear refusal makes the host due again.
func (w *Wave) Confirm(now time.Time, host string, begun, refused bool) {
	h := w.State[host]
	if h == nil || h.Phase != Ordered {
		return
	}
	switch {
	case begun:
		h.Phase, h.At = Begun, now
	case refused:
		h.Phase, h.At = Due, now
	}
}

// Record is the value of a wave's record.
type Record struct {
	Begun []string `json:"begun"`
	Ended bool     `json:"ended,omitempty"`
}

// Value returns the record of a wave.
func (w *Wave) Value() []byte {
	r := Record{Ended: w.Completed()}
	for _, h := range w.State {
		if h.Phase >= Begun {
			r.Begun = append(r.Begun, h.Name)
		}
	}
	sort.Strings(r.Begun)
	// A Record always encodes.
	data, _ := json.Marshal(r)
	return data
}

// ReadRecord reads the record of a wave.
func ReadRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode wave record: %w", err)
	}
	return r, nil
}
