package trace

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/retry"
)

// A trace has one pool and one service.
const (
	poolName    = "pool"
	serviceName = "service"
)

// daemon models one entry daemon. It calls admission, routing, health and retries in the same order as the real
// daemon.
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
	earlier   cuminstair.Outcome // combined outcome of the earlier attempts
	outcome   cuminstair.Outcome
	reason    cuminstair.Reason
	endedAt   time.Time
	starts    int // how often an upstream started it
	last      *attempt
	d         *daemon // daemon that queues or runs it
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

// offer passes a request from a caller or from a daemon of another data centre to admission.
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

// attempt sends an admitted request to an upstream on a host other than avoid. If avoid is empty, any host may be used.
func (d *daemon) attempt(c *call, avoid string) {
	now := d.p.clock.Now()
	pick := d.router.Pick(now, serviceName, avoid)
	if pick.Upstream == nil {
		d.finish(c, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: pick.Reason})
		return
	}
	inst := d.p.hosts[pick.Upstream.Host]
	a := &attempt{call: c, inst: inst, pick: pick, d: d, sentAt: now, sentIndex: len(d.p.attempts)}
	d.p.attempts = append(d.p.attempts, sentAttempt{
		at: now.Sub(d.p.start), kind: c.req.Kind, host: inst.up.Host, retry: c.req.Attempt > 0,
		overSlots: inst.running+len(inst.queue) >= inst.real,
	})
	c.last = a
	d.inflight = append(d.inflight, a)
	a.stopTimer = d.p.after(c.req.Deadline.Sub(now), func() {
		d.handleResult(a, cuminstair.Result{Reason: cuminstair.ReasonDeadline, Latency: c.req.Deadline.Sub(a.sentAt)})
	})
	d.p.send(a)
}

// handleResult processes the result of an attempt and retries if allowed. Later results of the same attempt are ignored.
func (d *daemon) handleResult(a *attempt, res cuminstair.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.stopTimer()
	res.Kind = a.call.req.Kind
	d.remove(a)
	now := d.p.clock.Now()
	d.router.Release(now, a.pick, res)
	d.health.Observe(now, a.inst.up.Host, res)
	d.applyHealth()
	if res.Outcome == cuminstair.OutcomeDone {
		d.p.attempts[a.sentIndex].latency = res.Latency
		d.budget.Success(now, a.call.req.Team, poolName)
	} else if !a.call.cancelled && retry.Allowed(a.call.req, res) {
		if wait, ok := d.budget.Retry(now, a.call.req, poolName); ok {
			a.call.req.Attempt++
			a.call.earlier = retry.CombineOutcome(a.call.earlier, res.Outcome)
			d.p.after(wait, func() { d.resend(a) })
			return
		}
	}
	d.finish(a.call, res)
}

// resend retries a request unless its caller has cancelled it in the meantime.
func (d *daemon) resend(a *attempt) {
	if a.call.cancelled {
		d.finish(a.call, cuminstair.Result{})
		return
	}
	d.attempt(a.call, a.inst.up.Host)
}

// finish ends a request, frees its place in admission and starts the queued requests that fit.
func (d *daemon) finish(c *call, res cuminstair.Result) {
	next := d.admission.Finish(d.p.clock.Now(), c.req, res)
	d.p.end(c, retry.CombineOutcome(c.earlier, res.Outcome), res.Reason)
	d.startAll(next)
}

func (d *daemon) startAll(reqs []*cuminstair.Request) {
	for _, r := range reqs {
		c := d.waiting[r]
		delete(d.waiting, r)
		d.attempt(c, "")
	}
}

// cancel ends a request whose caller has cancelled it.
func (d *daemon) cancel(c *call) {
	c.cancelled = true
	now := d.p.clock.Now()
	if d.admission.Cancel(now, c.req) {
		delete(d.waiting, c.req)
		d.p.end(c, cuminstair.OutcomeNotRun, "")
		return
	}
	if c.last != nil && !c.last.ended {
		d.handleResult(c.last, cuminstair.Result{Latency: now.Sub(c.last.sentAt)})
	}
}

// expire ends the queued requests whose deadline has passed, then updates the capacity.
func (d *daemon) expire() {
	for _, r := range d.admission.Expire(d.p.clock.Now()) {
		c := d.waiting[r]
		delete(d.waiting, r)
		d.p.end(c, cuminstair.OutcomeNotRun, cuminstair.ReasonLate)
	}
	d.updateCapacity()
}

// applyHealth passes changes of health to routing.
func (d *daemon) applyHealth() {
	changed := d.health.Changed()
	for _, host := range changed {
		d.router.SetState(host, d.health.State(host))
	}
	if len(changed) > 0 {
		d.updateCapacity()
	}
}

// updateCapacity passes the capacity that routing reports to admission and starts the queued requests that then fit.
func (d *daemon) updateCapacity() {
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
