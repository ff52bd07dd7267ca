package entry

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a planned stop that aborts a request that is being answered: http.Server.Serve returns when the
// shutdown begins, and the daemon must not end at that time.
func TestServeWaitsForTheShutdown(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	inside, answer := make(chan struct{}), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(inside)
		<-answer
		w.WriteHeader(http.StatusOK)
	})}
	stopped, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- serve(server, l, stopped) }()
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-inside
	shut := make(chan error, 1)
	go func() { shut <- server.Shutdown(context.Background()) }()
	select {
	case err := <-ended:
		t.Fatalf("serve ended while a request was being answered: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(answer)
	is.Equal(<-status, http.StatusOK)
	is.NoErr(<-shut)
	close(stopped)
	is.NoErr(<-ended)
}
