package wave_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/wave"
)

// largeFleet is the fleet of page 1.8: 28,000 hosts in 45 pools and 7 data centres, racks of 20.
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

// Guards against a wave that is too slow for maintaining every host once in two weeks, while hosts fail at the rate of
// an ordinary day, and against work that grows with the fleet.
func TestTwoThousandHostsADay(t *testing.T) {
	const day, failures, target = 24 * time.Hour, 180, 2000
	f := largeFleet()
	w := newWorld(t, f)
	w.tick = 15 * time.Second
	ticks := int(day / w.tick)
	failed := 0
	for n := range ticks {
		if n*failures/ticks > failed {
			failed++
			name := f.Hosts[w.rand.IntN(len(f.Hosts))].Name
			w.hosts[name].dead = true
			w.account(name)
		}
		w.step()
	}
	done := 0
	for _, c := range w.names {
		p := w.planners[c].Waves()[0]
		done += p.Done
		w.is.True(p.State == wave.Running || p.State == wave.Paused)
	}
	t.Logf("%d hosts done in a day, %d failed, %d host moves, %d scopes updated for each planner and write",
		done, failed, w.moves, w.planners["c0"].Budgets.Work/w.writes)
	w.is.True(done >= target)
	w.is.True(w.within())
	w.is.Equal(w.refused, 0)
}

// Guards against host moves because of bursts: health that flaps for seconds, as it does when a flood makes checks fail.
func TestBurstsMoveNothing(t *testing.T) {
	f := smallFleet(3, 0.34)
	f.Waves = nil
	w := newWorld(t, f)
	for n := range 3600 {
		if n%40 == 0 {
			for range 1 + w.rand.IntN(20) {
				m := w.hosts[f.Hosts[w.rand.IntN(len(f.Hosts))].Name]
				m.until = w.now.Add(time.Duration(1+w.rand.IntN(20)) * time.Second)
			}
			for name := range w.hosts {
				w.account(name)
			}
		}
		w.step()
	}
	w.is.Equal(w.moves, 0)
	for _, m := range w.hosts {
		w.is.Equal(m.row.State, cuminstair.HostActive)
	}
}

// Guards against a pool that stays short after a lasting loss although spare hosts are idle, and against spare hosts
// that do not return.
func TestLossLendsSpare(t *testing.T) {
	f := smallFleet(3, 0.34)
	f.Waves = nil
	w := newWorld(t, f)
	w.step()
	w.hosts["p0-0"].dead = true
	w.hosts["p0-0"].broken = true
	w.account("p0-0")
	for range 300 {
		w.step()
	}
	w.is.True(w.moves >= 1)
	w.is.Equal(w.truth.Account("sp0", "c0").Net(), 0)
	w.hosts["p0-0"].broken = false
	for range 4500 {
		w.step()
	}
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostActive) // replaced
	w.is.Equal(w.moves, 2)
}

// Guards against a change of the fleet file that moves hosts beyond the budget, or that never moves them.
func TestFleetFileMove(t *testing.T) {
	f := smallFleet(3, 0.67)
	f.Waves = nil
	w := newWorld(t, f)
	w.step()
	for i := range f.Hosts {
		if f.Hosts[i].Pool == "p0" && i%2 == 0 {
			f.Hosts[i].Pool = "p1"
			w.homes[f.Hosts[i].Name] = "p1"
		}
	}
	for _, p := range w.planners {
		p.SetFleet(w.now, f)
	}
	for name := range w.hosts {
		w.account(name)
	}
	for range 1200 {
		w.step()
	}
	for name, m := range w.hosts {
		w.is.Equal(m.row.Pool, w.homes[name])
		w.is.Equal(m.row.State, cuminstair.HostActive)
	}
	w.is.Equal(w.moves, 5)
	w.is.Equal(w.refused, 0)
}

// Guards against orders that are not followed, or that are followed beyond the budget.
func TestOrders(t *testing.T) {
	f := smallFleet(3, 0.34)
	f.Waves[0].Hold = true
	w := newWorld(t, f)
	c0 := w.planners["c0"]
	for range 30 {
		w.step()
	}
	w.is.Equal(c0.Waves()[0].State, wave.Ready)
	c0.SetWaveOrder("w", wave.Order{Event: "start"}, 1)
	c0.SetHostOrder("spare-0", wave.Order{Event: "hold"}, 2)
	c0.SetHostOrder("p0-0", wave.Order{Event: "drain"}, 3)
	w.step()
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostActive) // no room
	reason, why := c0.WhyHost("p0-0")
	w.is.Equal(reason, wave.ReasonBudget)
	w.is.Equal(why, "an operator's drain waits for the budget: "+w.truth.Account("sp0", "c0").String())
	for range 60 {
		w.step()
	}
	w.is.Equal(w.hosts["spare-0"].row.State, cuminstair.HostActive)
	w.is.Equal(c0.Waves()[0].Out, 1)
	c0.SetWaveOrder("w", wave.Order{Event: "hold"}, 4)
	for range 600 {
		w.step()
	}
	w.is.Equal(c0.Waves()[0].Out, 0)
	w.is.Equal(c0.Waves()[0].Done, 1)
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostDrained) // a spare host has made room
	c0.SetHostOrder("p0-0", wave.Order{Event: "resume"}, 5)
	for range 300 {
		w.step()
	}
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostActive)
	w.is.Equal(w.moves, 2)
	w.is.Equal(w.refused, 0)
}

// exposed tells whether the loss of one more rack could break the budget of some service.
func (w *world) exposed() bool {
	for _, s := range w.truth.Services() {
		for _, c := range w.names {
			if w.truth.Account(s, c).Room() < 0 {
				return true
			}
		}
	}
	return false
}

// fixedWave reboots the hosts of each data centre in steps of a fixed size, whatever the budget. It is the baseline. It
// returns how long it takes and how long the loss of a rack could break a budget meanwhile.
func fixedWave(w *world, size int) (took, exposed time.Duration) {
	left := map[string][]string{}
	for _, h := range w.fleet.Hosts {
		left[h.Centre] = append(left[h.Centre], h.Name)
	}
	for {
		all := true
		for _, c := range w.names {
			n := min(size, len(left[c]))
			all = all && n == 0
			for _, name := range left[c][:n] {
				w.hosts[name].until = w.now.Add(drain + reboot)
				w.account(name)
			}
			left[c] = left[c][n:]
		}
		if all {
			return w.now.Sub(start), exposed
		}
		for range int((drain + reboot + lag + wave.Probation) / time.Second) {
			w.now = w.now.Add(time.Second)
			for name := range w.hosts {
				w.account(name)
			}
			if w.exposed() {
				exposed += time.Second
			}
		}
	}
}

// Compares the planner with waves of fixed size: they are slower, and they leave no reserve for the loss of a rack.
func TestFixedSizeWaves(t *testing.T) {
	w := newWorld(t, smallFleet(3, 0.34))
	for !w.finished("w") {
		w.step()
		w.is.True(!w.exposed())
	}
	took := w.now.Sub(start)
	for _, size := range []int{1, 2, 4} {
		fixed, exposed := fixedWave(newWorld(t, smallFleet(3, 0.34)), size)
		t.Logf("steps of %d: %s, of which %s exposed; the planner: %s, never exposed", size, fixed, exposed, took)
		w.is.True(exposed > 0)
	}
}

// Guards against a quarantine that breaks a budget, and against a quarantined host that is never repaired.
func TestQuarantine(t *testing.T) {
	f := smallFleet(3, 0.67)
	f.Waves = nil
	w := newWorld(t, f)
	w.step()
	for _, name := range []string{"p0-0", "p0-3", "p0-6"} { // the budget has room for one
		w.planners["c0"].Quarantine(name, "3 jobs failed on it")
	}
	for range 60 {
		w.step()
		w.is.True(w.within())
	}
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostQuarantined)
	w.is.Equal(w.refused, 0)
	for range 6000 {
		w.step()
	}
	w.is.Equal(w.hosts["p0-0"].row.State, cuminstair.HostActive)
	w.is.Equal(w.hosts["p0-6"].row.State, cuminstair.HostActive)
	w.is.Equal(w.refused, 0)
}
