package tables

import (
	"math/rand/v2"
	"time"
)

// bucket is a token bucket. It is not safe for concurrent use.
type bucket struct {
	rate   float64   // tokens per second, above zero
	burst  float64   // maximum number of tokens
	tokens float64   // negative while requests wait for tokens
	at     time.Time // when tokens was last updated; zero before the first use
}

// take takes a token and returns how long to wait until it is available.
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

// backoff returns a random time between 0 and base<<attempt, or limit if that is shorter (full jitter). attempt counts
// from 0.
func backoff(rng *rand.Rand, base, limit time.Duration, attempt int) time.Duration {
	const maxShift = 20 // keeps the shift from overflowing; base<<20 is far above limit for every base in use
	bound := min(limit, base<<min(attempt, maxShift))
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// breaker is a circuit breaker: it fails fast while the platform is down. It is not safe for concurrent use.
type breaker struct {
	failures int       // in a row
	opened   int       // how often the breaker opened since the last success
	until    time.Time // no request is sent before this time
	probing  bool      // a request that tests whether the platform is available again is in flight
}

// allow reports whether a request may be sent. After the breaker has opened and its open time has passed, it allows one
// request at a time until a request succeeds.
func (b *breaker) allow(now time.Time) bool {
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.until) || b.probing {
		return false
	}
	b.probing = true
	return true
}

func (b *breaker) succeeded() { *b = breaker{} }

// failed counts a failure. pause returns how long the breaker stays open the nth time in a row, counted from 0.
func (b *breaker) failed(now time.Time, pause func(n int) time.Duration) {
	b.probing = false
	b.failures++
	if b.failures >= breakerFailures && !now.Before(b.until) {
		b.until = now.Add(pause(b.opened))
		b.opened++
	}
}

// cancelled ends a request that its caller cancelled before a response arrived. Such a request counts as neither success
// nor failure.
func (b *breaker) cancelled() { b.probing = false }
