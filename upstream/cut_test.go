package upstream_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/instance"
)

// maxCut bounds the byte positions that are tried; a request and its answer have about 150 bytes each.
const maxCut = 1000

// Guards against false outcomes when a connection breaks, at each byte of the request and of the answer: a request that
// ran and is reported as not run, or a broken answer that is reported as done.
func TestCutAtEachByte(t *testing.T) {
	for _, answer := range []bool{false, true} {
		for _, clean := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("answer=%t clean=%t reused=%t", answer, clean, reused), func(t *testing.T) {
					cutEachByte(t, instance.Cut{Answer: answer, Clean: clean}, reused)
				})
			}
		}
	}
}

func cutEachByte(t *testing.T, cut instance.Cut, reused bool) {
	is := is.New(t)
	r := newRig(t)
	for ; cut.After < maxCut; cut.After++ {
		r.instance.SetFaults(instance.Faults{})
		id := fmt.Sprint("r", cut.After)
		if reused {
			_, result := r.send(context.Background(), request(id+"-before", "x"))
			is.Equal(result.Outcome, cuminstair.OutcomeDone)
		}
		at := cut
		r.instance.SetFaults(instance.Faults{Cut: &at})
		answer, result := r.send(context.Background(), request(id, "own body"))
		is.True(r.instance.Runs(id) <= 1) // at most one run
		switch result.Outcome {
		case cuminstair.OutcomeDone:
			is.Equal(string(answer.Body), "own body")
			is.True(cut.After > 50) // the request or the answer has more than 50 bytes
			return
		case cuminstair.OutcomeNotRun:
			is.Equal(r.instance.Runs(id), 0) // reported as not run
		default:
			is.Equal(answer, nil)
		}
	}
	is.Fail() // the request was cut at every position
}

// Guards against a request that the pool sends again by itself: the upstream reads the whole request on a reused
// connection and closes the connection without a byte of an answer.
func TestReusedConnectionClosed(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "PUT", "DELETE", "POST"} {
		for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			t.Run(method+" "+key, func(t *testing.T) {
				is := is.New(t)
				r := newRig(t)
				_, result := r.send(context.Background(), request("before", ""))
				is.Equal(result.Outcome, cuminstair.OutcomeDone)
				r.instance.SetFaults(instance.Faults{Cut: &instance.Cut{Answer: true, Clean: true}})
				m := request("r1", "")
				m.Method = method
				m.Idempotent = true
				if key != "" {
					m.Header = map[string][]string{key: {"k1"}}
				}
				_, result = r.send(context.Background(), m)
				is.Equal(result.Outcome, cuminstair.OutcomeUnknown)
				is.Equal(result.Reason, cuminstair.ReasonBroken)
				is.Equal(r.instance.Runs("r1"), 1)
			})
		}
	}
}

// Guards against a request that is handed to a connection which the upstream has already closed.
func TestIdleConnectionClosed(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	_, result := r.send(context.Background(), request("before", ""))
	is.Equal(result.Outcome, cuminstair.OutcomeDone)
	r.instance.Disconnect()
	_, result = r.send(context.Background(), request("r1", ""))
	is.Equal(result.Outcome, cuminstair.OutcomeDone)
}

// Guards against reporting "not run" without proof, and against not reporting it when the upstream refused the request.
func TestRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	r.instance.SetFaults(instance.Faults{Refuse: true, Leaving: true})
	_, result := r.send(context.Background(), request("r1", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeNotRun)
	is.Equal(result.Reason, cuminstair.ReasonRefused)
	is.True(result.Leaving)
	is.Equal(r.instance.Runs("r1"), 0)

	r.instance.SetFaults(instance.Faults{Refuse: true, WrongID: true})
	_, result = r.send(context.Background(), request("r2", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeUnknown) // another request was refused
	is.Equal(result.Reason, cuminstair.ReasonMismatch)

	is.Equal(r.sender.Unused(r.upstream.Addr), 0)
	r.instance.SetFaults(instance.Faults{})
	_, _ = r.send(context.Background(), request("r4", "body"))
	bad := request("r5", "body")
	bad.Path = "/%"
	_, result = r.send(context.Background(), bad)
	is.Equal(result, cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonMalformed})
	is.Equal(r.sender.Unused(r.upstream.Addr), 1) // the connection is still usable after a malformed request

	r.upstream.Addr = "127.0.0.1:1" // nobody listens
	_, result = r.send(context.Background(), request("r3", "body"))
	is.Equal(result.Outcome, cuminstair.OutcomeNotRun)
	is.Equal(result.Reason, cuminstair.ReasonNoUpstream)
}
