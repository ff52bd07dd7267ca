package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Errors of sections.
const (
	// ErrSection means that a section or a manifest can't be decoded or has invalid content.
	ErrSection = errors.ConstError("unreadable section")
	// ErrHash means that bytes don't have the expected hash.
	ErrHash = errors.ConstError("content does not match its hash")
)

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

// Sum returns the hash of data.
func Sum(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hash in hex, which is the name of the object in the object store.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Entry names one section of a fleet and the hash of its content.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Hash Hash
}

// Manifest lists all sections of a fleet. It is sorted by name and has no name twice.
type Manifest []Entry

// Delta is the difference between two manifests.
type Delta struct {
	Set     []Entry  `cbor:"1,keyasint,omitempty"` // sections that are new or changed, sorted by name
	Removed []string `cbor:"2,keyasint,omitempty"` // names of removed sections, sorted
}

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.NilContainers = cbor.NilContainerAsEmpty
	m, err := opts.EncMode()
	if err != nil {
		panic("CBOR encoding options: " + err.Error())
	}
	return m
}

func mustDec() cbor.DecMode {
	const maxElements = 1 << 20 // in one list; the manifest of a generated fleet of size Large has 634
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic("CBOR decoding options: " + err.Error())
	}
	return m
}

// encode returns the deterministic encoding of v.
func encode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic("encode a section: " + err.Error()) // All types here can be encoded.
	}
	return data
}

func decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrSection, err)
	}
	return nil
}

// Encode returns the bytes of the manifest. Their hash is the root hash of the fleet.
func (m Manifest) Encode() []byte { return encode(m) }

// Root returns the root hash. It takes one pass over the manifest.
func (m Manifest) Root() Hash { return Sum(m.Encode()) }

// ReadManifest reads the bytes of a manifest. Errors: ErrSection, and ErrHash if their hash is not root.
func ReadManifest(data []byte, root Hash) (Manifest, error) {
	if Sum(data) != root {
		return nil, fmt.Errorf("manifest %s: %w", root, ErrHash)
	}
	var m Manifest
	if err := decode(data, &m); err != nil {
		return nil, fmt.Errorf("read manifest: %w", err)
	}
	for i := 1; i < len(m); i++ {
		if m[i-1].Name >= m[i].Name {
			return nil, fmt.Errorf("manifest entry %q is out of order: %w", m[i].Name, ErrSection)
		}
	}
	return m, nil
}

func byName(e Entry, name string) int { return cmp.Compare(e.Name, name) }

// Lookup returns the hash of a section, and whether the manifest has it.
func (m Manifest) Lookup(name string) (Hash, bool) {
	i, ok := slices.BinarySearchFunc(m, name, byName)
	if !ok {
		return Hash{}, false
	}
	return m[i].Hash, true
}

// Diff returns the delta that turns m into next.
func (m Manifest) Diff(next Manifest) Delta {
	var d Delta
	i, j := 0, 0
	for i < len(m) || j < len(next) {
		switch {
		case j == len(next) || (i < len(m) && m[i].Name < next[j].Name):
			d.Removed = append(d.Removed, m[i].Name)
			i++
		case i == len(m) || next[j].Name < m[i].Name:
			d.Set = append(d.Set, next[j])
			j++
		default:
			if m[i].Hash != next[j].Hash {
				d.Set = append(d.Set, next[j])
			}
			i++
			j++
		}
	}
	return d
}

// Apply returns the manifest with the delta applied; m is not modified.
func (m Manifest) Apply(d Delta) Manifest {
	drop := make(map[string]bool, len(d.Set)+len(d.Removed))
	for _, name := range d.Removed {
		drop[name] = true
	}
	for _, e := range d.Set {
		drop[e.Name] = true
	}
	out := make(Manifest, 0, len(m)+len(d.Set))
	for _, e := range m {
		if !drop[e.Name] {
			out = append(out, e)
		}
	}
	out = append(out, d.Set...)
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
