package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/upstream"
)

// Guards against accepting answers that are truncated or belong to another request, and against extra bytes after an
// answer that are taken for the start of the next one.
func TestFaultyAnswers(t *testing.T) {
	for fault, want := range map[string]cuminstair.Result{
		"wrong":    {Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonMismatch},
		"truncate": {Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonBroken},
		"extra":    {Outcome: cuminstair.OutcomeDone, Reason: cuminstair.ReasonOK},
	} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			m := request("r1", "own body")
			m.Header = map[string][]string{instance.FaultHeader: {fault}}
			_, result := r.send(context.Background(), m)
			is.Equal(result, want)
			answer, result := r.send(context.Background(), request("r2", "next body"))
			is.Equal(result.Outcome, cuminstair.OutcomeDone)
			is.Equal(string(answer.Body), "next body")
		})
	}
}

// Guards against accepting an answer without a length, whose end can't be distinguished from a broken connection, and
// against interim answers that are taken for the final one.
func TestRawAnswers(t *testing.T) {
	for raw, want := range map[string]cuminstair.Outcome{
		"HTTP/1.1 200 OK\r\nRequest: r1\r\n\r\nhalf":                                                    cuminstair.OutcomeUnknown,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 2\r\n\r\nok": cuminstair.OutcomeDone,
	} {
		is := is.New(t)
		r := newRig(t)
		r.instance.Raw = raw
		answer, result := r.send(context.Background(), request("r1", ""))
		is.Equal(result.Outcome, want)
		is.Equal(answer != nil, want == cuminstair.OutcomeDone)
		is.True(answer == nil || string(answer.Body) == "ok")
	}
}

// Guards against long answers that are buffered without bound, cut short, or taken for complete after an early end.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", upstream.MaxBody/16+1)
	for _, chunked := range []bool{false, true} {
		is := is.New(t)
		r := newRig(t)
		r.instance.Answer = func(*http.Request, []byte) []byte { return []byte(long) }
		r.instance.Chunked = chunked
		m := request("r1", "")
		_, result := r.send(context.Background(), m)
		is.Equal(result.Outcome, cuminstair.OutcomeUnknown) // the message has no sink

		var got bytes.Buffer
		m.Sink = func(head *cuminstair.Message) (io.Writer, error) {
			is.Equal(head.Status, http.StatusOK)
			return &got, nil
		}
		answer, result := r.send(context.Background(), m)
		is.Equal(result.Outcome, cuminstair.OutcomeDone)
		is.Equal(len(answer.Body), 0)
		is.True(got.String() == long)

		r.instance.SetFaults(instance.Faults{Cut: &instance.Cut{Answer: true, After: int64(len(long))}})
		got.Reset()
		_, result = r.send(context.Background(), m)
		is.Equal(result.Outcome, cuminstair.OutcomeUnknown)

		m.Sink = func(*cuminstair.Message) (io.Writer, error) { return nil, errors.New("the caller left") }
		r.instance.SetFaults(instance.Faults{})
		_, result = r.send(context.Background(), m)
		is.Equal(result.Outcome, cuminstair.OutcomeUnknown)
	}
}
