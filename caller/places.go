package caller

import (
	"time"

	"cuminstair.org/cuminstair"
)

// charge charges one request to the quota of a team. If the quota is used up, ok is false and after is the time to
// wait.
func (d *Decisions) charge(now time.Time, team string) (after time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	if d.Quotas == nil {
		return 0, true
	}
	return d.Quotas.Take(now, team)
}

// offer submits a request to admission. If the verdict is Wait, the final verdict is sent on the channel, unless cancel
// removes the request first.
func (d *Decisions) offer(now time.Time, r *cuminstair.Request) (cuminstair.Verdict, <-chan cuminstair.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	a := d.admissions[r.Service]
	if a == nil {
		return cuminstair.Verdict{Reason: cuminstair.ReasonNoService}, nil
	}
	v := a.Offer(now, r)
	if !v.Wait {
		return v, nil
	}
	ch := make(chan cuminstair.Verdict, 1)
	d.waiters[r] = ch
	return v, ch
}

// cancel removes a queued request. If it was allowed to run in the meantime, its slot is released.
func (d *Decisions) cancel(r *cuminstair.Request, ch <-chan cuminstair.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.monotonic(d.Timer.Now())
	if d.admissions[r.Service].Cancel(now, r) {
		delete(d.waiters, r)
		return
	}
	select {
	case v := <-ch:
		if v.Run {
			d.finishLocked(now, r, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun})
		}
	default:
		delete(d.waiters, r)
	}
}

// finish releases the admission slot of a request.
func (d *Decisions) finish(now time.Time, r *cuminstair.Request, res cuminstair.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	d.finishLocked(now, r, res)
}

func (d *Decisions) finishLocked(now time.Time, r *cuminstair.Request, res cuminstair.Result) {
	a := d.admissions[r.Service]
	if a == nil {
		return
	}
	for _, next := range a.Finish(now, r, res) {
		d.wake(next, cuminstair.Verdict{Run: true})
	}
}

// pick reserves a slot at an upstream.
func (d *Decisions) pick(now time.Time, service, avoid string) cuminstair.Pick {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	return d.Router.Pick(now, service, avoid)
}

// release releases a slot at an upstream and reports the result of the attempt to health and the retry budget.
func (d *Decisions) release(now time.Time, p cuminstair.Pick, r *cuminstair.Request, pool string, res cuminstair.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	res.Kind = r.Kind
	d.Router.Release(now, p, res)
	if d.Retries != nil && res.Outcome == cuminstair.OutcomeDone {
		d.Retries.Success(now, r.Team, pool)
	}
	if d.Health != nil {
		if !ownFault(res) {
			d.Health.Observe(now, p.Upstream.Host, res)
		}
		d.applyHealth()
	}
}

// ownFault reports whether an attempt failed because of the request itself. Such a result says nothing about the host.
func ownFault(res cuminstair.Result) bool {
	return res.Reason == cuminstair.ReasonLate || res.Reason == cuminstair.ReasonMalformed
}

// retry charges one retry to the retry budget and returns the backoff before it. ok is false if there is no budget, if
// it is used up, or if the backoff would pass the deadline. r.Attempt is the number of the attempt that failed.
func (d *Decisions) retry(now time.Time, r *cuminstair.Request, pool string) (backoff time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	if d.Retries == nil {
		return 0, false
	}
	return d.Retries.Retry(now, r, pool)
}

// monotonic returns now, or the time of the last decision if that is later: requests read the clock before they get the
// mutex, and decisions must not see time go backwards.
func (d *Decisions) monotonic(now time.Time) time.Time {
	if now.Before(d.last) {
		return d.last
	}
	d.last = now
	return now
}
