package intake

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// receiveBuffer is the receive buffer of an accepted connection, in bytes; Linux reserves twice as much. An ordinary job
// fits, and a body of 256 KB takes 16 round trips. The memory of the kernel for 4,000 connections is at most 128 MB.
const receiveBuffer = 16 << 10

// memoryWait is how long a request waits for memory that evicted requests still hold. They release it as soon as their goroutines run.
const memoryWait = time.Second

// Gate applies the limits to the listeners of a daemon. It must be made with New.
type Gate struct {
	// Report, if not nil, is told of each connection that is closed and each request that is refused.
	Report func(r Reason, g Group, remote net.Addr)

	limits atomic.Pointer[Limits]
	mu     sync.Mutex
	table  *Table
	conns  map[*Conn]struct{}
}

// New returns a gate.
func New(l Limits, report func(r Reason, g Group, remote net.Addr)) *Gate {
	g := &Gate{Report: report, table: NewTable(l), conns: map[*Conn]struct{}{}}
	g.limits.Store(&l)
	return g
}

// SetLimits changes the limits, for open connections too.
func (g *Gate) SetLimits(l Limits) {
	g.limits.Store(&l)
	g.mu.Lock()
	g.table.SetLimits(l)
	open := make([]*Conn, 0, len(g.conns))
	for c := range g.conns {
		open = append(open, c)
	}
	g.mu.Unlock()
	for _, c := range open {
		c.rearm()
	}
}

// Listen listens on an address for connections of a group. The server of the listener must be set up with Guard.
func (g *Gate) Listen(ctx context.Context, group Group, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: boundReceiveBuffer}
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", group, err)
	}
	return &listener{Listener: l, gate: g, group: group}, nil
}

func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	}); cerr != nil {
		return fmt.Errorf("bound the receive buffer: %w", cerr)
	}
	if err != nil {
		return fmt.Errorf("bound the receive buffer: %w", err)
	}
	return nil
}

type listener struct {
	net.Listener
	gate  *Gate
	group Group
}

// Accept returns the next connection that has room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server looks for net.Error
		}
		if c := l.gate.open(raw, l.group); c != nil {
			return c, nil
		}
		l.gate.report(TooManyConns, l.group, raw.RemoteAddr())
		_ = raw.Close()
	}
}

// open adds a connection, or returns nil if there is no room.
func (g *Gate) open(raw net.Conn, group Group) *Conn {
	c := &Conn{Conn: raw, gate: g, since: time.Now()}
	c.client.conn = c
	g.mu.Lock()
	victim, ok := g.table.Open(&c.client, group)
	if ok {
		g.conns[c] = struct{}{}
	}
	g.mu.Unlock()
	if victim != nil {
		victim.conn.report(TooManyConns)
		victim.conn.abort()
	}
	if !ok {
		return nil
	}
	return c
}

func (g *Gate) report(r Reason, group Group, remote net.Addr) {
	if g.Report != nil {
		g.Report(r, group, remote)
	}
}

// close removes a connection.
func (g *Gate) close(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Close(&c.client)
	delete(g.conns, c)
}

// wait notes that a connection waits for a request. It reports false if the connection must be closed instead.
func (g *Gate) wait(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Wait(&c.client)
}

// begin notes that the head of a request has arrived, with the declared size of its body; -1 is not known.
func (g *Gate) begin(c *Conn, size int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Begin(&c.client, size)
}

// complete notes that a request has arrived whole. It reports false if the request has been evicted.
func (g *Gate) complete(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Complete(&c.client)
}

// hold makes a request hold that many bytes in all. If that needs memory of other requests, they are evicted, and it waits until
// they have released it. It reports false if the request has itself been evicted.
func (g *Gate) hold(c *Conn, bytes int64) bool {
	g.mu.Lock()
	reported := c.client.evicted || !c.client.open
	victims, ok, done := g.table.Hold(&c.client, bytes)
	g.mu.Unlock()
	for _, v := range victims {
		v.conn.report(NoMemory)
		v.conn.evict()
	}
	if !done {
		ok, reported = g.await(c)
	}
	if !ok && !reported {
		c.report(NoMemory)
	}
	return ok
}

// await waits for the memory that a request has asked for. reported is whether its refusal has been reported.
func (g *Gate) await(c *Conn) (ok, reported bool) {
	limit := time.NewTimer(memoryWait)
	defer limit.Stop()
	select {
	case ok = <-c.client.answer:
		return ok, true
	case <-limit.C:
	}
	g.mu.Lock()
	gaveUp := g.table.GiveUp(&c.client)
	g.mu.Unlock()
	if gaveUp {
		return false, false
	}
	return <-c.client.answer, true
}

// release frees the memory of a request down to that many bytes.
func (g *Gate) release(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(&c.client, bytes)
}

type connKey struct{}

// Guard sets a server up for a listener of the gate. The gate applies the time limits, so the server must have none.
func (g *Gate) Guard(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(raw net.Conn, state http.ConnState) {
		c, ok := raw.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			c.headDone()
		case http.StateIdle:
			c.wait()
		case http.StateNew, http.StateHijacked, http.StateClosed:
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			c.gate.begin(c, r.ContentLength)
			if r.ContentLength == 0 {
				c.gate.complete(c)
			} else {
				_ = c.SetReadDeadline(time.Now().Add(BodyWait)) // fails only on a closed connection
			}
		}
		next.ServeHTTP(w, r)
	})
}

// connOf returns the connection of a request, or nil if it did not come through a gate.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
