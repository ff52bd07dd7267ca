// Package intake decides whether a new job can end within its objective. It answers demand that asks for a multiple of
// the pool for some seconds: work that would end late is refused at once, so that what is accepted ends in time.
package intake

import (
	"sort"
	"time"
)

// Load is accepted work that is not done.
type Load struct {
	Due  time.Time // when it should be done
	Work float64   // core-seconds left
}

// Ask is a new job.
type Ask struct {
	Due   time.Time
	Work  float64       // core-seconds
	Chain time.Duration // longest chain of its steps when nothing waits
	Width float64       // cores of its widest step
}

// Pool is the room of the workers.
type Pool struct {
	Cores float64 // that short tasks may use
	// Share is the part of Cores that placement fills in practice; the rest is stranded between tasks.
	Share float64
}

// Verdict is the answer.
type Verdict struct {
	Accept bool
	Finish time.Time     // when the job is expected to end
	Wait   time.Duration // refused: when room is expected
}

// Decide accepts the job if its own chain fits before its due time and, with the work in the order of the due times,
// the pool can do everything that is due up to each due time.
func Decide(now time.Time, pool Pool, load []Load, ask Ask) Verdict {
	rate := pool.Cores * pool.Share
	if rate <= 0 {
		return Verdict{Finish: now.Add(time.Hour), Wait: time.Second}
	}
	sort.Slice(load, func(i, j int) bool { return load[i].Due.Before(load[j].Due) })
	before, excess := 0.0, time.Duration(0)
	total := 0.0
	for _, l := range load {
		total += l.Work
		if !l.Due.After(ask.Due) {
			before += l.Work
			continue
		}
		late := now.Add(seconds((total + ask.Work) / rate)).Sub(l.Due)
		// Work that is late already is not made a reason to refuse: it goes on behind the rest.
		was := now.Add(seconds(total / rate)).Sub(l.Due)
		if late > 0 && was <= 0 {
			excess = max(excess, late)
		}
	}
	wait := seconds(before / rate)
	run := max(ask.Chain, seconds(ask.Work/rate))
	finish := now.Add(wait + run)
	if late := finish.Sub(ask.Due); late > 0 {
		excess = max(excess, late)
	}
	return Verdict{Accept: excess == 0, Finish: finish, Wait: excess}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
