package dispatch

import (
	"sort"
	"time"

	"cuminstair.org/cuminstair/admission"
)

// Windows of demand.
const (
	// rateWindow is the time over which offered work is counted.
	rateWindow = time.Second
	// rateBucket is the resolution of the count.
	rateBucket = 100 * time.Millisecond
	// leastTime is the least time in which accepted work is asked to be done.
	leastTime = 1200 * time.Millisecond
	// uselessTime is the time in which work is asked to be done whose result is of no use any more.
	uselessTime = 20 * time.Second
	// objectiveWeight is the weight of a new job in the mean of objectives.
	objectiveWeight = 0.1
	// availableShare is how many of the hosts that could be sent are counted on, and availableDelay when they take tasks.
	availableShare = 0.6
	availableDelay = 2300 * time.Millisecond
	// moversAtOnce is for how many tasks that have to move workers are asked for; they move one after the other.
	moversAtOnce = 2
	// incomingDelay is when a worker that is on its way takes tasks, on average.
	incomingDelay = 1300 * time.Millisecond
)

// Demand is what a service asks of its pool.
type Demand struct {
	Rate        float64  `json:"rate"`             // cores that the work handed in during the last second would keep busy
	Backlog     float64  `json:"backlog"`          // cores that do the accepted work in time that can be in time
	Late        float64  `json:"late,omitempty"`   // cores that do the other work while its results are of use
	Active      float64  `json:"active"`           // cores of the short tasks that run or could run, and may be in time
	Spread      int      `json:"spread,omitempty"` // workers that the widest step needs because its tasks keep apart
	LongRunning float64  `json:"long,omitempty"`   // cores of long-running tasks
	Pinned      int      `json:"pinned,omitempty"` // workers with long-running tasks, and those that such tasks lack
	Workers     int      `json:"workers"`          // that take tasks
	Silent      []string `json:"silent,omitempty"` // workers that do not answer or lie in data centres that are cut off
	CutOff      []string `json:"cut,omitempty"`    // data centres that are cut off
	Cores       float64  `json:"cores"`            // of one worker
	Idle        []string `json:"idle,omitempty"`   // workers without tasks, the longest idle first
	// Objective is the mean objective of jobs in milliseconds, 0 if none has come yet.
	Objective int64 `json:"objective,omitempty"`
}

// offer notes work that a caller hands in for the first time.
func (s *Service) offer(now time.Time, work float64) {
	slot := now.UnixNano() / int64(rateBucket)
	if n := len(s.offered); n > 0 && s.offered[n-1].slot == slot {
		s.offered[n-1].work += work
		return
	}
	s.offered = append(s.offered, offered{slot: slot, work: work})
	oldest := slot - int64(rateWindow/rateBucket)
	for len(s.offered) > 0 && s.offered[0].slot <= oldest {
		s.offered = s.offered[1:]
	}
}

// offered is the work that came in one bucket of time.
type offered struct {
	slot int64
	work float64 // core-seconds
}

// Demand returns what the service asks for. incoming is how many workers are on their way to it, available how many more
// could be sent.
func (s *Service) Demand(now time.Time, incoming, available int) Demand {
	s.incoming, s.available = incoming, available
	d := Demand{Rate: s.rate(now), Objective: s.meanObjective.Milliseconds(), CutOff: s.cutOffCentres(now)}
	d.Backlog, d.Late = backlogs(now, s.load(now))
	d.Active, d.Spread = s.activity()
	var idle []*worker
	for _, w := range s.workers {
		if w.gone || !w.listed {
			continue
		}
		s.addWorker(now, w, &d)
		if len(w.attempts) == 0 && w.synced && w.leaving.IsZero() && w.failed == 0 && !s.isCutOff(now, w) {
			idle = append(idle, w)
		}
	}
	d.LongRunning += s.unplacedCores
	d.Pinned += s.unplaced + min(s.movers, moversAtOnce)
	sort.Slice(idle, func(i, j int) bool {
		if !idle[i].idle.Equal(idle[j].idle) {
			return idle[i].idle.Before(idle[j].idle)
		}
		return idle[i].info.ID < idle[j].info.ID
	})
	for _, w := range idle {
		d.Idle = append(d.Idle, w.info.ID)
	}
	return d
}

// rate is the work that was handed in during the last second, in cores.
func (s *Service) rate(now time.Time) float64 {
	oldest := now.UnixNano()/int64(rateBucket) - int64(rateWindow/rateBucket)
	rate := 0.0
	for _, o := range s.offered {
		if o.slot > oldest {
			rate += o.work / rateWindow.Seconds()
		}
	}
	return rate
}

// addWorker adds what a worker counts for.
func (s *Service) addWorker(now time.Time, w *worker, d *Demand) {
	d.Cores = max(d.Cores, float64(w.total.CPU)/1000)
	switch {
	case w.suspect() && !w.refusing || s.isCutOff(now, w):
		d.Silent = append(d.Silent, w.info.ID)
	case w.usable(now):
		d.Workers++
	}
	longRunning := false
	for _, a := range w.attempts {
		if a.task != nil && a.task.step.LongRunning {
			longRunning = true
			d.LongRunning += s.cores(&a.task.step.JobStep)
		}
	}
	if longRunning {
		d.Pinned++
	}
}

// backlogs returns the cores that do accepted work before it should be done, and those that do late work while it is of
// use.
func backlogs(now time.Time, load []admission.Load) (inTime, late float64) {
	sort.Slice(load, func(i, j int) bool { return load[i].Due.Before(load[j].Due) })
	work, lateWork := 0.0, 0.0
	for _, l := range load {
		// The use of a result ends in the order of the due times, but for jobs of unlike lengths.
		if l.Late {
			lateWork += l.Work
			least := leastTime
			if l.Use.Before(now) {
				least = uselessTime
			}
			late = max(late, lateWork/max(least, l.Use.Sub(now)).Seconds())
			continue
		}
		work += l.Work
		inTime = max(inTime, work/max(leastTime, l.Due.Sub(now)).Seconds())
	}
	return inTime, late
}

// activity returns the cores of the short tasks that run, or could run and may be in time, and how many workers a step
// needs whose tasks keep apart.
func (s *Service) activity() (cores float64, spread int) {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.task != nil && !a.task.step.LongRunning && a.task.step.rank == rankInTime {
				cores += s.cores(&a.task.step.JobStep)
			}
		}
	}
	for _, st := range s.ready {
		waiting := 0
		for _, t := range st.tasks {
			if !t.done && t.at == nil {
				waiting++
			}
		}
		if !st.LongRunning && st.rank == rankInTime {
			cores += float64(waiting) * s.cores(&st.JobStep)
		}
		if st.PerWorker > 0 {
			spread = max(spread, (st.left+st.PerWorker-1)/st.PerWorker)
		}
	}
	return cores, spread
}
