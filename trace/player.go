package trace

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/timer"
)

// Periods of what a daemon does by itself.
const (
	expirePeriod = 10 * time.Millisecond // of Admission.Expire
	probePeriod  = time.Second           // of the active checks
	peerLatency  = time.Millisecond      // of a message between daemons
	// settleTime is how long the replay goes on after the last line without new requests, so that all end.
	settleTime = 2 * time.Minute
)

// Player replays one trace. Exported fields are set before Play; a Player plays once.
type Player struct {
	// NewRouter makes the router of a daemon; live is the number of daemons of its data centre and self the daemon's
	// position among them. The default is route.Router.
	NewRouter func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router
	// NewAdmission makes the admission of a daemon. The default is admit.Queue.
	NewAdmission func() cuminstair.Admission
	// NewBudget makes the retry budget of a daemon. The default is retry.Budget.
	NewBudget func(rnd *rand.Rand) cuminstair.RetryBudget
	// Each, if set, is called at the end of each second of the trace with its number, from 1.
	Each func(second int)

	start   time.Time
	clock   *timer.Virtual
	rand    *rand.Rand
	fleet   Line
	kinds   []cuminstair.Kind
	took    map[string]time.Duration
	hosts   map[string]*instance
	order   []*instance
	daemons []*daemon
	cut     map[string]bool
	loads   map[string]*load
	calls   []*call
	sent    []sent
	over    bool // all lines are played; no request arrives any more
}

// Check is an expect line and what the replay gave.
type Check struct {
	Line Line
	Got  float64
	OK   bool
}

// String returns the check as one line for a test's log.
func (c Check) String() string {
	what := string(c.Line.Measure)
	for _, s := range []string{c.Line.Kind, c.Line.Host} {
		if s != "" {
			what += " " + s
		}
	}
	bounds := ""
	if c.Line.Least != nil {
		bounds += " least " + strconv.FormatFloat(*c.Line.Least, 'g', 4, 64)
	}
	if c.Line.Most != nil {
		bounds += " most " + strconv.FormatFloat(*c.Line.Most, 'g', 4, 64)
	}
	return fmt.Sprintf("%s to %s: %s: got %.4g,%s", c.Line.From, c.Line.At, what, c.Got, bounds)
}

// Play replays a trace and returns its checks in order.
func (p *Player) Play(t Trace) []Check {
	p.setUp(t)
	if p.Each != nil {
		second := 0
		p.clock.Every(time.Second, func(time.Time) {
			second++
			p.Each(second)
		})
	}
	var checks []Check
	for _, line := range t[1:] {
		if line.Event == EventKind {
			continue
		}
		p.advance(line.At.D())
		if line.Event == EventExpect {
			checks = append(checks, p.check(line))
			continue
		}
		p.apply(line)
	}
	p.over = true
	p.clock.Advance(settleTime)
	return checks
}

// advance moves the clock to a time since the start.
func (p *Player) advance(to time.Duration) {
	p.clock.Advance(p.start.Add(to).Sub(p.clock.Now()))
}

func (p *Player) check(line Line) Check {
	got := p.Value(line.Measure, line.Kind, line.Host, line.From.D(), line.At.D())
	ok := (line.Least == nil || got >= *line.Least) && (line.Most == nil || got <= *line.Most)
	return Check{Line: line, Got: got, OK: ok}
}

func (p *Player) setUp(t Trace) {
	p.fleet = t[0]
	p.start = time.Unix(1_000_000, 0)
	p.clock = timer.NewVirtual(p.start)
	p.rand = rand.New(rand.NewPCG(p.fleet.Seed, 1))
	p.took = map[string]time.Duration{}
	p.hosts = map[string]*instance{}
	p.cut = map[string]bool{}
	p.loads = map[string]*load{}
	if p.NewRouter == nil {
		p.NewRouter = func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router {
			r := &route.Router{Centre: centre, Rand: rnd}
			r.SetLive(live, self)
			return r
		}
	}
	if p.NewAdmission == nil {
		p.NewAdmission = func() cuminstair.Admission { return &admit.Queue{} }
	}
	for _, line := range t {
		if line.Event == EventKind {
			p.addKind(line)
		}
	}
	p.addHosts()
	p.addDaemons()
}

func (p *Player) addKind(l Line) {
	p.took[l.Kind] = l.Took.D()
	p.kinds = append(p.kinds, cuminstair.Kind{
		Name: l.Kind, Weight: max(l.Weight, 1), Urgency: l.Urgency, Deadline: l.Deadline, Idempotent: l.Idempotent,
	})
}

func (p *Player) centre(i int) string { return "c" + strconv.Itoa(i%p.fleet.Centres+1) }

func (p *Player) addHosts() {
	for i := range p.fleet.Hosts {
		inst := &instance{real: p.fleet.Real, up: cuminstair.Upstream{
			Host: "h" + strconv.Itoa(i+1), Service: serviceName, Centre: p.centre(i),
			Slots: p.fleet.Slots, Conns: p.fleet.Conns,
		}}
		if inst.real == 0 {
			inst.real = p.fleet.Slots
		}
		p.hosts[inst.up.Host] = inst
		p.order = append(p.order, inst)
	}
}

func (p *Player) addDaemons() {
	live := map[string]int{}
	for i := range p.fleet.Daemons {
		live[p.centre(i)]++
	}
	for i := range p.fleet.Daemons {
		centre := p.centre(i)
		d := p.newDaemon("d"+strconv.Itoa(i+1), centre, live[centre], i/p.fleet.Centres, p.fleet.Seed*1000+uint64(i))
		p.daemons = append(p.daemons, d)
		var ups []cuminstair.Upstream
		var names []string
		for _, inst := range p.order {
			if inst.up.Centre == centre {
				ups = append(ups, inst.up)
				names = append(names, inst.up.Host)
			}
		}
		d.router.SetUpstreams(serviceName, ups)
		d.health.SetGroup(serviceName, names)
		d.admission.Configure(p.kinds)
		d.resize()
		// Each daemon reports at its own moment of the period.
		p.after(p.fleet.Delay.D()*time.Duration(i)/time.Duration(p.fleet.Daemons), func() {
			p.clock.Every(p.fleet.Delay.D(), func(time.Time) { p.report(d) })
		})
		p.clock.Every(expirePeriod, func(time.Time) { d.tick() })
		p.clock.Every(probePeriod, func(time.Time) { p.probe(d) })
	}
}

func (p *Player) after(d time.Duration, fn func()) func() bool {
	return p.clock.After(max(d, 0), func(time.Time) { fn() })
}

// mates returns the other daemons of a daemon's data centre.
func (p *Player) mates(d *daemon) []*daemon {
	var mates []*daemon
	for _, o := range p.daemons {
		if o != d && o.centre == d.centre {
			mates = append(mates, o)
		}
	}
	return mates
}

// report sends a daemon's loads and its opinions of upstreams to the others of its data centre.
func (p *Player) report(d *daemon) {
	loads := d.router.Loads()
	opinions := map[string]cuminstair.HostState{}
	for host := range p.hosts {
		if state, ok := d.health.Opinion(p.clock.Now(), host); ok {
			opinions[host] = state
		}
	}
	for _, o := range p.mates(d) {
		p.after(peerLatency, func() {
			o.router.SetRemote(d.name, loads)
			for _, inst := range p.order {
				if state, ok := opinions[inst.up.Host]; ok {
					o.health.Report(p.clock.Now(), d.name, inst.up.Host, state)
				}
			}
			o.apply()
			o.resize()
		})
	}
}

// probe checks the upstreams that fall to a daemon.
func (p *Player) probe(d *daemon) {
	now := p.clock.Now()
	names := []string{d.name}
	for _, o := range p.mates(d) {
		names = append(names, o.name)
	}
	for _, inst := range p.order {
		if inst.up.Centre == d.centre && health.Mine(inst.up.Host, names, d.name) {
			ok := inst.mode != ModeRefuse && inst.mode != ModeBreak
			d.health.Probe(now, inst.up.Host, ok, ok && inst.leaving)
		}
	}
	d.health.Tick(now)
	d.apply()
}

// States returns the worst state of each host in the eyes of any daemon of its data centre.
func (p *Player) States() map[string]cuminstair.HostState {
	states := map[string]cuminstair.HostState{}
	for _, inst := range p.order {
		host := inst.up.Host
		states[host] = cuminstair.HostActive
		for _, d := range p.daemons {
			if s := d.health.State(host); d.centre == inst.up.Centre && s != cuminstair.HostActive {
				states[host] = s
			}
		}
	}
	return states
}
