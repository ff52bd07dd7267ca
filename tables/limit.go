package tables

import (
	"math/rand/v2"
	"time"
)

// bucket is a token bucket. It is not safe for concurrent use.
type bucket struct {
	rate   float64 // tokens a second, above zero
	burst  float64 // tokens at most
	tokens float64
	at     time.Time // when tokens was right; zero before the first use
}

// take takes one token, which may be one of the future, and returns the time to wait until it is there.
func (b *bucket) take(now time.Time) time.Duration {
	if b.at.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// backoff returns a random time up to base doubled for each attempt, at most limit (full jitter).
func backoff(rng *rand.Rand, base, limit time.Duration, attempt int) time.Duration {
	const maxShift = 20 // more would overflow and is far above any limit
	most := min(limit, base<<min(attempt, maxShift))
	return time.Duration(rng.Int64N(int64(most) + 1))
}

// circuit fails fast while the platform is down. It is not safe for concurrent use.
type circuit struct {
	failures int       // in a row
	opened   int       // times that it opened in a row
	until    time.Time // no request before
	probing  bool      // one request is finding out whether the platform is back
}

// allow decides whether a request may be sent. After the circuit was open, one request at a time may.
func (c *circuit) allow(now time.Time) bool {
	if c.failures < circuitFailures {
		return true
	}
	if now.Before(c.until) || c.probing {
		return false
	}
	c.probing = true
	return true
}

func (c *circuit) succeeded() { *c = circuit{} }

// failed counts a failure. pause returns how long the circuit stays open the nth time in a row.
func (c *circuit) failed(now time.Time, pause func(n int) time.Duration) {
	c.probing = false
	c.failures++
	if c.failures >= circuitFailures && !now.Before(c.until) {
		c.until = now.Add(pause(c.opened))
		c.opened++
	}
}

// gaveUp ends a request whose caller left before there was an answer; it says nothing about the platform.
func (c *circuit) gaveUp() { c.probing = false }
