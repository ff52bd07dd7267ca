// Package pools plans which hosts are moved to another pool. It is made for demand that peaks in one service after the
// other: for some seconds a service needs more hosts than its pool has, and between its peaks it needs few. Hosts are
// moved to the pools with demand, and hosts that no pool needs are switched off in the spare pool.
package pools

import (
	"math"
	"sort"
	"time"
)

// Parameters of the plan.
const (
	// maxUtilization is the highest utilization of a host's processors that short tasks reach.
	maxUtilization = 0.85
	// risingRateFactor is the factor on Pool.Rate while a peak may still rise, since work arrives unevenly.
	// steadyRateFactor is the factor afterwards, when the running work shows the demand.
	risingRateFactor = 1.3
	steadyRateFactor = 1.05
	// backlogFactor is the factor on the cores that would finish the accepted work just in time.
	backlogFactor = 1.5
	// minHosts is the smallest number of hosts of a pool.
	minHosts = 2
	// retentionTime is how long a pool keeps hosts after it last needed them. Moving a host away and back costs about as
	// much as keeping it for two seconds.
	retentionTime = 1500 * time.Millisecond
	// longObjective is the shortest latency objective with which work can wait for hosts that are ordered when it arrives.
	longObjective = 4 * time.Second
	// defaultMaxMoves is the maximum number of moves in one plan if Planner.MaxMoves is not set.
	defaultMaxMoves = 12
)

// Pool is the state of a service's pool at one moment.
type Pool struct {
	Service     string
	Rate        float64       // cores needed for work at the recent rate of submission
	Backlog     float64       // cores needed for accepted work that can still be on time
	Late        float64       // cores needed for accepted work that can no longer be on time
	Active      float64       // cores of running and ready short tasks that can still be on time
	Spread      int           // hosts that the widest step needs because its tasks need separate hosts
	LongRunning float64       // cores of long-running tasks
	Pinned      int           // hosts with long-running tasks, plus hosts that are missing for such tasks
	Cores       float64       // cores of one host, above zero
	Have        int           // hosts that are up in the pool
	Incoming    int           // hosts being moved to it
	Idle        []string      // hosts without tasks, the longest idle first
	Objective   time.Duration // mean latency objective of its work; 0: unknown
	Young       bool          // that daemon has counted the demand for a short time only, so that it may be too low
	Known       bool          // the daemon that owns the service has reported the demand; if not, the pool stays unchanged
}

// Move is the move of a host to another pool.
type Move struct {
	Host   string
	From   string
	To     string
	Reason string // for the log
}

// Yield is the number of hosts that a pool should drain because other pools lack hosts for work that can be on time.
type Yield struct {
	Service string
	Hosts   int
}

// Planner plans the moves of hosts between pools. It keeps a history of the demand. It must be created with New.
type Planner struct {
	Spare string // pool of hosts that are switched off; empty: hosts are not switched off
	// MaxMoves is the maximum number of moves in one plan, since the controller of hosts accepts a limited number of orders
	// per second. 0: defaultMaxMoves.
	MaxMoves int
	history  map[string]*poolHistory
	forecast *Forecast
}

// poolHistory is the recent need for hosts of a pool.
type poolHistory struct {
	needed   int       // number of hosts needed at neededAt
	neededAt time.Time // time of the last update of needed
	initial  int       // initial number of hosts
}

// New returns a planner without history. spare is Planner.Spare.
func New(spare string) *Planner {
	return &Planner{Spare: spare, history: map[string]*poolHistory{}, forecast: NewForecast()}
}

// Plan returns the moves to make now, and the pools that should drain hosts. spare lists the hosts in the spare pool.
//
// Pools that lack hosts for work that can be on time come first. A pool keeps hosts for late work only while no other
// pool lacks hosts.
func (p *Planner) Plan(now time.Time, list []Pool, spare []string) ([]Move, []Yield) {
	sort.Slice(list, func(i, j int) bool { return list[i].Service < list[j].Service })
	for i := range list {
		x := &list[i]
		if x.Known && x.Cores > 0 && !p.keepsHosts(now, x) {
			p.forecast.Observe(now, x.Service, x.Rate, float64(p.historyOf(now, x).initial)*x.Cores)
		}
	}
	d := draft{Planner: p, now: now, list: list, spare: append([]string(nil), spare...), want: map[string]int{}, maxMoves: p.MaxMoves}
	if d.maxMoves <= 0 {
		d.maxMoves = defaultMaxMoves
	}
	for i := range list {
		d.want[list[i].Service] = p.wantedHosts(now, &list[i])
	}
	d.fillShortages()
	yields := d.yields()
	for i := range list {
		d.adjust(&list[i])
	}
	return d.moves, yields
}

// draft is an unfinished plan.
type draft struct {
	*Planner
	now      time.Time
	list     []Pool
	spare    []string
	want     map[string]int // by service: hosts for work that can be on time
	moves    []Move
	maxMoves int
}

func (d *draft) full() bool { return len(d.moves) >= d.maxMoves }

// fillShortages plans moves to the pools that lack hosts.
func (d *draft) fillShortages() {
	unserved := map[string]bool{} // pools for which no host was found
	for !d.full() {
		x := neediest(d.list, d.want, unserved)
		if x == nil {
			return
		}
		m, ok := d.findHost(x)
		if !ok {
			unserved[x.Service] = true
			continue
		}
		x.Incoming++
		d.moves = append(d.moves, m)
	}
}

// adjust plans moves of spare hosts to a pool for its late work, and switches off idle hosts that the pool does not need.
func (d *draft) adjust(x *Pool) {
	late := hostsWithLate(x, d.want[x.Service])
	for late > x.Have+x.Incoming && len(d.spare) > 0 && !d.full() {
		d.moves = append(d.moves, Move{Host: popFirst(&d.spare), From: d.Spare, To: x.Service, Reason: "late work"})
		x.Incoming++
	}
	for d.Spare != "" && x.Known && !d.keepsHosts(d.now, x) && x.Have+x.Incoming > late && len(x.Idle) > 0 && !d.full() {
		d.moves = append(d.moves, Move{Host: popFirst(&x.Idle), From: x.Service, To: d.Spare, Reason: "idle"})
		x.Have--
	}
}

// hostsWithLate returns the number of hosts that a pool should have including those for late work. want is the number
// without late work.
func hostsWithLate(x *Pool, want int) int {
	if !x.Known || x.Cores <= 0 {
		return want
	}
	return max(want, int(math.Ceil(((x.Late+x.Backlog)/maxUtilization+x.LongRunning)/x.Cores)))
}

// yields returns the pools that should drain hosts: those with more hosts in use than they now need for work that can be
// on time. Together they drain at most as many hosts as other pools lack.
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

// surplus is the number of hosts that a pool has beyond those it now needs for work that can be on time; negative if it
// lacks hosts.
func (d *draft) surplus(x *Pool) int {
	if !x.Known || x.Cores <= 0 {
		return 0
	}
	surplus := x.Have + x.Incoming - d.demandedHosts(d.now, x)
	if d.keepsHosts(d.now, x) {
		return min(0, surplus)
	}
	return surplus
}

// shortage is the number of hosts that a pool lacks; negative if it has more than it should.
func shortage(x *Pool, want map[string]int) int { return want[x.Service] - x.Have - x.Incoming }

// neediest returns the pool that gets the next host, or nil if no pool outside unserved lacks hosts. Pools that lack
// hosts for long-running tasks come first, then the pool that lacks the largest fraction of the hosts it should have.
func neediest(list []Pool, want map[string]int, unserved map[string]bool) *Pool {
	var best *Pool
	bestUnplaced, maxShare := false, 0.0
	for i := range list {
		x := &list[i]
		n := shortage(x, want)
		if n <= 0 || unserved[x.Service] {
			continue
		}
		unplaced := x.Have+x.Incoming < x.Pinned
		share := float64(n) / float64(want[x.Service])
		if best == nil || (unplaced && !bestUnplaced) || (unplaced == bestUnplaced && share > maxShare) {
			best, bestUnplaced, maxShare = x, unplaced, share
		}
	}
	return best
}

// findHost finds a host for a pool: a spare host, an idle host that its own pool does not need, or, if the pool lacks hosts
// for its demand, an idle host that its own pool keeps only for a peak that is not about to start.
func (d *draft) findHost(x *Pool) (Move, bool) {
	if len(d.spare) > 0 {
		return Move{Host: popFirst(&d.spare), From: d.Spare, To: x.Service, Reason: "demand"}, true
	}
	for i := range d.list {
		o := &d.list[i]
		if !d.canLend(o, x) || o.Have+o.Incoming <= d.want[o.Service] {
			continue
		}
		o.Have--
		return Move{Host: popFirst(&o.Idle), From: o.Service, To: x.Service, Reason: "demand"}, true
	}
	if d.surplus(x) >= 0 {
		// Pools that only keep hosts after a peak would otherwise exchange them.
		return Move{}, false
	}
	for i := range d.list {
		o := &d.list[i]
		if !d.canLend(o, x) || o.Have+o.Incoming <= d.retained(d.now, o) {
			continue
		}
		o.Have--
		d.want[o.Service]--
		return Move{Host: popFirst(&o.Idle), From: o.Service, To: x.Service, Reason: "lent"}, true
	}
	return Move{}, false
}

// canLend reports whether a pool has an idle host for another pool.
func (d *draft) canLend(from, to *Pool) bool {
	return from.Service != to.Service && from.Known && !d.keepsHosts(d.now, from) && len(from.Idle) > 0
}

// keepsHosts reports whether a pool keeps all its hosts because its owner is new, so that its demand may be reported too low, and
// the peak of its service is not expected to be over. After a
// restart of all daemons all owners are new; the other pools lend hosts as usual then.
func (p *Planner) keepsHosts(now time.Time, x *Pool) bool {
	return x.Young && p.forecast.Peaking(now, x.Service)
}

// retained is the number of hosts that a pool keeps while another pool lacks hosts: all of them if its peak is about to
// start, otherwise those that it needs, but at least half of its initial hosts.
func (p *Planner) retained(now time.Time, o *Pool) int {
	if _, ok := p.forecast.ExpectedDemand(now, o.Service); ok {
		return o.Have + o.Incoming
	}
	return max(p.demandedHosts(now, o), (p.historyOf(now, o).initial+1)/2)
}

func popFirst(list *[]string) string {
	first := (*list)[0]
	*list = (*list)[1:]
	return first
}

// wantedHosts is the number of hosts that a pool should have for work that can be on time. A pool whose demand is unknown
// is left unchanged, and one whose owner is new does not shrink during its peak.
func (p *Planner) wantedHosts(now time.Time, x *Pool) int {
	if !x.Known || x.Cores <= 0 {
		return x.Have + x.Incoming
	}
	h := p.historyOf(now, x)
	hosts := p.demandedHosts(now, x)
	if x.Objective < longObjective && !p.forecast.HasPeaked(x.Service) {
		// Until the first peak of a service with a short objective, its pool keeps its initial hosts, except for those that
		// have been lent meanwhile.
		hosts = max(hosts, min(h.initial, x.Have+x.Incoming))
	}
	if p.keepsHosts(now, x) {
		hosts = max(hosts, x.Have+x.Incoming)
	}
	if hosts >= h.needed || now.Sub(h.neededAt) > retentionTime {
		h.needed, h.neededAt = hosts, now
	}
	return max(hosts, h.needed)
}

// demandedHosts is the number of hosts that a pool needs for its present and expected demand.
func (p *Planner) demandedHosts(now time.Time, x *Pool) int {
	cores := max(x.Backlog*backlogFactor, x.Rate*p.rateFactor(now, x), x.Active)
	if x.Objective < longObjective {
		if expected, ok := p.forecast.ExpectedDemand(now, x.Service); ok {
			cores = max(cores, expected*risingRateFactor)
		}
		if rising, ok := p.forecast.RisingDemand(now, x.Service); ok {
			cores = max(cores, rising*risingRateFactor)
		}
	}
	hosts := int(math.Ceil((cores/maxUtilization + x.LongRunning) / x.Cores))
	return max(hosts, x.Pinned, min(x.Spread, p.historyOf(now, x).initial), minHosts)
}

// rateFactor returns the factor on Pool.Rate, depending on whether the demand may rise further.
func (p *Planner) rateFactor(now time.Time, x *Pool) float64 {
	if p.forecast.MayRise(now, x.Service) {
		return risingRateFactor
	}
	return steadyRateFactor
}

// historyOf returns the history of a pool, and creates it if there is none.
func (p *Planner) historyOf(now time.Time, x *Pool) *poolHistory {
	h := p.history[x.Service]
	if h == nil {
		h = &poolHistory{needed: x.Have, neededAt: now, initial: x.Have}
		p.history[x.Service] = h
	}
	if x.Objective == 0 {
		// Until the pool gets work, hosts that are still starting count as initial hosts.
		h.initial = max(h.initial, x.Have)
	}
	return h
}
