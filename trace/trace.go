// Package trace replays recorded traces through the packages that make the decisions for each request: route, admit,
// retry and health. A trace is a file with one JSON object per line, comments allowed. The lines hold timed events and
// the expected outcomes. The replay runs in virtual time against simple models of upstreams. It uses no sockets and no
// goroutines, so the same trace always gives the same result.
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

// Event is the type of a trace line.
type Event string

// Event types, each with the fields of its line. The fleet line comes first.
const (
	EventFleet  Event = "fleet"  // name, centres, daemons, hosts, slots, real, conns, teams, seed, delay, spill
	EventKind   Event = "kind"   // kind, weight, urgency, deadline, took, idempotent
	EventLoad   Event = "load"   // kind, rate: requests per second over the whole fleet from now on
	EventRotate Event = "rotate" // kinds, rate, period: each kind in turn gets 5 times the rate, the others a twentieth of it
	EventFault  Event = "fault"  // mode, host or share of the hosts, factor: the fault starts
	EventHeal   Event = "heal"   // host, or all hosts if empty: the fault ends
	EventLeave  Event = "leave"  // host: the upstream announces that it is leaving
	EventReturn Event = "return" // host: the upstream withdraws its announcement
	EventCancel Event = "cancel" // kind, share: callers cancel that share of the outstanding requests
	EventCut    Event = "cut"    // centre: partitioned from the other data centres
	EventJoin   Event = "join"   // centre: the partition ends
	EventExpect Event = "expect" // measure, kind, host, from, least, most
)

// Modes of a fault.
const (
	ModeRefuse = "refuse" // connections are refused
	ModeBreak  = "break"  // connections break after the request was sent
	ModeSlow   = "slow"   // service times are multiplied by factor
	ModeSilent = "silent" // established connections stop responding; new ones work
)

// Limits on a fleet line, which bound the memory of a replay in a test.
const (
	maxDaemons = 1000
	maxHosts   = 100_000
)

// Line is one line of a trace. The event determines which fields are used.
type Line struct {
	At    cuminstair.Duration `json:"at,omitempty"` // since the start of the trace
	Event Event               `json:"event"`
	Name  string              `json:"name,omitempty"` // label of the fleet; the replay does not use it

	Centres int                 `json:"centres,omitempty"` // data centres
	Daemons int                 `json:"daemons,omitempty"` // entry daemons, assigned to the data centres round robin
	Hosts   int                 `json:"hosts,omitempty"`   // hosts of the pool, assigned in the same way
	Slots   int                 `json:"slots,omitempty"`   // declared slots of each instance
	Real    int                 `json:"real,omitempty"`    // actual slots of each instance; 0: as declared
	Conns   int                 `json:"conns,omitempty"`   // connections that each instance accepts; 0: unlimited
	Teams   int                 `json:"teams,omitempty"`   // teams that send the requests, chosen at random; 0 means 1
	Seed    uint64              `json:"seed,omitempty"`
	Delay   cuminstair.Duration `json:"delay,omitempty"` // interval between the reports that daemons send each other
	Spill   bool                `json:"spill,omitempty"` // offer a refused request once to another data centre

	Kind       string              `json:"kind,omitempty"`
	Kinds      []string            `json:"kinds,omitempty"`
	Weight     int                 `json:"weight,omitempty"`   // as in cuminstair.Kind, but 0 means 1
	Urgency    int                 `json:"urgency,omitempty"`  // as in cuminstair.Kind: higher goes first
	Deadline   cuminstair.Duration `json:"deadline,omitempty"` // of each request, since its arrival
	Took       cuminstair.Duration `json:"took,omitempty"`     // mean service time; service times are exponentially distributed
	Idempotent bool                `json:"idempotent,omitempty"`

	Rate   float64             `json:"rate,omitempty"` // requests per second
	Period cuminstair.Duration `json:"period,omitempty"`
	Mode   string              `json:"mode,omitempty"`
	Host   string              `json:"host,omitempty"`
	Share  float64             `json:"share,omitempty"`
	Factor float64             `json:"factor,omitempty"`
	Centre string              `json:"centre,omitempty"`

	Measure Measure             `json:"measure,omitempty"`
	From    cuminstair.Duration `json:"from,omitempty"` // start of the measured interval, which ends at At
	Least   *float64            `json:"least,omitempty"`
	Most    *float64            `json:"most,omitempty"`
}

// Trace holds the lines of a trace in order of time.
type Trace []Line

// Offset returns the time of the line since the start of the trace.
func (l Line) Offset() time.Duration { return l.At.D() }

// Read parses a trace. Its errors wrap ErrLine or ErrOrder and state the line number.
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

// ReadLines parses the lines of a trace into values of L and calls Check to reject lines that can't be replayed. Its
// errors wrap ErrLine or ErrOrder and state the line number. It skips lines that are empty or hold only a comment.
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

// parse decodes one line and rejects unknown fields.
func parse(text []byte, line any) error {
	plain, err := hujson.Standardize(append(bytes.Clone(text), '\n')) // the newline ends a trailing comment
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

// Check returns ErrLine if a field that the event needs is missing or out of range.
func (l Line) Check() error {
	ok := l.validCallerEvent() || l.validHostOrCentreEvent() || l.validFleet()
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

func (l Line) validFleet() bool {
	return l.Event == EventFleet && l.Centres > 0 && l.Slots > 0 && l.Delay > 0 &&
		l.Daemons >= l.Centres && l.Daemons <= maxDaemons && l.Hosts >= l.Centres && l.Hosts <= maxHosts
}

func (l Line) validCallerEvent() bool {
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

func (l Line) validHostOrCentreEvent() bool {
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
