package wave

import (
	"maps"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// supply is what lending knows about one pool in this data centre.
type supply struct {
	lent   int // active hosts of the spare pool in it
	coming int // hosts of the spare pool on their way to it
}

// lend moves hosts of the spare pool to pools that need them and back. A spare host joins before the hosts of the pool
// drain. A shortage by unplanned loss has to last for Settle, and so has its end: bursts cause no moves.
func (p *Planner) lend(now time.Time, waiting []*status) {
	if p.spare == "" {
		return
	}
	supplies := p.supplies()
	l := &lending{free: p.free(waiting, p.idlePools(now, supplies))}
	for _, pool := range p.pools {
		if d := p.demand(now, pool, supplies[pool]); d.first > 0 || d.left > d.room {
			l.demands = append(l.demands, d)
		}
	}
	if len(l.demands) > 0 && len(l.free) > 0 {
		l.racks = p.rackCounts()
		p.satisfy(l)
	}
	for _, s := range l.free {
		if s.row.Pool != p.spare {
			p.send(s, p.spare)
		}
	}
}

// lending is the state of one call of lend.
type lending struct {
	racks   map[place]int
	free    []*status
	demands []*demand
}

// demand is what a pool could do with spare hosts.
type demand struct {
	pool  string
	first int // spare hosts without which nothing can go on
	room  int // hosts that can be out at once with what it has
	left  int // hosts that a wave has still to take, and those that are out
}

// satisfy gives each pool what it needs to go on, the pool with the most hosts left first, and then one more host at a
// time to the pool that would otherwise take the longest. Pools that proceed side by side need fewer moves than pools
// that get all spare hosts in turn.
func (p *Planner) satisfy(l *lending) {
	slices.SortStableFunc(l.demands, func(a, b *demand) int { return b.left - a.left })
	for _, d := range l.demands {
		// Fewer than it needs would only be missing elsewhere.
		for p.enoughFor(l, d) && d.first > 0 && p.give(l, d) {
			d.first--
		}
	}
	for len(l.free) > 0 {
		var next *demand
		for _, d := range l.demands {
			if d.room < d.left && d.room > 0 && (next == nil || d.left*next.room > next.left*d.room) {
				next = d
			}
		}
		if next == nil {
			return
		}
		if !p.give(l, next) {
			l.demands = slices.DeleteFunc(l.demands, func(d *demand) bool { return d == next })
		}
	}
}

// enoughFor tells whether the free hosts that help are as many as a pool needs to go on.
func (p *Planner) enoughFor(l *lending, d *demand) bool {
	if d.first <= 1 {
		return true
	}
	racks, free := maps.Clone(l.racks), slices.Clone(l.free)
	for range d.first {
		i := p.bestSpare(d.pool, free, racks)
		if i < 0 {
			return false
		}
		racks[place{d.pool, free[i].host.Rack}]++
		free = slices.Delete(free, i, i+1)
	}
	return true
}

// give sends the best of the free hosts to a pool. It returns false if none helps.
func (p *Planner) give(l *lending, d *demand) bool {
	for {
		i := p.bestSpare(d.pool, l.free, l.racks)
		if i < 0 {
			return false
		}
		s := l.free[i]
		l.free = slices.Delete(l.free, i, i+1)
		from := s.destination()
		if !p.send(s, d.pool) {
			continue // its pool can't spare it yet
		}
		l.racks[place{from, s.host.Rack}]--
		l.racks[place{d.pool, s.host.Rack}]++
		d.room++
		return true
	}
}

func (p *Planner) send(s *status, pool string) bool {
	return p.take(s, GoalMove, ReasonSpare, "moves from pool "+s.row.Pool+" to "+pool, func(h *Host) { h.To = pool })
}

// supplies counts the lent hosts of all pools.
func (p *Planner) supplies() map[string]supply {
	all := map[string]supply{}
	for _, s := range p.out {
		if s.host.Pool != p.spare || !s.has {
			continue
		}
		to := s.destination()
		v := all[to]
		switch {
		case s.active() && s.healthy:
			v.lent++
		case s.row.State != cuminstair.HostFailed && s.row.State != cuminstair.HostQuarantined:
			v.coming++
		}
		all[to] = v
	}
	return all
}

// demand returns what a pool could do with spare hosts. A wave that can go on without them gets none: moves have a
// cost.
func (p *Planner) demand(now time.Time, pool string, have supply) *demand {
	d := &demand{pool: pool}
	a, limited := p.room(pool)
	if !limited || pool == p.spare {
		return d
	}
	for _, name := range p.names {
		r := p.runs[name]
		q := r.queues[pool]
		if r.row.State != Running || q == nil || len(q.hosts) == 0 {
			continue
		}
		out := q.out + q.fresh
		if a.Room()+out-have.lent >= 1 {
			continue
		}
		d.room = a.Room() + out + have.coming
		d.left = min(len(q.hosts)+out, r.wave.Limit)
		d.first = 1 - d.room
	}
	if p.blocked[pool] > 0 {
		d.first = max(d.first, 1-a.Room()-have.coming)
	}
	if p.shortFor(now, pool) >= Settle {
		d.first = max(d.first, -a.Room()-have.coming)
	}
	return d
}

// shortFor returns how long a pool has been short of instances by unplanned loss. A shortage that only lent hosts cover
// is not over: they would return, and have to come again at the next loss.
func (p *Planner) shortFor(now time.Time, pool string) time.Duration {
	a, limited := p.room(pool)
	lossless := !limited || a.Unavailable == a.Planned
	if !lossless && a.Room() < a.Extra {
		delete(p.enough, pool)
	} else if _, ok := p.enough[pool]; !ok {
		p.enough[pool] = now
	}
	if lossless || a.Room() >= 0 {
		delete(p.short, pool)
		return 0
	}
	if _, ok := p.short[pool]; !ok {
		p.short[pool] = now
	}
	return now.Sub(p.short[pool])
}

// free returns the hosts of the spare pool that may be sent elsewhere: idle ones first.
func (p *Planner) free(waiting []*status, pools map[string]bool) []*status {
	var idle, lent []*status
	for _, s := range waiting {
		if s.host.Pool != p.spare || !s.active() || !s.healthy || s.taken || s.row.Hold || s.orderAt > s.row.Order {
			continue
		}
		switch {
		case s.row.Pool == p.spare && !p.due(s):
			idle = append(idle, s)
		case s.row.Pool != p.spare && pools[s.row.Pool]:
			if _, ok := p.Budgets.MayTake(s.name); ok {
				lent = append(lent, s)
			}
		}
	}
	return append(idle, lent...)
}

// idlePools returns the pools that have no use for lent hosts. When several pools have some and none of them enough to go
// on, all but the first let theirs go.
func (p *Planner) idlePools(now time.Time, supplies map[string]supply) map[string]bool {
	idle := map[string]bool{}
	stuck := false
	for _, pool := range p.pools {
		have := supplies[pool]
		if pool == p.spare || have.lent == 0 {
			continue
		}
		switch {
		case !p.needed(now, pool):
			idle[pool] = true
		case p.stuckFor(now, pool, have) >= Settle:
			idle[pool] = stuck
			stuck = true
		}
	}
	return idle
}

// stuckFor returns for how long a wave has been unable to take any host of a pool with what the pool was lent.
func (p *Planner) stuckFor(now time.Time, pool string, have supply) time.Duration {
	a, _ := p.room(pool)
	if a.Room() >= 1 || have.coming > 0 || p.outFor(pool) > 0 {
		delete(p.stuck, pool)
		return 0
	}
	if _, ok := p.stuck[pool]; !ok {
		p.stuck[pool] = now
	}
	return now.Sub(p.stuck[pool])
}

// outFor returns the number of hosts of a pool that are out for waves.
func (p *Planner) outFor(pool string) int {
	n := 0
	for _, r := range p.runs {
		if q := r.queues[pool]; q != nil {
			n += q.out + q.fresh
		}
	}
	return n
}

// due tells whether a running wave has still to take a host of the spare pool; it goes first.
func (p *Planner) due(s *status) bool {
	for _, r := range p.runs {
		if q := r.queues[s.host.Pool]; q != nil && r.row.State == Running && q.queued[s.name] {
			return true
		}
	}
	return false
}

// needed tells whether a pool has still use for lent hosts.
func (p *Planner) needed(now time.Time, pool string) bool {
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
	since, ok := p.enough[pool]
	return !ok || now.Sub(since) < Settle
}

// place is a pool in a rack.
type place struct{ pool, rack string }

// bestSpare returns the index of the host whose rack holds the fewest hosts of the pool, or -1 if none of them helps. A
// host that makes the fullest rack of the pool fuller adds as much to the reserve as it offsets; two of them in
// different racks help, but only if no better one is to be had.
func (p *Planner) bestSpare(pool string, free []*status, racks map[place]int) int {
	best, least := -1, 0
	for i, s := range free {
		n := racks[place{pool, s.host.Rack}]
		if best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 || least < p.fullest(pool, racks) {
		return best
	}
	if len(free) < 2 || p.betterElsewhere(pool, racks) {
		return -1
	}
	return best
}

// fullest returns the number of hosts of the pool in the rack that holds the most.
func (p *Planner) fullest(pool string, racks map[place]int) int {
	most := 0
	for at, n := range racks {
		if at.pool == pool {
			most = max(most, n)
		}
	}
	return most
}

// betterElsewhere tells whether some spare host that is not free now would help the pool.
func (p *Planner) betterElsewhere(pool string, racks map[place]int) bool {
	most := p.fullest(pool, racks)
	for _, s := range p.out {
		if s.host.Pool == p.spare && s.row.Pool != pool && racks[place{pool, s.host.Rack}] < most {
			return true
		}
	}
	return false
}

// racks counts the hosts of each pool in each rack, by the fleet file and with the lent ones, whatever their state.
func (p *Planner) rackCounts() map[place]int {
	racks := maps.Clone(p.homes)
	for _, s := range p.out {
		if s.host.Pool == p.spare && s.has {
			racks[place{s.destination(), s.host.Rack}]++
		}
	}
	return racks
}

// destination returns the pool that the host is in or on its way to.
func (s *status) destination() string {
	if s.row.Goal == GoalMove && s.row.To != "" {
		return s.row.To
	}
	return s.row.Pool
}
