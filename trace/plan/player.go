package plan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

// Times of the replay.
const (
	second = time.Second // between two checks of the hosts, as the daemons make them
	// listLag is how late the platform's list shows a change.
	listLag = 10 * time.Second
	// usageLag is how late usage reports appear.
	usageLag = 2 * time.Second
)

// Player replays one trace. Load is set before Play; a Player plays once.
type Player struct {
	// Load returns a fleet file.
	Load func(name string) ([]byte, error)

	start   time.Time
	clock   *timer.Virtual
	rand    *rand.Rand
	service *table.Service
	slow    time.Duration
	fleet   *cuminstair.Fleet
	base    rollout.Base        // what is in force
	fleets  []*cuminstair.Fleet // by generation, from 1
	ids     int                 // of commits of the player itself
	daemons []*daemon
	tasks   []*task
	current *task
	hosts   map[string]*host
	truth   *budget.Budgets
	epochs  map[string]uint64 // data centre: epoch of its lease
	waves   map[string]wave.Wave
	classes map[string]Line // job: the line that submitted it
	moves   int
	acts    map[string]bool // ids of the platform's actions
	events  []occurrence
	checks  []Check
	broken  map[string]bool // invariants that were reported
}

// host is an upstream host as it is, and its row.
type host struct {
	cuminstair.Host
	row    wave.Host
	known  bool // it has a row
	key    string
	sick   bool
	breaks bool // sick from its next reboot on
}

// occurrence is something that an expectation may count.
type occurrence struct {
	at   time.Duration
	what string
	name string // of the host, or the state of a job
	job  string
}

// Check is a stated outcome and what the replay gave.
type Check struct {
	At       time.Duration
	What     string
	Expected string
	Found    string
	OK       bool
}

// String returns the check as one line for a test's log.
func (c Check) String() string {
	return fmt.Sprintf("%s: %s: expected %s, found %s", c.At, c.What, c.Expected, c.Found)
}

// Play replays a trace and returns its checks in order; invariants that did not hold are among them. It returns an error
// if the fleet can't be loaded or a line names what does not exist.
func (p *Player) Play(lines []Line) ([]Check, error) {
	if err := p.setUp(lines[0]); err != nil {
		return nil, fmt.Errorf("set up: %w", err)
	}
	defer p.end()
	for _, line := range lines[1:] {
		p.advance(p.start.Add(line.At.D()))
		if line.Event == EventExpect {
			p.expect(line)
			continue
		}
		if err := p.apply(line); err != nil {
			return nil, fmt.Errorf("%s at %s: %w", line.Event, line.At, err)
		}
	}
	p.checkTasks()
	return p.checks, nil
}

func (p *Player) setUp(first Line) error {
	data, err := p.Load(first.File)
	if err != nil {
		return fmt.Errorf("load fleet: %w", err)
	}
	f, err := fleet.Parse(first.File, data)
	if err != nil {
		return fmt.Errorf("parse fleet: %w", err)
	}
	p.start = time.Unix(1_000_000, 0)
	p.clock = timer.NewVirtual(p.start)
	p.rand = rand.New(rand.NewPCG(first.Seed, 1))
	p.epochs, p.waves, p.classes = map[string]uint64{}, map[string]wave.Wave{}, map[string]Line{}
	p.acts = map[string]bool{}
	p.broken, p.hosts = map[string]bool{}, map[string]*host{}
	p.service = &table.Service{Timer: p.clock, Behave: p.behave, OnHost: p.onHost}
	p.service.SetFaults(table.Faults{Lag: cuminstair.Duration(listLag), Usage: cuminstair.Duration(usageLag)})
	p.fleet, p.truth = f, budget.New(f.Services)
	for _, h := range f.Hosts {
		p.hosts[h.Name] = &host{Host: h}
		p.service.AddHosts(table.Host{Name: h.Name, Centre: h.Centre, Rack: h.Rack, Role: "upstream"})
		p.service.AddWorkers(table.Worker{Name: h.Name, Centre: h.Centre, Rack: h.Rack, Cores: h.Cores, Memory: h.Memory})
	}
	if err := p.accept(f); err != nil {
		return err
	}
	for n := range first.Daemons {
		for _, c := range f.Centres {
			p.addDaemon(fmt.Sprintf("%s-d%d", c.Name, n+1), c.Name)
		}
	}
	p.spawn(nil, p.watch)
	return nil
}

// accept puts the first generation into force before the trace begins.
func (p *Player) accept(f *cuminstair.Fleet) error {
	plan, err := rollout.Make(rollout.Base{}, rollout.Apply{Fleet: f, By: "trace", ID: "first"})
	if err != nil {
		return fmt.Errorf("first generation: %w", err)
	}
	version, err := p.commit(plan.Commit)
	if err != nil {
		return fmt.Errorf("first generation: %w", err)
	}
	plan.Head.Version = version
	p.fleets = append(p.fleets, f)
	p.base = rollout.Base{Head: plan.Head, Manifest: fleet.ManifestOf(fleet.Split(f)), Fleet: f}
	return nil
}

// behave tells the stand-in what the tasks of a job really do.
func (p *Player) behave(t cuminstair.Task) table.Behaviour {
	l := p.classes[t.Job]
	return table.Behaviour{Run: l.Run.D(), Cores: l.Real}
}

// onHost applies EventBreak when a reboot ends.
func (p *Player) onHost(name, state string) {
	h := p.hosts[name]
	if h != nil && h.breaks && state == table.StateRebooting {
		h.sick = true
	}
	if h != nil {
		p.account(h)
	}
}

func (p *Player) up(h *host) bool { return p.service.HostState(h.Name) == table.StateLive }

// watch makes the checks of the hosts and the requests of callers, once a second.
func (p *Player) watch() {
	for {
		for _, h := range p.fleet.Hosts {
			x := p.hosts[h.Name]
			healthy := p.up(x) && !x.sick
			for _, d := range p.daemons {
				if d.runs() {
					d.control.SetHealthy(h.Name, healthy)
					d.serve(x, healthy)
				}
			}
			p.account(x)
		}
		if !p.wait(second) {
			return
		}
	}
}

func (p *Player) now() time.Duration { return p.clock.Now().Sub(p.start) }

// count records an occurrence.
func (p *Player) count(what, name, job string) {
	p.events = append(p.events, occurrence{at: p.now(), what: what, name: name, job: job})
}
