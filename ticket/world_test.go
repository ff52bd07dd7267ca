package ticket_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

// world simulates daemons and callers in virtual time, on a network that loses and delays messages and is partitioned.
type world struct {
	now         time.Time
	rand        *rand.Rand
	queue       events
	seq         int
	daemons     []*daemon        // one for each name; a restart changes its home
	partition   map[*daemon]bool // side of each daemon while the network is partitioned
	updates     map[ticket.Home][]update
	loss        float64 // probability that a message between daemons is lost
	answerLoss  float64 // share of answers that don't reach the caller
	lateRepeats float64 // share of repeats that are delayed by up to 5 minutes
	failRate    float64 // share of runs that are refused, and of the others that end as unknown
	runs        map[uint64]int
	faults      []string
}

// update is a change of the membership state of one process of a daemon.
type update struct {
	at time.Time
	m  ticket.Member
}

type daemon struct {
	name    string
	home    ticket.Home
	store   *ticket.Store
	up      bool
	paused  time.Time     // events of the daemon wait until this time
	lag     time.Duration // delay of membership updates to this daemon
	waiters map[string][]func(reply)
}

// reply is the answer to a caller.
type reply struct {
	outcome cuminstair.Outcome
	reason  cuminstair.Reason
	body    string
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64, count int) *world {
	w := &world{
		now: start, rand: rand.New(rand.NewPCG(seed, 3)), partition: map[*daemon]bool{},
		updates: map[ticket.Home][]update{}, runs: map[uint64]int{},
	}
	for i := range count {
		d := &daemon{name: fmt.Sprintf("entry-%d", i)}
		w.daemons = append(w.daemons, d)
		w.boot(d)
	}
	return w
}

func (w *world) boot(d *daemon) {
	d.home = ticket.Home{Name: d.name, Incarnation: d.home.Incarnation + 1}
	d.store = &ticket.Store{Self: d.home}
	d.up = true
	d.lag = w.upTo(3 * time.Second)
	d.waiters = map[string][]func(reply){}
	w.publish(d.home, ticket.Member{Alive: true})
}

func (w *world) publish(h ticket.Home, m ticket.Member) {
	w.updates[h] = append(w.updates[h], update{w.now, m})
}

// view returns the membership as a daemon sees it: all updates older than its lag.
func (w *world) view(d *daemon) ticket.Members {
	return func(h ticket.Home) (ticket.Member, bool) {
		var m ticket.Member
		// A process newer than the known ones counts as alive; the daemon that is reached decides.
		ok := h.Incarnation > w.newest(d, h.Name)
		m.Alive = ok
		for _, n := range w.updates[h] {
			if !n.at.After(w.now.Add(-d.lag)) {
				m, ok = n.m, true
			}
		}
		return m, ok
	}
}

// newest returns the highest incarnation of a name in the membership updates that have reached a daemon.
func (w *world) newest(d *daemon, name string) uint64 {
	inc := uint64(0)
	for len(w.updates[ticket.Home{Name: name, Incarnation: inc + 1}]) > 0 &&
		!w.updates[ticket.Home{Name: name, Incarnation: inc + 1}][0].at.After(w.now.Add(-d.lag)) {
		inc++
	}
	return inc
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }

func (w *world) chance(p float64) bool { return w.rand.Float64() < p }

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, run})
}

// runOn calls run after the delay and any pause of the daemon, or gone if the daemon's current process has ended by
// then.
func (w *world) runOn(d *daemon, delay time.Duration, run, gone func()) {
	home := d.home
	w.after(delay, func() {
		switch {
		case !d.up || d.home != home:
			gone()
		case d.paused.After(w.now):
			w.runOn(d, d.paused.Sub(w.now), run, gone)
		default:
			run()
		}
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) faultf(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// request is one caller's request with a ticket.
type request struct {
	id     uint64
	ticket ticket.Ticket
	msg    *cuminstair.Message
}

func (q *request) key() string { return fmt.Sprint(q.ticket.Home, q.ticket.Sequence) }

// handle processes a request at a daemon. answer is called once, or never if the daemon ends.
func (w *world) handle(d *daemon, q *request, hops int, answer func(reply)) {
	place, to := d.store.Route(q.ticket, w.view(d))
	switch {
	case place == ticket.PlaceHere:
		w.begin(d, q, answer)
	case place == ticket.PlaceForward && hops < 4:
		w.forward(d, to, q, hops, answer)
	default:
		answer(gone())
	}
}

func gone() reply {
	v := ticket.Gone()
	return reply{outcome: v.Outcome, reason: v.Reason}
}

// forward sends the request to another daemon. All failures give the same answer, since an earlier request may have run
// at the home.
func (w *world) forward(d *daemon, to ticket.Home, q *request, hops int, answer func(reply)) {
	home := w.find(to.Name)
	if w.partitioned(d, home) || w.chance(w.loss) {
		w.runOn(d, 300*time.Millisecond, func() { answer(gone()) }, func() {})
		return
	}
	w.runOn(home, w.upTo(50*time.Millisecond), func() {
		w.handle(home, q, hops+1, func(r reply) {
			if w.partitioned(d, home) || w.chance(w.loss) {
				r = gone()
			}
			w.runOn(d, w.upTo(50*time.Millisecond), func() { answer(r) }, func() {})
		})
	}, func() { w.runOn(d, 0, func() { answer(gone()) }, func() {}) })
}

func (w *world) find(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (w *world) partitioned(a, b *daemon) bool { return w.partition[a] != w.partition[b] }

func (w *world) begin(d *daemon, q *request, answer func(reply)) {
	v := d.store.Begin(w.now, q.ticket, ticket.HashOf(q.msg))
	switch v.Action {
	case ticket.ActionRun:
		w.execute(d, q, v.Run, answer)
	case ticket.ActionWait:
		d.waiters[q.key()] = append(d.waiters[q.key()], answer)
	case ticket.ActionForward:
		w.forward(d, v.Successor, q, 1, answer)
	default:
		r := reply{outcome: v.Outcome, reason: v.Reason}
		if v.Answer != nil {
			r.body = string(v.Answer.Body)
		}
		w.check(q, r)
		answer(r)
	}
}

// check verifies an answer when it is sent. It can't be verified on arrival, since a repeat that the caller sent
// earlier may run before then.
func (w *world) check(q *request, r reply) {
	if r.outcome == cuminstair.OutcomeNotRun && w.runs[q.id] > 0 {
		w.faultf("%s: request %d ran and was answered notrun, %s", w.now.Sub(start), q.id, r.reason)
	}
}

// execute runs the request at an upstream. The effect is immediate; the daemon gets the result later, if it is still
// up.
func (w *world) execute(d *daemon, q *request, run uint64, answer func(reply)) {
	r := reply{outcome: cuminstair.OutcomeDone, reason: cuminstair.ReasonOK, body: fmt.Sprint(q.id)}
	if refused := w.chance(w.failRate); refused {
		r = reply{outcome: cuminstair.OutcomeNotRun, reason: cuminstair.ReasonRefused}
	} else if w.chance(w.failRate) {
		r = reply{outcome: cuminstair.OutcomeUnknown, reason: cuminstair.ReasonBroken}
	}
	if r.outcome != cuminstair.OutcomeNotRun {
		if w.runs[q.id]++; w.runs[q.id] > 1 {
			w.faultf("%s: request %d ran %d times", w.now.Sub(start), q.id, w.runs[q.id])
		}
	}
	// Some runs take longer than a planned stop waits.
	w.runOn(d, w.upTo(800*time.Millisecond), func() {
		w.check(q, r)
		d.store.End(w.now, q.ticket, run, r.outcome, r.reason, &cuminstair.Message{Body: []byte(r.body)})
		waiting := d.waiters[q.key()]
		delete(d.waiters, q.key())
		for _, other := range append(waiting, answer) {
			other(r)
		}
	}, func() {})
}
