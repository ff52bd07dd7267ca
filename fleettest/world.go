// Package fleettest runs the measurements of section 1.4 of docs/design.md in virtual time: the wave planners against a
// simulated fleet, and the request path and its baselines through package trace. Only tests import it.
package fleettest

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

// Durations in a World.
const (
	// Drain is how long requests in flight take to finish.
	Drain = 30 * time.Second
	// Reboot is how long a host is down for an action.
	Reboot = 4 * time.Minute
	// Lag is the delay until the platform's host list shows that a host is live again.
	Lag = 15 * time.Second
)

// Start is the time at which each World begins.
var Start = time.Unix(1000, 0)

// Machine is the actual state of a host.
type Machine struct {
	Centre, Rack string
	Row          wave.Host
	LeftAt       time.Time // when it was last taken out of service
	DownUntil    time.Time // end of the reboot or other downtime
	FailsReboot  bool      // fails at its next action
	Dead         bool      // lost, or its last action failed
	ActionID     string
}

// World simulates a fleet in virtual time with one planner for each data centre. Writes take effect immediately.
type World struct {
	Is           *is.I
	Now          time.Time
	Tick         time.Duration
	Fleet        *cuminstair.Fleet
	Planners     map[string]*wave.Planner
	Centres      []string
	Hosts        map[string]*Machine
	Homes        map[string]string // host: its pool in the fleet file
	Changing     map[string]bool   // hosts that Step has to observe: not active, down, lent to another pool or with an action
	Waves        map[string]wave.Wave
	Budgets      *budget.Budgets
	Rand         *rand.Rand
	FreezeReason string
	Moves        int
	LentTime     time.Duration // total time that hosts were outside their own pools
	Writes       int
	Steps        int
	History      []string
	Ended        map[string]time.Duration // data centre: time from Start until the last change of its wave
	OverBudget   int                      // number of times planned work took an instance without room in the budget
}

// NewWorld returns a world in which all hosts are active in the pools of the fleet file.
func NewWorld(t *testing.T, f *cuminstair.Fleet) *World {
	w := &World{
		Is: is.New(t), Now: Start, Tick: time.Second, Fleet: f, Planners: map[string]*wave.Planner{}, Hosts: map[string]*Machine{},
		Changing: map[string]bool{}, Waves: map[string]wave.Wave{}, Budgets: budget.New(f.Services), Rand: rand.New(rand.NewPCG(1, 1)),
		Ended: map[string]time.Duration{}, Homes: map[string]string{},
	}
	for _, c := range f.Centres {
		w.Centres = append(w.Centres, c.Name)
		w.Restart(c.Name)
	}
	for _, h := range f.Hosts {
		w.Hosts[h.Name] = &Machine{Centre: h.Centre, Rack: h.Rack}
		w.Homes[h.Name] = h.Pool
		w.put(h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
	}
	return w
}

func (w *World) tightest(pool, centre string) budget.Account {
	a, _ := w.Budgets.Tightest(pool, centre)
	return a
}

func (w *World) spare() string {
	for _, p := range w.Fleet.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// Restart replaces the planner of a data centre by a new one that is initialised from the rows only.
func (w *World) Restart(centre string) {
	p := wave.New(centre)
	p.SetFleet(w.Now, w.Fleet)
	for name, m := range w.Hosts {
		p.SetHost(w.Now, m.Centre, name, m.Row)
	}
	for key, row := range w.Waves {
		var name, c string
		_, err := fmt.Sscanf(key, "%s %s", &name, &c)
		w.Is.NoErr(err)
		if c == centre {
			p.SetWave(name, row)
		}
	}
	w.Planners[centre] = p
}

func (w *World) put(name string, row wave.Host) {
	m := w.Hosts[name]
	if m.Row.Pool != row.Pool && m.Row.Pool != "" {
		w.Moves++
		w.History = append(w.History, fmt.Sprintf("%s %s: %s %s -> %s %s", w.Now.Sub(Start), name, m.Row.Pool, m.Row.Why, row.Pool, w.tightest(row.Pool, m.Centre)))
	}
	if row.State == cuminstair.HostLeaving && m.Row.State == cuminstair.HostActive {
		m.LeftAt = w.Now
	}
	w.Writes++
	m.Row = row
	for _, p := range w.Planners {
		p.SetHost(w.Now, m.Centre, name, row)
	}
	w.Account(name)
}

func (w *World) up(m *Machine) bool { return !m.Dead && !w.Now.Before(m.DownUntil) }

// Account updates the budgets with the actual availability of a host.
func (w *World) Account(name string) {
	m := w.Hosts[name]
	home := w.Homes[name]
	w.Budgets.Set(name, budget.Host{
		Centre: m.Centre, Rack: m.Rack, Home: home, Pool: m.Row.Pool, State: m.Row.State, Healthy: w.up(m),
	})
	if m.Row.State != cuminstair.HostActive || !w.up(m) || m.Row.Pool != home || m.ActionID != "" {
		w.Changing[name] = true
	}
}

// Step runs one tick of all planners.
func (w *World) Step() {
	w.Now = w.Now.Add(w.Tick)
	w.Steps++
	busy := make([]string, 0, len(w.Changing))
	for name := range w.Changing {
		busy = append(busy, name)
	}
	slices.Sort(busy)
	for _, name := range busy {
		w.observe(name)
	}
	for _, c := range w.Centres {
		w.run(c)
	}
}

// observe updates the budgets for a host and passes its health and its state in the platform's list to all planners.
func (w *World) observe(name string) {
	m := w.Hosts[name]
	w.Account(name)
	if m.Row.Pool != w.Homes[name] {
		w.LentTime += w.Tick
	}
	state, changed := "live", m.DownUntil
	switch {
	case m.Dead:
		state = "gone"
	case w.Now.Before(m.DownUntil.Add(Lag)):
		state, changed = "rebooting", m.LeftAt
	}
	for _, p := range w.Planners {
		p.SetHealthy(w.Now, name, w.up(m))
		p.SetListed(w.Now, cuminstair.HostStatus{Name: name, State: state, Changed: changed})
	}
	if m.Row.State == cuminstair.HostActive && w.up(m) && state == "live" && m.Row.Pool == w.Homes[name] {
		delete(w.Changing, name)
	}
}

// run repeats the decisions of a planner until it writes no more host rows, at most wave.MaxRounds times, as the
// controller does.
func (w *World) run(centre string) {
	for range wave.MaxRounds {
		if w.round(centre) == 0 {
			return
		}
	}
}

func (w *World) round(centre string) int {
	p := w.Planners[centre]
	p.Freeze(w.FreezeReason)
	for _, a := range p.Actions() {
		m := w.Hosts[a.Host]
		if m.ActionID != a.ID {
			m.ActionID, m.DownUntil, m.Dead = a.ID, w.Now.Add(Reboot), m.FailsReboot
			w.Account(a.Host)
		}
		p.SetActionAccepted(a.Host, a.ID)
	}
	for _, name := range p.HostsToConfirm(w.Now) {
		p.SetIdle(name, w.idle(name))
	}
	plan := p.Decide(w.Now)
	for _, c := range plan.Waves {
		w.Waves[c.Name+" "+centre] = c.Row
		w.History = append(w.History, fmt.Sprintf("%s %s %s", c.Name, centre, c.Row.State))
		p.SetWave(c.Name, c.Row)
		w.Ended[centre] = w.Now.Sub(Start)
	}
	for _, c := range plan.Hosts {
		w.apply(c)
	}
	return len(plan.Hosts)
}

// idle reports whether a host has no requests in flight. Hosts in the spare pool get no requests.
func (w *World) idle(name string) bool {
	m := w.Hosts[name]
	return m.Dead || w.spare() == m.Row.Pool || w.Now.Sub(m.LeftAt) >= Drain
}

func (w *World) apply(c wave.HostChange) {
	if c.Row.State == cuminstair.HostRebooting {
		c.Row.ActionID = fmt.Sprintf("%s/%d", c.Name, w.Steps)
		w.Is.True(w.idle(c.Name)) // no reboot with requests in flight
	}
	if c.ReducesAvailable {
		w.checkTake(c.Name)
	}
	w.put(c.Name, c.Row)
}

// checkTake counts planned work that takes an instance without room in the budget.
func (w *World) checkTake(name string) {
	if a, ok := w.Budgets.MayTake(name); !ok {
		w.OverBudget++
		w.History = append(w.History, "taken without room in the budget: "+a.String())
	}
}

// Within reports whether all services are within their budgets, in each data centre and over the fleet.
func (w *World) Within() bool { return w.breach() == "" }

// Finished reports whether the wave is done in all data centres.
func (w *World) Finished(name string) bool {
	for _, c := range w.Centres {
		if w.Waves[name+" "+c].State != wave.Done {
			return false
		}
	}
	return true
}

// RunWave steps until the wave is done and returns the time since Start. It fails the test if a budget is exceeded or
// the wave takes longer than limit.
func (w *World) RunWave(name string, limit time.Duration) time.Duration {
	w.Is.Helper()
	for !w.Finished(name) {
		w.Step()
		w.Is.True(w.Within())
		if w.Now.Sub(Start) > limit {
			for _, c := range w.Centres {
				fmt.Printf("%s: %+v\n", c, w.Planners[c].Waves())
			}
		}
		w.Is.True(w.Now.Sub(Start) <= limit) // the wave must finish within limit
	}
	return w.Now.Sub(Start)
}

// Lose fails the hosts of a rack that are up and active, and returns their names.
func (w *World) Lose(centre, rack string) []string {
	var lost []string
	for name, m := range w.Hosts {
		if m.Centre == centre && m.Rack == rack && w.up(m) && m.Row.State == cuminstair.HostActive {
			m.Dead = true
			lost = append(lost, name)
			w.Account(name)
		}
	}
	slices.Sort(lost)
	return lost
}

// SmallFleet returns a fleet like the two example fleets (section 1.2 of docs/design.md): five pools of 10 hosts,
// one of them the spare pool, spread over the data centres in racks of 4. down is the Budget.Down of each service.
func SmallFleet(centres int, down float64) *cuminstair.Fleet {
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
