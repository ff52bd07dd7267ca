package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy injects into its connections, if any.
type mode uint8

const (
	passing mode = iota
	silent       // data is discarded, connections stay open and new ones are accepted
	reset        // connections are reset
	slow         // each chunk of data is delayed by slowDelay
)

const slowDelay = 120 * time.Millisecond

// proxy forwards the connections of a daemon to the store and injects network faults.
type proxy struct {
	addr   string
	target string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
	l     net.Listener
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, conns: map[net.Conn]bool{}, l: l}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.l.Close()
	p.setMode(reset)
}

// setMode changes the mode. Connections that have discarded data stay silent in later modes until reset aborts them, as
// when a middlebox has lost their state.
func (p *proxy) setMode(m mode) {
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

func (p *proxy) currentMode() mode {
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
		if p.currentMode() == reset {
			abort(c)
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			abort(c)
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[out] = true, true
		p.mu.Unlock()
		go p.pipe(c, out)
		go p.pipe(out, c)
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
	discarding := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		switch p.currentMode() {
		case silent:
			discarding = true
		case slow:
			time.Sleep(slowDelay)
		default:
		}
		if discarding {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
