package experiment

import (
	"cmp"
	"slices"
	"time"
)

// windowLength is the length of the windows whose worth is compared.
const windowLength = 2 * time.Second

// Result has the figures of one day. Parts are between 0 and 1; a job counts in the window and the queue of its first
// submission.
type Result struct {
	Load         string             `json:"load"`
	Policy       string             `json:"policy"`
	Seed         uint64             `json:"seed"`
	Jobs         int                `json:"jobs"`
	Earned       float64            `json:"earned"`       // value of jobs on time and, in part, of late ones, against that of all
	OnTime       float64            `json:"onTime"`       // part of the jobs
	Late         float64            `json:"late"`         // done while the result is of use
	Unserved     float64            `json:"unserved"`     // refused to the end, or done too late to be of use
	RefusedEarly int                `json:"refusedEarly"` // refusals that took at most a quarter of the objective
	RefusedLate  int                `json:"refusedLate"`
	RoomFree     int                `json:"refusedRoomFree"` // refusals while the pool had room for the first step
	Worst        Window             `json:"worstWindow"`
	SecondWorst  Window             `json:"secondWorstWindow"`
	TurnStarts   float64            `json:"turnStarts"` // earned by the jobs of queues whose turn begins, while their rate rises
	WorstQueue   string             `json:"worstQueue"`
	WorstEarned  float64            `json:"worstQueueEarned"`
	Wasted       float64            `json:"wastedCoreSeconds"`
	UsedCores    float64            `json:"usedCoreSeconds"`
	HostSeconds  float64            `json:"hostSeconds"` // in pools and on the way to one
	HostRatio    float64            `json:"hostRatio"`   // core-seconds of hosts in pools for each that tasks used
	HostTime     HostTime           `json:"hostTime"`
	Moves        int                `json:"moves"`
	Lost         map[string]float64 `json:"lost,omitempty"`       // by what was short: value lost, against that of all jobs
	LostStarts   map[string]float64 `json:"lostStarts,omitempty"` // the same for the jobs of TurnStarts
	LostWorst    map[string]float64 `json:"lostWorst,omitempty"`  // the same for the jobs of the two worst windows
	FirstStart50 float64            `json:"firstStartMedian"`     // seconds from the submission of a job to its first start
	FirstStart95 float64            `json:"firstStart95"`
	Broken       int                `json:"broken"` // starts beyond a worker's capacity or of a task that runs already
	Windows      []Window           `json:"windows"`
}

// Window is the earned part of the value of jobs that were submitted in it.
type Window struct {
	From   float64 `json:"from"` // seconds
	Jobs   int     `json:"jobs"`
	Earned float64 `json:"earned"`
	owed   float64
	lost   [shortages]float64
}

// HostTime is the time of hosts in pools in host-seconds, by what they do.
type HostTime struct {
	Used          float64 `json:"used"`          // part of the processors that tasks requested
	Memory        float64 `json:"memory"`        // part beyond it whose memory tasks requested
	BesideTasks   float64 `json:"besideTasks"`   // unused part of hosts with short tasks
	BesideLasting float64 `json:"besideLasting"` // unused part of hosts with long-running tasks only
	IdleBefore    float64 `json:"idleBefore"`    // idle before a turn of the queue
	IdleIn        float64 `json:"idleInTurn"`
	IdleAfter     float64 `json:"idleAfter"` // idle otherwise
	Moving        float64 `json:"moving"`    // on the way to a pool
}

func (t *HostTime) addIdle(phase turnPhase, x float64) {
	switch phase {
	case beforeTurn:
		t.IdleBefore += x
	case inRise, inTurn:
		t.IdleIn += x
	default:
		t.IdleAfter += x
	}
}

func (t *HostTime) total() float64 {
	return t.Used + t.Memory + t.BesideTasks + t.BesideLasting + t.IdleBefore + t.IdleIn + t.IdleAfter + t.Moving
}

// tally sums up the value of jobs.
type tally struct {
	day     *day
	windows []Window
	queues  map[string]*Window
	all     Window
	starts  Window
}

func newTally(d *day) *tally {
	t := &tally{day: d, queues: map[string]*Window{}}
	for x := 0.0; x < d.load.Seconds; x += windowLength.Seconds() {
		t.windows = append(t.windows, Window{From: x})
	}
	return t
}

// add adds a job that has earned a part of its value, and why it has not earned the rest.
func (t *tally) add(j *job, part float64, why shortage) {
	q := t.queues[j.queue.Name]
	if q == nil {
		q = &Window{}
		t.queues[j.queue.Name] = q
	}
	for _, w := range []*Window{&t.all, q, &t.windows[int(j.sentAt.Sub(begin)/windowLength)]} {
		w.add(j.value, part, why)
	}
	if t.day.phase(j.index, j.sentAt) == inRise {
		t.starts.add(j.value, part, why)
	}
}

func (w *Window) add(value, part float64, why shortage) {
	w.Jobs++
	w.owed += value
	w.lost[why] += value * (1 - part)
}

// share is the earned part of the value.
func (w *Window) share() float64 {
	lost := 0.0
	for _, x := range w.lost {
		lost += x
	}
	if w.owed <= 0 {
		return 1
	}
	return 1 - lost/w.owed
}

// shares returns the parts of the value that were lost, by what was short.
func (w *Window) shares() map[string]float64 {
	m := map[string]float64{}
	for i, x := range w.lost {
		if x > 0 {
			m[shortageNames[i]] = x / w.owed
		}
	}
	return m
}

// fill enters the sums into a result.
func (t *tally) fill(r *Result) {
	r.Jobs, r.Earned, r.TurnStarts = t.all.Jobs, t.all.share(), t.starts.share()
	r.WorstEarned = 1
	for _, name := range sortedKeys(t.queues) {
		if x := t.queues[name].share(); r.WorstQueue == "" || x < r.WorstEarned {
			r.WorstQueue, r.WorstEarned = name, x
		}
	}
	for i := range t.windows {
		t.windows[i].Earned = t.windows[i].share()
	}
	r.Windows = t.windows
	worst := slices.Clone(t.windows)
	slices.SortStableFunc(worst, func(a, b Window) int { return cmp.Compare(a.Earned, b.Earned) })
	r.Worst, r.SecondWorst = worst[0], worst[min(1, len(worst)-1)]
	both := r.Worst
	both.owed += r.SecondWorst.owed
	for i := range both.lost {
		both.lost[i] += r.SecondWorst.lost[i]
	}
	r.Lost, r.LostStarts, r.LostWorst = t.all.shares(), t.starts.shares(), both.shares()
}

// result computes the figures of a day that has been played.
func (s *sim) result(seed uint64) Result {
	c := &s.count
	r := Result{
		Load: s.day.load.Name, Policy: s.policy.Name, Seed: seed, RefusedEarly: c.refusedEarly, RefusedLate: c.refusedLate,
		RoomFree: c.roomFree, Wasted: c.wasted, UsedCores: c.usedCores, HostTime: c.hostTime, HostSeconds: c.hostTime.total(),
		Moves: c.moves, Broken: c.overCapacity + c.twice,
	}
	if r.UsedCores > 0 {
		r.HostRatio = r.HostSeconds * float64(s.day.load.Host.CPU) / 1000 / r.UsedCores
	}
	t := newTally(s.day)
	for _, j := range s.day.jobs {
		if j.lasting {
			continue
		}
		switch {
		case j.completedAt.IsZero() || j.completedAt.After(j.useful):
			r.Unserved++
			t.add(j, 0, j.lossOf(s))
		case j.completedAt.After(j.due):
			r.Late++
			t.add(j, j.queue.LateValue/j.queue.Value, j.lossOf(s))
		default:
			r.OnTime++
			t.add(j, 1, shortNothing)
		}
	}
	t.fill(&r)
	n := float64(max(1, t.all.Jobs))
	r.OnTime, r.Late, r.Unserved = r.OnTime/n, r.Late/n, r.Unserved/n
	slices.Sort(c.firstStarts)
	if k := len(c.firstStarts); k > 0 {
		r.FirstStart50, r.FirstStart95 = c.firstStarts[k/2].Seconds(), c.firstStarts[k*95/100].Seconds()
	}
	return r
}
