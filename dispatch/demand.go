package dispatch

import (
	"sort"
	"time"

	"cuminstair.org/cuminstair/admission"
)

// Parameters of the demand calculation.
const (
	// rateWindow is the period over which submitted work is counted.
	rateWindow = time.Second
	// rateBucket is the length of the time buckets in which submitted work is summed.
	rateBucket = 100 * time.Millisecond
	// newOwnerTime is how long after a takeover the demand may be reported too low: work is counted over rateWindow, and callers
	// that a takeover has kept waiting come again meanwhile.
	newOwnerTime = rateWindow + 500*time.Millisecond
	// minBacklogTime is the shortest time in which demand aims to finish accepted work.
	minBacklogTime = 1200 * time.Millisecond
	// staleBacklogTime is the time in which demand aims to finish work whose result is no longer useful.
	staleBacklogTime = 20 * time.Second
	// objectiveWeight is the weight of a new job in the moving mean of objectives.
	objectiveWeight = 0.1
	// availableShare is how much of the capacity of the hosts that could be moved to the pool is included in admission
	// decisions, and availableDelay the time until those hosts take tasks.
	availableShare = 0.6
	availableDelay = 2300 * time.Millisecond
	// maxConcurrentMoves limits the workers requested for tasks that wait to be moved, since these tasks move one after
	// the other.
	maxConcurrentMoves = 2
	// incomingDelay is the average time until a worker that is being moved to the pool takes tasks.
	incomingDelay = 1300 * time.Millisecond
)

// Demand is the capacity that a service requests for its pool.
type Demand struct {
	Rate        float64  `json:"rate"`             // cores needed to keep up with the work submitted in the last second
	Backlog     float64  `json:"backlog"`          // cores needed to finish accepted work in time, without late work
	Late        float64  `json:"late,omitempty"`   // cores needed to finish late work while its results are useful
	Active      float64  `json:"active"`           // cores of running and ready short tasks that can be in time
	Spread      int      `json:"spread,omitempty"` // most workers that a step needs because of its PerWorker limit
	LongRunning float64  `json:"long,omitempty"`   // cores of long-running tasks
	Pinned      int      `json:"pinned,omitempty"` // workers with long-running tasks, plus those that unplaced such tasks need
	Workers     int      `json:"workers"`          // workers that accept tasks
	Silent      []string `json:"silent,omitempty"` // workers that do not answer or are in a data centre that is cut off
	CutOff      []string `json:"cut,omitempty"`    // data centres that are cut off
	Cores       float64  `json:"cores"`            // of the largest worker
	Idle        []string `json:"idle,omitempty"`   // workers without tasks, the longest idle first
	// Objective is the mean objective of jobs in milliseconds, 0 before the first job.
	Objective int64 `json:"objective,omitempty"`
	// Young means that the owner has had the service for less than newOwnerTime, so that Rate, Active and Idle may not show the
	// demand.
	Young bool `json:"young,omitempty"`
}

// recordOffered adds work that a caller submits for the first time to the current time bucket.
func (s *Service) recordOffered(now time.Time, work float64) {
	slot := now.UnixNano() / int64(rateBucket)
	if n := len(s.offered); n > 0 && s.offered[n-1].slot == slot {
		s.offered[n-1].work += work
		return
	}
	s.offered = append(s.offered, offeredWork{slot: slot, work: work})
	oldest := slot - int64(rateWindow/rateBucket)
	for len(s.offered) > 0 && s.offered[0].slot <= oldest {
		s.offered = s.offered[1:]
	}
}

// offeredWork is the work submitted in one time bucket.
type offeredWork struct {
	slot int64
	work float64 // core-seconds
}

// Demand returns the capacity that the service requests. incoming is how many workers are being moved to its pool,
// available how many more could be.
func (s *Service) Demand(now time.Time, incoming, available int) Demand {
	s.incoming, s.available = incoming, available
	d := Demand{Rate: s.rate(now), Objective: s.meanObjective.Milliseconds(), CutOff: s.cutOffCentres(now), Young: now.Sub(s.takenOverAt) < newOwnerTime}
	d.Backlog, d.Late = backlogs(now, s.load(now))
	d.Active, d.Spread = s.activeDemand()
	var idle []*worker
	for _, w := range s.workers {
		if w.gone || !w.listed {
			continue
		}
		s.addWorkerDemand(now, w, &d)
		if w.idle() && w.synced && w.leavingSince.IsZero() && w.failedCalls == 0 && !s.isCutOff(now, w) {
			idle = append(idle, w)
		}
	}
	d.LongRunning += s.unplacedCores
	if s.anyRisk(now) {
		d.LongRunning = max(d.LongRunning, float64(d.Pinned)*d.Cores) // short tasks need hosts of their own
	}
	d.Pinned += s.unplaced + min(s.unplacedMoves, maxConcurrentMoves) + min(s.waitingTrials, s.trialLimit())
	sort.Slice(idle, func(i, j int) bool {
		if !idle[i].idleSince.Equal(idle[j].idleSince) {
			return idle[i].idleSince.Before(idle[j].idleSince)
		}
		return idle[i].info.ID < idle[j].info.ID
	})
	for _, w := range idle {
		d.Idle = append(d.Idle, w.info.ID)
	}
	return d
}

// rate is the work submitted during the last second, in cores.
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

// addWorkerDemand adds the contribution of one worker to the demand.
func (s *Service) addWorkerDemand(now time.Time, w *worker, d *Demand) {
	d.Cores = max(d.Cores, float64(w.total.CPU)/1000)
	switch {
	case w.suspect() && !w.connRefused || s.isCutOff(now, w):
		d.Silent = append(d.Silent, w.info.ID)
	case w.usable(now):
		d.Workers++
	}
	longRunning := false
	for _, a := range w.attempts {
		if a.task != nil && a.task.step.LongRunning {
			longRunning = true
			d.LongRunning += s.taskCores(&a.task.step.JobStep)
		}
	}
	if longRunning {
		d.Pinned++
	}
}

// backlogs returns the cores needed to finish accepted work by its due time, and those needed to finish late work while
// its results are useful.
func backlogs(now time.Time, load []admission.Load) (inTime, late float64) {
	sort.Slice(load, func(i, j int) bool { return load[i].Due.Before(load[j].Due) })
	work, lateWork := 0.0, 0.0
	for _, l := range load {
		// The order by due time is also the order by expiry, except for jobs with objectives of different lengths.
		if l.Late {
			lateWork += l.Work
			least := minBacklogTime
			if l.Expiry.Before(now) {
				least = staleBacklogTime
			}
			late = max(late, lateWork/max(least, l.Expiry.Sub(now)).Seconds())
			continue
		}
		work += l.Work
		inTime = max(inTime, work/max(minBacklogTime, l.Due.Sub(now)).Seconds())
	}
	return inTime, late
}

// activeDemand returns the cores of running and ready short tasks that can be in time, and the most workers that a step
// needs because of its limit of tasks per worker.
func (s *Service) activeDemand() (cores float64, spread int) {
	for _, w := range s.workers {
		for _, a := range w.attempts {
			if a.task != nil && !a.task.step.LongRunning && a.task.step.rank == rankInTime {
				cores += s.taskCores(&a.task.step.JobStep)
			}
		}
	}
	for _, st := range s.ready {
		waiting := 0
		for _, t := range st.tasks {
			if !t.done && t.attempt == nil {
				waiting++
			}
		}
		if !st.LongRunning && st.rank == rankInTime {
			cores += float64(waiting) * s.taskCores(&st.JobStep)
		}
		if st.PerWorker > 0 {
			spread = max(spread, (st.tasksLeft+st.PerWorker-1)/st.PerWorker)
		}
	}
	return cores, spread
}
