// Package admission decides whether a new job is accepted, by whether it can finish within its latency objective. It is
// made for short peaks in which the demand is a multiple of the capacity of the pool: a job that is accepted as on time
// finishes on time, a job that can only finish late is accepted with lower priority while its result is still useful, and
// any other job is refused at once.
package admission

import (
	"sort"
	"time"
)

// Load is the unfinished work of an accepted job.
type Load struct {
	Due    time.Time // when it should be done
	Expiry time.Time // when its result becomes useless
	Work   float64   // remaining core-seconds
	// Ready is the part of Work that is ready to run and waits for free cores. The other part belongs to later steps, which
	// do not compete for cores until the ready part is done.
	Ready float64
	Late  bool // the job can no longer finish on time; work that can still be on time runs first
	// Class orders work before its due time: work of a lower class runs first.
	Class int
	// Yields means that the work was accepted beyond the share of its account: the part of it that has not begun is no reason
	// to refuse a job of a lower class. Begun is the other part of Work, which runs on.
	Yields bool
	Begun  float64
}

// Job is a new job to be decided about.
type Job struct {
	Due          time.Time     // when it should be done
	Expiry       time.Time     // when its result becomes useless
	Work         float64       // core-seconds
	CriticalPath time.Duration // duration of its longest chain of dependent steps if no step has to wait
	Width        float64       // cores that its first steps can use
	Class        int           // see Load
}

// Pool is the capacity of the workers.
type Pool struct {
	Cores         float64 // cores that short tasks may use now
	ExtraCores    float64 // additional cores that become available after ExtraDelay
	ExtraDelay    time.Duration
	Free          float64       // idle cores
	MeanRemaining time.Duration // mean remaining time of a running task
	// Utilization is the fraction of the cores that placement can use in practice; the remainder is lost to fragmentation.
	Utilization float64
}

// workTime returns how long the pool takes for an amount of work in core-seconds.
func (p Pool) workTime(work float64) time.Duration {
	usableCores := p.Cores * p.Utilization
	workBeforeExtra := usableCores * p.ExtraDelay.Seconds()
	if p.ExtraCores <= 0 || work <= workBeforeExtra {
		if usableCores <= 0 {
			return noCoresTime
		}
		return seconds(work / usableCores)
	}
	return p.ExtraDelay + seconds((work-workBeforeExtra)/(usableCores+p.ExtraCores*p.Utilization))
}

// wait returns how long the first steps of a job wait for cores, given readyWork core-seconds of work that run
// before them.
func (p Pool) wait(readyWork, width float64) time.Duration {
	missing := max(0, min(width, p.Cores)-p.Free)
	if readyWork <= 0 && missing <= 0 {
		return 0
	}
	wait := p.workTime(readyWork)
	if p.Cores > 0 {
		wait += time.Duration(missing / p.Cores * float64(p.MeanRemaining))
	}
	return wait
}

// laterStepShare is the fraction of the work of later steps that becomes ready early enough to delay a new job.
const laterStepShare = 0.7

// lateWorkFactor is a safety factor on all accepted work when a late job is checked: the job has to finish before its
// result becomes useless, although later jobs that can be on time run before it.
const lateWorkFactor = 1.5

// noCoresTime is returned as the time for any work if a pool has no cores, instead of an infinite time.
const noCoresTime = time.Hour

// Verdict is the result of Decide.
type Verdict struct {
	Accept bool
	Late   bool          // if accepted: the job can't finish on time; work that can still be on time runs first
	Finish time.Time     // when the job is expected to finish
	Wait   time.Duration // if refused: time until a retry, equal to the greatest lateness that would result
	// LateFinish is when a job that can't be on time is expected to finish as late.
	LateFinish time.Time
	Before     float64 // core-seconds of accepted and expected work that run before the job
}

// runsBefore reports whether work runs before a job.
func (l *Load) runsBefore(job *Job) bool {
	if l.Class != job.Class {
		return l.Class < job.Class
	}
	return !l.Due.After(job.Due)
}

// Decide accepts the job as on time if its longest chain can finish before its due time and, with all work done in the
// order of classes and due times (earliest deadline first), no accepted job becomes late because of it, except for work that
// yields. Any other job is accepted as late if the pool can finish all accepted work and the job itself while the result of
// the job is still useful. Decide sorts load.
func Decide(now time.Time, pool Pool, load []Load, job Job) Verdict {
	sort.Slice(load, func(i, j int) bool {
		if load[i].Class != load[j].Class {
			return load[i].Class < load[j].Class
		}
		return load[i].Due.Before(load[j].Due)
	})
	workBefore, readyBefore, onTime, allWork, lateness := 0.0, 0.0, 0.0, 0.0, time.Duration(0)
	for i := range load {
		l := &load[i]
		if l.Yields && job.Class < l.Class {
			workBefore, onTime, allWork = workBefore+l.Begun, onTime+l.Begun, allWork+l.Begun
			continue
		}
		allWork += l.Work
		if l.Late {
			continue
		}
		onTime += l.Work
		if l.runsBefore(&job) {
			workBefore += l.Work
			readyBefore += l.Ready
			continue
		}
		// Work that would be late without the job too is no reason to refuse it.
		late := now.Add(pool.workTime(onTime + job.Work)).Sub(l.Due)
		if late > 0 && !now.Add(pool.workTime(onTime)).After(l.Due) {
			lateness = max(lateness, late)
		}
	}
	wait := pool.wait(readyBefore+laterStepShare*(workBefore-readyBefore), job.Width)
	finish := now.Add(max(wait+job.CriticalPath, pool.workTime(workBefore+job.Work)))
	if late := finish.Sub(job.Due); late > 0 {
		lateness = max(lateness, late)
	}
	if lateness == 0 {
		return Verdict{Accept: true, Finish: finish, Before: workBefore}
	}
	basePool := pool
	basePool.ExtraCores = 0 // after a peak, the hosts added for it are moved to the pool with the next peak
	lateFinish := now.Add(max(wait+job.CriticalPath, basePool.workTime(lateWorkFactor*(allWork+job.Work))))
	if !lateFinish.After(job.Expiry) {
		return Verdict{Accept: true, Late: true, Finish: lateFinish, LateFinish: lateFinish, Before: workBefore}
	}
	return Verdict{Finish: finish, Wait: lateness, LateFinish: lateFinish, Before: workBefore}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
