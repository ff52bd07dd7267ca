package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// mutable is a listener whose open connections can be made silent for good, without a reset, while new ones work.
type mutable struct {
	net.Listener
	mu    sync.Mutex
	conns map[*mutedConn]bool
}

type mutedConn struct {
	net.Conn
	l      *mutable
	silent atomic.Bool
}

// Accept implements net.Listener.
func (l *mutable) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &mutedConn{Conn: c, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*mutedConn]bool{}
	}
	l.conns[x] = true
	return x, nil
}

// mute makes the open connections silent and returns their number.
func (l *mutable) mute() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// Read implements net.Conn. What comes in on a silent connection is lost.
func (c *mutedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. What goes out on a silent connection is lost.
func (c *mutedConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The other end of a silent connection sees nothing of it.
func (c *mutedConn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
