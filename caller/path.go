package caller

import (
	"context"
	"embed"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/chart"
)

//go:embed request.chart.json
var files embed.FS

// lifecycle is the state chart of a request. The order of the steps is read from it.
var lifecycle = chart.MustLoad(files, "request.chart.json")

// event is an event of request.chart.json.
type event string

const (
	eventNext    event = "next"
	eventWait    event = "wait"
	eventRefused event = "refused" // the request, or this attempt, is proved not to have run
	eventLost    event = "lost"    // the request may have run
	eventSpill   event = "spill"
	eventDone    event = "done"
	eventAgain   event = "again"
)

// steps maps each state of request.chart.json that is not final to what is done in it.
var steps = map[string]func(x *exchange, ctx context.Context) event{
	"checking":  (*exchange).check,
	"claiming":  (*exchange).claim,
	"charging":  (*exchange).charge,
	"admitting": (*exchange).admit,
	"waiting":   (*exchange).wait,
	"picking":   (*exchange).pick,
	"sending":   (*exchange).send,
	"deciding":  (*exchange).decide,
	"spilling":  (*exchange).spill,
}

// Path is the way of a request through the daemon. Exported fields are set before the first Do. It is safe for
// concurrent use.
type Path struct {
	Timer     cuminstair.Timer
	Log       hclog.Logger
	Recorder  cuminstair.Recorder
	Decisions *Decisions
	Sender    cuminstair.Sender
	Tickets   cuminstair.Tickets // nil: a request with a ticket is refused
	Spill     cuminstair.Spill   // nil: no request is sent to another data centre
	Metrics   *Metrics           // nil: none
	// Fresh reports whether the view of the hosts is fresh enough for new work; nil: always.
	Fresh func() bool
	// Stopping is closed when the daemon stops; requests that wait in a queue then end as not run. nil: never.
	Stopping <-chan struct{}
}

// exchange is one request on its way. It belongs to one goroutine.
type exchange struct {
	*Path
	state string
	// now is the time after the last step that waited. The steps in between take microseconds, and a reading of
	// CLOCK_BOOTTIME is a system call.
	now     time.Time
	message *cuminstair.Message // the request as it is sent
	request *cuminstair.Request
	service *service
	checked bool                // the names of the request are those of the fleet
	answer  *cuminstair.Message // nil until there is one

	claimed  bool                      // the outcome has to be kept for the ticket
	admitted bool                      // holds a place of admission
	queued   <-chan cuminstair.Verdict // set while waiting
	last     cuminstair.Result         // of the last attempt
	picked   cuminstair.Pick           // of the current attempt; Upstream is nil while no place is held
	avoid    string                    // the host of the last attempt
	mayRun   bool                      // an attempt ended as unknown
	streamed bool                      // a part of the answer was passed on
	left     context.Context           // ends when the caller leaves, even if the request goes on for its ticket
}

// Do takes a request from a caller or from a peer to its outcome and returns the answer, which is never nil. m.Timeout
// is the time left until the deadline. An answer that was streamed into m.Sink and broke off has Outcome unknown.
func (p *Path) Do(ctx context.Context, m *cuminstair.Message) *cuminstair.Message {
	now := p.Timer.Now()
	x := &exchange{Path: p, now: now, message: m, left: ctx}
	x.request = &cuminstair.Request{
		ID:       m.ID,
		Service:  m.Service,
		Kind:     m.Kind,
		Team:     m.Team,
		Arrived:  now,
		Deadline: now.Add(m.Timeout),
	}
	if sink := m.Sink; sink != nil {
		m.Sink = func(head *cuminstair.Message) (io.Writer, error) {
			x.streamed = true
			return sink(head)
		}
	}
	if m.Ticket != "" {
		// A caller that leaves may come back with the same ticket, so that its request goes on.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m.Timeout > 0 {
		defer p.Timer.After(m.Timeout, func(time.Time) { cancel() })()
	}
	p.Metrics.begin()
	x.run(ctx)
	p.Metrics.end(x, x.now.Sub(now))
	return x.answer
}

// Reject answers a request that an edge found malformed, without a step of its path.
func (p *Path) Reject(m *cuminstair.Message, r Refusal) *cuminstair.Message {
	x := &exchange{Path: p, now: p.Timer.Now(), message: m, state: cuminstair.OutcomeNotRun.String()}
	x.request = &cuminstair.Request{ID: m.ID, Service: m.Service, Kind: m.Kind, Team: m.Team}
	x.answer = r.message(m.ID)
	p.Metrics.begin()
	x.finish()
	p.Metrics.end(x, 0)
	return x.answer
}

// run drives the request through its chart and gives its places back.
func (x *exchange) run(ctx context.Context) {
	x.state = lifecycle.Start
	for steps[x.state] != nil {
		happened := steps[x.state](x, ctx)
		next, err := lifecycle.Next(x.state, string(happened))
		if err != nil {
			x.Log.Error("request left its chart", "request", x.message.ID, "error", err)
			x.refuse(Refusal{Reason: cuminstair.ReasonBroken, Text: "internal error"})
			next = cuminstair.OutcomeUnknown.String()
		}
		x.state = next
	}
	x.finish()
}

// finish sets the outcome that the chart ended in, gives the place of admission back and keeps the outcome.
func (x *exchange) finish() {
	switch x.state {
	case cuminstair.OutcomeDone.String():
		x.answer.Outcome = cuminstair.OutcomeDone
	case cuminstair.OutcomeNotRun.String():
		x.answer.Outcome = cuminstair.OutcomeNotRun
	default:
		x.answer.Outcome = cuminstair.OutcomeUnknown
	}
	if x.admitted {
		x.admitted = false
		x.Decisions.finish(x.now, x.request, x.last)
	}
	if x.claimed {
		x.claimed = false
		x.Tickets.End(x.message, x.answer)
	}
	if x.answer.Outcome != cuminstair.OutcomeDone {
		x.record(x.answer.Outcome.String(), x.answer.Reason, string(x.answer.Body))
	}
}

// record explains a decision about this request.
func (x *exchange) record(choice string, reason cuminstair.Reason, detail string) {
	x.Recorder.Record(cuminstair.Decision{
		At:     x.now,
		Part:   "caller",
		Kind:   "request",
		ID:     x.message.ID,
		Choice: choice,
		Reason: reason,
		Detail: detail,
	})
}
