package caller

import (
	"context"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/retry"
)

// check checks the request against the fleet.
func (x *exchange) check(_ context.Context) event {
	if refusal := x.validate(); refusal != nil {
		return x.refuse(*refusal)
	}
	x.checked = true
	kind := x.service.kinds[x.message.Kind]
	x.message.Idempotent = kind.Idempotent
	x.request.Idempotent = kind.Idempotent
	x.request.Urgency = kind.Urgency
	return eventNext
}

// claim claims the ticket of the request, if it has one. Tickets.Begin returns nil if the request has to run here.
func (x *exchange) claim(ctx context.Context) event {
	if x.message.Ticket == "" {
		return eventNext
	}
	if x.Tickets == nil {
		return x.refuse(Refusal{Reason: cuminstair.ReasonMalformed, Text: "this daemon issues no tickets; leave out the header Ticket"})
	}
	x.answer = x.Tickets.Begin(ctx, x.message)
	x.now = x.Timer.Now()
	if x.answer == nil {
		x.claimed = true
		return eventNext
	}
	return outcomeEvent(x.answer.Outcome)
}

// charge charges the request to the quota of its team. A request from another data centre was charged by the daemon
// that sent it.
func (x *exchange) charge(_ context.Context) event {
	if x.message.Spilled {
		return eventNext
	}
	after, ok := x.Decisions.charge(x.now, x.message.Team)
	if !ok {
		text := fmt.Sprintf("team %s is over its quota", x.message.Team)
		return x.refuse(Refusal{Reason: cuminstair.ReasonQuota, RetryAfter: after, Text: text})
	}
	return eventNext
}

// admit requests a slot from admission.
func (x *exchange) admit(_ context.Context) event {
	if x.Fresh != nil && !x.Fresh() {
		return x.spillOrRefuse(Refusal{Reason: cuminstair.ReasonStale, Text: "the view of the hosts is too old for new work"})
	}
	verdict, queued := x.Decisions.offer(x.now, x.request)
	switch {
	case verdict.Run:
		x.admitted = true
		return eventNext
	case verdict.Wait:
		x.queued = queued
		return eventWait
	default:
		text := fmt.Sprintf("service %s has no place for kind %s", x.message.Service, x.message.Kind)
		return x.spillOrRefuse(Refusal{Reason: verdict.Reason, RetryAfter: verdict.After, Text: text})
	}
}

// wait waits in the queue for an admission slot. The request is removed from the queue when its deadline passes, its
// caller disconnects or the daemon stops.
func (x *exchange) wait(ctx context.Context) event {
	queued := x.queued
	x.queued = nil
	defer func() { x.now = x.Timer.Now() }()
	var refusal Refusal
	select {
	case verdict := <-queued:
		if verdict.Run {
			x.admitted = true
			return eventNext
		}
		return x.refuse(Refusal{
			Reason: verdict.Reason, RetryAfter: verdict.After, Text: "the request can't finish before its deadline",
		})
	case <-ctx.Done():
		refusal = Refusal{Reason: cuminstair.ReasonLate, Text: "the deadline passed in the queue"}
	case <-x.callerCtx.Done():
		refusal = Refusal{Reason: cuminstair.ReasonLate, Text: "the caller left"}
	case <-x.Stopping:
		refusal = Refusal{Reason: cuminstair.ReasonStopping, Text: "this daemon is stopping"}
	}
	x.Decisions.cancel(x.request, queued)
	return x.refuse(refusal)
}

// pick reserves a slot at an upstream.
func (x *exchange) pick(ctx context.Context) event {
	if ctx.Err() != nil {
		return x.refuse(Refusal{Reason: cuminstair.ReasonLate, Text: "the deadline passed before the request was sent"})
	}
	x.picked = x.Decisions.pick(x.now, x.message.Service, x.avoid)
	if x.picked.Upstream == nil {
		text := fmt.Sprintf("no upstream of service %s may take new work", x.message.Service)
		return x.spillOrRefuse(Refusal{Reason: x.picked.Reason, Text: text})
	}
	x.record(x.picked.Upstream.Host, x.picked.Reason, x.inputs())
	return eventNext
}

// inputs describes the inputs of the choice of an upstream.
func (x *exchange) inputs() string {
	r := x.request
	detail := "service " + r.Service + " kind " + r.Kind + " team " + r.Team + " addr " + x.picked.Upstream.Addr
	if r.Attempt > 0 {
		detail += fmt.Sprintf(" attempt %d avoiding %s", r.Attempt, x.avoid)
	}
	return detail
}

// send makes one attempt and releases the slot at the upstream.
func (x *exchange) send(ctx context.Context) event {
	x.message.Timeout = x.request.Deadline.Sub(x.now)
	answer, result := x.Sender.Send(ctx, x.picked.Upstream, x.message)
	result.Kind = x.message.Kind
	x.now = x.Timer.Now()
	x.last = result
	x.avoid = x.picked.Upstream.Host
	x.Decisions.release(x.now, x.picked, x.request, x.service.Pool, result)
	x.picked = cuminstair.Pick{}
	if result.Outcome == cuminstair.OutcomeDone {
		x.answer = answer
		return eventDone
	}
	if result.Outcome == cuminstair.OutcomeUnknown {
		x.mayHaveRun = true
	}
	text := fmt.Sprintf("the attempt at host %s ended as %s", x.avoid, result.Outcome)
	return x.refuse(Refusal{Reason: result.Reason, Text: text})
}

// decide starts another attempt if that is safe and within the retry budget.
func (x *exchange) decide(ctx context.Context) event {
	if !retry.Allowed(x.request, x.last) || ownFault(x.last) || ctx.Err() != nil || x.streamed {
		return x.endEvent()
	}
	backoff, ok := x.Decisions.retry(x.now, x.request, x.service.Pool)
	if !ok {
		x.record("no retry", cuminstair.ReasonBudget, string(x.answer.Body))
		return x.endEvent()
	}
	x.request.Attempt++
	waited := x.sleep(ctx, backoff)
	x.now = x.Timer.Now()
	if !waited {
		return x.endEvent()
	}
	return eventAgain
}

// endEvent returns the event that ends a request without another attempt.
func (x *exchange) endEvent() event {
	if x.mayHaveRun {
		return eventLost
	}
	return eventRefused
}

// sleep waits for the backoff. It returns false if ctx ended first.
func (x *exchange) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	passed := make(chan struct{})
	stop := x.Timer.After(d, func(time.Time) { close(passed) })
	defer stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}

// spillOrRefuse sets the refusal and returns the event for a request that this daemon can't run: eventSpill if it may
// be sent to another data centre.
func (x *exchange) spillOrRefuse(r Refusal) event {
	ev := x.refuse(r)
	if x.Spill == nil || x.message.Spilled || x.mayHaveRun {
		return ev
	}
	return eventSpill
}

// spill sends the request to another data centre. If no data centre accepts it, the refusal that is already
// set remains the answer.
func (x *exchange) spill(ctx context.Context) event {
	x.message.Timeout = x.request.Deadline.Sub(x.now)
	x.message.Spilled = true
	answer := x.Spill.Spill(ctx, x.message)
	x.now = x.Timer.Now()
	if answer == nil {
		return eventRefused
	}
	x.record("spill", cuminstair.ReasonSpill, string(x.answer.Reason))
	x.answer = answer
	return outcomeEvent(answer.Outcome)
}

func outcomeEvent(o cuminstair.Outcome) event {
	switch o {
	case cuminstair.OutcomeDone:
		return eventDone
	case cuminstair.OutcomeNotRun:
		return eventRefused
	default:
		return eventLost
	}
}
