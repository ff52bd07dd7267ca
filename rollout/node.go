package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// Peer is another daemon.
type Peer struct {
	Name   string
	Centre string
}

// Actions is what the driver of a node has to do after an event.
type Actions struct {
	Poll      bool       // read the head from the platform and call SeeHead or PlatformFailed
	Announce  []Announce // send, without waiting for an answer
	Fetch     *Fetch     // ask and call SeeUpdate or FetchFailed with its ID
	Install   *Install   // put the new generation into force; the node has it already
	Decisions []cuminstair.Decision
}

// Announce is an announcement to a peer.
type Announce struct {
	To      string
	Message Announcement
}

// Fetch is a request to a source.
type Fetch struct {
	ID      uint64
	Source  Source
	Request Request
}

// Install names what changed with a generation.
type Install struct {
	Head     Head
	Sections []fleet.Section // new and changed ones
	Gone     []string        // names of sections that exist no more
}

// Work counts what a node did, for tests of its cost.
type Work struct {
	Sections int // sections that arrived and were installed
	Entries  int // index entries that were removed or added
	Hashed   int // manifest entries that were hashed to verify root hashes
	Stale    int // updates that were dropped because a later generation was in force
	Rejected int // updates that did not lead to their root hash
}

// Node is the configuration state of one daemon. The exported fields must be set before the first call. It is not safe
// for concurrent use.
//
// Invariant: the generation in force never becomes lower, and what is in force has the root hash of its generation.
type Node struct {
	Name        string
	Incarnation uint64 // higher than that of any earlier process with this name
	Centre      string
	Rand        *rand.Rand

	peers    []Peer
	started  time.Time
	force    Head
	manifest fleet.Manifest
	sections map[string]fleet.Section
	index    fleet.Index
	changes  []kept          // the last ones, in order; each begins at or before the end of the one before
	replaced []fleet.Section // the last sections that were replaced, for peers that still fetch them

	target       Head // highest generation that is known to be accepted
	platform     Head // what the platform last said
	platformSeen bool
	platformErr  string
	heard        map[string]inForce // what peers have in force
	fetch        *openFetch
	staged       *staged
	have         map[fleet.Hash]fleet.Section // sections that arrived since the last install
	fetches      uint64                       // counts fetches
	full         bool                         // deltas failed for the target; ask for the manifest

	retryAt    time.Time // no fetch before
	pollAt     time.Time
	announceAt time.Time
	view       view
	work       Work
}

// openFetch is the fetch that has not been answered.
type openFetch struct {
	Fetch
	at time.Time
}

// timeout returns the time until the fetch is given up.
func (f *openFetch) timeout() time.Duration {
	base := fetchTimeout
	if f.Request.After == 0 {
		base = startTimeout
	}
	if f.Source.Peer != "" {
		return base
	}
	return base + time.Duration(len(f.Request.Sections))*sectionTimeout
}

// Head returns the generation in force.
func (n *Node) Head() Head { return n.force }

// Index returns the index of the fleet in force. It changes with the next install.
func (n *Node) Index() *fleet.Index { return &n.index }

// Manifest returns the manifest in force.
func (n *Node) Manifest() fleet.Manifest { return n.manifest }

// Work returns the counts since the start.
func (n *Node) Work() Work { return n.work }

// SetPeers replaces the known peers; the own name is left out. What is known of other peers is forgotten.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == n.Name })
	known := make(map[string]inForce, len(n.peers))
	for _, p := range n.peers {
		if x, ok := n.heard[p.Name]; ok {
			known[p.Name] = x
		}
	}
	n.heard = known
}

// Ready returns false and the reason while no configuration is in force.
func (n *Node) Ready() (ok bool, reason string) {
	if n.force.Gen > 0 {
		return true, ""
	}
	switch {
	case n.target.Gen > 0:
		return false, fmt.Sprintf("generation %d is being fetched", n.target.Gen)
	case n.platformSeen:
		return false, "no configuration has been accepted yet"
	case n.platformErr != "":
		return false, fmt.Sprintf("no configuration: no peer of %d has one, and the platform: %s", len(n.peers), n.platformErr)
	default:
		return false, fmt.Sprintf("no configuration: neither the platform nor one of %d peers has answered", len(n.peers))
	}
}

// Tick is called every TickEvery.
func (n *Node) Tick(now time.Time) Actions {
	var out Actions
	n.view.beat(now)
	if n.started.IsZero() {
		n.started = now
		n.announceAt = now.Add(announceEvery)
		out.Announce = n.announceTo(now, n.sample(startPeers, nil))
	}
	if !now.Before(n.pollAt) {
		n.pollAt = now.Add(n.pollPause())
		out.Poll = true
	}
	if !now.Before(n.announceAt) {
		n.announceAt = now.Add(announceEvery)
		out.Announce = append(out.Announce, n.announceTo(now, n.sample(1, nil))...)
		if !n.view.resumed.IsZero() {
			// Asks peers whose answer confirms the view.
			near := n.sample(1, func(p Peer) bool { return p.Centre == n.Centre })
			out.Announce = append(out.Announce, n.announceTo(now, near)...)
		}
	}
	if n.fetch != nil && now.Sub(n.fetch.at) >= n.fetch.timeout() {
		n.drop(now, &out, "no answer")
	}
	n.next(now, &out)
	return out
}

// pollPause shares the reads of the head among the daemons of the data centre, with a jitter of a fifth.
func (n *Node) pollPause() time.Duration {
	count := 1
	for _, p := range n.peers {
		if p.Centre == n.Centre {
			count++
		}
	}
	pause := min(max(time.Duration(count)*pollShare, pollLeast), pollMost)
	return pause - time.Duration(n.Rand.Int64N(int64(pause)/5+1))
}

// sample returns up to count random peers for which ok is true; ok may be nil.
func (n *Node) sample(count int, ok func(Peer) bool) []string {
	var out []string
	for _, i := range n.Rand.Perm(len(n.peers)) {
		if len(out) == count {
			break
		}
		if ok == nil || ok(n.peers[i]) {
			out = append(out, n.peers[i].Name)
		}
	}
	return out
}

func (n *Node) announceTo(now time.Time, peers []string) []Announce {
	var out []Announce
	for _, p := range peers {
		m := Announcement{From: n.Name, Incarnation: n.Incarnation, Head: n.force}
		if n.force.Gen == 0 || !n.view.resumed.IsZero() {
			m.Sent = now.UnixNano()
		}
		out = append(out, Announce{To: p, Message: m})
	}
	return out
}

func (n *Node) decide(now time.Time, out *Actions, gen uint64, choice string, reason cuminstair.Reason, detail string) {
	out.Decisions = append(out.Decisions, cuminstair.Decision{
		At: now, Part: "rollout", Kind: "fleet", ID: fmt.Sprintf("generation %d", gen), Choice: choice, Reason: reason, Detail: detail,
	})
}

// Base returns what is in force as the start of a plan. It takes time in proportion to the size of the fleet.
func (n *Node) Base() Base {
	b := Base{Head: n.force, Manifest: n.manifest}
	if n.force.Gen > 0 {
		b.Fleet = n.index.Fleet()
	}
	return b
}
