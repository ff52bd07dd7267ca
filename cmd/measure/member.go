package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/timer"
)

// memberSizes are numbers of entry daemons: 9 as in the small fleets, 21 and 280 as with 3 and 40 in each of 7 data
// centres, and sizes between.
var memberSizes = []int{9, 21, 50, 100, 180, 280}

// digestLoads are numbers of upstreams at which one daemon has requests in flight.
var digestLoads = []int{0, 50, 250, 1000, 4000}

const (
	// memberUpstreams is small because the time of a digest grows with the square of the number of loads.
	memberUpstreams = 40

	// memberStart is the first part of memberWarm, for which the figures of the start are measured.
	memberStart = 30 * time.Second
	// memberWarm is longer than the time that daemons started at the same moment take until each has all others in its
	// list. Until then a daemon may send at four times the ordinary rate.
	memberWarm = 50 * time.Second
	memberRun  = 5 * time.Second
)

// gossip runs the membership of several daemons in virtual time.
type gossip struct {
	v       *timer.Virtual
	rng     *rand.Rand
	daemons map[string]*gossiper
	names   []string
	err     error
}

// gossiper is a daemon of the simulation, with counts of the messages that it has sent.
type gossiper struct {
	member.Members
	up       bool
	bytes    int
	messages int
	largest  int // bytes of the largest message
}

// newGossip starts count daemons, each of which reports loads of the given number of upstreams. Each daemon has the
// addresses of all others from the start, as if it had read the registrations.
func newGossip(count, centres, upstreams int) *gossip {
	g := &gossip{v: timer.NewVirtual(epoch), rng: rand.New(rand.NewPCG(1, 2)), daemons: map[string]*gossiper{}}
	for i := range count {
		d := &gossiper{up: true, Members: member.Members{
			Self: member.Record{
				Name: fmt.Sprintf("entry-%03d", i), Centre: fmt.Sprint("centre", i%centres),
				Addr: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250), Start: 1000 + uint64(i),
			},
			Rand: rand.New(rand.NewPCG(uint64(i), 3)),
		}}
		g.daemons[d.Self.Name] = d
		g.names = append(g.names, d.Self.Name)
	}
	var seeds []member.Seed
	for _, name := range g.names {
		seeds = append(seeds, member.Seed{Name: name, Addr: g.daemons[name].Self.Addr})
	}
	for _, name := range g.names {
		g.daemons[name].Seed(seeds)
		g.start(g.daemons[name], upstreams)
	}
	return g
}

// start calls the Tick of a daemon at its interval, after a random delay, and changes its loads each second.
func (g *gossip) start(d *gossiper, upstreams int) {
	g.v.After(time.Duration(g.rng.Int64N(int64(member.Tick))), func(time.Time) {
		ticks := 0
		g.v.Every(member.Tick, func(now time.Time) {
			if !d.up {
				return
			}
			if ticks%10 == 0 {
				d.SetLoads(now, randomLoads(g.rng, upstreams))
			}
			ticks++
			g.send(d, d.Tick(now))
		})
	})
}

// randomLoads returns loads of about a quarter of the upstreams.
func randomLoads(rng *rand.Rand, upstreams int) []cuminstair.Load {
	var out []cuminstair.Load
	for i := range upstreams {
		if rng.IntN(4) == 0 {
			out = append(out, cuminstair.Load{Host: fmt.Sprintf("h%05d", i), Inflight: 1 + rng.IntN(8)})
		}
	}
	return out
}

func (g *gossip) send(from *gossiper, sends []member.Send) {
	for _, s := range sends {
		from.bytes += len(s.Data) + member.Overhead
		from.messages++
		from.largest = max(from.largest, len(s.Data))
		to := g.daemons[s.Name]
		if to == nil || !to.up {
			continue
		}
		g.v.After(time.Millisecond, func(now time.Time) {
			if !to.up {
				return
			}
			replies, err := to.Receive(now, from.Self.Name, s.Data)
			if err != nil {
				g.err = fmt.Errorf("receive from %s: %w", from.Self.Name, err)
			}
			g.send(to, replies)
		})
	}
}

// gossipCost is the traffic that one daemon sends. mean and messages are means over all daemons, peak and largest are
// maxima.
type gossipCost struct {
	mean, peak float64 // bytes a second
	messages   float64 // a second
	largest    int     // bytes of the largest message
}

// run advances the clock by d and returns the cost over that time.
func (g *gossip) run(d time.Duration) gossipCost {
	before := make(map[string]gossiper, len(g.daemons))
	for name, x := range g.daemons {
		before[name] = gossiper{bytes: x.bytes, messages: x.messages}
		x.largest = 0
	}
	g.v.Advance(d)
	var c gossipCost
	for name, x := range g.daemons {
		rate := float64(x.bytes-before[name].bytes) / d.Seconds()
		c.mean += rate / float64(len(g.daemons))
		c.peak = max(c.peak, rate)
		c.messages += float64(x.messages-before[name].messages) / d.Seconds() / float64(len(g.daemons))
		c.largest = max(c.largest, x.largest)
	}
	return c
}

// unhealthy returns the percentage of ordered pairs of daemons whose first one sees the second as suspect or gone, or
// does not have it in its list. All daemons must be running.
func (g *gossip) unhealthy() float64 {
	n := len(g.names)
	healthy := 0
	for _, d := range g.daemons {
		for _, m := range d.List(g.v.Now()) {
			if m.Name != d.Self.Name && m.Health == member.Healthy {
				healthy++
			}
		}
	}
	return 100 * (1 - float64(healthy)/float64(n*(n-1)))
}

// digestCost is the cost of one digest in which nothing has changed.
type digestCost struct {
	allocs float64 // heap objects for one digest; each encoding of a part makes at least one
	took   time.Duration
	bytes  float64
}

// costOfDigest measures the digests of one of 3 daemons in a data centre. The daemon has the given number of upstreams
// with requests in flight.
func costOfDigest(loads int) (digestCost, error) {
	g := newGossip(3, 1, 0)
	g.v.Advance(2 * time.Second)
	d := g.daemons[g.names[0]]
	all := make([]cuminstair.Load, loads)
	for i := range all {
		all[i] = cuminstair.Load{Host: fmt.Sprintf("h%05d", i), Inflight: 1 + i%8}
	}
	now, sent, bytes := g.v.Now(), 0, 0
	d.SetLoads(now, all)
	step := func() {
		for range 5 {
			now = now.Add(member.Tick)
			for _, s := range d.Tick(now) {
				sent++
				bytes += len(s.Data)
			}
		}
	}
	step()
	sent, bytes = 0, 0
	var allocs uint64
	took := wallTime(1, func() { allocs = mallocs(step) })
	if sent == 0 {
		return digestCost{}, errors.New("no digest was sent")
	}
	return digestCost{float64(allocs) / float64(sent), took / time.Duration(sent), float64(bytes) / float64(sent)}, g.err
}

func measureMember(_ context.Context, r *report) error {
	var rows [][]string
	for _, n := range memberSizes {
		g := newGossip(n, 7, memberUpstreams)
		start := g.run(memberStart)
		g.v.Advance(memberWarm - memberStart)
		var c gossipCost
		took := wallTime(1, func() { c = g.run(memberRun) })
		if g.err != nil {
			return g.err
		}
		r.record("gossip unhealthy", n, g.unhealthy())
		r.record("gossip bytes", n, c.mean)
		r.record("gossip core", n, 100*took.Seconds()/memberRun.Seconds()/float64(n))
		r.record("digests", n, c.messages)
		rows = append(rows, cells(n, start.mean, start.peak, c.mean, c.peak, c.messages, c.largest, 100*took.Seconds()/memberRun.Seconds()/float64(n), g.unhealthy()))
	}
	r.table(fmt.Sprintf("gossip in 7 data centres with loads of about %d upstreams, sent by one daemon", memberUpstreams/4), []string{
		"entry daemons", "start bytes/s mean", "most", "later bytes/s mean", "most", "digests/s", "largest digest", "% of a core" + wall, "% not healthy",
	}, rows)
	rows = nil
	for _, loads := range digestLoads {
		c, err := costOfDigest(loads)
		if err != nil {
			return err
		}
		r.record("digest time", loads, c.took.Seconds())
		rows = append(rows, cells(loads, c.bytes, c.allocs, c.took.Round(time.Microsecond)))
	}
	r.table("one digest of a daemon in a data centre of 3", []string{
		"upstreams with load", "bytes", "allocations", "time" + wall,
	}, rows)
	return nil
}
