// Package upstream sends requests to upstreams over HTTP/1.1, one attempt per call. It uses its own connection pool
// instead of http.Transport, which sends a request again if a reused connection breaks and the method or an idempotency
// key suggests that the request can be repeated.
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

// reservedConns is the number of connections to an upstream that are not used for requests: one is kept for a probe
// because of quiet connections and one for a call of Check.
const reservedConns = 2

// Time limits of connections.
const (
	// DefaultQuiet is used when Sender.Quiet is nil or returns 0: ten times the service time of a small request.
	DefaultQuiet = 500 * time.Millisecond
	// DialTimeout bounds the opening of a connection. One-way latency is 0.5 ms, so that opening takes a second only if
	// the first packets are lost and sent again.
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
	// Quiet returns the quiet time of a host: how long a connection may receive nothing while a request waits for its
	// answer, before the upstream is probed. If Quiet is nil or returns 0, the quiet time is DefaultQuiet.
	Quiet func(host string) time.Duration
	// Share is the part of Upstream.Conns that this daemon may use, above 0 and at most 1; 0 means 1. Daemons that share
	// an upstream divide its connections by their shares. Two connections of the share are kept for checks.
	Share float64
	// Probed is called, if set, after each probe because of quiet connections. lost is the number of connections that
	// were found silent and are not used again.
	Probed func(host string, answered bool, lost int)

	mu    sync.Mutex
	pools map[string]*pool
}

// Send implements cuminstair.Sender.
func (s *Sender) Send(ctx context.Context, u *cuminstair.Upstream, m *cuminstair.Message) (*cuminstair.Message, cuminstair.Result) {
	p := s.pool(u)
	c, reason := p.acquire(ctx, m.Idempotent)
	if c == nil {
		return nil, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: reason}
	}
	a := &attempt{pool: p, conn: c, message: m}
	return a.run(ctx)
}

// Check sends GET /health to an upstream on a new connection. ok is true if the upstream gave a valid answer with
// status 200, and leaving is true if the answer says that the upstream is going out of service.
func (s *Sender) Check(ctx context.Context, u *cuminstair.Upstream) (ok, leaving bool) {
	h, err := s.pool(u).check(ctx)
	if err != nil {
		return false, false
	}
	return true, h.leaving
}

// Run closes connections that were unused for IdleLimit, and all unused ones when ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	stop := s.Timer.Every(IdleLimit/2, func(now time.Time) { s.sweep(now.Add(-IdleLimit)) })
	<-ctx.Done()
	stop()
	s.sweep(s.Timer.Now().Add(time.Hour))
	return nil
}

// Waiting returns how many requests to an address have been written and wait for their answers.
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
	if p := s.pools[u.Addr]; p != nil && cap(p.permits) == limit && p.slots == u.Slots {
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

// limit returns how many connections of an upstream requests may use.
func (s *Sender) limit(u *cuminstair.Upstream) int {
	share := s.Share
	if share <= 0 || share > 1 {
		share = 1
	}
	return max(int(float64(u.Conns)*share)-reservedConns, 1)
}

func (s *Sender) quiet(host string) time.Duration {
	if s.Quiet != nil {
		if d := s.Quiet(host); d > 0 {
			return d
		}
	}
	return DefaultQuiet
}

// sweep closes the unused connections that were last used before the given time.
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
