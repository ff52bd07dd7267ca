package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// States of the platform's list.
const (
	listGone  = "gone"
	roleEntry = "entry"
)

// registration is the value of an entry daemon's row.
type registration struct {
	Centre string `json:"centre"`
}

// members knows which entry daemons of the data centre are live, by the platform's list and the registrations. A peer's
// opinion does not count: a daemon that others can't reach may still send requests.
type members struct {
	self, centre string
	registered   map[string]uint64    // version of the registration
	listed       map[string]string    // state in the platform's list
	gone         map[string]time.Time // since when neither shows it as live
	pinged       time.Time            // when all were last asked
	frozen       string               // why planned work is frozen
}

func newMembers(self, centre string) members {
	return members{self: self, centre: centre, registered: map[string]uint64{}, listed: map[string]string{}, gone: map[string]time.Time{}}
}

func (m *members) register(name string, row *cuminstair.Row) error {
	if row.Deleted {
		delete(m.registered, name)
		return nil
	}
	var r registration
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return fmt.Errorf("decode registration: %w", err)
	}
	if r.Centre == m.centre {
		m.registered[name] = row.Version
		// A daemon that starts again may send requests before the list, which lags, shows it as live.
		delete(m.gone, name)
	}
	return nil
}

// list takes the entry daemons of the platform's list.
func (m *members) list(hosts []cuminstair.HostStatus) {
	clear(m.listed)
	for _, h := range hosts {
		if h.Role == roleEntry && h.Centre == m.centre {
			m.listed[h.Name] = h.State
		}
	}
}

// seen tells whether a daemon is shown as live: listed in any state but gone, or registered and not listed yet.
func (m *members) seen(name string) bool {
	state, ok := m.listed[name]
	if !ok {
		return m.registered[name] > 0
	}
	return state != listGone
}

// live returns the other daemons that have to confirm, in order: those that are shown as live, and those that have not
// been gone for GoneAfter.
func (m *members) live(now time.Time) []string {
	var names []string
	for _, name := range m.known() {
		if m.seen(name) {
			delete(m.gone, name)
			names = append(names, name)
			continue
		}
		since, ok := m.gone[name]
		if !ok {
			since = now
			m.gone[name] = now
		}
		if now.Sub(since) < GoneAfter {
			names = append(names, name)
		}
	}
	return names
}

// expired returns the other daemons that are registered although the platform's list has shown them as gone for GoneAfter,
// in order.
func (m *members) expired(now time.Time) []string {
	var names []string
	for _, name := range m.known() {
		since, gone := m.gone[name]
		if gone && m.registered[name] > 0 && !m.seen(name) && now.Sub(since) >= GoneAfter {
			names = append(names, name)
		}
	}
	return names
}

// known returns all other daemons of the data centre that were ever shown, in order.
func (m *members) known() []string {
	all := map[string]bool{}
	for name := range m.registered {
		all[name] = true
	}
	for name := range m.listed {
		all[name] = true
	}
	for name := range m.gone {
		all[name] = true
	}
	delete(all, m.self)
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
