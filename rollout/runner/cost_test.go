package runner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
)

const (
	// changeEvery is the time between two changes at 19,000 a day.
	changeEvery = 24 * time.Hour / 19000
	// nodeBytes is the most bytes per second that a node may send and receive on average (section 1.8 of
	// docs/design.md).
	nodeBytes = 3000
)

// mixedChange makes one change of a typical day: mostly single hosts, and some teams, services and waves.
func mixedChange(s *sim, f *cuminstair.Fleet, i int) {
	switch i % 10 {
	case 0:
		f.Teams[s.rng.IntN(len(f.Teams))].Quota.Burst++
	case 1:
		f.Services[s.rng.IntN(len(f.Services))].Slots++
	case 2:
		w := &f.Waves[s.rng.IntN(len(f.Waves))]
		w.Hold = !w.Hold
	case 3:
		f.Hosts[s.rng.IntN(len(f.Hosts))].Pool = f.Pools[s.rng.IntN(len(f.Pools))].Name
	default:
		f.Hosts[s.rng.IntN(len(f.Hosts))].Cores++
	}
}

// teamChange changes one team, and so the section with all teams, which is the largest one.
func teamChange(s *sim, f *cuminstair.Fleet, _ int) { f.Teams[s.rng.IntN(len(f.Teams))].Quota.Burst++ }

// Guards against changes that cost a node more than 3 KB/s at 28,000 hosts and 19,000 changes a day, and against a
// change that takes more than 3 s to be in force everywhere. All configuration messages that a node sends and receives
// are counted, including those to and from the platform, with 100 bytes of overhead each.
func TestBytesPerNode(t *testing.T) {
	for name, edit := range map[string]func(*sim, *cuminstair.Fleet, int){"mixed changes": mixedChange, "teams only": teamChange} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const changes = 30
			s := newSim(t, 1, 21, fleet.Large.Centres)
			s.skipRootCheck, s.loss, s.duplicates = true, 0, 0
			f := fleet.Generate(s.rng, fleet.Large)
			s.v.Advance(time.Second)
			_, err := s.apply(s.daemons[0], f, 0)
			is.NoErr(err)
			s.v.Advance(2 * bound)
			is.Equal(s.lowest(), uint64(1))
			full := s.bytes()
			idle := s.run(changeEvery * changes)
			before := s.daemons[1].node.Work()
			total, gen := 0, uint64(1)
			for i := range changes {
				edit(s, f, i)
				res, err := s.apply(s.daemons[i%len(s.daemons)], f, gen)
				is.NoErr(err)
				gen = res.Head.Gen
				total += s.run(changeEvery)
			}
			work := s.daemons[1].node.Work()
			seconds := (changeEvery * changes).Seconds()
			nodes := float64(len(s.daemons))
			rate := float64(total) / nodes / seconds
			t.Logf("%s: %.0f bytes/s per node, of which %.0f without changes; %.0f bytes per node per change",
				name, rate, float64(idle)/nodes/seconds, float64(total-idle)/nodes/changes)
			t.Logf("in force everywhere after %s on average, %s at most; start of all nodes %.1f MB per node",
				s.rolloutTime(false), s.rolloutTime(true), float64(full)/nodes/1e6)
			t.Logf("per node and change: %.1f sections, %.0f index entries, %.0f manifest entries hashed",
				float64(work.Sections-before.Sections)/changes, float64(work.Entries-before.Entries)/changes,
				float64(work.Hashed-before.Hashed)/changes)
			is.True(rate <= nodeBytes)
			is.True(s.rolloutTime(true) <= bound)
		})
	}
}

// run advances the clock and returns the bytes that all nodes sent and received meanwhile.
func (s *sim) run(d time.Duration) int {
	before := s.bytes()
	s.v.Advance(d)
	return s.bytes() - before
}

func (s *sim) bytes() int {
	total := 0
	for _, d := range s.daemons {
		total += d.bytes
	}
	return total
}

// rolloutTime returns the mean or the longest time until a generation was in force in all daemons.
func (s *sim) rolloutTime(longest bool) time.Duration {
	var sum, maxTime time.Duration
	for _, a := range s.accepted {
		sum += a.everywhere
		maxTime = max(maxTime, a.everywhere)
	}
	if longest {
		return maxTime
	}
	return (sum / time.Duration(len(s.accepted))).Round(time.Millisecond)
}

// Guards against work for a change of one section that grows with the fleet. Only the work on the manifest may grow:
// applying the delta to it, comparing it and hashing it. The manifest has one entry for about 45 hosts. In both fleets
// one section is installed; in the large fleet at most 4*64 index entries may be removed or added.
func TestWorkPerChange(t *testing.T) {
	is := is.New(t)
	measure := func(size fleet.Size) (work rollout.Work, manifest int) {
		s := newSim(t, 1, 2, 1)
		s.skipRootCheck = true
		f := fleet.Generate(s.rng, size)
		s.v.Advance(time.Second)
		_, err := s.apply(s.daemons[0], f, 0)
		is.NoErr(err)
		s.v.Advance(bound)
		before := s.daemons[1].node.Work()
		f.Hosts[size.Hosts/2].Cores++
		_, err = s.apply(s.daemons[0], f, 1)
		is.NoErr(err)
		s.v.Advance(bound)
		after := s.daemons[1].node.Work()
		work.Sections = after.Sections - before.Sections
		work.Entries = after.Entries - before.Entries
		work.Hashed = after.Hashed - before.Hashed
		return work, len(s.daemons[1].node.Manifest())
	}
	small, smallManifest := measure(fleet.Size{Hosts: 1232, Pools: 2, Teams: 310, Centres: 7, Regions: 3, Rack: 4})
	large, largeManifest := measure(fleet.Large)
	t.Logf("1,232 hosts: %+v; 28,000 hosts: %+v", small, large)
	is.Equal(small.Sections, 1)
	is.Equal(large.Sections, 1)
	is.True(large.Entries <= 4*64)
	is.Equal(small.Hashed, smallManifest)
	is.Equal(large.Hashed, largeManifest)
}
