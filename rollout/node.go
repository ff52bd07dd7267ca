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
	Poll      bool       // read the head from the platform and call PlatformHead or PlatformFailed
	Announce  []Announce // send, without waiting for an answer
	Fetch     *Fetch     // send the request and call FetchDone or FetchFailed with its ID
	Install   *Install   // apply the new generation, which the node itself already uses
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

// Install describes what changed with a generation.
type Install struct {
	Head     Head
	Sections []fleet.Section // new and changed ones
	Removed  []string        // names of sections that no longer exist
}

// Work counts the operations of a node, for tests of its cost.
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
// Invariants: the generation in force never decreases, and the configuration in force has the root hash of its
// generation.
type Node struct {
	Name        string
	Incarnation uint64 // higher than that of any earlier process with this name
	Centre      string
	Rand        *rand.Rand

	peers    []Peer
	started  time.Time
	inForce  Head
	manifest fleet.Manifest
	sections map[string]fleet.Section
	index    fleet.Index
	changes  []pastChange    // the latest changes, in order; each begins at or before the end of the previous one
	replaced []fleet.Section // the latest sections that were replaced, for peers that still fetch them

	target       Head // highest generation that is known to be accepted
	platform     Head // highest head that the platform returned
	platformSeen bool
	platformErr  string
	peerStates   map[string]peerState // latest known state by peer name
	fetch        *openFetch
	staged       *staged
	received     map[fleet.Hash]fleet.Section // sections received since the last install
	fetches      uint64                       // number of fetches so far; also the ID of the last fetch
	needManifest bool                         // deltas failed for the target; request the manifest

	retryAt    time.Time // no fetch starts before this time
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

// timeout returns the time after which the fetch is given up.
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
func (n *Node) Head() Head { return n.inForce }

// Index returns the index of the fleet in force. It changes with the next install.
func (n *Node) Index() *fleet.Index { return &n.index }

// Manifest returns the manifest in force.
func (n *Node) Manifest() fleet.Manifest { return n.manifest }

// Work returns the counts since the start.
func (n *Node) Work() Work { return n.work }

// SetPeers replaces the known peers; the name of this daemon is left out. The state of peers that are no longer listed
// is dropped.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Name == n.Name })
	known := make(map[string]peerState, len(n.peers))
	for _, p := range n.peers {
		if x, ok := n.peerStates[p.Name]; ok {
			known[p.Name] = x
		}
	}
	n.peerStates = known
}

// Ready returns false and the reason while no configuration is in force.
func (n *Node) Ready() (ok bool, reason string) {
	if n.inForce.Gen > 0 {
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

// Tick must be called every TickEvery.
func (n *Node) Tick(now time.Time) Actions {
	var out Actions
	n.view.observe(now)
	if n.started.IsZero() {
		n.started = now
		n.announceAt = now.Add(announceInterval)
		out.Announce = n.announceTo(now, n.sample(startPeers, nil))
	}
	if !now.Before(n.pollAt) {
		n.pollAt = now.Add(n.pollInterval())
		out.Poll = true
	}
	if !now.Before(n.announceAt) {
		n.announceAt = now.Add(announceInterval)
		out.Announce = append(out.Announce, n.announceTo(now, n.sample(1, nil))...)
		if !n.view.resumed.IsZero() {
			// Requests an answer from a peer of the data centre, which confirms the view.
			local := n.sample(1, func(p Peer) bool { return p.Centre == n.Centre })
			out.Announce = append(out.Announce, n.announceTo(now, local)...)
		}
	}
	if n.fetch != nil && now.Sub(n.fetch.at) >= n.fetch.timeout() {
		n.abandonFetch(now, &out, "no answer")
	}
	n.startFetch(now, &out)
	return out
}

// pollInterval returns the time to the next read of the head. It grows with the number of daemons in the data centre,
// since each of them reads the head, and is shortened by a random part of up to a fifth.
func (n *Node) pollInterval() time.Duration {
	count := 1
	for _, p := range n.peers {
		if p.Centre == n.Centre {
			count++
		}
	}
	interval := min(max(time.Duration(count)*pollPerDaemon, minPollInterval), maxPollInterval)
	return interval - time.Duration(n.Rand.Int64N(int64(interval)/5+1))
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
		m := Announcement{From: n.Name, Incarnation: n.Incarnation, Head: n.inForce}
		if n.inForce.Gen == 0 || !n.view.resumed.IsZero() {
			m.Sent = now.UnixNano()
		}
		out = append(out, Announce{To: p, Message: m})
	}
	return out
}

func (n *Node) recordDecision(now time.Time, out *Actions, gen uint64, choice string, reason cuminstair.Reason, detail string) {
	out.Decisions = append(out.Decisions, cuminstair.Decision{
		At: now, Part: "rollout", Kind: "fleet", ID: fmt.Sprintf("generation %d", gen), Choice: choice, Reason: reason, Detail: detail,
	})
}

// Base returns the configuration in force as the base of a plan. It takes time in proportion to the size of the fleet.
func (n *Node) Base() Base {
	b := Base{Head: n.inForce, Manifest: n.manifest}
	if n.inForce.Gen > 0 {
		b.Fleet = n.index.Fleet()
	}
	return b
}
