// Package admission decides whether a new job can end within its objective. It answers demand that asks for a multiple of
// the pool for some seconds: what is accepted in time ends in time, what can only end late is accepted behind it as long
// as its result is of use, and the rest is refused at once.
package admission

import (
	"sort"
	"time"
)

// Load is accepted work that is not done.
type Load struct {
	Due  time.Time // when it should be done
	Use  time.Time // when its result is of no use any more
	Work float64   // core-seconds left
	// Front is the part of Work that could run now and waits for room; later steps wait for it and don't stand in the way.
	Front float64
	Late  bool // it can't be done in time any more and gives way to all that can
}

// Ask is a new job.
type Ask struct {
	Due   time.Time
	Use   time.Time     // when its result is of no use any more
	Work  float64       // core-seconds
	Chain time.Duration // longest chain of its steps when nothing waits
	Width float64       // cores that its first steps keep busy
}

// Pool is the room of the workers.
type Pool struct {
	Cores float64 // that short tasks may use now
	More  float64 // cores that come on top after Delay
	Delay time.Duration
	Free  float64       // cores that are free now
	Rest  time.Duration // mean time until a running task ends
	// Share is the part of the cores that placement fills in practice; the rest is stranded between tasks.
	Share float64
}

// time returns how long the pool takes for an amount of work.
func (p Pool) time(work float64) time.Duration {
	now := p.Cores * p.Share
	soon := now * p.Delay.Seconds()
	if p.More <= 0 || work <= soon {
		if now <= 0 {
			return never
		}
		return seconds(work / now)
	}
	return p.Delay + seconds((work-soon)/(now+p.More*p.Share))
}

// wait returns how long the first steps of a job wait for room behind work that could run now.
func (p Pool) wait(front, width float64) time.Duration {
	lack := max(0, min(width, p.Cores)-p.Free)
	if front <= 0 && lack <= 0 {
		return 0
	}
	wait := p.time(front)
	if p.Cores > 0 {
		wait += time.Duration(lack / p.Cores * float64(p.Rest))
	}
	return wait
}

// laterShare is the part of the work of later steps that comes up in time to stand in the way of a new job.
const laterShare = 0.7

// lateReserve is by how much all accepted work has to fit before a late job's result is of no use any more, since
// work that comes later and can be in time goes first.
const lateReserve = 1.5

// never stands for work that a pool without cores does not do.
const never = time.Hour

// Verdict is the answer.
type Verdict struct {
	Accept bool
	Late   bool          // accepted: it can't be in time and gives way to all that can
	Finish time.Time     // when the job is expected to end
	Wait   time.Duration // refused: when room is expected
}

// Decide accepts the job if its own chain fits before its due time and, with the work in the order of the due times,
// the pool can do everything that is due up to each due time. A job that can't be in time is accepted late if the pool
// can do it, and everything that was accepted before, while its result is of use.
func Decide(now time.Time, pool Pool, load []Load, ask Ask) Verdict {
	sort.Slice(load, func(i, j int) bool { return load[i].Due.Before(load[j].Due) })
	before, front, total, all, excess := 0.0, 0.0, 0.0, 0.0, time.Duration(0)
	for _, l := range load {
		all += l.Work
		if l.Late {
			continue
		}
		total += l.Work
		if !l.Due.After(ask.Due) {
			before += l.Work
			front += l.Front
			continue
		}
		// Work that would be late anyhow is no reason to refuse.
		late := now.Add(pool.time(total + ask.Work)).Sub(l.Due)
		if late > 0 && !now.Add(pool.time(total)).After(l.Due) {
			excess = max(excess, late)
		}
	}
	wait := pool.wait(front+laterShare*(before-front), ask.Width)
	finish := now.Add(max(wait+ask.Chain, pool.time(before+ask.Work)))
	if late := finish.Sub(ask.Due); late > 0 {
		excess = max(excess, late)
	}
	if excess == 0 {
		return Verdict{Accept: true, Finish: finish}
	}
	own := pool
	own.More = 0 // hosts that come for a peak go to the next one after it
	last := now.Add(max(wait+ask.Chain, own.time(lateReserve*(all+ask.Work))))
	if !last.After(ask.Use) {
		return Verdict{Accept: true, Late: true, Finish: last}
	}
	return Verdict{Finish: finish, Wait: excess}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
