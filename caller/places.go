package caller

import (
	"time"

	"cuminstair.org/cuminstair"
)

// charge takes one request from the quota of a team.
func (d *Decisions) charge(team string) (after time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Quotas == nil {
		return 0, true
	}
	return d.Quotas.Take(d.Timer.Now(), team)
}

// offer asks admission about a request. If the verdict is Wait, the channel returns the final one, unless cancel
// removes the request first.
func (d *Decisions) offer(r *cuminstair.Request) (cuminstair.Verdict, <-chan cuminstair.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.admissions[r.Service]
	if a == nil {
		return cuminstair.Verdict{Reason: cuminstair.ReasonNoService}, nil
	}
	v := a.Offer(d.Timer.Now(), r)
	if !v.Wait {
		return v, nil
	}
	ch := make(chan cuminstair.Verdict, 1)
	d.waiters[r] = ch
	return v, ch
}

// cancel removes a queued request. If it was allowed to run in the meantime, its place is given back.
func (d *Decisions) cancel(r *cuminstair.Request, ch <-chan cuminstair.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.admissions[r.Service].Cancel(d.Timer.Now(), r) {
		delete(d.waiters, r)
		return
	}
	select {
	case v := <-ch:
		if v.Run {
			d.end(r, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun})
		}
	default:
		delete(d.waiters, r)
	}
}

// finish gives the place of an admitted request back.
func (d *Decisions) finish(r *cuminstair.Request, res cuminstair.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.end(r, res)
}

func (d *Decisions) end(r *cuminstair.Request, res cuminstair.Result) {
	a := d.admissions[r.Service]
	if a == nil {
		return
	}
	for _, next := range a.Finish(d.Timer.Now(), r, res) {
		d.wake(next, cuminstair.Verdict{Run: true})
	}
}

// pick reserves a place at an upstream.
func (d *Decisions) pick(service, avoid string) cuminstair.Pick {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Pick(d.Timer.Now(), service, avoid)
}

// release gives a place at an upstream back and tells health and the retry budget what became of the attempt.
func (d *Decisions) release(p cuminstair.Pick, r *cuminstair.Request, pool string, res cuminstair.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Timer.Now()
	d.Router.Release(now, p, res)
	if d.Retries != nil && res.Outcome == cuminstair.OutcomeDone {
		d.Retries.Success(now, r.Team, pool)
	}
	if d.Health != nil {
		d.Health.Observe(now, p.Upstream.Host, res)
		d.applyHealth()
	}
}

// retry spends one retry.
func (d *Decisions) retry(r *cuminstair.Request, pool string) (backoff time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Retries == nil {
		return 0, false
	}
	return d.Retries.Retry(d.Timer.Now(), r, pool)
}
