package intake

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipes is a listener whose connections are made in the process.
type pipes struct {
	gate  *Gate
	conns chan net.Conn
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return p.gate.open(c, Callers), nil
}

func (p *pipes) Close() error {
	close(p.conns)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// serveBodies serves the length of bodies behind a gate and returns a function that connects.
func serveBodies(t *testing.T, l Limits) (*Gate, func() net.Conn) {
	t.Helper()
	p := &pipes{gate: New(l, nil), conns: make(chan net.Conn)}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(r, p.gate.limits.Load().Body); err != nil {
			Refuse(w, r)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})}
	p.gate.Guard(s)
	go func() { _ = s.Serve(p) }()
	t.Cleanup(func() { _ = s.Close() })
	return p.gate, func() net.Conn {
		client, server := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		p.conns <- server
		return client
	}
}

// ask sends text and returns the status of the answer; 0 if there is none.
func ask(c net.Conn, text string) int {
	go func() { _, _ = io.WriteString(c, text) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against limits of an earlier configuration that stay in force on open connections.
func TestLimitsChangeOnOpenConnections(t *testing.T) {
	is := is.New(t)
	l := Derive(0, 0, nil)
	gate, connect := serveBodies(t, l)
	long := "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", 20_000) + "\r\n\r\n"
	c, idle, slow := connect(), connect(), connect()
	is.Equal(ask(c, long), http.StatusOK)
	l.Head = 16384
	gate.SetLimits(l)
	is.Equal(ask(c, long), http.StatusRequestHeaderFieldsTooLarge)

	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	for _, c := range []net.Conn{idle, slow} {
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	}
	l.HeadWait, l.IdleWait = time.Millisecond, time.Millisecond
	gate.SetLimits(l)
	for _, c := range []net.Conn{idle, slow} {
		_, err := c.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // closed by the server
	}
}

// Guards against bodies that are cut off or refused inside the limits, and against a limit that chunks pass by.
func TestBodiesUpToTheLimit(t *testing.T) {
	is := is.New(t)
	_, connect := serveBodies(t, Derive(0, 0, nil))
	c := connect()
	body := strings.Repeat("b", defaultBody)
	is.Equal(ask(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n"+body), http.StatusOK)
	const chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"
	is.Equal(ask(c, chunked+body+"\r\n0\r\n\r\n"), http.StatusOK)
	is.Equal(ask(c, chunked+body+"\r\n1\r\nb\r\n0\r\n\r\n"), http.StatusServiceUnavailable)
	is.Equal(ask(connect(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 262145\r\n\r\n"), http.StatusServiceUnavailable)
}
