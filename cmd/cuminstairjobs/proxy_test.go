package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with its connections.
type mode uint8

const (
	passing mode = iota
	silent       // open connections carry nothing more, new ones are accepted and carry nothing
	reset        // connections are reset
	slow         // every piece is held up
)

// slowBy is how long a slow proxy holds a piece up.
const slowBy = 120 * time.Millisecond

// proxy stands between a daemon and the store.
type proxy struct {
	addr string
	to   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	l     net.Listener
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), to: to, conns: map[net.Conn]bool{}, l: l}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.set(reset)
}

// set changes the mode. Connections that went silent stay so, as when something between the ends has lost track of them.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		abort(c)
	}
}

func (p *proxy) get() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.get() == reset {
			abort(c)
			continue
		}
		up, err := net.Dial("tcp", p.to)
		if err != nil {
			abort(c)
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[up] = true, true
		p.mu.Unlock()
		go p.pipe(c, up)
		go p.pipe(up, c)
	}
}

func (p *proxy) pipe(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.conns, to)
		p.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch p.get() {
		case silent:
			lost = true
		case slow:
			time.Sleep(slowBy)
		default:
		}
		if lost {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
