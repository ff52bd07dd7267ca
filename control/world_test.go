package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

const (
	spare  = "spare"
	reboot = time.Minute
	lag    = 10 * time.Second // of the platform's list
)

// machine is a simulated upstream host.
type machine struct {
	centre, rack string
	actionEnd    time.Time // end of the platform's action
	changed      time.Time // change time in the platform's list
	dead         bool
	failsReboot  bool            // stays dead after an action
	unhealthy    bool            // fails its health checks
	acts         map[string]bool // ids of the platform's actions on it
}

func (m *machine) up(w *world) bool { return !m.dead && !w.clock.Now().Before(m.actionEnd) }

// world simulates a fleet in virtual time with several daemons in each data centre. It checks the invariants on every row
// write and every second.
type world struct {
	is             *is.I
	clock          *timer.Virtual
	rand           *rand.Rand
	fleet          *cuminstair.Fleet
	table          *table
	hosts          map[string]*machine
	rows           map[string]wave.Host // host: its row as last written
	homes          map[string]string    // host: its pool according to the fleet file
	epochs         map[string]uint64    // data centre: epoch of its lease row
	daemons        map[string]*daemon
	daemonList     []*daemon
	listedGone     map[string]bool // daemons that the platform lists as gone
	budgets        *budget.Budgets
	decisions      []cuminstair.Decision
	faults         bool // calls are lost or delayed, or their answers are lost
	callsPerPause  int  // on average one in this many calls pauses its daemon past its lease; 0 means none
	pausing        bool
	delayed        []cuminstair.Commit
	runner         *runner // nil: no jobs
	onDrainCommit  func()  // called before a commit that takes an instance out of service
	platformDown   bool    // the platform is unavailable
	actionCount    int
	moves          int
	overBudget     string // the first account that exceeded its budget
	rebootInFlight string // the first reboot of a host with requests in flight
	staleWrite     string // the first host row written with an epoch other than that of the lease row
}

var start = time.Unix(1000, 0)

func newWorld(t *testing.T, seed uint64, f *cuminstair.Fleet, perCentre int) *world {
	w := &world{
		is: is.New(t), clock: timer.NewVirtual(start), rand: rand.New(rand.NewPCG(seed, 3)), fleet: f,
		table: &table{rows: map[string]cuminstair.Row{}}, hosts: map[string]*machine{}, rows: map[string]wave.Host{},
		homes: map[string]string{}, epochs: map[string]uint64{}, daemons: map[string]*daemon{},
		listedGone: map[string]bool{}, budgets: budget.New(f.Services),
	}
	w.table.onWrite = w.checkRow
	for _, h := range f.Hosts {
		w.hosts[h.Name] = &machine{centre: h.Centre, rack: h.Rack, acts: map[string]bool{}}
		w.homes[h.Name] = h.Pool
		w.write(wave.HostKey(h.Centre, h.Name), wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
	}
	for _, c := range f.Centres {
		for n := range perCentre {
			w.start(fmt.Sprintf("%s-d%d", c.Name, n), c.Name)
		}
	}
	return w
}

func (w *world) write(key string, value any) {
	data, err := json.Marshal(value)
	w.is.NoErr(err)
	_, err = w.table.commit(cuminstair.Commit{ID: "test", Puts: []cuminstair.Put{{Key: key, Value: data}}})
	w.is.NoErr(err)
}

func (w *world) start(name, centre string) {
	d := &daemon{
		w: w, name: name, centre: centre, view: map[string]cuminstair.HostState{}, pools: map[string]string{},
		inflight: map[string][]time.Time{},
	}
	d.c = &control.Control{
		Centre: centre, Self: name, Boot: "1", Table: d, Hosts: d, Peers: d, Timer: w.clock, Recorder: d, Idle: d.idle, Tasks: d,
		Rand:         rand.New(rand.NewPCG(uint64(len(w.daemonList)), 5)),
		OnHostState:  func(host string, state cuminstair.HostState) { d.view[host] = state },
		OnPoolChange: func(host, pool string) { d.pools[host] = pool },
	}
	w.write("entry/"+name, map[string]string{"centre": centre})
	d.c.SetFleet(w.fleet)
	w.daemons[name] = d
	w.daemonList = append(w.daemonList, d)
}

// checkRow checks one row write and adds it to the budgets.
func (w *world) checkRow(r cuminstair.Row) {
	if centre, ok := strings.CutPrefix(r.Key, lease.Prefix); ok {
		var l lease.Record
		w.is.NoErr(json.Unmarshal(r.Value, &l))
		w.epochs[centre] = l.Epoch
	}
	key, ok := strings.CutPrefix(r.Key, wave.HostPrefix)
	if !ok || r.Deleted {
		return
	}
	_, name, _ := strings.Cut(key, "/")
	var h wave.Host
	w.is.NoErr(json.Unmarshal(r.Value, &h))
	old, known := w.rows[name]
	if known && h.Epoch != w.epochs[w.hosts[name].centre] {
		w.staleWrite = fmt.Sprintf("%s: row with epoch %d written in epoch %d", name, h.Epoch, w.epochs[w.hosts[name].centre])
	}
	if known && old.Pool != h.Pool {
		w.moves++
		w.is.Equal(old.State, cuminstair.HostDrained) // a host is moved only after a drain
		w.is.True(w.idle(name))                       // a host is moved only without requests in flight
	}
	w.rows[name] = h
	w.account(name)
}

func (w *world) idle(name string) bool {
	for _, d := range w.daemonList {
		if len(d.inflight[name]) > 0 {
			return false
		}
	}
	return true
}

// account updates the actual availability of a host and checks the budgets of its services.
func (w *world) account(name string) {
	m, row := w.hosts[name], w.rows[name]
	w.budgets.Set(name, budget.Host{
		Centre: m.centre, Rack: m.rack, Home: w.homes[name], Pool: row.Pool, State: row.State, Healthy: m.up(w) && !m.unhealthy,
	})
	for _, pool := range []string{row.Pool, w.homes[name]} {
		for _, s := range w.budgets.PoolServices(pool) {
			for _, c := range []string{m.centre, budget.Fleet} {
				if a := w.budgets.Account(s, c); !a.Within() && w.overBudget == "" {
					w.overBudget = fmt.Sprintf("%s: %s", w.clock.Now().Sub(start), a)
				}
			}
		}
	}
}

// act starts a platform action, unless an action with the same id was started before.
func (w *world) act(id, name string) {
	m := w.hosts[name]
	if m.acts[id] {
		return
	}
	m.acts[id] = true
	w.actionCount++
	if m.up(w) && !w.idle(name) && w.rebootInFlight == "" {
		w.rebootInFlight = fmt.Sprintf("%s: %s by %s, row %+v", w.clock.Now().Sub(start), name, id, w.rows[name])
	}
	m.actionEnd, m.dead = w.clock.Now().Add(reboot), m.failsReboot
	m.changed = m.actionEnd.Add(lag)
	w.account(name)
}

// list returns the platform's list of hosts, which shows the end of a reboot with a delay of lag.
func (w *world) list() []cuminstair.HostStatus {
	var all []cuminstair.HostStatus
	for _, h := range w.fleet.Hosts {
		m := w.hosts[h.Name]
		s := cuminstair.HostStatus{Name: h.Name, Centre: h.Centre, Role: "upstream", State: "live", Changed: m.changed}
		switch {
		case m.dead:
			s.State = "gone"
		case w.clock.Now().Before(m.actionEnd.Add(lag)):
			s.State, s.Changed = "rebooting", m.actionEnd
		}
		all = append(all, s)
	}
	for _, d := range w.daemonList {
		s := cuminstair.HostStatus{Name: d.name, Centre: d.centre, Role: "entry", State: "live"}
		if w.listedGone[d.name] {
			s.State = "gone"
		}
		all = append(all, s)
	}
	return all
}

// maybePause pauses a daemon during a call, for longer than its lease, while all others continue.
func (w *world) maybePause(d *daemon) {
	if w.callsPerPause == 0 || w.pausing || w.rand.IntN(w.callsPerPause) > 0 {
		return
	}
	w.pause(d, 40+w.rand.IntN(60))
}

func (w *world) pause(d *daemon, seconds int) {
	w.pausing, d.paused = true, true
	for range seconds {
		w.tick()
	}
	w.pausing, d.paused = false, false
}

// tick advances the simulation by one second.
func (w *world) tick() {
	w.clock.Advance(time.Second)
	if len(w.delayed) > 0 && w.rand.IntN(3) == 0 {
		// The error is ignored, since a delayed commit is expected to fail its checks.
		_, _ = w.table.commit(w.delayed[0])
		w.delayed = w.delayed[1:]
	}
	for _, h := range w.fleet.Hosts {
		w.account(h.Name)
		ok := w.hosts[h.Name].up(w) && !w.hosts[h.Name].unhealthy
		for _, d := range w.daemonList {
			d.c.SetHealthy(h.Name, ok)
		}
	}
	for _, i := range w.rand.Perm(len(w.daemonList)) {
		d := w.daemonList[i]
		if d.paused {
			continue
		}
		d.c.Step(context.Background())
		d.serve()
		if w.runner != nil {
			d.c.StepJobs(context.Background())
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.clock.Now().Add(d); w.clock.Now().Before(end); {
		w.tick()
	}
}

// wave returns the row of the wave in a data centre.
func (w *world) wave(centre string) wave.Wave {
	var row wave.Wave
	if r, ok := w.table.rows[wave.Key("w", centre)]; ok {
		w.is.NoErr(json.Unmarshal(r.Value, &row))
	}
	return row
}

func (w *world) done() bool {
	for _, c := range w.fleet.Centres {
		if w.wave(c.Name).State != wave.Done {
			return false
		}
	}
	return true
}

// finish runs until the wave is done in all data centres. It fails the test after limit.
func (w *world) finish(limit time.Duration) {
	w.is.Helper()
	for end := w.clock.Now().Add(limit); !w.done(); {
		w.tick()
		if !w.clock.Now().Before(end) {
			fmt.Println(w)
			w.is.Fail() // the wave does not finish
		}
	}
}

// checkInvariants fails the test if a budget was exceeded, a host was rebooted with requests in flight or a host row was
// written with an epoch other than that of the lease row.
func (w *world) checkInvariants() {
	w.is.Helper()
	w.is.Equal(w.overBudget, "")
	w.is.Equal(w.rebootInFlight, "")
	w.is.Equal(w.staleWrite, "")
}

// holder returns the daemon of a data centre that holds the lease, or nil.
func (w *world) holder(centre string) *daemon {
	for _, d := range w.daemonList {
		if d.centre == centre && !d.paused && d.c.Holding() {
			return d
		}
	}
	return nil
}

// smallFleet has three pools and a spare pool of 6 hosts each, split evenly over two data centres, in racks of at most 4
// hosts.
func smallFleet() *cuminstair.Fleet {
	f := &cuminstair.Fleet{Name: "small", Centres: []cuminstair.Centre{{Name: "a"}, {Name: "b"}}}
	pools := []string{"p0", "p1", "p2", spare}
	for _, name := range pools {
		f.Pools = append(f.Pools, cuminstair.Pool{Name: name, Spare: name == spare})
		if name != spare {
			f.Services = append(f.Services, cuminstair.Service{Name: "s" + name, Pool: name, Budget: cuminstair.Budget{Down: 0.34}})
		}
	}
	for n := range 6 {
		centre := f.Centres[n%2].Name
		for i, pool := range pools {
			f.Hosts = append(f.Hosts, cuminstair.Host{
				Name: fmt.Sprintf("%s-%d", pool, n), Centre: centre, Rack: fmt.Sprintf("%s-r%d", centre, (n/2+i/3)%4), Pool: pool,
			})
		}
	}
	f.Waves = []cuminstair.Wave{{
		Name: "w", Pools: pools, Action: "reboot", Limit: 20,
		Drain: cuminstair.Duration(time.Minute), Back: cuminstair.Duration(3 * time.Minute),
	}}
	return f
}

// String lists the waves, and the hosts that are not active in their own pool.
func (w *world) String() string {
	var b strings.Builder
	for _, c := range w.fleet.Centres {
		fmt.Fprintf(&b, "%s: %+v\n", c.Name, w.wave(c.Name))
		if d := w.holder(c.Name); d != nil {
			fmt.Fprintf(&b, "held by %s: %+v\n", d.name, d.c.Waves())
		}
	}
	for _, h := range w.fleet.Hosts {
		if row := w.rows[h.Name]; row.State != cuminstair.HostActive || row.Pool != h.Pool || !w.hosts[h.Name].up(w) {
			fmt.Fprintf(&b, "%s in %s: up %t, %+v\n", h.Name, h.Rack, w.hosts[h.Name].up(w), row)
		}
	}
	return b.String()
}
