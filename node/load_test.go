package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/local"
	"cuminstair.org/cuminstair/wave"
)

// requestInterval is the time between two requests of one caller.
const requestInterval = 5 * time.Millisecond

// loadGenerator sends requests of the kinds measure and order until it is stopped. Every caller has one
// request in flight at a time.
type loadGenerator struct {
	s       *local.System
	stop    chan struct{}
	wg      sync.WaitGroup
	done    atomic.Int64
	mu      sync.Mutex
	results []result
}

// result describes a request whose outcome was not done or whose answer had an unexpected body.
type result struct {
	daemon, body, outcome, reason, id string
	err                               error
}

// startLoad starts the given number of callers for each of the named daemons.
func startLoad(t *testing.T, s *local.System, callers int, daemons ...string) *loadGenerator {
	t.Helper()
	l := &loadGenerator{s: s, stop: make(chan struct{})}
	for _, name := range daemons {
		base := s.Daemons[name].Callers()
		for i := range callers {
			l.wg.Go(func() { l.call(name, base, i) })
		}
	}
	t.Cleanup(l.end)
	return l
}

func (l *loadGenerator) call(name, base string, caller int) {
	for i := 0; ; i++ {
		passed := make(chan struct{})
		l.s.Timer.After(requestInterval, func(time.Time) { close(passed) })
		select {
		case <-l.stop:
			return
		case <-passed:
		}
		want := fmt.Sprintf("%s caller %d request %d", name, caller, i)
		got, h, err := ask(base, []string{"measure", "order"}[i%2], want)
		l.record(name, want, got, h, err)
	}
}

func (l *loadGenerator) record(name, want, got string, h http.Header, err error) {
	if err == nil && got == want && h.Get("Outcome") == "done" {
		l.done.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result{name, want, h.Get("Outcome"), h.Get("Reason"), h.Get("Request"), err})
}

// end stops the load and waits for the requests in flight.
func (l *loadGenerator) end() {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// checkAllDone fails the test if a request did not end as done.
func (l *loadGenerator) checkAllDone(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("%d requests done, %d not", l.done.Load(), len(l.results))
	for i, r := range l.results {
		if i == 10 {
			break
		}
		t.Errorf("%+v", r)
	}
}

// awaitActiveHosts waits until the rows of all hosts are active. A new host is in probation for wave.Probation, in
// which no planned work on it starts.
func awaitActiveHosts(t *testing.T, s *local.System) {
	t.Helper()
	active := func() bool {
		rows, _, err := s.Platform.Rows(context.Background(), wave.HostPrefix, 0)
		if err != nil || len(rows) < len(s.Instances) {
			return false
		}
		for _, r := range rows {
			var h wave.Host
			if json.Unmarshal(r.Value, &h) != nil || h.State != cuminstair.HostActive {
				return false
			}
		}
		return true
	}
	// The lease and the probation take longer than Await waits.
	if s.Await(active) != nil {
		is.New(t).NoErr(s.Await(active))
	}
}
