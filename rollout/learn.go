package rollout

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// Reason codes of decisions about configurations.
const (
	ReasonNewer    cuminstair.Reason = "newer"    // a later generation was accepted
	ReasonOlder    cuminstair.Reason = "older"    // a later generation is in force already
	ReasonRoot     cuminstair.Reason = "root"     // the update did not lead to the root hash of its generation
	ReasonNoAnswer cuminstair.Reason = "noanswer" // a source did not answer
	ReasonSplit    cuminstair.Reason = "split"    // two root hashes for one generation
)

// PlatformHead processes the head row that the platform returned. asked is when the read was started; the answer confirms
// the view only if that was after the last long pause. A Head of generation 0 means that there is no row.
func (n *Node) PlatformHead(now, asked time.Time, h Head) Actions {
	var out Actions
	n.platformSeen, n.platformErr = true, ""
	if h.Gen >= n.platform.Gen {
		n.platform = h
	}
	n.view.confirm(asked, h.Gen, n.inForce.Gen)
	n.updateTarget(now, &out, h, Source{})
	n.startFetch(now, &out)
	return out
}

// PlatformFailed records that a read of the head failed.
func (n *Node) PlatformFailed(reason string) { n.platformErr = reason }

// Announced processes a peer's announcement.
func (n *Node) Announced(now time.Time, a Announcement) Actions {
	var out Actions
	n.Confirm(a.From, a.Incarnation, a.Head.Gen)
	if a.Asked != 0 && n.centreOf(a.From) == n.Centre {
		n.view.confirm(time.Unix(0, a.Asked), a.Head.Gen, n.inForce.Gen)
	}
	n.updateTarget(now, &out, a.Head, Source{Peer: a.From})
	if a.Asked == 0 && (a.Head.Gen < n.inForce.Gen || (a.Head.Gen == n.inForce.Gen && a.Sent != 0)) {
		// Tells the peer that it is behind, or confirms its view.
		reply := n.announceTo(now, []string{a.From})
		reply[0].Message.Sent, reply[0].Message.Asked = 0, max(a.Sent, 1)
		out.Announce = append(out.Announce, reply...)
	}
	n.startFetch(now, &out)
	return out
}

func (n *Node) centreOf(peer string) string {
	for _, p := range n.peers {
		if p.Name == peer {
			return p.Centre
		}
	}
	return ""
}

// updateTarget processes a head that is known to be accepted. A later generation becomes the target. If the root hashes
// of one generation differ between sources, the one from the platform is used.
func (n *Node) updateTarget(now time.Time, out *Actions, h Head, from Source) {
	if h.Gen < n.target.Gen || h.Gen == 0 {
		return
	}
	if h.Gen == n.target.Gen && h.Root != n.target.Root {
		n.recordDecision(now, out, h.Gen, "kept", ReasonSplit, fmt.Sprintf("%s has root %s, not %s", from, h.Root, n.target.Root))
		if from.Peer != "" || h.Gen <= n.inForce.Gen {
			return
		}
	}
	if h.Gen > n.target.Gen {
		n.needManifest = false
	}
	h.Version = max(h.Version, versionOf(n.target, h))
	n.target = h
}

// versionOf returns the table version of known if known and h are the same generation, and 0 otherwise.
func versionOf(known, h Head) uint64 {
	if known.Gen == h.Gen {
		return known.Version
	}
	return 0
}

// startFetch starts a fetch if one is needed and none is open.
func (n *Node) startFetch(now time.Time, out *Actions) {
	if n.fetch != nil || n.target.Gen <= n.inForce.Gen || now.Before(n.retryAt) {
		return
	}
	if n.inForce.Gen == 0 && !n.platformSeen && now.Sub(n.started) < startWait {
		return // Collects the heads of more peers first.
	}
	source, to, ok := n.chooseSource()
	if !ok {
		return
	}
	r := Request{After: n.inForce.Gen, Version: n.inForce.Version, To: to, Full: n.needManifest}
	if n.staged != nil && n.staged.head.Gen > n.inForce.Gen {
		r.To = n.staged.head
		r.Sections = n.staged.missing[:min(maxRequestSections, len(n.staged.missing))]
	}
	n.fetches++
	n.fetch = &openFetch{Fetch: Fetch{ID: n.fetches, Source: source, Request: r}, at: now}
	out.Fetch = &n.fetch.Fetch
}

// chooseSource chooses where to fetch the target from: a peer of the data centre that has it, then the platform, then
// another peer. If no source has it (the only peer that announced it may be gone), it chooses an available generation
// between the one in force and the target.
func (n *Node) chooseSource() (Source, Head, bool) {
	if s, ok := n.sourceWith(n.target.Gen); ok {
		return s, n.target, true
	}
	for name, x := range n.peerStates { // The next fetch may use the failed sources again.
		x.failed = false
		n.peerStates[name] = x
	}
	if n.platform.Gen > n.inForce.Gen {
		return Source{}, n.platform, true
	}
	if s, ok := n.sourceWith(n.inForce.Gen + 1); ok {
		return s, Head{Gen: n.peerStates[s.Peer].gen}, true
	}
	return Source{}, Head{}, false
}

// sourceWith chooses a source that has a generation or a later one and has not failed.
func (n *Node) sourceWith(gen uint64) (Source, bool) {
	has := func(p Peer) bool { return n.peerStates[p.Name].gen >= gen && !n.peerStates[p.Name].failed }
	local := n.sample(1, func(p Peer) bool { return p.Centre == n.Centre && has(p) })
	if len(local) > 0 {
		return Source{Peer: local[0]}, true
	}
	if n.platformErr == "" && n.platform.Gen >= gen {
		return Source{}, true
	}
	if other := n.sample(1, has); len(other) > 0 {
		return Source{Peer: other[0]}, true
	}
	return Source{}, false
}

// FetchFailed processes the failure of a fetch.
func (n *Node) FetchFailed(now time.Time, id uint64, reason string) Actions {
	var out Actions
	if n.fetch == nil || n.fetch.ID != id {
		return out
	}
	n.abandonFetch(now, &out, reason)
	n.startFetch(now, &out)
	return out
}

// abandonFetch gives up the open fetch and marks its source as failed.
func (n *Node) abandonFetch(now time.Time, out *Actions, reason string) {
	from := n.fetch.Source
	n.recordDecision(now, out, n.fetch.Request.To.Gen, "gave up", ReasonNoAnswer, fmt.Sprintf("%s: %s", from, reason))
	n.markFailed(from, reason)
	n.retryAt = n.fetch.at.Add(fetchPause)
	n.fetch = nil
}

func (n *Node) markFailed(from Source, reason string) {
	if from.Peer == "" {
		n.platformErr = reason
		return
	}
	if x, ok := n.peerStates[from.Peer]; ok {
		x.failed = true
		n.peerStates[from.Peer] = x
	}
}
