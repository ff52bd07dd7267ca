// Package tables is the client of the platform's API that docs/platform.md describes. It batches reads, limits the
// rates of reads and writes, backs off with jitter and fails fast while the platform is down.
package tables

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Platform = (*Client)(nil)

// Defaults of the fields of a Client.
const (
	// DefaultReads and DefaultWrites are requests per second. All clients of the platform share about 2,000 reads and
	// several hundred writes per second (section 1.5 of docs/design.md); nine entry daemons at these rates use at most a
	// tenth of them.
	DefaultReads  = 20
	DefaultWrites = 5
	// DefaultBurst is the number of requests that may be sent at once above the rate.
	DefaultBurst = 20
	// DefaultTimeout is the timeout of one attempt.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts bounds the attempts of a request that may be retried.
	DefaultAttempts = 3
)

const (
	backoffBase  = 50 * time.Millisecond
	backoffLimit = 2 * time.Second
	// breakerFailures is the number of failures in a row that open the circuit breaker.
	breakerFailures = 5
	// The circuit breaker stays open for at most breakerLimit, so that the end of an outage is detected soon.
	breakerBase  = 200 * time.Millisecond
	breakerLimit = 5 * time.Second
)

// Client sends requests to the platform's API. It is safe for concurrent use. The fields must be set before the first
// call; Base, Timer and Rand are required.
type Client struct {
	Base     string // such as "http://10.0.0.1:7000"
	Timer    cuminstair.Timer
	Rand     *rand.Rand    // used under the client's lock
	HTTP     *http.Client  // nil: a client with default settings
	Reads    float64       // reads per second; 0: DefaultReads
	Writes   float64       // writes per second; 0: DefaultWrites
	Burst    int           // 0: DefaultBurst
	Timeout  time.Duration // of one attempt; 0: DefaultTimeout
	Attempts int           // 0: DefaultAttempts

	mu      sync.Mutex
	ready   bool
	reads   bucket
	writes  bucket
	breaker breaker
	scans   map[scanKey]*scanQueue
	hosts   hostCache
}

// setup sets the defaults on the first call. The lock must be held.
func (c *Client) setup() {
	if c.ready {
		return
	}
	c.ready = true
	burst := float64(orDefault(c.Burst, DefaultBurst))
	c.reads = bucket{rate: orDefault(c.Reads, DefaultReads), burst: burst}
	c.writes = bucket{rate: orDefault(c.Writes, DefaultWrites), burst: burst}
	c.Timeout = orDefault(c.Timeout, DefaultTimeout)
	c.Attempts = orDefault(c.Attempts, DefaultAttempts)
	if c.HTTP == nil {
		c.HTTP = &http.Client{}
	}
	c.scans = make(map[scanKey]*scanQueue)
}

func orDefault[T int | float64 | time.Duration](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// sleep waits for d. It returns false if ctx ends first.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	done := make(chan struct{})
	stop := c.Timer.After(d, func(time.Time) { close(done) })
	select {
	case <-done:
		return true
	case <-ctx.Done():
		stop()
		return false
	}
}

// acquire checks the circuit breaker and waits for a token of the rate limit. After an error, nothing may be sent.
func (c *Client) acquire(ctx context.Context, write bool) error {
	c.mu.Lock()
	c.setup()
	now := c.Timer.Now()
	if !c.breaker.allow(now) {
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", errBreakerOpen, cuminstair.ErrUnavailable)
	}
	b := &c.reads
	if write {
		b = &c.writes
	}
	delay := b.take(now)
	c.mu.Unlock()
	if c.sleep(ctx, delay) {
		return nil
	}
	c.record(outcomeCancelled)
	return fmt.Errorf("wait for the rate limit: %w", cuminstair.ErrUnavailable)
}

// outcome is the result of an attempt as the circuit breaker counts it.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeFailed
	outcomeCancelled
)

// record reports the outcome of an attempt to the circuit breaker.
func (c *Client) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o {
	case outcomeAnswered:
		c.breaker.succeeded()
	case outcomeFailed:
		c.breaker.failed(c.Timer.Now(), func(n int) time.Duration {
			half := backoff(c.Rand, breakerBase, breakerLimit, n) / 2
			return min(breakerLimit, breakerBase<<min(n, 10))/2 + half
		})
	case outcomeCancelled:
		c.breaker.cancelled()
	}
}

// retryDelay returns the backoff after an attempt, counted from 0.
func (c *Client) retryDelay(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backoff(c.Rand, backoffBase, backoffLimit, attempt)
}
