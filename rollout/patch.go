package rollout

import (
	"slices"

	"cuminstair.org/cuminstair/fleet"
)

// Patch is a section as its difference from an earlier version: the first Head and the last Tail bytes of that version,
// with Data between them. The encoding of sections is deterministic, so that one changed entry takes only a few bytes.
type Patch struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Hash fleet.Hash // of the section
	Base fleet.Hash // of the earlier version
	Head uint32
	Tail uint32
	Data []byte
}

// makePatch returns the difference between two versions of a section.
func makePatch(from, to fleet.Section) Patch {
	shorter := min(len(from.Data), len(to.Data))
	head := 0
	for head < shorter && from.Data[head] == to.Data[head] {
		head++
	}
	tail := 0
	for tail < shorter-head && from.Data[len(from.Data)-1-tail] == to.Data[len(to.Data)-1-tail] {
		tail++
	}
	return Patch{
		Name: to.Name, Hash: to.Hash, Base: from.Hash, Head: uint32(head), Tail: uint32(tail),
		Data: to.Data[head : len(to.Data)-tail],
	}
}

// apply returns the section if base is the version that the patch starts from and the result has the hash p.Hash.
func (p Patch) apply(base fleet.Section) (fleet.Section, bool) {
	if base.Hash != p.Base || uint64(p.Head)+uint64(p.Tail) > uint64(len(base.Data)) {
		return fleet.Section{}, false
	}
	data := slices.Concat(base.Data[:p.Head], p.Data, base.Data[len(base.Data)-int(p.Tail):])
	if fleet.Sum(data) != p.Hash {
		return fleet.Section{}, false
	}
	return fleet.Section{Name: p.Name, Hash: p.Hash, Data: data}, true
}

// findPatches returns the sections with these names and hashes, as patches where the previous version is still known. A
// peer that has another version requests the whole section.
func (n *Node) findPatches(entries []fleet.Entry) (sections []fleet.Section, patches []Patch) {
	for _, s := range n.findSections(entries) {
		if p, ok := n.patchOf(s); ok {
			patches = append(patches, p)
		} else {
			sections = append(sections, s)
		}
	}
	return sections, patches
}

// patchOf returns the patch of a section if the previous version is known and the patch is less than half as long.
func (n *Node) patchOf(s fleet.Section) (Patch, bool) {
	for i := len(n.replaced) - 1; i >= 0; i-- {
		if old := n.replaced[i]; old.Name == s.Name && old.Hash != s.Hash {
			p := makePatch(old, s)
			return p, len(p.Data) < len(s.Data)/2
		}
	}
	return Patch{}, false
}
