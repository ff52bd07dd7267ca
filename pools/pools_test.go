package pools_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/pools"
)

var start = time.Unix(1000, 0)

func hostNames(service string, n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s-%d", service, i))
	}
	return list
}

func idlePool(service string, have int) pools.Pool {
	return pools.Pool{Service: service, Cores: 32, Have: have, Idle: hostNames(service, have), Known: true}
}

// count returns the number of moves by source and target.
func count(moves []pools.Move) map[string]int {
	n := map[string]int{}
	for _, m := range moves {
		n[m.From+">"+m.To]++
	}
	return n
}

// countMoves is count for the return values of Plan.
func countMoves(moves []pools.Move, _ []pools.Yield) map[string]int { return count(moves) }

// Guards against pools that lose hosts before there has been any demand.
func TestFirstPoolsStayUntilWorkComes(t *testing.T) {
	p := pools.New("spare")
	for i := range 20 {
		moves, _ := p.Plan(start.Add(time.Duration(i)*300*time.Millisecond), []pools.Pool{idlePool("a", 10), idlePool("b", 10)}, hostNames("spare", 8))
		is.New(t).Equal(len(moves), 0)
	}
}

// Guards against a peak that gets no more hosts than its pool had before: it gets spare hosts first, and then idle hosts
// of other pools.
func TestPeakGetsSpareAndIdleHosts(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	tolerant := idlePool("b", 10)
	tolerant.Objective = 6 * time.Second
	p.Plan(start, []pools.Pool{idlePool("a", 10), tolerant}, nil)
	peak := idlePool("a", 10)
	// 560 cores x risingRateFactor / maxUtilization need 27 hosts of 32 cores.
	peak.Idle, peak.Rate, peak.Active, peak.Objective = nil, 560, 300, 6*time.Second
	n := countMoves(p.Plan(start.Add(2*time.Second), []pools.Pool{peak, tolerant}, hostNames("spare", 4)))
	is.Equal(n["spare>a"], 4)
	is.Equal(n["b>a"], 8) // b keeps minHosts
}

// Guards against hosts that stay idle in a pool that has had no peak yet while another service refuses work.
func TestHostsThatWaitForAPeakAreLent(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	waiting := idlePool("b", 10)
	waiting.Objective = 2 * time.Second // short: hosts are kept until the first peak
	peak := idlePool("a", 10)
	peak.Idle, peak.Active, peak.Objective = nil, 900, 6*time.Second
	p.Plan(start, []pools.Pool{idlePool("a", 10), idlePool("b", 10)}, nil)
	n := countMoves(p.Plan(start.Add(3*time.Second), []pools.Pool{peak, waiting}, nil))
	is.Equal(n["b>a"], 5) // half of the hosts of b stay
}

// Guards against pools that get all spare hosts while another pool gets none, not even for its long-running tasks, for
// example because pools are served in the order of their names.
func TestShortHostsAreShared(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	p.Plan(start, []pools.Pool{idlePool("a", 5), idlePool("b", 5), idlePool("c", 5)}, nil)
	a, b, c := idlePool("a", 5), idlePool("b", 5), idlePool("c", 5)
	for _, x := range []*pools.Pool{&a, &b} {
		x.Idle, x.Rate, x.Active, x.Objective = nil, 400, 300, 6*time.Second
	}
	c.Idle, c.Pinned, c.Objective = nil, 7, 6*time.Second
	n := countMoves(p.Plan(start.Add(2*time.Second), []pools.Pool{a, b, c}, hostNames("spare", 10)))
	is.Equal(n["spare>a"], 4)
	is.Equal(n["spare>b"], 4)
	is.Equal(n["spare>c"], 2)
}

// Guards against late work of one service that keeps hosts which another service needs for work that can be on time.
func TestLateWorkYields(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	late := idlePool("a", 30)
	late.Objective, late.Late, late.Idle = 2*time.Second, 1500, nil
	peak := idlePool("b", 5)
	// 500 cores x risingRateFactor / maxUtilization need 24 hosts of 32 cores.
	peak.Idle, peak.Rate, peak.Active, peak.Objective = nil, 500, 300, 6*time.Second
	p.Plan(start, []pools.Pool{idlePool("a", 5), idlePool("b", 5)}, nil)
	moves, yields := p.Plan(start.Add(2*time.Second), []pools.Pool{late, peak}, hostNames("spare", 4))
	is.Equal(count(moves)["spare>b"], 4)
	is.Equal(yields, []pools.Yield{{Service: "a", Hosts: 15}})
	// The pool yields in the first plan after it stops needing the hosts for work that can be on time.
	late.Active = 900
	p.Plan(start.Add(3*time.Second), []pools.Pool{late, idlePool("b", 5)}, nil)
	late.Active = 0
	_, yields = p.Plan(start.Add(3500*time.Millisecond), []pools.Pool{late, peak}, nil)
	is.Equal(yields, []pools.Yield{{Service: "a", Hosts: 19}})
	// Late work gets hosts if no other pool has a peak.
	moves, yields = p.Plan(start.Add(6*time.Second), []pools.Pool{late, idlePool("b", 5)}, hostNames("spare", 40))
	is.True(count(moves)["spare>a"] > 0)
	is.Equal(len(yields), 0)
}

// Guards against hosts that are moved back and forth: a pool before its first peak gets hosts to replace those that it
// has lent, and each plan lends hosts from it again.
func TestLentHostsStayAway(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	p.Plan(start, []pools.Pool{idlePool("a", 10), idlePool("b", 10)}, nil)
	waiting := idlePool("b", 5) // the other five are lent
	waiting.Objective = 2 * time.Second
	n := countMoves(p.Plan(start.Add(3*time.Second), []pools.Pool{idlePool("a", 10), waiting}, hostNames("spare", 8)))
	is.Equal(n["spare>b"], 0)
}

// Guards against two pools that exchange idle hosts, each to fill up what it keeps after its last need: in the replayed
// load the turns of a and b are over, and both have given hosts to c.
func TestIdlePoolsDoNotExchangeHosts(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	pool := func(service string, have int, rate float64) pools.Pool {
		x := idlePool(service, have)
		x.Objective, x.Rate = 6*time.Second, rate
		return x
	}
	busy := func(have int, rate float64) pools.Pool {
		x := pool("c", have, rate)
		x.Idle = nil
		return x
	}
	p.Plan(start, []pools.Pool{pool("a", 10, 200), pool("b", 10, 200), busy(10, 200)}, nil)
	n := countMoves(p.Plan(start.Add(300*time.Millisecond), []pools.Pool{pool("a", 7, 0), pool("b", 7, 0), busy(16, 200)}, nil))
	is.Equal(n["a>b"], 0)
	is.Equal(n["b>a"], 0)
	// A pool that needs hosts now still gets those of both.
	n = countMoves(p.Plan(start.Add(600*time.Millisecond), []pools.Pool{pool("a", 7, 0), pool("b", 7, 0), busy(16, 600)}, nil))
	is.True(n["a>c"] > 0)
	is.True(n["b>c"] > 0)
}

// Guards against moves of hosts that are running tasks.
func TestOnlyIdleHostsLeave(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	busy := idlePool("b", 10)
	busy.Objective, busy.Idle, busy.Pinned = 6*time.Second, hostNames("b", 2), 5
	peak := idlePool("a", 4)
	peak.Idle, peak.Rate, peak.Objective = nil, 400, 2*time.Second
	p.Plan(start, []pools.Pool{peak, busy}, nil)
	n := countMoves(p.Plan(start.Add(3*time.Second), []pools.Pool{peak, busy}, nil))
	is.Equal(n["b>a"], 2)
}

// Guards against hosts that stay on although no pool needs them, and against hosts that are switched off in a short lull.
func TestIdleHostsAreSwitchedOff(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	x := idlePool("a", 10)
	x.Objective, x.Rate, x.Idle = 6*time.Second, 200, nil
	p.Plan(start, []pools.Pool{x}, nil)
	x.Rate, x.Idle = 0, hostNames("a", 10)
	is.Equal(len(countMoves(p.Plan(start.Add(500*time.Millisecond), []pools.Pool{x}, nil))), 0)
	is.Equal(countMoves(p.Plan(start.Add(3*time.Second), []pools.Pool{x}, nil))["a>spare"], 8)
}

// Guards against moves from or to a pool whose demand is unknown because the daemon that owns its service does not
// answer.
func TestUnknownPoolIsLeftAlone(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	x := idlePool("a", 10)
	x.Objective = 6 * time.Second
	p.Plan(start, []pools.Pool{x}, nil)
	x.Known = false
	is.Equal(len(countMoves(p.Plan(start.Add(5*time.Second), []pools.Pool{x}, nil))), 0)
}

// rotate simulates demand that peaks in one service after the other, 8 s each, and returns the time at its end.
func rotate(p *pools.Planner, services []string, rounds int) time.Time {
	now := start
	for peak := range rounds {
		for range 40 {
			var list []pools.Pool
			for i, s := range services {
				x := idlePool(s, 20)
				x.Objective, x.Rate, x.Idle = 2*time.Second, 10, nil
				if peak%len(services) == i {
					x.Rate = 400
				}
				list = append(list, x)
			}
			p.Plan(now, list, nil)
			now = now.Add(200 * time.Millisecond)
		}
	}
	return now
}

// Guards against hosts that are ordered step by step as a peak rises, and arrive only when it is over.
func TestRisingPeakGetsItsHostsAtOnce(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	other := idlePool("b", 10)
	now := start
	for range 10 {
		p.Plan(now, []pools.Pool{idlePool("a", 10), other}, nil)
		now = now.Add(300 * time.Millisecond)
	}
	x := idlePool("a", 10) // 320 cores
	x.Objective, x.Rate, x.Idle = 2*time.Second, 200, nil
	n := countMoves(p.Plan(now, []pools.Pool{x, other}, hostNames("spare", 30)))
	// 320 cores x firstPeakFactor x risingRateFactor / maxUtilization need 25 hosts of 32 cores; one plan orders at most
	// defaultMaxMoves.
	is.Equal(n["spare>a"], 12)
}

// Guards against a pool that keeps 50 % more hosts than its peak needs, once the height of the peak is known.
func TestSteadyPeakNeedsLessReserve(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	now := start
	x := idlePool("a", 40)
	x.Objective = 2 * time.Second
	p.Plan(now, []pools.Pool{x}, nil)
	x.Rate, x.Active = 700, 700
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		p.Plan(now, []pools.Pool{x}, nil)
	}
	n := countMoves(p.Plan(now, []pools.Pool{x}, nil))
	is.Equal(n["a>spare"], 12) // 700 cores x steadyRateFactor / maxUtilization need 28 of 40 hosts of 32 cores
}

// Guards against an expected peak for which no hosts are ordered in advance, even after another controller takes over.
func TestPeakIsExpected(t *testing.T) {
	is := is.New(t)
	services := []string{"a", "b", "c"}
	p := pools.New("spare")
	now := rotate(p, services, 3) // the next peak is that of a
	next := pools.New("spare")
	is.NoErr(next.Restore(now, p.Snapshot()))
	x := idlePool("a", 4)
	x.Objective, x.Idle = 2*time.Second, nil
	y := idlePool("b", 4)
	y.Objective, y.Idle = 2*time.Second, nil
	n := countMoves(next.Plan(now.Add(-1500*time.Millisecond), []pools.Pool{x, y}, hostNames("spare", 30)))
	// 400 cores x risingRateFactor / maxUtilization need at least 20 hosts of 32 cores, of which the pool has 4; one plan
	// orders at most defaultMaxMoves.
	is.True(n["spare>a"] >= 12)
	is.Equal(n["spare>b"], 0)
}

// Guards against a saved state that grows with each service that there has ever been, until the store refuses it.
func TestStateOfFormerServicesIsForgotten(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	rotate(p, []string{"a", "b", "c"}, 3)
	p.Keep([]string{"a", "c"})
	state := string(p.Snapshot())
	is.True(strings.Contains(state, `"a"`))
	is.True(!strings.Contains(state, `"b"`))
}

// Guards against an invalid saved state that is not reported as an error.
func TestBrokenMemory(t *testing.T) {
	is.New(t).True(pools.New("").Restore(start, []byte("[")) != nil)
}

// Guards against a pool that loses its hosts at the height of its peak because its service has got another owner, which has
// counted the work that callers submit for some tenths of a second only.
func TestPoolWithANewOwnerKeepsItsHosts(t *testing.T) {
	for name, young := range map[string]bool{"new owner": true, "same owner": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pools.New("spare")
			peak, other := idlePool("a", 60), idlePool("b", 10)
			peak.Idle, peak.Rate, peak.Active, peak.Objective = nil, 1600, 1400, 3*time.Second
			p.Plan(start, []pools.Pool{peak, other}, nil)
			after := peak
			after.Idle, after.Rate, after.Active, after.Young = hostNames("a", 30), 200, 300, young
			short := other
			short.Idle, short.Active, short.Objective = nil, 900, 6*time.Second
			moves, yields := p.Plan(start.Add(3500*time.Millisecond), []pools.Pool{after, short}, nil)
			is.Equal(len(moves) == 0, young)
			is.True(!young || len(yields) == 0)
			peak.Idle = hostNames("a", 1)
			n := countMoves(p.Plan(start.Add(4*time.Second), []pools.Pool{peak, short}, nil))
			is.Equal(n["a>b"], 0) // the peak goes on
		})
	}
}

// Guards against pools that lend no idle hosts to a peak because all owners are new after a restart of the daemons.
func TestPoolWithANewOwnerLendsAfterItsPeak(t *testing.T) {
	is := is.New(t)
	p := pools.New("spare")
	first, second := idlePool("a", 60), idlePool("b", 10)
	first.Idle, first.Rate, first.Active, first.Objective = nil, 1500, 1400, 3*time.Second
	p.Plan(start, []pools.Pool{first, second}, nil)
	first.Idle, first.Rate, first.Active = hostNames("a", 50), 10, 10
	second.Idle, second.Rate, second.Active, second.Objective = nil, 900, 900, 3*time.Second
	p.Plan(start.Add(4*time.Second), []pools.Pool{first, second}, nil)
	first.Young, second.Young = true, true
	n := countMoves(p.Plan(start.Add(5*time.Second), []pools.Pool{first, second}, nil))
	is.True(n["a>b"] > 0)
}
