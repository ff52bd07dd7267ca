package wave

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// Times of the planner.
const (
	// Probation is how long a host is healthy without a break before it takes work.
	Probation = 10 * time.Second
	// LoseAfter is how long a host is listed as gone before it counts as failed; the list lags and flaps.
	LoseAfter = 10 * time.Second
	// RepairAfter is how long a broken host has to recover by itself, as after the loss of a switch.
	RepairAfter = 10 * time.Minute
	// RepairBack bounds a replacement.
	RepairBack = 30 * time.Minute
	// DrainLimit bounds a drain that no wave bounds.
	DrainLimit = 5 * time.Minute
	// Settle is how long a shortage, or its end, lasts before a spare host moves because of it, and how long a loss is
	// over before a paused wave goes on. Bursts of seconds never last that long.
	Settle = 2 * time.Minute
)

// repairShare bounds the replacements at once to this fraction of a data centre's hosts: when more fail, the cause is
// seldom in the hosts.
const repairShare = 0.02

// status is what a planner knows about a host.
type status struct {
	name     string
	host     cuminstair.Host // the fleet file's entry; Pool empty if it has none
	row      Host
	has      bool // it has a row
	entered  time.Time
	healthy  bool
	since    time.Time // when healthy last changed
	listed   string    // state in the platform's list
	changed  int64     // HostStatus.Changed in ns
	listedAt time.Time // when listed last changed
	idle     bool      // confirmed by every live daemon
	acted    string    // id of the action that the platform accepted
	suspect  string    // why it is to be quarantined
	order    Order
	orderAt  uint64
	taken    bool // decided in the running Decide
}

func (s *status) active() bool { return s.has && s.row.State == cuminstair.HostActive }

// Planner plans one data centre. It is not safe for concurrent use.
type Planner struct {
	Centre  string
	Budgets *budget.Budgets

	spare     string
	pools     []string // names of all pools in order
	hosts     map[string]*status
	out       map[string]*status // own hosts that need attention
	declare   map[string]cuminstair.Wave
	names     []string // waves in the order of the fleet file
	runs      map[string]*run
	racks     map[string]*rackLoss
	homes     map[place]int // hosts that the fleet file puts into a pool and rack
	own       int           // hosts of this data centre
	first     bool          // no host of this data centre has a row
	frozen    string
	short     map[string]time.Time // pool: since when it is short of instances
	enough    map[string]time.Time // pool: since when it is not
	stuck     map[string]time.Time // pool: since when it can't go on with what it was lent
	calm      time.Time            // since when there is no loss
	plan      Plan
	undo      []*status
	popped    []*status      // taken from a queue by the last Decide
	blocked   map[string]int // pool: hosts that the budget did not let go in the running Decide
	repairing int            // replacements in the running Decide
}

// rackLoss counts the hosts of a rack that were lost without plan.
type rackLoss struct {
	hosts int
	lost  int
	gone  int // listed as gone, with the hosts that reboot
}

// down tells whether the loss looks like that of the rack: at least two hosts and half of it, or all of it with one
// host that planned work had not touched. The second case is a rack that is lost while most of it reboots.
func (r *rackLoss) down() bool {
	return r.lost >= 2 && 2*r.lost >= r.hosts || r.hosts >= 2 && r.gone == r.hosts && r.lost >= 1
}

// New returns a planner for the data centre. SetFleet must be called before Decide.
func New(centre string) *Planner {
	return &Planner{
		Centre: centre, hosts: map[string]*status{}, out: map[string]*status{}, runs: map[string]*run{},
		short: map[string]time.Time{}, enough: map[string]time.Time{}, blocked: map[string]int{}, stuck: map[string]time.Time{},
	}
}

// SetFleet replaces the fleet file. It visits all hosts.
func (p *Planner) SetFleet(now time.Time, f *cuminstair.Fleet) {
	p.Budgets = budget.New(f.Services)
	p.racks, p.homes = map[string]*rackLoss{}, map[place]int{}
	p.spare, p.pools, p.names, p.own = "", nil, nil, 0
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
		if s.host.Centre == p.Centre {
			p.own++
			p.rack(s).hosts++
			p.homes[place{s.host.Pool, s.host.Rack}]++
		}
	}
	p.declare = map[string]cuminstair.Wave{}
	for _, w := range f.Waves {
		p.declare[w.Name] = w
		p.names = append(p.names, w.Name)
	}
	p.rebuild()
}

// rebuild counts everything anew.
func (p *Planner) rebuild() {
	runs := p.runs
	p.runs = map[string]*run{}
	for _, name := range p.names {
		p.runs[name] = newRun(p.declare[name], runs[name])
	}
	for _, s := range p.sorted() {
		p.add(s, 1)
	}
}

// sorted returns all hosts by rack and name, so that hosts of one rack are taken together: a rack that is out of
// service already can't be lost on top.
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
		s = &status{name: name, healthy: true, since: now, entered: now, listedAt: now}
		p.hosts[name] = s
	}
	return s
}

func (p *Planner) mine(s *status) bool { return s.host.Centre == p.Centre }

func (p *Planner) rack(s *status) *rackLoss {
	r, ok := p.racks[s.host.Rack]
	if !ok {
		r = &rackLoss{}
		p.racks[s.host.Rack] = r
	}
	return r
}

// SetHost takes a host row as it is in the table.
func (p *Planner) SetHost(now time.Time, centre, name string, row Host) {
	s := p.status(now, name)
	if s.host.Name == "" {
		s.host = cuminstair.Host{Name: name, Centre: centre}
	}
	p.update(s, func() {
		if !s.has || s.row.State != row.State || s.row.Act != row.Act {
			s.entered = now
			s.idle = false
			s.suspect = ""
		}
		s.row, s.has = row, true
	})
}

// RemoveHost forgets the row of a host.
func (p *Planner) RemoveHost(now time.Time, name string) {
	s, ok := p.hosts[name]
	if !ok {
		return
	}
	p.update(s, func() { s.row, s.has, s.entered = Host{}, false, now })
	if s.host.Pool == "" {
		p.Budgets.Remove(name)
		delete(p.hosts, name)
		delete(p.out, name)
	}
}

// SetHealthy takes the health of a host as the checks see it.
func (p *Planner) SetHealthy(now time.Time, name string, healthy bool) {
	s, ok := p.hosts[name]
	if !ok || s.healthy == healthy {
		return
	}
	p.update(s, func() { s.healthy, s.since = healthy, now })
}

// SetListed takes the state of a host in the platform's list.
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

// SetIdle records that every live daemon confirmed, or did not, that it sends nothing to the host.
func (p *Planner) SetIdle(name string, idle bool) {
	if s, ok := p.hosts[name]; ok {
		s.idle = idle
	}
}

// SetActed records that the platform accepted the action with this id.
func (p *Planner) SetActed(name, id string) {
	if s, ok := p.hosts[name]; ok {
		s.acted = id
	}
}

// SetHostOrder takes an operator's order for a host.
func (p *Planner) SetHostOrder(name string, o Order, version uint64) {
	if s, ok := p.hosts[name]; ok {
		p.update(s, func() { s.order, s.orderAt = o, version })
	}
}

// Quarantine asks for a host to be taken out of service because jobs fail on it. It goes when the budget has room.
func (p *Planner) Quarantine(name, why string) {
	if s, ok := p.hosts[name]; ok {
		p.update(s, func() { s.suspect = why })
	}
}

// Freeze stops all planned work for a reason, or lets it go on if the reason is empty.
func (p *Planner) Freeze(reason string) { p.frozen = reason }

// update changes a host and keeps all counts in step.
func (p *Planner) update(s *status, change func()) {
	if p.Budgets == nil {
		change()
		return
	}
	p.add(s, -1)
	change()
	p.add(s, 1)
}

// add counts a host (n 1) or takes it out of the counts (n -1).
func (p *Planner) add(s *status, n int) {
	if n > 0 {
		p.Budgets.Set(s.name, s.account())
	}
	if r, ok := p.runs[s.row.Wave]; ok && s.has {
		r.count(s, n, p.mine(s))
	}
	if !p.mine(s) {
		return
	}
	if s.lost() {
		p.rack(s).lost += n
	}
	if s.vanished() {
		p.rack(s).gone += n
	}
	if n < 0 {
		return
	}
	if s.attention(p) {
		p.out[s.name] = s
	} else {
		delete(p.out, s.name)
	}
	for _, r := range p.runs {
		r.offer(s)
	}
}

// account is the host as the budget sees it.
func (s *status) account() budget.Host {
	h := budget.Host{
		Centre: s.host.Centre, Rack: s.host.Rack, Home: s.host.Pool,
		Pool: s.row.Pool, State: s.row.State, Healthy: s.healthy && s.listed != listGone,
	}
	if !s.has {
		h.Pool, h.State = s.host.Pool, cuminstair.HostProbation
	}
	return h
}

// lost tells whether the host is out of service without plan.
func (s *status) lost() bool {
	if !s.has || s.row.Late > 0 && s.row.Goal == GoalWave {
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

// vanished tells whether the list shows the host as gone. A replacement shows it so as well.
func (s *status) vanished() bool {
	return s.has && s.listed == listGone && (s.row.State != cuminstair.HostRebooting || s.row.Verb != string(cuminstair.ActionReplace))
}

// attention tells whether Decide has to look at the host.
func (s *status) attention(p *Planner) bool {
	return !s.active() || !s.healthy || s.listed == listGone || s.row.Pool != s.host.Pool ||
		s.orderAt > s.row.Order || s.suspect != "" || (s.host.Pool == p.spare && s.host.Pool != "")
}

const (
	listLive = "live"
	listGone = "gone"
)
