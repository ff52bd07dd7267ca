package wave

import (
	"cmp"
	"slices"
	"time"

	"cuminstair.org/cuminstair/budget"
)

// This file lends spare hosts to pools that can go on without them, so that a wave ends sooner.
//
// A spare host in a rack that already holds the most instances of a service offsets one unavailable instance, but adds
// one to the reserve for the loss of a rack, so that it makes no room by itself. It makes room while a host of the pool
// in the same rack is out of service. Such a host is called its rack mate here. The wave therefore takes the rack mates
// of lent hosts first, and hosts in racks without spare hosts before other hosts. A lent host whose rack mates are done
// moves on to another pool.

// rounds returns how many rounds n hosts take if size of them can be out at once.
func rounds(n, size int) int { return (n + size - 1) / size }

// roundsOfLimit returns how many rounds the wave takes over the fleet because of its limit alone.
func (r *run) roundsOfLimit() int { return rounds(r.hostsInFleet-r.doneInFleet, max(1, r.wave.Limit)) }

// demandToShorten sets the demand of a pool that can go on without spare hosts. It returns false for a pool that can't.
// Spare hosts are lent only once a host has returned to service, and only if the room of the pool, not the limit of
// the wave, decides how long the wave takes.
func (p *Planner) demandToShorten(r *run, d *demand, have supply) bool {
	var lent []*status
	if have.lent > 0 {
		lent = p.lentTo(d.pool)
	}
	own := p.roomWithout(d.pool, lent) + p.outFor(d.pool)
	if own < 1 {
		return false
	}
	if !r.anyReturned() {
		return true
	}
	d.shortens = true
	d.room = own + have.incoming
	for _, s := range lent {
		if p.helps(s) {
			d.room++
		}
	}
	d.remaining = r.queues[d.pool].left()
	d.rounds = r.roundsOfLimit()
	return true
}

// lentTo returns the spare hosts that are available in the pool.
func (p *Planner) lentTo(pool string) []*status {
	var lent []*status
	for _, s := range p.worklist {
		if s.host.Pool == p.spare && s.row.Pool == pool && s.active() && s.healthy && !s.planned {
			lent = append(lent, s)
		}
	}
	return lent
}

// roomWithout returns the room of a pool if the given hosts were not in it.
func (p *Planner) roomWithout(pool string, hosts []*status) int {
	for _, s := range hosts {
		p.Budgets.Set(s.name, budget.Host{Centre: s.host.Centre, Rack: s.host.Rack, Home: s.host.Pool, Pool: p.spare})
	}
	a, _ := p.room(pool)
	for _, s := range hosts {
		p.Budgets.Set(s.name, s.account())
	}
	return a.Room()
}

// helps reports whether a lent host makes room in its pool, or will do so once a wave has taken its rack mate.
func (p *Planner) helps(s *status) bool {
	if p.queuedMates(s.row.Pool, s.host.Rack) > 0 {
		return true
	}
	a, _ := p.room(s.row.Pool)
	return p.roomWithout(s.row.Pool, []*status{s}) < a.Room()
}

// queuedMates returns the number of hosts of a pool in a rack that running waves still have to take.
func (p *Planner) queuedMates(pool, rack string) int {
	n := 0
	for _, r := range p.runs {
		if q := r.queues[pool]; q != nil && r.takes() {
			n += q.racks[rack]
		}
	}
	return n
}

// surplus reports whether a lent host can leave its pool although a wave is not done with the pool: the pool can go on
// without lent hosts, the host does not help it, and there is no unplanned loss and has been none for SettleTime.
func (p *Planner) surplus(now time.Time, s *status) bool {
	pool := s.row.Pool
	running := slices.ContainsFunc(p.waveNames, func(name string) bool {
		r := p.runs[name]
		return r.takes() && r.queues[pool] != nil
	})
	a, _ := p.room(pool)
	since, enough := p.enoughSince[pool]
	if !running || p.blocked[pool] > 0 || a.Unavailable != a.Planned || !enough || now.Sub(since) < SettleTime {
		return false
	}
	return p.roomWithout(pool, p.lentTo(pool))+p.outFor(pool) >= 1 && !p.helps(s)
}

// bestToShorten returns the index of the free host that helps the pool and that the slowest of the other pools miss
// least, or -1 if no free host helps.
func (p *Planner) bestToShorten(l *lending, d *demand) int {
	best := -1
	var bestRival *demand
	for i, s := range l.free {
		if !p.wouldHelp(l, d.pool, s) {
			continue
		}
		rival := p.slowestRival(l, d, s)
		if best < 0 || bestRival != nil && (rival == nil || bestRival.slower(rival)) {
			best, bestRival = i, rival
		}
	}
	return best
}

// slowestRival returns the slowest of the other pools that want more hosts and that a free host would help, or nil.
func (p *Planner) slowestRival(l *lending, d *demand, s *status) *demand {
	var rival *demand
	for _, o := range l.demands {
		if o == d || !o.shortens || !o.wantsMore() || !p.wouldHelp(l, o.pool, s) {
			continue
		}
		if rival == nil || o.slower(rival) {
			rival = o
		}
	}
	return rival
}

// wouldHelp reports whether a free host would help a pool: its rack holds fewer hosts of the pool than the fleet file
// puts into another one, or a rack mate that no other lent host is meant for is still to be taken.
func (p *Planner) wouldHelp(l *lending, pool string, s *status) bool {
	at := poolRack{pool, s.host.Rack}
	lent := l.racks[at] - p.homes[at]
	return p.queuedMates(pool, s.host.Rack) > lent || l.racks[at] < p.maxPerRack(pool, p.homes)
}

// Order in which a wave takes the hosts of a pool that has lent hosts or is to get some.
const (
	takeMates     = iota // rack mates of lent hosts that are available
	takeOther            // hosts in racks without spare hosts
	takeSpareRack        // hosts in racks with spare hosts that may be lent to the pool later
	takeLast             // rack mates of spare hosts that are on their way to the pool
)

// sortQueue sorts the queue of a pool by the order above. It changes nothing if the pool has no lent hosts and gets
// none.
func (p *Planner) sortQueue(r *run, pool string) {
	q := r.queues[pool]
	if pool == p.spare || len(q.hosts) < 2 || !p.lendsTo[pool] && !p.wantsToShorten(r, pool) {
		return
	}
	order := p.rackOrder(pool)
	rank := func(s *status) int {
		if n, ok := order[s.host.Rack]; ok {
			return n
		}
		return takeOther
	}
	slices.SortStableFunc(q.hosts, func(a, b *status) int { return cmp.Compare(rank(a), rank(b)) })
}

// rackOrder returns when a wave takes the hosts of a pool in the racks that have spare hosts.
func (p *Planner) rackOrder(pool string) map[string]int {
	order := map[string]int{}
	for _, s := range p.worklist {
		if s.host.Pool != p.spare || !s.hasRow {
			continue
		}
		n, rack := takeSpareRack, s.host.Rack
		if s.destination() == pool {
			n = takeLast
			if s.active() && s.healthy && !s.planned {
				n = takeMates
			}
		}
		if old, known := order[rack]; !known || old == takeSpareRack || n == takeMates {
			order[rack] = n
		}
	}
	return order
}

// poolsWithSpares returns the pools that spare hosts are lent to or are on their way to.
func (p *Planner) poolsWithSpares() map[string]bool {
	pools := map[string]bool{}
	for _, s := range p.worklist {
		if p.spare != "" && s.host.Pool == p.spare && s.hasRow {
			pools[s.destination()] = true
		}
	}
	return pools
}

// wantsToShorten reports whether a pool without lent hosts is to get some so that the wave ends sooner.
func (p *Planner) wantsToShorten(r *run, pool string) bool {
	d := &demand{pool: pool, rounds: 1}
	return p.spare != "" && r.queues[pool].left() > r.roundsOfLimit() && p.demandToShorten(r, d, supply{}) && d.shortens && d.wantsMore()
}
