package locality

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Replay of a load on a pool, in which the tasks are placed by their latest start as the owner of a service does.

const (
	replayRacks   = 5
	replayWorkers = 8  // in a rack
	replayCores   = 32 // of a worker
	replayFactor  = 2.0
	replayTarget  = 2 * time.Second
)

type replayJob struct {
	at, due  time.Duration
	rack     string
	estimate time.Duration
	left     int
	end      time.Duration // of its last run, as expected while it runs
}

type replayTask struct {
	job     *replayJob
	cores   float64
	takes   time.Duration // near its data
	started time.Duration
	seen    bool
	wait    Waiting
}

type replayWorker struct {
	rack string
	free float64
}

type replayEnd struct {
	at     time.Duration
	task   *replayTask
	worker *replayWorker
}

type replayEnds []replayEnd

func (h replayEnds) Len() int           { return len(h) }
func (h replayEnds) Less(i, j int) bool { return h[i].at < h[j].at }
func (h replayEnds) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replayEnds) Push(x any)        { *h = append(*h, x.(replayEnd)) }
func (h *replayEnds) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// policy tells whether a task that could start on another rack waits.
type policy func(p *pool, t *replayTask, there string) bool

func never(*pool, *replayTask, string) bool  { return false }
func always(*pool, *replayTask, string) bool { return true }

func decided(p *pool, t *replayTask, there string) bool {
	j := t.job
	c := Choice{
		Factor: replayFactor, Duration: j.estimate, Wait: p.racks.Wait(j.rack, t.cores, j.estimate), Slack: j.due - j.estimate - p.now,
		Float: max(0, j.end-p.now-j.estimate), Here: p.racks.Price(j.rack, replayFactor), There: p.racks.Price(there, replayFactor),
	}
	return t.wait.Decide(p.clock(), &c).Wait
}

type pool struct {
	now     time.Duration
	start   time.Time
	racks   Racks
	workers []*replayWorker
	ready   []*replayTask
	ends    replayEnds
}

func (p *pool) clock() time.Time { return p.start.Add(p.now) }

// rank is 0 if the task can end in time, 1 if its job is late, and 2 if the result comes too late to be useful.
func (p *pool) rank(t *replayTask) int {
	end, j := p.now+t.job.estimate, t.job
	switch {
	case end > j.at+3*(j.due-j.at):
		return 2
	case end > j.due:
		return 1
	}
	return 0
}

func (p *pool) place(wait policy) {
	p.racks.Begin(p.clock())
	for _, w := range p.workers {
		p.racks.Add(w.rack, replayCores, replayCores-w.free)
	}
	slices.SortStableFunc(p.ready, func(a, b *replayTask) int {
		return cmp.Or(cmp.Compare(p.rank(a), p.rank(b)), cmp.Compare(a.job.due-a.job.estimate, b.job.due-b.job.estimate))
	})
	kept := p.ready[:0]
	for _, t := range p.ready {
		if !p.placeTask(t, wait) {
			kept = append(kept, t)
		}
	}
	p.ready = kept
}

// best returns the worker with the least room that fits, near the data if there is one.
func (p *pool) best(t *replayTask) *replayWorker {
	var best *replayWorker
	for _, w := range p.workers {
		if w.free < t.cores {
			continue
		}
		if best == nil || (w.rack == t.job.rack) != (best.rack == t.job.rack) {
			if best == nil || w.rack == t.job.rack {
				best = w
			}
		} else if w.free < best.free {
			best = w
		}
	}
	return best
}

func (p *pool) placeTask(t *replayTask, wait policy) bool {
	if !t.seen {
		t.seen = true
		p.racks.Wanted(p.clock(), t.job.rack, t.cores*t.job.estimate.Seconds())
	}
	w := p.best(t)
	if w == nil {
		p.racks.Queue(t.job.rack, t.cores)
		return false
	}
	if w.rack != t.job.rack && wait(p, t, w.rack) {
		p.racks.Queue(t.job.rack, t.cores)
		return false
	}
	takes, expected := t.takes, t.job.estimate
	if w.rack != t.job.rack {
		takes, expected = time.Duration(float64(takes)*replayFactor), time.Duration(float64(expected)*replayFactor)
	}
	w.free -= t.cores
	t.job.end = max(t.job.end, p.now+expected)
	t.started = p.now
	heap.Push(&p.ends, replayEnd{p.now + takes, t, w})
	return true
}

// figures are the results of a replay: the mean and the 99th percentile of the times of the jobs in seconds, and the share of
// jobs in time.
type figures struct{ mean, p99, inTime float64 }

// load describes jobs. hot is the share that wants one rack until hotEnds.
type load struct {
	name    string
	use     float64
	lasts   time.Duration
	hot     float64
	hotEnds time.Duration
}

func replay(l load, seed uint64, wait policy) figures {
	r := rand.New(rand.NewPCG(seed, 1))
	p := &pool{start: time.Unix(1e9, 0)}
	for i := range replayRacks * replayWorkers {
		p.workers = append(p.workers, &replayWorker{rack: fmt.Sprint(i % replayRacks), free: replayCores})
	}
	var jobs []*replayJob
	arrivals := []*replayTask{}
	const meanTasks, meanCores, meanTakes = 12, 2.5, 0.8
	rate := l.use * replayRacks * replayWorkers * replayCores / (meanTasks * meanCores * meanTakes)
	for at := 0.0; ; {
		at += r.ExpFloat64() / rate
		if at > l.lasts.Seconds() {
			break
		}
		j := &replayJob{at: seconds(at), rack: fmt.Sprint(r.IntN(replayRacks)), estimate: seconds(0.3 + r.Float64()), left: 8 + r.IntN(9)}
		if j.at < l.hotEnds && r.Float64() < l.hot {
			j.rack = "0"
		}
		j.due = j.at + 3*j.estimate/2 + replayTarget
		cores := float64(1 + r.IntN(4))
		off := lognormal(r, 0.6) // of the estimate
		for range j.left {
			takes := off * j.estimate.Seconds() * lognormal(r, 0.5)
			arrivals = append(arrivals, &replayTask{job: j, cores: cores, takes: seconds(takes)})
		}
		jobs = append(jobs, j)
	}
	const tick = 20 * time.Millisecond
	for open := len(arrivals); open > 0; p.now += tick {
		for len(p.ends) > 0 && p.ends[0].at <= p.now {
			e := heap.Pop(&p.ends).(replayEnd)
			e.worker.free += e.task.cores
			p.racks.Freed(p.clock(), e.worker.rack, e.task.cores, e.at-e.task.started)
			e.task.job.left--
			e.task.job.end = max(e.task.job.end, e.at)
			if e.task.job.left == 0 {
				e.task.job.end = e.at
			}
			open--
		}
		for len(arrivals) > 0 && arrivals[0].job.at <= p.now {
			p.ready = append(p.ready, arrivals[0])
			arrivals = arrivals[1:]
		}
		p.place(wait)
	}
	var f figures
	var took []float64
	for _, j := range jobs {
		took = append(took, (j.end - j.at).Seconds())
		f.mean += took[len(took)-1] / float64(len(jobs))
		if j.end <= j.due {
			f.inTime += 1 / float64(len(jobs))
		}
	}
	slices.Sort(took)
	f.p99 = took[len(took)*99/100]
	return f
}

// lognormal draws a factor with mean 1.
func lognormal(r *rand.Rand, spread float64) float64 {
	return math.Exp(spread*r.NormFloat64() - spread*spread/2)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against a decision that waits too long where many tasks want one rack, and too short where all racks are in use.
func TestReplay(t *testing.T) {
	const tolerance, seeds = 0.02, 4
	for _, l := range []load{
		{"one rack wanted by 60% for 5 s, half of the pool in use", 0.5, 15 * time.Second, 0.6, 5 * time.Second},
		{"one rack wanted by 60% for 5 s, 70% in use", 0.7, 15 * time.Second, 0.6, 5 * time.Second},
		{"racks wanted evenly, 70% in use", 0.7, 15 * time.Second, 0, 0},
		{"full pool", 1, 15 * time.Second, 0, 0},
	} {
		t.Run(l.name, func(t *testing.T) {
			is := is.New(t)
			var result [3]figures
			for i, wait := range []policy{never, always, decided} {
				f := &result[i]
				for seed := range uint64(seeds) {
					x := replay(l, seed, wait)
					f.mean, f.p99, f.inTime = f.mean+x.mean/seeds, f.p99+x.p99/seeds, f.inTime+x.inTime/seeds
				}
			}
			t.Logf("never, always, decided: %.3f", result)
			a, b, d := result[0], result[1], result[2]
			is.True(d.mean <= (1+tolerance)*min(a.mean, b.mean))
			is.True(d.p99 <= (1+tolerance)*min(a.p99, b.p99))
			is.True(d.inTime >= (1-tolerance)*max(a.inTime, b.inTime))
		})
	}
}
