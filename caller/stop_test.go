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

// pipeListener is a listener whose connections are in-memory pipes, which a synctest bubble can wait for.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

// gatedConn is a connection that holds back the bytes it has received until its gate holds a value.
type gatedConn struct {
	net.Conn
	gate chan struct{}
}

func (g *gatedConn) Read(p []byte) (int, error) {
	n, err := g.Conn.Read(p)
	<-g.gate
	g.gate <- struct{}{}
	return n, err
}

// dial opens a connection and returns the client's end and the gate of the server's end, which is open.
func (p *pipeListener) dial() (client net.Conn, gate chan struct{}) {
	client, server := net.Pipe()
	gate = make(chan struct{}, 1)
	gate <- struct{}{}
	p.accepted <- &gatedConn{Conn: server, gate: gate}
	return client, gate
}

const rawRequest = "POST /s/scale/work HTTP/1.1\r\nHost: e1\r\nTeam: t1\r\nKind: portion\r\nDeadline: 5s\r\nContent-Length: 4\r\n\r\nbody"

// sendRequest sends a request and returns a channel for its answer, which is nil if the connection breaks.
func sendRequest(c net.Conn, request string) <-chan *http.Response {
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

// Guards against a planned stop that closes a connection on which a request is just arriving, that cuts off a request
// in flight after the grace time, or that keeps connections without a request open after that time.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t, done)
		l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error)
		go func() { served <- r.server.Serve(l) }()
		idle, gate := l.dial()
		is.Equal((<-sendRequest(idle, rawRequest)).StatusCode, http.StatusOK)
		unused, _ := l.dial()
		synctest.Wait()

		<-gate
		answer := sendRequest(idle, rawRequest)
		synctest.Wait() // the request has arrived, but the server hasn't read it yet
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

// Guards against a request that waits for its body after its deadline, or whose connection is reused although a part of
// the body has not been read.
func TestLateBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(t)
		l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error)
		go func() { served <- r.server.Serve(l) }()
		c, _ := l.dial()
		answers := sendRequest(c, rawRequest[:len(rawRequest)-2])
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
		r.checkIdle(is)
	})
}
