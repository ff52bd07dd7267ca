package straggler_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/straggler"
)

const (
	tick     = 20 * time.Millisecond
	workers  = 20
	slots    = 8 // of each worker
	steps    = 400
	expected = 800 * time.Millisecond
)

var begin = time.Unix(1000, 0)

// load is a replayed load: steps of 8 to 32 tasks of one core.
type load struct {
	name     string
	slow     float64                        // share of the runs that take 7 times as long
	worker   float64                        // factor of the first worker
	factor   func(r *rand.Rand) float64     // of the durations of a step to the expected one
	every    time.Duration                  // between two steps
	progress bool                           // runs report their progress
	charged  float64                        // core-seconds of extra work charged at the beginning and not given back
	check    func(is *is.I, off, on result) // without and with copies
}

type result struct {
	p99    float64 // of the durations of tasks, relative to the true one of their step
	extra  float64 // core-seconds in which two copies ran, as a share of those started
	copies int     // started while steps arrive, so that the end of the load does not count
}

type step struct {
	usual time.Duration // true duration
	peers straggler.Peers
}

type run struct {
	on             int
	started, endAt time.Time
}

type task struct {
	*step
	runs []run
}

// replay is a pool that starts tasks in their order, and copies of late ones if the model decides so.
type replay struct {
	*load
	rand             *rand.Rand
	model            *straggler.Model
	now              time.Time
	given            int // steps that have arrived
	waiting, running []*task
	free             [workers]int
	started          float64
	took             []float64
	result
}

// start starts a run of a task on the emptiest worker that has room and no other run of it.
func (p *replay) start(t *task) bool {
	on := -1
	for i, n := range p.free {
		if n > 0 && (on < 0 || n > p.free[on]) && (len(t.runs) == 0 || t.runs[0].on != i) {
			on = i
		}
	}
	if on < 0 {
		return false
	}
	whole := float64(t.usual) * (0.8 + 0.4*p.rand.Float64())
	if p.rand.Float64() < p.slow {
		whole *= 7
	}
	if on == 0 {
		whole *= p.worker
	}
	p.free[on]--
	t.runs = append(t.runs, run{on, p.now, p.now.Add(time.Duration(whole))})
	p.model.Started(p.now, expected.Seconds())
	p.started += expected.Seconds()
	return true
}

// ended ends a task if one of its runs has ended.
func (p *replay) ended(t *task) bool {
	i := slices.IndexFunc(t.runs, func(x run) bool { return !p.now.Before(x.endAt) })
	if i < 0 {
		return false
	}
	if len(t.runs) > 1 {
		p.extra += p.now.Sub(t.runs[1].started).Seconds()
	}
	if i > 0 {
		p.model.ObserveStopped("i", &t.peers, ratio(p.now.Sub(t.runs[0].started)))
	}
	p.model.Observe("i", &t.peers, ratio(p.now.Sub(t.runs[i].started)))
	for _, x := range t.runs {
		p.free[x.on]++
	}
	p.took = append(p.took, p.now.Sub(t.runs[0].started).Seconds()/t.usual.Seconds())
	return true
}

// copyLate starts a copy of a task if the model decides so.
func (p *replay) copyLate(t *task) {
	x := straggler.Run{Image: "i", Age: p.now.Sub(t.runs[0].started), Expected: expected, Cores: 1, Peers: t.peers}
	if p.progress {
		x.Percent, x.ReadAt = int(100*x.Age/t.runs[0].endAt.Sub(t.runs[0].started)), x.Age
	}
	idle := 0
	for _, n := range p.free {
		idle += n
	}
	d := p.model.Decide(p.now, &x, straggler.Pool{Free: float64(idle) / workers / slots, Waiting: len(p.waiting) > 0})
	if !d.Copy || len(t.runs) > 1 || !p.start(t) {
		return
	}
	p.model.Charge(p.now, d.Cost)
	if p.given < steps {
		p.copies++
	}
}

// play replays the load with or without copies.
func (l *load) play(copies bool) result {
	p := replay{load: l, rand: rand.New(rand.NewPCG(1, 1)), model: straggler.New(), now: begin}
	for i := range p.free {
		p.free[i] = slots
	}
	p.model.Charge(p.now, l.charged)
	for ; p.given < steps || len(p.waiting)+len(p.running) > 0; p.now = p.now.Add(tick) {
		if p.given < steps && p.now.Sub(begin) >= time.Duration(p.given)*l.every {
			p.given++
			st := &step{usual: time.Duration(l.factor(p.rand) * float64(expected))}
			for range 8 + p.rand.IntN(25) {
				p.waiting = append(p.waiting, &task{step: st})
			}
		}
		p.running = slices.DeleteFunc(p.running, p.ended)
		for len(p.waiting) > 0 && p.start(p.waiting[0]) {
			p.running, p.waiting = append(p.running, p.waiting[0]), p.waiting[1:]
		}
		for i := 0; copies && i < len(p.running); i++ {
			p.copyLate(p.running[i])
		}
	}
	slices.Sort(p.took)
	p.p99, p.extra = p.took[len(p.took)*99/100], p.extra/p.started
	return p.result
}

func ratio(d time.Duration) float64 { return d.Seconds() / expected.Seconds() }

func exact(*rand.Rand) float64 { return 1 }

// eitherWay is off by a factor of 2 or 0.5.
func eitherWay(r *rand.Rand) float64 { return []float64{0.5, 2}[r.IntN(2)] }

const (
	idle = 300 * time.Millisecond // between two steps: the pool is 30 to 50% busy
	full = 60 * time.Millisecond  // tasks wait all the time
)

// Guards against slow tasks that get no copy although there is room, and against copies that take more room than they save:
// of tasks on time, in a full pool, beyond the budget, and of tasks that are only declared too short.
func TestReplay(t *testing.T) {
	shorter := func(share float64) func(is *is.I, off, on result) {
		return func(is *is.I, off, on result) {
			is.True(off.p99 > 5)
			is.True(on.p99 < off.p99*share)
			is.True(on.extra <= 0.05)
		}
	}
	none := func(is *is.I, off, on result) {
		is.Equal(on.copies, 0)
		is.Equal(on.p99, off.p99)
	}
	few := func(is *is.I, off, on result) {
		is.True(on.extra < 0.005)
		is.True(on.p99 <= off.p99)
	}
	for _, l := range []load{
		{name: "all on time", worker: 1, factor: exact, every: idle, check: none},
		{name: "3 of 100 slow", slow: 0.03, worker: 1, factor: exact, every: idle, check: shorter(0.5)},
		{name: "3 of 100 slow, progress", slow: 0.03, worker: 1, factor: exact, every: idle, progress: true, check: shorter(0.3)},
		{name: "a slow worker", worker: 7, factor: exact, every: idle, check: shorter(0.5)},
		{name: "estimates off", worker: 1, factor: eitherWay, every: idle, check: few},
		{name: "estimates off, progress", worker: 1, factor: eitherWay, every: idle, progress: true, check: few},
		{name: "estimates off, 3 of 100 slow", slow: 0.03, worker: 1, factor: eitherWay, every: idle, check: shorter(0.5)},
		{name: "pool full", slow: 0.03, worker: 1, factor: exact, every: full, check: func(is *is.I, _, on result) { is.Equal(on.copies, 0) }},
		{name: "budget used up", slow: 0.03, worker: 1, factor: exact, every: idle, charged: 1e6, check: none},
	} {
		t.Run(l.name, func(t *testing.T) {
			off, on := l.play(false), l.play(true)
			t.Logf("without copies: p99 %.2f; with: p99 %.2f, extra %.4f, %d copies", off.p99, on.p99, on.extra, on.copies)
			l.check(is.New(t), off, on)
		})
	}
}
