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

// Guards against planned work that leaves no reserve for a rack, or continues after a rack is lost: the budgets must
// hold, at every row write and every second, during a wave, the loss of a random rack, and health checks that fail on
// hosts of that rack shortly before the loss.
func TestBudgetHoldsThroughRackLoss(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 2)
		w.run(time.Duration(20+w.rand.IntN(400)) * time.Second)
		rack := fmt.Sprintf("a-r%d", w.rand.IntN(4))
		w.eachInRack(rack, func(m *machine) { m.unhealthy = w.rand.IntN(2) == 0 })
		w.run(time.Duration(1+w.rand.IntN(20)) * time.Second)
		active := w.activeIn(rack)
		w.eachInRack(rack, func(m *machine) { m.unhealthy, m.dead, m.changed = false, true, w.clock.Now() })
		w.run(3 * time.Minute)
		if active >= 2 { // with fewer, the wave had already taken the rack's hosts out of service
			w.is.True(w.wave("a").State != wave.Running)
		}
		w.checkInvariants()
		w.eachInRack(rack, func(m *machine) { m.dead, m.changed = false, w.clock.Now() })
		w.run(5 * time.Minute)
		if w.wave("a").State == wave.Stopped { // a wave counts rebooting hosts of a lost rack as failures
			w.is.NoErr(w.daemonList[0].c.OrderWave(context.Background(), "w", "resume"))
		}
		w.finish(2 * time.Hour)
		w.checkInvariants()
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

func (w *world) eachInRack(rack string, fn func(m *machine)) {
	for _, h := range w.fleet.Hosts {
		if m := w.hosts[h.Name]; m.rack == rack {
			fn(m)
		}
	}
}

// Guards against a wave that continues when hosts are not healthy again after its reboots, that states no reason, or
// that can't be resumed after the lease has passed to another daemon.
func TestWaveStopsByItself(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 2)
		w.run(3 * time.Minute)
		w.eachMachine(func(m *machine) { m.failsReboot = true })
		w.run(15 * time.Minute)
		w.checkInvariants()
		w.is.Equal(w.wave("a").State, wave.Stopped)
		w.is.True(strings.Contains(w.wave("a").Reason, "did not come back healthy within 3m0s"))
		w.eachMachine(func(m *machine) { m.failsReboot = false })
		w.run(time.Hour)
		for _, h := range w.fleet.Hosts {
			w.is.Equal(w.rows[h.Name].State, cuminstair.HostActive) // the hosts that did not come back were replaced
		}
		w.is.Equal(w.wave("a").State, wave.Stopped)
		w.pause(w.holder("a"), 60)
		w.is.NoErr(w.daemonList[0].c.OrderWave(context.Background(), "w", "resume"))
		w.finish(2 * time.Hour)
		w.checkInvariants()
	}
}

func (w *world) eachMachine(fn func(m *machine)) {
	for _, h := range w.fleet.Hosts {
		fn(w.hosts[h.Name])
	}
}

// Guards against a host in two pools, writes by a former holder, a second write after a lost answer, and reboots with
// requests in flight: holders are paused past their lease during commits and actions, answers are lost, and operators
// move hosts with two fleet files that reach the daemons at different times.
func TestOnePoolUnderRaces(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 3)
		w.faults, w.callsPerPause = true, 150
		files := []*cuminstair.Fleet{w.fleet, withMovedHosts(w.fleet)}
		for range 60 {
			d := w.daemonList[w.rand.IntN(len(w.daemonList))]
			d.c.SetFleet(files[w.rand.IntN(2)])
			w.run(time.Duration(1+w.rand.IntN(20)) * time.Second)
			w.is.Equal(w.rebootInFlight, "")
			w.is.Equal(w.staleWrite, "")
		}
		w.faults, w.callsPerPause = false, 0
		w.is.True(w.moves > 0)
		for _, h := range files[1].Hosts {
			w.homes[h.Name] = h.Pool
		}
		for _, d := range w.daemonList {
			d.c.SetFleet(files[1])
		}
		w.finish(2 * time.Hour)
		w.run(10 * time.Minute)
		w.is.Equal(w.rebootInFlight, "")
		w.is.Equal(w.staleWrite, "")
		for _, h := range files[1].Hosts {
			w.is.Equal(w.rows[h.Name].Pool, h.Pool)
			w.is.Equal(w.rows[h.Name].State, cuminstair.HostActive)
		}
	}
}

// withMovedHosts returns the fleet with one host of p0 in p1 and one of p1 in p2.
func withMovedHosts(f *cuminstair.Fleet) *cuminstair.Fleet {
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

// Guards against exceeded budgets while answers are lost and holders are paused during a wave.
func TestBudgetHoldsUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, smallFleet(), 3)
		w.faults, w.callsPerPause = true, 200
		w.run(30 * time.Minute)
		w.faults, w.callsPerPause = false, 0
		w.finish(2 * time.Hour)
		w.checkInvariants()
	}
}

// Guards against planned work that continues while a daemon may still send requests to a host: no platform action is
// started while a daemon does not answer, or before a dead daemon has been listed as gone for 30 s.
func TestSilentDaemonFreezes(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.run(3 * time.Minute)
	silent := w.daemons["a-d1"]
	if w.holder("a") == silent {
		silent = w.daemons["a-d2"]
	}
	silent.silent = true
	w.run(2 * time.Second)
	before := w.actedIn("a")
	w.run(10 * time.Minute)
	w.is.Equal(w.actedIn("a"), before)
	_, why := w.holder("a").c.HostReason("p1-2")
	w.is.True(strings.Contains(why, "frozen: no answer from "+silent.name))
	w.is.True(w.actedIn("b") > 0) // the other data centre continues
	silent.paused = true
	clear(silent.inflight)
	w.listedGone[silent.name] = true
	w.run(30 * time.Second)
	w.is.Equal(w.actedIn("a"), before)
	w.finish(2 * time.Hour)
	w.checkInvariants()
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

// Guards against planned work during an outage of the platform, and against a controller that does not resume after it.
func TestPlatformOutage(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 2)
	w.run(3 * time.Minute)
	w.platformDown = true
	acted := w.actionCount
	w.run(20 * time.Minute)
	w.is.Equal(w.actionCount, acted)
	w.is.True(w.holder("a") == nil)
	w.platformDown = false
	w.finish(2 * time.Hour)
	w.checkInvariants()
}

// Guards against two data centres that both use up the last instance of a fleet-wide budget: while one of them commits,
// the other plans and commits from the same view of the rows.
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
	account := w.budgets.Account("s", budget.Fleet)
	w.is.Equal(account.Room(), 1)
	w.is.Equal(w.budgets.Account("s", "a").Room(), 1)
	w.is.Equal(w.budgets.Account("s", "b").Room(), 1)
	w.is.NoErr(w.daemonList[0].c.OrderWave(context.Background(), "w", "start"))
	w.onDrainCommit = func() {
		w.onDrainCommit = nil
		w.daemons["b-d0"].c.Step(context.Background())
	}
	w.daemons["a-d0"].c.Step(context.Background())
	w.is.True(w.onDrainCommit == nil)
	w.is.Equal(w.budgets.Account("s", budget.Fleet).Planned, 1)
	w.is.Equal(w.budgets.Account("s", budget.Fleet).Room(), 0)
}
