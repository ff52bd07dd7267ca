package wave_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/wave"
)

const (
	drain  = 30 * time.Second // requests in flight finish
	reboot = 4 * time.Minute
	lag    = 15 * time.Second // of the platform's list
)

var start = time.Unix(1000, 0)

// machine is a host as it really is.
type machine struct {
	centre, rack string
	row          wave.Host
	left         time.Time // when it left service
	until        time.Time // end of the action
	broken       bool      // does not come back
	dead         bool      // lost without plan
	act          string
}

// world is a fleet in virtual time with one planner for each data centre. Writes take effect at once.
type world struct {
	is       *is.I
	now      time.Time
	tick     time.Duration
	fleet    *cuminstair.Fleet
	planners map[string]*wave.Planner
	names    []string
	hosts    map[string]*machine
	homes    map[string]string // pool in the fleet file
	busy     map[string]bool   // hosts that are not simply active
	waves    map[string]wave.Wave
	truth    *budget.Budgets
	rand     *rand.Rand
	frozen   string
	moves    int
	spares   time.Duration // time that lent hosts spent in pools
	writes   int
	steps    int
	history  []string
	ended    map[string]time.Duration // data centre: when its wave was done
	refused  int                      // takes that were applied without room
}

func newWorld(t *testing.T, f *cuminstair.Fleet) *world {
	w := &world{
		is: is.New(t), now: start, tick: time.Second, fleet: f, planners: map[string]*wave.Planner{}, hosts: map[string]*machine{},
		busy: map[string]bool{}, waves: map[string]wave.Wave{}, truth: budget.New(f.Services), rand: rand.New(rand.NewPCG(1, 1)),
		ended: map[string]time.Duration{}, homes: map[string]string{},
	}
	for _, c := range f.Centres {
		w.names = append(w.names, c.Name)
		w.restart(c.Name)
	}
	for _, h := range f.Hosts {
		w.hosts[h.Name] = &machine{centre: h.Centre, rack: h.Rack}
		w.homes[h.Name] = h.Pool
		w.put(h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
	}
	return w
}

// restart replaces the planner of a data centre by one that knows only the rows.
func (w *world) restart(centre string) {
	p := wave.New(centre)
	p.SetFleet(w.now, w.fleet)
	for name, m := range w.hosts {
		p.SetHost(w.now, m.centre, name, m.row)
	}
	for key, row := range w.waves {
		var name, c string
		_, err := fmt.Sscanf(key, "%s %s", &name, &c)
		w.is.NoErr(err)
		if c == centre {
			p.SetWave(name, row)
		}
	}
	w.planners[centre] = p
}

func (w *world) put(name string, row wave.Host) {
	m := w.hosts[name]
	if m.row.Pool != row.Pool && m.row.Pool != "" {
		w.moves++
		w.history = append(w.history, fmt.Sprintf("%s %s: %s %s -> %s %s", w.now.Sub(start), name, m.row.Pool, m.row.Why, row.Pool, w.truth.Account("s"+row.Pool, m.centre)))
	}
	if row.State == cuminstair.HostLeaving && m.row.State == cuminstair.HostActive {
		m.left = w.now
	}
	w.writes++
	m.row = row
	for _, p := range w.planners {
		p.SetHost(w.now, m.centre, name, row)
	}
	w.account(name)
}

func (w *world) up(m *machine) bool { return !m.dead && !w.now.Before(m.until) }

// account updates the true availability of a host.
func (w *world) account(name string) {
	m := w.hosts[name]
	home := w.homes[name]
	w.truth.Set(name, budget.Host{
		Centre: m.centre, Rack: m.rack, Home: home, Pool: m.row.Pool, State: m.row.State, Healthy: w.up(m),
	})
	if m.row.State != cuminstair.HostActive || !w.up(m) || m.row.Pool != home || m.act != "" {
		w.busy[name] = true
	}
}

// step runs one tick of all planners.
func (w *world) step() {
	w.now = w.now.Add(w.tick)
	w.steps++
	busy := make([]string, 0, len(w.busy))
	for name := range w.busy {
		busy = append(busy, name)
	}
	slices.Sort(busy)
	for _, name := range busy {
		w.observe(name)
	}
	for _, c := range w.names {
		w.run(c)
	}
}

// observe tells the planners what checks and the platform's list show about a host.
func (w *world) observe(name string) {
	m := w.hosts[name]
	w.account(name)
	if m.row.Pool != w.homes[name] {
		w.spares += w.tick
	}
	state, changed := "live", m.until
	switch {
	case m.dead:
		state = "gone"
	case w.now.Before(m.until.Add(lag)):
		state, changed = "rebooting", m.left
	}
	for _, p := range w.planners {
		p.SetHealthy(w.now, name, w.up(m))
		p.SetListed(w.now, cuminstair.HostStatus{Name: name, State: state, Changed: changed})
	}
	if m.row.State == cuminstair.HostActive && w.up(m) && state == "live" && m.row.Pool == w.homes[name] {
		delete(w.busy, name)
	}
}

// run lets a planner decide until it has nothing more to write, as the controller does.
func (w *world) run(centre string) {
	for range wave.Rounds {
		if w.round(centre) == 0 {
			return
		}
	}
}

func (w *world) round(centre string) int {
	p := w.planners[centre]
	p.Freeze(w.frozen)
	for _, a := range p.Actions() {
		m := w.hosts[a.Host]
		if m.act != a.ID {
			m.act, m.until, m.dead = a.ID, w.now.Add(reboot), m.broken
			w.account(a.Host)
		}
		p.SetActed(a.Host, a.ID)
	}
	for _, name := range p.Asks(w.now) {
		p.SetIdle(name, w.idle(name))
	}
	plan := p.Decide(w.now)
	for _, c := range plan.Waves {
		w.waves[c.Name+" "+centre] = c.Row
		w.history = append(w.history, fmt.Sprintf("%s %s %s", c.Name, centre, c.Row.State))
		p.SetWave(c.Name, c.Row)
		w.ended[centre] = w.now.Sub(start)
	}
	for _, c := range plan.Hosts {
		w.apply(c)
	}
	return len(plan.Hosts)
}

// idle tells whether a host has no requests in flight. None are sent to the spare pool.
func (w *world) idle(name string) bool {
	m := w.hosts[name]
	return m.dead || m.row.Pool == "spare" || w.now.Sub(m.left) >= drain
}

func (w *world) apply(c wave.HostChange) {
	if c.Row.State == cuminstair.HostRebooting {
		c.Row.Act = fmt.Sprintf("%s/%d", c.Name, w.steps)
		w.is.True(w.idle(c.Name)) // reboot with requests in flight
	}
	if c.Takes {
		w.checkTake(c.Name)
	}
	w.put(c.Name, c.Row)
}

// checkTake counts planned work that takes an instance without room.
func (w *world) checkTake(name string) {
	if a, ok := w.truth.MayTake(name); !ok {
		w.refused++
		w.history = append(w.history, "taken without room: "+a.String())
	}
}

// within tells whether all services are within their budgets, in each data centre and over the fleet.
func (w *world) within() bool {
	for _, s := range w.truth.Services() {
		for _, c := range append([]string{budget.Fleet}, w.names...) {
			if !w.truth.Account(s, c).Within() {
				return false
			}
		}
	}
	return true
}

// finished tells whether the wave is done in all data centres.
func (w *world) finished(name string) bool {
	for _, c := range w.names {
		if w.waves[name+" "+c].State != wave.Done {
			return false
		}
	}
	return true
}

// runWave steps until the wave is done and returns how long it took.
func (w *world) runWave(name string, limit time.Duration) time.Duration {
	w.is.Helper()
	for !w.finished(name) {
		w.step()
		w.is.True(w.within())
		if w.now.Sub(start) > limit {
			for _, c := range w.names {
				fmt.Printf("%s: %+v\n", c, w.planners[c].Waves())
			}
		}
		w.is.True(w.now.Sub(start) <= limit) // the wave does not finish
	}
	return w.now.Sub(start)
}

// smallFleet is a fleet of page 1.2: pools of 10 hosts over the data centres, one of them the spare, in racks of 4.
func smallFleet(centres int, down float64) *cuminstair.Fleet {
	f := &cuminstair.Fleet{Name: "small"}
	for c := range centres {
		f.Centres = append(f.Centres, cuminstair.Centre{Name: fmt.Sprint("c", c), Region: "r"})
	}
	pools := []string{"p0", "p1", "p2", "p3", "spare"}
	for _, name := range pools {
		f.Pools = append(f.Pools, cuminstair.Pool{Name: name, Spare: name == "spare"})
		if name != "spare" {
			f.Services = append(f.Services, cuminstair.Service{Name: "s" + name, Pool: name, Slots: 8, Budget: cuminstair.Budget{Down: down}})
		}
	}
	inCentre := make([]int, centres)
	for n := range 10 {
		for _, pool := range pools {
			c := n % centres
			f.Hosts = append(f.Hosts, cuminstair.Host{
				Name: fmt.Sprintf("%s-%d", pool, n), Centre: f.Centres[c].Name, Rack: fmt.Sprintf("c%d-r%d", c, inCentre[c]/4), Pool: pool,
			})
			inCentre[c]++
		}
	}
	f.Waves = []cuminstair.Wave{{
		Name: "w", Pools: pools, Action: "reboot", Drain: cuminstair.Duration(5 * time.Minute), Back: cuminstair.Duration(10 * time.Minute), Limit: 50,
	}}
	return f
}
