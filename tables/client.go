// Package tables is the client of the platform's API that docs/platform.md describes. It batches reads, keeps within
// a budget of reads and writes, backs off with jitter and fails fast while the platform is down.
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
	// DefaultReads and DefaultWrites are requests a second. All users share about 2,000 reads and several hundred writes
	// a second (design page, section 1.5); nine entry daemons at these rates take at most a tenth.
	DefaultReads  = 20
	DefaultWrites = 5
	// DefaultBurst is the number of requests above the rate at one moment.
	DefaultBurst = 20
	// DefaultTimeout is the time for one attempt.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is the number of attempts of a request that may be repeated.
	DefaultAttempts = 3
)

const (
	backoffBase  = 50 * time.Millisecond
	backoffLimit = 2 * time.Second
	// circuitFailures is the number of failures in a row that open the circuit.
	circuitFailures = 5
	// The circuit stays open for at most circuitLimit, so that an outage that ends is noticed soon.
	circuitBase  = 200 * time.Millisecond
	circuitLimit = 5 * time.Second
)

// Client is safe for concurrent use. The fields must be set before the first call; Base, Timer and Rand are needed.
type Client struct {
	Base     string // such as "http://10.0.0.1:7000"
	Timer    cuminstair.Timer
	Rand     *rand.Rand // used under the client's lock
	HTTP     *http.Client
	Reads    float64 // reads a second; 0: DefaultReads
	Writes   float64 // writes a second; 0: DefaultWrites
	Burst    int     // 0: DefaultBurst
	Timeout  time.Duration
	Attempts int

	mu      sync.Mutex
	ready   bool
	reads   bucket
	writes  bucket
	circuit circuit
	scans   map[scanKey]*scanQueue
	hosts   hostCache
}

// setup fills in the defaults. The lock must be held.
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

// wait returns false if ctx ends before d has passed.
func (c *Client) wait(ctx context.Context, d time.Duration) bool {
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

// enter asks the circuit and takes a token. An error means that nothing may be sent.
func (c *Client) enter(ctx context.Context, write bool) error {
	c.mu.Lock()
	c.setup()
	now := c.Timer.Now()
	if !c.circuit.allow(now) {
		c.mu.Unlock()
		return fmt.Errorf("%w: %w", errOpen, cuminstair.ErrUnavailable)
	}
	b := &c.reads
	if write {
		b = &c.writes
	}
	pause := b.take(now)
	c.mu.Unlock()
	if c.wait(ctx, pause) {
		return nil
	}
	c.leave(outcomeGaveUp)
	return fmt.Errorf("wait for the request budget: %w", cuminstair.ErrUnavailable)
}

// outcome is what one attempt says about the platform.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeFailed
	outcomeGaveUp
)

// leave tells the circuit how an attempt ended.
func (c *Client) leave(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o {
	case outcomeAnswered:
		c.circuit.succeeded()
	case outcomeFailed:
		c.circuit.failed(c.Timer.Now(), func(n int) time.Duration {
			half := backoff(c.Rand, circuitBase, circuitLimit, n) / 2
			return min(circuitLimit, circuitBase<<min(n, 10))/2 + half
		})
	case outcomeGaveUp:
		c.circuit.gaveUp()
	}
}

// pause returns the backoff before an attempt.
func (c *Client) pause(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backoff(c.Rand, backoffBase, backoffLimit, attempt)
}
