package fleet

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"

	"cuminstair.org/cuminstair"
)

// Names of the sections that every fleet has, and the prefix of blocks of hosts: "hosts/<pool>/<centre>/<block>".
const (
	sectionTop      = "fleet" // name, data centres and pools
	sectionServices = "services"
	sectionTeams    = "teams"
	sectionWaves    = "waves"
	sectionHosts    = "hosts/"
)

// blockHosts limits the mean number of hosts in the blocks of one pool in one data centre. Larger blocks make each change
// of a host larger, smaller ones make the manifest longer.
const blockHosts = 64

// Section is a part of a fleet that is stored and sent as a whole. Hash is the hash of Data.
type Section struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Hash Hash
	Data []byte
}

func newSection(name string, data []byte) Section {
	return Section{Name: name, Hash: Sum(data), Data: data}
}

// Canonical returns a copy of the fleet in which every list is sorted by name. The order of the pools of a wave is kept,
// since the operators choose it.
func Canonical(f *cuminstair.Fleet) *cuminstair.Fleet {
	out := &cuminstair.Fleet{Name: f.Name}
	out.Centres = sorted(f.Centres, func(x cuminstair.Centre) string { return x.Name })
	out.Pools = sorted(f.Pools, func(x cuminstair.Pool) string { return x.Name })
	out.Hosts = sorted(f.Hosts, func(x cuminstair.Host) string { return x.Name })
	out.Services = sorted(f.Services, func(x cuminstair.Service) string { return x.Name })
	out.Teams = sorted(f.Teams, func(x cuminstair.Team) string { return x.Name })
	out.Waves = sorted(f.Waves, func(x cuminstair.Wave) string { return x.Name })
	for i := range out.Services {
		kinds := out.Services[i].Kinds
		out.Services[i].Kinds = sorted(kinds, func(x cuminstair.Kind) string { return x.Name })
	}
	for i := range out.Waves {
		out.Waves[i].Pools = slices.Clone(out.Waves[i].Pools)
	}
	return out
}

// sorted returns a sorted copy, which is nil for an empty list.
func sorted[T any](list []T, name func(T) string) []T {
	out := append([]T(nil), list...)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// Split returns the sections of a fleet that Check accepts, sorted by name. They do not depend on the order of the lists
// of the fleet.
func Split(f *cuminstair.Fleet) []Section {
	f = Canonical(f)
	out := []Section{
		newSection(sectionTop, encodeTop(f)),
		newSection(sectionServices, encodeServices(f.Services)),
		newSection(sectionTeams, encodeTeams(f.Teams)),
		newSection(sectionWaves, encodeWaves(f.Waves)),
	}
	groups := make(map[groupKey][]cuminstair.Host)
	for _, h := range f.Hosts {
		k := groupKey{h.Pool, h.Centre}
		groups[k] = append(groups[k], h)
	}
	for k, hosts := range groups {
		out = append(out, splitGroup(k, hosts)...)
	}
	slices.SortFunc(out, func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Scope returns the pool and the data centre of a block of hosts; ok is false if the section is not a block of hosts.
func Scope(section string) (pool, centre string, ok bool) {
	k := blockGroup(section)
	return k.pool, k.centre, k != groupKey{}
}

// splitGroup distributes the hosts of one pool in one data centre over blocks. The block of a host depends on its name
// and on the number of blocks, which is a power of two: adding or removing a host changes one block, unless the number
// of blocks changes. If the sorted list were cut every 64 hosts, all blocks after the added or removed host would
// change.
func splitGroup(k groupKey, hosts []cuminstair.Host) []Section {
	count := blockCount(len(hosts))
	parts := make([][]cuminstair.Host, count)
	for _, h := range hosts {
		b := blockOf(h.Name, count)
		parts[b] = append(parts[b], h)
	}
	var out []Section
	for i, part := range parts {
		if len(part) > 0 {
			name := fmt.Sprintf("%s%s/%s/%d", sectionHosts, k.pool, k.centre, i)
			out = append(out, newSection(name, encodeHosts(part)))
		}
	}
	return out
}

// blockCount returns the smallest power of two with which the blocks have at most blockHosts hosts on average.
func blockCount(hosts int) int {
	minBlocks := (hosts + blockHosts - 1) / blockHosts
	if minBlocks <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(minBlocks-1))
}

func blockOf(name string, count int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(count))
}

// ManifestOf returns the manifest of sections that are sorted by name.
func ManifestOf(sections []Section) Manifest {
	m := make(Manifest, 0, len(sections))
	for _, s := range sections {
		m = append(m, Entry{Name: s.Name, Hash: s.Hash})
	}
	return m
}

// Root returns the root hash of a fleet.
func Root(f *cuminstair.Fleet) Hash { return ManifestOf(Split(f)).Root() }

// Join returns the fleet that the sections hold, in canonical order. Errors: ErrSection, ErrHash.
func Join(sections []Section) (*cuminstair.Fleet, error) {
	x := &Index{}
	if _, err := x.Apply(sections, nil); err != nil {
		return nil, fmt.Errorf("join sections: %w", err)
	}
	return x.Fleet(), nil
}
