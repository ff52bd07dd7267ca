package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// A state and a role in the platform's list of hosts.
const (
	listGone  = "gone"
	roleEntry = "entry"
)

// registration is the value of an entry daemon's row.
type registration struct {
	Centre string `json:"centre"`
}

// members tracks which entry daemons of the data centre are live, according to the platform's list and the
// registrations. Reachability from peers is not used: a daemon that its peers can't reach may still send requests.
type members struct {
	self, centre string
	registered   map[string]uint64    // name: version of the registration row
	listStates   map[string]string    // name: state in the platform's list
	goneSince    map[string]time.Time // name: when isLive first returned false for it
	lastPing     time.Time            // last ping of all live daemons
	frozenReason string               // reason why planned work is frozen, or empty
}

func newMembers(self, centre string) members {
	return members{
		self: self, centre: centre,
		registered: map[string]uint64{}, listStates: map[string]string{}, goneSince: map[string]time.Time{},
	}
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
		// A restarted daemon may send requests before the list, which lags, shows it as live.
		delete(m.goneSince, name)
	}
	return nil
}

// setListStates stores the states of the entry daemons in the platform's list.
func (m *members) setListStates(hosts []cuminstair.HostStatus) {
	clear(m.listStates)
	for _, h := range hosts {
		if h.Role == roleEntry && h.Centre == m.centre {
			m.listStates[h.Name] = h.State
		}
	}
}

// isLive reports whether a daemon is live: listed in any state but gone, or registered and not listed yet.
func (m *members) isLive(name string) bool {
	state, ok := m.listStates[name]
	if !ok {
		return m.registered[name] > 0
	}
	return state != listGone
}

// mustConfirm returns the other daemons that have to confirm, sorted: those that are live, and those that have been gone
// for less than GoneAfter.
func (m *members) mustConfirm(now time.Time) []string {
	var names []string
	for _, name := range m.known() {
		if m.isLive(name) {
			delete(m.goneSince, name)
			names = append(names, name)
			continue
		}
		since, ok := m.goneSince[name]
		if !ok {
			since = now
			m.goneSince[name] = now
		}
		if now.Sub(since) < GoneAfter {
			names = append(names, name)
		}
	}
	return names
}

// expired returns the other daemons, sorted, that are still registered although they have been listed as gone for
// GoneAfter.
func (m *members) expired(now time.Time) []string {
	var names []string
	for _, name := range m.known() {
		since, gone := m.goneSince[name]
		if gone && m.registered[name] > 0 && !m.isLive(name) && now.Sub(since) >= GoneAfter {
			names = append(names, name)
		}
	}
	return names
}

// known returns all other daemons of the data centre that are registered, listed or tracked as gone, sorted.
func (m *members) known() []string {
	all := map[string]bool{}
	for name := range m.registered {
		all[name] = true
	}
	for name := range m.listStates {
		all[name] = true
	}
	for name := range m.goneSince {
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
