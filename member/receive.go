package member

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// Receive takes a digest from the daemon with the given certificate name and returns what is sent in return. Error:
// ErrDigest.
func (m *Members) Receive(now time.Time, from string, data []byte) ([]Send, error) {
	m.start(now)
	d, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("digest from %s: %w", from, err)
	}
	in := &intake{now: now, m: m, d: d, seen: map[uint32]beat{}}
	in.records()
	in.beats()
	in.notes()
	in.blocks()
	in.claims()
	sender := m.nodes[d.From]
	if sender != nil && sender.rec.Name != from {
		return nil, fmt.Errorf("digest from %s in the name of %s: %w", from, sender.rec.Name, ErrDigest)
	}
	sends := in.passOn(sender)
	if reply := in.reply(sender); reply != nil {
		to := Seed{Name: from}
		if sender != nil {
			to.Addr = sender.rec.Addr
		}
		sends = append(sends, m.budget.reply.take(to, reply))
	}
	if sender != nil {
		m.revive(sender) // the reply told it that it was taken for gone
	}
	return sends, nil
}

// intake merges one digest.
type intake struct {
	now   time.Time
	m     *Members
	d     *digest
	seen  map[uint32]beat // heartbeats in the digest
	wants []uint32
	older []*node  // the sender's heartbeat, record or note of these is older than ours
	hot   []*node  // news that are passed on at once
	fresh []string // data centres of whose blocks some heartbeats are fresher here
	other []string // data centres of whose daemons the sender knows others or other versions
	newer bool     // the digest told of a higher generation
}

func (in *intake) records() {
	for i := range in.d.Records {
		n := in.m.merge(in.now, in.d.Records[i])
		if n == nil {
			continue
		}
		in.hot = append(in.hot, n)
		if in.d.Urgent || n.id == in.d.From {
			n.recordLeft = recordRepeats // others were asked for and are known widely
		}
	}
}

// merge takes a record and returns its node if it was news.
func (m *Members) merge(now time.Time, r Record) *node {
	id := idOf(r.Name, r.Start)
	if n, ok := m.nodes[id]; ok {
		return m.update(now, n, r)
	}
	if r.Name == m.self.rec.Name {
		return m.rival(now, r)
	}
	old := m.nodes[m.names[r.Name]]
	if old != nil && old.rec.Incarnation >= r.Incarnation {
		if r.State != Left {
			return nil
		}
		return m.learn(now, r, false) // remembered for its successor
	}
	if old != nil && old.rec.State != Left {
		m.remove(old)
	}
	return m.learn(now, r, true)
}

func (m *Members) learn(now time.Time, r Record, current bool) *node {
	n := m.add(now, r)
	m.learned = append(m.learned, now)
	if current {
		m.names[r.Name] = n.id
	}
	return n
}

func (m *Members) update(now time.Time, n *node, r Record) *node {
	if n.rec.Name != r.Name || n.rec.Start != r.Start || n == m.self {
		return nil // another daemon with the same short identity, or an old record of this one
	}
	if r.Version <= n.rec.Version {
		return nil
	}
	risen := r.Incarnation > n.rec.Incarnation
	n.rec = r
	n.changed = now
	n.recordLeft = 0
	m.version++
	if risen {
		m.revive(n)
		n.heard = false
	}
	return n
}

// rival takes the record of another run of this daemon's name. An earlier run that left is remembered; any other with a
// higher incarnation is overruled.
func (m *Members) rival(now time.Time, r Record) *node {
	if r.Incarnation >= m.self.rec.Incarnation {
		m.raise(now, r.Incarnation)
	}
	if r.State == Left {
		return m.learn(now, r, false)
	}
	return nil
}

func (in *intake) beats() {
	m := in.m
	if in.d.Top > m.top {
		m.top = in.d.Top
		in.newer = true
	}
	eachBeat(in.d.Beats, func(b beat) {
		in.seen[b.id] = b
		n, ok := m.nodes[b.id]
		if !ok {
			if b.id != in.d.From {
				in.wants = append(in.wants, b.id)
			}
			return
		}
		in.compare(n, b)
	})
}

func (in *intake) compare(n *node, b beat) {
	m := in.m
	if n == m.self {
		if b.record != uint8(n.rec.Version) || b.note != uint8(n.note.Version) && in.localSender() {
			in.older = append(in.older, n)
		}
		return
	}
	if n.observe(in.now, b.count) && b.behind != 255 && in.d.Top >= uint64(b.behind) {
		n.gen = in.d.Top - uint64(b.behind)
	}
	record := int8(b.record - uint8(n.rec.Version))
	note := int8(b.note - uint8(n.note.Version))
	if !m.local(n) || !in.localSender() {
		note = 0
	}
	if record > 0 || note > 0 {
		in.wants = append(in.wants, n.id)
	}
	if record < 0 || note < 0 || int16(b.count-uint16(n.count)) < 0 {
		in.older = append(in.older, n)
	}
}

func (in *intake) localSender() bool { return in.m.local(in.m.nodes[in.d.From]) }

func (in *intake) notes() {
	m := in.m
	for i := range in.d.Notes {
		x := in.d.Notes[i]
		n, ok := m.nodes[x.ID]
		if !ok || n == m.self || !m.local(n) || x.Version <= n.note.Version {
			continue
		}
		n.note = x
		n.noteLeft = noteRepeats
		m.version++
		in.hot = append(in.hot, n)
	}
	for i := range in.d.Loads {
		x := in.d.Loads[i]
		if n, ok := m.nodes[x.ID]; ok && n != m.self && x.Seq > n.loads.Seq {
			n.loads = x
			n.loaded = in.now
		}
	}
}

func (in *intake) claims() {
	eachClaim(in.d.Claims, func(c claim) {
		if in.m.takeClaim(in.now, c) {
			in.hot = append(in.hot, in.m.nodes[c.id])
		}
	})
}

// passOn sends urgent news on at once; each daemon does that once per piece of news.
func (in *intake) passOn(sender *node) []Send {
	var about []*node
	for _, n := range in.hot {
		if in.d.Urgent || n == in.m.self {
			about = append(about, n)
		}
	}
	if len(about) == 0 && !in.newer {
		return nil
	}
	return in.m.urgent(in.now, about, sender, 0)
}

// reply writes what the sender lacks and asks for what this daemon lacks, or returns nil.
func (in *intake) reply(sender *node) []byte {
	m := in.m
	if in.d.Phase >= phaseFinal || m.budget.reply.tokens <= 0 {
		return nil
	}
	w := newWriter(m.self.id, in.d.Phase+1, MaxDigest)
	w.Top = m.top
	for _, id := range in.wants {
		if w.Phase < phaseFinal {
			w.want(id)
		}
	}
	if sender == nil {
		w.want(in.d.From)
	} else if m.announced(sender) {
		w.claim(claim{sender.id, uint32(sender.rec.Incarnation)})
	}
	in.answers(w, sender)
	if in.d.Phase == phasePush {
		in.fresher(w, sender)
	}
	if len(w.Blocks)+len(w.Beats)+len(w.Records)+len(w.Notes)+len(w.Wants)+len(w.Claims) == 0 {
		return nil
	}
	return w.encode()
}

// answers writes what the sender asked for, or has an older version of.
func (in *intake) answers(w *writer, sender *node) {
	m := in.m
	limit := w.limit
	w.limit = min(limit, w.size+wholeRoom)
	defer func() { w.limit = limit }()
	eachWant(in.d.Wants, func(id uint32) {
		if n, ok := m.nodes[id]; ok {
			in.whole(w, n, sender)
		}
	})
	for _, n := range in.older {
		b := in.seen[n.id]
		if int8(uint8(n.rec.Version)-b.record) > 0 {
			w.record(&n.rec)
		}
		if m.local(n) && m.local(sender) && int8(uint8(n.note.Version)-b.note) > 0 {
			w.note(&n.note)
		}
	}
}

func (in *intake) whole(w *writer, n, sender *node) {
	w.record(&n.rec)
	if n.note.Version > 0 && in.m.local(n) && in.m.local(sender) {
		w.note(&n.note)
	}
}

// fresher writes the own heartbeat and those that are fresher here than in the digest. A joining sender gets records as
// well.
func (in *intake) fresher(w *writer, sender *node) {
	m := in.m
	w.beat(m.beatOf(in.now, m.self))
	for _, n := range in.older {
		if n != m.self && m.carried(in.now, n) {
			w.beat(m.beatOf(in.now, n))
		}
	}
	rosters, _ := m.rosters(in.now)
	for _, c := range in.fresh {
		w.block(m.blockOf(c, rosters[c], sender, m.countOf(in.now)))
	}
	if !in.d.Join {
		in.details(w)
		return
	}
	w.record(&m.self.rec)
	for _, id := range m.order {
		if n := m.nodes[id]; n != sender && n.since.IsZero() {
			w.record(&n.rec)
		}
	}
}

// details writes beats with identities and versions for one data centre where the sender knows others.
func (in *intake) details(w *writer) {
	m := in.m
	if len(in.other) == 0 {
		return
	}
	centre := in.other[0]
	for _, id := range m.order {
		n := m.nodes[id]
		if n.rec.Centre == centre && m.carried(in.now, n) {
			w.beat(m.beatOf(in.now, n))
		}
	}
}

// blocks reads the blocks whose roster is known here.
func (in *intake) blocks() {
	m := in.m
	rosters, centres := m.rosters(in.now)
	sender := m.nodes[in.d.From]
	eachBlock(in.d.Blocks, func(x block) {
		i := slices.IndexFunc(centres, func(c string) bool { return centreID(c) == x.centre })
		if i < 0 {
			return // the sender's beats in turn introduce it
		}
		c := centres[i]
		nodes := rosters[c]
		same := len(x.counts) == countSize*len(nodes) && x.roster == rosterHash(nodes)
		if !same || x.versions != versionHash(nodes, i == 0 && m.local(sender)) {
			in.other = append(in.other, c)
		}
		m.countUnread(c, !same)
		if !same {
			return
		}
		if in.counts(nodes, x.counts) {
			in.fresh = append(in.fresh, c)
		}
	})
}

func (m *Members) countUnread(centre string, unread bool) {
	share := m.unread[centre] * (1 - unreadWeight)
	if unread {
		share += unreadWeight
	}
	m.unread[centre] = share
}

// counts takes the heartbeats of a block and returns whether some are fresher here.
func (in *intake) counts(nodes []*node, counts []byte) bool {
	fresher := false
	for i, n := range nodes {
		count := binary.BigEndian.Uint16(counts[countSize*i:])
		if n == in.m.self || count == 0 {
			continue // 0: the sender has not heard it
		}
		if !n.observe(in.now, count) && uint16(n.count) != count {
			fresher = true
		}
	}
	return fresher
}
