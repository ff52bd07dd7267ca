// Package pools decides which hosts change their pool. It answers demand that peaks in one service after the other: each asks
// for more than its own hosts for some seconds and for little in between, so that hosts follow the demand and those that
// nobody needs are switched off in the spare pool.
package pools

import (
	"math"
	"sort"
	"time"
)

// Shares and times of the plan.
const (
	// fill is the part of a host's processors that short tasks use at best.
	fill = 0.85
	// rateReserve is asked for above the rate while a peak rises, since work comes unevenly, and steadyReserve later, when
	// the work that runs tells what is needed.
	rateReserve   = 1.3
	steadyReserve = 1.05
	// backlogReserve is asked for above what does the accepted work just in time.
	backlogReserve = 1.5
	// leastHosts is what a pool keeps.
	leastHosts = 2
	// keepFor is how long a pool keeps hosts after it needed them. A move there and back costs as much as about two
	// seconds of a host.
	keepFor = 1500 * time.Millisecond
	// longObjective is the objective above which work can wait for hosts that are ordered when it comes.
	longObjective = 4 * time.Second
	// movesAtOnce bounds the moves of one plan unless the planner is told another bound.
	movesAtOnce = 12
)

// Pool is a service's pool at one moment.
type Pool struct {
	Service     string
	Rate        float64       // cores that the work handed in lately asks for
	Backlog     float64       // cores that accepted work asks for that can be in time
	Late        float64       // cores that other accepted work asks for
	Active      float64       // cores of the short tasks that run or could run, and may be in time
	Spread      int           // hosts that the widest step needs because its tasks keep apart
	LongRunning float64       // cores of long-running tasks
	Pinned      int           // hosts with long-running tasks, and those that such tasks lack
	Cores       float64       // of one host, above zero
	Have        int           // hosts that are up in the pool
	Incoming    int           // hosts on their way to it
	Idle        []string      // hosts without tasks, the longest idle first
	Objective   time.Duration // mean objective of its work; 0: unknown
	Known       bool          // the owner has answered; if not, the pool is left alone
}

// Move puts a host into another pool.
type Move struct {
	Host string
	From string
	To   string
	Why  string
}

// Yield is how many hosts a pool should empty, since another lacks them for work that can be in time.
type Yield struct {
	Service string
	Hosts   int
}

// Planner keeps what pools needed lately. It must be made with New.
type Planner struct {
	Spare string // pool that is switched off; empty: hosts are not switched off
	// AtOnce bounds the moves of one plan, since the controller of hosts takes a limited number of orders a second. 0:
	// movesAtOnce.
	AtOnce   int
	needs    map[string]*need
	forecast *Forecast
}

// need is the number of hosts that a pool needed.
type need struct {
	hosts int
	at    time.Time // when it last needed them
	first int       // hosts that it had at first
}

// New returns a planner.
func New(spare string) *Planner {
	return &Planner{Spare: spare, needs: map[string]*need{}, forecast: NewForecast()}
}

// Plan returns the moves to make now, and the pools that should empty hosts. spare are the hosts in the spare pool.
//
// Hosts go first to the pools that lack them for work that can be in time. A pool keeps hosts for late work only while no
// other lacks them.
func (p *Planner) Plan(now time.Time, list []Pool, spare []string) ([]Move, []Yield) {
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	for i := range list {
		x := &list[i]
		if x.Known && x.Cores > 0 {
			p.forecast.Observe(now, x.Service, x.Rate, float64(p.need(now, x).first)*x.Cores)
		}
	}
	d := draft{Planner: p, now: now, list: list, spare: append([]string(nil), spare...), want: map[string]int{}, most: p.AtOnce}
	if d.most <= 0 {
		d.most = movesAtOnce
	}
	for i := range list {
		d.want[list[i].Service] = p.want(now, &list[i])
	}
	d.supplyAll()
	yields := d.yields()
	for i := range list {
		d.settle(&list[i])
	}
	return d.moves, yields
}

// draft is a plan that is being made.
type draft struct {
	*Planner
	now   time.Time
	list  []Pool
	spare []string
	want  map[string]int // by service: hosts for work that can be in time
	moves []Move
	most  int // moves
}

func (d *draft) full() bool { return len(d.moves) >= d.most }

// supplyAll finds hosts for the pools that lack them.
func (d *draft) supplyAll() {
	none := map[string]bool{} // pools for which no host was found
	for !d.full() {
		x := neediest(d.list, d.want, none)
		if x == nil {
			return
		}
		m, ok := d.supply(x)
		if !ok {
			none[x.Service] = true
			continue
		}
		x.Incoming++
		d.moves = append(d.moves, m)
	}
}

// settle gives a pool hosts for its late work, and switches those off that it does not need.
func (d *draft) settle(x *Pool) {
	late := lateHosts(x, d.want[x.Service])
	for late > x.Have+x.Incoming && len(d.spare) > 0 && !d.full() {
		d.moves = append(d.moves, Move{Host: take(&d.spare), From: d.Spare, To: x.Service, Why: "late work"})
		x.Incoming++
	}
	for d.Spare != "" && x.Known && x.Have+x.Incoming > late && len(x.Idle) > 0 && !d.full() {
		d.moves = append(d.moves, Move{Host: take(&x.Idle), From: x.Service, To: d.Spare, Why: "idle"})
		x.Have--
	}
}

// lateHosts is the number of hosts that a pool should have for late work as well, want being those for other work.
func lateHosts(x *Pool, want int) int {
	if !x.Known || x.Cores <= 0 {
		return want
	}
	return max(want, int(math.Ceil(((x.Late+x.Backlog)/fill+x.LongRunning)/x.Cores)))
}

// yields asks pools that have more hosts than their work in time needs now to empty as many as are lacking.
func (d *draft) yields() []Yield {
	lacking := 0
	for i := range d.list {
		lacking += max(0, -d.surplus(&d.list[i]))
	}
	var out []Yield
	for i := range d.list {
		x := &d.list[i]
		n := min(lacking, d.surplus(x)-len(x.Idle)-x.Incoming)
		if n <= 0 {
			continue
		}
		out = append(out, Yield{Service: x.Service, Hosts: n})
		lacking -= n
	}
	return out
}

// surplus is the number of hosts that a pool has more than its work in time asks for now.
func (d *draft) surplus(x *Pool) int {
	if !x.Known || x.Cores <= 0 {
		return 0
	}
	return x.Have + x.Incoming - d.demanded(d.now, x)
}

// lack is the number of hosts that a pool has too few.
func lack(x *Pool, want map[string]int) int { return want[x.Service] - x.Have - x.Incoming }

// neediest returns the pool that gets the next host, or nil if none lacks any but those in none: first one whose
// long-running tasks have no room, and then the one that lacks the largest part of what it wants.
func neediest(list []Pool, want map[string]int, none map[string]bool) *Pool {
	var best *Pool
	unplaced, most := false, 0.0
	for i := range list {
		x := &list[i]
		n := lack(x, want)
		if n <= 0 || none[x.Service] {
			continue
		}
		without := x.Have+x.Incoming < x.Pinned
		share := float64(n) / float64(want[x.Service])
		if best == nil || (without && !unplaced) || (without == unplaced && share > most) {
			best, unplaced, most = x, without, share
		}
	}
	return best
}

// supply finds a host for a pool: one that is switched off, an idle one that its own pool does not want, or an idle one
// that its pool only keeps for a peak that is not near.
func (d *draft) supply(x *Pool) (Move, bool) {
	if len(d.spare) > 0 {
		return Move{Host: take(&d.spare), From: d.Spare, To: x.Service, Why: "demand"}, true
	}
	for i := range d.list {
		o := &d.list[i]
		if !lends(o, x) || o.Have+o.Incoming <= d.want[o.Service] {
			continue
		}
		o.Have--
		return Move{Host: take(&o.Idle), From: o.Service, To: x.Service, Why: "demand"}, true
	}
	for i := range d.list {
		o := &d.list[i]
		if !lends(o, x) || o.Have+o.Incoming <= d.lendable(d.now, o) {
			continue
		}
		o.Have--
		d.want[o.Service]--
		return Move{Host: take(&o.Idle), From: o.Service, To: x.Service, Why: "lent"}, true
	}
	return Move{}, false
}

// lends tells whether a pool has an idle host for another.
func lends(from, to *Pool) bool {
	return from.Service != to.Service && from.Known && len(from.Idle) > 0
}

// lendable is the number of hosts that a pool keeps while another is short of hosts.
func (p *Planner) lendable(now time.Time, o *Pool) int {
	if _, ok := p.forecast.Expect(now, o.Service); ok {
		return o.Have + o.Incoming
	}
	return max(p.demanded(now, o), (p.need(now, o).first+1)/2)
}

func take(list *[]string) string {
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

// want is the number of hosts that a pool should have for work that can be in time. A pool of which nothing is known is
// left alone.
func (p *Planner) want(now time.Time, x *Pool) int {
	if !x.Known || x.Cores <= 0 {
		return x.Have + x.Incoming
	}
	n := p.need(now, x)
	hosts := p.demanded(now, x)
	if x.Objective < longObjective && !p.forecast.Seen(x.Service) {
		// Work that can't wait for hosts finds those that the operators gave the pool until its peak is known, as far as
		// they have not been lent meanwhile.
		hosts = max(hosts, min(n.first, x.Have+x.Incoming))
	}
	if hosts >= n.hosts || now.Sub(n.at) > keepFor {
		n.hosts, n.at = hosts, now
	}
	return max(hosts, n.hosts)
}

// demanded is the number of hosts that the demand of a pool asks for.
func (p *Planner) demanded(now time.Time, x *Pool) int {
	cores := max(x.Backlog*backlogReserve, x.Rate*p.reserve(now, x), x.Active)
	if x.Objective < longObjective {
		if ahead, ok := p.forecast.Expect(now, x.Service); ok {
			cores = max(cores, ahead*rateReserve)
		}
		if rising, ok := p.forecast.Rising(now, x.Service); ok {
			cores = max(cores, rising*rateReserve)
		}
	}
	hosts := int(math.Ceil((cores/fill + x.LongRunning) / x.Cores))
	return max(hosts, x.Pinned, min(x.Spread, p.need(now, x).first), leastHosts)
}

// reserve is the multiple of the rate of a pool that it asks for.
func (p *Planner) reserve(now time.Time, x *Pool) float64 {
	if p.forecast.Rises(now, x.Service) {
		return rateReserve
	}
	return steadyReserve
}

// need returns what is kept of a pool.
func (p *Planner) need(now time.Time, x *Pool) *need {
	n := p.needs[x.Service]
	if n == nil {
		n = &need{hosts: x.Have, at: now, first: x.Have}
		p.needs[x.Service] = n
	}
	if x.Objective == 0 {
		// Until work comes, hosts that are still starting join the pool.
		n.first = max(n.first, x.Have)
	}
	return n
}
