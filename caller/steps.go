package caller

import (
	"context"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/retry"
)

// check compares the request with the fleet.
func (x *exchange) check(_ context.Context) event {
	if fault := x.fault(); fault != nil {
		return x.refuse(*fault)
	}
	x.checked = true
	kind := x.service.kinds[x.message.Kind]
	x.message.Idempotent = kind.Idempotent
	x.request.Idempotent = kind.Idempotent
	x.request.Urgency = kind.Urgency
	return eventNext
}

// claim asks the ticket hook whether the request has to run here.
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

// charge takes the request from the quota of its team. A spilled request was charged by the daemon that sent it.
func (x *exchange) charge(_ context.Context) event {
	if x.message.Spilled {
		return eventNext
	}
	after, ok := x.Decisions.charge(x.now, x.message.Team)
	if !ok {
		text := fmt.Sprintf("team %s is over its quota", x.message.Team)
		return x.refuse(Refusal{Reason: cuminstair.ReasonQuota, After: after, Text: text})
	}
	return eventNext
}

// admit asks admission for a place.
func (x *exchange) admit(_ context.Context) event {
	if x.Fresh != nil && !x.Fresh() {
		return x.elsewhere(Refusal{Reason: cuminstair.ReasonStale, Text: "the view of the hosts is too old for new work"})
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
		return x.elsewhere(Refusal{Reason: verdict.Reason, After: verdict.After, Text: text})
	}
}

// wait waits in the queue for a place. A caller that leaves and a daemon that stops take the request out of it.
func (x *exchange) wait(ctx context.Context) event {
	queued := x.queued
	x.queued = nil
	defer func() { x.now = x.Timer.Now() }()
	var why Refusal
	select {
	case verdict := <-queued:
		if verdict.Run {
			x.admitted = true
			return eventNext
		}
		return x.refuse(Refusal{Reason: verdict.Reason, After: verdict.After, Text: "the request can't finish before its deadline"})
	case <-ctx.Done():
		why = Refusal{Reason: cuminstair.ReasonLate, Text: "the deadline passed in the queue"}
	case <-x.left.Done():
		why = Refusal{Reason: cuminstair.ReasonLate, Text: "the caller left"}
	case <-x.Stopping:
		why = Refusal{Reason: cuminstair.ReasonStopping, Text: "this daemon is stopping"}
	}
	x.Decisions.cancel(x.request, queued)
	return x.refuse(why)
}

// pick reserves a place at an upstream.
func (x *exchange) pick(ctx context.Context) event {
	if ctx.Err() != nil {
		return x.refuse(Refusal{Reason: cuminstair.ReasonLate, Text: "the deadline passed before the request was sent"})
	}
	x.picked = x.Decisions.pick(x.now, x.message.Service, x.avoid)
	if x.picked.Upstream == nil {
		text := fmt.Sprintf("no upstream of service %s may take new work", x.message.Service)
		return x.elsewhere(Refusal{Reason: x.picked.Reason, Text: text})
	}
	x.record(x.picked.Upstream.Host, x.picked.Reason, x.inputs())
	return eventNext
}

// inputs describes what the choice of an upstream was based on.
func (x *exchange) inputs() string {
	r := x.request
	detail := "service " + r.Service + " kind " + r.Kind + " team " + r.Team + " addr " + x.picked.Upstream.Addr
	if r.Attempt > 0 {
		detail += fmt.Sprintf(" attempt %d avoiding %s", r.Attempt, x.avoid)
	}
	return detail
}

// send makes one attempt and gives the place at the upstream back.
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
		x.mayRun = true
	}
	text := fmt.Sprintf("the attempt at host %s ended as %s", x.avoid, result.Outcome)
	return x.refuse(Refusal{Reason: result.Reason, Text: text})
}

// decide sends the request again if that is safe and within the retry budget.
func (x *exchange) decide(ctx context.Context) event {
	if !retry.May(x.request, x.last) || ownFault(x.last) || ctx.Err() != nil || x.streamed {
		return x.verdict()
	}
	backoff, ok := x.Decisions.retry(x.now, x.request, x.service.Pool)
	if !ok {
		x.record("no retry", cuminstair.ReasonBudget, string(x.answer.Body))
		return x.verdict()
	}
	x.request.Attempt++
	waited := x.pause(ctx, backoff)
	x.now = x.Timer.Now()
	if !waited {
		return x.verdict()
	}
	return eventAgain
}

// verdict is the event that ends a request without another attempt.
func (x *exchange) verdict() event {
	if x.mayRun {
		return eventLost
	}
	return eventRefused
}

// pause waits for the backoff and returns false if the request ended before.
func (x *exchange) pause(ctx context.Context, d time.Duration) bool {
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

// elsewhere sends the request to another data centre if that is possible, and refuses it otherwise.
func (x *exchange) elsewhere(r Refusal) event {
	happened := x.refuse(r)
	if x.Spill == nil || x.message.Spilled || x.mayRun {
		return happened
	}
	return eventSpill
}

// spill sends the request to another data centre. The answer of elsewhere stays if none takes it.
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
