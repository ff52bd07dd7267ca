package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fanout is the number of daemons of the local data centre to which a daemon sends an urgent update at once when it
	// first receives it.
	fanout = 3
	// farShare is the share of digests that go to other data centres: 1 in farShare.
	farShare = 4
	// localPartners and farPartners bound the number of daemons that a daemon exchanges digests with, so that
	// connections are reused: a QUIC handshake costs about 5 KB, more than a node may send in a second.
	localPartners = 12
	farPartners   = 4
	// retryShare is the share of digests that go to daemons that are gone or known only as seeds: 1 in retryShare.
	retryShare = 12
	// leftRelayAge is how long the heartbeat of a daemon that left is still sent.
	leftRelayAge = 30 * time.Second
	// maxClaims bounds the daemons that are announced as gone by urgent digests in one tick.
	maxClaims      = 4
	fullBeats      = 4   // beats, with identities and versions, in a push
	farBlockSize   = 80  // bytes of blocks of other data centres in a push; the last block may exceed it
	maxLoadsSize   = 120 // bytes of loads in a digest
	minLoadSize    = 6   // bytes of a load with the shortest host name; bounds how many loads are tried
	maxUpdatesSize = 200 // bytes of pending updates in a push
	maxAnswersSize = 600 // bytes of records and notes in a reply

	// recordRepeats, claimRepeats and noteRepeats are how many times an update is sent unrequested. Daemons that miss
	// these receive the update in urgent digests, or request it when a heartbeat shows a newer version. More repeats
	// would use up the byte rate when many daemons start together.
	recordRepeats = 3
	claimRepeats  = 3
	noteRepeats   = 4
)

// Tick runs failure detection and returns the digests to send. It must be called once in each Tick interval.
func (m *Members) Tick(now time.Time) []Send {
	m.start(now)
	m.detect(now)
	m.lastTick = now
	m.budget.refill(now, m.rate(now))
	sends := m.claimNewlyGone(now)
	if m.budget.push.tokens <= 0 {
		return sends
	}
	to, ok := m.partner()
	if !ok {
		return sends
	}
	n := m.nodes[m.names[to.Name]]
	return append(sends, m.budget.push.take(to, m.push(now, n)))
}

// claimNewlyGone announces newly gone daemons by urgent digests, so that other data centres learn of them at once. If
// more than maxClaims are gone together, as in a partition, the ordinary digests carry the other claims.
func (m *Members) claimNewlyGone(now time.Time) []Send {
	if len(m.newlyGone) == 0 {
		return nil
	}
	gone := m.newlyGone[:min(maxClaims, len(m.newlyGone))]
	m.newlyGone = nil
	return m.urgent(now, gone, nil, 0)
}

// partner picks the daemon for the next push: mostly one of the local data centre, sometimes one of another data
// centre, and rarely one that is gone or known only as a seed.
func (m *Members) partner() (Seed, bool) {
	local, far, unreachable := m.candidates()
	switch {
	case len(unreachable) > 0 && (m.Rand.IntN(retryShare) == 0 || len(local)+len(far) == 0):
		return unreachable[m.Rand.IntN(len(unreachable))], true
	case len(far) > 0 && (len(local) == 0 || m.pickFar(len(local))):
		return far[m.Rand.IntN(len(far))], true
	case len(local) > 0:
		return local[m.Rand.IntN(len(local))], true
	default:
		return Seed{}, false
	}
}

// pickFar decides whether the next push goes to another data centre. If the local data centre has few daemons, each of
// them has to do a larger share of the exchange between data centres.
func (m *Members) pickFar(local int) bool {
	if local < farShare {
		return m.Rand.IntN(2) == 0
	}
	return m.Rand.IntN(farShare) == 0
}

// candidates returns the daemons of the local data centre and of others with which this daemon exchanges digests, and
// those that are gone or known only as seeds.
func (m *Members) candidates() (local, far, unreachable []Seed) {
	var locals, fars []*node
	for _, id := range m.order {
		n := m.nodes[id]
		switch {
		case n == m.self || n.rec.State == Left || m.names[n.rec.Name] != id:
		case !n.goneSince.IsZero():
			unreachable = append(unreachable, n.seed())
		case n.rec.Centre == m.self.rec.Centre:
			locals = append(locals, n)
		default:
			fars = append(fars, n)
		}
	}
	for _, s := range m.seeds {
		if _, ok := m.names[s.Name]; !ok && s.Name != m.self.rec.Name {
			unreachable = append(unreachable, s)
		}
	}
	return m.fixedSubset(locals, localPartners), m.fixedSubset(fars, farPartners), unreachable
}

// fixedSubset returns at most limit nodes: the same ones on each call, but different ones for each daemon.
func (m *Members) fixedSubset(nodes []*node, limit int) []Seed {
	if len(nodes) > limit {
		key := func(n *node) uint32 { return (n.id ^ m.self.id) * 0x9e3779b1 }
		slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(key(a), key(b)) })
		nodes = nodes[:limit]
	}
	out := make([]Seed, len(nodes))
	for i, n := range nodes {
		out[i] = n.seed()
	}
	return out
}

func (n *node) seed() Seed { return Seed{Name: n.rec.Name, Addr: n.rec.Addr} }

// push returns a digest that starts an exchange. to is nil if the partner's record is not known.
func (m *Members) push(now time.Time, to *node) []byte {
	w := newWriter(m.self.id, phasePush, MaxDigest)
	w.Top = m.top
	w.Join = len(m.nodes) < 3 || to == nil
	if w.Join {
		w.record(&m.self.rec)
	}
	if to != nil && m.reportedGone(to) {
		w.claim(claim{to.id, uint32(to.rec.Incarnation)})
	}
	m.addHeartbeats(now, w, to)
	m.addPendingUpdates(w, to)
	m.addLoads(now, w, to)
	return w.encode()
}

func (m *Members) beatOf(now time.Time, n *node) beat {
	b := beat{id: n.id, count: uint16(n.count), behind: 255, record: uint8(n.rec.Version), note: uint8(n.note.Version)}
	if n == m.self {
		b.count = m.countOf(now)
	}
	if n.gen > 0 && m.top-n.gen < 255 {
		b.behind = uint8(m.top - n.gen)
	}
	return b
}

// reportedGone reports whether others may have been told that n is gone, so that n has to raise its incarnation.
func (m *Members) reportedGone(n *node) bool {
	return !n.goneSince.IsZero() && (n.claimed || m.local(n))
}

// countOf returns this daemon's heartbeat, which is at least 1.
func (m *Members) countOf(now time.Time) uint16 { return uint16(now.Sub(m.startedAt)/beatUnit) + 1 }

// relayed reports whether the heartbeat of a daemon is sent to others. The heartbeat of a daemon that left is sent for
// leftRelayAge, so that others request its record.
func (m *Members) relayed(now time.Time, n *node) bool {
	if n.rec.State == Left {
		return now.Sub(n.changed) < leftRelayAge
	}
	return n == m.self || (n.goneSince.IsZero() && n.heard)
}

// addHeartbeats writes a block for the local data centre, blocks for other data centres in rotation, and some single
// beats, which also carry the configuration generations.
func (m *Members) addHeartbeats(now time.Time, w *writer, to *node) {
	w.beat(m.beatOf(now, m.self))
	rosters, centres := m.rosters(now)
	own := m.countOf(now)
	w.block(m.blockOf(centres[0], rosters[centres[0]], to, own))
	others := centres[1:]
	for room, i := farBlockSize, 0; room > 0 && i < len(others); i++ {
		m.blockCursor++
		c := others[m.blockCursor%len(others)]
		x := m.blockOf(c, rosters[c], to, own)
		w.block(x)
		room -= blockHeader + len(x.counts)
	}
	for _, n := range m.nextNodes(now, to, fullBeats) {
		w.beat(m.beatOf(now, n))
	}
}

// nextNodes returns up to limit nodes whose heartbeats are relayed, in rotation.
func (m *Members) nextNodes(now time.Time, to *node, limit int) []*node {
	var out []*node
	for range min(len(m.order), 4*limit) {
		m.beatCursor++
		n := m.nodes[m.order[m.beatCursor%len(m.order)]]
		if n != m.self && n != to && m.relayed(now, n) {
			out = append(out, n)
		}
		if len(out) == limit {
			break
		}
	}
	return out
}

// addPendingUpdates writes the records, notes and claims that are still to be sent without being requested, those with
// the most sends left first.
func (m *Members) addPendingUpdates(w *writer, to *node) {
	var pending []*node
	for _, id := range m.order {
		if n := m.nodes[id]; n != to && n.recordSends+n.noteSends+n.claimSends > 0 {
			pending = append(pending, n)
		}
	}
	slices.SortStableFunc(pending, func(a, b *node) int {
		return max(b.recordSends, b.noteSends, b.claimSends) - max(a.recordSends, a.noteSends, a.claimSends)
	})
	limit := w.limit
	w.limit = min(limit, w.size+maxUpdatesSize)
	for _, n := range pending {
		if n.claimSends > 0 && w.claim(claim{n.id, uint32(n.rec.Incarnation)}) {
			n.claimSends--
		}
		if n.recordSends > 0 && w.record(&n.rec) {
			n.recordSends--
		}
		if n.noteSends > 0 && m.local(to) && w.note(&n.note) {
			n.noteSends--
		}
	}
	w.limit = limit
}

// local reports whether a daemon is known to be of the local data centre. Notes and loads are not sent to other data
// centres.
func (m *Members) local(n *node) bool { return n != nil && n.rec.Centre == m.self.rec.Centre }

// addLoads writes this daemon's loads and then those of other daemons that are less than a second old, as far as they
// fit.
func (m *Members) addLoads(now time.Time, w *writer, to *node) {
	if !m.local(to) {
		return
	}
	limit := w.limit
	w.limit = min(limit, w.size+maxLoadsSize)
	l := m.self.loads
	for l.Loads = l.Loads[:min(len(l.Loads), maxLoadsSize/minLoadSize)]; len(l.Loads) > 0; l.Loads = l.Loads[:len(l.Loads)-1] {
		if w.load(&l) {
			break
		}
	}
	for _, id := range m.order {
		n := m.nodes[id]
		if n != m.self && n != to && len(n.loads.Loads) > 0 && now.Sub(n.loaded) < time.Second {
			w.load(&n.loads)
		}
	}
	w.limit = limit
}

// urgent returns digests with updates about some daemons, to be sent at once to fanout daemons of the local data centre
// and to one daemon of another data centre, but not back to from. Once the token bucket of urgent digests is
// overdrawn by debt bytes, no more of them are sent, and the ordinary digests carry the updates.
func (m *Members) urgent(now time.Time, about []*node, from *node, debt float64) []Send {
	local, far, _ := m.candidates()
	m.Rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	targets := local[:min(fanout, len(local))]
	if len(far) > 0 {
		targets = append(targets, far[m.Rand.IntN(len(far))])
	}
	var sends []Send
	for _, to := range targets {
		n := m.nodes[m.names[to.Name]]
		if n == nil || n == from || len(about) == 1 && about[0] == n || m.budget.urgent.tokens <= -debt {
			continue
		}
		sends = append(sends, m.budget.urgent.take(to, m.urgentTo(now, about, n)))
	}
	return sends
}

func (m *Members) urgentTo(now time.Time, about []*node, to *node) []byte {
	w := newWriter(m.self.id, phaseAnswer, MaxDigest)
	w.Urgent = true
	w.Top = m.top
	w.beat(m.beatOf(now, m.self))
	for _, n := range about {
		m.urgentUpdate(now, w, n, to)
	}
	return w.encode()
}

func (m *Members) urgentUpdate(now time.Time, w *writer, n, to *node) {
	if n != m.self && n.goneSince.IsZero() {
		w.beat(m.beatOf(now, n))
	}
	if !n.goneSince.IsZero() {
		w.claim(claim{n.id, uint32(n.rec.Incarnation)})
		return
	}
	if n.recordSends > 0 {
		w.record(&n.rec)
	}
	if n.noteSends > 0 && m.local(to) {
		w.note(&n.note)
	}
}
