package cuminstair

import "context"

// Tickets makes repeats of a request harmless (section 5.2 of docs/design.md). The request path calls it; a daemon
// without tickets leaves it nil. Implementations are safe for concurrent use.
type Tickets interface {
	// Begin claims the ticket of a request. It returns nil if the request has to run here, and the caller must then
	// call End once. Otherwise it returns the outcome that is kept, or that the home daemon of the ticket returned; it may
	// wait for it until ctx ends.
	Begin(ctx context.Context, m *Message) *Message
	// End keeps the outcome of a request that Begin allowed to run.
	End(m, answer *Message)
	// Issue returns new tickets of this daemon.
	Issue(count int) ([]string, error)
	// Lookup returns the outcome that is kept for a ticket, from its home daemon if that is another one.
	Lookup(ctx context.Context, ticket string) *Message
}

// Spill sends a request to a daemon of another data centre, which admits it under its own limits. It returns nil if no
// data centre may take it. Implementations are safe for concurrent use.
type Spill interface {
	Spill(ctx context.Context, m *Message) *Message
}
