// Package maintenance decides which hosts of a maintenance wave are taken down next. A wave may cover half of the fleet
// while demand is high, so hosts are drained first, a few at a time, and only idle hosts are taken down.
package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"cuminstair.org/cuminstair"
)

// extraDrained is how many hosts are drained beyond the limit of hosts that may be down at once.
const extraDrained = 1

// Phase is the progress of a host's maintenance.
type Phase uint8

// Phases of a host.
const (
	Due     Phase = iota // not ordered yet, or the order was refused
	Ordered              // maintenance was ordered; it may have begun
	Begun                // the platform has confirmed the order
	Done                 // the host is up again or no longer exists
)

// Wave is the state of one wave. Its record in the store lists the hosts whose maintenance may have been ordered, has begun
// or is done, so that the next controller can continue the wave.
type Wave struct {
	cuminstair.MaintenanceWave
	FirstSeen  time.Time
	HostStates map[string]*Host // by name
}

// Host is a host of a wave.
type Host struct {
	Name          string
	Phase         Phase
	UpdatedAt     time.Time // time of the last order, the answer to it, or the restore by New
	Unanswered    bool      // an order had no definite answer; unless a later one is confirmed, it may still be carried out
	InMaintenance bool      // according to the platform; if Phase is Due, the record does not list the host
}

// Busy reports whether the maintenance of the host has been ordered or has begun, and is not done.
func (h *Host) Busy() bool { return h.Phase == Ordered || h.Phase == Begun }

// New returns the state of a wave. r is the record of an earlier controller. If r.Ended is set, all hosts are Done from
// the start, so that the completion is reported again: the earlier controller may have stopped before it reported it.
func New(now time.Time, w cuminstair.MaintenanceWave, r Record) *Wave {
	s := &Wave{MaintenanceWave: w, FirstSeen: now, HostStates: map[string]*Host{}}
	for _, name := range w.Hosts {
		s.HostStates[name] = &Host{Name: name}
	}
	for _, name := range r.Ordered {
		if h, ok := s.HostStates[name]; ok {
			h.Phase, h.Unanswered = Ordered, true // due for another order at once: UpdatedAt is zero
		}
	}
	for _, name := range r.Begun {
		if h, ok := s.HostStates[name]; ok {
			h.Phase, h.UpdatedAt = Begun, now
		}
	}
	for _, h := range s.HostStates {
		if r.Ended {
			h.Phase = Done
		}
	}
	return s
}

// Observe updates the hosts from the platform's list of hosts. at is when the list was requested: a host that the
// list shows as up is done only if its order was confirmed before that time.
func (w *Wave) Observe(at time.Time, list []cuminstair.HostRecord) {
	byName := make(map[string]cuminstair.HostRecord, len(list))
	for _, r := range list {
		byName[r.Name] = r
	}
	for _, h := range w.HostStates {
		r, ok := byName[h.Name]
		h.InMaintenance = ok && r.Phase == cuminstair.PhaseMaintenance
		switch {
		case !ok:
			h.Phase = Done
		case h.Phase == Begun && r.Phase == cuminstair.PhaseUp && at.After(h.UpdatedAt):
			h.Phase = Done
		}
	}
}

// Down returns the number of hosts that are, or may be, down.
func (w *Wave) Down() int {
	n := 0
	for _, h := range w.HostStates {
		if h.Busy() || (h.Phase == Due && h.InMaintenance) {
			n++
		}
	}
	return n
}

// Completed reports whether every host has had its maintenance or no longer exists.
func (w *Wave) Completed() bool {
	for _, h := range w.HostStates {
		if h.Phase != Done {
			return false
		}
	}
	return true
}

// Candidates returns the hosts to drain, the cheapest first. cost returns the cost of draining a host; a negative cost
// means that the host can't be drained now.
func (w *Wave) Candidates(cost func(host string) int) []string {
	var due []string
	for _, h := range w.HostStates {
		if h.Phase == Due && cost(h.Name) >= 0 {
			due = append(due, h.Name)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		a, b := cost(due[i]), cost(due[j])
		if a != b {
			return a < b
		}
		return due[i] < due[j]
	})
	n := max(0, w.Limit+extraDrained-w.Down())
	return due[:min(n, len(due))]
}

// Due returns the hosts whose maintenance has not been ordered yet.
func (w *Wave) Due() []string {
	var out []string
	for _, h := range w.HostStates {
		if h.Phase == Due {
			out = append(out, h.Name)
		}
	}
	sort.Strings(out)
	return out
}

// Pending returns the hosts with an order that may still be carried out. They have to be kept idle.
func (w *Wave) Pending() []string {
	var out []string
	for _, h := range w.HostStates {
		if h.Phase == Ordered {
			out = append(out, h.Name)
		}
	}
	sort.Strings(out)
	return out
}

// OrderNext returns the hosts whose maintenance is to be ordered now and marks them as ordered: first those whose last
// order was not confirmed for retryAfter, then due hosts as far as the limit allows. Only idle hosts are
// returned.
func (w *Wave) OrderNext(now time.Time, idle []string, retryAfter time.Duration) []string {
	var out []string
	for _, h := range w.HostStates {
		if h.Phase == Ordered && now.Sub(h.UpdatedAt) >= retryAfter && slices.Contains(idle, h.Name) {
			out = append(out, h.Name)
		}
	}
	allowed := w.Limit - w.Down()
	for _, name := range idle {
		h := w.HostStates[name]
		if allowed <= 0 {
			break
		}
		if h == nil || h.Phase != Due {
			continue
		}
		h.Phase = Ordered
		allowed--
		out = append(out, name)
	}
	for _, name := range out {
		w.HostStates[name].UpdatedAt = now
	}
	return out
}

// Postpone makes OrderNext return hosts again at once, since their orders were not sent. They still count as down.
func (w *Wave) Postpone(hosts []string) {
	for _, name := range hosts {
		w.HostStates[name].UpdatedAt = time.Time{}
	}
}

// Confirm records the answer to an order. Only a definite refusal makes the host due again, and only if no earlier order
// may still be carried out.
func (w *Wave) Confirm(now time.Time, host string, begun, refused bool) {
	h := w.HostStates[host]
	if h == nil || h.Phase != Ordered {
		return
	}
	switch {
	case begun:
		h.Phase, h.UpdatedAt = Begun, now
	case refused && !h.Unanswered:
		h.Phase, h.UpdatedAt = Due, now
	default:
		h.Unanswered = true
	}
}

// Record is the stored record of a wave.
type Record struct {
	Begun   []string `json:"begun"`             // hosts whose maintenance has begun or is done
	Ordered []string `json:"ordered,omitempty"` // hosts whose order may still be carried out; unknown to earlier versions
	Ended   bool     `json:"ended,omitempty"`   // the wave is completed
}

// EncodeRecord returns the encoded record of a wave. It has to be stored before hosts returned by OrderNext are ordered down.
func (w *Wave) EncodeRecord() []byte {
	r := Record{Ended: w.Completed()}
	for _, h := range w.HostStates {
		switch h.Phase {
		case Due:
		case Ordered:
			r.Ordered = append(r.Ordered, h.Name)
		case Begun, Done:
			r.Begun = append(r.Begun, h.Name)
		}
	}
	sort.Strings(r.Begun)
	sort.Strings(r.Ordered)
	// Encoding a Record can't fail.
	data, _ := json.Marshal(r)
	return data
}

// DecodeRecord decodes the record of a wave.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("decode wave record: %w", err)
	}
	return r, nil
}
