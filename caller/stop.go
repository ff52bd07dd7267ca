package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleGrace is how long a planned stop leaves connections open that carry no request: a request that was sent before the
// caller could know of the stop still gets its answer. It is 50 round trips to a client (section 1.2 of docs/design.md).
const IdleGrace = 100 * time.Millisecond

// conns keeps the listeners and connections of a server with their states. The zero value is ready to use.
type conns struct {
	mu        sync.Mutex
	listeners []net.Listener
	open      map[net.Conn]http.ConnState
	changed   chan struct{} // gets a value when the last connection is gone; nil while nobody waits
}

// closing is a listener that may be closed twice: by conns and by http.Server.Shutdown.
type closing struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *closing) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// listen adds a listener and returns it in the form that is served.
func (c *conns) listen(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	l = &closing{Listener: l}
	c.listeners = append(c.listeners, l)
	return l
}

// note is the ConnState hook of the server.
func (c *conns) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[net.Conn]http.ConnState{}
	}
	if state != http.StateClosed && state != http.StateHijacked {
		c.open[conn] = state
		return
	}
	delete(c.open, conn)
	if len(c.open) == 0 && c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// closeListeners ends the acceptance of connections.
func (c *conns) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		_ = l.Close()
	}
}

// closeUnused closes the connections that carry no request, new ones included, which http.Server.Shutdown leaves open
// for 5 s.
func (c *conns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state == http.StateNew || state == http.StateIdle {
			_ = conn.Close()
		}
	}
}

// gone returns a channel that is closed when no connection is open.
func (c *conns) gone() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	if len(c.open) == 0 {
		close(ch)
	} else {
		c.changed = ch
	}
	return ch
}

// Shutdown closes the listeners and returns when the requests in flight have their answers, or with the error of ctx.
// Connections without a request are closed after IdleGrace; until then a request that arrives on one is served.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	s.Drain()
	passed := make(chan struct{})
	defer s.Path.Timer.After(IdleGrace, func(time.Time) { close(passed) })()
	s.conns.closeListeners()
	select {
	case <-s.conns.gone():
	case <-passed:
	case <-ctx.Done():
	}
	s.conns.closeUnused()
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	return nil
}
