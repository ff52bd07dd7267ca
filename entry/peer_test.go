package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/halfopen"
)

// Guards against calls to a daemon that try half-open connections one after the other: the daemon is then taken for silent.
func TestHalfOpenConnectionsToADaemonCostOneTimeout(t *testing.T) {
	const connections = 4
	is := is.New(t)
	var inFlight atomic.Int64
	full := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if inFlight.Add(1) == connections {
			close(full)
		}
		<-full
	}))
	l := &halfopen.Listener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	p := newPeerClient()
	notify := func() bool { return p.notify(context.Background(), l.Addr().String()) }
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { is.True(notify()) })
	}
	group.Wait()
	is.Equal(l.Break(), connections)
	is.True(!notify())
	is.True(notify())
}

// Guards against a call that TCP delivers to a daemon long after its sender has given it up.
func TestGivenUpCallResetsItsConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.True(newPeerClient().post(ctx, l.Addr().String(), stopPath, stopRequest{}, nil) != nil)
	c, err := l.Accept()
	is.NoErr(err)
	_, err = io.Copy(io.Discard, c)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
