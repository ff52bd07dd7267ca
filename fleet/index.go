package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cuminstair.org/cuminstair"
)

// Index looks up the entries of a fleet and is updated section by section. The zero value is an empty fleet. It is not
// safe for concurrent use. Returned values must not be changed; they stay valid after later calls of Apply.
type Index struct {
	top      topRow
	services map[string]*cuminstair.Service
	teams    map[string]*cuminstair.Team
	waves    map[string]*cuminstair.Wave
	hosts    map[string]*cuminstair.Host
	groups   map[groupKey]map[string][]cuminstair.Host // blocks of hosts, by section name
}

// decoded is the decoded content of sections that are not yet in an index.
type decoded struct {
	top      *topRow
	services *[]cuminstair.Service
	teams    *[]cuminstair.Team
	waves    *[]cuminstair.Wave
	blocks   map[string][]cuminstair.Host
}

// Apply replaces the sections in set and deletes the blocks of hosts named in removed. It returns the number of entries
// removed or added, which depends on these sections only and not on the size of the fleet. On an error it changes
// nothing. Errors: ErrHash, ErrSection.
func (x *Index) Apply(set []Section, removed []string) (int, error) {
	d := decoded{blocks: make(map[string][]cuminstair.Host)}
	for _, s := range set {
		if Sum(s.Data) != s.Hash {
			return 0, fmt.Errorf("section %q: %w", s.Name, ErrHash)
		}
		if err := d.add(s); err != nil {
			return 0, fmt.Errorf("section %q: %w", s.Name, err)
		}
	}
	touched := x.setLists(&d)
	for _, name := range removed {
		touched += x.removeBlock(name)
	}
	for name := range d.blocks {
		touched += x.removeBlock(name)
	}
	for name, hosts := range d.blocks {
		touched += x.addBlock(name, hosts)
	}
	return touched, nil
}

func (d *decoded) add(s Section) error {
	switch s.Name {
	case sectionTop:
		row, err := decodeTop(s.Data)
		d.top = &row
		return err
	case sectionServices:
		list, err := decodeServices(s.Data)
		d.services = &list
		return err
	case sectionTeams:
		list, err := decodeTeams(s.Data)
		d.teams = &list
		return err
	case sectionWaves:
		list, err := decodeWaves(s.Data)
		d.waves = &list
		return err
	}
	if !strings.HasPrefix(s.Name, sectionHosts) {
		return fmt.Errorf("unknown name: %w", ErrSection)
	}
	hosts, err := decodeHosts(s.Data)
	if err == nil && len(hosts) == 0 {
		return fmt.Errorf("no hosts: %w", ErrSection)
	}
	d.blocks[s.Name] = hosts
	return err
}

func (x *Index) setLists(d *decoded) int {
	touched := 0
	if d.top != nil {
		x.top = *d.top
		touched += len(x.top.Centres) + len(x.top.Pools)
	}
	if d.services != nil {
		x.services = indexByName(*d.services, func(s *cuminstair.Service) string { return s.Name })
		touched += len(x.services)
	}
	if d.teams != nil {
		x.teams = indexByName(*d.teams, func(t *cuminstair.Team) string { return t.Name })
		touched += len(x.teams)
	}
	if d.waves != nil {
		x.waves = indexByName(*d.waves, func(w *cuminstair.Wave) string { return w.Name })
		touched += len(x.waves)
	}
	return touched
}

func indexByName[T any](list []T, name func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[name(&list[i])] = &list[i]
	}
	return m
}

// blockGroup returns the pool and the data centre from the name of a block of hosts, or empty ones for another section.
func blockGroup(name string) groupKey {
	parts := strings.Split(strings.TrimPrefix(name, sectionHosts), "/")
	if len(parts) != 3 {
		return groupKey{}
	}
	return groupKey{parts[0], parts[1]}
}

func (x *Index) removeBlock(name string) int {
	k := blockGroup(name)
	hosts := x.groups[k][name]
	for i := range hosts {
		// If another block with this host was added later, the entry is from that block and is kept.
		if x.hosts[hosts[i].Name] == &hosts[i] {
			delete(x.hosts, hosts[i].Name)
		}
	}
	delete(x.groups[k], name)
	if len(x.groups[k]) == 0 {
		delete(x.groups, k)
	}
	return len(hosts)
}

func (x *Index) addBlock(name string, hosts []cuminstair.Host) int {
	if x.groups == nil {
		x.groups = make(map[groupKey]map[string][]cuminstair.Host)
		x.hosts = make(map[string]*cuminstair.Host)
	}
	k := blockGroup(name)
	if x.groups[k] == nil {
		x.groups[k] = make(map[string][]cuminstair.Host)
	}
	x.groups[k][name] = hosts
	for i := range hosts {
		x.hosts[hosts[i].Name] = &hosts[i]
	}
	return len(hosts)
}

// Name returns the name of the fleet.
func (x *Index) Name() string { return x.top.Name }

// Service returns a service, or nil.
func (x *Index) Service(name string) *cuminstair.Service { return x.services[name] }

// Kind returns a kind of work of a service, or nil.
func (x *Index) Kind(service, kind string) *cuminstair.Kind {
	s := x.services[service]
	if s == nil {
		return nil
	}
	for i := range s.Kinds {
		if s.Kinds[i].Name == kind {
			return &s.Kinds[i]
		}
	}
	return nil
}

// Team returns a team, or nil.
func (x *Index) Team(name string) *cuminstair.Team { return x.teams[name] }

// Wave returns a wave, or nil.
func (x *Index) Wave(name string) *cuminstair.Wave { return x.waves[name] }

// Host returns a host, or nil.
func (x *Index) Host(name string) *cuminstair.Host { return x.hosts[name] }

// HostCount returns the number of hosts.
func (x *Index) HostCount() int { return len(x.hosts) }

// Hosts returns the hosts of a pool in a data centre, sorted by name.
func (x *Index) Hosts(pool, centre string) []cuminstair.Host {
	var out []cuminstair.Host
	for _, block := range x.groups[groupKey{pool, centre}] {
		out = append(out, block...)
	}
	return sorted(out, func(h cuminstair.Host) string { return h.Name })
}

// Pools returns the pools, sorted by name.
func (x *Index) Pools() []cuminstair.Pool {
	var out []cuminstair.Pool
	for _, p := range x.top.Pools {
		out = append(out, cuminstair.Pool{Name: p.Name, Spare: p.Spare})
	}
	return out
}

// Centres returns the data centres, sorted by name.
func (x *Index) Centres() []cuminstair.Centre {
	var out []cuminstair.Centre
	for _, c := range x.top.Centres {
		out = append(out, cuminstair.Centre{Name: c.Name, Region: c.Region})
	}
	return out
}

// Fleet returns the whole fleet in canonical order. The time that it takes is proportional to the size of the fleet.
func (x *Index) Fleet() *cuminstair.Fleet {
	f := &cuminstair.Fleet{Name: x.top.Name, Centres: x.Centres(), Pools: x.Pools()}
	f.Services = values(x.services)
	f.Teams = values(x.teams)
	f.Waves = values(x.waves)
	f.Hosts = values(x.hosts)
	return f
}

// values returns copies of the entries, sorted by name; nil if there are none.
func values[T any](m map[string]*T) []T {
	var out []T
	for _, name := range slices.SortedFunc(maps.Keys(m), cmp.Compare[string]) {
		out = append(out, *m[name])
	}
	return out
}
