package member

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// Receive processes a digest from the daemon with the given certificate name and returns the digests to send. Error:
// ErrDigest.
func (m *Members) Receive(now time.Time, from string, data []byte) ([]Send, error) {
	m.start(now)
	d, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("digest from %s: %w", from, err)
	}
	in := &merger{now: now, m: m, d: d, seen: map[uint32]beat{}}
	in.mergeRecords()
	in.mergeBeats()
	in.mergeNotesAndLoads()
	in.mergeBlocks()
	in.applyClaims()
	sender := m.nodes[d.From]
	if sender != nil && sender.rec.Name != from {
		return nil, fmt.Errorf("digest from %s claims to be from %s: %w", from, sender.rec.Name, ErrDigest)
	}
	sends := in.forward(sender)
	if reply := in.reply(sender); reply != nil {
		to := Seed{Name: from}
		if sender != nil {
			to.Addr = sender.rec.Addr
		}
		sends = append(sends, m.budget.reply.take(to, reply))
	}
	if sender != nil {
		m.revive(sender) // the reply told the sender that it was marked as gone
	}
	return sends, nil
}

// merger merges one received digest into Members.
type merger struct {
	now         time.Time
	m           *Members
	d           *digest
	seen        map[uint32]beat // heartbeats in the digest
	wants       []uint32
	outdated    []*node  // nodes whose heartbeat, record or note in the digest is older than the local one
	changed     []*node  // nodes with updates that may be forwarded at once
	newerBlocks []string // data centres with heartbeats that are newer here than in the sender's block
	mismatched  []string // data centres whose daemons or versions differ between the sender's block and this daemon
	newerGen    bool     // the digest had a higher generation
}

func (in *merger) mergeRecords() {
	for i := range in.d.Records {
		n := in.m.merge(in.now, in.d.Records[i])
		if n == nil {
			continue
		}
		in.changed = append(in.changed, n)
		if in.d.Urgent || n.id == in.d.From {
			n.recordSends = recordRepeats // other records were requested and are already widely known
		}
	}
}

// merge adds or updates the node of a record. It returns the node, or nil if the record changed nothing.
func (m *Members) merge(now time.Time, r Record) *node {
	id := idOf(r.Name, r.Start)
	if n, ok := m.nodes[id]; ok {
		return m.update(now, n, r)
	}
	if r.Name == m.self.rec.Name {
		return m.mergeOwnName(now, r)
	}
	old := m.nodes[m.names[r.Name]]
	if old != nil && old.rec.Incarnation >= r.Incarnation {
		if r.State != Left {
			return nil
		}
		return m.insert(now, r, false) // an older run that left; the routing of tickets needs its successor
	}
	if old != nil && old.rec.State != Left {
		m.remove(old)
	}
	return m.insert(now, r, true)
}

func (m *Members) insert(now time.Time, r Record, current bool) *node {
	n := m.add(now, r)
	m.joined = append(m.joined, now)
	if current {
		m.names[r.Name] = n.id
	}
	return n
}

func (m *Members) update(now time.Time, n *node, r Record) *node {
	if n.rec.Name != r.Name || n.rec.Start != r.Start || n == m.self {
		return nil // another daemon with the same short identity, or a record of this daemon, which only it changes
	}
	if r.Version <= n.rec.Version {
		return nil
	}
	incarnationRaised := r.Incarnation > n.rec.Incarnation
	n.rec = r
	n.changed = now
	n.recordSends = 0
	m.version++
	if incarnationRaised {
		m.revive(n)
		n.heard = false
	}
	return n
}

// mergeOwnName processes the record of another run with this daemon's name. If the incarnation of that run is not
// lower, this daemon raises its own above it. The record is kept only if that run left.
func (m *Members) mergeOwnName(now time.Time, r Record) *node {
	if r.Incarnation >= m.self.rec.Incarnation {
		m.raiseIncarnation(now, r.Incarnation)
	}
	if r.State == Left {
		return m.insert(now, r, false)
	}
	return nil
}

func (in *merger) mergeBeats() {
	m := in.m
	if in.d.Top > m.top {
		m.top = in.d.Top
		in.newerGen = true
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
		in.compareBeat(n, b)
	})
}

func (in *merger) compareBeat(n *node, b beat) {
	m := in.m
	if n == m.self {
		if b.record != uint8(n.rec.Version) || b.note != uint8(n.note.Version) && in.localSender() {
			in.outdated = append(in.outdated, n)
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
		in.outdated = append(in.outdated, n)
	}
}

func (in *merger) localSender() bool { return in.m.local(in.m.nodes[in.d.From]) }

func (in *merger) mergeNotesAndLoads() {
	m := in.m
	for i := range in.d.Notes {
		x := in.d.Notes[i]
		n, ok := m.nodes[x.ID]
		if !ok || n == m.self || !m.local(n) || x.Version <= n.note.Version {
			continue
		}
		n.note = x
		n.noteSends = noteRepeats
		m.version++
		in.changed = append(in.changed, n)
	}
	for i := range in.d.Loads {
		x := in.d.Loads[i]
		if n, ok := m.nodes[x.ID]; ok && n != m.self && x.Seq > n.loads.Seq {
			n.loads = x
			n.loaded = in.now
		}
	}
}

func (in *merger) applyClaims() {
	eachClaim(in.d.Claims, func(c claim) {
		if in.m.applyClaim(in.now, c) {
			in.changed = append(in.changed, in.m.nodes[c.id])
		}
	})
}

// forward returns digests that forward urgent updates at once. Each daemon forwards an update only when it first
// receives it.
func (in *merger) forward(sender *node) []Send {
	var about []*node
	for _, n := range in.changed {
		if in.d.Urgent || n == in.m.self {
			about = append(about, n)
		}
	}
	if len(about) == 0 && !in.newerGen {
		return nil
	}
	return in.m.urgent(in.now, about, sender, 0)
}

// reply returns a digest with what the sender lacks and requests for what this daemon lacks, or nil.
func (in *merger) reply(sender *node) []byte {
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
	} else if m.reportedGone(sender) {
		w.claim(claim{sender.id, uint32(sender.rec.Incarnation)})
	}
	in.addAnswers(w, sender)
	if in.d.Phase == phasePush {
		in.addNewerBeats(w, sender)
	}
	if len(w.Blocks)+len(w.Beats)+len(w.Records)+len(w.Notes)+len(w.Wants)+len(w.Claims) == 0 {
		return nil
	}
	return w.encode()
}

// addAnswers writes the records and notes that the sender requested or has in an older version.
func (in *merger) addAnswers(w *writer, sender *node) {
	m := in.m
	limit := w.limit
	w.limit = min(limit, w.size+maxAnswersSize)
	defer func() { w.limit = limit }()
	eachWant(in.d.Wants, func(id uint32) {
		if n, ok := m.nodes[id]; ok {
			in.addRecordAndNote(w, n, sender)
		}
	})
	for _, n := range in.outdated {
		b := in.seen[n.id]
		if int8(uint8(n.rec.Version)-b.record) > 0 {
			w.record(&n.rec)
		}
		if m.local(n) && m.local(sender) && int8(uint8(n.note.Version)-b.note) > 0 {
			w.note(&n.note)
		}
	}
}

func (in *merger) addRecordAndNote(w *writer, n, sender *node) {
	w.record(&n.rec)
	if n.note.Version > 0 && in.m.local(n) && in.m.local(sender) {
		w.note(&n.note)
	}
}

// addNewerBeats writes the heartbeat of this daemon and those that are newer here than in the digest. A joining sender
// gets records as well.
func (in *merger) addNewerBeats(w *writer, sender *node) {
	m := in.m
	w.beat(m.beatOf(in.now, m.self))
	for _, n := range in.outdated {
		if n != m.self && m.relayed(in.now, n) {
			w.beat(m.beatOf(in.now, n))
		}
	}
	rosters, _ := m.rosters(in.now)
	for _, c := range in.newerBlocks {
		w.block(m.blockOf(c, rosters[c], sender, m.countOf(in.now)))
	}
	if !in.d.Join {
		in.addMismatchedBeats(w)
		return
	}
	w.record(&m.self.rec)
	for _, id := range m.order {
		if n := m.nodes[id]; n != sender && n.goneSince.IsZero() {
			w.record(&n.rec)
		}
	}
}

// addMismatchedBeats writes beats, with identities and versions, for one data centre whose daemons or versions differ
// from the sender's.
func (in *merger) addMismatchedBeats(w *writer) {
	m := in.m
	if len(in.mismatched) == 0 {
		return
	}
	centre := in.mismatched[0]
	for _, id := range m.order {
		n := m.nodes[id]
		if n.rec.Centre == centre && m.relayed(in.now, n) {
			w.beat(m.beatOf(in.now, n))
		}
	}
}

// mergeBlocks merges the blocks whose roster is the same here.
func (in *merger) mergeBlocks() {
	m := in.m
	rosters, centres := m.rosters(in.now)
	sender := m.nodes[in.d.From]
	eachBlock(in.d.Blocks, func(x block) {
		i := slices.IndexFunc(centres, func(c string) bool { return centreID(c) == x.centre })
		if i < 0 {
			return // unknown data centre; its daemons become known by the sender's single beats
		}
		c := centres[i]
		nodes := rosters[c]
		same := len(x.counts) == countSize*len(nodes) && x.roster == rosterHash(nodes)
		if !same || x.versions != versionHash(nodes, i == 0 && m.local(sender)) {
			in.mismatched = append(in.mismatched, c)
		}
		m.countMismatch(c, !same)
		if !same {
			return
		}
		if in.mergeCounts(nodes, x.counts) {
			in.newerBlocks = append(in.newerBlocks, c)
		}
	})
}

func (m *Members) countMismatch(centre string, mismatch bool) {
	share := m.mismatch[centre] * (1 - mismatchWeight)
	if mismatch {
		share += mismatchWeight
	}
	m.mismatch[centre] = share
}

// mergeCounts merges the heartbeats of a block and returns whether some are newer here.
func (in *merger) mergeCounts(nodes []*node, counts []byte) bool {
	newer := false
	for i, n := range nodes {
		count := binary.BigEndian.Uint16(counts[countSize*i:])
		if n == in.m.self || count == 0 {
			continue // 0: the sender has received no heartbeat of n
		}
		if !n.observe(in.now, count) && uint16(n.count) != count {
			newer = true
		}
	}
	return newer
}
