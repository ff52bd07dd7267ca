// Package plan replays recorded traces through the packages that make the decisions for planned work and jobs: control
// with wave, budget, lease and job, and rollout for the fleet files that operators apply. Package standin/table
// simulates the platform. A trace has the file format of package trace, with the line type of this package.
//
// The replay runs in virtual time. Each controller is a coroutine that yields only while it waits for the platform or
// for its next step, so one controller can be paused, slow or killed in the middle of a call while the others continue.
// Nothing runs in parallel, so the same trace always gives the same result.
//
// In addition to the expectations of a trace, a replay checks at every commit and every second that each service is
// within its budget, that each host is in one pool, that only the holder of the lease writes, and that no host is
// rebooted or moved with requests in flight. At the end it checks that no job had two tasks at once.
package plan

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/trace"
)

// Event is the type of a trace line.
type Event string

// Event types, each with the fields of its line. The fleet line comes first.
const (
	EventFleet  Event = "fleet"  // file, daemons, seed: the fleet in force and the entry daemons of each data centre
	EventApply  Event = "apply"  // daemon, base, by, moves, gives: an operator applies a fleet file with hosts moved
	EventOrder  Event = "order"  // daemon, kind, name, do, gives: an operator's order for a host or a wave
	EventSubmit Event = "submit" // daemon, jobs, count, gives, and the properties of the jobs
	EventCancel Event = "cancel" // daemon, jobs, count, share, gives: an operator cancels the jobs
	EventLose   Event = "lose"   // hosts, or centre and rack: fail until back
	EventBack   Event = "back"   // hosts, or centre and rack: are live again
	EventSick   Event = "sick"   // hosts, or centre and rack: fail their health checks until well, but stay listed as live
	EventBreak  Event = "break"  // hosts, or centre and rack: fail their health checks from their next reboot on, until well
	EventWell   Event = "well"   // hosts, or centre and rack: pass their health checks again
	EventDown   Event = "down"   // the platform does not respond
	EventSlow   Event = "slow"   // delay: latency of each response of the platform
	EventUp     Event = "up"     // ends down and slow
	EventForget Event = "forget" // count: the responses to the next writes are lost after the writes took effect
	EventFail   Event = "fail"   // hosts, jobs: workers that fail every task, jobs that fail on every worker; replaces earlier lists
	EventPause  Event = "pause"  // daemon, in: paused now, or with in = "commit" during its next commit of host rows
	EventWake   Event = "wake"   // daemon: continues after pause
	EventKill   Event = "kill"   // daemon: its process dies; the platform lists it as gone
	EventStop   Event = "stop"   // daemon: it releases its lease and exits
	EventStart  Event = "start"  // daemon: starts a new process after kill or stop
	EventExpect Event = "expect" // what, name, centre, is, from, least, most
)

// Values of Line.What in an expect line.
const (
	WhatHost   = "host"   // name, is: state of the host
	WhatPool   = "pool"   // name, is: pool of the host
	WhatWhy    = "why"    // name, is: a part of the reason in the row of the host or wave
	WhatWave   = "wave"   // name, is: state of the wave in the data centre, or in each if none is named
	WhatHolder = "holder" // centre, is: daemon that holds the lease; empty if none does
	WhatEpoch  = "epoch"  // centre: epoch of the lease
	WhatMoves  = "moves"  // pool changes of hosts so far
	WhatActs   = "acts"   // from: platform actions on hosts since then
	WhatTasks  = "tasks"  // name, from: task starts since then on that host or of that job; if name is empty, on all hosts
	WhatJobs   = "jobs"   // is: jobs in that state; done and cancelled jobs are counted from the recorded decisions
	WhatActive = "active" // active hosts
	WhatGen    = "gen"    // accepted generation
)

// inCommit is the value of Line.In that pauses a daemon during its next commit of host rows.
const inCommit = "commit"

// Line is one line of a trace. The event determines which fields are used.
type Line struct {
	At    cuminstair.Duration `json:"at,omitempty"` // since the start of the trace
	Event Event               `json:"event"`

	File    string `json:"file,omitempty"`    // fleet file, passed to Player.Load
	Daemons int    `json:"daemons,omitempty"` // in each data centre; they are named <centre>-d1 and so on
	Seed    uint64 `json:"seed,omitempty"`

	Daemon string              `json:"daemon,omitempty"`
	In     string              `json:"in,omitempty"` // of EventPause: inCommit, or empty for at once
	Centre string              `json:"centre,omitempty"`
	Rack   string              `json:"rack,omitempty"`
	Hosts  []string            `json:"hosts,omitempty"`
	Kind   string              `json:"kind,omitempty"` // "host" or "wave"
	Name   string              `json:"name,omitempty"`
	Do     string              `json:"do,omitempty"`
	Base   uint64              `json:"base,omitempty"` // generation that the operator has read
	By     string              `json:"by,omitempty"`
	Moves  map[string]string   `json:"moves,omitempty"` // host: its pool in the applied fleet file
	Delay  cuminstair.Duration `json:"delay,omitempty"`
	// Gives is the expected error of an operator's call: "conflict", "unavailable", "uncertain", or empty for none.
	Gives string `json:"gives,omitempty"`

	Jobs   []string            `json:"jobs,omitempty"`  // names; if count is set, the first one is a prefix
	Count  int                 `json:"count,omitempty"` // number of jobs, named by the prefix and a number from 0
	Share  float64             `json:"share,omitempty"` // share of the Count jobs, from number 0 on; 0: all
	Team   string              `json:"team,omitempty"`
	Cores  float64             `json:"cores,omitempty"`
	Memory cuminstair.Bytes    `json:"memory,omitempty"`
	Urgent bool                `json:"urgent,omitempty"`
	Run    cuminstair.Duration `json:"run,omitempty"`  // actual run time; 0: the default of standin/table
	Real   float64             `json:"real,omitempty"` // cores that the jobs actually use; 0: as declared

	What  string              `json:"what,omitempty"`
	Is    string              `json:"is,omitempty"`
	From  cuminstair.Duration `json:"from,omitempty"`
	Least *int                `json:"least,omitempty"`
	Most  *int                `json:"most,omitempty"`
}

// Offset returns the time of the line since the start of the trace.
func (l Line) Offset() time.Duration { return l.At.D() }

// Check returns trace.ErrLine if a field that the event needs is missing or out of range.
func (l Line) Check() error {
	if !l.complete() {
		return fmt.Errorf("event %q: a field is missing or out of range: %w", l.Event, trace.ErrLine)
	}
	return nil
}

func (l Line) complete() bool {
	if l.Daemon != "" {
		return l.validForDaemon()
	}
	switch l.Event {
	case EventFleet:
		return l.File != "" && l.Daemons > 0
	case EventExpect:
		return l.validExpect()
	case EventDown, EventUp, EventFail:
		return true
	case EventSlow:
		return l.Delay > 0
	case EventForget:
		return l.Count > 0
	case EventLose, EventBack, EventSick, EventBreak, EventWell:
		return len(l.Hosts) > 0 || l.Centre != ""
	default:
		return false
	}
}

// validForDaemon reports whether the line is a complete event of a daemon.
func (l Line) validForDaemon() bool {
	switch l.Event {
	case EventApply:
		return l.Base > 0 && l.validGives()
	case EventOrder:
		return (l.Kind == kindHost || l.Kind == kindWave) && l.Name != "" && l.Do != "" && l.validGives()
	case EventSubmit, EventCancel:
		return len(l.Jobs) > 0 && l.validGives()
	case EventPause, EventWake, EventKill, EventStop, EventStart:
		return l.In == "" || l.In == inCommit
	default:
		return false
	}
}

func (l Line) validGives() bool {
	return slices.Contains([]string{"", givesConflict, givesUnavailable, givesUncertain}, l.Gives)
}

func (l Line) validExpect() bool {
	bounds := l.Least != nil || l.Most != nil
	switch l.What {
	case WhatHost, WhatPool, WhatWave, WhatWhy:
		return l.Name != "" && l.Is != ""
	case WhatHolder:
		return l.Centre != ""
	case WhatEpoch:
		return l.Centre != "" && bounds
	case WhatJobs:
		return l.Is != "" && bounds
	case WhatMoves, WhatActs, WhatTasks, WhatActive, WhatGen:
		return bounds
	default:
		return false
	}
}

// Read parses a trace. Its errors wrap trace.ErrLine or trace.ErrOrder and state the line number.
func Read(r io.Reader) ([]Line, error) {
	lines, err := trace.ReadLines[Line](r)
	if err != nil {
		return nil, fmt.Errorf("read lines: %w", err)
	}
	if len(lines) == 0 || lines[0].Event != EventFleet {
		return nil, fmt.Errorf("the first line must be the fleet: %w", trace.ErrLine)
	}
	return lines, nil
}
