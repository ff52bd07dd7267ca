package caller_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// fakeHooks is a ticket store with one outcome, and a data centre that accepts every spilled request.
type fakeHooks struct {
	stored  *cuminstair.Message
	ended   []string // outcomes passed to End
	spilled int
}

func (h *fakeHooks) Begin(context.Context, *cuminstair.Message) *cuminstair.Message { return h.stored }

func (h *fakeHooks) End(_, answer *cuminstair.Message) {
	h.ended = append(h.ended, answer.Outcome.String())
}

func (h *fakeHooks) Issue(int) ([]string, error) { return []string{"ticket"}, nil }

func (h *fakeHooks) Lookup(context.Context, string) *cuminstair.Message { return h.stored }

func (h *fakeHooks) Spill(_ context.Context, m *cuminstair.Message) *cuminstair.Message {
	h.spilled++
	return &cuminstair.Message{ID: m.ID, Status: http.StatusOK, Outcome: cuminstair.OutcomeDone}
}

// Guards against a repeated request that runs again, an outcome that is stored twice or not at all, and a request with a
// ticket that is cancelled because its caller disconnected.
func TestTicketHook(t *testing.T) {
	is := is.New(t)
	r := newRig(t, done)
	h := &fakeHooks{stored: &cuminstair.Message{Status: 200, Outcome: cuminstair.OutcomeDone, Body: []byte("kept")}}
	r.server.Path.Tickets = h
	is.Equal(r.do(context.Background(), "portion", "Ticket", "x").Body.String(), "kept")
	is.Equal(len(r.sender.hosts), 0)
	is.Equal(len(h.ended), 0)

	h.stored = nil
	is.Equal(r.do(context.Background(), "portion", "Ticket", "x").Body.String(), "body")
	is.Equal(h.ended, []string{"done"})

	ctx, disconnect := context.WithCancel(context.Background())
	ended := r.hold(ctx, "Ticket", "x")
	disconnect()
	is.NoErr(r.sender.ctx.Err()) // the request continues without its caller, because it has a ticket
	r.clock.Advance(r.limit)
	is.Equal((<-ended).Header().Get("Reason"), "deadline")
	is.Equal(h.ended, []string{"done", "unknown"})
	r.checkIdle(is)
}

// Guards against a request that is sent to another data centre although it may have run, or that is sent on twice.
func TestSpillHook(t *testing.T) {
	is := is.New(t)
	r := newRig(t, unknown)
	h := &fakeHooks{}
	r.server.Path.Spill = h
	r.slots.full = true
	is.Equal(r.do(context.Background(), "portion").Header().Get("Outcome"), "done")
	is.Equal(h.spilled, 1)
	spilled := &cuminstair.Message{ID: "s1", Service: "scale", Kind: "portion", Team: "t1", Timeout: r.limit, Spilled: true}
	is.Equal(r.server.Path.Do(context.Background(), spilled).Outcome, cuminstair.OutcomeNotRun)
	r.slots.full = false
	r.slots.noRetry = true // no upstream after the first attempt
	is.Equal(r.do(context.Background(), "convert").Header().Get("Outcome"), "unknown")
	is.Equal(h.spilled, 1)
	r.checkIdle(is)
}
