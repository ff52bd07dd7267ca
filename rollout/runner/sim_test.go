package runner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

// bound is the time within which an accepted configuration must be in force (invariant 8 of docs/design.md).
const bound = 3 * time.Second

// overhead is added to the size of each message: IP, UDP, QUIC and the frame of a stream.
const overhead = 100

// sim runs the nodes of several daemons against a stand-in for the platform in virtual time. Messages have random
// delays, so that they are reordered, and some are lost or duplicated.
type sim struct {
	t             *testing.T
	rng           *rand.Rand
	v             *timer.Virtual
	platform      *table.Service
	daemons       []*daemon
	centres       int
	cut           map[int]bool                         // data centres without connection to the others and the platform
	offline       map[int]bool                         // data centres without connection to the platform only
	loss          float64                              // share of messages between daemons that are lost
	duplicates    float64                              // share of messages that arrive twice
	delay         func(from, to *daemon) time.Duration // to is nil for the platform
	accepted      []acceptance
	commits       int
	skipRootCheck bool          // skips the check of the root hash at each install, which is slow for large fleets
	commitDelay   time.Duration // the next commit times out and takes effect after this delay; 0: no time-out
	beforeCommit  func()        // called once before the next commit
	afterCommit   func()        // called once after the next commit, whose answer is lost; nil: it is not lost
}

// lossyTable is a table that delays commits or loses their answers.
type lossyTable struct {
	*table.Service
	s *sim
}

func (l lossyTable) Commit(ctx context.Context, c cuminstair.Commit) (uint64, error) {
	if fn := l.s.beforeCommit; fn != nil {
		l.s.beforeCommit = nil
		fn()
	}
	if late := l.s.commitDelay; late > 0 {
		l.s.commitDelay = 0
		l.s.v.After(late, func(time.Time) { _, _ = l.Service.Commit(context.Background(), c) })
		return 0, cuminstair.ErrUncertain
	}
	version, err := l.Service.Commit(ctx, c)
	if fn := l.s.afterCommit; fn != nil {
		l.s.afterCommit = nil
		fn()
		return 0, cuminstair.ErrUncertain
	}
	return version, err
}

// acceptance is a generation that the platform accepted.
type acceptance struct {
	head       rollout.Head
	at         time.Time
	everywhere time.Duration // until it was in force in all daemons; 0: not yet
}

type daemon struct {
	s              *sim
	node           *rollout.Node
	name           string
	centre         int
	incarnation    uint64 // number of starts
	alive          bool
	reachableSince time.Time // when it started or its data centre was connected again
	bytes          int       // sent and received
	stop           func() bool
}

func newSim(t *testing.T, seed uint64, count, centres int) *sim {
	v := timer.NewVirtual(time.Unix(1e6, 0))
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), v: v, platform: &table.Service{Timer: v}, centres: centres,
		cut: make(map[int]bool), offline: make(map[int]bool), loss: 0.02, duplicates: 0.02,
	}
	s.delay = func(*daemon, *daemon) time.Duration { return s.upTo(20 * time.Millisecond) }
	for i := range count {
		s.daemons = append(s.daemons, &daemon{s: s, name: fmt.Sprintf("d%d", i), centre: i % centres})
	}
	for _, d := range s.daemons {
		d.start()
	}
	return s
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

func (d *daemon) start() {
	d.incarnation++
	d.alive, d.reachableSince = true, d.s.v.Now()
	d.node = &rollout.Node{
		Name: d.name, Incarnation: d.incarnation, Centre: fmt.Sprint(d.centre),
		Rand: rand.New(rand.NewPCG(d.s.rng.Uint64(), 1)),
	}
	var peers []rollout.Peer
	for _, x := range d.s.daemons {
		peers = append(peers, rollout.Peer{Name: x.name, Centre: fmt.Sprint(x.centre)})
	}
	d.node.SetPeers(peers)
	// Starts after a random part of the tick interval, so that daemons don't act at the same time.
	started := d.incarnation
	d.s.v.After(d.s.upTo(rollout.TickEvery), func(time.Time) {
		if d.incarnation == started && d.alive {
			d.stop = d.s.v.Every(rollout.TickEvery, func(now time.Time) { d.execute(d.node.Tick(now)) })
		}
	})
}

func (d *daemon) kill() {
	d.alive = false
	if d.stop != nil {
		d.stop()
	}
}

// connected reports whether messages between two daemons are delivered.
func (s *sim) connected(a, b *daemon) bool {
	return a.centre == b.centre || (!s.cut[a.centre] && !s.cut[b.centre])
}

// later calls fn for d after a delay, unless d was killed or restarted meanwhile.
func (d *daemon) later(wait time.Duration, fn func(now time.Time)) {
	started := d.incarnation
	d.s.v.After(wait, func(now time.Time) {
		if d.alive && d.incarnation == started {
			fn(now)
		}
	})
}

// send delivers a message of the given size to another daemon.
func (d *daemon) send(to *daemon, size int, fn func(now time.Time)) {
	s := d.s
	d.bytes += size + overhead
	if !s.connected(d, to) || !to.alive || s.rng.Float64() < s.loss {
		return
	}
	copies := 1
	if s.rng.Float64() < s.duplicates {
		copies = 2
	}
	for range copies {
		to.later(s.delay(d, to), func(now time.Time) {
			to.bytes += size + overhead
			fn(now)
		})
	}
}

func (d *daemon) execute(a rollout.Actions) {
	if a.Install != nil {
		d.installed(a.Install)
	}
	for _, m := range a.Announce {
		to := d.s.named(m.To)
		data := rollout.Encode(m.Message)
		d.send(to, len(data), func(now time.Time) {
			got, err := rollout.Decode[rollout.Announcement](data)
			d.s.checkf(err == nil, "announcement: %v", err)
			to.execute(to.node.Announced(now, got))
		})
	}
	if a.Poll {
		d.poll()
	}
	if a.Fetch != nil {
		d.fetch(*a.Fetch)
	}
}

// installed checks that the configuration in force is the one that the platform accepted as that generation.
func (d *daemon) installed(in *rollout.Install) {
	for i := range d.s.accepted {
		if a := &d.s.accepted[i]; a.head.Gen <= in.Head.Gen && d.s.lowest() >= a.head.Gen && a.everywhere == 0 {
			a.everywhere = d.s.v.Now().Sub(a.at)
		}
	}
	if d.s.skipRootCheck {
		return
	}
	root := fleet.Root(d.node.Index().Fleet())
	d.s.checkf(root == in.Head.Root, "%s: the fleet in force does not have the root hash of generation %d", d.name, in.Head.Gen)
	for _, a := range d.s.accepted {
		if a.head.Gen == in.Head.Gen {
			d.s.checkf(a.head.Root == in.Head.Root, "%s: generation %d has another root hash", d.name, in.Head.Gen)
		}
	}
}

// poll reads the head. The request, the read and the answer happen at different times.
func (d *daemon) poll() {
	s, asked := d.s, d.s.v.Now()
	d.later(s.delay(d, nil), func(time.Time) {
		if s.cut[d.centre] || s.offline[d.centre] {
			d.node.PlatformFailed("cut off")
			return
		}
		h, err := runner.ReadHead(context.Background(), s.platform)
		d.bytes += 2*overhead + 80
		d.later(s.delay(nil, d), func(now time.Time) {
			if err != nil {
				d.node.PlatformFailed(err.Error())
				return
			}
			d.execute(d.node.PlatformHead(now, asked, h))
		})
	})
}

func (d *daemon) fetch(f rollout.Fetch) {
	s := d.s
	if f.Source.Peer != "" {
		from := s.named(f.Source.Peer)
		d.send(from, len(rollout.Encode(f.Request)), func(time.Time) {
			data := rollout.Encode(from.node.Serve(f.Request))
			from.send(d, len(data), func(now time.Time) { d.update(now, f, data) })
		})
		return
	}
	d.later(s.delay(d, nil), func(time.Time) {
		if s.cut[d.centre] || s.offline[d.centre] {
			return
		}
		u, err := runner.ReadUpdate(context.Background(), s.platform, s.platform, f.Request)
		data := rollout.Encode(u)
		d.bytes += len(data) + 2*overhead
		d.later(s.delay(nil, d), func(now time.Time) {
			if err != nil {
				d.execute(d.node.FetchFailed(now, f.ID, err.Error()))
				return
			}
			d.update(now, f, data)
		})
	})
}

func (d *daemon) update(now time.Time, f rollout.Fetch, data []byte) {
	u, err := rollout.Decode[rollout.Update](data)
	d.s.checkf(err == nil, "update: %v", err)
	before := d.node.Head().Gen
	d.execute(d.node.FetchDone(now, f.ID, f.Source, u))
	d.s.checkf(d.node.Head().Gen >= before, "%s: went back from generation %d to %d", d.name, before, d.node.Head().Gen)
}

func (s *sim) named(name string) *daemon {
	for _, d := range s.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (s *sim) checkf(ok bool, format string, args ...any) {
	if !ok {
		s.t.Helper()
		s.t.Fatalf("at %s: %s", s.v.Now().Sub(time.Unix(1e6, 0)), fmt.Sprintf(format, args...))
	}
}

// apply applies a fleet through a daemon, as an operator does.
func (s *sim) apply(d *daemon, f *cuminstair.Fleet, base uint64) (runner.Result, error) {
	a := &runner.Applier{
		Table: lossyTable{s.platform, s}, Objects: s.platform, State: d.node.Base,
		NewID: func() string { s.commits++; return fmt.Sprintf("%s-%d", d.name, s.commits) },
		Pause: func(context.Context) bool { return false },
	}
	res, err := a.Apply(context.Background(), rollout.Apply{Fleet: f, Base: base, By: d.name})
	if err == nil {
		s.recordAccepted(res.Head)
		d.execute(d.node.Accepted(s.v.Now(), res.Plan, res.Head.Version))
	}
	return res, err
}

// recordAccepted schedules the check that every reachable daemon has the generation in force within the bound.
func (s *sim) recordAccepted(h rollout.Head) {
	s.accepted = append(s.accepted, acceptance{head: h, at: s.v.Now()})
	s.v.After(bound, func(time.Time) { s.requireGen(h.Gen) })
}

// requireGen checks that all daemons that were alive and connected for the whole bound have gen or a later generation in
// force.
func (s *sim) requireGen(gen uint64) {
	for _, d := range s.daemons {
		if d.alive && !s.cut[d.centre] && s.v.Now().Sub(d.reachableSince) >= bound {
			s.checkf(d.node.Head().Gen >= gen, "%s has generation %d in force, and %d was accepted %s ago; %+v",
				d.name, d.node.Head().Gen, gen, bound, d.node.Work())
		}
	}
}

// setCut disconnects a data centre or reconnects it. After a reconnection all daemons must have the highest generation
// within the bound.
func (s *sim) setCut(centre int, cut bool) {
	s.cut[centre] = cut
	for _, d := range s.daemons {
		if d.centre == centre || len(s.cut) > 1 {
			d.reachableSince = s.v.Now()
		}
	}
	if !cut {
		gen := s.highest()
		s.v.After(bound, func(time.Time) { s.requireGen(gen) })
	}
}

func (s *sim) highest() uint64 {
	gen := uint64(0)
	for _, d := range s.daemons {
		if d.alive {
			gen = max(gen, d.node.Head().Gen)
		}
	}
	return gen
}

func (s *sim) lowest() uint64 {
	gen := s.daemons[0].node.Head().Gen
	for _, d := range s.daemons {
		gen = min(gen, d.node.Head().Gen)
	}
	return gen
}

// edit returns the fleet of a daemon with one change, and the generation that it is based on.
func (s *sim) edit(d *daemon) (*cuminstair.Fleet, uint64) {
	f := d.node.Index().Fleet()
	s.change(f)
	return f, d.node.Head().Gen
}

func (s *sim) change(f *cuminstair.Fleet) {
	f.Teams[s.rng.IntN(len(f.Teams))].Quota.Burst += 1 + s.rng.IntN(1000)
	f.Hosts[s.rng.IntN(len(f.Hosts))].Cores++
}
