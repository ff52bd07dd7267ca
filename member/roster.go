package member

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// A block holds the heartbeats of all daemons of one data centre, two bytes each, without their identities. Sender and
// receiver list the daemons in the same order if they know the same ones, which a hash of the roster shows. A second
// hash shows whether they know the same versions. If either differs, the receiver answers with beats, which carry
// identities and versions, and both request what they lack. With 40 daemons in a data centre a block has 91 bytes, and
// beats would have 360.
const (
	blockHeader = 11
	countSize   = 2
	maxBlock    = 255 // daemons in a block
	// listedAge is how long blocks list a daemon that is gone.
	listedAge = 30 * time.Second
)

// block is a decoded block.
type block struct {
	centre   uint16 // short hash of the name of the data centre
	roster   uint32 // hash of the identities of the daemons
	versions uint32 // hash of the versions of their records and notes
	counts   []byte
}

func appendBlock(b []byte, x block) []byte {
	b = binary.BigEndian.AppendUint16(b, x.centre)
	b = binary.BigEndian.AppendUint32(b, x.roster)
	b = binary.BigEndian.AppendUint32(b, x.versions)
	b = append(b, byte(len(x.counts)/countSize))
	return append(b, x.counts...)
}

// eachBlock calls fn for each block and returns false if the bytes are truncated.
func eachBlock(b []byte, fn func(block)) bool {
	for len(b) > 0 {
		if len(b) < blockHeader {
			return false
		}
		size := blockHeader + countSize*int(b[blockHeader-1])
		if len(b) < size {
			return false
		}
		fn(block{
			centre: binary.BigEndian.Uint16(b), roster: binary.BigEndian.Uint32(b[2:]),
			versions: binary.BigEndian.Uint32(b[6:]),
			counts:   b[blockHeader:size],
		})
		b = b[size:]
	}
	return true
}

func centreID(name string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	sum := h.Sum32()
	return uint16(sum ^ sum>>16)
}

// rosters returns, for each data centre, the daemons that its blocks list, sorted by identity. It also returns the
// names of the data centres: the local one first, then the others, sorted.
func (m *Members) rosters(now time.Time) (rosters map[string][]*node, centres []string) {
	rosters = map[string][]*node{}
	for _, id := range m.order {
		n := m.nodes[id]
		if !m.listed(now, n) {
			continue
		}
		if len(rosters[n.rec.Centre]) == 0 && n.rec.Centre != m.self.rec.Centre {
			centres = append(centres, n.rec.Centre)
		}
		rosters[n.rec.Centre] = append(rosters[n.rec.Centre], n)
	}
	slices.Sort(centres)
	return rosters, append([]string{m.self.rec.Centre}, centres...)
}

// listed reports whether blocks list a daemon. A daemon that is gone stays listed for listedAge, so that the others
// have marked it as gone as well before it is removed from the roster.
func (m *Members) listed(now time.Time, n *node) bool {
	if n == m.self {
		return true
	}
	return n.rec.State != Left && m.names[n.rec.Name] == n.id && (n.goneSince.IsZero() || now.Sub(n.goneSince) < listedAge)
}

func rosterHash(nodes []*node) uint32 {
	h := fnv.New32a()
	var b [4]byte
	for _, n := range nodes {
		binary.BigEndian.PutUint32(b[:], n.id)
		_, _ = h.Write(b[:])
	}
	return h.Sum32()
}

// versionHash hashes the versions of the records, and of the notes, which are known only inside their data centre.
func versionHash(nodes []*node, notes bool) uint32 {
	h := fnv.New32a()
	var b [4]byte
	for _, n := range nodes {
		binary.BigEndian.PutUint16(b[:], uint16(n.rec.Version))
		if notes {
			binary.BigEndian.PutUint16(b[2:], uint16(n.note.Version))
		}
		_, _ = h.Write(b[:])
	}
	return h.Sum32()
}

func (m *Members) blockOf(centre string, nodes []*node, to *node, own uint16) block {
	x := block{
		centre:   centreID(centre),
		roster:   rosterHash(nodes),
		versions: versionHash(nodes, centre == m.self.rec.Centre && m.local(to)),
		counts:   make([]byte, 0, countSize*len(nodes)),
	}
	for _, n := range nodes {
		count := uint16(n.count)
		if n == m.self {
			count = own
		}
		x.counts = binary.BigEndian.AppendUint16(x.counts, count)
	}
	return x
}
