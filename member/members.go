package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Times of failure detection, by the age of the latest heartbeat.
const (
	// SuspectAge and GoneAge are for daemons whose heartbeats all daemons of the data centre exchange. A killed daemon
	// is out of use within 2 s.
	SuspectAge = 1800 * time.Millisecond
	GoneAge    = 4 * time.Second
	// FarSuspectAge and FarGoneAge are for daemons of other data centres in a large fleet, whose heartbeats come in turns.
	// That a single one of them is gone is heard earlier from its own data centre.
	FarSuspectAge = 5 * time.Second
	FarGoneAge    = 10 * time.Second
	// TombAge is how long a daemon that left is remembered with its successor: the life of a ticket, the repeat window
	// and a reserve.
	TombAge = 5 * time.Minute
	// ForgetAge is how long a daemon that is gone is remembered and tried, so that a partition can heal.
	ForgetAge = 2 * time.Hour
	// pauseAge is the time between two ticks from which this daemon takes itself for paused.
	pauseAge = time.Second
	// startHold is how long after its start or a pause a daemon takes no other one for gone.
	startHold = 10 * time.Second
	// learnHold is the time in which at most 1 in learnShare daemons may become known if others are to be taken for
	// gone. While many start together heartbeats travel slowly, and false claims would slow them further.
	learnHold  = 5 * time.Second
	learnShare = 32
	// unreadHold is the share of unreadable blocks of a data centre from which none of its daemons is taken for gone: not
	// all know the same ones yet, and heartbeats travel slowly.
	unreadHold = 0.3
	// unreadWeight is the weight of the latest block in that share.
	unreadWeight = 0.1
	// learnFactor is how much more may be sent in that time. A record of 280 daemons has 20 KB in all, which would take
	// most of a minute at the ordinary rate.
	learnFactor = 4
)

// Sizes and rates.
const (
	// Tick is the interval at which Tick must be called.
	Tick = 100 * time.Millisecond
	// beatUnit is the time between two heartbeats.
	beatUnit = 100 * time.Millisecond
	// Rate is the default bound for bytes sent in a second, packet overhead included. The control plane of a node has
	// 3 KB/s in all.
	Rate = 2700
	// Overhead is what a datagram costs beyond its content: IP, UDP and QUIC headers, the seal, and its share of an
	// acknowledgement.
	Overhead = 100
	// nearAll is the number of daemons up to which all of them are watched as closely as those of the data centre.
	nearAll = 16
	// noteRoom bounds the encoded note of one daemon, so that it fits into a digest beside the heartbeats.
	noteRoom = 500
)

// Send is a digest to be sent to one daemon. It may be lost.
type Send struct {
	Name string // the expected daemon name
	Addr string // empty in an answer to a daemon whose record is not known: use the connection that it came from
	Data []byte
}

// Seed is a daemon known from settings, the platform's list or the registrations.
type Seed struct {
	Name string
	Addr string
}

// Members is what one daemon knows of all. It is not safe for concurrent use. The exported fields are set before the
// first call.
type Members struct {
	Self Record // Name, Centre, Addr and Start are set by the daemon
	Rand *rand.Rand
	Rate int // bytes sent in a second, packet overhead included; 0 selects the default

	began   time.Time
	self    *node
	nodes   map[uint32]*node
	order   []uint32 // keys of nodes, sorted, for a fixed order
	names   map[string]uint32
	seeds   []Seed
	top     uint64
	budget  budget
	cursor  int // position in order for beats in turn
	centre  int // position in the data centres for blocks in turn
	version uint64
	ticked  time.Time          // the latest tick
	learned []time.Time        // when daemons became known, the latest learnHold of it
	unread  map[string]float64 // share of the latest blocks of a data centre that could not be read
	held    time.Time          // no daemon becomes gone before it
	lost    []*node            // became gone since the latest tick
}

// node is one run of a daemon.
type node struct {
	id      uint32
	rec     Record
	note    Note
	loads   loads
	gen     uint64
	count   uint64    // heartbeat, extended to 64 bits
	origin  time.Time // when its heartbeat was 0, on the own clock, at the earliest
	heard   bool      // a heartbeat was heard
	changed time.Time // when the record changed
	loaded  time.Time // when the loads changed
	claimed bool      // called gone by others, for the present incarnation
	since   time.Time // when it became gone; zero if it is not
	// How often the record, note and claim are still passed on without being asked.
	recordLeft int
	noteLeft   int
	claimLeft  int
}

// start makes the own node at the first call.
func (m *Members) start(now time.Time) {
	if m.self != nil {
		return
	}
	m.began = now
	m.budget.start(now, m.rate(now))
	m.nodes = map[uint32]*node{}
	m.names = map[string]uint32{}
	m.unread = map[string]float64{}
	m.Self.Incarnation = max(m.Self.Incarnation, m.Self.Start)
	m.Self.Version++
	m.self = m.add(now, m.Self)
}

// rate returns the bytes that may be sent in a second now.
func (m *Members) rate(now time.Time) int {
	rate := m.Rate
	if rate == 0 {
		rate = Rate
	}
	if m.converging(now) {
		rate *= learnFactor
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

// Seed replaces the daemons to try besides the known ones.
func (m *Members) Seed(seeds []Seed) { m.seeds = slices.Clone(seeds) }

// Version is raised with each change of a record, a note or a health.
func (m *Members) Version() uint64 { return m.version }

// Top returns the highest configuration generation that any daemon is known to have.
func (m *Members) Top() uint64 { return m.top }

// Find returns the record of one run of a daemon. It returns false if that run is not known, or was followed by another
// run without having left.
func (m *Members) Find(name string, start uint64) (Record, Health, bool) {
	n, ok := m.nodes[idOf(name, start)]
	if !ok || n.rec.Name != name || n.rec.Start != start {
		return Record{}, Gone, false
	}
	return n.rec, n.health(), true
}

// Run returns what routing of tickets needs to know about one run of a daemon: its record with its successor, and
// whether it may be asked. A run that is newer than the known one of its name is taken for alive, since the news of it
// may be on the way. It returns false for an older run that did not leave.
func (m *Members) Run(name string, start uint64) (r Record, alive, ok bool) {
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
			Leaving: n.note.Leaving, Suspect: n.note.Suspect, Loads: n.loads.Loads,
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
	if n.since.IsZero() {
		return Healthy
	}
	return Gone
}

// SetLoads replaces what this daemon has in flight. It is sent with the next digests as far as there is room; hosts
// with the most in flight come first.
func (m *Members) SetLoads(now time.Time, l []cuminstair.Load) {
	m.start(now)
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, func(a, b cuminstair.Load) int { return b.Inflight - a.Inflight })
	m.self.loads.Seq++
	m.self.loads.Loads = sorted
	m.self.loaded = now
}

// SetGeneration tells which configuration is in force here. A generation that no other daemon has is sent at once.
func (m *Members) SetGeneration(now time.Time, g uint64) []Send {
	m.start(now)
	m.self.gen = g
	if g <= m.top {
		return nil
	}
	m.top = g
	return m.urgent(now, []*node{m.self}, nil, ownDebt*float64(m.rate(now)))
}

// SetUpstreams tells which hosts this daemon saw leaving or suspects. A change of the leaving ones is sent at once. It
// returns the hosts that had no room; leaving hosts come first.
func (m *Members) SetUpstreams(now time.Time, leaving, suspect []string) (sends []Send, dropped []string) {
	m.start(now)
	old := m.self.note
	next := Note{ID: old.ID, Version: old.Version + 1}
	room := noteRoom - sizeOf(&next) - 6
	next.Leaving, dropped = fill(&room, leaving, dropped)
	next.Suspect, dropped = fill(&room, suspect, dropped)
	if slices.Equal(old.Leaving, next.Leaving) && slices.Equal(old.Suspect, next.Suspect) {
		return nil, dropped
	}
	news := !slices.Equal(old.Leaving, next.Leaving)
	m.self.note = next
	m.self.noteLeft = noteRepeats
	m.version++
	if !news {
		return nil, dropped
	}
	return m.urgent(now, []*node{m.self}, nil, ownDebt*float64(m.rate(now))), dropped
}

func fill(room *int, hosts, dropped []string) (kept, left []string) {
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

// SetState tells that this daemon is leaving, or has left and which run of which daemon has its tickets.
func (m *Members) SetState(now time.Time, s State, successor string, successorStart uint64) []Send {
	m.start(now)
	m.self.rec.State = s
	m.self.rec.Successor = successor
	m.self.rec.SuccessorStart = successorStart
	m.bump(now)
	return m.urgent(now, []*node{m.self}, nil, ownDebt*float64(m.rate(now)))
}

// bump publishes a change of the own record.
func (m *Members) bump(now time.Time) {
	m.self.rec.Version++
	m.self.recordLeft = recordRepeats
	m.self.changed = now
	m.version++
}
