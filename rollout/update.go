package rollout

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

// staged is a generation whose manifest is verified and of which some sections may still be missing.
type staged struct {
	head     Head
	change   pastChange
	manifest fleet.Manifest
	missing  []fleet.Entry
}

// FetchDone processes the answer to the fetch with an id. Answers may arrive late and out of order: an answer is used
// only if it leads to a generation above the one in force and to the root hash of that generation.
func (n *Node) FetchDone(now time.Time, id uint64, from Source, u Update) Actions {
	var out Actions
	current := n.fetch != nil && n.fetch.ID == id
	switch {
	case u.Head.Gen <= n.inForce.Gen:
		n.work.Stale++
		n.recordDecision(now, &out, u.Head.Gen, "dropped", ReasonOlder, fmt.Sprintf("generation %d is in force", n.inForce.Gen))
	case u.Head.Gen == n.target.Gen && u.Head.Root != n.target.Root:
		n.reject(now, &out, from, u.Head, ReasonSplit)
	default:
		n.applyUpdate(now, &out, from, u)
	}
	if current {
		if u.Head.Gen < n.fetch.Request.To.Gen {
			n.retryAt = n.fetch.at.Add(fetchPause)
			n.markFailed(from, "it does not have the generation")
		}
		n.fetch = nil
	}
	n.startFetch(now, &out)
	return out
}

func (n *Node) reject(now time.Time, out *Actions, from Source, h Head, reason cuminstair.Reason) {
	n.work.Rejected++
	n.needManifest = true
	n.staged = nil
	n.markFailed(from, "its update does not have its root hash")
	n.recordDecision(now, out, h.Gen, "rejected", reason, from.String())
}

// applyUpdate verifies an update and installs its generation if no section is missing.
func (n *Node) applyUpdate(now time.Time, out *Actions, from Source, u Update) {
	n.storeSections(u)
	if u.Delta != nil || u.Manifest != nil {
		manifest, ok := n.verify(u)
		if !ok {
			n.reject(now, out, from, u.Head, ReasonRoot)
			return
		}
		n.staged = &staged{head: u.Head, change: n.changeOf(u), manifest: manifest}
	}
	if s := n.staged; s == nil || s.head.Gen != u.Head.Gen || s.head.Root != u.Head.Root {
		return
	}
	n.complete(now, out, from, len(u.Sections) == 0 && u.Delta == nil && u.Manifest == nil)
}

// storeSections keeps the sections of an update until the next install. They are stored by hash, so that they can be
// used for a later generation that supersedes this one while some sections are missing.
func (n *Node) storeSections(u Update) {
	if n.received == nil || len(n.received) > maxReceived {
		n.received = make(map[fleet.Hash]fleet.Section)
	}
	for _, x := range u.Sections {
		if fleet.Sum(x.Data) == x.Hash {
			n.received[x.Hash] = x
		}
	}
	for _, p := range u.Patches {
		base, ok := n.received[p.Base]
		if !ok {
			base = n.sections[p.Name]
		}
		if x, ok := p.apply(base); ok {
			n.received[x.Hash] = x
		}
	}
}

// verify returns the manifest that an update leads to, if it has the root hash of the update's head.
func (n *Node) verify(u Update) (fleet.Manifest, bool) {
	if u.Manifest != nil {
		m, err := fleet.ReadManifest(u.Manifest, u.Head.Root)
		n.work.Hashed += len(m)
		return m, err == nil
	}
	if u.From > n.inForce.Gen {
		return nil, false
	}
	// A delta from an earlier generation leads to the same manifest if it sets all that changed since, as a delta of
	// Squash does. If it does not, the root hash differs, and the manifest is fetched.
	m := n.manifest.Apply(*u.Delta)
	n.work.Hashed += len(m)
	return m, m.Root() == u.Head.Root
}

// changeOf returns the part of an update that is kept for peers that are behind.
func (n *Node) changeOf(u Update) pastChange {
	if u.Delta != nil {
		return pastChange{from: u.From, gen: u.Head.Gen, delta: *u.Delta}
	}
	return pastChange{gen: u.Head.Gen, exact: true}
}

// complete installs the staged generation, or records which sections are missing. If the last answer was empty, the
// source no longer has the sections, and the fetch starts again with another source.
func (n *Node) complete(now time.Time, out *Actions, from Source, empty bool) {
	s := n.staged
	delta := n.manifest.Diff(s.manifest)
	set := make([]fleet.Section, 0, len(delta.Set))
	s.missing = nil
	for _, e := range delta.Set {
		x, ok := n.received[e.Hash]
		if !ok {
			s.missing = append(s.missing, e)
			continue
		}
		set = append(set, fleet.Section{Name: e.Name, Hash: e.Hash, Data: x.Data})
	}
	switch {
	case len(s.missing) > 0 && empty:
		n.staged = nil
		n.markFailed(from, "it no longer has the sections")
	case len(s.missing) == 0:
		if s.change.exact {
			s.change.from, s.change.delta = n.inForce.Gen, delta
		}
		n.install(now, out, from, s, delta, set)
	}
}

// install puts a verified generation into force. No other function changes the configuration in force.
func (n *Node) install(now time.Time, out *Actions, from Source, s *staged, delta fleet.Delta, set []fleet.Section) {
	h := s.head
	if h.Gen <= n.inForce.Gen {
		return
	}
	touched, err := n.index.Apply(set, delta.Removed)
	if err != nil {
		n.reject(now, out, from, h, ReasonRoot)
		return
	}
	n.keepChange(s.change)
	n.work.Entries += touched
	n.work.Sections += len(set)
	if n.sections == nil {
		n.sections = make(map[string]fleet.Section)
	}
	for _, name := range delta.Removed {
		n.keepReplaced(name)
		delete(n.sections, name)
	}
	for _, x := range set {
		n.keepReplaced(x.Name)
		n.sections[x.Name] = x
	}
	n.inForce, n.manifest, n.staged, n.needManifest, n.received = h, s.manifest, nil, false, nil
	if h.Gen > n.target.Gen {
		n.target = h
	}
	n.recordDecision(now, out, h.Gen, "installed", ReasonNewer, fmt.Sprintf("%d sections changed, %d gone", len(set), len(delta.Removed)))
	n.view.installed(h.Gen)
	out.Install = &Install{Head: h, Sections: set, Removed: delta.Removed}
	behind := func(p Peer) bool { return n.peerStates[p.Name].gen < h.Gen }
	out.Announce = append(out.Announce, n.announceTo(now, n.sample(fanout, behind))...)
}

// Accepted processes a configuration that this daemon committed itself. version is the table version of the commit.
func (n *Node) Accepted(now time.Time, p *Plan, version uint64) Actions {
	var out Actions
	h := p.Head
	h.Version = version
	n.updateTarget(now, &out, h, Source{})
	if n.platform.Gen < h.Gen {
		n.platform = h
	}
	if p.Change.From == n.inForce.Gen && !p.Again {
		manifest := n.manifest.Apply(p.Change.Delta)
		n.work.Hashed += len(manifest)
		if manifest.Root() == h.Root {
			sections := p.Objects[:len(p.Change.Delta.Set)]
			change := pastChange{from: p.Change.From, gen: h.Gen, delta: p.Change.Delta}
			n.install(now, &out, Source{}, &staged{head: h, manifest: manifest, change: change}, p.Change.Delta, sections)
		}
	}
	n.startFetch(now, &out)
	return out
}
