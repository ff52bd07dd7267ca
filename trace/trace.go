// Package trace replays recorded traces through the decisions of the request path: route, admit, retry and health. A
// trace is a file of lines, each a JSON object with comments allowed, that holds events, their times and the outcomes
// that are expected of them. The replay runs in virtual time on small models of upstreams; there is no socket and no
// goroutine in it, and the same trace gives the same result each time.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"cuminstair.org/cuminstair"
)

// Errors of trace files.
const (
	ErrLine  = errors.ConstError("invalid trace line")
	ErrOrder = errors.ConstError("trace lines are not in order of time")
)

// Event is what a line of a trace is about.
type Event string

// Events of a trace. The fleet line comes first.
const (
	EventFleet  Event = "fleet"  // name, centres, daemons, hosts, slots, real, conns, teams, seed, delay, spill
	EventKind   Event = "kind"   // kind, weight, urgency, deadline, took, idempotent
	EventLoad   Event = "load"   // kind, rate: arrivals a second over the fleet from now on
	EventRotate Event = "rotate" // kinds, rate, period: each in turn gets 5 times the rate, the others a twentieth
	EventFault  Event = "fault"  // mode, hosts named by host or their share, factor: from now on
	EventHeal   Event = "heal"   // hosts named by host, or all: the fault ends
	EventLeave  Event = "leave"  // host: the upstream announces that it leaves
	EventReturn Event = "return" // host: the upstream announces that it stays after all
	EventCancel Event = "cancel" // kind, share: that share of the outstanding requests is cancelled by its callers
	EventCut    Event = "cut"    // centre: cut off from the other data centres
	EventJoin   Event = "join"   // centre: reachable again
	EventExpect Event = "expect" // measure, kind, host, from, least, most
)

// Modes of a fault.
const (
	ModeRefuse = "refuse" // connections are refused
	ModeBreak  = "break"  // connections break after the request was sent
	ModeSlow   = "slow"   // service times are longer by factor
	ModeSilent = "silent" // established connections go silent; new ones work
)

// Bounds of a fleet line, which keep a replay within a test's memory.
const (
	maxDaemons = 1000
	maxHosts   = 100_000
)

// Line is one line of a trace. Which fields count depends on the event.
type Line struct {
	At    cuminstair.Duration `json:"at,omitempty"` // since the start of the trace
	Event Event               `json:"event"`
	Name  string              `json:"name,omitempty"`

	Centres int                 `json:"centres,omitempty"` // data centres
	Daemons int                 `json:"daemons,omitempty"` // entry daemons, dealt out to the data centres in turn
	Hosts   int                 `json:"hosts,omitempty"`   // hosts of the pool, dealt out in the same way
	Slots   int                 `json:"slots,omitempty"`   // declared for each instance
	Real    int                 `json:"real,omitempty"`    // that an instance has in truth; 0: as declared
	Conns   int                 `json:"conns,omitempty"`
	Teams   int                 `json:"teams,omitempty"` // that the load is spread over; 0: 1
	Seed    uint64              `json:"seed,omitempty"`
	Delay   cuminstair.Duration `json:"delay,omitempty"` // period of the reports among daemons
	Spill   bool                `json:"spill,omitempty"` // a refused request is offered to another data centre once

	Kind       string              `json:"kind,omitempty"`
	Kinds      []string            `json:"kinds,omitempty"`
	Weight     int                 `json:"weight,omitempty"`
	Urgency    int                 `json:"urgency,omitempty"`
	Deadline   cuminstair.Duration `json:"deadline,omitempty"`
	Took       cuminstair.Duration `json:"took,omitempty"` // mean service time; it is distributed exponentially
	Idempotent bool                `json:"idempotent,omitempty"`

	Rate   float64             `json:"rate,omitempty"` // requests a second
	Period cuminstair.Duration `json:"period,omitempty"`
	Mode   string              `json:"mode,omitempty"`
	Host   string              `json:"host,omitempty"`
	Share  float64             `json:"share,omitempty"`
	Factor float64             `json:"factor,omitempty"`
	Centre string              `json:"centre,omitempty"`

	Measure Measure             `json:"measure,omitempty"`
	From    cuminstair.Duration `json:"from,omitempty"` // start of the time that is measured; its end is At
	Least   *float64            `json:"least,omitempty"`
	Most    *float64            `json:"most,omitempty"`
}

// Trace is the lines of a trace in order of time.
type Trace []Line

// Offset returns the time of the line since the start of the trace.
func (l Line) Offset() time.Duration { return l.At.D() }

// Read parses a trace. It returns ErrLine or ErrOrder with the number of the line.
func Read(r io.Reader) (Trace, error) {
	lines, err := ReadLines[Line](r)
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 || lines[0].Event != EventFleet {
		return nil, fmt.Errorf("the first line must be the fleet: %w", ErrLine)
	}
	return lines, nil
}

// ReadLines parses the lines of a trace into values of L, whose Check finds lines that can't be replayed. It returns
// ErrLine or ErrOrder with the number of the line. Lines that are empty or hold only a comment are passed over.
func ReadLines[L interface {
	Offset() time.Duration
	Check() error
}](r io.Reader) ([]L, error) {
	var t []L
	scan := bufio.NewScanner(r)
	for n := 1; scan.Scan(); n++ {
		text := bytes.TrimSpace(scan.Bytes())
		if len(text) == 0 || bytes.HasPrefix(text, []byte("//")) {
			continue
		}
		var line L
		err := parse(text, &line)
		if err == nil {
			err = line.Check()
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(t) > 0 && line.Offset() < t[len(t)-1].Offset() {
			return nil, fmt.Errorf("line %d: %w", n, ErrOrder)
		}
		t = append(t, line)
	}
	if err := scan.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return t, nil
}

// parse reads one line.
func parse(text []byte, line any) error {
	plain, err := hujson.Standardize(append(bytes.Clone(text), '\n')) // ends a comment
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLine, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(line); err != nil {
		return fmt.Errorf("%w: %w", ErrLine, err)
	}
	return nil
}

// Check finds lines that the replay could not carry out.
func (l Line) Check() error {
	ok := l.isDemand() || l.isFault() || l.isFleet()
	switch l.Event {
	case EventKind:
		ok = l.Kind != "" && l.Deadline > 0 && l.Took > 0
	case EventExpect:
		ok = l.Measure.known() && l.From < l.At && (l.Least != nil || l.Most != nil)
	default:
	}
	if !ok {
		return fmt.Errorf("event %q: a field is missing or out of range: %w", l.Event, ErrLine)
	}
	return nil
}

func (l Line) isFleet() bool {
	return l.Event == EventFleet && l.Centres > 0 && l.Slots > 0 && l.Delay > 0 &&
		l.Daemons >= l.Centres && l.Daemons <= maxDaemons && l.Hosts >= l.Centres && l.Hosts <= maxHosts
}

func (l Line) isDemand() bool {
	switch l.Event {
	case EventLoad:
		return l.Kind != "" && l.Rate >= 0
	case EventRotate:
		return len(l.Kinds) > 0 && l.Rate > 0 && l.Period > 0
	case EventCancel:
		return l.Share > 0 && l.Share <= 1
	default:
		return false
	}
}

func (l Line) isFault() bool {
	switch l.Event {
	case EventFault:
		known := l.Mode == ModeRefuse || l.Mode == ModeBreak || l.Mode == ModeSilent || l.Mode == ModeSlow && l.Factor > 0
		return known && (l.Host != "" || l.Share > 0)
	case EventHeal:
		return true
	case EventLeave, EventReturn:
		return l.Host != ""
	case EventCut, EventJoin:
		return l.Centre != ""
	default:
		return false
	}
}
