package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"cuminstair.org/cuminstair"
)

// Keep-alive of connections. A connection whose packets are lost is detected within about 10 s (the idle time and
// three intervals), which is below the deadlines of ordinary work.
const (
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	userTimeout       = 10 * time.Second // TCP_USER_TIMEOUT: bytes may stay unacknowledged for this long
)

// closeTimeout bounds the wait until an upstream closes its end of a connection. It is 1000 times the one-way
// latency between two data centres.
const closeTimeout = 500 * time.Millisecond

// past is a deadline that makes blocked reads and writes return at once.
var past = time.Unix(1, 0)

// conn is a connection that counts its bytes. It is used by one goroutine at a time, except for abort and received.
type conn struct {
	raw      *net.TCPConn
	br       *bufio.Reader
	bw       *bufio.Writer
	sent     int64        // bytes written to the socket since the current request began
	received atomic.Int64 // bytes read from the socket since it was opened
	lastUsed time.Time    // end of the last request
}

func newConn(raw *net.TCPConn) *conn {
	c := &conn{raw: raw}
	c.br = bufio.NewReader(c)
	c.bw = bufio.NewWriter(c)
	return c
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.sent += int64(n)
	return n, err
}

// abort makes a blocked read or write return. The connection can't be used again.
func (c *conn) abort() { _ = c.raw.SetDeadline(past) }

func (c *conn) close() { _ = c.raw.Close() }

// alive reports whether an unused connection is open and has nothing to read. A connection must not be used again if
// the upstream closed it or sent bytes without a request.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	rc, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	open := false
	err = rc.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// dial opens a connection with keep-alive and TCP_USER_TIMEOUT.
func dial(ctx context.Context, timer cuminstair.Timer, addr string) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := timer.After(DialTimeout, func(time.Time) { cancel() })
	defer stop()
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial upstream: %w", err)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Errorf("dial upstream: %T is not a TCP connection", raw)
	}
	return newConn(tcp), nil
}

func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", failed)
	}
	return nil
}
