package member

import (
	"cmp"
	"slices"
	"time"
)

const (
	// fanout is how many daemons of the data centre get urgent news at once, from each daemon that hears them first.
	fanout = 3
	// acrossShare is the share of digests to other data centres: 1 in acrossShare.
	acrossShare = 4
	// localPartners and farPartners bound the daemons that one exchanges digests with, so that connections stay in use: a
	// QUIC handshake costs about 5 KB, more than a node may send in a second.
	localPartners = 12
	farPartners   = 4
	// retryShare is the share of digests to daemons that are gone or known only as seeds: 1 in retryShare.
	retryShare = 12
	// leftCarried is how long the heartbeat of a daemon that left is still sent.
	leftCarried = 30 * time.Second
	// maxClaims is how many lost daemons are announced at once in a tick.
	maxClaims = 4
	beatTurns = 4   // heartbeats in full in a push
	blockRoom = 80  // bytes of blocks of other data centres in a push; the last one may exceed it
	loadRoom  = 120 // bytes of loads in a digest
	minLoad   = 6   // bytes of a load with the shortest name; no more loads are tried than can fit
	newsRoom  = 200 // bytes of news in a push
	wholeRoom = 600 // bytes of records and notes in a reply

	// recordRepeats and claimRepeats are how often news are passed on unasked. Urgent sending and asking for what the
	// heartbeats show to be missing do the rest; more repeats would fill the byte rate when many daemons start together.
	recordRepeats = 3
	claimRepeats  = 3
	noteRepeats   = 4
)

// Tick returns the digests that are due. It is called each Tick.
func (m *Members) Tick(now time.Time) []Send {
	m.start(now)
	m.detect(now)
	m.ticked = now
	m.budget.refill(now, m.rate(now))
	sends := m.claimLost(now)
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

// claimLost tells other data centres at once which daemons became gone. When many are lost together, as in a partition,
// the ordinary digests carry the rest.
func (m *Members) claimLost(now time.Time) []Send {
	if len(m.lost) == 0 {
		return nil
	}
	lost := m.lost[:min(maxClaims, len(m.lost))]
	m.lost = nil
	return m.urgent(now, lost, nil, 0)
}

// partner picks the next partner: mostly of the own data centre, some of others, now and then one that is gone.
func (m *Members) partner() (Seed, bool) {
	local, far, lost := m.candidates()
	switch {
	case len(lost) > 0 && (m.Rand.IntN(retryShare) == 0 || len(local)+len(far) == 0):
		return lost[m.Rand.IntN(len(lost))], true
	case len(far) > 0 && (len(local) == 0 || m.across(len(local))):
		return far[m.Rand.IntN(len(far))], true
	case len(local) > 0:
		return local[m.Rand.IntN(len(local))], true
	default:
		return Seed{}, false
	}
}

// across tells whether the next partner is of another data centre. With few daemons in the own one, a larger share goes
// across, since every daemon has to carry more of the exchange between data centres.
func (m *Members) across(local int) bool {
	if local < acrossShare {
		return m.Rand.IntN(2) == 0
	}
	return m.Rand.IntN(acrossShare) == 0
}

// candidates returns the daemons of the own data centre and of others that this daemon exchanges digests with, and
// those that are gone or known only as seeds.
func (m *Members) candidates() (local, far, lost []Seed) {
	var locals, fars []*node
	for _, id := range m.order {
		n := m.nodes[id]
		switch {
		case n == m.self || n.rec.State == Left || m.names[n.rec.Name] != id:
		case !n.since.IsZero():
			lost = append(lost, n.seed())
		case n.rec.Centre == m.self.rec.Centre:
			locals = append(locals, n)
		default:
			fars = append(fars, n)
		}
	}
	for _, s := range m.seeds {
		if _, ok := m.names[s.Name]; !ok && s.Name != m.self.rec.Name {
			lost = append(lost, s)
		}
	}
	return m.fixed(locals, localPartners), m.fixed(fars, farPartners), lost
}

// fixed returns the same few nodes each time, other ones for each daemon.
func (m *Members) fixed(nodes []*node, most int) []Seed {
	if len(nodes) > most {
		key := func(n *node) uint32 { return (n.id ^ m.self.id) * 0x9e3779b1 }
		slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(key(a), key(b)) })
		nodes = nodes[:most]
	}
	out := make([]Seed, len(nodes))
	for i, n := range nodes {
		out[i] = n.seed()
	}
	return out
}

func (n *node) seed() Seed { return Seed{Name: n.rec.Name, Addr: n.rec.Addr} }

// push writes a digest to start an exchange. to is nil if the partner's record is not known.
func (m *Members) push(now time.Time, to *node) []byte {
	w := newWriter(m.self.id, phasePush, MaxDigest)
	w.Top = m.top
	w.Join = len(m.nodes) < 3 || to == nil
	if w.Join {
		w.record(&m.self.rec)
	}
	if to != nil && m.announced(to) {
		w.claim(claim{to.id, uint32(to.rec.Incarnation)})
	}
	m.beats(now, w, to)
	m.news(w, to)
	m.load(now, w, to)
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

// announced tells whether others may have heard that a daemon is gone, so that it has to raise its incarnation.
func (m *Members) announced(n *node) bool { return !n.since.IsZero() && (n.claimed || m.local(n)) }

// countOf returns the own heartbeat.
func (m *Members) countOf(now time.Time) uint16 { return uint16(now.Sub(m.began)/beatUnit) + 1 }

// carried tells whether the heartbeat of a daemon is worth sending. That of a daemon that left is sent for a while, so
// that others ask for its record.
func (m *Members) carried(now time.Time, n *node) bool {
	if n.rec.State == Left {
		return now.Sub(n.changed) < leftCarried
	}
	return n == m.self || (n.since.IsZero() && n.heard)
}

// beats writes the heartbeats of the own data centre and of others in turn as blocks, and some in full, which tell the
// generations.
func (m *Members) beats(now time.Time, w *writer, to *node) {
	w.beat(m.beatOf(now, m.self))
	rosters, centres := m.rosters(now)
	own := m.countOf(now)
	w.block(m.blockOf(centres[0], rosters[centres[0]], to, own))
	others := centres[1:]
	for room, i := blockRoom, 0; room > 0 && i < len(others); i++ {
		m.centre++
		c := others[m.centre%len(others)]
		x := m.blockOf(c, rosters[c], to, own)
		w.block(x)
		room -= blockHeader + len(x.counts)
	}
	for _, n := range m.turns(now, to, beatTurns) {
		w.beat(m.beatOf(now, n))
	}
}

// turns returns some of the nodes, others each time.
func (m *Members) turns(now time.Time, to *node, most int) []*node {
	var out []*node
	for range min(len(m.order), 4*most) {
		m.cursor++
		n := m.nodes[m.order[m.cursor%len(m.order)]]
		if n != m.self && n != to && m.carried(now, n) {
			out = append(out, n)
		}
		if len(out) == most {
			break
		}
	}
	return out
}

// news writes the records, notes and claims that are still being passed on, the newest first.
func (m *Members) news(w *writer, to *node) {
	var hot []*node
	for _, id := range m.order {
		if n := m.nodes[id]; n != to && n.recordLeft+n.noteLeft+n.claimLeft > 0 {
			hot = append(hot, n)
		}
	}
	slices.SortStableFunc(hot, func(a, b *node) int {
		return max(b.recordLeft, b.noteLeft, b.claimLeft) - max(a.recordLeft, a.noteLeft, a.claimLeft)
	})
	limit := w.limit
	w.limit = min(limit, w.size+newsRoom)
	for _, n := range hot {
		if n.claimLeft > 0 && w.claim(claim{n.id, uint32(n.rec.Incarnation)}) {
			n.claimLeft--
		}
		if n.recordLeft > 0 && w.record(&n.rec) {
			n.recordLeft--
		}
		if n.noteLeft > 0 && m.local(to) && w.note(&n.note) {
			n.noteLeft--
		}
	}
	w.limit = limit
}

// local tells whether a daemon is known to be of the own data centre. Notes and loads stay in it.
func (m *Members) local(n *node) bool { return n != nil && n.rec.Centre == m.self.rec.Centre }

// load writes the own loads, as many as there is room for, and the freshest of the others.
func (m *Members) load(now time.Time, w *writer, to *node) {
	if !m.local(to) {
		return
	}
	limit := w.limit
	w.limit = min(limit, w.size+loadRoom)
	l := m.self.loads
	for l.Loads = l.Loads[:min(len(l.Loads), loadRoom/minLoad)]; len(l.Loads) > 0; l.Loads = l.Loads[:len(l.Loads)-1] {
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

// urgent sends news of some daemons at once to some daemons of the own data centre and to one of another, except the one
// that they came from. Beyond the byte rate and the debt the ordinary digests have to carry them.
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
		m.urgentNews(now, w, n, to)
	}
	return w.encode()
}

func (m *Members) urgentNews(now time.Time, w *writer, n, to *node) {
	if n != m.self && n.since.IsZero() {
		w.beat(m.beatOf(now, n))
	}
	if !n.since.IsZero() {
		w.claim(claim{n.id, uint32(n.rec.Incarnation)})
		return
	}
	if n.recordLeft > 0 {
		w.record(&n.rec)
	}
	if n.noteLeft > 0 && m.local(to) {
		w.note(&n.note)
	}
}
