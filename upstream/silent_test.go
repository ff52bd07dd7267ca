package upstream_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/upstream"
)

const quiet = 50 * time.Millisecond

// quietRig is a rig whose probes are reported to the test.
type quietRig struct {
	*rig
	lost chan int // connections found silent at each probe
}

func newQuietRig(t *testing.T) *quietRig {
	t.Helper()
	q := &quietRig{rig: newRig(t), lost: make(chan int)}
	q.instance.Waiting = make(chan struct{})
	q.sender.Quiet = func(string) time.Duration { return quiet }
	q.sender.Probed = func(_ string, _ bool, lost int) { q.lost <- lost }
	return q
}

// silence opens n connections, leaves them unused and makes the instance stop answering on them.
func (q *quietRig) silence(is *is.I, n int) {
	q.instance.SetFaults(instance.Faults{Delay: time.Millisecond})
	results := q.start(n, "before", false)
	q.await(n)
	q.clock.Advance(time.Millisecond)
	for range n {
		is.Equal((<-results).Outcome, cuminstair.OutcomeDone)
	}
	q.instance.SetFaults(instance.Faults{})
	q.instance.Silence()
}

// start sends n requests at once.
func (q *quietRig) start(n int, name string, idempotent bool) <-chan cuminstair.Result {
	results := make(chan cuminstair.Result, n)
	for i := range n {
		m := request(fmt.Sprint(name, i), "body")
		m.Idempotent = idempotent
		go func() {
			_, result := q.send(context.Background(), m)
			results <- result
		}()
	}
	return results
}

// await returns when the instance has received n requests and delays their answers.
func (q *quietRig) await(n int) {
	for range n {
		<-q.instance.Waiting
	}
	q.written(n)
}

// written returns when n requests have been written and wait for their answers.
func (q *quietRig) written(n int) {
	for q.sender.Waiting(q.upstream.Addr) < n {
		runtime.Gosched()
	}
}

// probes lets n quiet times pass and returns how many connections were found silent.
func (q *quietRig) probes(n int) int {
	lost := 0
	for range n {
		q.clock.Advance(quiet)
		lost += <-q.lost
	}
	return lost
}

// Guards against idempotent requests that wait on a silent connection until their deadline: they end within three quiet
// times, and the pool works again.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.silence(is, 4)
	results := q.start(4, "r", true)
	q.written(4)
	lost := 0
	for range 3 {
		if lost < 4 {
			lost += q.probes(1)
		}
	}
	is.Equal(lost, 4)
	for range 4 {
		result := <-results
		is.Equal(result.Outcome, cuminstair.OutcomeUnknown)
		is.Equal(result.Reason, cuminstair.ReasonSilent)
	}
	_, result := q.send(context.Background(), request("again", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeDone)
}

// Guards against a request that is not idempotent and loses its late answer, or ends before its deadline, because its
// connection was given up.
func TestLeftConnectionNotIdempotent(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.instance.SetFaults(instance.Faults{Delay: (upstream.MaxQuietTicks + 2) * quiet})
	results := q.start(1, "late", false)
	q.await(1)
	is.Equal(q.probes(upstream.MaxQuietTicks+1), 1)
	q.clock.Advance(quiet)
	is.Equal((<-results).Outcome, cuminstair.OutcomeDone)
	is.Equal(q.sender.Unused(q.upstream.Addr), 0)
}

// Guards against a result with the reason of the cancellation when the connection was found silent before the
// cancellation.
func TestSilentConnectionNotIdempotent(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.silence(is, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan cuminstair.Result, 1)
	go func() {
		_, result := q.send(ctx, request("r1", "body"))
		ended <- result
	}()
	q.written(1)
	is.Equal(q.probes(2), 1)
	cancel()
	is.Equal(<-ended, cuminstair.Result{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonSilent, Latency: 2 * quiet})
}

// Guards against giving up connections to an upstream that is only slow and counts all requests as in use.
func TestSlowUpstreamIsKept(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.instance.SetFaults(instance.Faults{Delay: upstream.MaxQuietTicks*quiet + quiet/2})
	results := q.start(8, "r", true)
	q.await(8)
	is.Equal(q.probes(upstream.MaxQuietTicks), 0)
	q.clock.Advance(quiet / 2)
	for range 8 {
		is.Equal((<-results).Outcome, cuminstair.OutcomeDone)
	}
	is.Equal(len(q.instance.Repeated()), 0)
}

// Guards against a lost request that is never detected because the upstream's count of requests in use does not show
// the loss: MaxQuietTicks bounds the wait.
func TestPatienceIsBounded(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.instance.SetFaults(instance.Faults{Delay: time.Hour})
	results := q.start(1, "r", true)
	q.await(1)
	q.instance.Silence()
	is.Equal(q.probes(upstream.MaxQuietTicks+1), 1)
	is.Equal((<-results).Reason, cuminstair.ReasonSilent)
}

// Guards against a request that is not idempotent and is sent on an old connection that has become silent.
func TestOldConnectionIsChecked(t *testing.T) {
	is := is.New(t)
	q := newQuietRig(t)
	q.instance.Dropped = make(chan struct{})
	q.silence(is, 2)
	q.clock.Advance(upstream.FreshLimit + 1)
	ended := make(chan cuminstair.Result, 1)
	go func() {
		_, result := q.send(context.Background(), request("r1", "body"))
		ended <- result
	}()
	<-q.instance.Dropped
	q.clock.Advance(2 * quiet) // the check on the connection gets no answer
	is.Equal((<-ended).Outcome, cuminstair.OutcomeDone)
	is.Equal(q.instance.Runs("r1"), 1)
}
