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

// lifecycle is the state chart of a request. It sets the order of the steps.
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

// steps maps each state of request.chart.json that is not final to the function that runs in it.
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

// Path processes the requests of a daemon, from their checks to their outcome. Exported fields are set before the first
// Do. It is safe for concurrent use.
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

// exchange is one request that is being processed. Only one goroutine uses it.
type exchange struct {
	*Path
	state string
	// now is the time after the last step that waited. The clock is not read in each step: the steps in between
	// take microseconds, and a reading of CLOCK_BOOTTIME is a system call.
	now     time.Time
	message *cuminstair.Message // the request as it is sent
	request *cuminstair.Request
	service *service
	checked bool                // the service, team and kind of the request are in the fleet
	answer  *cuminstair.Message // nil until there is one

	claimed    bool                      // the outcome has to be stored for the ticket
	admitted   bool                      // holds an admission slot
	queued     <-chan cuminstair.Verdict // set while waiting
	last       cuminstair.Result         // of the last attempt
	picked     cuminstair.Pick           // of the current attempt; Upstream is nil while no slot is held
	avoid      string                    // the host of the last attempt
	mayHaveRun bool                      // an attempt ended as unknown
	streamed   bool                      // a part of the answer was sent to the caller
	callerCtx  context.Context           // ends when the caller disconnects; a request with a ticket continues
}

// Do processes a request of a caller or of a peer and returns the answer, which is never nil. m.Timeout is the time
// left until the deadline. An answer that was streamed into m.Sink and broke off has Outcome unknown.
func (p *Path) Do(ctx context.Context, m *cuminstair.Message) *cuminstair.Message {
	now := p.Timer.Now()
	x := &exchange{Path: p, now: now, message: m, callerCtx: ctx}
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
		// The request continues when its caller disconnects, since the caller may repeat it with the same ticket.
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

// Reject answers a request that the server refuses before Do. It runs no step of the state chart.
func (p *Path) Reject(m *cuminstair.Message, r Refusal) *cuminstair.Message {
	x := &exchange{Path: p, now: p.Timer.Now(), message: m, state: cuminstair.OutcomeNotRun.String()}
	x.request = &cuminstair.Request{ID: m.ID, Service: m.Service, Kind: m.Kind, Team: m.Team}
	x.answer = r.message(m.ID)
	p.Metrics.begin()
	x.finish()
	p.Metrics.end(x, 0)
	return x.answer
}

// run runs the steps of the request until the state chart reaches a final state, and calls finish.
func (x *exchange) run(ctx context.Context) {
	x.state = lifecycle.Start
	for steps[x.state] != nil {
		ev := steps[x.state](x, ctx)
		next, err := lifecycle.Next(x.state, string(ev))
		if err != nil {
			x.Log.Error("event not allowed by the state chart of requests", "request", x.message.ID, "error", err)
			x.refuse(Refusal{Reason: cuminstair.ReasonBroken, Text: "internal error"})
			next = cuminstair.OutcomeUnknown.String()
		}
		x.state = next
	}
	x.finish()
}

// finish sets the outcome from the final state of the chart, releases the admission slot and stores the outcome of a
// ticket.
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

// record passes a decision about this request to the Recorder.
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
