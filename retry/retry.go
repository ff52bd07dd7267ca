// Package retry decides whether and when a failed request is sent again. A Budget is not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.RetryBudget = (*Budget)(nil)

// Defaults and limits of retries.
const (
	// TeamRatio is the number of retries that a team may use at a pool for each of its recent successes there.
	TeamRatio = 0.1
	// Window is the longest time for which a result counts as recent. Results are dropped by half windows, so that each
	// counts for 15 to 30 s.
	Window = 30 * time.Second
	// PoolRatio is the number of retries at a pool, over all teams, for each success and each failed first attempt there.
	// It bounds a burst of retries by many teams at once. It is below TeamRatio, so that the retries in each second stay
	// below 10% of the first attempts in that second, although a retry is sent later than its first attempt.
	PoolRatio = 0.08
	// MaxPoolCredit bounds the unused retries that a pool saves up.
	MaxPoolCredit = 2
	// MaxAttempts is how often one request is sent at most, including the first time.
	MaxAttempts = 3
	// BaseBackoff is the longest pause before the first retry; it doubles with each attempt up to MaxBackoff.
	BaseBackoff = 25 * time.Millisecond
	// MaxBackoff is the longest pause before a retry.
	MaxBackoff = time.Second
)

// Budget implements cuminstair.RetryBudget.
type Budget struct {
	// Rand draws the jitter. It is required.
	Rand *rand.Rand

	teams     map[key]*teamCounts
	pools     map[string]*poolCredit
	lastSweep time.Time
}

// poolCredit is the number of retries that are allowed at a pool now.
type poolCredit struct {
	credit  float64 // between 0 and MaxPoolCredit
	updated time.Time
}

type key struct{ team, pool string }

// teamCounts counts the results of a team at a pool in the current and the previous half window.
type teamCounts struct {
	half      int64 // index of the current half window
	successes [2]int
	retries   [2]int
}

const halfWindow = Window / 2

// Success implements cuminstair.RetryBudget.
func (b *Budget) Success(now time.Time, team, pool string) {
	b.sweep(now)
	b.counts(now, key{team, pool}).successes[0]++
	b.creditPool(now, pool)
}

// creditPool adds the credit for one success or one failed first attempt at a pool.
func (b *Budget) creditPool(now time.Time, pool string) *poolCredit {
	p := b.pools[pool]
	if p == nil {
		if b.pools == nil {
			b.pools = map[string]*poolCredit{}
		}
		p = &poolCredit{}
		b.pools[pool] = p
	}
	p.updated = now
	p.credit = min(p.credit+PoolRatio, MaxPoolCredit)
	return p
}

// Retry implements cuminstair.RetryBudget. It charges the budget only if it returns true.
func (b *Budget) Retry(now time.Time, r *cuminstair.Request, pool string) (time.Duration, bool) {
	b.sweep(now)
	p := b.pools[pool]
	if r.Attempt == 0 {
		p = b.creditPool(now, pool)
	}
	if r.Attempt+1 >= MaxAttempts || p == nil || p.credit < 1 {
		return 0, false
	}
	backoff := b.backoff(r.Attempt)
	if !now.Add(backoff).Before(r.Deadline) {
		return 0, false
	}
	c := b.teams[key{r.Team, pool}]
	if c == nil {
		return 0, false
	}
	c.rotate(now)
	if float64(c.retries[0]+c.retries[1]+1) > TeamRatio*float64(c.successes[0]+c.successes[1]) {
		return 0, false
	}
	c.retries[0]++
	p.credit--
	return backoff, true
}

// backoff draws a pause with full jitter.
func (b *Budget) backoff(attempt int) time.Duration {
	longest := MaxBackoff
	if attempt < 10 { // a large shift would overflow
		longest = min(BaseBackoff<<max(attempt, 0), MaxBackoff)
	}
	return time.Duration(b.Rand.Int64N(int64(longest)) + 1)
}

// Size returns the number of entries kept.
func (b *Budget) Size() int { return len(b.teams) + len(b.pools) }

func (b *Budget) counts(now time.Time, k key) *teamCounts {
	c := b.teams[k]
	if c == nil {
		if b.teams == nil {
			b.teams = map[key]*teamCounts{}
		}
		c = &teamCounts{half: halfOf(now)}
		b.teams[k] = c
	}
	c.rotate(now)
	return c
}

// sweep deletes the entries of teams that were not used in the current or the previous half window, and those of pools
// that were idle for Window. It runs at most once per half window.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < halfWindow {
		return
	}
	b.lastSweep = now
	oldest := halfOf(now) - 1
	for k, c := range b.teams {
		if c.half < oldest {
			delete(b.teams, k)
		}
	}
	for pool, p := range b.pools {
		if now.Sub(p.updated) > Window {
			delete(b.pools, pool)
		}
	}
}

func halfOf(now time.Time) int64 { return now.UnixNano() / int64(halfWindow) }

// rotate shifts the counts if a new half window has started.
func (c *teamCounts) rotate(now time.Time) {
	half := halfOf(now)
	switch half - c.half {
	case 0:
		return
	case 1:
		c.successes = [2]int{0, c.successes[0]}
		c.retries = [2]int{0, c.retries[0]}
	default:
		c.successes, c.retries = [2]int{}, [2]int{}
	}
	c.half = half
}
