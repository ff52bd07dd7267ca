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

// Intervals and latencies of the simulated daemons.
const (
	expirePeriod = 10 * time.Millisecond // between calls of Admission.Expire
	probePeriod  = time.Second           // between active health checks
	peerLatency  = time.Millisecond      // one-way latency of a message between daemons
	// settleTime is how long the replay continues without new requests after the last line, so that all requests end.
	settleTime = 2 * time.Minute
)

// Player replays one trace. Set the exported fields before Play, and call Play only once.
type Player struct {
	// NewRouter creates the router of a daemon. live is the number of daemons in its data centre, self the daemon's
	// index among them. The default is route.Router.
	NewRouter func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router
	// NewAdmission creates the admission queue of a daemon. The default is admit.Queue.
	NewAdmission func() cuminstair.Admission
	// NewBudget creates the retry budget of a daemon. The default is retry.Budget.
	NewBudget func(rnd *rand.Rand) cuminstair.RetryBudget
	// OnSecond, if set, is called at the end of each second of the trace with the number of the second, counted from 1.
	OnSecond func(second int)

	start        time.Time
	clock        *timer.Virtual
	rand         *rand.Rand
	fleet        Line
	kinds        []cuminstair.Kind
	serviceTimes map[string]time.Duration
	hosts        map[string]*instance
	instances    []*instance
	daemons      []*daemon
	cutOff       map[string]bool
	loads        map[string]*load
	calls        []*call
	attempts     []sentAttempt
	finished     bool // all lines are played; no new requests arrive
}

// Check is an expect line and the value that the replay gave.
type Check struct {
	Line Line
	Got  float64
	OK   bool
}

// String returns the check as one line for a test's log.
func (c Check) String() string {
	name := string(c.Line.Measure)
	for _, s := range []string{c.Line.Kind, c.Line.Host} {
		if s != "" {
			name += " " + s
		}
	}
	bounds := ""
	if c.Line.Least != nil {
		bounds += " least " + strconv.FormatFloat(*c.Line.Least, 'g', 4, 64)
	}
	if c.Line.Most != nil {
		bounds += " most " + strconv.FormatFloat(*c.Line.Most, 'g', 4, 64)
	}
	return fmt.Sprintf("%s to %s: %s: got %.4g,%s", c.Line.From, c.Line.At, name, c.Got, bounds)
}

// Play replays a trace and returns its checks in order.
func (p *Player) Play(t Trace) []Check {
	p.setUp(t)
	if p.OnSecond != nil {
		second := 0
		p.clock.Every(time.Second, func(time.Time) {
			second++
			p.OnSecond(second)
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
	p.finished = true
	p.clock.Advance(settleTime)
	return checks
}

// advance moves the clock to an offset from the start.
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
	p.serviceTimes = map[string]time.Duration{}
	p.hosts = map[string]*instance{}
	p.cutOff = map[string]bool{}
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
	p.serviceTimes[l.Kind] = l.Took.D()
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
		p.instances = append(p.instances, inst)
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
		for _, inst := range p.instances {
			if inst.up.Centre == centre {
				ups = append(ups, inst.up)
				names = append(names, inst.up.Host)
			}
		}
		d.router.SetUpstreams(serviceName, ups)
		d.health.SetGroup(serviceName, names)
		d.admission.Configure(p.kinds)
		d.updateCapacity()
		// The reports of the daemons are spread evenly over the interval.
		p.after(p.fleet.Delay.D()*time.Duration(i)/time.Duration(p.fleet.Daemons), func() {
			p.clock.Every(p.fleet.Delay.D(), func(time.Time) { p.report(d) })
		})
		p.clock.Every(expirePeriod, func(time.Time) { d.expire() })
		p.clock.Every(probePeriod, func(time.Time) { p.probe(d) })
	}
}

func (p *Player) after(d time.Duration, fn func()) func() bool {
	return p.clock.After(max(d, 0), func(time.Time) { fn() })
}

// peers returns the other daemons of a daemon's data centre.
func (p *Player) peers(d *daemon) []*daemon {
	var peers []*daemon
	for _, o := range p.daemons {
		if o != d && o.centre == d.centre {
			peers = append(peers, o)
		}
	}
	return peers
}

// report sends a daemon's loads and the health states that it has observed itself to the other daemons of its data
// centre.
func (p *Player) report(d *daemon) {
	loads := d.router.Loads()
	ownStates := map[string]cuminstair.HostState{}
	for host := range p.hosts {
		if state, ok := d.health.OwnState(p.clock.Now(), host); ok {
			ownStates[host] = state
		}
	}
	for _, o := range p.peers(d) {
		p.after(peerLatency, func() {
			o.router.SetRemote(d.name, loads)
			for _, inst := range p.instances {
				if state, ok := ownStates[inst.up.Host]; ok {
					o.health.Report(p.clock.Now(), d.name, inst.up.Host, state)
				}
			}
			o.applyHealth()
			o.updateCapacity()
		})
	}
}

// probe runs the active health checks of the upstreams assigned to a daemon.
func (p *Player) probe(d *daemon) {
	now := p.clock.Now()
	names := []string{d.name}
	for _, o := range p.peers(d) {
		names = append(names, o.name)
	}
	for _, inst := range p.instances {
		if inst.up.Centre == d.centre && health.ChecksHost(inst.up.Host, names, d.name) {
			ok := inst.mode != ModeRefuse && inst.mode != ModeBreak
			d.health.Probe(now, inst.up.Host, ok, ok && inst.leaving)
		}
	}
	d.health.Tick(now)
	d.applyHealth()
}

// States returns the state of each host as the daemons of its data centre see it. If they differ, it returns one of the
// states other than active.
func (p *Player) States() map[string]cuminstair.HostState {
	states := map[string]cuminstair.HostState{}
	for _, inst := range p.instances {
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
