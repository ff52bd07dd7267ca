package rollout

import (
	"cuminstair.org/cuminstair/fleet"
)

// pastChange is a change that is kept for peers that are behind. Its delta sets all that changed after generation from,
// so it leads to generation gen from each generation in [from, gen). If exact is set, the delta was made by comparing
// two manifests and leads to gen only from generation from.
type pastChange struct {
	from, gen uint64
	delta     fleet.Delta
	exact     bool
}

// appliesTo reports whether the delta leads from a generation to the end of the change.
func (k *pastChange) appliesTo(gen uint64) bool {
	return k.from == gen || (k.from < gen && gen < k.gen && !k.exact)
}

// keepChange stores a change for peers that are behind.
func (n *Node) keepChange(k pastChange) {
	n.changes = append(n.changes, k)
	if len(n.changes) > maxChanges {
		// Copies, so that the memory of dropped entries is freed.
		n.changes = append([]pastChange(nil), n.changes[len(n.changes)-maxChanges:]...)
	}
}

// keepReplaced stores the current version of a section that is about to be replaced.
func (n *Node) keepReplaced(name string) {
	old, ok := n.sections[name]
	if !ok {
		return
	}
	n.replaced = append(n.replaced, old)
	if len(n.replaced) > 2*minReplaced {
		n.replaced = append([]fleet.Section(nil), n.replaced[len(n.replaced)-minReplaced:]...)
	}
}

// Serve answers the request of a peer from the configuration in force, whose generation may be later than the requested
// one.
func (n *Node) Serve(r Request) Update {
	u := Update{Head: n.inForce}
	if len(r.Sections) > 0 {
		u.Head = r.To
		u.Sections = n.findSections(r.Sections)
		return u
	}
	if n.inForce.Gen <= r.After {
		return u
	}
	if delta, ok := n.deltaSince(r.After); ok && !r.Full {
		u.From, u.Delta = r.After, &delta
		u.Sections, u.Patches = n.findPatches(delta.Set)
		return u
	}
	u.Manifest = n.manifest.Encode()
	if r.After == 0 {
		u.Sections = n.findSections(n.manifest)
	}
	return u
}

// findSections returns the sections with these names and hashes that are in force or were replaced recently.
func (n *Node) findSections(entries []fleet.Entry) []fleet.Section {
	var out []fleet.Section
	for _, e := range entries {
		s, ok := n.sections[e.Name]
		if !ok || s.Hash != e.Hash {
			s, ok = n.findReplaced(e)
		}
		if ok {
			out = append(out, s)
		}
	}
	return out
}

func (n *Node) findReplaced(e fleet.Entry) (fleet.Section, bool) {
	for _, s := range n.replaced {
		if s.Hash == e.Hash {
			return s, true
		}
	}
	return fleet.Section{}, false
}

// deltaSince returns the changes after a generation as one delta. It fails if the changes were not kept, if an exact
// change spans the generation, or if the manifest would be shorter.
func (n *Node) deltaSince(gen uint64) (fleet.Delta, bool) {
	first := len(n.changes)
	for first > 0 && n.changes[first-1].gen > gen {
		first--
	}
	if first == len(n.changes) || !n.changes[first].appliesTo(gen) {
		return fleet.Delta{}, false
	}
	var deltas []fleet.Delta
	for _, k := range n.changes[first:] {
		deltas = append(deltas, k.delta)
	}
	delta := Squash(deltas)
	return delta, len(delta.Set)+len(delta.Removed) < len(n.manifest)
}

// Squash merges consecutive deltas into one. The result sets or removes all that any of the deltas changed, so that it
// leads from the start of each delta to the end of the last one.
func Squash(deltas []fleet.Delta) fleet.Delta {
	last := make(map[string]*fleet.Hash)
	var order []string
	record := func(name string, h *fleet.Hash) {
		if _, seen := last[name]; !seen {
			order = append(order, name)
		}
		last[name] = h
	}
	for _, d := range deltas {
		for _, name := range d.Removed {
			record(name, nil)
		}
		for i := range d.Set {
			record(d.Set[i].Name, &d.Set[i].Hash)
		}
	}
	var out fleet.Delta
	for _, name := range order {
		if h := last[name]; h != nil {
			out.Set = append(out.Set, fleet.Entry{Name: name, Hash: *h})
		} else {
			out.Removed = append(out.Removed, name)
		}
	}
	return out
}
