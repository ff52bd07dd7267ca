package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

// customer repeats one request at random daemons until it has a definite answer, or for longer.
type customer struct {
	w        *world
	q        *request
	open     int // attempts whose answer may still come
	attempts int
	last     reply
	unknown  bool // met unknown
	done     bool
	stopped  bool // ended with notrun and nothing open
	stubborn bool // repeats after a definite answer as well
}

// attempt sends the request to a random daemon and repeats it elsewhere when no answer comes.
func (c *customer) attempt() {
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
		if w.chance(w.deaf) {
			return // lost; the caller does not learn what became of this attempt
		}
		c.open--
		c.answer(r, timedOut)
	}
	w.on(d, w.upTo(20*time.Millisecond), func() { w.handle(d, c.q, 0, finish) }, func() {
		answered = true
		c.open--
	})
	w.after(600*time.Millisecond, func() {
		timedOut = true
		c.again()
	})
}

// check tests each answer, whether it reaches the caller or not.
func (c *customer) check(r reply) {
	if r.outcome == cuminstair.OutcomeDone && r.body != "" && r.body != msgID(c.q.id) {
		c.w.faultf("request %d got the answer of %s", c.q.id, r.body)
	}
}

func msgID(id uint64) string { return string(message(id).Body) }

func (c *customer) answer(r reply, late bool) {
	c.last = r
	c.done = c.done || r.outcome == cuminstair.OutcomeDone
	c.unknown = c.unknown || r.outcome == cuminstair.OutcomeUnknown
	if r.outcome == cuminstair.OutcomeNotRun && c.open == 0 && !c.done && !c.unknown && c.w.chance(0.3) {
		c.stopped = true
	}
	if !late {
		c.again()
	}
}

func (c *customer) again() {
	definite := c.done || c.unknown
	if c.stopped || c.attempts > 7 || definite && !c.stubborn {
		return
	}
	delay := c.w.upTo(time.Second)
	if c.w.chance(c.w.late) {
		delay = c.w.upTo(5 * time.Minute) // past the expiry and the window
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

// customers starts one customer each interval for a time. hold is how long at most a ticket is kept before its use.
func (w *world) customers(every, total, hold time.Duration, stubborn float64) *[]*customer {
	all := &[]*customer{}
	var id uint64
	var next func()
	next = func() {
		id++
		n := id
		home := w.daemons[w.rand.IntN(len(w.daemons))]
		if tickets := w.issue(home); len(tickets) > 0 {
			c := &customer{
				w: w, q: &request{id: n, ticket: tickets[0], msg: message(n)}, stubborn: w.chance(stubborn),
			}
			*all = append(*all, c)
			w.after(w.upTo(hold), c.attempt)
		}
		if w.now.Sub(start) < total {
			w.after(every, next)
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
// hand-over, paused and restarted, the network is cut, and messages and answers are lost.
func TestAtMostOnce(t *testing.T) {
	var requests, ran, again int
	for seed := uint64(1); seed <= 60; seed++ {
		w := newWorld(seed, 5)
		w.loss, w.deaf, w.late, w.failAt = 0.08, 0.08, 0.1, 0.15
		all := w.customers(50*time.Millisecond, 3*time.Minute, 30*time.Second, 0.5)
		for at := time.Second; at < 4*time.Minute; at += 2 * time.Second {
			w.after(at+w.upTo(2*time.Second), w.trouble)
		}
		w.run(20 * time.Minute)
		for _, c := range *all {
			if c.stopped && w.runs[c.q.id] > 0 {
				w.faultf("request %d ran after its caller had only notrun and nothing open", c.q.id)
			}
			again += c.attempts - 1
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
	if ran < requests/3 || again < requests {
		t.Fatalf("only %d of %d requests ran, with %d repeats: the test proves little", ran, requests, again)
	}
	t.Logf("%d requests, %d ran, %d repeats", requests, ran, again)
}
