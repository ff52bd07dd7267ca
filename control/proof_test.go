package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/wave"
)

const seeds = 8

// Guards against planned work that leaves no reserve, or goes on after a loss: a budget must hold at every instant
// through a wave, the loss of any one rack, and a flood that makes the checks of hosts in that rack fail.
func TestBudgetHoldsThroughRackLoss(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 2)
		w.run(time.Duration(20+w.rand.IntN(400)) * time.Second)
		rack := fmt.Sprintf("a-r%d", w.rand.IntN(4))
		w.shake(rack, func(m *machine) { m.sick = w.rand.IntN(2) == 0 })
		w.run(time.Duration(1+w.rand.IntN(20)) * time.Second)
		active := w.activeIn(rack)
		w.shake(rack, func(m *machine) { m.sick, m.dead, m.changed = false, true, w.v.Now() })
		w.run(3 * time.Minute)
		if active >= 2 { // with fewer the rack was out for the wave already
			w.is.True(w.wave("a").State != wave.Running)
		}
		w.ok()
		w.shake(rack, func(m *machine) { m.dead, m.changed = false, w.v.Now() })
		w.run(5 * time.Minute)
		if w.wave("a").State == wave.Stopped { // hosts that rebooted when the rack was lost look like its own failure
			w.is.NoErr(w.order[0].c.OrderWave(context.Background(), "w", "resume"))
		}
		w.finish(2 * time.Hour)
		w.ok()
	}
}

func (w *world) activeIn(rack string) int {
	n := 0
	for name, m := range w.hosts {
		if m.rack == rack && w.rows[name].State == cuminstair.HostActive {
			n++
		}
	}
	return n
}

func (w *world) shake(rack string, fn func(m *machine)) {
	for _, h := range w.fleet.Hosts {
		if m := w.hosts[h.Name]; m.rack == rack {
			fn(m)
		}
	}
}

// Guards against a wave that goes on when its own hosts fail, that does not explain itself, and that can't be resumed
// by whoever holds the lease then.
func TestWaveStopsByItself(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 2)
		w.run(3 * time.Minute)
		w.shakeAll(func(m *machine) { m.broken = true })
		w.run(15 * time.Minute)
		w.ok()
		w.is.Equal(w.wave("a").State, wave.Stopped)
		w.is.True(strings.Contains(w.wave("a").Reason, "did not come back healthy within 3m0s"))
		w.shakeAll(func(m *machine) { m.broken = false })
		w.run(time.Hour)
		for _, h := range w.fleet.Hosts {
			w.is.Equal(w.rows[h.Name].State, cuminstair.HostActive) // the lost ones were replaced
		}
		w.is.Equal(w.wave("a").State, wave.Stopped)
		w.pause(w.holder("a"), 60)
		w.is.NoErr(w.order[0].c.OrderWave(context.Background(), "w", "resume"))
		w.finish(2 * time.Hour)
		w.ok()
	}
}

func (w *world) shakeAll(fn func(m *machine)) {
	for _, h := range w.fleet.Hosts {
		fn(w.hosts[h.Name])
	}
}

// Guards against two pools for a host, an old holder that acts, a second write after a lost answer, and reboots with
// requests in flight: holders are paused past their lease in the middle of commits and actions, answers are lost, and
// operators move hosts with two fleet files that reach the daemons at different times.
func TestOnePoolUnderRaces(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 3)
		w.faults, w.pauses = true, 150
		files := []*cuminstair.Fleet{w.fleet, moved(w.fleet)}
		for range 60 {
			d := w.order[w.rand.IntN(len(w.order))]
			d.c.SetFleet(files[w.rand.IntN(2)])
			w.run(time.Duration(1+w.rand.IntN(20)) * time.Second)
			w.is.Equal(w.cut, "")
			w.is.Equal(w.fence, "")
		}
		w.faults, w.pauses = false, 0
		w.is.True(w.moves > 0)
		for _, h := range files[1].Hosts {
			w.homes[h.Name] = h.Pool
		}
		for _, d := range w.order {
			d.c.SetFleet(files[1])
		}
		w.finish(2 * time.Hour)
		w.run(10 * time.Minute)
		w.is.Equal(w.cut, "")
		w.is.Equal(w.fence, "")
		for _, h := range files[1].Hosts {
			w.is.Equal(w.rows[h.Name].Pool, h.Pool)
			w.is.Equal(w.rows[h.Name].State, cuminstair.HostActive)
		}
	}
}

// moved is the fleet with one host of p0 in p1 and one of p1 in p2.
func moved(f *cuminstair.Fleet) *cuminstair.Fleet {
	g := *f
	g.Hosts = append([]cuminstair.Host{}, f.Hosts...)
	for i := range g.Hosts {
		switch g.Hosts[i].Name {
		case "p0-0":
			g.Hosts[i].Pool = "p1"
		case "p1-3":
			g.Hosts[i].Pool = "p2"
		}
	}
	return &g
}

// Guards against budgets that are broken while answers are lost and holders are paused in the middle of a wave.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 3)
		w.faults, w.pauses = true, 200
		w.run(30 * time.Minute)
		w.faults, w.pauses = false, 0
		w.finish(2 * time.Hour)
		w.ok()
	}
}

// Guards against planned work that goes on while a daemon may still send requests to a host: nothing is rebooted or
// moved while one is silent, and a dead one is waited for until it has been listed as gone for 30 s.
func TestSilentDaemonFreezes(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.run(3 * time.Minute)
	quiet := w.daemons["a-d1"]
	if w.holder("a") == quiet {
		quiet = w.daemons["a-d2"]
	}
	quiet.silent = true
	w.run(2 * time.Second)
	before := w.actedIn("a")
	w.run(10 * time.Minute)
	w.is.Equal(w.actedIn("a"), before)
	_, why := w.holder("a").c.WhyHost("p1-2")
	w.is.True(strings.Contains(why, "frozen: no answer from "+quiet.name))
	w.is.True(w.actedIn("b") > 0) // the other data centre goes on
	quiet.paused = true
	clear(quiet.inflight)
	w.gone[quiet.name] = true
	w.run(30 * time.Second)
	w.is.Equal(w.actedIn("a"), before)
	w.finish(2 * time.Hour)
	w.ok()
}

// actedIn counts the platform actions on the hosts of a data centre.
func (w *world) actedIn(centre string) int {
	n := 0
	for _, m := range w.hosts {
		if m.centre == centre {
			n += len(m.acts)
		}
	}
	return n
}

// Guards against planned work during an outage of the platform, and against a controller that does not go on after it.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 2)
	w.run(3 * time.Minute)
	w.down = true
	acted := w.acted
	w.run(20 * time.Minute)
	w.is.Equal(w.acted, acted)
	w.is.True(w.holder("a") == nil)
	w.down = false
	w.finish(2 * time.Hour)
	w.ok()
}

// Guards against two data centres that take the last room of a fleet-wide budget at the same time: while one commits,
// the other plans and commits with the same view.
func TestFleetBudgetIsShared(t *testing.T) {
	f := &cuminstair.Fleet{
		Centres:  []cuminstair.Centre{{Name: "a"}, {Name: "b"}, {Name: "c"}},
		Pools:    []cuminstair.Pool{{Name: "p"}},
		Services: []cuminstair.Service{{Name: "s", Pool: "p", Budget: cuminstair.Budget{Down: 0.25}}},
		Waves:    []cuminstair.Wave{{Name: "w", Pools: []string{"p"}, Action: "reboot", Limit: 20, Hold: true}},
	}
	for n := range 32 {
		c := f.Centres[min(n%4, 2)].Name
		f.Hosts = append(f.Hosts, cuminstair.Host{Name: fmt.Sprint("h", n), Centre: c, Rack: fmt.Sprint("r", n), Pool: "p"})
	}
	w := newWorld(t, 1, f, 1)
	lost := 0
	for _, h := range f.Hosts {
		if h.Centre == "c" && lost < 6 {
			w.hosts[h.Name].dead = true
			lost++
		}
	}
	w.run(40 * time.Second)
	account := w.truth.Account("s", budget.Fleet)
	w.is.Equal(account.Room(), 1)
	w.is.Equal(w.truth.Account("s", "a").Room(), 1)
	w.is.Equal(w.truth.Account("s", "b").Room(), 1)
	w.is.NoErr(w.order[0].c.OrderWave(context.Background(), "w", "start"))
	w.onTake = func() {
		w.onTake = nil
		w.daemons["b-d0"].c.Step(context.Background())
	}
	w.daemons["a-d0"].c.Step(context.Background())
	w.is.True(w.onTake == nil)
	w.is.Equal(w.truth.Account("s", budget.Fleet).Planned, 1)
	w.is.Equal(w.truth.Account("s", budget.Fleet).Room(), 0)
}
