package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Errors of an answer.
const (
	errMismatch = errors.ConstError("the answer carries another request's id")
	errLength   = errors.ConstError("the answer does not tell its length")
	errRefused  = errors.ConstError("the upstream did not run the request")
	errPath     = errors.ConstError("the path of the request is malformed")
	errTooLong  = errors.ConstError("the answer is too long and nobody takes it in parts")
)

// attempt is one request on one connection.
type attempt struct {
	pool    *pool
	conn    *conn
	message *cuminstair.Message
	began   time.Time
	leaving bool
	left    atomic.Bool // the connection was found silent

	// Guarded by pool.mu while the attempt is watched.
	quiet  time.Duration
	due    time.Time // of the next tick
	seen   int64     // bytes received at the last tick
	ticks  int       // quiet times since then
	misses int       // probes in a row that showed a loss
}

// run sends the request, reads the answer and gives the connection back.
func (a *attempt) run(ctx context.Context) (*cuminstair.Message, cuminstair.Result) {
	a.began = a.pool.sender.Timer.Now()
	aborted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		a.conn.abort()
		close(aborted)
	})
	answer, reusable, err := a.exchange()
	keep := reusable && !a.left.Load()
	if !stop() {
		// An abort after this point would end the wait of pool.linger.
		<-aborted
		keep = false
	}
	now := a.pool.sender.Timer.Now()
	r := a.result(ctx, now, err)
	a.pool.give(a.conn, now, keep)
	if err != nil {
		return nil, r
	}
	return answer, r
}

func (a *attempt) exchange() (answer *cuminstair.Message, reusable bool, err error) {
	writeErr := writeRequest(a.conn.bw, a.pool.addr, a.message)
	if writeErr != nil && a.conn.sent == 0 {
		return nil, errors.Is(writeErr, errPath), writeErr
	}
	// After a write that broke off the answer is read nevertheless: the upstream may have refused the request before it
	// read all of it.
	defer a.watch()()
	answer, reusable, err = a.read()
	return answer, reusable && writeErr == nil, err
}

// result tells what became of the attempt. It is notrun only if no byte was handed to the connection or the
// upstream said so.
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
	case errors.Is(err, errPath):
		r.Outcome, r.Reason = cuminstair.OutcomeNotRun, cuminstair.ReasonMalformed
	case a.conn.sent == 0:
		r.Outcome, r.Reason = cuminstair.OutcomeNotRun, cuminstair.ReasonNoUpstream
	case errors.Is(err, errMismatch):
		r.Reason = cuminstair.ReasonMismatch
	case a.left.Load():
		r.Reason = cuminstair.ReasonSilent
	case ctx.Err() != nil:
		r.Reason = cuminstair.ReasonDeadline
	}
	return r
}
