package member

import (
	"time"
)

// drift lets the estimate of when a daemon's heartbeat was 0 follow clocks that run apart, per beat.
const drift = 20 * time.Microsecond

// near tells whether a daemon is watched closely.
func (m *Members) near(n *node) bool {
	return n.rec.Centre == m.self.rec.Centre || len(m.nodes) <= nearAll
}

func (m *Members) suspectAge(n *node) time.Duration {
	if m.near(n) {
		return SuspectAge
	}
	return FarSuspectAge
}

func (m *Members) goneAge(n *node) time.Duration {
	if m.near(n) {
		return GoneAge
	}
	return FarGoneAge
}

// observe takes a heartbeat and returns whether it was newer than the known one. A heartbeat counts the time on its
// daemon's clock, so its age is known even if it was relayed: the earliest arrival of all heartbeats, minus their
// count, is when the count was 0.
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
	n.origin = n.origin.Add(time.Duration(ahead) * drift)
	if origin.Before(n.origin) {
		n.origin = origin
	}
	return true
}

// age returns how long ago the latest heartbeat was made.
func (m *Members) age(now time.Time, n *node) time.Duration {
	if n == m.self {
		return 0
	}
	if !n.heard {
		return now.Sub(n.changed)
	}
	return now.Sub(n.origin.Add(time.Duration(n.count) * beatUnit))
}

// detect updates which daemons are gone and forgets old ones. After a pause of this daemon all heartbeats look old;
// then it first waits for new ones.
func (m *Members) detect(now time.Time) {
	if now.Sub(m.ticked) > pauseAge {
		m.held = now.Add(startHold)
	}
	if now.Before(m.held) || m.converging(now) {
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

// converging tells whether many daemons became known just now.
func (m *Members) converging(now time.Time) bool {
	for len(m.learned) > 0 && now.Sub(m.learned[0]) > learnHold {
		m.learned = m.learned[1:]
	}
	return len(m.learned) > 2+len(m.nodes)/learnShare
}

func (m *Members) detectOne(now time.Time, n *node) {
	if n.rec.State == Left {
		if now.Sub(n.changed) > TombAge {
			m.remove(n)
		}
		return
	}
	age := m.age(now, n)
	switch {
	case n.since.IsZero() && age > m.goneAge(n) && m.unread[n.rec.Centre] <= unreadHold:
		m.markGone(now, n)
		if n.heard && m.local(n) {
			m.lost = append(m.lost, n)
		}
	case !n.since.IsZero() && !n.claimed && age <= m.suspectAge(n):
		m.revive(n)
	case !n.since.IsZero() && now.Sub(n.since) > ForgetAge:
		m.remove(n)
	}
}

func (m *Members) markGone(now time.Time, n *node) {
	n.since = now
	if m.local(n) || n.claimed {
		n.claimLeft = claimRepeats // daemons of other data centres don't judge by their own heartbeats
	}
	m.version++
}

func (m *Members) revive(n *node) {
	if n.since.IsZero() {
		return
	}
	n.since = time.Time{}
	n.claimed = false
	n.claimLeft = 0
	m.version++
}

// takeClaim takes another daemon's claim that one is gone and returns whether it was news. A fresh heartbeat refutes
// it.
func (m *Members) takeClaim(now time.Time, c claim) bool {
	n, ok := m.nodes[c.id]
	if !ok || uint32(n.rec.Incarnation) != c.incarnation || n.rec.State == Left {
		return false
	}
	if n == m.self {
		m.raise(now, m.self.rec.Incarnation)
		return true
	}
	if !n.since.IsZero() || m.age(now, n) <= SuspectAge {
		return false
	}
	n.claimed = true
	m.markGone(now, n)
	return true
}

// raise puts the own incarnation above another one.
func (m *Members) raise(now time.Time, above uint64) {
	m.self.rec.Incarnation = max(m.self.rec.Incarnation, above) + 1
	m.bump(now)
}
