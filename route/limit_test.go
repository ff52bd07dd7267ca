package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/trace"
)

const (
	adaptHosts = 6
	adaptSlots = 10 // declared slots of each instance
)

// adapt plays a trace in one data centre with 3 daemons whose instances have the given real slots. It returns, for each
// second, the sum of the capacities of all daemons.
func adapt(seed uint64, realSlots int, lines ...trace.Line) []int {
	var routers []*route.Router
	p := trace.Player{NewRouter: func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router {
		r := &route.Router{Centre: centre, Rand: rnd}
		r.SetLive(live, self)
		routers = append(routers, r)
		return r
	}}
	var seen []int
	p.OnSecond = func(int) {
		sum := 0
		for _, r := range routers {
			sum += r.Capacity("service")
		}
		seen = append(seen, sum)
	}
	p.Play(append(trace.Trace{
		{
			Event: trace.EventFleet, Centres: 1, Daemons: 3, Hosts: adaptHosts, Slots: adaptSlots, Real: realSlots,
			Delay: ms(200), Seed: seed,
		},
		{Event: trace.EventKind, Kind: "match", Deadline: ms(1000), Took: ms(100)},
	}, lines...))
	return seen
}

// load returns the trace line that sets the load, from second at on, to factor times the capacity of instances
// with the given number of slots.
func load(at, slots int, factor float64) trace.Line {
	return trace.Line{At: ms(at * 1000), Event: trace.EventLoad, Kind: "match", Rate: float64(slots*adaptHosts) * 10 * factor}
}

// around returns the median of the values of a second and the four after it, since a phase of lowered load or a raise
// lasts one or two seconds.
func around(seen []int, second int) int {
	part := append([]int(nil), seen[second:second+5]...)
	for i := range part {
		for j := range i {
			if part[j] > part[i] {
				part[i], part[j] = part[j], part[i]
			}
		}
	}
	return part[2]
}

// Guards against limits that keep to declared slots that are off by a factor of 5 (section 5.4 of docs/design.md), or
// that move away from correct ones. Required: within 40 s, 5 times too few slots are corrected to at least 80% of the
// real slots, and 5 times too many, after a time of low load, to at most twice the real slots.
func TestLimitApproachesRealSlots(t *testing.T) {
	for seed := range uint64(3) {
		is := is.New(t)
		few := adapt(seed, 50, load(0, 50, 1.5), load(60, 50, 0))
		right := adapt(seed, 10, load(0, 10, 1.5), load(60, 10, 0))
		low := adapt(seed, 2, load(0, 2, 0.4), load(20, 2, 1.5), load(80, 2, 0))
		t.Logf("seed %d: capacity by real slots: %d: %d, %d: %d, %d: %d", seed, 50*adaptHosts, around(few, 40),
			10*adaptHosts, around(right, 40), 2*adaptHosts, around(low, 60))
		is.True(around(few, 40) >= 50*adaptHosts*8/10)
		is.Equal(around(right, 40), 10*adaptHosts)
		is.True(around(low, 60) <= 2*2*adaptHosts)
	}
}

// Guards against limits that stay at 5 times too many slots if the load was never low. Required: at most twice the real
// slots within 90 s.
func TestLimitNeverLow(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		many := adapt(seed, 2, load(0, 2, 1.5), load(100, 2, 0))
		t.Logf("seed %d: %d real slots, capacity %d at 90 s: %v", seed, 2*adaptHosts, around(many, 90), many[:100])
		is.True(around(many, 90) <= 2*2*adaptHosts)
	}
}

// Guards against limits that stay low after all instances, or one, were 3 times slower for 30 s. Required: 30 s after
// the end the capacity is at least 90% of the real slots.
func TestLimitRecovers(t *testing.T) {
	for _, host := range []string{"", "h1"} {
		is := is.New(t)
		slow := trace.Line{At: ms(20_000), Event: trace.EventFault, Mode: trace.ModeSlow, Factor: 3, Host: host}
		if host == "" {
			slow.Share = 1
		}
		seen := adapt(3, 10, load(0, 10, 1.5), slow, trace.Line{At: ms(50_000), Event: trace.EventHeal}, load(100, 10, 0))
		t.Logf("slow %q: %v", host, seen[:100])
		is.True(around(seen, 80) >= 10*adaptHosts*9/10)
	}
}

// Guards against limits that fall because the baseline of a kind of work that starts later was computed from too few
// latencies, or from those of the short requests of a burst, which end first.
func TestLimitWithNewKind(t *testing.T) {
	reserve := func(at int, factor float64) trace.Line {
		rate := factor * adaptSlots * adaptHosts / 0.08
		return trace.Line{At: ms(at * 1000), Event: trace.EventLoad, Kind: "reserve", Rate: rate}
	}
	for seed := range uint64(6) {
		seen := adapt(seed, adaptSlots, trace.Line{Event: trace.EventKind, Kind: "reserve", Deadline: ms(1000), Took: ms(80)},
			load(0, adaptSlots, 1.5), reserve(0, 0.015), load(16, adaptSlots, 0.015), reserve(16, 1.5), reserve(60, 0))
		t.Logf("seed %d: %v", seed, seen[16:60])
		for second := 16; second < 50; second++ {
			is.New(t).True(around(seen, second) >= adaptSlots*adaptHosts*9/10)
		}
	}
}

// Guards against capacity lost to phases of lowered load that show nothing new. Required: while the declared slots are
// right, there are 1 to 4 phases in 100 s, since each pause between two phases is twice the pause before.
func TestLowPhasesGetRare(t *testing.T) {
	is := is.New(t)
	seen := adapt(1, adaptSlots, load(0, adaptSlots, 1.5), load(100, adaptSlots, 0))
	t.Log(seen[:100])
	phases := 0
	for second := 1; second < 100; second++ {
		if seen[second] < adaptSlots*adaptHosts*3/4 && seen[second-1] >= adaptSlots*adaptHosts*3/4 {
			phases++
		}
	}
	is.True(phases >= 1 && phases <= 4)
}
