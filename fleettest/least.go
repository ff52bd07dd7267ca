package fleettest

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// rolloutState is a state in the search for the shortest rollout of one data centre: which spare hosts are done and how
// many hosts of each pool still have to be rebooted.
type rolloutState struct {
	spares int // bit set
	left   [4]int
}

// ShortestRollout returns the shortest time in which the budgets allow all hosts of a data centre to be rebooted. It
// searches round by round through all ways to lend each spare host to a pool or to reboot it. In each round it takes
// the room that package budget computes with all hosts up. It counts no time for moves, for probation or for steps that
// start small and grow. It counts the last round without a drain, as if only spare hosts, which need none, were
// rebooted in it.
func ShortestRollout(f *cuminstair.Fleet, centre string) time.Duration {
	l := newShortestSearch(f, centre)
	level := map[rolloutState]bool{l.initial: true}
	for rounds := 1; ; rounds++ {
		next := map[rolloutState]bool{}
		for s := range level {
			l.expand(s, make([]int, len(l.spares)), 0, next)
		}
		if next[rolloutState{spares: 1<<len(l.spares) - 1}] {
			return time.Duration(rounds)*(Drain+Reboot+Lag) - Drain
		}
		level = next
	}
}

type shortestSearch struct {
	fleet   *cuminstair.Fleet
	centre  string
	pools   []string
	spares  []cuminstair.Host
	initial rolloutState
	rooms   map[[2]int]int // room by pool and bit set of the spare hosts lent to it
}

func newShortestSearch(f *cuminstair.Fleet, centre string) *shortestSearch {
	l := &shortestSearch{fleet: f, centre: centre, rooms: map[[2]int]int{}}
	spare := ""
	for _, pool := range f.Pools {
		if pool.Spare {
			spare = pool.Name
			continue
		}
		l.pools = append(l.pools, pool.Name)
	}
	for _, h := range f.Hosts {
		for i, pool := range l.pools {
			if h.Centre == centre && h.Pool == pool {
				l.initial.left[i]++
			}
		}
		if h.Centre == centre && h.Pool == spare {
			l.spares = append(l.spares, h)
		}
	}
	return l
}

// room returns how many hosts planned work may take from a pool. lent is the bit set of the spare hosts lent to the
// pool.
func (l *shortestSearch) room(pool, lent int) int {
	key := [2]int{pool, lent}
	if n, ok := l.rooms[key]; ok {
		return n
	}
	b := budget.New(l.fleet.Services)
	for _, h := range l.fleet.Hosts {
		b.Set(h.Name, budget.Host{Centre: h.Centre, Rack: h.Rack, Home: h.Pool, Pool: h.Pool, State: cuminstair.HostActive, Healthy: true})
	}
	for i, h := range l.spares {
		if lent&(1<<i) != 0 {
			b.Set(h.Name, budget.Host{Centre: h.Centre, Rack: h.Rack, Home: h.Pool, Pool: l.pools[pool], State: cuminstair.HostActive, Healthy: true})
		}
	}
	a, _ := b.Tightest(l.pools[pool], l.centre)
	l.rooms[key] = max(0, a.Room())
	return l.rooms[key]
}

// expand adds to next the states that follow from s for every use of the spare hosts from index i on. A use is the
// index of the pool that the host is lent to, or len(l.pools) for a reboot.
func (l *shortestSearch) expand(s rolloutState, use []int, i int, next map[rolloutState]bool) {
	if i < len(use) {
		for to := range len(l.pools) + 1 {
			use[i] = to
			l.expand(s, use, i+1, next)
		}
		return
	}
	lent := make([]int, len(l.pools))
	for spare, to := range use {
		if to == len(l.pools) {
			s.spares |= 1 << spare
		} else {
			lent[to] |= 1 << spare
		}
	}
	for pool := range l.pools {
		s.left[pool] = max(0, s.left[pool]-l.room(pool, lent[pool]))
	}
	next[s] = true
}

// ShortestRolloutWithLimit returns the shortest time of a rollout over the whole fleet: the longer of the time of the
// slowest data centre, and the sum of the times that the hosts are out divided by the wave's limit on hosts out at
// once.
func ShortestRolloutWithLimit(f *cuminstair.Fleet, limit int) time.Duration {
	var longest, out time.Duration
	for _, c := range f.Centres {
		longest = max(longest, ShortestRollout(f, c.Name))
	}
	for _, h := range f.Hosts {
		out += Reboot + Lag
		if !isSpare(f, h.Pool) {
			out += Drain
		}
	}
	return max(longest, out/time.Duration(limit))
}

func isSpare(f *cuminstair.Fleet, pool string) bool {
	return slices.ContainsFunc(f.Pools, func(p cuminstair.Pool) bool { return p.Name == pool && p.Spare })
}
