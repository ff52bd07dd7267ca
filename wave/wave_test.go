package wave_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleettest"
	"cuminstair.org/cuminstair/wave"
)

// Guards against a rollout that takes more than 1.3 times the least time that budget, drain and reboot permit, at the
// sizes of section 1.2 of docs/design.md.
func TestRolloutTime(t *testing.T) {
	const maxRatio = 1.3
	for _, c := range []struct {
		centres int
		down    float64
	}{{3, 0.34}, {3, 0.5}, {4, 0.5}} {
		w := fleettest.NewWorld(t, fleettest.SmallFleet(c.centres, c.down))
		took := w.RunWave("w", 24*time.Hour)
		w.Is.Equal(w.OverBudget, 0)
		var bound time.Duration
		for _, centre := range w.Centres {
			bound = max(bound, fleettest.ShortestRollout(w.Fleet, centre))
			t.Log(centre, fleettest.ShortestRollout(w.Fleet, centre), w.Ended[centre])
		}
		ratio := float64(took) / float64(bound)
		t.Logf("%d data centres: %s, %.2f times the least time %s, %d host moves", c.centres, took, ratio, bound, w.Moves)
		w.Is.True(ratio <= maxRatio)
	}
}

// Guards against a wave that continues although its hosts do not return to service, that gives no reason when it stops,
// or that can't be resumed after another controller has taken over.
func TestWaveStopsAndResumes(t *testing.T) {
	w := fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.5))
	for w.Planners["c0"].Waves()[0].Done < 6 {
		w.Step()
	}
	bound := 0 // step sizes, plus one for each host that is out, since its return enlarges the step
	for _, c := range w.Centres {
		bound += w.Planners[c].Waves()[0].Step + w.Planners[c].Waves()[0].Out
	}
	for _, m := range w.Hosts {
		m.FailsReboot = true
	}
	for range int(40 * time.Minute / w.Tick) {
		w.Step()
		w.Is.True(w.Within())
	}
	out := 0
	for _, c := range w.Centres {
		p := w.Planners[c].Waves()[0]
		w.Is.Equal(p.State, wave.Stopped)
		w.Is.True(strings.Contains(p.Reason, "did not come back healthy within 10m0s"))
		w.Is.True(p.Done > 0)
	}
	for name, m := range w.Hosts {
		if m.Dead {
			out++
		}
		m.FailsReboot = false
		if m.Dead {
			m.Dead = false
			w.Account(name)
		}
	}
	w.Is.True(out <= bound)
	for range int(10 * time.Minute / w.Tick) {
		w.Step()
	}
	for _, c := range w.Centres {
		w.Is.Equal(w.Planners[c].Waves()[0].State, wave.Stopped) // until an operator resumes it
		w.Restart(c)
		w.Planners[c].SetWaveOrder("w", wave.Order{Event: "resume"}, 7)
	}
	w.RunWave("w", 24*time.Hour)
	w.Is.Equal(w.OverBudget, 0)
}

// Guards against planned work that continues after the loss of a rack, and against planned work that leaves no reserve,
// so that the loss of a rack exceeds a budget.
func TestRackLossDuringWave(t *testing.T) {
	for seed := range 12 {
		w := fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.5))
		for range 300 + 120*seed {
			w.Step()
		}
		lost := w.Lose(fmt.Sprint("c", seed%3), fmt.Sprintf("c%d-r%d", seed%3, seed%4))
		for range int(5 * time.Minute / w.Tick) {
			w.Step()
			w.Is.True(w.Within())
			if len(lost) > 1 {
				w.Is.True(w.Planners[fmt.Sprint("c", seed%3)].Waves()[0].State != wave.Running)
			}
		}
		for _, name := range lost {
			w.Hosts[name].Dead = false
			w.Account(name)
		}
		w.RunWave("w", 24*time.Hour)
		w.Is.Equal(w.OverBudget, 0)
	}
}

// Guards against steps that do not grow from one host: even with a budget that permits everything, a wave must not take
// all hosts before any has returned to service.
func TestStepsGrow(t *testing.T) {
	w := fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.9))
	w.Fleet.Waves[0].Pools = []string{"p0", "p1", "p2", "p3"}
	for _, c := range w.Centres {
		w.Restart(c)
	}
	for !w.Finished("w") {
		w.Step()
		for _, c := range w.Centres {
			p := w.Planners[c].Waves()[0]
			w.Is.True(p.Out <= 1+p.Done)
		}
	}
}

// Guards against a host that leaves the rebooting state before the platform has accepted its action: a paused
// controller that sends the action later would then reboot a host in service.
func TestRebootingWaitsForAction(t *testing.T) {
	f := fleettest.SmallFleet(3, 0.5)
	p := wave.New("c0")
	p.SetFleet(fleettest.Start, f)
	p.SetHost(fleettest.Start, "c0", "p0-0", wave.Host{Pool: "p0", State: cuminstair.HostRebooting, ActionID: "x", Action: "reboot", Goal: wave.GoalWave, Wave: "w"})
	now := fleettest.Start.Add(time.Hour)
	p.SetListed(now, cuminstair.HostStatus{Name: "p0-0", State: "live", Changed: now})
	is := is.New(t)
	count := func() (n int) {
		for _, c := range p.Decide(now).Hosts {
			if c.Name == "p0-0" {
				n++
			}
		}
		return n
	}
	is.Equal(count(), 0)
	is.Equal(p.Actions(), []wave.Action{{ID: "x", Host: "p0-0", Verb: cuminstair.ActionReboot}})
	p.SetActionAccepted("p0-0", "x")
	is.Equal(count(), 1)
}
