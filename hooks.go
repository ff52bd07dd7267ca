package cuminstair

import "context"

// Tickets makes retried requests idempotent: a ticket is an idempotency key, under which the outcome of a request is
// stored (section 5.2 of docs/design.md). Tickets is called by the request path; it is nil in a daemon without tickets.
// Implementations are safe for concurrent use.
type Tickets interface {
	// Begin claims the ticket of a request. It returns nil if the request has to run here; the caller must then
	// call End once. Otherwise it returns the stored outcome. If another daemon is the home of the ticket and stores
	// the outcome, Begin requests it there and waits for it until ctx ends.
	Begin(ctx context.Context, m *Message) *Message
	// End stores the outcome of a request that Begin allowed to run.
	End(m, answer *Message)
	// Issue returns count new tickets whose home is this daemon.
	Issue(count int) ([]string, error)
	// Lookup returns the stored outcome of a ticket. If the home of the ticket is another daemon, it requests the outcome
	// there.
	Lookup(ctx context.Context, ticket string) *Message
}

// Spill forwards a request to a daemon of another data centre, which applies its own admission limits. It returns nil
// if no other data centre may take the request. Implementations are safe for concurrent use.
type Spill interface {
	Spill(ctx context.Context, m *Message) *Message
}
