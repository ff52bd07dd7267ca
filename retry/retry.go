// Package retry decides whether a request is sent again, and when. A Budget is not safe for concurrent use.
package retry

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.RetryBudget = (*Budget)(nil)

// Defaults and limits of retries.
const (
	// Share is the number of retries for each recent success of a team at a pool.
	Share = 0.1
	// Window is what counts as recent. It is counted in two halves.
	Window = 30 * time.Second
	// Pace is the number of retries at a pool, over all teams, for each request that ends there for the first time. It
	// bounds what the teams spend at one moment. It is below Share, so that the retries of a second stay below 10% of
	// its first attempts although they follow a little later.
	Pace = 0.08
	// MaxPace is how many retries the pace gathers at most.
	MaxPace = 2
	// MaxAttempts is how often one request is sent at most, the first time included.
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

	teams map[key]*count
	pools map[string]*pace
	swept time.Time
}

// pace is what a pool may take in retries now.
type pace struct {
	credit float64 // between 0 and MaxPace
	at     time.Time
}

type key struct{ team, pool string }

// count is what a team did at a pool in the current and the previous half window.
type count struct {
	half      int64 // number of the current half window
	successes [2]int
	retries   [2]int
}

const halfWindow = Window / 2

// Success implements cuminstair.RetryBudget.
func (b *Budget) Success(now time.Time, team, pool string) {
	b.sweep(now)
	b.at(now, key{team, pool}).successes[0]++
	b.ended(now, pool)
}

// ended credits the pace of a pool with one first attempt.
func (b *Budget) ended(now time.Time, pool string) *pace {
	p := b.pools[pool]
	if p == nil {
		if b.pools == nil {
			b.pools = map[string]*pace{}
		}
		p = &pace{}
		b.pools[pool] = p
	}
	p.at = now
	p.credit = min(p.credit+Pace, MaxPace)
	return p
}

// Retry implements cuminstair.RetryBudget. It charges the budget only if it returns true.
func (b *Budget) Retry(now time.Time, r *cuminstair.Request, pool string) (time.Duration, bool) {
	b.sweep(now)
	p := b.pools[pool]
	if r.Attempt == 0 {
		p = b.ended(now, pool)
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
	c.turn(now)
	if float64(c.retries[0]+c.retries[1]+1) > Share*float64(c.successes[0]+c.successes[1]) {
		return 0, false
	}
	c.retries[0]++
	p.credit--
	return backoff, true
}

// backoff draws a pause with full jitter.
func (b *Budget) backoff(attempt int) time.Duration {
	longest := MaxBackoff
	if attempt < 10 {
		longest = min(BaseBackoff<<max(attempt, 0), MaxBackoff)
	}
	return time.Duration(b.Rand.Int64N(int64(longest)) + 1)
}

// Size returns the number of entries kept.
func (b *Budget) Size() int { return len(b.teams) + len(b.pools) }

func (b *Budget) at(now time.Time, k key) *count {
	c := b.teams[k]
	if c == nil {
		if b.teams == nil {
			b.teams = map[key]*count{}
		}
		c = &count{half: halfOf(now)}
		b.teams[k] = c
	}
	c.turn(now)
	return c
}

// sweep forgets the entries that were idle for a whole window, once in each half window.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.swept) < halfWindow {
		return
	}
	b.swept = now
	oldest := halfOf(now) - 1
	for k, c := range b.teams {
		if c.half < oldest {
			delete(b.teams, k)
		}
	}
	for pool, p := range b.pools {
		if now.Sub(p.at) > Window {
			delete(b.pools, pool)
		}
	}
}

func halfOf(now time.Time) int64 { return now.UnixNano() / int64(halfWindow) }

// turn moves the counts on when a new half window has started.
func (c *count) turn(now time.Time) {
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
