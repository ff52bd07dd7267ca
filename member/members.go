package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Times of failure detection. Timeouts apply to the age of the latest heartbeat.
const (
	// SuspectAge and GoneAge apply to daemons of the local data centre, which all exchange their heartbeats, and to all
	// daemons of a small fleet. A killed daemon is out of use within 2 s.
	SuspectAge = 1800 * time.Millisecond
	GoneAge    = 4 * time.Second
	// FarSuspectAge and FarGoneAge apply to daemons of other data centres in a large fleet, whose heartbeats are sent
	// in rotation. If only one of them is gone, a claim from its own data centre arrives earlier.
	FarSuspectAge = 5 * time.Second
	FarGoneAge    = 10 * time.Second
	// TombstoneAge is how long a daemon that left is remembered with its successor: the lifetime of a ticket
	// (ticket.Life), the repeat window (ticket.Window) and a margin.
	TombstoneAge = 5 * time.Minute
	// ForgetAge is how long a daemon that is gone is remembered and retried, so that the fleet reconnects after a
	// partition.
	ForgetAge = 2 * time.Hour
	// pauseThreshold is the time between two ticks above which this daemon assumes that it was paused.
	pauseThreshold = time.Second
	// startGrace is the time after its start or after a pause in which a daemon marks no other daemon as gone.
	startGrace = 10 * time.Second
	// While the number of daemons that joined within joinWindow exceeds 2 plus 1 in joinShare of the known daemons, no
	// daemon is marked as gone: when many start together, heartbeats spread slowly, and false claims would slow them
	// further.
	joinWindow = 5 * time.Second
	joinShare  = 32
	// mismatchLimit is the share of unreadable blocks (see block) of a data centre above which none of its daemons is
	// marked as gone: the daemons then list different daemons for that data centre, and heartbeats spread slowly.
	mismatchLimit = 0.3
	// mismatchWeight is the weight of the latest block in the moving average of the share of unreadable blocks.
	mismatchWeight = 0.1
	// joinRateFactor multiplies the byte rate while many daemons join. The records of 280 daemons have 20 KB in all,
	// which would take most of a minute at the ordinary rate.
	joinRateFactor = 4
)

// Sizes and rates.
const (
	// Tick is the interval at which Members.Tick must be called.
	Tick = 100 * time.Millisecond
	// beatUnit is the time between two heartbeats.
	beatUnit = 100 * time.Millisecond
	// Rate is the default bound for the bytes sent per second, packet overhead included. The control plane of a node
	// has 3 KB/s in all.
	Rate = 2700
	// Overhead is the number of bytes that a datagram costs beyond its content: IP, UDP and QUIC headers, the
	// authentication tag, and its share of an acknowledgement.
	Overhead = 100
	// smallFleet is the number of daemons up to which all have the short timeouts of the local data centre.
	smallFleet = 16
	// maxNoteSize bounds the encoded note of one daemon, so that it fits into a digest beside the heartbeats.
	maxNoteSize = 500
	// noteFieldsSize bounds the encoded keys and sizes of the two lists of a note, and the number of planned hosts.
	noteFieldsSize = 2*3 + 4
)

// Send is a digest to be sent to one daemon. It may be lost.
type Send struct {
	Name string // the expected daemon name
	Addr string // empty in an answer to a daemon whose record is not known: use the connection on which its digest arrived
	Data []byte
}

// Seed is a daemon known from settings, the platform's list or the registrations.
type Seed struct {
	Name string
	Addr string
}

// Members holds what one daemon knows of all daemons. It is not safe for concurrent use. The exported fields are set
// before the first call.
type Members struct {
	Self Record // Name, Centre, Addr and Start are set by the daemon
	Rand *rand.Rand
	Rate int // bytes sent per second, packet overhead included; 0 selects the default

	startedAt   time.Time
	self        *node
	nodes       map[uint32]*node
	order       []uint32 // keys of nodes, sorted, for a fixed order
	names       map[string]uint32
	seeds       []Seed
	top         uint64
	budget      budget
	beatCursor  int // position in order for the rotation of beats
	blockCursor int // position in the other data centres for the rotation of blocks
	version     uint64
	lastTick    time.Time
	joined      []time.Time        // when daemons became known, within the last joinWindow
	mismatch    map[string]float64 // per data centre: share of the latest blocks that could not be read
	graceUntil  time.Time          // no daemon is marked as gone before this time
	newlyGone   []*node            // marked as gone since the latest tick
}

// node is one run of a daemon.
type node struct {
	id        uint32
	rec       Record
	note      Note
	loads     loads
	gen       uint64
	count     uint64    // heartbeat, extended to 64 bits
	origin    time.Time // earliest estimate of when its heartbeat was 0, on the local clock
	heard     bool      // a heartbeat was received
	changed   time.Time // when the record changed
	loaded    time.Time // when the loads changed
	claimed   bool      // reported gone by another daemon, for the current incarnation
	goneSince time.Time // when it became gone; zero if it is not
	// How many times the record, note and claim are still to be sent without being requested.
	recordSends int
	noteSends   int
	claimSends  int
}

// start creates the node of this daemon at the first call.
func (m *Members) start(now time.Time) {
	if m.self != nil {
		return
	}
	m.startedAt = now
	m.budget.start(now, m.rate(now))
	m.nodes = map[uint32]*node{}
	m.names = map[string]uint32{}
	m.mismatch = map[string]float64{}
	m.Self.Incarnation = max(m.Self.Incarnation, m.Self.Start)
	m.Self.Version++
	m.self = m.add(now, m.Self)
}

// rate returns the bytes that may now be sent per second.
func (m *Members) rate(now time.Time) int {
	rate := m.Rate
	if rate == 0 {
		rate = Rate
	}
	if m.converging(now) {
		rate *= joinRateFactor
	}
	return rate
}

func (m *Members) add(now time.Time, r Record) *node {
	n := &node{id: idOf(r.Name, r.Start), rec: r, changed: now}
	n.note.ID = n.id
	n.loads.ID = n.id
	m.nodes[n.id] = n
	m.order = append(m.order, n.id)
	slices.Sort(m.order)
	m.version++
	return n
}

func (m *Members) remove(n *node) {
	delete(m.nodes, n.id)
	i, ok := slices.BinarySearch(m.order, n.id)
	if ok {
		m.order = slices.Delete(m.order, i, i+1)
	}
	if m.names[n.rec.Name] == n.id {
		delete(m.names, n.rec.Name)
	}
	m.version++
}

// Seed replaces the list of daemons to contact besides the known ones.
func (m *Members) Seed(seeds []Seed) { m.seeds = slices.Clone(seeds) }

// Version returns a number that is raised with each change of a record, a note or a health.
func (m *Members) Version() uint64 { return m.version }

// Top returns the highest configuration generation that any daemon is known to have.
func (m *Members) Top() uint64 { return m.top }

// Find returns the record of one run of a daemon. It returns false if that run is not known, or was replaced by another
// run without having left.
func (m *Members) Find(name string, start uint64) (Record, Health, bool) {
	n, ok := m.nodes[idOf(name, start)]
	if !ok || n.rec.Name != name || n.rec.Start != start {
		return Record{}, Gone, false
	}
	return n.rec, n.health(), true
}

// FindRun returns what the routing of tickets needs about one run of a daemon: its record, which names its successor,
// and whether requests may be sent to it. A run that is newer than the known one of its name is assumed to be alive,
// since its record may not have arrived yet. FindRun returns false for an older run that did not leave, and for an
// unknown run with the name of this daemon.
func (m *Members) FindRun(name string, start uint64) (r Record, alive, ok bool) {
	if r, h, ok := m.Find(name, start); ok {
		return r, r.State != Left && h != Gone, true
	}
	if name == m.Self.Name {
		return Record{}, false, false
	}
	if current, ok := m.nodes[m.names[name]]; ok && current.rec.Name == name && current.rec.Start >= start {
		return Record{}, false, false
	}
	return Record{Name: name, Start: start}, true, true
}

// List returns the known daemons that did not leave, with this one, sorted by name.
func (m *Members) List(now time.Time) []Member {
	m.start(now)
	m.detect(now)
	out := make([]Member, 0, len(m.nodes))
	for _, id := range m.order {
		n := m.nodes[id]
		if n.rec.State == Left {
			continue
		}
		h := n.health()
		if h == Healthy && m.age(now, n) > m.suspectAge(n) {
			h = Suspect
		}
		out = append(out, Member{
			Record: n.rec, Health: h, Generation: n.gen,
			Leaving: n.note.Leaving, Planned: n.note.PlannedHosts(), Suspect: n.note.Suspect, Loads: n.loads.Loads,
		})
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (n *node) health() Health {
	if n.goneSince.IsZero() {
		return Healthy
	}
	return Gone
}

// SetLoads replaces the loads of this daemon. They are sent with the next digests as far as they fit; hosts with the
// most requests in flight come first.
func (m *Members) SetLoads(now time.Time, l []cuminstair.Load) {
	m.start(now)
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b cuminstair.Load) int { return b.Inflight - a.Inflight })
	m.self.loads.Seq++
	m.self.loads.Loads = sorted
	m.self.loaded = now
}

// SetGeneration sets the configuration generation in force on this daemon. A generation above all known ones is sent at
// once.
func (m *Members) SetGeneration(now time.Time, g uint64) []Send {
	m.start(now)
	m.self.gen = g
	if g <= m.top {
		return nil
	}
	m.top = g
	return m.urgent(now, []*node{m.self}, nil, urgentOverdraft*float64(m.rate(now)))
}

// SetUpstreams sets the hosts that this daemon saw leaving, those that leave by the platform's list or an order, and those
// that it suspects. A change of the hosts that leave is sent at once. dropped lists the hosts that did not fit into the
// note; they are added in this order, since most planned hosts are also known from their rows.
func (m *Members) SetUpstreams(now time.Time, leaving, planned, suspect []string) (sends []Send, dropped []string) {
	m.start(now)
	old := m.self.note
	next := Note{ID: old.ID, Version: old.Version + 1}
	room := maxNoteSize - sizeOf(&next) - noteFieldsSize
	next.Leaving, dropped = fitHosts(&room, leaving, dropped)
	fit, dropped := fitHosts(&room, planned, dropped)
	next.Leaving, next.Planned = append(next.Leaving, fit...), uint16(len(fit))
	next.Suspect, dropped = fitHosts(&room, suspect, dropped)
	leavingChanged := !slices.Equal(old.Leaving, next.Leaving) || old.Planned != next.Planned
	if !leavingChanged && slices.Equal(old.Suspect, next.Suspect) {
		return nil, dropped
	}
	m.self.note = next
	m.self.noteSends = noteRepeats
	m.version++
	if !leavingChanged {
		return nil, dropped
	}
	return m.urgent(now, []*node{m.self}, nil, urgentOverdraft*float64(m.rate(now))), dropped
}

// fitHosts keeps the hosts that fit into room, reduces it, and appends the others to dropped.
func fitHosts(room *int, hosts, dropped []string) (kept, rest []string) {
	for _, h := range hosts {
		if n := len(h) + 2; n <= *room {
			*room -= n
			kept = append(kept, h)
			continue
		}
		dropped = append(dropped, h)
	}
	return kept, dropped
}

// SetState sets the state of this daemon and, if it has left, the run of the daemon that took over its tickets.
func (m *Members) SetState(now time.Time, s State, successor string, successorStart uint64) []Send {
	m.start(now)
	m.self.rec.State = s
	m.self.rec.Successor = successor
	m.self.rec.SuccessorStart = successorStart
	m.publishRecord(now)
	return m.urgent(now, []*node{m.self}, nil, urgentOverdraft*float64(m.rate(now)))
}

// publishRecord raises the version of this daemon's record after a change and schedules its sending.
func (m *Members) publishRecord(now time.Time) {
	m.self.rec.Version++
	m.self.recordSends = recordRepeats
	m.self.changed = now
	m.version++
}
