package fleettest

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// rollout is the state of the best possible rollout of one data centre: which spare hosts are done and how many hosts
// each pool has left.
type rollout struct {
	spares int // bit set
	left   [4]int
}

// Least returns the shortest time in which the budgets permit to reboot all hosts of a data centre. It tries, round by
// round, every way to lend each spare host or reboot it, with the rooms that package budget gives when all hosts of a
// round are up. It counts no time for moves, probation or growing steps; the last round is at least a spare's.
func Least(f *cuminstair.Fleet, centre string) time.Duration {
	l := newLeast(f, centre)
	level := map[rollout]bool{l.from: true}
	for rounds := 1; ; rounds++ {
		next := map[rollout]bool{}
		for s := range level {
			l.expand(s, make([]int, len(l.spares)), 0, next)
		}
		if next[rollout{spares: 1<<len(l.spares) - 1}] {
			return time.Duration(rounds)*(Drain+Reboot+Lag) - Drain
		}
		level = next
	}
}

type leastOf struct {
	fleet  *cuminstair.Fleet
	centre string
	pools  []string
	spares []cuminstair.Host
	from   rollout
	rooms  map[[2]int]int // pool, bit set of spares lent to it
}

func newLeast(f *cuminstair.Fleet, centre string) *leastOf {
	l := &leastOf{fleet: f, centre: centre, rooms: map[[2]int]int{}}
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
				l.from.left[i]++
			}
		}
		if h.Centre == centre && h.Pool == spare {
			l.spares = append(l.spares, h)
		}
	}
	return l
}

// room asks package budget for the room of a pool with some spare hosts lent to it.
func (l *leastOf) room(pool, lent int) int {
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

// expand tries every use of the spare hosts from the i-th on: a pool, or a reboot.
func (l *leastOf) expand(s rollout, use []int, i int, next map[rollout]bool) {
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

// LeastWithin returns the shortest time of a rollout over the whole fleet: that of the slowest data centre, or the time
// that all hosts are out divided by the limit of the wave.
func LeastWithin(f *cuminstair.Fleet, limit int) time.Duration {
	var longest, out time.Duration
	for _, c := range f.Centres {
		longest = max(longest, Least(f, c.Name))
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
