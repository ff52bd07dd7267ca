package member

import (
	"time"
)

// driftPerBeat is added to a node's origin for each new heartbeat, so that the estimate follows clocks that run at
// different speeds.
const driftPerBeat = 20 * time.Microsecond

// shortTimeouts reports whether the short timeouts apply to a daemon: it is in the local data centre, or the fleet is
// small.
func (m *Members) shortTimeouts(n *node) bool {
	return n.rec.Centre == m.self.rec.Centre || len(m.nodes) <= smallFleet
}

func (m *Members) suspectAge(n *node) time.Duration {
	if m.shortTimeouts(n) {
		return SuspectAge
	}
	return FarSuspectAge
}

func (m *Members) goneAge(n *node) time.Duration {
	if m.shortTimeouts(n) {
		return GoneAge
	}
	return FarGoneAge
}

// observe records a heartbeat and reports whether it is newer than the latest known one. The count of a heartbeat is the
// running time of its daemon in units of beatUnit, so its age can be computed even if it was relayed: its arrival time
// minus that running time is an estimate of when the count was 0, and the earliest of these estimates is kept.
func (n *node) observe(now time.Time, count uint16) bool {
	if !n.heard {
		n.heard = true
		n.count = uint64(count)
		n.origin = now.Add(-time.Duration(count) * beatUnit)
		return true
	}
	ahead := int16(count - uint16(n.count))
	if ahead <= 0 {
		return false
	}
	n.count += uint64(ahead)
	origin := now.Add(-time.Duration(n.count) * beatUnit)
	n.origin = n.origin.Add(time.Duration(ahead) * driftPerBeat)
	if origin.Before(n.origin) {
		n.origin = origin
	}
	return true
}

// age returns the time since the daemon made its latest known heartbeat, or since its record changed if no heartbeat
// was received. It is 0 for this daemon.
func (m *Members) age(now time.Time, n *node) time.Duration {
	if n == m.self {
		return 0
	}
	if !n.heard {
		return now.Sub(n.changed)
	}
	return now.Sub(n.origin.Add(time.Duration(n.count) * beatUnit))
}

// detect marks daemons as gone or healthy and removes those that are no longer remembered. After a pause of this daemon
// all heartbeats look old, so it first waits startGrace for new ones.
func (m *Members) detect(now time.Time) {
	if now.Sub(m.lastTick) > pauseThreshold {
		m.graceUntil = now.Add(startGrace)
	}
	if now.Before(m.graceUntil) || m.converging(now) {
		return
	}
	for i := len(m.order) - 1; i >= 0; i-- {
		n := m.nodes[m.order[i]]
		if n == m.self {
			continue
		}
		m.detectOne(now, n)
	}
}

// converging reports whether many daemons joined within the last joinWindow.
func (m *Members) converging(now time.Time) bool {
	for len(m.joined) > 0 && now.Sub(m.joined[0]) > joinWindow {
		m.joined = m.joined[1:]
	}
	return len(m.joined) > 2+len(m.nodes)/joinShare
}

func (m *Members) detectOne(now time.Time, n *node) {
	if n.rec.State == Left {
		if now.Sub(n.changed) > TombstoneAge {
			m.remove(n)
		}
		return
	}
	age := m.age(now, n)
	switch {
	case n.goneSince.IsZero() && age > m.goneAge(n) && m.mismatch[n.rec.Centre] <= mismatchLimit:
		m.markGone(now, n)
		if n.heard && m.local(n) {
			m.newlyGone = append(m.newlyGone, n)
		}
	case !n.goneSince.IsZero() && !n.claimed && age <= m.suspectAge(n):
		m.revive(n)
	case !n.goneSince.IsZero() && now.Sub(n.goneSince) > ForgetAge:
		m.remove(n)
	}
}

func (m *Members) markGone(now time.Time, n *node) {
	n.goneSince = now
	if m.local(n) || n.claimed {
		// Missing heartbeats alone are no reason to claim that a daemon of another data centre is gone.
		n.claimSends = claimRepeats
	}
	m.version++
}

func (m *Members) revive(n *node) {
	if n.goneSince.IsZero() {
		return
	}
	n.goneSince = time.Time{}
	n.claimed = false
	n.claimSends = 0
	m.version++
}

// applyClaim processes a claim from another daemon and reports whether it is new. A fresh heartbeat refutes the claim.
func (m *Members) applyClaim(now time.Time, c claim) bool {
	n, ok := m.nodes[c.id]
	if !ok || uint32(n.rec.Incarnation) != c.incarnation || n.rec.State == Left {
		return false
	}
	if n == m.self {
		m.raiseIncarnation(now, m.self.rec.Incarnation)
		return true
	}
	if !n.goneSince.IsZero() || m.age(now, n) <= SuspectAge {
		return false
	}
	n.claimed = true
	m.markGone(now, n)
	return true
}

// raiseIncarnation sets this daemon's incarnation above the given one and publishes the record.
func (m *Members) raiseIncarnation(now time.Time, above uint64) {
	m.self.rec.Incarnation = max(m.self.rec.Incarnation, above) + 1
	m.publishRecord(now)
}
