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
	ReasonRoot     cuminstair.Reason = "root"     // it did not have its root hash
	ReasonNoAnswer cuminstair.Reason = "noanswer" // a source did not answer
	ReasonSplit    cuminstair.Reason = "split"    // two root hashes for one generation
)

// PlatformHead takes the head row that the platform returned. asked is when the read was begun; it proves that the view
// is current. A Head of generation 0 means that there is no row.
func (n *Node) PlatformHead(now, asked time.Time, h Head) Actions {
	var out Actions
	n.platformSeen, n.platformErr = true, ""
	if h.Gen >= n.platform.Gen {
		n.platform = h
	}
	n.view.confirm(asked, h.Gen, n.force.Gen)
	n.learn(now, &out, h, Source{})
	n.next(now, &out)
	return out
}

// PlatformFailed takes the failure of a read of the head.
func (n *Node) PlatformFailed(reason string) { n.platformErr = reason }

// Announced takes a peer's announcement.
func (n *Node) Announced(now time.Time, a Announcement) Actions {
	var out Actions
	n.Confirm(a.From, a.Incarnation, a.Head.Gen)
	if a.Asked != 0 && n.centreOf(a.From) == n.Centre {
		n.view.confirm(time.Unix(0, a.Asked), a.Head.Gen, n.force.Gen)
	}
	n.learn(now, &out, a.Head, Source{Peer: a.From})
	if a.Asked == 0 && (a.Head.Gen < n.force.Gen || (a.Head.Gen == n.force.Gen && a.Sent != 0)) {
		// Tells the peer that it is behind, or confirms its view.
		reply := n.announceTo(now, []string{a.From})
		reply[0].Message.Sent, reply[0].Message.Asked = 0, max(a.Sent, 1)
		out.Announce = append(out.Announce, reply...)
	}
	n.next(now, &out)
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

// learn takes a head that is known to be accepted.
func (n *Node) learn(now time.Time, out *Actions, h Head, from Source) {
	if h.Gen < n.target.Gen || h.Gen == 0 {
		return
	}
	if h.Gen == n.target.Gen && h.Root != n.target.Root {
		n.decide(now, out, h.Gen, "kept", ReasonSplit, fmt.Sprintf("%s has root %s, not %s", from, h.Root, n.target.Root))
		if from.Peer != "" || h.Gen <= n.force.Gen {
			return
		}
	}
	if h.Gen > n.target.Gen {
		n.full = false
	}
	h.Version = max(h.Version, versionOf(n.target, h))
	n.target = h
}

// versionOf returns the table version that is known for h, if known is the same generation.
func versionOf(known, h Head) uint64 {
	if known.Gen == h.Gen {
		return known.Version
	}
	return 0
}

// next starts a fetch if one is needed and none is open.
func (n *Node) next(now time.Time, out *Actions) {
	if n.fetch != nil || n.target.Gen <= n.force.Gen || now.Before(n.retryAt) {
		return
	}
	if n.force.Gen == 0 && !n.platformSeen && now.Sub(n.started) < startWait {
		return // Gathers the heads of more peers first.
	}
	source, to, ok := n.source()
	if !ok {
		return
	}
	r := Request{After: n.force.Gen, Version: n.force.Version, To: to, Full: n.full}
	if n.staged != nil && n.staged.head.Gen > n.force.Gen {
		r.To = n.staged.head
		r.Sections = n.staged.missing[:min(askedSections, len(n.staged.missing))]
	}
	n.fetches++
	n.fetch = &openFetch{Fetch: Fetch{ID: n.fetches, Source: source, Request: r}, at: now}
	out.Fetch = &n.fetch.Fetch
}

// source chooses where to fetch the target from: a peer of the data centre that has it, then the platform, then another
// peer. If nobody has it (the only peer that announced it may be gone), it chooses a generation between.
func (n *Node) source() (Source, Head, bool) {
	if s, ok := n.sourceOf(n.target.Gen); ok {
		return s, n.target, true
	}
	for name, x := range n.heard { // Tries the sources that failed again the next time.
		x.failed = false
		n.heard[name] = x
	}
	if n.platform.Gen > n.force.Gen {
		return Source{}, n.platform, true
	}
	if s, ok := n.sourceOf(n.force.Gen + 1); ok {
		return s, Head{Gen: n.heard[s.Peer].gen}, true
	}
	return Source{}, Head{}, false
}

// sourceOf chooses a source that has a generation or a later one and did not fail.
func (n *Node) sourceOf(gen uint64) (Source, bool) {
	has := func(p Peer) bool { return n.heard[p.Name].gen >= gen && !n.heard[p.Name].failed }
	near := n.sample(1, func(p Peer) bool { return p.Centre == n.Centre && has(p) })
	if len(near) > 0 {
		return Source{Peer: near[0]}, true
	}
	if n.platformErr == "" && n.platform.Gen >= gen {
		return Source{}, true
	}
	if far := n.sample(1, has); len(far) > 0 {
		return Source{Peer: far[0]}, true
	}
	return Source{}, false
}

// FetchFailed takes the failure of a fetch.
func (n *Node) FetchFailed(now time.Time, id uint64, reason string) Actions {
	var out Actions
	if n.fetch == nil || n.fetch.ID != id {
		return out
	}
	n.drop(now, &out, reason)
	n.next(now, &out)
	return out
}

// drop gives up the open fetch and avoids its source.
func (n *Node) drop(now time.Time, out *Actions, reason string) {
	from := n.fetch.Source
	n.decide(now, out, n.fetch.Request.To.Gen, "gave up", ReasonNoAnswer, fmt.Sprintf("%s: %s", from, reason))
	n.avoid(from, reason)
	n.retryAt = n.fetch.at.Add(fetchPause)
	n.fetch = nil
}

func (n *Node) avoid(from Source, reason string) {
	if from.Peer == "" {
		n.platformErr = reason
		return
	}
	if x, ok := n.heard[from.Peer]; ok {
		x.failed = true
		n.heard[from.Peer] = x
	}
}
