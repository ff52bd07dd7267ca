package cuminstair

import (
	"context"
	"io"
	"time"
)

// Upstream is one service instance on a host, with the data that routing needs.
type Upstream struct {
	Host    string
	Service string
	Centre  string
	Rack    string
	Addr    string // IP address and port
	Slots   int    // declared concurrency limit; may be wrong by a factor of 5
	Conns   int    // connections that it accepts
}

// Load is the number of requests that one daemon has in flight at a host.
type Load struct {
	Host     string `cbor:"1,keyasint" json:"host"`
	Inflight int    `cbor:"2,keyasint" json:"inflight"`
}

// Pick is a reserved slot at an upstream. It is passed by value, so that routing needs no heap allocation.
type Pick struct {
	Upstream *Upstream // nil if nothing was picked
	Reason   Reason    // ReasonLocal, or why nothing was picked
	Index    int       // position in the router's table; for the router only
	Epoch    uint64    // version of the router's table; for the router only
}

// Result is the result of one attempt at an upstream.
type Result struct {
	Outcome Outcome
	Reason  Reason
	Latency time.Duration // from the first byte sent to the last byte received; 0 if nothing was sent
	Leaving bool          // the upstream announced that it is leaving
	Kind    string        // Kind.Name of the request; latencies of different kinds are not compared
}

// Router picks upstreams. Package route implements it.
type Router interface {
	// SetUpstreams replaces the upstreams of a service. Requests in flight keep their slots.
	SetUpstreams(service string, ups []Upstream)
	// SetState sets the state of a host. A host takes new work in HostActive, and a few requests in HostProbation.
	SetState(host string, state HostState)
	// SetRemote replaces the loads that one peer reported. An empty list removes the peer.
	SetRemote(peer string, loads []Load)
	// Pick reserves a slot at an upstream of the service. It never picks the host named avoid, which may be empty.
	Pick(now time.Time, service, avoid string) Pick
	// Release frees the slot; it must be called exactly once for each successful Pick.
	Release(now time.Time, p Pick, r Result)
	// Loads returns the number of this daemon's requests in flight for each host that has any.
	Loads() []Load
	// Capacity returns how many requests of a service this daemon may have in flight.
	Capacity(service string) int
}

// Verdict is an admission decision about a request.
type Verdict struct {
	Run    bool          // it may be sent now
	Wait   bool          // it is queued; a later SetCapacity, Finish or Expire returns it
	Reason Reason        // why it was refused
	After  time.Duration // suggested delay before a retry; 0 if a retry is useless
}

// Admission decides which requests of a service run now, are queued or are refused. Package admit implements it.
type Admission interface {
	// Configure replaces the kinds of work of the service.
	Configure(kinds []Kind)
	// SetCapacity sets how many requests may run at once and returns those that may run now.
	SetCapacity(now time.Time, n int) []*Request
	// Offer decides about a new request.
	Offer(now time.Time, r *Request) Verdict
	// Finish ends a running request and returns the queued ones that may run now.
	Finish(now time.Time, r *Request, res Result) []*Request
	// Cancel removes a queued request whose caller disconnected or whose daemon stops. It returns false if the request is
	// not queued.
	Cancel(now time.Time, r *Request) bool
	// Expire removes and returns the queued requests that can no longer finish before their deadline; their outcome is
	// OutcomeNotRun.
	Expire(now time.Time) []*Request
}

// Quotas enforces the rate limits of teams. Package admit implements it.
type Quotas interface {
	// Configure replaces the teams. live is the number of daemons that share each quota, at least 1.
	Configure(teams []Team, live int)
	// Take charges one request to the quota of a team. If the quota is used up, it returns the time to wait.
	Take(now time.Time, team string) (after time.Duration, ok bool)
}

// RetryBudget decides whether a request that may be retried is retried. Package retry implements it.
type RetryBudget interface {
	// Success records a successful attempt, which adds to the budget of the team at the pool.
	Success(now time.Time, team, pool string)
	// Retry spends one retry and returns the backoff before it. It returns false if the budget or the attempts of the
	// request are used up, or if the backoff would pass the deadline.
	Retry(now time.Time, r *Request, pool string) (backoff time.Duration, ok bool)
}

// Health decides which upstreams may take new work. Package health implements it.
type Health interface {
	// Observe records the result of a request.
	Observe(now time.Time, host string, r Result)
	// Probe records the result of an active health check.
	Probe(now time.Time, host string, ok, leaving bool)
	// Report records the state that a peer reports for a host. A report expires unless it is repeated.
	Report(now time.Time, peer, host string, state HostState)
	// State returns the state that routing uses.
	State(host string) HostState
	// ProbeAfter returns how long a request may receive no data from the host before its connection is probed.
	ProbeAfter(host string) time.Duration
	// Changed returns the hosts whose state changed since the last call.
	Changed() []string
}

// Sender sends one attempt of a request to an upstream. Package upstream implements it.
type Sender interface {
	// Send returns the answer only if it is complete or was streamed into Message.Sink. Result.Outcome is OutcomeNotRun
	// only if the request certainly did not run. Send never sends a request twice.
	Send(ctx context.Context, u *Upstream, m *Message) (*Message, Result)
}

// Message is a request or an answer as it is sent between processes.
type Message struct {
	ID     string `cbor:"1,keyasint"`
	Method string `cbor:"2,keyasint,omitempty"`
	Path   string `cbor:"3,keyasint,omitempty"`
	Status int    `cbor:"4,keyasint,omitempty"` // HTTP status of an answer
	// Header keeps the values of a header separate, since those of Set-Cookie can't be joined.
	Header map[string][]string `cbor:"5,keyasint,omitempty"`
	Body   []byte              `cbor:"6,keyasint,omitempty"` // at most 1 MiB
	// Service, Kind, Team, Ticket and Timeout are copied from the caller's request.
	Service string        `cbor:"7,keyasint,omitempty"`
	Kind    string        `cbor:"8,keyasint,omitempty"`
	Team    string        `cbor:"9,keyasint,omitempty"`
	Ticket  string        `cbor:"10,keyasint,omitempty"`
	Timeout time.Duration `cbor:"11,keyasint,omitempty"` // remaining time until the deadline
	Outcome Outcome       `cbor:"12,keyasint,omitempty"`
	Reason  Reason        `cbor:"13,keyasint,omitempty"`
	// Spilled marks a request that was forwarded from another data centre; it is not forwarded again.
	Spilled bool `cbor:"14,keyasint,omitempty"`
	// Idempotent is copied from the kind of work; a request with an unknown outcome may then be sent again.
	Idempotent bool `cbor:"15,keyasint,omitempty"`
	// Sink returns the writer to which an answer longer than 1 MiB is streamed. It is called once with the head of the
	// answer, whose Body is empty. Without a Sink such an answer ends as OutcomeUnknown. It is not encoded.
	Sink func(head *Message) (io.Writer, error) `cbor:"-"`
}

// Peers calls other daemons. Package peer implements it.
type Peers interface {
	// Forward sends a request to the named daemon and returns its answer. The outcome is OutcomeUnknown if the daemon may
	// have received the request but its answer was lost, and OutcomeNotRun if the daemon can't be reached at all.
	Forward(ctx context.Context, daemon string, m *Message) *Message
	// Confirm asks each named daemon to confirm that it sends no new requests to a host and has none in flight there.
	// It returns the daemons that did not confirm.
	Confirm(ctx context.Context, daemons []string, host string) (missing []string)
}
