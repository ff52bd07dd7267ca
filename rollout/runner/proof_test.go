package runner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/standin/table"
)

// seeds is the number of seeds with which each scenario runs.
const seeds = 20

// newRunningSim returns a sim of nine daemons in three data centres that have the first generation in force.
func newRunningSim(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed, 9, 3)
	first := fleet.Generate(s.rng, fleet.Size{Hosts: 60, Pools: 3, Teams: 4, Centres: 3, Regions: 1, Rack: 4})
	for i := range first.Services {
		first.Services[i].Budget.Down = 0.5
	}
	s.v.Advance(time.Second)
	_, err := s.apply(s.daemons[0], first, 0)
	s.checkf(err == nil, "first apply: %v", err)
	s.v.Advance(bound)
	return s
}

// forEachSeed runs a scenario with the first seeds and with the seeds in more, which reproduce earlier faults.
func forEachSeed(t *testing.T, scenario func(s *sim), more ...uint64) {
	for i := range uint64(seeds + len(more)) {
		seed := i
		if i >= seeds {
			seed = more[i-seeds]
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newRunningSim(t, seed)
			scenario(s)
			s.v.Advance(2 * bound)
			s.checkf(len(s.accepted) > 1, "nothing was accepted")
			s.requireGen(s.accepted[len(s.accepted)-1].head.Gen)
		})
	}
}

// applyAny applies a change through a random daemon that has the highest generation in force. It may conflict with a
// generation that the daemons have not received yet.
func (s *sim) applyAny() {
	for _, i := range s.rng.Perm(len(s.daemons)) {
		d := s.daemons[i]
		if d.alive && !s.cut[d.centre] && !s.offline[d.centre] && d.node.Head().Gen == s.highest() && d.node.Head().Gen > 0 {
			f, base := s.edit(d)
			_, err := s.apply(d, f, base)
			s.checkf(err == nil || !errors.Is(err, fleet.ErrInvalid), "apply: %v", err)
			return
		}
	}
}

// Guards against a configuration that a restarted daemon does not get, or that a daemon can get only from a daemon that
// was killed.
func TestInForceWhileDaemonsRestart(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		for range 20 {
			s.applyAny()
			d := s.daemons[s.rng.IntN(len(s.daemons))]
			d.kill()
			s.v.Advance(s.upTo(time.Second))
			d.start()
			s.v.Advance(s.upTo(time.Second))
		}
	})
}

// Guards against a configuration that daemons can get only from the platform.
func TestInForceWhenThePlatformFailsAfterTheAccept(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		for range 5 {
			s.applyAny()
			s.platform.SetFaults(table.Faults{Down: true})
			s.v.Advance(s.upTo(10 * time.Second))
			d := s.daemons[s.rng.IntN(len(s.daemons))]
			d.kill()
			s.v.Advance(time.Second)
			d.start() // gets the configuration from peers
			s.v.Advance(bound + time.Second)
			ok, reason := d.node.Ready()
			s.checkf(ok && d.node.Head().Gen == s.highest(), "%s started during the outage: %s", d.name, reason)
			s.platform.SetFaults(table.Faults{})
			s.v.Advance(2 * time.Second)
		}
	})
}

// Guards against a reconnected data centre that spreads its older generation to others, keeps it, or fetches the whole
// fleet again.
func TestRejoinWithAnOlderGeneration(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		s.setCut(2, true)
		old := s.daemons[2].node.Head().Gen
		for range 8 {
			s.applyAny()
			s.v.Advance(s.upTo(5 * time.Second))
		}
		s.checkf(s.daemons[2].node.Head().Gen == old, "the cut-off data centre has a later generation")
		s.daemons[2].kill()
		s.v.Advance(time.Second)
		s.daemons[2].start() // can get only the older generation
		s.v.Advance(bound)
		s.checkf(s.daemons[2].node.Head().Gen == old, "the restarted daemon did not get the generation of its data centre")
		before := s.daemons[5].node.Work().Sections
		s.setCut(2, false)
		s.v.Advance(2 * bound)
		changed := 1 + 8 // the teams, and one block of hosts for each change at most
		s.checkf(s.daemons[5].node.Work().Sections-before <= changed, "more than the changed sections were fetched")
	})
}

// Guards against a data centre that can't reach the platform for hours and gets no configurations from the others.
func TestCentreWithoutThePlatform(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		s.offline[1] = true
		for range 15 {
			s.applyAny()
			s.v.Advance(s.upTo(2 * bound))
		}
	})
}

// Guards against a late answer to an old read that replaces a later generation in force.
func TestSlowReader(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		fast := s.delay
		slow := s.daemons[4]
		s.delay = func(from, to *daemon) time.Duration {
			if (from == slow && to == nil) || (to == slow && from == nil) {
				return 2*time.Second + s.upTo(4*time.Second)
			}
			return fast(from, to)
		}
		for range 20 {
			s.applyAny()
			s.v.Advance(s.upTo(2 * time.Second))
		}
		s.v.Advance(10 * time.Second)
	})
}

// Guards against two operators whose changes from the same generation are both accepted, and against a conflict that
// does not name the generation, the other operator and the differences.
func TestTwoOperators(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		for round := range 6 {
			a, b := s.daemons[s.rng.IntN(4)], s.daemons[4+s.rng.IntN(4)]
			fa, base := s.edit(a)
			fb, _ := s.edit(b)
			fa.Hosts[0].Cores, fb.Hosts[0].Cores = 1000, 2000
			first := func() {
				won, err := s.apply(a, fa, base)
				s.checkf(err == nil && won.Head.Gen == base+1, "the apply of the first operator failed: %v", err)
			}
			if round%2 == 0 {
				first()
			} else {
				s.beforeCommit = first // after the second operator's daemon has read the head
			}
			_, err := s.apply(b, fb, base)
			var c *rollout.Conflict
			s.checkf(errors.As(err, &c) && errors.Is(err, rollout.ErrStale), "the second operator got no conflict: %v", err)
			s.checkf(c.Head == base+1 && c.Base == base && len(c.By) == 1 && c.By[0] == a.name, "wrong conflict: %+v", c)
			s.checkf(len(c.Changed) >= 2, "the conflict does not say what differs: %v", c)
			s.v.Advance(bound)
			_, err = s.apply(b, fb, base)
			s.checkf(errors.As(err, &c) && len(c.Overlap) >= 1, "the repeat got no conflict with an overlap: %v", err)
			fa.Hosts[0].Cores = 3000 + s.rng.IntN(1000)
			_, err = s.apply(b, fa, base+1)
			s.checkf(err == nil, "an apply based on the new generation failed: %v", err)
			s.v.Advance(bound)
		}
	})
}

// Guards against an apply whose answer was lost and that is accepted twice when it is repeated, even after others
// changed the fleet, and against an uncertain commit that is not resolved by reading it back.
func TestLostAnswerAndRepeat(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		for round := range 6 {
			d := s.daemons[s.rng.IntN(len(s.daemons))]
			f, base := s.edit(d)
			s.afterCommit = func() {}
			if round%3 == 0 {
				res, err := s.apply(d, f, base) // resolved by reading the commit back
				s.checkf(err == nil && !res.Again && res.Head.Gen == base+1, "the uncertain commit was not resolved: %v", err)
				s.v.Advance(bound)
				continue
			}
			s.afterCommit = func() { s.platform.SetFaults(table.Faults{Down: true}) }
			_, err := s.apply(d, f, base)
			s.checkf(errors.Is(err, cuminstair.ErrUncertain), "the uncertain apply returned %v", err)
			s.platform.SetFaults(table.Faults{})
			if round%2 == 0 {
				s.v.Advance(bound) // time for the daemons to read the uncertain commit from the platform
				s.applyAny()
			}
			other := s.daemons[s.rng.IntN(len(s.daemons))]
			res, err := s.apply(other, f, base)
			s.checkf(err == nil && res.Head.Gen == base+1, "the repeat got generation %d: %v", res.Head.Gen, err)
			s.v.Advance(bound)
		}
		s.checkHistory()
	})
}

// checkHistory checks that each commit that the platform accepted raised the generation by one.
func (s *sim) checkHistory() {
	gen := uint64(0)
	err := s.platform.Replay(func(rows map[string]cuminstair.Row, _ table.Committed) error {
		h, err := rollout.Decode[rollout.Head](rows[rollout.HeadKey].Value)
		if gen++; err == nil && h.Gen != gen {
			return errors.New("the generation of the head was not raised by one")
		}
		return err
	})
	s.checkf(err == nil, "history: %v", err)
}

// Guards against a commit that its daemon gave up and that reaches the platform during or after the operator's repeat
// of the apply.
func TestLateCommit(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		for range 6 {
			d, other := s.daemons[s.rng.IntN(len(s.daemons))], s.daemons[s.rng.IntN(len(s.daemons))]
			f, base := s.edit(d)
			s.commitDelay = time.Nanosecond + s.upTo(4*time.Second)
			_, err := s.apply(d, f, base)
			s.checkf(errors.Is(err, cuminstair.ErrUncertain), "the uncertain apply returned %v", err)
			s.v.Advance(s.upTo(4 * time.Second))
			res, err := s.apply(other, f, base)
			s.checkf(err == nil && res.Head.Gen == base+1, "the repeat got generation %d: %v", res.Head.Gen, err)
			s.v.Advance(4*time.Second + bound)
		}
		s.checkHistory()
	})
}

// Guards against faults caused by messages that arrive reordered, late or twice. Seed 53 reproduces a fault in which
// the sections received for a superseded generation were discarded with it.
func TestReorderedAnswers(t *testing.T) {
	forEachSeed(t, func(s *sim) {
		s.duplicates = 0.3
		s.delay = func(*daemon, *daemon) time.Duration { return s.upTo(300 * time.Millisecond) }
		for range 20 {
			s.applyAny()
			s.v.Advance(s.upTo(time.Second))
		}
	}, 53)
}

// Guards against an invalid fleet that is accepted, and against a daemon that accepts a change based on a generation
// that it does not have in force.
func TestApplyChecks(t *testing.T) {
	is := is.New(t)
	s := newRunningSim(t, 1)
	f, base := s.edit(s.daemons[0])
	f.Hosts[0].Pool = "none"
	_, err := s.apply(s.daemons[0], f, base)
	is.True(errors.Is(err, fleet.ErrInvalid))
	f, _ = s.edit(s.daemons[0])
	s.daemons[1].kill()
	s.daemons[1].start()
	_, err = s.apply(s.daemons[1], f, base)
	is.True(err != nil)
	s.platform.SetFaults(table.Faults{Down: true})
	_, err = s.apply(s.daemons[0], f, base)
	is.True(errors.Is(err, cuminstair.ErrUnavailable))
	is.Equal(len(s.accepted), 1)
	in, missing := s.daemons[2].node.InForce([]string{"d2", "d9"}, base)
	is.Equal(in, []string{"d2"})
	is.Equal(missing, []string{"d9"})
}
