package upstream

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// pool holds the connections to one address. A request holds a permit while it uses a connection; a connection is opened
// only with a permit and if none is unused, so that there are never more connections than permits.
type pool struct {
	sender  *Sender
	host    string
	addr    string
	slots   int
	permits chan struct{}

	mu           sync.Mutex
	idle         []*conn           // unused connections, the last used one at the end
	suspectUntil time.Time         // connections last used up to this time are checked before reuse
	attempts     map[*attempt]bool // attempts that wait for the rest of their answer
	probeRunning bool
	lastProbe    time.Time // start of the last probe
	armed        time.Time // when checkDue is called; zero if no timer is set
	disarm       func() bool
	// quietTime is the quiet time of the host as of quietReadAt.
	quietTime   time.Duration
	quietReadAt time.Time
}

func newPool(s *Sender, u *cuminstair.Upstream, limit int) *pool {
	return &pool{
		sender:   s,
		host:     u.Host,
		addr:     u.Addr,
		slots:    u.Slots,
		permits:  make(chan struct{}, limit),
		attempts: map[*attempt]bool{},
	}
}

// acquire returns a connection, or nil and the reason, before any byte of the request is sent.
func (p *pool) acquire(ctx context.Context, idempotent bool) (*conn, cuminstair.Reason) {
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, cuminstair.ReasonLate
	}
	if c := p.reuse(ctx, idempotent); c != nil {
		return c, ""
	}
	c, err := p.open(ctx)
	switch {
	case err == nil:
		return c, ""
	case ctx.Err() != nil:
		return nil, cuminstair.ReasonLate
	default:
		return nil, cuminstair.ReasonNoUpstream
	}
}

// open opens a connection. The caller holds a permit, which is freed if the dial fails. If ctx ends first, the dial
// continues and its connection is kept for the next request: the upstream may have accepted it already, and the permit
// stays taken until that is known.
func (p *pool) open(ctx context.Context) (*conn, error) {
	type result struct {
		conn *conn
		err  error
	}
	opened := make(chan result)
	go func() {
		c, err := dial(context.WithoutCancel(ctx), p.sender.Timer, p.addr)
		if err != nil {
			<-p.permits
		}
		select {
		case opened <- result{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.release(c, p.sender.Timer.Now(), true)
			}
		}
	}()
	select {
	case r := <-opened:
		return r.conn, r.err
	case <-ctx.Done():
		return nil, fmt.Errorf("open connection: %w", ctx.Err())
	}
}

// reuse returns an unused connection that passed its check, or nil.
func (p *pool) reuse(ctx context.Context, idempotent bool) *conn {
	for {
		c, ping := p.pop(idempotent)
		if c == nil {
			return nil
		}
		if !c.alive() {
			p.closeAndWait(c, minPing)
			continue
		}
		if !ping {
			return c
		}
		if _, err := p.ping(ctx, c, p.pingLimit()); err == nil {
			return c
		}
		// The connections that precede c in p.idle have been unused for even longer.
		c.close()
		p.sweep(c.lastUsed.Add(1))
	}
}

// pop removes the most recently used idle connection. ping is true if the connection needs a GET /health before reuse.
func (p *pool) pop(idempotent bool) (c *conn, ping bool) {
	now := p.sender.Timer.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil, false
	}
	c = p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	suspect := !c.lastUsed.After(p.suspectUntil)
	old := !idempotent && now.Sub(c.lastUsed) > FreshLimit
	return c, suspect || old
}

// release ends the use of a connection. The connection stays in the pool if keep is true and is closed otherwise.
func (p *pool) release(c *conn, now time.Time, keep bool) {
	if !keep {
		go p.closeAndRelease(c)
		return
	}
	c.lastUsed = now
	c.sent = 0
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	<-p.permits
}

// closeAndRelease closes a connection and frees its permit once both ends are closed.
func (p *pool) closeAndRelease(c *conn) {
	p.closeAndWait(c, closeTimeout)
	<-p.permits
}

// closeAndWait closes a connection and waits until the upstream has closed it, too, for at most limit. A new connection
// that reaches the upstream before the close of the old one could exceed the number of connections that
// the upstream accepts.
func (p *pool) closeAndWait(c *conn, limit time.Duration) {
	defer c.close()
	_ = c.raw.SetDeadline(time.Time{})
	defer p.sender.Timer.After(limit, func(time.Time) { c.abort() })()
	if err := c.raw.CloseWrite(); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.raw)
}

// sweep closes unused connections that were last used before the given time.
func (p *pool) sweep(before time.Time) {
	p.mu.Lock()
	var old, kept []*conn
	for _, c := range p.idle {
		if c.lastUsed.Before(before) {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// pingLimit returns the timeout of a check on an unused connection.
func (p *pool) pingLimit() time.Duration { return max(p.sender.quiet(p.host), minPing) }
