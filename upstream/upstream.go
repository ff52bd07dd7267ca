// Package upstream sends requests to upstreams over HTTP/1.1, one attempt per call. It writes each request to a
// connection of its own pool and reads the answer from it, without http.Transport, which sends a request again when a
// reused connection breaks and the method or an idempotency key looks repeatable.
package upstream

import (
	"context"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Sender = (*Sender)(nil)

// MaxBody is the longest answer that is buffered whole, in bytes (section 5.1 of docs/design.md).
const MaxBody = 1 << 20

// reserved is the number of connections of an upstream that requests don't use: one for a probe because of quiet
// connections and one for an active check.
const reserved = 2

// Times of connections.
const (
	// DefaultQuiet is used when Sender.Quiet is nil or returns 0: ten times the service time of a small request.
	DefaultQuiet = 500 * time.Millisecond
	// DialTimeout bounds the opening of a connection. One-way latency is 0.5 ms, so that a second means a loss of the
	// first packets and a repeat.
	DialTimeout = time.Second
	// IdleLimit is how long a connection may stay unused before it is closed.
	IdleLimit = time.Minute
	// FreshLimit is how long a connection may be unused before a request that is not idempotent may use it without a
	// GET /health on the same connection.
	FreshLimit = time.Second
)

// Sender implements cuminstair.Sender. Exported fields are set before the first Send. It is safe for concurrent use.
type Sender struct {
	Timer cuminstair.Timer
	// Quiet returns for how long a request at the host may be quiet before its connection is probed.
	Quiet func(host string) time.Duration
	// Share is the part of Upstream.Conns that this daemon may use, above 0 and at most 1; 0 means 1. Daemons that share
	// an upstream divide its connections with it. Two connections of the share are kept for checks.
	Share float64
	// Probed is called, if set, after each probe because of quiet connections. left is the number of connections that
	// were found silent and left their pool.
	Probed func(host string, answered bool, left int)

	mu    sync.Mutex
	pools map[string]*pool
}

// Send implements cuminstair.Sender.
func (s *Sender) Send(ctx context.Context, u *cuminstair.Upstream, m *cuminstair.Message) (*cuminstair.Message, cuminstair.Result) {
	p := s.pool(u)
	c, reason := p.take(ctx, m.Idempotent)
	if c == nil {
		return nil, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: reason}
	}
	a := &attempt{pool: p, conn: c, message: m}
	return a.run(ctx)
}

// Check asks an upstream for its health on a new connection. It returns whether the upstream answered that it may take
// work, and whether it is leaving.
func (s *Sender) Check(ctx context.Context, u *cuminstair.Upstream) (ok, leaving bool) {
	h, err := s.pool(u).check(ctx)
	if err != nil {
		return false, false
	}
	return true, h.leaving
}

// Run closes connections that are unused for long, and all unused ones when ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	stop := s.Timer.Every(IdleLimit/2, func(now time.Time) { s.sweep(now.Add(-IdleLimit)) })
	<-ctx.Done()
	stop()
	s.sweep(s.Timer.Now().Add(time.Hour))
	return nil
}

// Waiting returns how many requests to an address are written and wait for their answers.
func (s *Sender) Waiting(addr string) int {
	s.mu.Lock()
	p := s.pools[addr]
	s.mu.Unlock()
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.attempts)
}

func (s *Sender) pool(u *cuminstair.Upstream) *pool {
	limit := s.limit(u)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[u.Addr]; p != nil && cap(p.places) == limit && p.slots == u.Slots {
		return p
	}
	if s.pools == nil {
		s.pools = map[string]*pool{}
	}
	if old := s.pools[u.Addr]; old != nil {
		go old.sweep(s.Timer.Now().Add(time.Hour))
	}
	p := newPool(s, u, limit)
	s.pools[u.Addr] = p
	return p
}

// limit returns how many connections requests may use.
func (s *Sender) limit(u *cuminstair.Upstream) int {
	share := s.Share
	if share <= 0 || share > 1 {
		share = 1
	}
	return max(int(float64(u.Conns)*share)-reserved, 1)
}

func (s *Sender) quiet(host string) time.Duration {
	if s.Quiet != nil {
		if d := s.Quiet(host); d > 0 {
			return d
		}
	}
	return DefaultQuiet
}

// sweep closes the connections that were last used before the given time.
func (s *Sender) sweep(before time.Time) {
	s.mu.Lock()
	pools := make([]*pool, 0, len(s.pools))
	for _, p := range s.pools {
		pools = append(pools, p)
	}
	s.mu.Unlock()
	for _, p := range pools {
		p.sweep(before)
	}
}
