package trace

import (
	"strconv"
	"time"

	"cuminstair.org/cuminstair"
)

// Rates of a rotate line: the kind whose turn it is gets highDemand times the mean rate, the others lowDemand times.
const (
	highDemand = 5
	lowDemand  = 0.05
)

// load is the arrival process of one kind.
type load struct {
	kind    cuminstair.Kind
	rate    float64 // requests per second
	changes int     // number of rate changes; arrivals scheduled before the last change are dropped
}

// apply executes one line.
func (p *Player) apply(l Line) {
	switch l.Event {
	case EventLoad:
		p.setRate(l.Kind, l.Rate)
	case EventRotate:
		p.rotate(l, 0)
	case EventFault:
		p.fault(l)
	case EventHeal:
		for _, inst := range p.instances {
			if l.Host == "" || l.Host == inst.up.Host {
				inst.mode, inst.factor, inst.silentConns = "", 0, 0
			}
		}
	case EventLeave, EventReturn:
		if inst := p.hosts[l.Host]; inst != nil {
			inst.leaving = l.Event == EventLeave
		}
	case EventCancel:
		p.cancel(l)
	case EventCut:
		p.cutOff[l.Centre] = true
	case EventJoin:
		delete(p.cutOff, l.Centre)
	default:
	}
}

func (p *Player) setRate(kind string, rate float64) {
	l := p.loads[kind]
	if l == nil {
		l = &load{}
		for _, k := range p.kinds {
			if k.Name == kind {
				l.kind = k
			}
		}
		p.loads[kind] = l
	}
	l.rate = rate
	l.changes++
	p.scheduleArrival(l)
}

// scheduleArrival schedules the next arrival.
func (p *Player) scheduleArrival(l *load) {
	if l.rate <= 0 {
		return
	}
	changes := l.changes
	wait := time.Duration(p.rand.ExpFloat64() / l.rate * float64(time.Second))
	p.after(wait, func() {
		if l.changes != changes || p.finished {
			return
		}
		p.arrive(l.kind)
		p.scheduleArrival(l)
	})
}

// arrive sends a new request to a random daemon, as the platform's load balancer does.
func (p *Player) arrive(k cuminstair.Kind) {
	now := p.clock.Now()
	c := &call{earlier: cuminstair.OutcomeNotRun, req: &cuminstair.Request{
		ID: strconv.Itoa(len(p.calls)), Service: serviceName, Kind: k.Name, Urgency: k.Urgency, Idempotent: k.Idempotent,
		Team:    "team" + strconv.Itoa(p.rand.IntN(max(p.fleet.Teams, 1))),
		Arrived: now, Deadline: now.Add(k.Deadline.D()),
	}}
	p.calls = append(p.calls, c)
	p.daemons[p.rand.IntN(len(p.daemons))].offer(c)
}

func (p *Player) rotate(l Line, turn int) {
	if p.finished {
		return
	}
	for i, kind := range l.Kinds {
		rate := l.Rate * lowDemand
		if i == turn%len(l.Kinds) {
			rate = l.Rate * highDemand
		}
		p.setRate(kind, rate)
	}
	p.after(l.Period.D(), func() { p.rotate(l, turn+1) })
}

func (p *Player) fault(l Line) {
	n := int(l.Share*float64(len(p.instances)) + 0.5)
	for i, inst := range p.instances {
		if inst.up.Host != l.Host && (l.Host != "" || i >= n) {
			continue
		}
		inst.mode, inst.factor = l.Mode, l.Factor
		if l.Mode == ModeSilent {
			p.silence(inst)
		}
	}
}

// silence makes the established connections to an instance stop responding: those with a request in flight, and one
// idle connection for each of them.
func (p *Player) silence(inst *instance) {
	for _, d := range p.daemons {
		for _, a := range d.inflight {
			if a.inst == inst && !a.silent {
				a.silent = true
				inst.silentConns++
				p.timeoutSilent(a)
			}
		}
	}
}

// cancel makes a share of the callers cancel their outstanding requests at once.
func (p *Player) cancel(l Line) {
	for _, c := range p.calls {
		if !c.ended && !c.cancelled && (l.Kind == "" || l.Kind == c.req.Kind) && p.rand.Float64() < l.Share {
			c.d.cancel(c)
		}
	}
}

// spill offers a request that was refused in its data centre to a daemon of another data centre, at most once for each
// request. It returns false if spilling is off, if the request was spilled before, or if no other data centre can be
// reached.
func (p *Player) spill(c *call) bool {
	if !p.fleet.Spill || c.spilled || p.cutOff[c.d.centre] {
		return false
	}
	var others []*daemon
	for _, o := range p.daemons {
		if o.centre != c.d.centre && !p.cutOff[o.centre] {
			others = append(others, o)
		}
	}
	if len(others) == 0 {
		return false
	}
	c.spilled = true
	o := others[p.rand.IntN(len(others))]
	p.after(peerLatency, func() { o.offer(c) })
	return true
}

// end records the outcome of a request. It panics if the request has ended before.
func (p *Player) end(c *call, outcome cuminstair.Outcome, reason cuminstair.Reason) {
	if c.ended {
		panic("request " + c.req.ID + " ended twice")
	}
	c.ended = true
	c.outcome, c.reason, c.endedAt = outcome, reason, p.clock.Now()
}

// leaked counts slots and queue places that are still taken after all requests should have ended, and requests that
// never ended.
func (p *Player) leaked() int {
	n := 0
	for _, c := range p.calls {
		if !c.ended {
			n++
		}
	}
	for _, d := range p.daemons {
		n += len(d.inflight) + len(d.waiting)
		for _, l := range d.router.Loads() {
			n += l.Inflight
		}
	}
	return n
}
