package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/caller"
)

var (
	done    = cuminstair.Result{Outcome: cuminstair.OutcomeDone, Reason: cuminstair.ReasonOK}
	notRun  = cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonRefused}
	unknown = cuminstair.Result{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonBroken}

	malformed = cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonMalformed}
	late      = cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonLate}
)

// Guards against refusals that don't say what to change, and against invalid requests that are sent to an upstream.
func TestChecks(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		headers      [2]string
		body         io.Reader
		status       int
		text         string
	}{
		"service":      {path: "/s/none/work", status: 404, text: `service "none" is unknown; the services are: scale`},
		"route":        {path: "/x", status: 404, text: "/s/<service>/<path>"},
		"method":       {method: "PATCH", status: 405, text: "use POST, GET, PUT or DELETE"},
		"kind":         {headers: [2]string{"Kind", "x"}, status: 400, text: "its kinds are: convert, portion"},
		"team":         {headers: [2]string{"Team", "x"}, status: 400, text: `team "x" is unknown`},
		"no deadline":  {headers: [2]string{"Deadline", ""}, status: 400, text: "header Deadline is missing"},
		"not a time":   {headers: [2]string{"Deadline", "5"}, status: 400, text: "not a time such as 1500ms"},
		"too long":     {headers: [2]string{"Deadline", "11s"}, status: 400, text: "11s is longer than 10s"},
		"oversized":    {body: strings.NewReader(strings.Repeat("x", caller.MaxBody+1)), status: 413, text: "1048576 bytes"},
		"chunked body": {body: io.LimitReader(zeros{}, caller.MaxBody+1), status: 413, text: "1048576 bytes"},
		"ticket":       {headers: [2]string{"Ticket", "x"}, status: 400, text: "issues no tickets"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			if c.path == "" {
				c.path = "/s/scale/work"
			}
			if c.method == "" {
				c.method = http.MethodPost
			}
			req := httptest.NewRequest(c.method, c.path, c.body)
			req.Header.Set("Team", "t1")
			req.Header.Set("Kind", "portion")
			req.Header.Set("Deadline", "5s")
			if c.headers[0] != "" {
				req.Header.Set(c.headers[0], c.headers[1])
			}
			w := r.serve(req)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.text))
			is.Equal(w.Header().Get("Outcome"), "notrun")
			is.True(w.Header().Get("Request") != "")
			is.True(w.Header().Get("Retry-After") != "")
			is.Equal(len(r.sender.hosts), 0)
			r.checkIdle(is)
		})
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a second attempt of a request that may have run, an outcome notrun although an earlier attempt may
// have run, a retry at the host that just failed, leaked slots, and a fault of the request that counts against the
// health of a host or spends a retry.
func TestAttempts(t *testing.T) {
	type results = []cuminstair.Result
	for name, c := range map[string]struct {
		kind    string
		results results
		outcome string
		status  int
		hosts   string
	}{
		"done":                        {"portion", results{done}, "done", 200, "h1"},
		"unknown is not sent again":   {"portion", results{unknown, done}, "unknown", 504, "h1"},
		"not run is sent again":       {"portion", results{notRun, done}, "done", 200, "h1 h2"},
		"idempotent is sent again":    {"convert", results{unknown, done}, "done", 200, "h1 h2"},
		"not run after unknown":       {"convert", results{unknown, notRun, notRun}, "unknown", 504, "h1 h2 h1"},
		"retries are bounded":         {"portion", results{notRun, notRun, notRun, done}, "notrun", 503, "h1 h2 h1"},
		"unknown after not run stays": {"portion", results{notRun, unknown, done}, "unknown", 504, "h1 h2"},
		"malformed":                   {"convert", results{malformed, done}, "notrun", 400, "h1"},
		"late":                        {"convert", results{late, done}, "notrun", 503, "h1"},
		"late after unknown":          {"convert", results{unknown, late, done}, "unknown", 504, "h1 h2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, c.results...)
			w := r.do(context.Background(), c.kind)
			is.Equal(w.Header().Get("Outcome"), c.outcome)
			is.Equal(w.Code, c.status)
			is.Equal(strings.Join(r.sender.hosts, " "), c.hosts)
			ownFaults := strings.Count(c.hosts, "h") - r.health.observed
			is.Equal(ownFaults == 1, strings.Contains(name, "late") || strings.Contains(name, "malformed"))
			is.Equal(w.Header().Get("Retry-After") != "", c.outcome == "notrun")
			r.checkIdle(is)
		})
	}
}

// hold sends a request that occupies the only slot until ctx ends.
func (r *rig) hold(ctx context.Context, headers ...string) <-chan *httptest.ResponseRecorder {
	ended := make(chan *httptest.ResponseRecorder, 1)
	go func() { ended <- r.do(ctx, "portion", headers...) }()
	<-r.sender.sending
	return ended
}

// queue sends a request that has to wait, and returns once it is queued.
func (r *rig) queue(ctx context.Context, headers ...string) <-chan *httptest.ResponseRecorder {
	ended := make(chan *httptest.ResponseRecorder, 1)
	go func() { ended <- r.do(ctx, "portion", headers...) }()
	for r.server.Path.Decisions.Queued() == 0 {
		runtime.Gosched()
	}
	return ended
}

// Guards against a queued request that continues after its caller disconnected or its deadline passed, and against a slot
// that is leaked or released twice when another request ends at the same time.
func TestQueuedRequestEnds(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	first, endFirst := context.WithCancel(context.Background())
	firstEnded := r.hold(first)

	callerCtx, disconnect := context.WithCancel(context.Background())
	ended := r.queue(callerCtx)
	disconnect()
	is.Equal((<-ended).Header().Get("Outcome"), "notrun")

	ended = r.queue(context.Background(), "Deadline", "1s")
	r.clock.Advance(time.Second)
	w := <-ended
	is.Equal(w.Header().Get("Outcome"), "notrun")
	is.Equal(w.Header().Get("Reason"), "late")

	ended = r.queue(context.Background())
	r.slots.expired, r.slots.queue = r.slots.queue, nil
	r.server.Path.Decisions.Tick(r.clock.Now())
	is.Equal((<-ended).Header().Get("Reason"), "late")

	ended = r.queue(context.Background())
	endFirst()
	is.Equal((<-firstEnded).Header().Get("Outcome"), "unknown")
	<-r.sender.sending // the queued request runs now
	r.clock.Advance(5 * time.Second)
	is.Equal((<-ended).Header().Get("Outcome"), "unknown")
	r.checkIdle(is)
}

// Guards against slots that are leaked when callers disconnect just as their queued requests may run.
func TestLeavingCallersRace(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	for range 200 {
		first, endFirst := context.WithCancel(context.Background())
		firstEnded := r.hold(first)
		callerCtx, disconnect := context.WithCancel(context.Background())
		ended := r.queue(callerCtx)
		go disconnect()
		go endFirst()
		select {
		case <-r.sender.sending:
			<-ended
		case <-ended:
		}
		<-firstEnded
	}
	r.checkIdle(is)
}

// Guards against queued requests that keep waiting during a planned stop.
func TestStopEndsQueue(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	stopping := make(chan struct{})
	r.server.Path.Stopping = stopping
	first, endFirst := context.WithCancel(context.Background())
	firstEnded := r.hold(first)
	ended := r.queue(context.Background())
	close(stopping)
	w := <-ended
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Reason"), "stopping")
	endFirst()
	<-firstEnded
	r.checkIdle(is)
}
