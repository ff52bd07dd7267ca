package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/quota"
)

// Limits of accounts in a walk. One account has a limit, which versions of the configuration raise and cut. Its tasks run on the
// workers of the service and at another service, of which only the use is modelled. Daemons divide the limit one after the other, as
// package entry does, with the real quota.Ledger.

// Parameters of the limits.
const (
	walkLimited     = 0.4 // share of walks with a limit
	walkAccount     = "acme"
	walkInForce     = 3 * time.Second // after the acknowledgement of a version, every daemon has it
	walkRound       = 300 * time.Millisecond
	walkPasses      = 3
	walkDemandLimit = 250 * time.Millisecond
	walkStampAge    = 2 * time.Second
	// A limit is at least that of a gang of addJob, so that each job can end.
	walkLeastCPU    = 18000
	walkLeastMemory = 18000
	walkMoreLimit   = 20000
	otherTaskCPU    = 2000 // largest task of the other service
)

// limitVersion is a limit that the operator has set.
type limitVersion struct {
	limit quota.Amount
	at    time.Time // when it was acknowledged
	cut   bool      // the one before was higher
}

// walkLimits is what a walk has of limits.
type walkLimits struct {
	w          *walk
	rand       *rand.Rand
	versions   []limitVersion
	known      map[string]int // by daemon, and for the other service: version that it has
	token      uint64         // of the present controller
	on         *daemon        // daemon of the present controller
	onRun      int
	other      *quota.Share
	otherUsed  quota.Amount
	otherWants int // tasks that the other service has waiting
	cutUntil   time.Time
	counts     limitCounts
}

// limitCounts tell what the limits of a walk have reached.
type limitCounts struct {
	walks, controllers, grants, late, full, blocked, otherStarts int
}

func (c *limitCounts) add(o *limitCounts) {
	c.walks, c.controllers, c.grants, c.late = c.walks+o.walks, c.controllers+o.controllers, c.grants+o.grants, c.late+o.late
	c.full, c.blocked, c.otherStarts = c.full+o.full, c.blocked+o.blocked, c.otherStarts+o.otherStarts
}

func newWalkLimits(w *walk, r *rand.Rand) *walkLimits {
	q := &walkLimits{w: w, rand: r, known: map[string]int{}, other: quota.NewShare(1)}
	q.counts.walks = 1
	q.versions = []limitVersion{{limit: q.drawLimit(), at: begin}}
	q.other.SetLimits(q.limits("other"), q.always)
	w.sim.after(time.Second, q.control)
	w.sim.after(time.Second, q.playOther)
	for range r.IntN(3) {
		w.sim.after(q.between(3*time.Second, walkFaults), q.newVersion)
	}
	return q
}

func (q *walkLimits) always(string) bool { return true }

func (q *walkLimits) between(low, high time.Duration) time.Duration {
	return low + time.Duration(q.rand.Int64N(int64(high-low)+1))
}

func (q *walkLimits) drawLimit() quota.Amount {
	limit := quota.Amount{walkLeastCPU + q.rand.IntN(walkMoreLimit), 0, 0}
	if q.rand.IntN(2) == 0 {
		limit[1] = walkLeastMemory + q.rand.IntN(walkMoreLimit)
	}
	return limit
}

// account draws the account of a job.
func (q *walkLimits) account() string {
	if q == nil || q.rand.Float64() < 0.2 {
		return ""
	}
	return walkAccount
}

// newVersion sets another limit, which each daemon learns some time later.
func (q *walkLimits) newVersion() {
	last := q.versions[len(q.versions)-1].limit
	next := q.drawLimit()
	next[1] = last[1] // so that a cut is one of each resource
	if q.rand.IntN(2) == 0 {
		next = quota.Amount{walkLeastCPU, min(last[1], walkLeastMemory)}
	}
	cut := next[0] < last[0] || next[1] < last[1]
	q.versions = append(q.versions, limitVersion{limit: next, at: q.w.sim.now, cut: cut})
	q.w.note("operator", "limit set", "limit", next)
	n := len(q.versions) - 1
	for _, d := range q.w.daemons {
		q.w.sim.after(q.between(0, walkInForce), func() {
			q.known[d.name] = max(q.known[d.name], n)
			if r := d.runner; d.alive && !d.frozen && r != nil {
				r.post(func(time.Time) { r.state.SetAccounts(q.accounts(d)) })
			}
		})
	}
	q.w.sim.after(q.between(0, walkInForce), func() {
		q.known["other"] = max(q.known["other"], n)
		q.other.SetLimits(q.limits("other"), q.always)
	})
}

func (q *walkLimits) limits(who string) map[string]quota.Amount {
	return map[string]quota.Amount{walkAccount: q.versions[q.known[who]].limit}
}

func (q *walkLimits) accounts(d *daemon) []cuminstair.ClientAccount {
	limit := q.limits(d.name)[walkAccount]
	return []cuminstair.ClientAccount{{Name: walkAccount, Limit: cuminstair.Resources{CPU: limit[0], Memory: limit[1], Accel: limit[2]}}}
}

// playOther starts and ends tasks of the other service. Its demand comes and goes.
func (q *walkLimits) playOther() {
	q.w.sim.after(q.between(50*time.Millisecond, 300*time.Millisecond), q.playOther)
	switch n := q.rand.IntN(12); {
	case q.w.healed:
		q.otherWants = 0
	case n == 0:
		q.otherWants = 0
	case n == 1:
		q.otherWants = 20
	case n == 2 && q.w.sim.now.After(q.cutUntil):
		q.cutUntil = q.w.sim.now.Add(q.between(0, 9*time.Second))
	}
	for q.otherWants > 0 {
		task := quota.Amount{500 + q.rand.IntN(otherTaskCPU-500), 1000}
		if !q.other.Fits(q.w.sim.now, walkAccount, task, 1) {
			return
		}
		q.otherWants--
		q.other.Charge(walkAccount, task, 1)
		q.otherUsed = q.otherUsed.Plus(task, 1)
		q.counts.otherStarts++
		q.check(cuminstair.TaskID{}, task, "the other service")
		q.w.sim.after(q.between(50*time.Millisecond, 4*time.Second), func() {
			q.other.Charge(walkAccount, task, -1)
			q.otherUsed = q.otherUsed.Plus(task, -1)
		})
	}
}

// checkRun checks the start of a run, after it was added to its worker.
func (q *walkLimits) checkRun(r *modelRun) {
	if q != nil && q.w.jobs[r.task.Job].account != "" {
		q.check(r.task, quota.Amount{r.cpu, r.memory}, r.by)
	}
}

// check checks that the tasks of the account that run are within its limit, the highest that may be in force, plus one task. Runs
// that began before a cut do not count, since none is stopped because of it.
func (q *walkLimits) check(t cuminstair.TaskID, task quota.Amount, by string) {
	now := q.w.sim.now
	limit, cutAt := quota.Amount{}, time.Time{}
	for i, v := range q.versions {
		if i == len(q.versions)-1 || now.Sub(q.versions[i+1].at) <= walkInForce {
			limit = limit.Max(v.limit)
		}
		if v.cut && now.Sub(v.at) > walkInForce {
			cutAt = v.at.Add(walkInForce)
		}
	}
	used, before := q.otherUsed, quota.Amount{}
	for _, h := range q.w.hosts {
		for _, r := range h.runs() {
			if q.w.jobs[r.task.Job].account == "" {
				continue
			}
			used = used.Plus(quota.Amount{r.cpu, r.memory}, 1)
			if r.started.Before(cutAt) {
				before = before.Plus(quota.Amount{r.cpu, r.memory}, 1)
			}
		}
	}
	if used[0]+otherTaskCPU > limit[0] {
		q.counts.full++
	}
	for i := range limit {
		if limit[i] > 0 && used[i]-before[i] > limit[i]+task[i] {
			q.w.violation("LIMIT", t, fmt.Sprintf("%v of %v are in use after a start by %s; %v by the other service, %v since before a cut", used, limit, by, q.otherUsed, before))
		}
	}
}

// runs returns the active runs on the worker of a host.
func (h *modelHost) runs() []*modelRun {
	if h.proc == nil || h.proc.dead {
		return nil
	}
	return h.proc.runs
}

// control lets a daemon take the duty of the controller over when the present one has ended, and sometimes when it has not.
func (q *walkLimits) control() {
	q.w.sim.after(q.between(500*time.Millisecond, 1500*time.Millisecond), q.control)
	gone := q.on == nil || !q.on.alive || q.on.run != q.onRun
	if !gone && (q.w.healed || q.rand.IntN(12) > 0) {
		return
	}
	d := q.w.daemons[q.rand.IntN(len(q.w.daemons))]
	if !d.alive || d.frozen {
		return
	}
	q.w.store.version++
	q.token, q.on, q.onRun = q.w.store.version, d, d.run
	q.counts.controllers++
	c := &walkController{q: q, d: d, token: q.token, begin: q.w.sim.now, ledger: quota.NewLedger(q.token, d.now())}
	q.w.note(d.name, "controller of limits", "token", c.token)
	c.step()
}

// walkController is a daemon that divides the limit.
type walkController struct {
	q      *walkLimits
	d      *daemon
	token  uint64
	begin  time.Time // true time
	ledger *quota.Ledger
	stamp  walkStamp // of the last answer of the service
}

// walkStamp is the time of an answer of an owner.
type walkStamp struct {
	of *runner
	at time.Time // on its clock
}

// step plays a round, if the daemon may still be the controller as far as it knows.
func (c *walkController) step() {
	d := c.d
	if d.controller > c.token || c.q.w.sim.now.Sub(d.readAt) > ownerGrace && d.readAt.After(c.begin) {
		if c.q.token == c.token {
			c.q.on = nil // without the store another daemon takes the duty
		}
		return
	}
	d.after(walkRound, c.step)
	if !d.readAt.After(c.begin) {
		return
	}
	c.ledger.SetLimits(d.now(), c.q.limits(d.name))
	present := []string{"t"}
	if d.seen.name != "" {
		present = append(present, "s")
	}
	c.ledger.SetServices(d.now(), []string{"s", "t"}, present)
	c.pass(0, present)
}

func (c *walkController) pass(n int, services []string) {
	c.ledger.Plan(c.d.now())
	if n > 0 {
		services = slices.DeleteFunc(services, func(s string) bool { return !c.ledger.Due(s) })
	}
	open := len(services)
	done := func() {
		if open--; open == 0 && n+1 < walkPasses {
			c.pass(n+1, services)
		}
	}
	for _, s := range slices.Clone(services) {
		if s == "t" {
			c.askOther(done)
		} else {
			c.ask(done)
		}
	}
}

// askOther grants the other service its share, unless it is cut off.
func (c *walkController) askOther(done func()) {
	q, issued := c.q, c.q.w.sim.now
	g := c.ledger.Grant("t")
	if q.w.sim.now.Before(q.cutUntil) {
		c.d.after(walkDemandLimit, done)
		return
	}
	c.d.after(q.between(0, 20*time.Millisecond), func() {
		q.other.Accept(issued, g)
		task := quota.Amount{otherTaskCPU, 1000}
		r := q.other.Report(false, map[string]quota.Waiting{walkAccount: {Total: quota.Amount{}.Plus(task, q.otherWants), Unit: task}})
		c.d.after(q.between(0, 20*time.Millisecond), func() {
			c.ledger.Report(c.d.now(), "t", r)
			q.w.note("other", "grant answered", "controller", g.Token, "seq", g.Seq, "share", g.Shares[walkAccount].Share, "last", r.Seq, "use", r.Accounts[walkAccount])
			done()
		})
	})
}

// ask grants the service its share, and once more if its owner can't tell that the request is recent.
func (c *walkController) ask(done func()) {
	g := c.ledger.Grant("s")
	finished := false
	end := func() {
		if !finished {
			finished = true
			done()
		}
	}
	c.d.after(walkDemandLimit, end)
	var try func(n int)
	try = func(n int) {
		c.send(g, func(of *runner, at time.Time, r *quota.Report) {
			if finished {
				return
			}
			c.stamp = walkStamp{of, at}
			if r == nil && n == 0 {
				try(1)
				return
			}
			if r != nil {
				c.ledger.Report(c.d.now(), "s", *r)
			}
			end()
		})
	}
	try(0)
}

// send sends a grant to the owner that the records name. The network may lose it, or deliver it late or twice.
func (c *walkController) send(g quota.Grant, answer func(of *runner, at time.Time, r *quota.Report)) {
	q, w, to, stamp := c.q, c.q.w, c.q.w.daemonNamed(c.d.seen.name), c.stamp
	if to == nil {
		return
	}
	mode := w.mode(c.d, to.name, to.centre)
	deliver := func(after time.Duration, reply bool) {
		w.sim.after(after, func() {
			to.do(to.run, func() {
				if to.runner == nil {
					return
				}
				of, at, r := q.receive(to, stamp, g)
				if reply && w.mode(c.d, to.name, to.centre) == linkOK {
					c.d.after(w.latency(), func() { answer(of, at, r) })
				}
			})
		})
	}
	switch {
	case mode == linkHeld || q.rand.IntN(30) == 0:
		q.counts.late++
		deliver(q.between(0, 12*time.Second), false)
	case mode == linkOK:
		deliver(w.latency(), true)
		if q.rand.IntN(30) == 0 {
			deliver(q.between(0, 3*time.Second), false)
		}
	case mode == linkAnswersLost:
		deliver(w.latency(), false)
	default:
	}
}

// receive takes a grant over in an owner. It returns the owner, the time of the answer, and the report, nil if the grant may be late.
func (q *walkLimits) receive(to *daemon, stamp walkStamp, g quota.Grant) (of *runner, at time.Time, report *quota.Report) {
	x := to.runner
	x.post(func(now time.Time) {
		at = now
		if stamp.of != x || now.Sub(stamp.at) >= walkStampAge {
			return
		}
		x.state.SetAccounts(q.accounts(to))
		if to.readAt.After(x.takenAt.Add(-to.offset)) && g.Token >= to.controller {
			x.state.Grant(now, stamp.at, g)
			q.counts.grants++
		}
		r := x.state.LimitReport()
		q.counts.blocked = max(q.counts.blocked, x.state.Counts().LimitBlocks)
		report = &r
		q.w.note(x.name(), "grant answered", "controller", g.Token, "seq", g.Seq, "share", g.Shares[walkAccount].Share, "seen", r.Controller, "last", r.Seq,
			"unsettled", r.Unsettled, "use", fmt.Sprintf("%+v", r.Accounts[walkAccount]))
	})
	return x, at, report
}
