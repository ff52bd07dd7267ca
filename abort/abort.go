// Package abort has connections that drop what TCP has not delivered yet when a call on them is given up. Without that, the
// kernel goes on to send the request for minutes after a cut, and the receiver acts on a call that nobody waits for.
package abort

import (
	"net"
	"sync/atomic"
)

// Conn is a client's connection for requests that are answered one after the other. A Close while a request has no answer
// resets the connection; otherwise it is an ordinary Close. What the peer has received already is not taken back.
type Conn struct {
	net.Conn
	waiting atomic.Bool // a request has been written, and nothing has been read since
}

// New wraps a connection that has not been used.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.waiting.Store(false)
	}
	return n, err //nolint:wrapcheck // io.EOF must stay comparable
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.waiting.Store(true)
	return c.Conn.Write(b) //nolint:wrapcheck // the error names the connection
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.waiting.Load() {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	return c.Conn.Close() //nolint:wrapcheck // the error names the connection
}
