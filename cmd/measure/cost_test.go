package main

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/fleet"
)

// maxGrowth bounds the ratio of the work at the largest size to that at the smallest one (section 5.3 of
// docs/design.md).
const maxGrowth = 2

// Guards against a routing decision whose work grows with the number of upstreams.
func TestRouteWork(t *testing.T) {
	is := is.New(t)
	cost := func(n int) (draws, allocs float64) {
		r, src := newRouter(n, 1)
		decide(r, picks/10)
		before := src.draws
		allocs = testing.AllocsPerRun(10, func() { decide(r, 1000) })
		return float64(src.draws-before) / 11000, allocs / 1000 // 11 calls of 1000: AllocsPerRun makes 1 more than 10
	}
	small, _ := cost(50)
	large, allocs := cost(4000)
	is.True(small > 0)
	is.True(large <= maxGrowth*small)
	is.Equal(allocs, 0.0)
}

// Guards against a heartbeat whose work grows with the number of upstreams that have requests in flight. Its work is
// counted in allocations, since the encoding of a part of a digest allocates at least once, even if the part is left
// out.
func TestDigestWork(t *testing.T) {
	is := is.New(t)
	small, err := costOfDigest(50)
	is.NoErr(err)
	large, err := costOfDigest(4000)
	is.NoErr(err)
	t.Logf("allocations for one digest: %.0f at 50 upstreams with load, %.0f at 4,000", small.allocs, large.allocs)
	is.True(large.bytes <= maxGrowth*small.bytes)
	is.True(large.allocs <= maxGrowth*small.allocs)
}

// Guards against gossip whose bytes sent by each daemon grow with the number of daemons.
func TestGossipBytes(t *testing.T) {
	is := is.New(t)
	cost := func(n int) gossipCost {
		g := newGossip(n, 7, memberUpstreams)
		g.v.Advance(memberStart)
		c := g.run(memberRun)
		is.NoErr(g.err)
		return c
	}
	small, large := cost(9), cost(100)
	t.Logf("bytes a second: %.0f with 9 daemons, %.0f with 100", small.mean, large.mean)
	is.True(large.mean <= maxGrowth*small.mean)
	is.True(large.peak <= limitBytes)
}

// Guards against running daemons that others see as suspect or gone, because heartbeats can't keep up with the number
// of daemons. 220 daemons start at the same time; after a minute more than 99 % of the pairs must be healthy.
func TestGossipLarge(t *testing.T) {
	is := is.New(t)
	g := newGossip(220, 7, 0)
	g.v.Advance(time.Minute)
	is.NoErr(g.err)
	t.Logf("not healthy: %.1f%% of the pairs", g.unhealthy())
	is.True(g.unhealthy() < 1)
}

// Guards against a change of one section that costs more bytes or installs more sections in a larger fleet.
func TestChangeWork(t *testing.T) {
	is := is.New(t)
	cost := func(hosts int) (bytes, sections int) {
		f := generate(hosts)
		s := newConfigSim(5, 2)
		is.NoErr(s.begin(f))
		before, work := s.bytes(), s.daemons[1].node.Work()
		f.Hosts[hosts/2].Cores++
		_, err := s.apply(s.daemons[0], f, 1)
		is.NoErr(err)
		s.v.Advance(3 * time.Second)
		is.Equal(s.daemons[1].node.Head().Gen, uint64(2))
		return s.bytes() - before, s.daemons[1].node.Work().Sections - work.Sections
	}
	small, _ := cost(1232)
	large, sections := cost(28000)
	t.Logf("bytes of 5 daemons in 3 s: %d at 1,232 hosts, %d at 28,000", small, large)
	is.Equal(sections, 1)
	is.True(large <= maxGrowth*small)
}

// Guards against requests to the platform that grow with the fleet, both without planned work and for each host that a
// wave maintains.
func TestControlWork(t *testing.T) {
	is := is.New(t)
	small, err := measureControls(50)
	is.NoErr(err)
	large, err := measureControls(1232)
	is.NoErr(err)
	is.Equal(large.holder, small.holder)
	is.Equal(large.follower, small.follower)
	is.Equal(large.idleWrites, small.idleWrites)
	is.True(large.rows <= maxGrowth*small.rows)
	is.True(large.commits <= maxGrowth*small.commits)
}

// Guards against a planner that updates more budget scopes for one row of a host in a larger fleet.
func TestPlanWork(t *testing.T) {
	is := is.New(t)
	is.True(costOfPlan(28000, 45).scopes <= maxGrowth*costOfPlan(50, 5).scopes)
}

// Guards against a generated fleet file that a daemon refuses, or that differs between runs with the same seed.
func TestFleetFile(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{50, 100, 300, 1000, 1001, 1232, 7000} {
		var a, b bytes.Buffer
		is.NoErr(printFleet(&a, hosts, 7))
		is.NoErr(printFleet(&b, hosts, 7))
		is.Equal(a.String(), b.String())
		f, err := fleet.Parse("fleet", a.Bytes())
		is.NoErr(err)
		is.Equal(len(f.Hosts), hosts)
	}
	is.True(printFleet(io.Discard, 0, 1) != nil)
}
