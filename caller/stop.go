package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleGrace is how long a planned stop keeps open the connections that carry no request, so that a request that was sent
// before the caller learned of the stop is still answered. It is 50 round trips to a client (section 1.2 of
// docs/design.md).
const IdleGrace = 100 * time.Millisecond

// conns tracks the listeners of a server and the states of its connections. The zero value is ready to use.
type conns struct {
	mu        sync.Mutex
	listeners []net.Listener
	open      map[net.Conn]http.ConnState
	empty     chan struct{} // closed when the last connection is closed; nil while nothing waits for it
}

// onceListener is a listener that may be closed twice, by conns and by http.Server.Shutdown.
type onceListener struct {
	net.Listener
	once sync.Once
	err  error
}

// Close implements net.Listener.
func (l *onceListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// addListener adds a listener and returns it wrapped, so that it may be closed twice.
func (c *conns) addListener(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	l = &onceListener{Listener: l}
	c.listeners = append(c.listeners, l)
	return l
}

// trackState is the ConnState hook of the server.
func (c *conns) trackState(conn net.Conn, state http.ConnState) {
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
	if len(c.open) == 0 && c.empty != nil {
		close(c.empty)
		c.empty = nil
	}
}

// closeListeners stops accepting connections.
func (c *conns) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		_ = l.Close()
	}
}

// closeUnused closes the connections that carry no request. These include new ones, which http.Server.Shutdown leaves
// open for 5 s.
func (c *conns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if state == http.StateNew || state == http.StateIdle {
			_ = conn.Close()
		}
	}
}

// allClosed returns a channel that is closed once no connection is open.
func (c *conns) allClosed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	if len(c.open) == 0 {
		close(ch)
	} else {
		c.empty = ch
	}
	return ch
}

// Shutdown closes the listeners and returns when the requests in flight have been answered, or with the error of ctx.
// Connections without a request are closed after IdleGrace; until then a request that arrives on such a connection is
// served.
func (s *Server) Shutdown(ctx context.Context) error {
	s.init()
	s.Drain()
	graceEnded := make(chan struct{})
	defer s.Path.Timer.After(IdleGrace, func(time.Time) { close(graceEnded) })()
	s.conns.closeListeners()
	select {
	case <-s.conns.allClosed():
	case <-graceEnded:
	case <-ctx.Done():
	}
	s.conns.closeUnused()
	if err := s.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	return nil
}
