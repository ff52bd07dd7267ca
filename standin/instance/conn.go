package instance

import (
	"net"
	"sync/atomic"
)

// listener closes connections above the limit at once.
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

// conn applies Cut and Silence to one connection.
type conn struct {
	net.Conn
	server  *Server
	in, out atomic.Int64 // bytes that passed since SetFaults
	silent  atomic.Bool
}

func (c *conn) cut() *Cut {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.faults.Cut
}

// Read drops what arrives on a silent connection, so that the other end sees its bytes acknowledged.
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
			return c.pass(cut, &c.in, p[:n], func(b []byte) (int, error) { return len(b), nil })
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
		return c.pass(cut, &c.out, p, c.Conn.Write)
	}
	c.out.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// pass hands on what the cut lets through and breaks the connection if p has more.
func (c *conn) pass(cut *Cut, count *atomic.Int64, p []byte, use func([]byte) (int, error)) (int, error) {
	room := max(cut.After-count.Load(), 0)
	if int64(len(p)) <= room {
		count.Add(int64(len(p)))
		return use(p)
	}
	count.Add(room)
	n, _ := use(p[:room])
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
