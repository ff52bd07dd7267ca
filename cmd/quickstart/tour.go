package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/local"
)

// errUnexpected means that the system did not behave as this program expects.
const errUnexpected = errors.ConstError("unexpected outcome")

// demo runs the steps of the demonstration.
type demo struct {
	system *local.System
	ticket string
}

// response is the part of an HTTP response that the steps check and print.
type response struct {
	outcome, reason, request string
	body                     string
}

func (t *demo) daemon(name string) *local.Daemon { return t.system.Daemons[name] }

// apply applies the fleet through one daemon and waits until it is in force in all three daemons.
func (t *demo) apply(ctx context.Context) error {
	a, err := local.NewApplyRequest(t.system.Fleet(), 0)
	if err != nil {
		return err
	}
	ops := t.daemon("north-e1").Operators()
	accepted, err := ops.Apply(ctx, a)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if err := t.system.Ready(); err != nil {
		return err
	}
	var force cuminstair.ForceStatus
	err = t.system.Await(func() bool {
		force, err = ops.Force(ctx, accepted.Generation)
		return err == nil && len(force.Missing) == 0 && len(force.Confirmed) == 3
	})
	if err != nil {
		return fmt.Errorf("wait until the fleet is in force: %w", err)
	}
	fmt.Printf("fleet accepted as generation %d, in force in %v\n", accepted.Generation, force.Confirmed)
	return nil
}

// serve sends a request and prints the decisions that daemons made for it.
func (t *demo) serve(ctx context.Context) error {
	d := t.daemon("north-e1")
	a, err := call(ctx, d.Callers(), "measure", "", "3 cups of flour")
	if err != nil {
		return err
	}
	if err := checkOutcome(a, "done"); err != nil {
		return err
	}
	fmt.Printf("request %s: outcome %s, answer %q\n", a.request, a.outcome, a.body)
	e, err := d.Operators().Explain(ctx, "request", a.request)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	for _, c := range e.Decisions {
		fmt.Printf("  decision: %s chose %s (%s): %s\n", c.Part, c.Choice, c.Reason, c.Detail)
	}
	return nil
}

// repeat sends a non-idempotent request twice under one ticket, through daemons of two data centres.
func (t *demo) repeat(ctx context.Context) error {
	var err error
	if t.ticket, err = takeTicket(ctx, t.daemon("north-e2").Callers()); err != nil {
		return err
	}
	for _, name := range []string{"north-e2", "south-e1"} {
		a, err := call(ctx, t.daemon(name).Callers(), "order", t.ticket, "one calf skin")
		if err != nil {
			return err
		}
		if err := checkOutcome(a, "done"); err != nil {
			return err
		}
		fmt.Printf("order under a ticket through %s: outcome %s, answer %q\n", name, a.outcome, a.body)
	}
	return t.checkRanOnce()
}

// checkRanOnce checks that the order ran once: together with the request of serve, the instances have run two requests.
func (t *demo) checkRanOnce() error {
	total := 0
	for _, i := range t.system.Instances {
		total += i.Total()
	}
	if total != 2 {
		return fmt.Errorf("the instances ran %d requests, not 2: %w", total, errUnexpected)
	}
	fmt.Println("  the instances ran it once")
	return nil
}

// sendUnknownKind sends a request of an undeclared kind, which is refused.
func (t *demo) sendUnknownKind(ctx context.Context) error {
	a, err := call(ctx, t.daemon("south-e1").Callers(), "polish", "", "")
	if err != nil {
		return err
	}
	if err := checkOutcome(a, "notrun"); err != nil {
		return err
	}
	fmt.Printf("wrong request: outcome %s, reason %s: %s\n", a.outcome, a.reason, strings.TrimSpace(a.body))
	return nil
}

// stopHome stops the home of the ticket, which is the daemon that issued it and keeps its outcome. It checks that the
// successor of that daemon still has the outcome.
func (t *demo) stopHome(ctx context.Context) error {
	if err := t.daemon("north-e2").Stop(); err != nil {
		return fmt.Errorf("stop north-e2: %w", err)
	}
	var a response
	err := t.system.Await(func() bool {
		var err error
		a, err = call(ctx, t.daemon("south-e1").Callers(), "order", t.ticket, "one calf skin")
		return err == nil && a.outcome == "done"
	})
	if err != nil {
		return fmt.Errorf("repeat after the stop: outcome %s: %w", a.outcome, err)
	}
	fmt.Printf("repeat after north-e2 stopped: outcome %s from its successor\n", a.outcome)
	return t.checkRanOnce()
}

func checkOutcome(a response, outcome string) error {
	if a.outcome != outcome {
		return fmt.Errorf("outcome %s, reason %s, %q: %w", a.outcome, a.reason, a.body, errUnexpected)
	}
	return nil
}

func call(ctx context.Context, base, kind, ticket, body string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/s/convert/cups", strings.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("create a request: %w", err)
	}
	req.Header.Set("Team", "stylists")
	req.Header.Set("Kind", kind)
	req.Header.Set("Deadline", "3s")
	if ticket != "" {
		req.Header.Set("Ticket", ticket)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("send a request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, fmt.Errorf("read a response: %w", err)
	}
	h := resp.Header
	return response{outcome: h.Get("Outcome"), reason: h.Get("Reason"), request: h.Get("Request"), body: string(data)}, nil
}

func takeTicket(ctx context.Context, base string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/tickets?count=1", http.NoBody)
	if err != nil {
		return "", fmt.Errorf("create a request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", fmt.Errorf("request a ticket: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || len(out.Tickets) != 1 {
		return "", fmt.Errorf("read the ticket: %w: %w", err, errUnexpected)
	}
	return out.Tickets[0], nil
}
