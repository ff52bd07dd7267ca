package upstream

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
)

// pool holds the connections to one address. A request holds a place while it uses a connection; a connection is opened
// only by the holder of a place that finds none unused, so that there are never more connections than places.
type pool struct {
	sender *Sender
	host   string
	addr   string
	slots  int
	places chan struct{}

	mu       sync.Mutex
	idle     []*conn // the last used one at the end
	suspect  time.Time
	attempts map[*attempt]bool // those whose request is written and whose answer is not complete
	probing  bool
	probed   time.Time // when the last probe began
	armed    time.Time // when look is called; zero: not at all
	disarm   func() bool
	// quietTime is the quiet time of the host as of quietRead.
	quietTime time.Duration
	quietRead time.Time
}

func newPool(s *Sender, u *cuminstair.Upstream, limit int) *pool {
	return &pool{
		sender:   s,
		host:     u.Host,
		addr:     u.Addr,
		slots:    u.Slots,
		places:   make(chan struct{}, limit),
		attempts: map[*attempt]bool{},
	}
}

// take returns a connection, or nil and the reason. No byte of the request was sent then.
func (p *pool) take(ctx context.Context, idempotent bool) (*conn, cuminstair.Reason) {
	select {
	case p.places <- struct{}{}:
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

// open opens a connection for the holder of a place. If it fails, the place is freed. A request that ends meanwhile
// leaves the connection to the next one: the upstream may have accepted it already, and the place stays taken until
// that is known.
func (p *pool) open(ctx context.Context) (*conn, error) {
	type result struct {
		conn *conn
		err  error
	}
	opened := make(chan result)
	go func() {
		c, err := dial(context.WithoutCancel(ctx), p.sender.Timer, p.addr)
		if err != nil {
			<-p.places
		}
		select {
		case opened <- result{c, err}:
		case <-ctx.Done():
			if err == nil {
				p.give(c, p.sender.Timer.Now(), true)
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
			p.part(c, minPing)
			continue
		}
		if !ping {
			return c
		}
		if _, err := p.ping(ctx, c, p.pingLimit()); err == nil {
			return c
		}
		// The connections below it are unused for even longer.
		c.close()
		p.sweep(c.used.Add(1))
	}
}

// pop takes the connection that was used last and tells whether it needs a check on the connection itself.
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
	suspect := !c.used.After(p.suspect)
	old := !idempotent && now.Sub(c.used) > FreshLimit
	return c, suspect || old
}

// give ends the use of a connection and keeps it if it can be used again.
func (p *pool) give(c *conn, now time.Time, keep bool) {
	if !keep {
		go p.linger(c)
		return
	}
	c.used = now
	c.sent = 0
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	<-p.places
}

// linger frees a place once its connection is closed at both ends.
func (p *pool) linger(c *conn) {
	p.part(c, lingerLimit)
	<-p.places
}

// part closes a connection and waits until the upstream has closed it, too, but not longer than limit. A new connection
// that reaches the upstream before it knows that the old one is closed could be one more than it accepts.
func (p *pool) part(c *conn, limit time.Duration) {
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
		if c.used.Before(before) {
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

// pingLimit bounds a check on an unused connection.
func (p *pool) pingLimit() time.Duration { return max(p.sender.quiet(p.host), minPing) }
