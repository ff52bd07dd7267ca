package trace

import (
	"strconv"
	"time"

	"cuminstair.org/cuminstair"
)

// Demand of the fleets rotates: a kind in its turn gets highDemand times its mean, and lowDemand times otherwise.
const (
	highDemand = 5
	lowDemand  = 0.05
)

// load is the arrivals of one kind.
type load struct {
	kind cuminstair.Kind
	rate float64 // requests a second
	turn int     // counts changes of the rate; arrivals planned before the last change are dropped
}

// apply carries out one line.
func (p *Player) apply(l Line) {
	switch l.Event {
	case EventLoad:
		p.setRate(l.Kind, l.Rate)
	case EventRotate:
		p.rotate(l, 0)
	case EventFault:
		p.fault(l)
	case EventHeal:
		for _, inst := range p.order {
			if l.Host == "" || l.Host == inst.up.Host {
				inst.mode, inst.factor, inst.silent = "", 0, 0
			}
		}
	case EventLeave, EventReturn:
		if inst := p.hosts[l.Host]; inst != nil {
			inst.leaving = l.Event == EventLeave
		}
	case EventCancel:
		p.cancel(l)
	case EventCut:
		p.cut[l.Centre] = true
	case EventJoin:
		delete(p.cut, l.Centre)
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
	l.turn++
	p.plan(l)
}

// plan schedules the next arrival.
func (p *Player) plan(l *load) {
	if l.rate <= 0 {
		return
	}
	turn := l.turn
	wait := time.Duration(p.rand.ExpFloat64() / l.rate * float64(time.Second))
	p.after(wait, func() {
		if l.turn != turn || p.over {
			return
		}
		p.arrive(l.kind)
		p.plan(l)
	})
}

// arrive hands a new request to a random daemon, as the platform's load balancer does.
func (p *Player) arrive(k cuminstair.Kind) {
	now := p.clock.Now()
	c := &call{before: cuminstair.OutcomeNotRun, req: &cuminstair.Request{
		ID: strconv.Itoa(len(p.calls)), Service: serviceName, Kind: k.Name, Urgency: k.Urgency, Idempotent: k.Idempotent,
		Team:    "team" + strconv.Itoa(p.rand.IntN(max(p.fleet.Teams, 1))),
		Arrived: now, Deadline: now.Add(k.Deadline.D()),
	}}
	p.calls = append(p.calls, c)
	p.daemons[p.rand.IntN(len(p.daemons))].offer(c)
}

func (p *Player) rotate(l Line, turn int) {
	if p.over {
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
	n := int(l.Share*float64(len(p.order)) + 0.5)
	for i, inst := range p.order {
		if inst.up.Host != l.Host && (l.Host != "" || i >= n) {
			continue
		}
		inst.mode, inst.factor = l.Mode, l.Factor
		if l.Mode == ModeSilent {
			p.silence(inst)
		}
	}
}

// silence makes all established connections to an instance go silent: those in use and as many idle ones.
func (p *Player) silence(inst *instance) {
	for _, d := range p.daemons {
		for _, a := range d.inflight {
			if a.inst == inst && !a.mute {
				a.mute = true
				inst.silent++
				p.watch(a)
			}
		}
	}
}

// cancel lets callers leave in a wave.
func (p *Player) cancel(l Line) {
	for _, c := range p.calls {
		if !c.ended && !c.cancelled && (l.Kind == "" || l.Kind == c.req.Kind) && p.rand.Float64() < l.Share {
			c.d.cancel(c)
		}
	}
}

// spill offers a refused request to a daemon of another data centre, once. It returns false if there is none.
func (p *Player) spill(c *call) bool {
	if !p.fleet.Spill || c.spilled || p.cut[c.d.centre] {
		return false
	}
	var others []*daemon
	for _, o := range p.daemons {
		if o.centre != c.d.centre && !p.cut[o.centre] {
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

// end records the one end of a request.
func (p *Player) end(c *call, outcome cuminstair.Outcome, reason cuminstair.Reason) {
	if c.ended {
		panic("request " + c.req.ID + " ended twice")
	}
	c.ended = true
	c.outcome, c.reason, c.endedAt = outcome, reason, p.clock.Now()
}

// leaked counts places that are taken although no request is outstanding, and requests that never ended.
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
