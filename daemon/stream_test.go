package daemon_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/upstream"
)

// Guards against a truncated long answer that looks complete to the caller, with and without a Content-Length.
func TestLongAnswerThatBreaksOff(t *testing.T) {
	is := is.New(t)
	clock := realClock(t)
	long := strings.Repeat("x", 2*upstream.MaxBody)
	for _, chunked := range []bool{false, true} {
		s := &instance.Server{Timer: clock, Chunked: chunked}
		s.Answer = func(*http.Request, []byte) []byte { return []byte(long) }
		d := start(t, loadSettings(t, []string{serve(t, s)}, `"wait": "0s"`), clock, nil)
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
		// A reset may discard bytes that were sent before it. Then nothing was passed on, and the daemon itself answers.
		is.True(err != nil || answer.status == http.StatusGatewayTimeout && answer.header.Get("Outcome") == "unknown")
		d.stop()
		is.NoErr(<-d.ended)
	}
}

// Guards against headers with several values that are joined, which breaks cookies, or dropped.
func TestSeveralValues(t *testing.T) {
	is := is.New(t)
	s := &instance.Server{Timer: realClock(t)}
	s.Answer = func(r *http.Request, _ []byte) []byte {
		return []byte(strings.Join(r.Header["Cookie"], "|") + "|" + strings.Join(r.Header["Accept"], "|"))
	}
	s.Header = http.Header{"Set-Cookie": {"a=1; Expires=Thu, 01 Jan 2026 00:00:00 GMT", "b=2"}}
	d := start(t, loadSettings(t, []string{serve(t, s)}, `"wait": "0s"`), realClock(t), nil)
	r, err := http.NewRequest(http.MethodPost, d.url+"/s/scale/work", strings.NewReader("body"))
	is.NoErr(err)
	r.Header = http.Header{
		"Team": {"t1"}, "Kind": {"portion"}, "Deadline": {"5s"}, "Connection": {"X-Own", "X-Hop, accept"},
		"Cookie": {"c=3", "d=4"}, "Accept": {"text/plain"}, "X-Hop": {"1"}, "Accept-Language": {"en"},
	}
	resp, err := newClient(t, 1).Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.Header["Set-Cookie"], s.Header["Set-Cookie"])
	is.Equal(string(body), "c=3|d=4|") // Connection names Accept
}
