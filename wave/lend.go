package wave

import (
	"maps"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// supply counts the spare hosts that are lent to one pool in this data centre.
type supply struct {
	lent     int // active and healthy hosts of the spare pool that are in the pool
	incoming int // other hosts of the spare pool that are in the pool or moving to it, except failed and quarantined ones
}

// lend moves hosts of the spare pool to pools that need them, and back. A spare host joins a pool before hosts of that
// pool are drained. A shortage caused by unplanned loss must last for SettleTime before hosts move, and so must its
// end, so that short bursts cause no moves.
func (p *Planner) lend(now time.Time, waiting []*status) {
	if p.spare == "" {
		return
	}
	supplies := p.supplies()
	l := &lending{free: p.freeSpares(now, waiting, p.poolsToRelease(now, supplies))}
	for _, pool := range p.pools {
		if d := p.demand(now, pool, supplies[pool]); d.minimum > 0 || d.wantsMore() {
			l.demands = append(l.demands, d)
		}
	}
	if len(l.demands) > 0 && len(l.free) > 0 {
		l.racks = p.rackCounts()
		p.assignSpares(l)
	}
	for _, s := range l.free {
		if s.row.Pool != p.spare {
			p.startMove(s, p.spare)
		}
	}
}

// lending is the working state of one call of lend.
type lending struct {
	racks   map[poolRack]int
	free    []*status
	demands []*demand
}

// demand is a pool's need for spare hosts.
type demand struct {
	pool      string
	minimum   int // spare hosts that the pool needs before any of its hosts can be taken or its shortage ends
	room      int // hosts that can be out at once, with the spare hosts that are in the pool or moving to it
	remaining int // hosts that a wave still has to take or that are out for it; at most the wave's limit
	rounds    int // rounds of hosts that the wave needs in any case; a pool that needs no more gets no further hosts
	// shortens is set if the pool can go on without spare hosts, and gets them so that the wave ends sooner.
	shortens bool
}

// wantsMore reports whether the wave would end sooner if more hosts of the pool could be out at once.
func (d *demand) wantsMore() bool { return rounds(d.remaining, max(1, d.room)) > d.rounds }

// slower reports whether the wave takes longer for this pool than for another.
func (d *demand) slower(o *demand) bool { return d.remaining*o.room > o.remaining*d.room }

// assignSpares first gives each pool its minimum, starting with the pool with the most hosts remaining, and then gives
// one more host at a time to the pool that would otherwise take the longest. Serving pools in parallel needs fewer
// moves than giving all spare hosts to one pool after the other.
func (p *Planner) assignSpares(l *lending) {
	slices.SortStableFunc(l.demands, func(a, b *demand) int { return b.remaining - a.remaining })
	for _, d := range l.demands {
		// Fewer hosts than the minimum would not help this pool and would be missing in others.
		for p.canMeetMinimum(l, d) && d.minimum > 0 && p.assignBest(l, d) {
			d.minimum--
		}
	}
	for len(l.free) > 0 {
		var slowest *demand
		for _, d := range l.demands {
			if d.wantsMore() && d.room > 0 && (slowest == nil || d.slower(slowest)) {
				slowest = d
			}
		}
		if slowest == nil {
			return
		}
		if !p.assignBest(l, slowest) {
			l.demands = slices.DeleteFunc(l.demands, func(d *demand) bool { return d == slowest })
		}
	}
}

// canMeetMinimum reports whether enough of the free hosts help the pool to reach its minimum.
func (p *Planner) canMeetMinimum(l *lending, d *demand) bool {
	if d.minimum <= 1 {
		return true
	}
	racks, free := maps.Clone(l.racks), slices.Clone(l.free)
	for range d.minimum {
		i := p.bestSpare(d.pool, free, racks)
		if i < 0 {
			return false
		}
		racks[poolRack{d.pool, free[i].host.Rack}]++
		free = slices.Delete(free, i, i+1)
	}
	return true
}

// assignBest plans the move of the best free host to a pool. It returns false if no free host helps.
func (p *Planner) assignBest(l *lending, d *demand) bool {
	for {
		i := p.bestSpare(d.pool, l.free, l.racks)
		if d.shortens {
			i = p.bestToShorten(l, d)
		}
		if i < 0 {
			return false
		}
		s := l.free[i]
		l.free = slices.Delete(l.free, i, i+1)
		from := s.destination()
		if !p.startMove(s, d.pool) {
			continue // the budget of its current pool has no room yet
		}
		l.racks[poolRack{from, s.host.Rack}]--
		l.racks[poolRack{d.pool, s.host.Rack}]++
		d.room++
		return true
	}
}

func (p *Planner) startMove(s *status, pool string) bool {
	if !p.planDrain(s, GoalMove, ReasonSpare, "moves from pool "+s.row.Pool+" to "+pool, func(h *Host) { h.To = pool }) {
		return false
	}
	s.plannedPool = pool
	return true
}

// supplies counts the lent hosts of all pools.
func (p *Planner) supplies() map[string]supply {
	all := map[string]supply{}
	for _, s := range p.worklist {
		if s.host.Pool != p.spare || !s.hasRow {
			continue
		}
		to := s.destination()
		v := all[to]
		switch {
		case s.active() && s.healthy:
			v.lent++
		case s.row.State != cuminstair.HostFailed && s.row.State != cuminstair.HostQuarantined:
			v.incoming++
		}
		all[to] = v
	}
	return all
}

// demand returns a pool's need for spare hosts. A wave that can proceed without spare hosts adds to the need only if it
// would end sooner with them, so that no hosts are moved needlessly.
func (p *Planner) demand(now time.Time, pool string, have supply) *demand {
	d := &demand{pool: pool, rounds: 1}
	a, limited := p.room(pool)
	if !limited || pool == p.spare {
		return d
	}
	for _, name := range p.waveNames {
		r := p.runs[name]
		q := r.queues[pool]
		if !r.takes() || q == nil || len(q.hosts) == 0 {
			continue
		}
		if p.demandToShorten(r, d, have) {
			continue
		}
		out := q.out + q.planned
		d.room = a.Room() + out + have.incoming
		d.remaining = min(len(q.hosts)+out, r.wave.Limit)
		d.minimum = 1 - d.room
	}
	if p.blocked[pool] > 0 {
		d.minimum = max(d.minimum, 1-a.Room()-have.incoming)
	}
	if p.shortFor(now, pool) >= SettleTime {
		d.minimum = max(d.minimum, -a.Room()-have.incoming)
	}
	return d
}

// shortFor updates shortSince and enoughSince, and returns how long a pool has been short of instances because of
// unplanned loss. For enoughSince, a shortage that is covered only by lent hosts is not over: otherwise these hosts
// would be returned and have to be lent again.
func (p *Planner) shortFor(now time.Time, pool string) time.Duration {
	a, limited := p.room(pool)
	noLoss := !limited || a.Unavailable == a.Planned
	if !noLoss && a.Room() < a.Extra {
		delete(p.enoughSince, pool)
	} else if _, ok := p.enoughSince[pool]; !ok {
		p.enoughSince[pool] = now
	}
	if noLoss || a.Room() >= 0 {
		delete(p.shortSince, pool)
		return 0
	}
	if _, ok := p.shortSince[pool]; !ok {
		p.shortSince[pool] = now
	}
	return now.Sub(p.shortSince[pool])
}

// freeSpares returns the hosts of the spare pool that can be moved to another pool: hosts in the spare pool first, then
// lent hosts of the given pools and those that no longer help their pool.
func (p *Planner) freeSpares(now time.Time, waiting []*status, pools map[string]bool) []*status {
	var idle, lent []*status
	for _, s := range waiting {
		if s.host.Pool != p.spare || !s.active() || !s.healthy || s.planned || s.row.Hold || s.orderAt > s.row.Order {
			continue
		}
		switch {
		case s.row.Pool == p.spare && !p.queuedForWave(s):
			idle = append(idle, s)
		case s.row.Pool != p.spare && (pools[s.row.Pool] || p.surplus(now, s)):
			if _, ok := p.Budgets.MayTake(s.name); ok {
				lent = append(lent, s)
			}
		}
	}
	return append(idle, lent...)
}

// poolsToRelease returns the pools whose lent hosts can be moved elsewhere: pools that do not need them and, if several
// pools have too few lent hosts to proceed, all of these but the first.
func (p *Planner) poolsToRelease(now time.Time, supplies map[string]supply) map[string]bool {
	release := map[string]bool{}
	foundStuck := false
	for _, pool := range p.pools {
		have := supplies[pool]
		if pool == p.spare || have.lent == 0 {
			continue
		}
		switch {
		case !p.needsLent(now, pool):
			release[pool] = true
		case p.stuckFor(now, pool, have) >= SettleTime:
			release[pool] = foundStuck
			foundStuck = true
		}
	}
	return release
}

// stuckFor returns for how long waves have been unable to take any host of a pool despite its lent hosts.
func (p *Planner) stuckFor(now time.Time, pool string, have supply) time.Duration {
	a, _ := p.room(pool)
	if a.Room() >= 1 || have.incoming > 0 || p.outFor(pool) > 0 {
		delete(p.stuckSince, pool)
		return 0
	}
	if _, ok := p.stuckSince[pool]; !ok {
		p.stuckSince[pool] = now
	}
	return now.Sub(p.stuckSince[pool])
}

// outFor returns the number of hosts of a pool that are out of service for waves.
func (p *Planner) outFor(pool string) int {
	n := 0
	for _, r := range p.runs {
		if q := r.queues[pool]; q != nil {
			n += q.out + q.planned
		}
	}
	return n
}

// queuedForWave reports whether a running wave still has to take this host. Such a spare host is not lent, since waves
// take spare hosts first.
func (p *Planner) queuedForWave(s *status) bool {
	for _, r := range p.runs {
		if q := r.queues[s.host.Pool]; q != nil && r.row.State == Running && q.queued[s.name] {
			return true
		}
	}
	return false
}

// needsLent reports whether a pool still needs its lent hosts.
func (p *Planner) needsLent(now time.Time, pool string) bool {
	if p.blocked[pool] > 0 {
		return true
	}
	covered := false
	for _, r := range p.runs {
		q := r.queues[pool]
		if q == nil || r.row.State == Done || r.row.State == Ready {
			continue
		}
		if len(q.hosts) > 0 && (r.row.State == Running || r.row.State == Paused) {
			return true
		}
		covered = true
	}
	p.shortFor(now, pool)
	a, _ := p.room(pool)
	if covered && a.Unavailable == a.Planned {
		return false
	}
	since, ok := p.enoughSince[pool]
	return !ok || now.Sub(since) < SettleTime
}

// poolRack identifies the hosts of one pool in one rack.
type poolRack struct{ pool, rack string }

// bestSpare returns the index of the host whose rack holds the fewest hosts of the pool, or -1 if no host helps. A host
// in the rack that already holds the most hosts of the pool offsets one unavailable instance, but adds one to the
// reserve. Two such hosts in different racks help, and are used only if no better host can become free.
func (p *Planner) bestSpare(pool string, free []*status, racks map[poolRack]int) int {
	best, fewest := -1, 0
	for i, s := range free {
		n := racks[poolRack{pool, s.host.Rack}]
		if best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best < 0 || fewest < p.maxPerRack(pool, racks) {
		return best
	}
	if len(free) < 2 || p.betterElsewhere(pool, racks) {
		return -1
	}
	return best
}

// maxPerRack returns the largest number of hosts of the pool in any rack.
func (p *Planner) maxPerRack(pool string, racks map[poolRack]int) int {
	largest := 0
	for at, n := range racks {
		if at.pool == pool {
			largest = max(largest, n)
		}
	}
	return largest
}

// betterElsewhere reports whether a spare host that is not free now would help the pool more.
func (p *Planner) betterElsewhere(pool string, racks map[poolRack]int) bool {
	largest := p.maxPerRack(pool, racks)
	for _, s := range p.worklist {
		if s.host.Pool == p.spare && s.row.Pool != pool && racks[poolRack{pool, s.host.Rack}] < largest {
			return true
		}
	}
	return false
}

// rackCounts counts the hosts of each pool in each rack, whatever their state: those that the fleet file puts there and
// the spare hosts that are in the pool or moving to it.
func (p *Planner) rackCounts() map[poolRack]int {
	racks := maps.Clone(p.homes)
	for _, s := range p.worklist {
		if s.host.Pool == p.spare && s.hasRow {
			racks[poolRack{s.destination(), s.host.Rack}]++
		}
	}
	return racks
}

// destination returns the pool that the host moves to, or else the pool that it is in.
func (s *status) destination() string {
	if s.planned && s.plannedPool != "" {
		return s.plannedPool
	}
	if s.row.Goal == GoalMove && s.row.To != "" {
		return s.row.To
	}
	return s.row.Pool
}
