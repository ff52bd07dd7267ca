package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/retry"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

const (
	answerTime      = 20 * time.Millisecond // time that the instances take to answer
	warmupRequests  = 60                    // so that health knows the answer time and retries are allowed
	requestDeadline = 10 * time.Second      // the deadline of requests that end without an answer
)

// silenceTest is a daemon with the real retry budget, health and routing, which sends to h1 only until enableSecond is
// called. One virtual clock, which the test advances, drives the daemon and the instances.
type silenceTest struct {
	*running
	clock  *timer.Virtual
	first  *instance.Server // h1
	addr   string           // of h1
	client *http.Client
}

func newSilenceTest(t *testing.T, conns int) *silenceTest {
	t.Helper()
	is := is.New(t)
	r := &silenceTest{clock: timer.NewVirtual(time.Unix(1000, 0)), client: newClient(t, conns)}
	r.first = &instance.Server{Timer: r.clock, Waiting: make(chan struct{})}
	r.addr = serve(t, r.first)
	second := serve(t, &instance.Server{Timer: r.clock})
	r.running = start(t, loadSettings(t, []string{r.addr, second}, `"wait": "0s"`), r.clock, func(d *daemon.Daemon) {
		d.Router = &route.Router{Centre: "c1", Rand: rand.New(rand.NewPCG(1, 2))}
		d.Retries = &retry.Budget{Rand: rand.New(rand.NewPCG(3, 4))}
		d.Health = &health.Monitor{}
		// No active checks: the tests are about what health learns from requests.
		d.ChecksHost = func(string) bool { return false }
	})
	r.Decisions().SetHostState("h2", cuminstair.HostLeaving)
	r.first.SetFaults(instance.Faults{Delay: answerTime})
	for range warmupRequests / conns {
		replies := r.send(conns, "convert")
		r.awaitDelayed(conns)
		r.clock.Advance(answerTime)
		for range conns {
			is.Equal((<-replies).header.Get("Outcome"), "done")
		}
	}
	return r
}

// enableSecond lets routing use h2.
func (r *silenceTest) enableSecond() { r.Decisions().SetHostState("h2", cuminstair.HostActive) }

// send sends n requests at once.
func (r *silenceTest) send(n int, kind string) <-chan *reply {
	replies := make(chan *reply, n)
	for i := range n {
		go func() {
			answer, err := postWithin(context.Background(), requestDeadline.String(), r.client, r.url, kind, "", fmt.Sprint("body ", i))
			if err != nil {
				answer = &reply{body: err.Error()}
			}
			replies <- answer
		}()
	}
	return replies
}

// awaitDelayed waits until n requests have reached h1 and are being delayed there.
func (r *silenceTest) awaitDelayed(n int) {
	for range n {
		<-r.first.Waiting
	}
	r.awaitWritten(n)
}

// awaitWritten waits until n requests to h1 are written and have no answer yet.
func (r *silenceTest) awaitWritten(n int) {
	for r.Waiting(r.addr) < n {
		runtime.Gosched()
	}
}

// probe advances the clock until h1 has been silent long enough for a probe, and returns the choice that the daemon
// recorded after it.
func (r *silenceTest) probe() string {
	before := len(r.Explain().Lookup("host", "h1"))
	r.clock.Advance(r.Decisions().Quiet("h1"))
	for {
		if decisions := r.Explain().Lookup("host", "h1"); len(decisions) > before {
			return decisions[len(decisions)-1].Choice
		}
		runtime.Gosched()
	}
}

// Guards against idempotent requests on silent connections that wait for their deadline although the retry budget allows
// another attempt, and against a request that is not idempotent but is sent again or ends before its deadline.
func TestSilentConnectionsOfDaemon(t *testing.T) {
	is := is.New(t)
	r := newSilenceTest(t, 3)
	r.first.Silence()
	ranBefore := r.first.Total()
	notRepeated := r.send(1, "portion")
	r.awaitWritten(1)
	repeated := r.send(2, "convert")
	r.awaitWritten(3)
	r.enableSecond()
	for r.probe() != "leave connections" {
		is.True(r.Waiting(r.addr) == 3)
	}
	for range 2 {
		for i := 0; len(repeated) == 0; i++ {
			if i%1000 == 0 { // rarely, since the answer arrives in real time
				r.clock.Advance(time.Millisecond)
			}
			runtime.Gosched()
		}
		is.Equal((<-repeated).header.Get("Outcome"), "done")
	}
	is.Equal(len(notRepeated), 0)
	r.clock.Advance(requestDeadline)
	answer := <-notRepeated
	is.Equal(answer.header.Get("Outcome"), "unknown")
	is.Equal(answer.header.Get("Reason"), "silent")
	is.Equal(answer.status, http.StatusGatewayTimeout)
	is.Equal(r.first.Total(), ranBefore) // h1 ran none of the three requests
}

// Guards against treating a slow upstream as silent, so that its connections are abandoned or its requests sent again.
func TestSlowUpstreamOfDaemon(t *testing.T) {
	is := is.New(t)
	r := newSilenceTest(t, 6)
	r.first.SetFaults(instance.Faults{Delay: 10 * answerTime})
	ranBefore := r.first.Total()
	replies := r.send(6, "convert")
	r.awaitDelayed(6)
	r.enableSecond()
	began := r.clock.Now()
	for r.clock.Now().Sub(began) < 10*answerTime-r.Decisions().Quiet("h1") {
		is.Equal(r.probe(), "keep connections")
	}
	r.clock.Advance(10 * answerTime)
	for range 6 {
		is.Equal((<-replies).header.Get("Outcome"), "done")
	}
	is.Equal(r.first.Total(), ranBefore+6)
	is.Equal(len(r.first.Repeated()), 0)
}
