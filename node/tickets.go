package node

import (
	"context"
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ticket"
)

var _ cuminstair.Tickets = (*Tickets)(nil)

// ErrNoTickets means that no ticket may be issued now.
const ErrNoTickets = errors.ConstError("no tickets are issued now")

// Tickets serves tickets from the store of this daemon and forwards requests under tickets of other daemons. Exported
// fields are set before the first call. It is safe for concurrent use.
type Tickets struct {
	Timer   cuminstair.Timer
	Log     hclog.Logger
	Key     ticket.Key
	Store   *ticket.Store
	Members ticket.Members
	Peers   cuminstair.Peers

	mu      sync.Mutex
	runs    map[*cuminstair.Message]claim
	waiters map[serial][]chan *cuminstair.Message
}

// serial identifies a ticket.
type serial struct {
	home     ticket.Home
	sequence uint64
}

// claim is a run that the store has allowed, with its ticket.
type claim struct {
	ticket ticket.Ticket
	run    uint64
}

func serialOf(t ticket.Ticket) serial { return serial{home: t.Home, sequence: t.Sequence} }

// Begin implements cuminstair.Tickets.
func (t *Tickets) Begin(ctx context.Context, m *cuminstair.Message) *cuminstair.Message {
	tk, err := t.Key.Parse(m.Ticket)
	if err != nil {
		return reply(m, cuminstair.OutcomeNotRun, cuminstair.ReasonMalformed, err.Error())
	}
	place, home := t.route(tk)
	switch place {
	case ticket.PlaceHere:
	case ticket.PlaceForward:
		return t.forward(ctx, home, m)
	default:
		return goneReply(m)
	}
	verdict, waiting := t.claim(tk, m)
	switch verdict.Action {
	case ticket.ActionRun:
		return nil
	case ticket.ActionWait:
		return awaitReply(ctx, m, waiting)
	case ticket.ActionForward:
		return t.forward(ctx, verdict.Successor, m)
	default:
		return storedReply(m, verdict)
	}
}

func (t *Tickets) route(tk ticket.Ticket) (ticket.Place, ticket.Home) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Store.Route(tk, t.Members)
}

// claim checks with the store whether m may run, and records the run if so. If a run under the ticket is in progress, the
// channel delivers its answer.
func (t *Tickets) claim(tk ticket.Ticket, m *cuminstair.Message) (ticket.Verdict, <-chan *cuminstair.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.Store.Begin(t.Timer.Now(), tk, ticket.HashOf(m))
	switch v.Action {
	case ticket.ActionRun:
		if t.runs == nil {
			t.runs = map[*cuminstair.Message]claim{}
		}
		t.runs[m] = claim{ticket: tk, run: v.Run}
	case ticket.ActionWait:
		if t.waiters == nil {
			t.waiters = map[serial][]chan *cuminstair.Message{}
		}
		ch := make(chan *cuminstair.Message, 1)
		t.waiters[serialOf(tk)] = append(t.waiters[serialOf(tk)], ch)
		return v, ch
	default:
	}
	return v, nil
}

// End implements cuminstair.Tickets.
func (t *Tickets) End(m, answer *cuminstair.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.runs[m]
	if !ok {
		return
	}
	delete(t.runs, m)
	if !t.Store.End(t.Timer.Now(), c.ticket, c.run, answer.Outcome, answer.Reason, answer) {
		t.Log.Warn("outcome arrived after the ticket hand-over", "request", m.ID, "outcome", answer.Outcome)
	}
	for _, ch := range t.waiters[serialOf(c.ticket)] {
		ch <- answer
	}
	delete(t.waiters, serialOf(c.ticket))
}

// Issue implements cuminstair.Tickets. It may return fewer than count tickets.
func (t *Tickets) Issue(count int) ([]string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	issued := t.Store.Issue(t.Timer.Now(), count)
	if len(issued) == 0 {
		return nil, fmt.Errorf("issue %d tickets: %w", count, ErrNoTickets)
	}
	texts := make([]string, len(issued))
	for i, tk := range issued {
		texts[i] = t.Key.Text(tk)
	}
	return texts, nil
}

// Lookup implements cuminstair.Tickets.
func (t *Tickets) Lookup(ctx context.Context, text string) *cuminstair.Message {
	m := &cuminstair.Message{Ticket: text, Method: lookupMethod, ID: "lookup", Timeout: lookupTimeout}
	tk, err := t.Key.Parse(text)
	if err != nil {
		return reply(m, cuminstair.OutcomeNotRun, cuminstair.ReasonMalformed, err.Error())
	}
	place, home := t.route(tk)
	switch place {
	case ticket.PlaceHere:
		t.mu.Lock()
		v := t.Store.Lookup(t.Timer.Now(), tk)
		t.mu.Unlock()
		if v.Action == ticket.ActionForward {
			return t.forward(ctx, v.Successor, m)
		}
		return storedReply(m, v)
	case ticket.PlaceForward:
		return t.forward(ctx, home, m)
	default:
		return goneReply(m)
	}
}

// forward sends a request to the daemon that keeps its ticket: the home daemon or a successor. If that daemon can't be
// reached, the outcome is unknown, because an earlier request under the ticket may have run.
func (t *Tickets) forward(ctx context.Context, home ticket.Home, m *cuminstair.Message) *cuminstair.Message {
	answer := t.Peers.Forward(ctx, home.Name, m)
	if answer.Outcome == cuminstair.OutcomeNotRun && answer.Reason == cuminstair.ReasonNoUpstream {
		return goneReply(m)
	}
	return answer
}

// Expire frees the memory of expired tickets.
func (t *Tickets) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Store.Expire(t.Timer.Now())
}

func awaitReply(ctx context.Context, m *cuminstair.Message, ch <-chan *cuminstair.Message) *cuminstair.Message {
	select {
	case answer := <-ch:
		kept := *answer
		kept.ID = m.ID
		return &kept
	case <-ctx.Done():
		return reply(m, cuminstair.OutcomeUnknown, cuminstair.ReasonDeadline, "the request under this ticket is still running")
	}
}

// storedReply returns the answer that the store keeps, or a reply with the stored outcome if it keeps no answer.
func storedReply(m *cuminstair.Message, v ticket.Verdict) *cuminstair.Message {
	if v.Answer == nil {
		return reply(m, v.Outcome, v.Reason, "the outcome of the request under this ticket")
	}
	kept := *v.Answer
	kept.ID = m.ID
	return &kept
}

func goneReply(m *cuminstair.Message) *cuminstair.Message {
	v := ticket.Gone()
	return reply(m, v.Outcome, v.Reason, "the home daemon of the ticket is gone; ask the service whether the request took effect")
}

// Import takes over the tickets of another daemon.
func (t *Tickets) Import(h *ticket.Handover) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Store.Import(t.Timer.Now(), h)
}

// Export stops the use of tickets by this daemon and returns all tickets encoded for a successor. Runs in progress end
// with an unknown outcome.
func (t *Tickets) Export(to ticket.Home) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, err := t.Store.Export(t.Timer.Now(), to)
	if err != nil {
		return nil, fmt.Errorf("export tickets: %w", err)
	}
	return h.Encode()
}

// Redirect sets another successor after a hand-over that is known not to have been imported.
func (t *Tickets) Redirect(to ticket.Home) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Store.Redirect(to)
}
