package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Errors of an attempt.
const (
	errMismatch  = errors.ConstError("the answer carries the id of another request")
	errNoLength  = errors.ConstError("the answer has neither a length nor chunked encoding")
	errRefused   = errors.ConstError("the upstream did not run the request")
	errMalformed = errors.ConstError("the method or path of the request is malformed")
	errTooLong   = errors.ConstError("the answer is too long to buffer and the message has no sink")
)

// attempt is one request on one connection.
type attempt struct {
	pool    *pool
	conn    *conn
	message *cuminstair.Message
	began   time.Time
	leaving bool
	silent  atomic.Bool // a probe showed that the answer is lost, or MaxQuietTicks have passed

	// Guarded by pool.mu while the attempt is watched.
	quiet        time.Duration // quiet time of the host when the attempt began to be watched
	due          time.Time     // time of the next tick
	lastReceived int64         // conn.received at the last tick
	quietTicks   int           // quiet times since the last received byte
	misses       int           // consecutive probes that showed a loss
}

// run sends the request, reads the answer and releases the connection.
func (a *attempt) run(ctx context.Context) (*cuminstair.Message, cuminstair.Result) {
	a.began = a.pool.sender.Timer.Now()
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		a.conn.abort()
		close(aborted)
	})
	answer, reusable, err := a.exchange()
	keep := reusable && !a.silent.Load()
	if !stop() {
		// Wait until the abort has run: if it ran later, it would cut short the wait of pool.closeAndRelease.
		<-aborted
		keep = false
	}
	now := a.pool.sender.Timer.Now()
	r := a.result(ctx, now, err)
	a.pool.release(a.conn, now, keep)
	if err != nil {
		return nil, r
	}
	return answer, r
}

func (a *attempt) exchange() (answer *cuminstair.Message, reusable bool, err error) {
	writeErr := writeRequest(a.conn.bw, a.pool.addr, a.message)
	if writeErr != nil && a.conn.sent == 0 {
		return nil, errors.Is(writeErr, errMalformed), writeErr
	}
	// The answer is read even if the write failed part-way: the upstream may have refused the request before it read all
	// of it.
	defer a.watch()()
	answer, reusable, err = a.read()
	return answer, reusable && writeErr == nil, err
}

// result returns the result of the attempt. The outcome is "notrun" only if no byte was written to the connection or the
// upstream answered that it did not run the request.
func (a *attempt) result(ctx context.Context, now time.Time, err error) cuminstair.Result {
	r := cuminstair.Result{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonBroken, Leaving: a.leaving}
	if a.conn.sent > 0 {
		r.Latency = now.Sub(a.began)
	}
	switch {
	case err == nil:
		r.Outcome, r.Reason = cuminstair.OutcomeDone, cuminstair.ReasonOK
	case errors.Is(err, errRefused):
		r.Outcome, r.Reason = cuminstair.OutcomeNotRun, cuminstair.ReasonRefused
	case errors.Is(err, errMalformed):
		r.Outcome, r.Reason = cuminstair.OutcomeNotRun, cuminstair.ReasonMalformed
	case a.conn.sent == 0:
		r.Outcome, r.Reason = cuminstair.OutcomeNotRun, cuminstair.ReasonNoUpstream
	case errors.Is(err, errMismatch):
		r.Reason = cuminstair.ReasonMismatch
	case a.silent.Load():
		r.Reason = cuminstair.ReasonSilent
	case ctx.Err() != nil:
		r.Reason = cuminstair.ReasonDeadline
	}
	return r
}
