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

// Intervals and delays of the replay.
const (
	// second is the time between two health checks of the hosts, as in the daemons, and the unit of other times.
	second = time.Second
	// listLag is the delay until the platform's host list shows a change.
	listLag = 10 * time.Second
	// usageLag is the delay of usage reports.
	usageLag = 2 * time.Second
)

// Player replays one trace. Set Load before Play, and call Play only once.
type Player struct {
	// Load returns the content of a fleet file.
	Load func(name string) ([]byte, error)

	start      time.Time
	clock      *timer.Virtual
	rand       *rand.Rand
	service    *table.Service
	replyDelay time.Duration
	fleet      *cuminstair.Fleet
	base       rollout.Base        // accepted generation
	fleets     []*cuminstair.Fleet // by generation, starting with 1
	ids        int                 // counter for the ids of commits that the player makes itself
	daemons    []*daemon
	coroutines []*coroutine
	current    *coroutine
	hosts      map[string]*host
	budgets    *budget.Budgets
	epochs     map[string]uint64 // data centre: epoch of its lease
	waves      map[string]wave.Wave
	submitted  map[string]Line // job: the line that submitted it
	moves      int             // pool changes of hosts
	actions    map[string]bool // ids of the platform actions on hosts
	events     []occurrence
	checks     []Check
	violated   map[string]bool // invariants whose violation was reported
}

// host is the actual state of an upstream host together with its row in the table.
type host struct {
	cuminstair.Host
	row             wave.Host
	hasRow          bool // the table has a row of the host
	rowKey          string
	sick            bool // fails its health checks
	sickAfterReboot bool // becomes sick at its next reboot
}

// occurrence is a recorded event that an expect line can count.
type occurrence struct {
	at   time.Duration
	what string // WhatActs, WhatTasks or WhatJobs
	name string // host, or state of the job
	job  string
}

// Check is an expected outcome and the one found in the replay.
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

// Play replays a trace and returns its checks in order, including violated invariants as failed checks. It returns an
// error if the fleet can't be loaded or a line names an unknown host, daemon or generation.
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
	p.epochs, p.waves, p.submitted = map[string]uint64{}, map[string]wave.Wave{}, map[string]Line{}
	p.actions = map[string]bool{}
	p.violated, p.hosts = map[string]bool{}, map[string]*host{}
	p.service = &table.Service{Timer: p.clock, Behave: p.behave, OnHost: p.onHost}
	p.service.SetFaults(table.Faults{Lag: cuminstair.Duration(listLag), Usage: cuminstair.Duration(usageLag)})
	p.fleet, p.budgets = f, budget.New(f.Services)
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
	p.spawn(nil, p.hostLoop)
	return nil
}

// accept commits the first generation before the trace begins.
func (p *Player) accept(f *cuminstair.Fleet) error {
	plan, err := rollout.Make(rollout.Base{}, rollout.Apply{Fleet: f, By: "trace", ID: "first"})
	if err != nil {
		return fmt.Errorf("plan first generation: %w", err)
	}
	version, err := p.commit(plan.Commit)
	if err != nil {
		return fmt.Errorf("commit first generation: %w", err)
	}
	plan.Head.Version = version
	p.fleets = append(p.fleets, f)
	p.base = rollout.Base{Head: plan.Head, Manifest: fleet.ManifestOf(fleet.Split(f)), Fleet: f}
	return nil
}

// behave returns the actual run time and cores of the tasks of a job for the stand-in.
func (p *Player) behave(t cuminstair.Task) table.Behaviour {
	l := p.submitted[t.Job]
	return table.Behaviour{Run: l.Run.D(), Cores: l.Real}
}

// onHost checks the budgets after a host has changed its state in the platform. If the host reboots and an EventBreak
// line named it, its health checks fail from then on.
func (p *Player) onHost(name, state string) {
	h := p.hosts[name]
	if h != nil && h.sickAfterReboot && state == table.StateRebooting {
		h.sick = true
	}
	if h != nil {
		p.account(h)
	}
}

func (p *Player) up(h *host) bool { return p.service.HostState(h.Name) == table.StateLive }

// hostLoop runs the health checks of the hosts and sends the requests of callers once a second.
func (p *Player) hostLoop() {
	for {
		for _, h := range p.fleet.Hosts {
			x := p.hosts[h.Name]
			healthy := p.up(x) && !x.sick
			for _, d := range p.daemons {
				if d.running() {
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

// record adds an occurrence at the present time.
func (p *Player) record(what, name, job string) {
	p.events = append(p.events, occurrence{at: p.now(), what: what, name: name, job: job})
}
