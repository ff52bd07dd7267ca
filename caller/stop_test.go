package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/caller"
)

// pipes is a listener whose connections are pipes, which a synctest bubble can wait for.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

// gated is a connection whose bytes have arrived, but reach the server only while the gate holds a value.
type gated struct {
	net.Conn
	gate chan struct{}
}

func (g *gated) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	<-g.gate
	g.gate <- struct{}{}
	return n, err
}

// dial opens a connection and returns the client's end and the open gate of the server's end.
func (p *pipes) dial() (client net.Conn, gate chan struct{}) {
	client, server := net.Pipe()
	gate = make(chan struct{}, 1)
	gate <- struct{}{}
	p.accepted <- &gated{Conn: server, gate: gate}
	return client, gate
}

const wire = "POST /s/scale/work HTTP/1.1\r\nHost: e1\r\nTeam: t1\r\nKind: portion\r\nDeadline: 5s\r\nContent-Length: 4\r\n\r\nbody"

// ask sends a request and returns what will be its answer, or nil if the connection breaks.
func ask(c net.Conn, request string) <-chan *http.Response {
	answers := make(chan *http.Response, 1)
	go func() {
		_, _ = io.WriteString(c, request)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			resp = nil
		}
		answers <- resp
	}()
	return answers
}

// Guards against a planned stop that closes a connection on which a request is just arriving, that cuts off a request in
// flight after the grace time, or that waits for connections without a request for longer.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, done)
		l := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error)
		go func() { served <- r.server.Serve(l) }()
		idle, gate := l.dial()
		is.Equal((<-ask(idle, wire)).StatusCode, http.StatusOK)
		unused, _ := l.dial()
		synctest.Wait()

		<-gate
		answer := ask(idle, wire)
		synctest.Wait() // the request has arrived and the server doesn't know yet
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- r.server.Shutdown(ctx) }()
		synctest.Wait()
		gate <- struct{}{}
		<-r.sender.sending
		r.clock.Advance(caller.IdleGrace)
		synctest.Wait()
		_, err := unused.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		is.Equal(len(stopped), 0)
		r.clock.Advance(5 * time.Second)
		resp := <-answer
		is.True(resp != nil)
		is.Equal(resp.Header.Get("Outcome"), "unknown")
		is.True(resp.Close)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = idle.Close()
		is.NoErr(<-stopped)
		is.NoErr(<-served)
	})
}

// Guards against a request that waits for its body after its deadline, or whose connection is used again in the middle of
// the body.
func TestLateBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		l := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error)
		go func() { served <- r.server.Serve(l) }()
		c, _ := l.dial()
		answers := ask(c, wire[:len(wire)-2])
		synctest.Wait()
		r.clock.Advance(5*time.Second - 1)
		synctest.Wait()
		is.Equal(len(answers), 0)
		r.clock.Advance(1)
		resp := <-answers
		is.Equal(resp.Header.Get("Reason"), "late")
		is.Equal(resp.Header.Get("Outcome"), "notrun")
		is.True(resp.Close)
		_ = c.Close()
		is.NoErr(r.server.Shutdown(context.Background()))
		is.NoErr(<-served)
		r.idle(is)
	})
}
