package exhaust

import (
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Result is what a search has seen.
type Result struct {
	Name       string
	Depth      int           // events in the longest orders that were all checked
	States     int           // states after an event in the longest orders
	Merged     int           // states that were the same as one that was explored
	Losses     int           // runs that owners gave up in these orders
	Orders     int           // orders of events that were checked to their end
	Diverged   int           // events that were not possible when their order was repeated; 0 unless the service is not deterministic
	Took       time.Duration // real time
	Violations []Violation
}

// String returns the figures of a search and its violations.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: depth %d, %d states (%d merged), %d orders, %d losses, %s, %.0f states/s, %d violations", r.Name, r.Depth, r.States, r.Merged, r.Orders, r.Losses,
		r.Took.Round(time.Millisecond), float64(r.States)/max(r.Took.Seconds(), 1e-9), len(r.Violations))
	if r.Diverged > 0 {
		fmt.Fprintf(&b, ", %d events diverged", r.Diverged)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "\n%s", v)
	}
	return b.String()
}

// String returns the rule, what broke it and the events.
func (v Violation) String() string {
	after := "in the last event"
	if v.Settle {
		after = "after the last event"
	}
	return fmt.Sprintf("%s %s: %s\n  events: %s", v.Rule, after, v.Text, Format(v.Events))
}

// Format returns a text that ParseEvents reads.
func Format(events []Event) string {
	texts := make([]string, len(events))
	for i, e := range events {
		texts[i] = e.String()
	}
	return strings.Join(texts, ", ")
}

// trace collects what happens in one order of events.
type trace struct{ text strings.Builder }

func (t *trace) add(now time.Time, line string) {
	fmt.Fprintf(&t.text, "%8.3f %s\n", now.Sub(begin).Seconds(), strings.TrimSpace(line))
}

// logger returns the logger of owner n, whose lines go to the trace.
func (t *trace) logger(x *world, n int) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: logLines{x: x, owner: n}, DisableTime: true, Level: hclog.Debug})
}

type logLines struct {
	x     *world
	owner int
}

// Write implements io.Writer.
func (l logLines) Write(data []byte) (int, error) {
	l.x.notef("owner %d: %s", l.owner, data)
	return len(data), nil
}

// Replay runs one order of events. It returns what happened and the violation, or nil if there was none.
func Replay(opts Options, events []Event) (string, *Violation) {
	t := &trace{}
	x := newWorld(&opts, t)
	for _, e := range events {
		if x.violation != nil {
			break
		}
		if !x.apply(e) {
			x.notef("event %s is not possible", e)
		}
	}
	settled := x.violation == nil
	if settled {
		x.settle()
	}
	if x.violation != nil {
		x.violation.Events, x.violation.Settle = events, settled
	}
	return t.text.String(), x.violation
}
