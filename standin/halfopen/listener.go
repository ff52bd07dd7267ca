// Package halfopen has a listener whose connections can be made half-open: what is sent on them is lost, and neither end
// sees a reset. New connections work.
package halfopen

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Listener wraps the listener of a stand-in.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []*conn
}

type conn struct {
	net.Conn
	lost atomic.Bool // what is sent in either direction is lost
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	c := &conn{Conn: accepted}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

// Break makes all connections that were accepted so far half-open, and returns their number.
func (l *Listener) Break() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.lost.Store(true)
	}
	return len(l.conns)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost.Load() {
			return n, err //nolint:wrapcheck // io.EOF must stay comparable
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b) //nolint:wrapcheck // a connection returns the errors of the connection below it
}
