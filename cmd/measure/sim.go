package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

const (
	// peerOverhead is the number of bytes that is added to each message for IP, UDP, QUIC and the stream frame.
	peerOverhead = 100
	// maxDelay bounds the random delay of a message. The mean delay is half of it.
	maxDelay = 20 * time.Millisecond
)

// configSim runs the configuration nodes of several daemons against the stand-in of the platform in virtual time. No
// message is lost.
type configSim struct {
	rng      *rand.Rand
	v        *timer.Virtual
	platform *table.Service
	daemons  []*configDaemon
	byName   map[string]*configDaemon
	accepted []acceptance
	commits  int
	err      error
}

type configDaemon struct {
	s     *configSim
	node  *rollout.Node
	bytes int // bytes sent and received
	reads int // reads of the head
}

// acceptance records when a generation was accepted. propagation is the time from then until the generation is in force
// in all daemons, and 0 before that.
type acceptance struct {
	gen         uint64
	at          time.Time
	propagation time.Duration
}

func newConfigSim(count, centres int) *configSim {
	v := timer.NewVirtual(epoch)
	s := &configSim{
		rng: rand.New(rand.NewPCG(1, 7)), v: v, platform: &table.Service{Timer: v}, byName: map[string]*configDaemon{},
	}
	var peers []rollout.Peer
	for i := range count {
		p := rollout.Peer{Name: fmt.Sprint("d", i), Centre: fmt.Sprint("centre", i%centres+1)}
		peers = append(peers, p)
		d := &configDaemon{s: s, node: &rollout.Node{
			Name: p.Name, Incarnation: 1, Centre: p.Centre, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1)),
		}}
		s.daemons, s.byName[p.Name] = append(s.daemons, d), d
	}
	for _, d := range s.daemons {
		d.node.SetPeers(peers)
		v.After(time.Duration(s.rng.Int64N(int64(rollout.TickEvery))), func(time.Time) {
			v.Every(rollout.TickEvery, func(now time.Time) { d.execute(d.node.Tick(now)) })
		})
	}
	return s
}

// afterDelay calls fn after the random delay of a message.
func (s *configSim) afterDelay(fn func(now time.Time)) {
	s.v.After(time.Duration(s.rng.Int64N(int64(maxDelay))), fn)
}

// send counts a message of the given size and calls fn when it arrives.
func (d *configDaemon) send(to *configDaemon, size int, fn func(now time.Time)) {
	d.bytes += size + peerOverhead
	d.s.afterDelay(func(now time.Time) {
		to.bytes += size + peerOverhead
		fn(now)
	})
}

// execute carries out the actions that the node of a daemon returned.
func (d *configDaemon) execute(a rollout.Actions) {
	if a.Install != nil {
		d.s.recordInForce()
	}
	for _, m := range a.Announce {
		to := d.s.byName[m.To]
		d.send(to, len(rollout.Encode(m.Message)), func(now time.Time) { to.execute(to.node.Announced(now, m.Message)) })
	}
	if a.Poll {
		d.poll()
	}
	if a.Fetch != nil {
		d.fetch(*a.Fetch)
	}
}

// recordInForce sets the propagation time of each generation that has come into force in all daemons.
func (s *configSim) recordInForce() {
	lowest := s.daemons[0].node.Head().Gen
	for _, d := range s.daemons {
		lowest = min(lowest, d.node.Head().Gen)
	}
	for i := range s.accepted {
		if a := &s.accepted[i]; a.gen <= lowest && a.propagation == 0 {
			a.propagation = s.v.Now().Sub(a.at)
		}
	}
}

func (d *configDaemon) poll() {
	sentAt := d.s.v.Now()
	d.reads++
	d.s.afterDelay(func(time.Time) {
		h, err := runner.ReadHead(context.Background(), d.s.platform)
		if err != nil {
			d.s.err = err
		}
		d.bytes += headReadBytes
		d.s.afterDelay(func(now time.Time) { d.execute(d.node.PlatformHead(now, sentAt, h)) })
	})
}

func (d *configDaemon) fetch(f rollout.Fetch) {
	if from := d.s.byName[f.Source.Peer]; from != nil {
		d.send(from, len(rollout.Encode(f.Request)), func(time.Time) {
			u := from.node.Serve(f.Request)
			from.send(d, len(rollout.Encode(u)), func(now time.Time) { d.execute(d.node.FetchDone(now, f.ID, f.Source, u)) })
		})
		return
	}
	d.s.afterDelay(func(time.Time) {
		u, err := runner.ReadUpdate(context.Background(), d.s.platform, d.s.platform, f.Request)
		d.bytes += len(rollout.Encode(u)) + 2*peerOverhead
		d.s.afterDelay(func(now time.Time) {
			if err != nil {
				d.execute(d.node.FetchFailed(now, f.ID, err.Error()))
				return
			}
			d.execute(d.node.FetchDone(now, f.ID, f.Source, u))
		})
	})
}

// apply submits a fleet to a daemon as an operator does.
func (s *configSim) apply(d *configDaemon, f *cuminstair.Fleet, base uint64) (runner.Result, error) {
	a := &runner.Applier{
		Table: s.platform, Objects: s.platform, State: d.node.Base,
		NewID: func() string { s.commits++; return fmt.Sprint(d.node.Name, "-", s.commits) },
		Pause: func(context.Context) bool { return false },
	}
	res, err := a.Apply(context.Background(), rollout.Apply{Fleet: f, Base: base, By: d.node.Name})
	if err != nil {
		return res, fmt.Errorf("apply: %w", err)
	}
	s.accepted = append(s.accepted, acceptance{gen: res.Head.Gen, at: s.v.Now()})
	d.execute(d.node.Accepted(s.v.Now(), res.Plan, res.Head.Version))
	return res, s.err
}

func (s *configSim) bytes() int {
	total := 0
	for _, d := range s.daemons {
		total += d.bytes
	}
	return total
}

// run advances the clock by d and returns the bytes that all daemons sent and received in that time.
func (s *configSim) run(d time.Duration) int {
	before := s.bytes()
	s.v.Advance(d)
	return s.bytes() - before
}

// begin applies the first generation and waits until it is in force in all daemons.
func (s *configSim) begin(f *cuminstair.Fleet) error {
	s.v.Advance(time.Second)
	if _, err := s.apply(s.daemons[0], f, 0); err != nil {
		return err
	}
	s.v.Advance(2 * cuminstair.ForceTarget)
	return nil
}

// generate returns a fleet with seed 1. It panics on an error, since all sizes that are measured are valid; the tests
// generate some of them.
func generate(hosts int) *cuminstair.Fleet {
	f, err := generateSeed(hosts, 1)
	if err != nil {
		panic(err)
	}
	return f
}
