package exhaust

import (
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Times of calls.
const (
	callTimeout = 800 * time.Millisecond // of the caller, plus the time for which a renewal waits
	lateFrom    = 2 * time.Second        // after it was sent, a call without an answer may be carried out
)

type callState uint8

const (
	callSent    callState = iota // it is on its way
	callWaiting                  // a renewal that waits at the worker for an end
	callKept                     // it has been carried out, and its answer waits
	callLost                     // its caller has got no answer, and it has not been carried out
	callOver
)

// call is an order on its way.
type call struct {
	number      int // in the order in which the calls were sent
	owner       *owner
	order       dispatch.Order
	sent        time.Time
	state       callState
	held        bool      // it is not carried out while time passes
	incarnation int64     // that it has reached; of a lost call, the one that was up when its caller gave up
	answerAt    time.Time // of a renewal that waits
	answer      cuminstair.WorkerReport
	err         error
}

// send puts an order on its way.
func (x *world) send(o *owner, order dispatch.Order) {
	x.lastCall++
	if order.Kind == dispatch.OrderStart {
		x.starts[order.Task] = sentStart{owner: o, addr: order.Worker.Addr, run: order.Run, sentAt: x.now}
	}
	x.newOrders = x.newOrders || order.Kind == dispatch.OrderStart || order.Kind == dispatch.OrderStop
	x.calls = append(x.calls, &call{number: x.lastCall, owner: o, order: order, sent: x.now})
	if x.trace != nil {
		x.notef("call %d: %s", x.lastCall, describe(&order))
	}
}

// limit returns when the caller gives up.
func (c *call) limit() time.Time { return c.sent.Add(callTimeout + c.order.Wait) }

// reachedBy reports whether calls of an owner reach a worker's address.
func (w *worker) reachedBy(o *owner) bool { return !w.cut && (!w.parted || !o.holds()) }

// progressCalls carries out and answers the calls that no event keeps from it.
func (x *world) progressCalls() {
	for _, c := range slices.Clone(x.calls) {
		w := x.find(c.order.Worker.Addr)
		switch {
		case c.state == callSent && !c.held && w.reachedBy(c.owner):
			x.progressSent(w, c)
		case c.state == callWaiting && w.up && w.incarnation == c.incarnation && (len(w.ends) > 0 || !x.now.Before(c.answerAt)):
			withheld := c.answer.AckWithheld
			c.answer, c.state = x.report(w), callKept
			c.answer.AckWithheld = withheld
			if w.reachedBy(c.owner) && !c.held {
				x.answerCall(c)
			}
		}
		if c.state < callLost && !x.now.Before(c.limit()) {
			x.giveUp(c)
		}
	}
	x.dropCalls()
}

// progressSent carries out and answers a call that has reached the address of its worker.
func (x *world) progressSent(w *worker, c *call) {
	switch {
	case w.up:
		x.carryOutCall(w, c)
	case x.opts.Refuse:
		c.answer, c.err, c.state = cuminstair.WorkerReport{}, fmt.Errorf("%w: %w", cuminstair.ErrNotDone, cuminstair.ErrConnRefused), callKept
	}
	x.answerCall(c)
}

// mayBeLate reports whether a call may still be carried out although its caller has given up.
func (x *world) mayBeLate(c *call) bool {
	w := x.find(c.order.Worker.Addr)
	return x.opts.Late.has(c.order.Kind) && x.now.Before(c.sent.Add(x.opts.LateUntil)) && w.id == c.order.Worker.ID &&
		(x.opts.LateAcross || w.up && w.incarnation == c.incarnation)
}

// dropCalls forgets the calls that can have no effect any more.
func (x *world) dropCalls() {
	x.calls = slices.DeleteFunc(x.calls, func(c *call) bool {
		return c.state == callOver || c.state == callLost && !x.mayBeLate(c)
	})
}

// carryOutCall carries a call out at a worker that is up.
func (x *world) carryOutCall(w *worker, c *call) {
	rep, done, err := x.carryOut(w, &c.order)
	c.answer, c.err, c.state = rep, err, callKept
	if !done && err == nil {
		c.state, c.incarnation, c.answerAt = callWaiting, w.incarnation, x.now.Add(c.order.Wait)
	}
	if c.order.Kind != dispatch.OrderRenew || err != nil {
		x.notef("call %d is carried out: %v", c.number, err)
	}
}

// answerCall passes the answer to the owner.
func (x *world) answerCall(c *call) {
	if c.state != callKept {
		return
	}
	c.state = callOver
	c.owner.answered(c, c.answer, c.err)
}

// startEnded records that an owner of the service has got the answer to a start or knows of its run, or that it knows that there is
// no answer.
func (x *world) startEnded(o *owner, task cuminstair.TaskID, run int64, answered bool) {
	if s := x.starts[task]; s.run == run && o.holds() {
		s.answered, s.failed = s.answered || answered, s.failed || !answered
		x.starts[task] = s
	}
}

// giveUp tells the caller that there is no answer.
func (x *world) giveUp(c *call) {
	x.notef("call %d has no answer", c.number)
	w := x.find(c.order.Worker.Addr)
	if c.state == callSent && (w.up || x.opts.LateAcross) {
		c.state, c.incarnation = callLost, w.incarnation
	} else {
		c.state = callOver
	}
	c.owner.answered(c, cuminstair.WorkerReport{}, cuminstair.ErrUncertain)
}
