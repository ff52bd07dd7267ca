package trace

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/retry"
)

// pool and service of a replay; a trace has one of each.
const (
	poolName    = "pool"
	serviceName = "service"
)

// daemon is one entry daemon: the decisions and the order in which its edge would ask them.
type daemon struct {
	p         *Player
	name      string
	centre    string
	router    cuminstair.Router
	admission cuminstair.Admission
	budget    cuminstair.RetryBudget
	health    *health.Monitor
	waiting   map[*cuminstair.Request]*call
	inflight  []*attempt
}

// call is one request of a caller.
type call struct {
	req       *cuminstair.Request
	ended     bool
	cancelled bool
	spilled   bool
	before    cuminstair.Outcome // of the earlier attempts
	outcome   cuminstair.Outcome
	reason    cuminstair.Reason
	endedAt   time.Time
	ran       int // times that an upstream started it
	last      *attempt
	d         *daemon // where it waits or runs
}

func (p *Player) newDaemon(name, centre string, live, self int, seed uint64) *daemon {
	rnd := rand.New(rand.NewPCG(seed, seed+1))
	d := &daemon{
		p: p, name: name, centre: centre,
		router:    p.NewRouter(rnd, centre, live, self),
		admission: p.NewAdmission(),
		budget:    &retry.Budget{Rand: rnd},
		health:    &health.Monitor{},
		waiting:   map[*cuminstair.Request]*call{},
	}
	if p.NewBudget != nil {
		d.budget = p.NewBudget(rnd)
	}
	return d
}

// offer takes a request from a caller or from a daemon of another data centre.
func (d *daemon) offer(c *call) {
	c.d = d
	v := d.admission.Offer(d.p.clock.Now(), c.req)
	switch {
	case v.Run:
		d.attempt(c, "")
	case v.Wait:
		d.waiting[c.req] = c
	case d.p.spill(c):
	default:
		d.p.end(c, cuminstair.OutcomeNotRun, v.Reason)
	}
}

// attempt sends a request that has a place.
func (d *daemon) attempt(c *call, avoid string) {
	now := d.p.clock.Now()
	pick := d.router.Pick(now, serviceName, avoid)
	if pick.Upstream == nil {
		d.finish(c, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: pick.Reason})
		return
	}
	inst := d.p.hosts[pick.Upstream.Host]
	a := &attempt{call: c, inst: inst, pick: pick, d: d, at: now, sent: len(d.p.sent)}
	d.p.sent = append(d.p.sent, sent{
		at: now.Sub(d.p.start), kind: c.req.Kind, host: inst.up.Host, retry: c.req.Attempt > 0,
		over: inst.running+len(inst.queue) >= inst.real,
	})
	c.last = a
	d.inflight = append(d.inflight, a)
	a.stop = d.p.after(c.req.Deadline.Sub(now), func() {
		d.result(a, cuminstair.Result{Reason: cuminstair.ReasonDeadline, Latency: c.req.Deadline.Sub(a.at)})
	})
	d.p.send(a)
}

// result takes what became of an attempt; later results of the same attempt are ignored.
func (d *daemon) result(a *attempt, res cuminstair.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	res.Kind = a.call.req.Kind
	d.remove(a)
	now := d.p.clock.Now()
	d.router.Release(now, a.pick, res)
	d.health.Observe(now, a.inst.up.Host, res)
	d.apply()
	if res.Outcome == cuminstair.OutcomeDone {
		d.p.sent[a.sent].took = res.Latency
		d.budget.Success(now, a.call.req.Team, poolName)
	} else if !a.call.cancelled && retry.May(a.call.req, res) {
		if wait, ok := d.budget.Retry(now, a.call.req, poolName); ok {
			a.call.req.Attempt++
			a.call.before = retry.Settle(a.call.before, res.Outcome)
			d.p.after(wait, func() { d.again(a) })
			return
		}
	}
	d.finish(a.call, res)
}

// again sends a request once more, unless its caller left in the meantime.
func (d *daemon) again(a *attempt) {
	if a.call.cancelled {
		d.finish(a.call, cuminstair.Result{})
		return
	}
	d.attempt(a.call, a.inst.up.Host)
}

// finish gives the place of a request back.
func (d *daemon) finish(c *call, res cuminstair.Result) {
	next := d.admission.Finish(d.p.clock.Now(), c.req, res)
	d.p.end(c, retry.Settle(c.before, res.Outcome), res.Reason)
	d.startAll(next)
}

func (d *daemon) startAll(reqs []*cuminstair.Request) {
	for _, r := range reqs {
		c := d.waiting[r]
		delete(d.waiting, r)
		d.attempt(c, "")
	}
}

// cancel takes a request back, because its caller left.
func (d *daemon) cancel(c *call) {
	c.cancelled = true
	now := d.p.clock.Now()
	if d.admission.Cancel(now, c.req) {
		delete(d.waiting, c.req)
		d.p.end(c, cuminstair.OutcomeNotRun, "")
		return
	}
	if c.last != nil && !c.last.ended {
		d.result(c.last, cuminstair.Result{Latency: now.Sub(c.last.at)})
	}
}

// tick ends the queued requests that are too late.
func (d *daemon) tick() {
	for _, r := range d.admission.Expire(d.p.clock.Now()) {
		c := d.waiting[r]
		delete(d.waiting, r)
		d.p.end(c, cuminstair.OutcomeNotRun, cuminstair.ReasonLate)
	}
	d.resize()
}

// apply hands changes of health to routing.
func (d *daemon) apply() {
	changed := d.health.Changed()
	for _, host := range changed {
		d.router.SetState(host, d.health.State(host))
	}
	if len(changed) > 0 {
		d.resize()
	}
}

// resize hands the capacity that routing sees to admission.
func (d *daemon) resize() {
	d.startAll(d.admission.SetCapacity(d.p.clock.Now(), d.router.Capacity(serviceName)))
}

func (d *daemon) remove(a *attempt) {
	for i, o := range d.inflight {
		if o == a {
			last := len(d.inflight) - 1
			d.inflight[i] = d.inflight[last]
			d.inflight = d.inflight[:last]
			return
		}
	}
}
