package wave_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleettest"
	"cuminstair.org/cuminstair/wave"
)

// largeFleet is the fleet of section 1.8 of docs/design.md: 28,000 hosts in 45 pools and 7 data centres, racks of 20.
func largeFleet() *cuminstair.Fleet {
	const centres, pools, perCentre, rack = 7, 45, 4000, 20
	f := &cuminstair.Fleet{Name: "large"}
	w := cuminstair.Wave{
		Name: "w", Action: "reboot", Limit: 16,
		Drain: cuminstair.Duration(5 * time.Minute), Back: cuminstair.Duration(15 * time.Minute),
	}
	for n := range pools {
		name := fmt.Sprintf("p%d", n)
		f.Pools = append(f.Pools, cuminstair.Pool{Name: name, Spare: n == 0})
		w.Pools = append(w.Pools, name)
		if n > 0 {
			f.Services = append(f.Services, cuminstair.Service{Name: "s" + name, Pool: name, Slots: 8, Budget: cuminstair.Budget{Down: 0.05}})
		}
	}
	for c := range centres {
		centre := fmt.Sprintf("c%d", c)
		f.Centres = append(f.Centres, cuminstair.Centre{Name: centre, Region: fmt.Sprint(c % 3)})
		for n := range perCentre {
			f.Hosts = append(f.Hosts, cuminstair.Host{
				Name: fmt.Sprintf("h%d-%d", c, n), Centre: centre, Rack: fmt.Sprintf("c%d-r%d", c, n/rack), Pool: f.Pools[n%pools].Name,
			})
		}
	}
	f.Waves = []cuminstair.Wave{w}
	return f
}

// Guards against a wave that is too slow to maintain every host once in two weeks while hosts fail at the usual rate of
// 180 a day, and against planning work that grows with the fleet.
func TestTwoThousandHostsADay(t *testing.T) {
	const day, failures, target = 24 * time.Hour, 180, 2000
	f := largeFleet()
	w := fleettest.NewWorld(t, f)
	w.Tick = 15 * time.Second
	ticks := int(day / w.Tick)
	failed := 0
	for n := range ticks {
		if n*failures/ticks > failed {
			failed++
			name := f.Hosts[w.Rand.IntN(len(f.Hosts))].Name
			w.Hosts[name].Dead = true
			w.Account(name)
		}
		w.Step()
	}
	done := 0
	for _, c := range w.Centres {
		p := w.Planners[c].Waves()[0]
		done += p.Done
		w.Is.True(p.State == wave.Running || p.State == wave.Paused)
	}
	t.Logf("%d hosts done in a day, %d failed, %d host moves, %d scopes updated for each planner and write",
		done, failed, w.Moves, w.Planners["c0"].Budgets.Updates/w.Writes)
	w.Is.True(done >= target)
	w.Is.True(w.Within())
	w.Is.Equal(w.OverBudget, 0)
}

// Guards against host moves because of bursts: health that flaps for seconds, as when an overload makes checks fail.
func TestBurstsMoveNothing(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.34)
	f.Waves = nil
	w := fleettest.NewWorld(t, f)
	for n := range 3600 {
		if n%40 == 0 {
			for range 1 + w.Rand.IntN(20) {
				m := w.Hosts[f.Hosts[w.Rand.IntN(len(f.Hosts))].Name]
				m.DownUntil = w.Now.Add(time.Duration(1+w.Rand.IntN(20)) * time.Second)
			}
			for name := range w.Hosts {
				w.Account(name)
			}
		}
		w.Step()
	}
	w.Is.Equal(w.Moves, 0)
	for _, m := range w.Hosts {
		w.Is.Equal(m.Row.State, cuminstair.HostActive)
	}
}

// Guards against a pool that stays short of instances after a lasting loss although spare hosts are idle, and against
// spare hosts that are not returned once the lost host is replaced.
func TestLossLendsSpare(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.34)
	f.Waves = nil
	w := fleettest.NewWorld(t, f)
	w.Step()
	w.Hosts["p0-0"].Dead = true
	w.Hosts["p0-0"].FailsReboot = true
	w.Account("p0-0")
	for range 300 {
		w.Step()
	}
	w.Is.True(w.Moves >= 1)
	w.Is.Equal(w.Budgets.Account("sp0", "c0").Net(), 0)
	w.Hosts["p0-0"].FailsReboot = false
	for range 4500 {
		w.Step()
	}
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostActive) // replaced
	w.Is.Equal(w.Moves, 2)
}

// Guards against a change of the fleet file that moves more hosts than the budget permits, or that never moves them.
func TestFleetFileMove(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.67)
	f.Waves = nil
	w := fleettest.NewWorld(t, f)
	w.Step()
	for i := range f.Hosts {
		if f.Hosts[i].Pool == "p0" && i%2 == 0 {
			f.Hosts[i].Pool = "p1"
			w.Homes[f.Hosts[i].Name] = "p1"
		}
	}
	for _, p := range w.Planners {
		p.SetFleet(w.Now, f)
	}
	for name := range w.Hosts {
		w.Account(name)
	}
	for range 1200 {
		w.Step()
	}
	for name, m := range w.Hosts {
		w.Is.Equal(m.Row.Pool, w.Homes[name])
		w.Is.Equal(m.Row.State, cuminstair.HostActive)
	}
	w.Is.Equal(w.Moves, 5)
	w.Is.Equal(w.OverBudget, 0)
}

// Guards against operators' orders that are not carried out, or that are carried out without room in the budget.
func TestOrders(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.34)
	f.Waves[0].Hold = true
	w := fleettest.NewWorld(t, f)
	c0 := w.Planners["c0"]
	for range 30 {
		w.Step()
	}
	w.Is.Equal(c0.Waves()[0].State, wave.Ready)
	c0.SetWaveOrder("w", wave.Order{Event: "start"}, 1)
	c0.SetHostOrder("spare-0", wave.Order{Event: "hold"}, 2)
	c0.SetHostOrder("p0-0", wave.Order{Event: "drain"}, 3)
	w.Step()
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostActive) // the budget has no room
	reason, why := c0.WhyHost("p0-0")
	w.Is.Equal(reason, wave.ReasonBudget)
	w.Is.Equal(why, "an operator's drain waits for the budget: "+w.Budgets.Account("sp0", "c0").String())
	for range 60 {
		w.Step()
	}
	w.Is.Equal(w.Hosts["spare-0"].Row.State, cuminstair.HostActive)
	w.Is.Equal(c0.Waves()[0].Out, 1)
	c0.SetWaveOrder("w", wave.Order{Event: "hold"}, 4)
	for range 600 {
		w.Step()
	}
	w.Is.Equal(c0.Waves()[0].Out, 0)
	w.Is.Equal(c0.Waves()[0].Done, 1)
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostDrained) // a spare host has made room
	c0.SetHostOrder("p0-0", wave.Order{Event: "resume"}, 5)
	for range 300 {
		w.Step()
	}
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostActive)
	w.Is.Equal(w.Moves, 2)
	w.Is.Equal(w.OverBudget, 0)
}

// Compares the planner with steps of fixed size, which leave no reserve for the loss of a rack, and logs the times of
// both.
func TestFixedSizeWaves(t *testing.T) {
	w := fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.34))
	for !w.Finished("w") {
		w.Step()
		w.Is.True(!w.Exposed())
	}
	took := w.Now.Sub(fleettest.Start)
	for _, size := range []int{1, 2, 4} {
		fixed, exposed := fleettest.FixedWave(fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.34)), size)
		t.Logf("steps of %d: %s, of which %s exposed; the planner: %s, never exposed", size, fixed, exposed, took)
		w.Is.True(exposed > 0)
	}
}

// Guards against a quarantine that breaks a budget, and against a quarantined host that is never repaired.
func TestQuarantine(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.67)
	f.Waves = nil
	w := fleettest.NewWorld(t, f)
	w.Step()
	for _, name := range []string{"p0-0", "p0-3", "p0-6"} { // the budget has room for one
		w.Planners["c0"].Quarantine(name, "3 jobs failed on it")
	}
	for range 60 {
		w.Step()
		w.Is.True(w.Within())
	}
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostQuarantined)
	w.Is.Equal(w.OverBudget, 0)
	for range 6000 {
		w.Step()
	}
	w.Is.Equal(w.Hosts["p0-0"].Row.State, cuminstair.HostActive)
	w.Is.Equal(w.Hosts["p0-6"].Row.State, cuminstair.HostActive)
	w.Is.Equal(w.OverBudget, 0)
}
