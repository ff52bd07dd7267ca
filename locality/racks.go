package locality

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which observations decay. A peak lasts about 4 s, so that the estimates have to
	// follow within a part of it.
	decayTime = 1500 * time.Millisecond
	// priorWeight is the time of observation that the prior of a release rate counts for. The prior is computed from the tasks
	// that run on the rack; a rack that has just filled up has had no task ends to observe.
	priorWeight = 500 * time.Millisecond
	// maxWait is the expected wait for a rack on which no room comes free.
	maxWait = time.Hour
	// minHeld is a lower bound of the mean time for which freed cores had been in use, so that the prior stays finite.
	minHeld = time.Millisecond
	// forgetAfter is the time without observations after which a rack without workers is forgotten. They count for less than
	// a thousandth by then.
	forgetAfter = 7 * decayTime
)

// average is a sum of observations that decays with decayTime.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(now time.Time, x float64) { a.sum, a.at = a.value(now)+x, now }

func (a *average) value(now time.Time) float64 {
	if !now.After(a.at) {
		return a.sum
	}
	return a.sum * math.Exp(-now.Sub(a.at).Seconds()/decayTime.Seconds())
}

// rack is what is known of a rack.
type rack struct {
	cores   float64 // of its workers that take tasks
	running float64 // cores of the short tasks on them
	waiting float64 // cores of the tasks that wait for it, of those that came earlier in the pass
	freed   average // cores
	wanted  average // core-seconds of the tasks that want it
}

// Racks estimates the wait for room on each rack, and what its room is worth. The zero value is ready for use.
type Racks struct {
	racks   map[string]*rack
	all     rack    // sums over the racks; waiting: cores of the tasks that wait for room anywhere
	held    average // core-seconds for which freed cores had been in use
	backlog float64 // cores of all tasks that waited in the last pass
	since   time.Time
	now     time.Time
}

func (r *Racks) rack(name string) *rack {
	k := r.racks[name]
	if k == nil {
		if r.racks == nil {
			r.racks = map[string]*rack{}
		}
		k = &rack{}
		r.racks[name] = k
	}
	return k
}

// Freed records that a short task has ended on a worker of a rack after it had used its cores for some time.
func (r *Racks) Freed(now time.Time, name string, cores float64, held time.Duration) {
	r.rack(name).freed.add(now, cores)
	r.all.freed.add(now, cores)
	r.held.add(now, cores*held.Seconds())
}

// Wanted records new tasks that want a rack, by their work in core-seconds near their data.
func (r *Racks) Wanted(now time.Time, name string, work float64) { r.rack(name).wanted.add(now, work) }

// Begin starts a placement pass. Add is called next, for each worker that takes tasks.
func (r *Racks) Begin(now time.Time) {
	if r.since.IsZero() {
		r.since = now
	}
	r.now, r.backlog = now, r.all.waiting
	for name, k := range r.racks {
		r.backlog += k.waiting
		if k.cores == 0 && now.Sub(k.freed.at) > forgetAfter && now.Sub(k.wanted.at) > forgetAfter {
			delete(r.racks, name)
		}
		k.cores, k.running, k.waiting = 0, 0, 0
	}
	r.all.cores, r.all.running, r.all.waiting = 0, 0, 0
}

// Add adds a worker that takes tasks. running are the cores of its short tasks.
func (r *Racks) Add(name string, cores, running float64) {
	for _, k := range [...]*rack{r.rack(name), &r.all} {
		k.cores += cores
		k.running += running
	}
}

// Queue adds tasks that stay waiting in this pass, for a rack or, if name is empty, for room anywhere. Tasks that come later in
// the pass wait behind them.
func (r *Racks) Queue(name string, cores float64) {
	if name == "" {
		r.all.waiting += cores
		return
	}
	r.rack(name).waiting += cores
}

// Wait returns the expected time until an amount of cores has come free on a rack for the next task of the pass: those before it
// that wait for the rack take what comes free there, and those that wait for any room take a part of it. estimate is the
// duration of tasks for as long as none has ended.
func (r *Racks) Wait(name string, cores float64, estimate time.Duration) time.Duration {
	k := r.rack(name)
	here := r.rate(k, estimate)
	if here <= 0 {
		return maxWait
	}
	wait := (k.waiting + cores) / here
	if everywhere := r.rate(&r.all, estimate); r.all.waiting > 0 {
		wait += r.all.waiting / everywhere
	}
	return time.Duration(min(wait, maxWait.Seconds()) * float64(time.Second))
}

// rate returns the cores that come free in a second.
func (r *Racks) rate(k *rack, estimate time.Duration) float64 {
	held := estimate.Seconds()
	if freed := r.all.freed.value(r.now); freed > 0 {
		held = r.held.value(r.now) / freed
	}
	prior := k.running / max(held, minHeld.Seconds())
	observed := decayTime.Seconds() * (1 - math.Exp(-r.now.Sub(r.since).Seconds()/decayTime.Seconds()))
	return (k.freed.value(r.now) + prior*priorWeight.Seconds()) / (observed + priorWeight.Seconds())
}

// Price returns what the use of room on a rack costs the other tasks, as a part of the time of use. A task that takes a core from
// one that wants the rack lets that one run elsewhere, factor times as long; on top of it each waiting task is delayed. An empty
// name stands for any rack.
func (r *Racks) Price(name string, factor float64) float64 {
	if r.all.cores <= 0 {
		return 0
	}
	delay := r.backlog / r.all.cores
	k := r.racks[name]
	if k == nil || k.cores <= 0 {
		return delay
	}
	load := k.wanted.value(r.now) / decayTime.Seconds() / k.cores
	return (factor-1)*min(1, load) + delay
}
