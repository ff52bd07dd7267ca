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
	usual  = 20 * time.Millisecond // what the instances take
	warmth = 60                    // requests before a test, so that health knows the usual time and retries are allowed
	window = 10 * time.Second      // the deadline of requests that end without an answer
)

// silentRig is a daemon with the real retry budget, health and routing, which sends to h1 until free is called. One
// clock, which moves only when the test says so, drives the daemon and the instances.
type silentRig struct {
	*running
	clock  *timer.Virtual
	first  *instance.Server // h1
	addr   string           // of h1
	client *http.Client
}

func newSilentRig(t *testing.T, conns int) *silentRig {
	t.Helper()
	is := is.New(t)
	r := &silentRig{clock: timer.NewVirtual(time.Unix(1000, 0)), client: newClient(t, conns)}
	r.first = &instance.Server{Timer: r.clock, Waiting: make(chan struct{})}
	r.addr = serve(t, r.first)
	second := serve(t, &instance.Server{Timer: r.clock})
	r.running = start(t, load(t, []string{r.addr, second}, `"wait": "0s"`), r.clock, func(d *daemon.Daemon) {
		d.Router = &route.Router{Centre: "c1", Rand: rand.New(rand.NewPCG(1, 2))}
		d.Retries = &retry.Budget{Rand: rand.New(rand.NewPCG(3, 4))}
		d.Health = &health.Monitor{}
		d.Owns = func(string) bool { return false } // the tests are about passive evidence
	})
	r.Decisions().SetHostState("h2", cuminstair.HostLeaving)
	r.first.SetFaults(instance.Faults{Delay: usual})
	for range warmth / conns {
		replies := r.send(conns, "convert")
		r.await(conns)
		r.clock.Advance(usual)
		for range conns {
			is.Equal((<-replies).header.Get("Outcome"), "done")
		}
	}
	return r
}

// free lets routing use h2.
func (r *silentRig) free() { r.Decisions().SetHostState("h2", cuminstair.HostActive) }

// send sends n requests at once.
func (r *silentRig) send(n int, kind string) <-chan *reply {
	replies := make(chan *reply, n)
	for i := range n {
		go func() {
			answer, err := postWithin(context.Background(), window.String(), r.client, r.url, kind, "", fmt.Sprint("body ", i))
			if err != nil {
				answer = &reply{body: err.Error()}
			}
			replies <- answer
		}()
	}
	return replies
}

// await returns when n requests wait for their delay at h1.
func (r *silentRig) await(n int) {
	for range n {
		<-r.first.Waiting
	}
	r.written(n)
}

// written returns when n requests to h1 wait for their answers.
func (r *silentRig) written(n int) {
	for r.Waiting(r.addr) < n {
		runtime.Gosched()
	}
}

// probe lets a quiet time of h1 pass and returns what the probe led to.
func (r *silentRig) probe() string {
	before := len(r.Explain().Lookup("host", "h1"))
	r.clock.Advance(r.Decisions().Quiet("h1"))
	for {
		if probes := r.Explain().Lookup("host", "h1"); len(probes) > before {
			return probes[len(probes)-1].Choice
		}
		runtime.Gosched()
	}
}

// Guards against idempotent requests on silent connections that wait for their deadline although the retry budget allows
// another attempt, and against another request that is sent again or ends before its deadline.
func TestSilentConnectionsOfDaemon(t *testing.T) {
	is := is.New(t)
	r := newSilentRig(t, 3)
	r.first.Silence()
	ran := r.first.Total()
	lost := r.send(1, "portion")
	r.written(1)
	again := r.send(2, "convert")
	r.written(3)
	r.free()
	for r.probe() != "leave connections" {
		is.True(r.Waiting(r.addr) == 3)
	}
	for range 2 {
		for turn := 0; len(again) == 0; turn++ {
			if turn%1000 == 0 { // leaves time for the answer, which takes none on the clock
				r.clock.Advance(time.Millisecond)
			}
			runtime.Gosched()
		}
		is.Equal((<-again).header.Get("Outcome"), "done")
	}
	is.Equal(len(lost), 0)
	r.clock.Advance(window)
	answer := <-lost
	is.Equal(answer.header.Get("Outcome"), "unknown")
	is.Equal(answer.header.Get("Reason"), "silent")
	is.Equal(answer.status, http.StatusGatewayTimeout)
	is.Equal(r.first.Total(), ran) // the upstream got none of them
}

// Guards against a slow upstream that is taken for silent: its connections are left, or its requests are sent again.
func TestSlowUpstreamOfDaemon(t *testing.T) {
	is := is.New(t)
	r := newSilentRig(t, 6)
	r.first.SetFaults(instance.Faults{Delay: 10 * usual})
	ran := r.first.Total()
	replies := r.send(6, "convert")
	r.await(6)
	r.free()
	began := r.clock.Now()
	for r.clock.Now().Sub(began) < 10*usual-r.Decisions().Quiet("h1") {
		is.Equal(r.probe(), "keep connections")
	}
	r.clock.Advance(10 * usual)
	for range 6 {
		is.Equal((<-replies).header.Get("Outcome"), "done")
	}
	is.Equal(r.first.Total(), ran+6)
	is.Equal(len(r.first.Repeated()), 0)
}
