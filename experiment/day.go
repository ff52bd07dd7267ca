package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// begin is the virtual time at which the traffic starts.
var begin = time.Unix(1_700_000_000, 0)

// usefulFactor is the multiple of a job's objective after which its result is useless.
const usefulFactor = 3

// waveShare is the part of a pool that a step can use at once; the objective counts a larger step as several waves.
const waveShare = 0.25

// day is a drawn day, which is the same for each policy.
type day struct {
	load  *Load
	jobs  []*job // by time
	hosts []hostSize
	peaks []peak
}

// hostSize is the drawn capacity of a host and the time that it takes for a task as a factor. No two hosts have the same
// processors or memory, since dispatch.Service chooses between equal workers at random.
type hostSize struct {
	cpu, memory int
	slowness    float64
}

// job is a client's job with its true durations, and what became of it.
type job struct {
	id      string
	queue   *Queue
	index   int // of the queue
	centre  string
	sentAt  time.Time // first submission
	spec    *cuminstair.JobSpec
	tasks   [][]time.Duration // by step and task: duration on a host of usual speed
	due     time.Time         // end of its objective, from its true durations
	useful  time.Time         // end of the time for which its result is of use
	work    float64           // core-seconds
	value   float64           // if it is on time
	lasting bool

	attempts    int
	acceptedAt  time.Time                // when the client learned that it is accepted; zero: never
	completedAt time.Time                // when it was shown as completed; zero: never
	shortage    shortage                 // what was short when it was last refused
	waits       [shortages]time.Duration // of its tasks, once it has ended
}

// drawDay draws the jobs and hosts of a day.
func drawDay(l *Load, seed uint64) *day {
	d := &day{load: l}
	r := rand.New(rand.NewPCG(seed, 1))
	total := l.Spare
	for i := range l.Queues {
		total += l.Queues[i].Hosts
	}
	cpu, memory := r.Perm(total), r.Perm(total)
	smaller := func(size, n int) int { return int(float64(size) * (1 - hostSizeSpread*float64(n)/float64(total))) }
	for i := range total {
		d.hosts = append(d.hosts, hostSize{
			cpu:      smaller(l.Host.CPU, cpu[i]),
			memory:   smaller(l.Host.Memory, memory[i]),
			slowness: math.Exp(l.Host.Spread * r.NormFloat64()),
		})
	}
	d.drawPeaks(r)
	for i := range l.Queues {
		d.drawQueue(i, rand.New(rand.NewPCG(seed, uint64(i)+2)))
	}
	slices.SortStableFunc(d.jobs, func(a, b *job) int { return a.sentAt.Compare(b.sentAt) })
	for n, j := range d.jobs {
		j.id = fmt.Sprintf("%016x", n+1)
	}
	return d
}

// hostSizeSpread is the part by which the smallest host is smaller than the size in the load.
const hostSizeSpread = 0.03

// drawQueue draws the jobs of queue i: arrivals at random times at the rate of the moment.
func (d *day) drawQueue(i int, r *rand.Rand) {
	q := &d.load.Queues[i]
	if q.Lasting.Tasks > 0 {
		d.jobs = append(d.jobs, lastingJob(q, i))
	}
	peak := q.Rate * d.greatestFactor(i)
	if peak <= 0 {
		return
	}
	for t := r.ExpFloat64() / peak; t < d.load.Seconds; t += r.ExpFloat64() / peak {
		if r.Float64()*peak < q.Rate*d.factor(i, t) {
			d.jobs = append(d.jobs, d.drawJob(q, i, t, r))
		}
	}
	mean := 0.0
	n := 0
	for _, j := range d.jobs {
		if j.index == i && !j.lasting {
			mean += j.work
			n++
		}
	}
	mean /= float64(max(1, n))
	for _, j := range d.jobs {
		if j.index == i && !j.lasting {
			j.value = q.Value * min(maxJobValue, baseValue+(1-baseValue)*j.work/mean)
		}
	}
}

// A job is worth baseValue, and the rest in proportion to its work against the mean of its queue, at most maxJobValue
// times the value of an average job.
const (
	baseValue   = 0.3
	maxJobValue = 4
)

func lastingJob(q *Queue, i int) *job {
	step := cuminstair.JobStep{
		Count: q.Lasting.Tasks, CPU: q.Lasting.CPU, Memory: q.Lasting.Memory, LongRunning: true, MaxUnavailable: 1,
		PerWorker: q.Lasting.PerWorker,
	}
	return &job{
		queue: q, index: i, sentAt: begin.Add(-lead), lasting: true, spec: &cuminstair.JobSpec{Steps: []cuminstair.JobStep{step}},
		tasks: [][]time.Duration{make([]time.Duration, step.Count)},
	}
}

// drawJob draws a job of steps that follow each other.
func (d *day) drawJob(q *Queue, i int, t float64, r *rand.Rand) *job {
	j := &job{queue: q, index: i, sentAt: begin.Add(seconds(t)), spec: &cuminstair.JobSpec{}}
	j.centre = d.load.Centres[r.IntN(len(d.load.Centres))]
	steps := max(1, int(math.Round(q.Steps.draw(r))))
	longest := 0.0
	for n := range steps {
		duration := q.Seconds.draw(r)
		step := cuminstair.JobStep{
			Count: max(1, int(math.Round(q.Tasks.draw(r)))), CPU: max(1, int(q.CPU.draw(r))), Memory: max(1, int(q.Memory.draw(r))),
			Estimate: seconds(duration * off(r, q.EstimateOff)),
		}
		if n > 0 {
			step.After = []int{n - 1}
		}
		if r.Float64() < q.Separate {
			step.PerWorker = 1
			step.Count = min(step.Count, q.Hosts)
		}
		list := make([]time.Duration, step.Count)
		slowest := 0.0
		for k := range list {
			x := duration * (1 + q.Uneven*(2*r.Float64()-1))
			list[k] = seconds(x)
			slowest = max(slowest, x)
			j.work += list[k].Seconds() * float64(step.CPU) / 1000
		}
		pool := float64(q.Hosts * d.load.Host.CPU)
		waves := max(1, math.Ceil(float64(step.Count*step.CPU)/(pool*waveShare)))
		longest += slowest * waves
		j.spec.Steps = append(j.spec.Steps, step)
		j.tasks = append(j.tasks, list)
	}
	objective := seconds(longest*q.TargetFactor + q.Target)
	j.due, j.useful = j.sentAt.Add(objective), j.sentAt.Add(usefulFactor*objective)
	return j
}

// draw draws a size.
func (s Size) draw(r *rand.Rand) float64 {
	x := s.Mean * math.Exp(s.Spread*r.NormFloat64()-s.Spread*s.Spread/2)
	if s.Tail > 0 && r.Float64() < s.Tail {
		x *= s.TailFactor
	}
	if s.Max > 0 {
		x = min(x, s.Max)
	}
	return x
}

// off draws a factor between 1/(1+most) and 1+most.
func off(r *rand.Rand, most float64) float64 {
	return math.Pow(1+most, 2*r.Float64()-1)
}

// objective is the time that a job has to be on time.
func (j *job) objective() time.Duration { return j.due.Sub(j.sentAt) }

// sortedKeys returns the keys of a map in order, since the order of a map differs between two runs.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
