// Package budget defines when instances of a service are available and counts them; all other packages use this
// definition.
//
// A service declares one instance on each host that the fleet file puts in its pool. A declared instance is
// unavailable while its host is not in the pool, is in any state other than active, or is unhealthy; an instance to
// which several of these apply counts once. An extra instance is an available one on a host that the fleet file puts in
// another pool, such as a lent spare host; it offsets one unavailable instance.
//
// In each data centre and over the fleet, the unavailable instances less the extra ones must not exceed the allowed
// number: the budget's share of the declared instances, rounded down. A reserve is kept for the loss of one more rack: as
// many instances as are available in the rack that holds most of them. Planned work may use the room that remains.
package budget

import (
	"fmt"
	"math"
	"slices"

	"cuminstair.org/cuminstair"
)

// Fleet stands for the whole fleet where a function expects the name of a data centre.
const Fleet = ""

// Account is the availability of one service in one scope.
type Account struct {
	Service     string `json:"service"`
	Centre      string `json:"centre,omitempty"` // empty: the whole fleet
	Declared    int    `json:"declared"`
	Unavailable int    `json:"unavailable"` // declared instances that are unavailable
	Planned     int    `json:"planned"`     // unavailable instances whose host is in planned work or in another pool
	Extra       int    `json:"extra"`       // available instances beyond the declared ones
	Allowed     int    `json:"allowed"`     // unavailable instances that the budget permits
	Reserve     int    `json:"reserve"`     // available instances in the rack that holds the most
}

// Net returns the unavailable instances less the extra ones; it may be negative.
func (a Account) Net() int { return a.Unavailable - a.Extra }

// Within reports whether the service is within its budget.
func (a Account) Within() bool { return a.Net() <= a.Allowed }

// Room returns how many instances planned work may take out of service; negative when part of the reserve is used.
func (a Account) Room() int { return a.Allowed - a.Net() - a.Reserve }

// String describes the account for operators.
func (a Account) String() string {
	scope := "the fleet"
	if a.Centre != Fleet {
		scope = a.Centre
	}
	return fmt.Sprintf("%s in %s: %d of %d instances unavailable (%d of them planned), %d extra, %d allowed, "+
		"%d reserved for the loss of a rack, room for %d",
		a.Service, scope, a.Unavailable, a.Declared, a.Planned, a.Extra, a.Allowed, a.Reserve, a.Room())
}

// Allowed returns how many of n instances may be unavailable.
func Allowed(b cuminstair.Budget, n int) int {
	// Decimal fractions are not exact in binary: 0.29 * 100 is below 29.
	const rounding = 1e-9
	return int(math.Floor(b.Down*float64(n) + rounding))
}

// Planned reports whether a host in this state was taken out of service by planned work.
func Planned(s cuminstair.HostState) bool {
	switch s {
	case cuminstair.HostLeaving, cuminstair.HostDrained, cuminstair.HostRebooting, cuminstair.HostMoving, cuminstair.HostProbation:
		return true
	default:
		return false
	}
}

// Host is the state of a host as far as the accounts depend on it.
type Host struct {
	Centre  string
	Rack    string
	Home    string // pool in the fleet file; empty if the file no longer lists the host
	Pool    string // pool in the host's row
	State   cuminstair.HostState
	Healthy bool
}

// Available reports whether instances on the host count as available in its pool.
func (h Host) Available() bool { return h.State == cuminstair.HostActive && h.Healthy }

// scope holds the counts of the instances of one service in one data centre or over the fleet.
type scope struct {
	declared    int
	unavailable int
	planned     int
	extra       int
	racks       map[rack]int // available instances in each rack
	racksBySize []int        // racksBySize[n]: number of racks with n available instances
	largestRack int          // largest n with racksBySize[n] > 0
}

type rack struct{ centre, name string }

type service struct {
	name   string
	budget cuminstair.Budget
	scopes map[string]*scope // by data centre; Fleet for the whole fleet
}

// Budgets keeps the accounts of all services up to date, one host at a time. A change of one host costs a constant
// number of steps for each service of its pools. It is not safe for concurrent use.
type Budgets struct {
	services map[string]*service
	byPool   map[string][]*service
	hosts    map[string]Host
	// Updates counts updates of scopes, for tests of the cost of a change.
	Updates int
}

// New returns the accounts of the fleet's services, with no hosts yet.
func New(services []cuminstair.Service) *Budgets {
	b := &Budgets{services: map[string]*service{}, byPool: map[string][]*service{}, hosts: map[string]Host{}}
	for _, s := range services {
		v := &service{name: s.Name, budget: s.Budget, scopes: map[string]*scope{}}
		b.services[s.Name] = v
		b.byPool[s.Pool] = append(b.byPool[s.Pool], v)
	}
	return b
}

// Host returns the last state that was set for a host.
func (b *Budgets) Host(name string) (Host, bool) {
	h, ok := b.hosts[name]
	return h, ok
}

// Set adds or replaces a host.
func (b *Budgets) Set(name string, h Host) {
	old, ok := b.hosts[name]
	if ok && old == h {
		return
	}
	if ok {
		b.count(old, -1)
	}
	b.hosts[name] = h
	b.count(h, 1)
}

// Remove removes a host from all accounts.
func (b *Budgets) Remove(name string) {
	if old, ok := b.hosts[name]; ok {
		b.count(old, -1)
		delete(b.hosts, name)
	}
}

func (b *Budgets) count(h Host, n int) {
	for _, s := range b.byPool[h.Home] {
		for _, c := range []string{h.Centre, Fleet} {
			b.Updates++
			s.scope(c).countDeclared(h, n)
		}
	}
	if !h.Available() {
		return
	}
	for _, s := range b.byPool[h.Pool] {
		for _, c := range []string{h.Centre, Fleet} {
			b.Updates++
			s.scope(c).countAvailable(h, n)
		}
	}
}

func (s *service) scope(centre string) *scope {
	c, ok := s.scopes[centre]
	if !ok {
		c = &scope{racks: map[rack]int{}, racksBySize: []int{0}}
		s.scopes[centre] = c
	}
	return c
}

// countDeclared adds n to the counts of declared instances for host h.
func (c *scope) countDeclared(h Host, n int) {
	c.declared += n
	if h.Pool == h.Home && h.Available() {
		return
	}
	c.unavailable += n
	if Planned(h.State) || h.Pool != h.Home {
		c.planned += n
	}
}

// countAvailable adds n to the counts of available instances for host h.
func (c *scope) countAvailable(h Host, n int) {
	if h.Pool != h.Home {
		c.extra += n
	}
	key := rack{centre: h.Centre, name: h.Rack}
	old := c.racks[key]
	c.racks[key] = old + n
	if old+n == 0 {
		delete(c.racks, key)
	}
	if old > 0 {
		c.racksBySize[old]--
	}
	if old+n > 0 {
		c.growSizes(old + n)
		c.racksBySize[old+n]++
		c.largestRack = max(c.largestRack, old+n)
	}
	for c.largestRack > 0 && c.racksBySize[c.largestRack] == 0 {
		c.largestRack--
	}
}

func (c *scope) growSizes(n int) {
	for len(c.racksBySize) <= n {
		c.racksBySize = append(c.racksBySize, 0)
	}
}

// Account returns the account of a service in a data centre, or over the fleet if centre is Fleet.
func (b *Budgets) Account(name, centre string) Account {
	a := Account{Service: name, Centre: centre}
	s, ok := b.services[name]
	if !ok {
		return a
	}
	c, ok := s.scopes[centre]
	if !ok {
		return a
	}
	a.Declared, a.Unavailable, a.Planned, a.Extra = c.declared, c.unavailable, c.planned, c.extra
	a.Allowed = Allowed(s.budget, c.declared)
	a.Reserve = c.largestRack
	return a
}

// Tightest returns the account with the least room among the services of a pool, in a data centre and over the fleet.
// ok is false if the pool has no services, so that its hosts need no budget.
func (b *Budgets) Tightest(pool, centre string) (tightest Account, ok bool) {
	for _, s := range b.byPool[pool] {
		for _, c := range []string{centre, Fleet} {
			a := b.Account(s.name, c)
			if !ok || a.Room() < tightest.Room() {
				tightest, ok = a, true
			}
		}
	}
	return tightest, ok
}

// MayTake reports whether planned work may make the host unavailable: whether room is left afterwards for the reserve
// that is needed then. Taking a host that is already unavailable uses no further budget, and a host that provides extra
// instances may be taken while no declared instance is unavailable, since the budget covers declared instances only.
// limiting is an account that has no room if ok is false, else the tightest one; it is zero for an unknown host and for a
// pool without services.
func (b *Budgets) MayTake(name string) (limiting Account, ok bool) {
	h, known := b.hosts[name]
	if !known {
		return Account{}, false
	}
	tightest, limited := b.Tightest(h.Pool, h.Centre)
	if !limited || !h.Available() || tightest.Room() >= 1 {
		return tightest, true
	}
	for _, s := range b.byPool[h.Pool] {
		for _, c := range []string{h.Centre, Fleet} {
			a := b.Account(s.name, c)
			if h.Pool != h.Home && a.Unavailable == 0 {
				continue
			}
			if a.Room()+s.scopes[c].reserveDrop(h) < 1 {
				return a, false
			}
		}
	}
	return tightest, true
}

// reserveDrop returns by how much the reserve falls if the available host h becomes unavailable: by 1 if no other rack
// holds as many available instances as its rack, else by 0.
func (c *scope) reserveDrop(h Host) int {
	n := c.racks[rack{centre: h.Centre, name: h.Rack}]
	if n == c.largestRack && c.racksBySize[n] == 1 {
		return 1
	}
	return 0
}

// Buffer holds the number of spare hosts in one data centre and the number that is needed.
type Buffer struct {
	Idle   int // hosts that the fleet file puts in pools without a service, including those that are lent
	Needed int // smallest number that lets planned work take one host of each pool in turn within the budget
}

// Buffer returns the numbers of spare and of needed hosts in a data centre. It visits all hosts.
func (b *Budgets) Buffer(centre string) Buffer {
	var f Buffer
	for _, h := range b.hosts {
		if h.Centre == centre && len(b.byPool[h.Home]) == 0 {
			f.Idle++
		}
	}
	for _, s := range b.services {
		c, ok := s.scopes[centre]
		if ok && c.declared > 0 {
			f.Needed = max(f.Needed, 1+c.largestRack-Allowed(s.budget, c.declared))
		}
	}
	return f
}

// Services returns the sorted names of all services.
func (b *Budgets) Services() []string {
	names := make([]string, 0, len(b.services))
	for name := range b.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// PoolServices returns the names of the services of a pool.
func (b *Budgets) PoolServices(pool string) []string {
	var names []string
	for _, s := range b.byPool[pool] {
		names = append(names, s.name)
	}
	return names
}
