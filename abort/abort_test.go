package abort_test

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/abort"
)

// lateReader listens with a small receive buffer, so that most of a large request stays at the sender until it is read.
func lateReader(t *testing.T) net.Listener {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against a request that arrives after its sender has given it up. What the receiver's kernel has received arrives in
// any case, and an answered connection is closed in the ordinary way.
func TestGivenUpRequestIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		size     int
		answered bool
		whole    bool
		end      error
	}{
		"not sent yet":     {size: 64 << 10, end: syscall.ECONNRESET},
		"received already": {size: 100, whole: true, end: syscall.ECONNRESET},
		"answered":         {size: 100, answered: true, whole: true, end: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := lateReader(t)
			dialed, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			client := abort.New(dialed)
			peer, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = peer.Close() }()
			_, err = client.Write(make([]byte, c.size))
			is.NoErr(err)
			if c.answered {
				_, err = peer.Write([]byte("x"))
				is.NoErr(err)
				_, err = client.Read(make([]byte, 1))
				is.NoErr(err)
			}
			is.NoErr(client.Close())
			n, end := 0, error(nil)
			for b := make([]byte, 4<<10); end == nil; {
				var more int
				more, end = peer.Read(b)
				n += more
			}
			is.Equal(n == c.size, c.whole)
			is.True(errors.Is(end, c.end))
		})
	}
}
