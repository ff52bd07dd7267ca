package ticket_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

// world runs daemons and callers in virtual time over a network that loses, delays and cuts.
type world struct {
	now     time.Time
	rand    *rand.Rand
	queue   events
	seq     int
	daemons []*daemon // by name; a restart replaces the run
	cut     map[*daemon]bool
	news    map[ticket.Home][]news
	loss    float64 // of each message between daemons
	deaf    float64 // share of answers that callers lose
	late    float64 // share of repeats that come minutes later
	failAt  float64 // share of runs that are proved not to have run
	runs    map[uint64]int
	faults  []string
}

// news is what the membership tells about a run of a daemon from a time on.
type news struct {
	at time.Time
	m  ticket.Member
}

type daemon struct {
	name   string
	home   ticket.Home
	store  *ticket.Store
	up     bool
	paused time.Time     // events wait until then
	lag    time.Duration // of its view of the membership
	wait   map[string][]func(reply)
}

// reply is what a caller gets.
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
		now: start, rand: rand.New(rand.NewPCG(seed, 3)), cut: map[*daemon]bool{},
		news: map[ticket.Home][]news{}, runs: map[uint64]int{},
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
	d.wait = map[string][]func(reply){}
	w.tell(d.home, ticket.Member{Alive: true})
}

func (w *world) tell(h ticket.Home, m ticket.Member) { w.news[h] = append(w.news[h], news{w.now, m}) }

// view is what a daemon knows of a run: the news, later.
func (w *world) view(d *daemon) ticket.Members {
	return func(h ticket.Home) (ticket.Member, bool) {
		var m ticket.Member
		// A newer run than the known ones is taken for alive; the daemon there decides.
		ok := h.Incarnation > w.newest(d, h.Name)
		m.Alive = ok
		for _, n := range w.news[h] {
			if !n.at.After(w.now.Add(-d.lag)) {
				m, ok = n.m, true
			}
		}
		return m, ok
	}
}

// newest returns the highest incarnation of a name that a daemon knows.
func (w *world) newest(d *daemon, name string) uint64 {
	inc := uint64(0)
	for len(w.news[ticket.Home{Name: name, Incarnation: inc + 1}]) > 0 &&
		!w.news[ticket.Home{Name: name, Incarnation: inc + 1}][0].at.After(w.now.Add(-d.lag)) {
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

// on runs something at one run of a daemon, when it is not paused, or gone if that run has ended.
func (w *world) on(d *daemon, delay time.Duration, run, gone func()) {
	home := d.home
	w.after(delay, func() {
		switch {
		case !d.up || d.home != home:
			gone()
		case d.paused.After(w.now):
			w.on(d, d.paused.Sub(w.now), run, gone)
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

// request is one caller's request under a ticket.
type request struct {
	id     uint64
	ticket ticket.Ticket
	msg    *cuminstair.Message
}

func (q *request) key() string { return fmt.Sprint(q.ticket.Home, q.ticket.Sequence) }

// handle is a daemon's request path. answer is called once, or never if the daemon ends.
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

// forward sends the request on. All failures are answered alike: an earlier request may have run at the home.
func (w *world) forward(d *daemon, to ticket.Home, q *request, hops int, answer func(reply)) {
	home := w.find(to.Name)
	if w.severed(d, home) || w.chance(w.loss) {
		w.on(d, 300*time.Millisecond, func() { answer(gone()) }, func() {})
		return
	}
	w.on(home, w.upTo(50*time.Millisecond), func() {
		w.handle(home, q, hops+1, func(r reply) {
			if w.severed(d, home) || w.chance(w.loss) {
				r = gone()
			}
			w.on(d, w.upTo(50*time.Millisecond), func() { answer(r) }, func() {})
		})
	}, func() { w.on(d, 0, func() { answer(gone()) }, func() {}) })
}

func (w *world) find(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

func (w *world) severed(a, b *daemon) bool { return w.cut[a] != w.cut[b] }

func (w *world) begin(d *daemon, q *request, answer func(reply)) {
	v := d.store.Begin(w.now, q.ticket, ticket.HashOf(q.msg))
	switch v.Action {
	case ticket.ActionRun:
		w.execute(d, q, v.Run, answer)
	case ticket.ActionWait:
		d.wait[q.key()] = append(d.wait[q.key()], answer)
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

// check tests an answer when it is given. While it is on its way, a repeat that the caller sent before may run.
func (w *world) check(q *request, r reply) {
	if r.outcome == cuminstair.OutcomeNotRun && w.runs[q.id] > 0 {
		w.faultf("%s: request %d ran and was answered notrun, %s", w.now.Sub(start), q.id, r.reason)
	}
}

// execute runs the request at an upstream. The effect happens at once; the daemon learns of it later, if it lives.
func (w *world) execute(d *daemon, q *request, run uint64, answer func(reply)) {
	r := reply{outcome: cuminstair.OutcomeDone, reason: cuminstair.ReasonOK, body: fmt.Sprint(q.id)}
	if refused := w.chance(w.failAt); refused {
		r = reply{outcome: cuminstair.OutcomeNotRun, reason: cuminstair.ReasonRefused}
	} else if w.chance(w.failAt) {
		r = reply{outcome: cuminstair.OutcomeUnknown, reason: cuminstair.ReasonBroken}
	}
	if r.outcome != cuminstair.OutcomeNotRun {
		if w.runs[q.id]++; w.runs[q.id] > 1 {
			w.faultf("%s: request %d ran %d times", w.now.Sub(start), q.id, w.runs[q.id])
		}
	}
	// Some runs take longer than a planned stop waits.
	w.on(d, w.upTo(800*time.Millisecond), func() {
		w.check(q, r)
		d.store.End(w.now, q.ticket, run, r.outcome, r.reason, &cuminstair.Message{Body: []byte(r.body)})
		waiting := d.wait[q.key()]
		delete(d.wait, q.key())
		for _, other := range append(waiting, answer) {
			other(r)
		}
	}, func() {})
}
