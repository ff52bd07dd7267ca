package daemon_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/upstream"
)

// Guards against a long answer that breaks off and looks whole to the caller, with and without a Content-Length.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	is := is.New(t)
	clock := realClock(t)
	long := strings.Repeat("x", 2*upstream.MaxBody)
	for _, chunked := range []bool{false, true} {
		s := &instance.Server{Timer: clock, Chunked: chunked}
		s.Answer = func(*http.Request, []byte) []byte { return []byte(long) }
		d := start(t, load(t, []string{serve(t, s)}, `"wait": "0s"`), clock, nil)
		client := newClient(t, 1)
		answer, err := post(context.Background(), client, d.url, "portion", "", "")
		is.NoErr(err)
		is.Equal(answer.header.Get("Outcome"), "done")
		is.True(answer.body == long)
		const half = upstream.MaxBody * 3 / 2
		s.SetFaults(instance.Faults{Cut: &instance.Cut{Answer: true, After: half, Clean: true}})
		_, err = post(context.Background(), client, d.url, "portion", "", "")
		is.True(err != nil) // the caller sees the connection break
		s.SetFaults(instance.Faults{Cut: &instance.Cut{Answer: true, After: half}})
		answer, err = post(context.Background(), client, d.url, "portion", "", "")
		// A reset may overtake the bytes before it, so that nothing was passed on and the daemon answers itself.
		is.True(err != nil || answer.status == http.StatusGatewayTimeout && answer.header.Get("Outcome") == "unknown")
		client.CloseIdleConnections()
		d.stop()
		is.NoErr(<-d.ended)
	}
}
