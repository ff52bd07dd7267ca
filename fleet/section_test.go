package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
)

func generated(t *rapid.T) *cuminstair.Fleet {
	size := fleet.Size{
		Hosts:   rapid.IntRange(10, 700).Draw(t, "hosts"),
		Pools:   rapid.IntRange(1, 5).Draw(t, "pools"),
		Teams:   rapid.IntRange(1, 5).Draw(t, "teams"),
		Centres: rapid.IntRange(1, 3).Draw(t, "centres"),
		Regions: 2, Rack: 4,
	}
	return fleet.Generate(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), size)
}

// Guards against sections that lose a field, against a root hash that depends on the order of lists or maps, and
// against a non-empty diff of a fleet with itself.
func TestSectionsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := generated(t)
		roundTrip(t, f)
		mixed := fleet.Canonical(f)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(mixed.Hosts), func(i, j int) { mixed.Hosts[i], mixed.Hosts[j] = mixed.Hosts[j], mixed.Hosts[i] })
		rng.Shuffle(len(mixed.Pools), func(i, j int) { mixed.Pools[i], mixed.Pools[j] = mixed.Pools[j], mixed.Pools[i] })
		if fleet.Root(mixed) != fleet.Root(f) || len(fleet.Diff(f, mixed)) != 0 {
			t.Fatal("the root hash or the diff depends on the order of lists")
		}
	})
}

// change edits one entry of a fleet.
func change(t *rapid.T, f *cuminstair.Fleet) {
	i := rapid.IntRange(0, len(f.Hosts)-1).Draw(t, "host")
	switch rapid.IntRange(0, 4).Draw(t, "change") {
	case 0:
		f.Hosts[i].Cores++
	case 1:
		f.Hosts[i].Pool = f.Pools[rapid.IntRange(0, len(f.Pools)-1).Draw(t, "pool")].Name
	case 2:
		f.Hosts = append(f.Hosts[:i:i], f.Hosts[i+1:]...)
	case 3:
		f.Teams[0].Quota.Burst++
	case 4:
		h := f.Hosts[i]
		h.Name, h.Addr = fmt.Sprintf("added%d", len(f.Hosts)), "192.0.2.1:1"
		f.Hosts = append(f.Hosts, h)
	}
}

// Guards against a delta that does not turn one manifest into the other, and against an index that differs from the
// fleet after deltas were applied to it.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := generated(t)
		x, m := &fleet.Index{}, fleet.Manifest{}
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			sections := fleet.Split(f)
			next := fleet.ManifestOf(sections)
			d := m.Diff(next)
			if m = m.Apply(d); m.Root() != next.Root() {
				t.Fatal("the manifest with the delta applied differs from the next manifest")
			}
			if _, err := x.Apply(pick(sections, d), d.Removed); err != nil {
				t.Fatal(err)
			}
			if lines := fleet.Diff(f, x.Fleet()); len(lines) > 0 || fleet.Root(x.Fleet()) != m.Root() {
				t.Fatal("the index differs from the fleet", lines)
			}
			f = fleet.Canonical(f)
			change(t, f)
		}
	})
}

func pick(sections []fleet.Section, d fleet.Delta) []fleet.Section {
	var out []fleet.Section
	for _, e := range d.Set {
		for _, s := range sections {
			if s.Name == e.Name {
				out = append(out, s)
			}
		}
	}
	return out
}

// Guards against a cost of changing one host that grows with the fleet. The test compares fleets of 28,000 and 1,232 hosts
// with the same number of hosts in each pool and data centre, by the changed sections and the updated index entries.
func TestWorkOfOneChange(t *testing.T) {
	is := is.New(t)
	small := fleet.Size{Hosts: 28000 / 45 / 7 * 2 * 7, Pools: 2, Teams: 310, Centres: 7, Regions: 3, Rack: 4}
	for _, size := range []fleet.Size{small, fleet.Large} {
		f := fleet.Generate(rand.New(rand.NewPCG(1, 1)), size)
		is.NoErr(fleet.Check(f))
		before := fleet.Split(f)
		f.Hosts[size.Hosts/2].Cores++
		after := fleet.Split(f)
		d := fleet.ManifestOf(before).Diff(fleet.ManifestOf(after))
		is.Equal(len(d.Set)+len(d.Removed), 1)
		x := &fleet.Index{}
		_, err := x.Apply(before, nil)
		is.NoErr(err)
		changed := pick(after, d)
		touched, err := x.Apply(changed, d.Removed)
		is.NoErr(err)
		is.True(touched <= 4*64) // old and new block, each at most twice the mean
		t.Logf("%d hosts, %d sections: 1 changed, %d bytes, %d entries updated", size.Hosts, len(after), len(changed[0].Data), touched)
	}
}

// Guards against the removal of a host changing more than its own block in a large pool.
func TestRemovedHostChangesOneBlock(t *testing.T) {
	is := is.New(t)
	f := fleet.Generate(rand.New(rand.NewPCG(1, 1)), fleet.Size{Hosts: 2000, Pools: 1, Teams: 1, Centres: 1, Regions: 1, Rack: 4})
	before := fleet.ManifestOf(fleet.Split(f))
	f.Hosts = f.Hosts[1:]
	d := before.Diff(fleet.ManifestOf(fleet.Split(f)))
	is.Equal(len(d.Set)+len(d.Removed), 1)
}

// Guards against accepting a damaged section, and against an index that is partly updated when Apply fails.
func TestDamagedSection(t *testing.T) {
	is := is.New(t)
	f, err := fleet.Parse("kitchen.jsonc", example(t, "kitchen.jsonc"))
	is.NoErr(err)
	sections := fleet.Split(f)
	x := &fleet.Index{}
	_, err = x.Apply(sections, nil)
	is.NoErr(err)
	bad := sections[len(sections)-1]
	bad.Data = bad.Data[:len(bad.Data)-1]
	_, err = x.Apply([]fleet.Section{sections[0], bad}, []string{sections[1].Name})
	is.True(errors.Is(err, fleet.ErrHash))
	bad.Hash = fleet.Sum(bad.Data)
	_, err = x.Apply([]fleet.Section{sections[0], bad}, []string{sections[1].Name})
	is.True(errors.Is(err, fleet.ErrSection))
	is.Equal(fleet.Root(x.Fleet()), fleet.Root(f))
}

// Guards against Diff lines without the entry, the changed field or its old and new value, and against an Overlap that
// compares whole lines.
func TestDiffWords(t *testing.T) {
	is := is.New(t)
	f, err := fleet.Parse("kitchen.jsonc", example(t, "kitchen.jsonc"))
	is.NoErr(err)
	to := fleet.Canonical(f)
	to.Hosts[0].Pool = "spare"
	to.Teams = to.Teams[1:]
	to.Services[0].Kinds[0].Deadline *= 2
	to.Waves = append(to.Waves, cuminstair.Wave{Name: "disk"})
	is.Equal(fleet.Diff(f, to), []string{
		"changed host middle01: pool from portions to spare",
		"changed service allergens: changed kind lookup: deadline from 1s to 2s",
		"removed team labels",
		"added wave disk",
	})
	is.True(strings.HasPrefix(fleet.Overlap(fleet.Diff(f, to), []string{"removed host middle01"})[0], "changed host"))
}
