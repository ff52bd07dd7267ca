package instance

import (
	"net"
	"sync/atomic"
)

// listener accepts connections and closes those beyond Server.Conns at once.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.server.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (s *Server) admit(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.Conns {
		s.shed++
		return nil
	}
	c := &conn{Conn: raw, server: s}
	s.conns[c] = true
	return c
}

// conn applies Faults.Cut and Server.Silence to one connection.
type conn struct {
	net.Conn
	server  *Server
	in, out atomic.Int64 // bytes read and written since SetFaults
	silent  atomic.Bool
}

func (c *conn) cut() *Cut {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.faults.Cut
}

// Read discards the bytes that arrive on a silent connection. It still reads them, so that TCP acknowledges them.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.silent.Load() {
			if c.server.Dropped != nil {
				c.server.Dropped <- struct{}{}
			}
			continue
		}
		if cut := c.cut(); cut != nil && !cut.Answer {
			return c.applyCut(cut, &c.in, p[:n], func(b []byte) (int, error) { return len(b), nil })
		}
		c.in.Add(int64(n))
		return n, nil
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	if cut := c.cut(); cut != nil && cut.Answer {
		return c.applyCut(cut, &c.out, p, c.Conn.Write)
	}
	c.out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// applyCut calls deliver with the part of p that is within the first cut.After bytes. If p is longer, it breaks the
// connection.
func (c *conn) applyCut(cut *Cut, count *atomic.Int64, p []byte, deliver func([]byte) (int, error)) (int, error) {
	allowed := max(cut.After-count.Load(), 0)
	if int64(len(p)) <= allowed {
		count.Add(int64(len(p)))
		return deliver(p)
	}
	count.Add(allowed)
	n, _ := deliver(p[:allowed])
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !cut.Clean {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
	if n > 0 && !cut.Answer {
		return n, nil
	}
	return n, net.ErrClosed
}

func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}
