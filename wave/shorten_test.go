package wave_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleettest"
	"cuminstair.org/cuminstair/wave"
)

// pairedFleet is a data centre like those of the example fleets: three pools of five hosts, each host in a rack of its
// own, with a budget of two instances, and three spare hosts. A lent host makes room only while its rack mate is out.
func pairedFleet(limit int) *cuminstair.Fleet {
	f := &cuminstair.Fleet{Name: "paired", Centres: []cuminstair.Centre{{Name: "c0", Region: "r"}}}
	w := cuminstair.Wave{
		Name: "w", Action: "reboot", Drain: cuminstair.Duration(2 * time.Minute), Back: cuminstair.Duration(5 * time.Minute), Limit: limit,
	}
	for _, pool := range []string{"spare", "p0", "p1", "p2"} {
		spare, hosts := pool == "spare", 5
		if spare {
			hosts = 3
		} else {
			f.Services = append(f.Services, cuminstair.Service{Name: "s" + pool, Pool: pool, Slots: 8, Budget: cuminstair.Budget{Down: 0.4}})
		}
		f.Pools = append(f.Pools, cuminstair.Pool{Name: pool, Spare: spare})
		w.Pools = append(w.Pools, pool)
		for n := range hosts {
			f.Hosts = append(f.Hosts, cuminstair.Host{Name: fmt.Sprintf("%s-%d", pool, n), Centre: "c0", Rack: fmt.Sprint("r", n), Pool: pool})
		}
	}
	f.Waves = []cuminstair.Wave{w}
	return f
}

// Guards against a wave that lends no spare hosts while each pool has room for one host, so that it takes more than 1.3
// times the least time, and against lending that leaves no reserve for the loss of a rack, that takes more hosts of the
// pools than the step allows, or that leaves hosts outside their own pools.
func TestLentHostsShortenWave(t *testing.T) {
	const maxRatio = 1.3
	w := fleettest.NewWorld(t, pairedFleet(50))
	for !w.Finished("w") {
		w.Step()
		w.Is.True(w.Within())
		w.Is.True(!w.Exposed())
		p, out := w.Planners["c0"].Waves()[0], 0
		for name, m := range w.Hosts {
			if w.Homes[name] != "spare" && m.Row.Goal == wave.GoalWave {
				out++
			}
		}
		w.Is.True(out <= 1+p.Done)
		w.Is.True(w.Now.Sub(fleettest.Start) < time.Hour)
	}
	took, least := w.Now.Sub(fleettest.Start), fleettest.ShortestRollout(w.Fleet, "c0")
	t.Logf("%s, %.2f times the least time, %d host moves", took, float64(took)/float64(least), w.Moves)
	w.Is.True(float64(took) <= maxRatio*float64(least))
	w.Is.Equal(w.OverBudget, 0)
	for range int(5 * time.Minute / w.Tick) {
		w.Step()
	}
	for name, m := range w.Hosts {
		w.Is.Equal(m.Row.Pool, w.Homes[name])
	}
}

// Guards against host moves that shorten nothing, since the limit of the wave decides how long it takes.
func TestLimitedWaveLendsNothing(t *testing.T) {
	w := fleettest.NewWorld(t, pairedFleet(2))
	w.RunWave("w", 24*time.Hour)
	w.Is.Equal(w.Moves, 0)
}

// Guards against a wave that lends spare hosts before a host of its first step has returned to service, and against one
// that continues after the first step has failed. The wave leaves out the spare pool, so that all spare hosts are free.
func TestFailedFirstStepLendsNothing(t *testing.T) {
	f := pairedFleet(50)
	f.Waves[0].Pools = []string{"p0", "p1", "p2"}
	w := fleettest.NewWorld(t, f)
	for _, m := range w.Hosts {
		m.FailsReboot = true
	}
	for range int(20 * time.Minute / w.Tick) {
		w.Step()
	}
	w.Is.Equal(w.Planners["c0"].Waves()[0].State, wave.Stopped)
	w.Is.Equal(w.Moves, 0)
	dead := 0
	for _, m := range w.Hosts {
		if m.Dead {
			dead++
		}
	}
	w.Is.Equal(dead, 1)
}

// Guards against a wave that goes on draining hosts, or drains more, in the second in which it pauses because of a loss.
func TestPauseCancelsDrainsAtOnce(t *testing.T) {
	w := fleettest.NewWorld(t, fleettest.SmallFleet(3, 0.5))
	draining := func() (n int) {
		for _, m := range w.Hosts {
			if m.Centre == "c0" && m.Row.Goal == wave.GoalWave && m.Row.State == cuminstair.HostLeaving {
				n++
			}
		}
		return n
	}
	for draining() == 0 || w.Planners["c0"].Waves()[0].Done == 0 {
		w.Step()
	}
	for _, rack := range []string{"c0-r0", "c0-r1", "c0-r2", "c0-r3"} {
		if len(w.Lose("c0", rack)) > 2 {
			break
		}
	}
	w.Step()
	w.Is.Equal(w.Planners["c0"].Waves()[0].State, wave.Paused)
	w.Is.Equal(draining(), 0)
}
