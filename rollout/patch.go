package rollout

import (
	"bytes"
	"compress/flate"
	"io"

	"cuminstair.org/cuminstair/fleet"
)

// maxSection bounds a section that a patch expands to, in bytes. The largest one of 28,000 hosts, the set of 310 teams,
// is about 8 KB.
const maxSection = 16 << 20

// Patch is a section as its difference from an earlier version. Data is compressed with that version as the dictionary:
// one changed entry takes some tens of bytes instead of the whole section.
type Patch struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Hash fleet.Hash // of the section
	Base fleet.Hash // of the earlier version
	Data []byte
}

// makePatch returns the difference between two versions of a section.
func makePatch(from, to fleet.Section) Patch {
	var b bytes.Buffer
	w, err := flate.NewWriterDict(&b, flate.BestCompression, from.Data)
	if err != nil {
		panic("flate: " + err.Error()) // The level is valid.
	}
	_, _ = w.Write(to.Data) // A buffer does not fail.
	_ = w.Close()
	return Patch{Name: to.Name, Hash: to.Hash, Base: from.Hash, Data: b.Bytes()}
}

// apply returns the section if base is the version that the patch starts from and the result has its hash.
func (p Patch) apply(base fleet.Section) (fleet.Section, bool) {
	if base.Hash != p.Base {
		return fleet.Section{}, false
	}
	r := flate.NewReaderDict(bytes.NewReader(p.Data), base.Data)
	data, err := io.ReadAll(io.LimitReader(r, maxSection))
	if err != nil || fleet.Sum(data) != p.Hash {
		return fleet.Section{}, false
	}
	return fleet.Section{Name: p.Name, Hash: p.Hash, Data: data}, true
}

// patched returns the sections with these names and hashes, as patches where the version before is still known. A peer
// that has another version asks for the whole section.
func (n *Node) patched(entries []fleet.Entry) (sections []fleet.Section, patches []Patch) {
	for _, s := range n.named(entries) {
		if p, ok := n.patchOf(s); ok {
			patches = append(patches, p)
		} else {
			sections = append(sections, s)
		}
	}
	return sections, patches
}

// patchOf returns the patch of a section, which is made once.
func (n *Node) patchOf(s fleet.Section) (Patch, bool) {
	if p, ok := n.patches[s.Name]; ok && p.Hash == s.Hash {
		return p, true
	}
	for i := len(n.replaced) - 1; i >= 0; i-- {
		if n.replaced[i].Name != s.Name || n.replaced[i].Hash == s.Hash {
			continue
		}
		p := makePatch(n.replaced[i], s)
		if len(p.Data) >= len(s.Data) {
			return Patch{}, false
		}
		if n.patches == nil || len(n.patches) >= keptSections {
			n.patches = make(map[string]Patch)
		}
		n.patches[s.Name] = p
		return p, true
	}
	return Patch{}, false
}
