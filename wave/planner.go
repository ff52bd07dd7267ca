package wave

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// Time limits of the planner.
const (
	// Probation is how long a host must be healthy without interruption before it receives work.
	Probation = 10 * time.Second
	// GoneTimeout is how long a host must be listed as gone before it counts as failed, since the platform's list lags
	// and flaps.
	GoneTimeout = 10 * time.Second
	// RepairAfter is how long a broken host may take to recover by itself, as after the failure of a switch, before it is
	// replaced.
	RepairAfter = 10 * time.Minute
	// ReplaceTimeout bounds a replacement.
	ReplaceTimeout = 30 * time.Minute
	// DrainTimeout bounds a drain for which no wave sets a limit.
	DrainTimeout = 5 * time.Minute
	// SettleTime is how long a shortage, or its end, must last before a spare host moves because of it, and how long a
	// loss must be over before a paused wave continues. It is longer than bursts, which last seconds.
	SettleTime = 2 * time.Minute
)

// repairShare is the largest fraction of a data centre's hosts that may be in replacement at once, but at least two
// hosts may be: when more fail, the cause is seldom in the hosts.
const repairShare = 0.02

// status is the planner's record of a host.
type status struct {
	name           string
	host           cuminstair.Host // entry of the fleet file; Pool is empty if there is none
	row            Host
	hasRow         bool // the host has a row
	stateSince     time.Time
	healthy        bool
	healthySince   time.Time // when healthy last changed, on this planner's clock
	listed         string    // state in the platform's list
	changed        int64     // HostStatus.Changed in ns
	listedAt       time.Time // when listed last changed
	idle           bool      // every live daemon has confirmed that the host is idle
	acceptedAction string    // id of the last action that the platform accepted
	quarantineWhy  string    // why the host is to be quarantined; empty if it is not
	order          Order
	orderAt        uint64
	planned        bool   // the running Decide has planned a transition of the host
	plannedPool    string // if the planned transition begins a move: the pool that the host is to join
}

func (s *status) active() bool { return s.hasRow && s.row.State == cuminstair.HostActive }

// Planner plans one data centre. It is not safe for concurrent use.
type Planner struct {
	Centre  string
	Budgets *budget.Budgets

	spare         string
	pools         []string // names of all pools, sorted
	hosts         map[string]*status
	worklist      map[string]*status         // hosts of this data centre that Decide has to examine
	declared      map[string]cuminstair.Wave // waves of the fleet file by name
	waveNames     []string                   // waves in the order of the fleet file
	runs          map[string]*run
	racks         map[string]*rackLoss
	homes         map[poolRack]int     // number of hosts that the fleet file puts in a pool and rack
	hostCount     int                  // hosts of this data centre in the fleet file
	poolHosts     map[string]int       // by pool: hosts of all data centres in the fleet file
	noRows        bool                 // no host of this data centre has a row
	frozen        string               // why planned work is stopped; empty if it is not
	shortSince    map[string]time.Time // by pool: since when unplanned loss leaves it short of instances
	enoughSince   map[string]time.Time // by pool: since when it is not short, even without lent hosts
	stuckSince    map[string]time.Time // by pool: since when waves can't take its hosts despite lent hosts
	lossFreeSince time.Time            // since when no wave has to wait for repairs
	plan          Plan
	planned       []*status       // hosts with a transition in plan; Decide restores their accounts at its end
	dequeued      []*status       // removed from queues by the last Decide
	blocked       map[string]int  // by pool: hosts for which the budget had no room in the running Decide
	lendsTo       map[string]bool // pools that spare hosts are lent to or are on their way to, in the running Decide
	repairing     int             // replacements planned by the running Decide
}

// rackLoss counts the hosts of a rack that are out of service through unplanned loss.
type rackLoss struct {
	hosts int
	lost  int
	gone  int // listed as gone, including hosts that reboot, but not those in replacement
}

// down reports whether the whole rack seems to be lost: either at least two hosts and at least half of the rack are
// lost, or all hosts are listed as gone and at least one of them was not in planned work. The second case covers a rack
// that is lost while most of its hosts reboot.
func (r *rackLoss) down() bool {
	return r.lost >= 2 && 2*r.lost >= r.hosts || r.hosts >= 2 && r.gone == r.hosts && r.lost >= 1
}

// New returns a planner for the data centre. SetFleet must be called before Decide.
func New(centre string) *Planner {
	return &Planner{
		Centre: centre, hosts: map[string]*status{}, worklist: map[string]*status{}, runs: map[string]*run{},
		shortSince: map[string]time.Time{}, enoughSince: map[string]time.Time{}, blocked: map[string]int{},
		stuckSince: map[string]time.Time{},
	}
}

// SetFleet replaces the fleet file. It visits all hosts.
func (p *Planner) SetFleet(now time.Time, f *cuminstair.Fleet) {
	p.Budgets = budget.New(f.Services)
	p.racks, p.homes = map[string]*rackLoss{}, map[poolRack]int{}
	p.spare, p.pools, p.waveNames, p.hostCount, p.poolHosts = "", nil, nil, 0, map[string]int{}
	for _, pool := range f.Pools {
		p.pools = append(p.pools, pool.Name)
		if pool.Spare {
			p.spare = pool.Name
		}
	}
	slices.Sort(p.pools)
	for _, s := range p.hosts {
		s.host.Pool = ""
	}
	for i := range f.Hosts {
		s := p.status(now, f.Hosts[i].Name)
		s.host = f.Hosts[i]
		p.poolHosts[s.host.Pool]++
		if s.host.Centre == p.Centre {
			p.hostCount++
			p.rack(s).hosts++
			p.homes[poolRack{s.host.Pool, s.host.Rack}]++
		}
	}
	p.declared = map[string]cuminstair.Wave{}
	for _, w := range f.Waves {
		p.declared[w.Name] = w
		p.waveNames = append(p.waveNames, w.Name)
	}
	p.recount()
}

// recount rebuilds the runs of all waves and all counts from the known hosts.
func (p *Planner) recount() {
	runs := p.runs
	p.runs = map[string]*run{}
	for _, name := range p.waveNames {
		r := newRun(p.declared[name], runs[name])
		for _, pool := range r.wave.Pools {
			r.hostsInFleet += p.poolHosts[pool]
		}
		p.runs[name] = r
	}
	for _, s := range p.sorted() {
		p.add(s, 1)
	}
}

// sorted returns all hosts by rack and name, so that waves take hosts of one rack together: hosts that are already out
// of service can't be lost as well if their rack fails.
func (p *Planner) sorted() []*status {
	all := make([]*status, 0, len(p.hosts))
	for _, s := range p.hosts {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *status) int {
		if a.host.Rack != b.host.Rack {
			return compare(a.host.Rack, b.host.Rack)
		}
		return compare(a.name, b.name)
	})
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (p *Planner) status(now time.Time, name string) *status {
	s, ok := p.hosts[name]
	if !ok {
		s = &status{name: name, healthy: true, healthySince: now, stateSince: now, listedAt: now}
		p.hosts[name] = s
	}
	return s
}

func (p *Planner) inCentre(s *status) bool { return s.host.Centre == p.Centre }

func (p *Planner) rack(s *status) *rackLoss {
	r, ok := p.racks[s.host.Rack]
	if !ok {
		r = &rackLoss{}
		p.racks[s.host.Rack] = r
	}
	return r
}

// SetHost records the committed row of a host.
func (p *Planner) SetHost(now time.Time, centre, name string, row Host) {
	s := p.status(now, name)
	if s.host.Name == "" {
		s.host = cuminstair.Host{Name: name, Centre: centre}
	}
	p.update(s, func() {
		if !s.hasRow || s.row.State != row.State || s.row.ActionID != row.ActionID {
			s.stateSince = now
			s.idle = false
			s.quarantineWhy = ""
		}
		s.row, s.hasRow = row, true
	})
}

// RemoveHost records that the row of a host was deleted.
func (p *Planner) RemoveHost(now time.Time, name string) {
	s, ok := p.hosts[name]
	if !ok {
		return
	}
	p.update(s, func() { s.row, s.hasRow, s.stateSince = Host{}, false, now })
	if s.host.Pool == "" {
		p.Budgets.Remove(name)
		delete(p.hosts, name)
		delete(p.worklist, name)
	}
}

// SetHealthy records the result of the health checks of a host.
func (p *Planner) SetHealthy(now time.Time, name string, healthy bool) {
	s, ok := p.hosts[name]
	if !ok || s.healthy == healthy {
		return
	}
	p.update(s, func() { s.healthy, s.healthySince = healthy, now })
}

// SetListed records the state of a host in the platform's list.
func (p *Planner) SetListed(now time.Time, h cuminstair.HostStatus) {
	s, ok := p.hosts[h.Name]
	if !ok || s.listed == h.State && s.changed == h.Changed.UnixNano() {
		return
	}
	p.update(s, func() {
		if s.listed != h.State {
			s.listedAt = now
		}
		s.listed, s.changed = h.State, h.Changed.UnixNano()
	})
}

// SetIdle records whether every live daemon has confirmed that the host is idle.
func (p *Planner) SetIdle(name string, idle bool) {
	if s, ok := p.hosts[name]; ok {
		s.idle = idle
	}
}

// SetActionAccepted records that the platform accepted the action with this id.
func (p *Planner) SetActionAccepted(name, id string) {
	if s, ok := p.hosts[name]; ok {
		s.acceptedAction = id
	}
}

// SetHostOrder records an operator's order for a host.
func (p *Planner) SetHostOrder(name string, o Order, version uint64) {
	if s, ok := p.hosts[name]; ok {
		p.update(s, func() { s.order, s.orderAt = o, version })
	}
}

// Quarantine requests that a host be taken out of service because jobs fail on it. Decide does so once the budget has
// room.
func (p *Planner) Quarantine(name, why string) {
	if s, ok := p.hosts[name]; ok {
		p.update(s, func() { s.quarantineWhy = why })
	}
}

// Freeze stops all planned work for the given reason, or resumes it if the reason is empty.
func (p *Planner) Freeze(reason string) { p.frozen = reason }

// update changes a host and adjusts all counts.
func (p *Planner) update(s *status, change func()) {
	if p.Budgets == nil {
		change()
		return
	}
	p.add(s, -1)
	change()
	p.add(s, 1)
}

// add adds a host to all counts (n is 1) or removes it from them (n is -1).
func (p *Planner) add(s *status, n int) {
	if n > 0 {
		p.Budgets.Set(s.name, s.account())
	}
	if r, ok := p.runs[s.row.Wave]; ok && s.hasRow {
		r.count(s, n, p.inCentre(s))
	}
	if !p.inCentre(s) {
		return
	}
	if s.unplannedLoss() {
		p.rack(s).lost += n
	}
	if s.listedGone() {
		p.rack(s).gone += n
	}
	if n < 0 {
		return
	}
	if s.needsAttention(p) {
		p.worklist[s.name] = s
	} else {
		delete(p.worklist, s.name)
	}
	for _, r := range p.runs {
		r.enqueue(s)
	}
}

// account returns the host in the form that package budget counts. A host without a row counts as in probation.
func (s *status) account() budget.Host {
	h := budget.Host{
		Centre: s.host.Centre, Rack: s.host.Rack, Home: s.host.Pool,
		Pool: s.row.Pool, State: s.row.State, Healthy: s.healthy && s.listed != listGone,
	}
	if !s.hasRow {
		h.Pool, h.State = s.host.Pool, cuminstair.HostProbation
	}
	return h
}

// unplannedLoss reports whether the host is out of service without being in planned work. A host that its
// wave counts as late is excluded.
func (s *status) unplannedLoss() bool {
	if !s.hasRow || s.row.Late > 0 && s.row.Goal == GoalWave {
		return false
	}
	switch s.row.State {
	case cuminstair.HostFailed:
		return true
	case cuminstair.HostActive:
		return !s.healthy || s.listed == listGone
	default:
		return false
	}
}

// listedGone reports whether the platform lists the host as gone. Hosts in replacement are excluded, since they are
// listed as gone as well.
func (s *status) listedGone() bool {
	return s.hasRow && s.listed == listGone && (s.row.State != cuminstair.HostRebooting || s.row.Action != string(cuminstair.ActionReplace))
}

// needsAttention reports whether Decide has to examine the host.
func (s *status) needsAttention(p *Planner) bool {
	return !s.active() || !s.healthy || s.listed == listGone || s.row.Pool != s.host.Pool ||
		s.orderAt > s.row.Order || s.quarantineWhy != "" || (s.host.Pool == p.spare && s.host.Pool != "")
}

const (
	listLive = "live"
	listGone = "gone"
)
