package dispatch_test

import (
	"time"

	"cuminstair.org/cuminstair/dispatch"
)

// Limits of forwarded calls, as in package entry.
const (
	answerReserve  = 150 * time.Millisecond
	ownerWait      = 250 * time.Millisecond
	peerCheckAfter = 400 * time.Millisecond
	peerDialLimit  = 500 * time.Millisecond
	maxViewAge     = 1300 * time.Millisecond
	hintTime       = 10 * time.Second
	maxResends     = 3
)

// maxCallAge is how long the network holds a call at most.
const maxCallAge = 120 * time.Second

// retransmissions are the times after which TCP sends a packet again, counted from the first time.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond,
	12600 * time.Millisecond, 25400 * time.Millisecond, 51 * time.Second, 102200 * time.Millisecond,
}

// shortRetransmissions is the number of the first retransmissions, of which most held packets have one.
const shortRetransmissions = 5

// openCalls are the calls that a daemon has forwarded and for whose answers it waits, and what it knows of the owner.
type openCalls struct {
	last   int
	open   map[int]bool
	hint   string // owner that another daemon named
	hintAt time.Time
	stamp  stamp // latest one that the daemon has seen
}

// stamp tells when an owner has answered, as in package entry.
type stamp struct {
	runner *runner
	token  uint64
	at     time.Time // on the clock of the runner
}

// observe records a stamp and returns false if it is of a former owner.
func (o *openCalls) observe(t stamp) bool {
	if t.token < o.stamp.token {
		return false
	}
	if t.token > o.stamp.token || t.runner != o.stamp.runner || t.at.After(o.stamp.at) {
		o.stamp = t
	}
	return true
}

// issuedAt returns when this runner issued a stamp, or the zero time if it did not.
func (r *runner) issuedAt(t stamp) time.Time {
	if t.runner != r {
		return time.Time{}
	}
	return t.at
}

// peerReply is the answer of a daemon to a forwarded call.
type peerReply struct {
	result   dispatch.Result
	notOwner bool
	late     bool   // not acted on, since it may be a late copy; the sender is asked for it again
	owner    string // if notOwner: the owner that it knows of
	stamp    stamp
}

// denies reports whether the answer says that the call has changed nothing and never will.
func (r *peerReply) denies() bool {
	a := answerOf(r.result.Outcome)
	return a == callRefused || a == callGone
}

// peerError tells why a forwarded call has no answer.
type peerError uint8

const (
	peerOK         peerError = iota
	peerNotSent              // no connection
	peerUnanswered           // the call may have been acted on
)

// peerCall is a call that a daemon forwards. Each copy is a peerCall of its own.
type peerCall struct {
	*attempt
	from   *daemon
	run    int // of from
	number int // counted per run
	stamp  stamp
}

// forwarding is a caller's call at a daemon.
type forwarding struct {
	d      *daemon
	a      *attempt
	begin  time.Time
	end    time.Time // when the daemon gives up
	sent   bool      // an owner may have acted on it
	again  int       // times that an owner has asked for it again
	answer func(dispatch.Result)
}

// serve forwards a call to the owner, again if there is no answer, and calls answer once.
func (d *daemon) serve(a *attempt, answer func(dispatch.Result)) {
	f := &forwarding{d: d, a: a, begin: d.w.sim.now, end: a.limit.Add(-answerReserve), answer: answer}
	f.try()
}

// try sends a call to the owner that the daemon knows of.
func (f *forwarding) try() {
	d := f.d
	to, local := d.knownOwner()
	switch {
	case local != nil:
		local.call(f.a, peerCall{}, time.Time{}, f.answered)
	case to != nil:
		f.forward(to)
	default:
		f.failed(peerNotSent)
	}
}

func (f *forwarding) answered(r peerReply) {
	if r.notOwner {
		if r.owner != "" && r.owner != f.d.name {
			f.d.calls.hint, f.d.calls.hintAt = r.owner, f.d.w.sim.now
		}
		f.failed(peerNotSent)
		return
	}
	if !f.d.calls.observe(r.stamp) && r.denies() {
		f.failed(peerNotSent)
		return
	}
	f.answer(r.result)
}

// failed tries again or answers the caller.
func (f *forwarding) failed(e peerError) {
	now := f.d.w.sim.now
	f.sent = f.sent || e == peerUnanswered
	if now.Before(f.end) && (f.sent || now.Sub(f.begin) <= ownerWait) {
		f.d.readMore = true
		f.d.after(ownerWait/5, f.try)
		return
	}
	if f.sent {
		f.answer(dispatch.Result{Outcome: dispatch.Uncertain, Why: "the owner did not answer"})
		return
	}
	f.answer(dispatch.Result{Outcome: dispatch.Unavailable, Wait: time.Second, Why: "the service has no owner"})
}

// forward sends a copy of the call to another daemon and waits for its answer until the other daemon seems to be dead or the
// caller's time is over.
func (f *forwarding) forward(to *daemon) {
	d, w := f.d, f.d.w
	d.calls.last++
	c := peerCall{attempt: f.a, from: d, run: d.run, number: d.calls.last, stamp: d.calls.stamp}
	if d.calls.open == nil {
		d.calls.open = map[int]bool{}
	}
	d.calls.open[c.number] = true
	done := func(then func()) {
		d.do(c.run, func() {
			if d.calls.open[c.number] {
				delete(d.calls.open, c.number)
				then()
			}
		})
	}
	giveUp := func() { done(func() { f.failed(peerUnanswered) }) }
	answered := func(r peerReply) {
		if r.late && f.again < maxResends && d.calls.observe(r.stamp) {
			f.again++
			f.forward(to)
			return
		}
		f.answered(r)
	}
	w.sendCall(c, to, func(r peerReply) { done(func() { answered(r) }) }, func() { done(func() { f.failed(peerNotSent) }) })
	w.sim.after(f.end.Sub(w.sim.now), giveUp)
	d.after(peerCheckAfter, func() {
		if d.calls.open[c.number] {
			w.ask(d, to, func() bool { return true }, func(alive bool) {
				if !alive {
					giveUp()
				}
			})
		}
	})
}

// oldHint is the share of calls that a daemon sends to a former owner, if there is one that does not know of its successor.
const oldHint = 0.3

// knownOwner returns the owner that a daemon knows of, which may be a former one: its own runner or another daemon.
func (d *daemon) knownOwner() (*daemon, *runner) {
	w := d.w
	if r := d.runner; r != nil && !r.ended && !r.releasing {
		return nil, r
	}
	if former := w.formerOwner(); former != nil && former != d && w.sim.chance(oldHint) {
		return former, nil
	}
	owner := d.seen.name
	if w.sim.now.Sub(d.readAt) > maxViewAge {
		switch {
		case d.calls.hint != "" && w.sim.now.Sub(d.calls.hintAt) < hintTime:
			owner = d.calls.hint
		case owner == "" || owner == d.name:
			owner = w.daemons[w.sim.rand.IntN(len(w.daemons))].name
		}
	}
	if owner == "" || owner == d.name {
		return nil, nil
	}
	return w.daemonNamed(owner), nil
}

// formerOwner returns a daemon that owned the service before another and does not know of it, or nil.
func (w *walk) formerOwner() *daemon {
	var former, newest *runner
	for _, d := range w.daemons {
		switch r := d.runner; {
		case !d.alive || r == nil || r.ended:
		case newest == nil || r.token > newest.token:
			former, newest = newest, r
		default:
			former = r
		}
	}
	if former == nil {
		return nil
	}
	return former.d
}

// hold returns how long the network holds a packet that is lost at first.
func (w *walk) hold(most int) time.Duration {
	s := w.sim
	n := s.rand.IntN(shortRetransmissions)
	if most > shortRetransmissions && s.chance(0.4) {
		n = shortRetransmissions + s.rand.IntN(most-shortRetransmissions)
	}
	return s.between(retransmissions[n], retransmissions[n]*115/100)
}

// callLoss is the share of calls between daemons whose packets are lost without a cut.
const callLoss = 0.02

// sendCall sends a copy of a call to another daemon. The connection ends with the process that it was made to.
func (w *walk) sendCall(c peerCall, to *daemon, answer func(peerReply), notSent func()) {
	w.counts.calls.copies++
	cut := w.mode(c.from, to.name, to.centre) != linkOK
	switch {
	case !to.alive:
		w.sim.after(w.latency(), notSent)
		return
	case cut && w.sim.chance(0.4):
		w.sim.after(peerDialLimit, notSent)
		return
	}
	delay := w.latency()
	if cut || w.sim.chance(callLoss) {
		delay = w.hold(len(retransmissions))
		w.counts.calls.held++
		if delay > retransmissions[shortRetransmissions] {
			w.counts.calls.heldLong++
		}
		w.note("network", "call held", "job", c.job.id, "attempt", c.attempt.number, "from", c.from.name, "to", to.name, "for", delay)
	}
	w.deliverCall(c, to, to.run, delay, answer)
}

// deliverCall delivers a copy after a time, or later if the path is cut then.
func (w *walk) deliverCall(c peerCall, to *daemon, run int, delay time.Duration, answer func(peerReply)) {
	sent := w.sim.now
	if at := sent.Add(delay); at.After(w.heldUntil) {
		w.heldUntil = at.Add(cancelDelay + 4*time.Second) // in which a job that it hands in begins to run
	}
	w.sim.after(delay, func() {
		if w.mode(c.from, to.name, to.centre) != linkOK {
			if delay = max(delay, retransmissions[0]); 2*delay < maxCallAge {
				w.deliverCall(c, to, run, delay, answer)
			}
			return
		}
		to.do(run, func() {
			to.serveCall(c, func(r peerReply) { w.replyCall(c, to, r, answer) })
		})
	})
}

// replyCall sends the answer of a copy, which the network may hold too.
func (w *walk) replyCall(c peerCall, from *daemon, r peerReply, answer func(peerReply)) {
	delay := w.latency()
	if w.mode(c.from, from.name, from.centre) != linkOK || w.sim.chance(callLoss) {
		delay = w.hold(shortRetransmissions)
	}
	w.sim.after(delay, func() {
		if w.mode(c.from, from.name, from.centre) == linkOK {
			answer(r)
		}
	})
}

// serveCall passes a copy to the runner of the service, if the daemon owns it.
func (d *daemon) serveCall(c peerCall, answer func(peerReply)) {
	r := d.runner
	if r == nil || r.ended || r.releasing {
		owner := d.seen.name
		answer(peerReply{notOwner: true, owner: owner})
		return
	}
	r.call(c.attempt, c, r.issuedAt(c.stamp), answer)
}

// call carries out a call of a caller. c is the copy if another daemon has forwarded the call, which was waiting for the answer
// at openAt or later. A copy that may be late is acted on only if that daemon still waits.
func (r *runner) call(a *attempt, c peerCall, openAt time.Time, answer func(peerReply)) {
	if r.ended || r.state.Deposed() {
		answer(peerReply{notOwner: true})
		return
	}
	w := r.d.w
	r.post(func(now time.Time) {
		if c.from != nil && r.mayBeLate(now, a, openAt) {
			w.counts.calls.late++
			answer(peerReply{notOwner: true, late: true, stamp: stamp{runner: r, token: r.token, at: now}})
			return
		}
		w.note(r.name(), "call carried out", "job", a.job.id, "attempt", a.number, "cancel", a.cancel, "forwarded", c.from != nil)
		reply := func(res dispatch.Result) {
			answer(peerReply{result: res, stamp: stamp{runner: r, token: r.token, at: now}})
		}
		if a.cancel {
			r.state.Cancel(now, a.job.id, reply)
			return
		}
		r.state.Submit(now, a.job.id, a.job.spec, w.queue(), a.job.account, reply)
	})
}

// mayBeLate reports whether a copy may be late.
func (r *runner) mayBeLate(now time.Time, a *attempt, openAt time.Time) bool {
	if a.cancel {
		return r.state.CancelMayBeLate(now, a.job.id, openAt)
	}
	return r.state.MayBeLate(now, a.job.id, openAt)
}

// ask sends a question to another daemon, which question answers there, and calls answer once: with the answer, or false if
// there is none within peerLimit.
func (w *walk) ask(from, to *daemon, question func() bool, answer func(yes bool)) {
	run := from.run
	answered := false
	reply := func(yes bool) {
		if !answered {
			answered = true
			from.do(run, func() { answer(yes) })
		}
	}
	if !to.alive {
		w.sim.after(w.latency(), func() { reply(false) })
		return
	}
	w.sim.after(peerLimit, func() { reply(false) })
	if w.mode(from, to.name, to.centre) != linkOK {
		return
	}
	w.sim.after(w.latency(), func() {
		to.do(to.run, func() {
			yes := question()
			if w.mode(from, to.name, to.centre) == linkOK {
				w.sim.after(w.latency(), func() { reply(yes) })
			}
		})
	})
}

// planPeerFaults plans short cuts between two daemons, and owners that don't know of their successors.
func (w *walk) planPeerFaults() {
	s := w.sim
	for at := s.between(time.Second, 3*time.Second); at < walkFaults; at += s.between(200*time.Millisecond, 4*time.Second) {
		s.after(at, func() {
			from, to := w.daemons[s.rand.IntN(len(w.daemons))], w.daemons[s.rand.IntN(len(w.daemons))]
			if from != to && !w.healed {
				w.cutPeers(from, to, s.between(200*time.Millisecond, 4*time.Second))
			}
		})
	}
	for at := s.between(2*time.Second, 12*time.Second); at < walkFaults; at += s.between(6*time.Second, 12*time.Second) {
		s.after(at, w.splitOwner)
	}
}

func (w *walk) cutPeers(a, b *daemon, t time.Duration) {
	w.disturb(a, b.name, linkCut, t)
	w.disturb(b, a.name, linkCut, t)
}

// splitOwner makes a daemon take the service over from an owner that reaches neither the store nor its successor, but the other
// daemons. These are cut off from the successor for short times.
func (w *walk) splitOwner() {
	s := w.sim
	owner, next := w.owner(), w.daemons[s.rand.IntN(len(w.daemons))]
	if owner == nil || owner == next || w.healed {
		return
	}
	const split = 5 * time.Second
	w.disturb(owner, "store", linkCut, split)
	w.cutPeers(owner, next, split)
	w.note("network", "owner cut off from the store and its successor", "owner", owner.name, "successor", next.name)
	s.after(300*time.Millisecond, func() { next.snatch(5) })
	for _, x := range w.daemons {
		if x != owner && x != next {
			s.after(s.between(time.Second, 3*time.Second), func() {
				if !w.healed {
					w.cutPeers(x, next, s.between(300*time.Millisecond, 2*time.Second))
				}
			})
		}
	}
}
