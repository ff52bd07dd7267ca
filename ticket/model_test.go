package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

// client repeats one request at random daemons until it gets the outcome done or unknown, and with
// repeatsAnswered even after that.
type client struct {
	w               *world
	q               *request
	open            int // attempts whose answer may still arrive
	attempts        int
	last            reply
	unknown         bool // got the outcome unknown
	done            bool
	stopped         bool // gave up after the outcome notrun, with no attempt open
	repeatsAnswered bool // also repeats after done or unknown
}

// attempt sends the request to a random daemon and repeats it at another one when no answer arrives.
func (c *client) attempt() {
	w := c.w
	d := w.daemons[w.rand.IntN(len(w.daemons))]
	c.attempts++
	c.open++
	answered, timedOut := false, false
	finish := func(r reply) {
		if answered {
			return
		}
		answered = true
		c.check(r)
		if w.chance(w.answerLoss) {
			return // the answer is lost; the caller does not learn the outcome of this attempt
		}
		c.open--
		c.answer(r, timedOut)
	}
	w.runOn(d, w.upTo(20*time.Millisecond), func() { w.handle(d, c.q, 0, finish) }, func() {
		answered = true
		c.open--
	})
	w.after(600*time.Millisecond, func() {
		timedOut = true
		c.repeat()
	})
}

// check verifies each answer, whether it reaches the caller or not.
func (c *client) check(r reply) {
	if r.outcome == cuminstair.OutcomeDone && r.body != "" && r.body != msgID(c.q.id) {
		c.w.faultf("request %d got the answer of %s", c.q.id, r.body)
	}
}

func msgID(id uint64) string { return string(message(id).Body) }

func (c *client) answer(r reply, late bool) {
	c.last = r
	c.done = c.done || r.outcome == cuminstair.OutcomeDone
	c.unknown = c.unknown || r.outcome == cuminstair.OutcomeUnknown
	if r.outcome == cuminstair.OutcomeNotRun && c.open == 0 && !c.done && !c.unknown && c.w.chance(0.3) {
		c.stopped = true
	}
	if !late {
		c.repeat()
	}
}

func (c *client) repeat() {
	definite := c.done || c.unknown
	if c.stopped || c.attempts > 7 || definite && !c.repeatsAnswered {
		return
	}
	delay := c.w.upTo(time.Second)
	if c.w.chance(c.w.lateRepeats) {
		delay = c.w.upTo(5 * time.Minute) // may be past the expiry and the repeat window
	}
	c.w.after(delay, func() {
		if !c.stopped {
			c.attempt()
		}
	})
}

func message(id uint64) *cuminstair.Message {
	return &cuminstair.Message{Method: "POST", Path: "/scale", Body: fmt.Append(nil, id)}
}

// startClients starts one client after each interval until total has passed. maxAge is the longest time between the
// issue of a ticket and its first use, and repeatShare the share of clients with repeatsAnswered.
func (w *world) startClients(interval, total, maxAge time.Duration, repeatShare float64) *[]*client {
	all := &[]*client{}
	var id uint64
	var next func()
	next = func() {
		id++
		n := id
		home := w.daemons[w.rand.IntN(len(w.daemons))]
		if tickets := w.issue(home); len(tickets) > 0 {
			c := &client{
				w: w, q: &request{id: n, ticket: tickets[0], msg: message(n)}, repeatsAnswered: w.chance(repeatShare),
			}
			*all = append(*all, c)
			w.after(w.upTo(maxAge), c.attempt)
		}
		if w.now.Sub(start) < total {
			w.after(interval, next)
		}
	}
	w.after(0, next)
	return all
}

func (w *world) issue(d *daemon) []ticket.Ticket {
	if !d.up {
		return nil
	}
	return d.store.Issue(w.now, 1)
}

// Guards against a request that runs twice, or that ran and is answered notrun, when daemons are killed, stopped with
// hand-over, paused and restarted, the network is partitioned, and messages and answers are lost.
func TestAtMostOnce(t *testing.T) {
	var requests, ran, repeats int
	for seed := uint64(1); seed <= 60; seed++ {
		w := newWorld(seed, 5)
		w.loss, w.answerLoss, w.lateRepeats, w.failRate = 0.08, 0.08, 0.1, 0.15
		all := w.startClients(50*time.Millisecond, 3*time.Minute, 30*time.Second, 0.5)
		for at := time.Second; at < 4*time.Minute; at += 2 * time.Second {
			w.after(at+w.upTo(2*time.Second), w.injectFailure)
		}
		w.run(20 * time.Minute)
		for _, c := range *all {
			if c.stopped && w.runs[c.q.id] > 0 {
				w.faultf("request %d ran although its caller got only notrun and had no attempt open", c.q.id)
			}
			repeats += c.attempts - 1
		}
		requests += len(*all)
		ran += len(w.runs)
		for _, f := range w.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
		if t.Failed() {
			return
		}
	}
	if ran < requests/3 || repeats < requests {
		t.Fatalf("only %d of %d requests ran, with %d repeats: too few to test at-most-once", ran, requests, repeats)
	}
	t.Logf("%d requests, %d ran, %d repeats", requests, ran, repeats)
}
