// Package plan replays recorded traces through the decisions about planned work: control with wave, budget, lease and
// job, and rollout for what operators apply. The platform is standin/table. A trace is a file as package trace reads
// it, with the lines of this package.
//
// The replay runs in virtual time. Each controller is a coroutine that hands over only where it waits for the platform
// or for its next step, so that one of them can be paused, slow or killed in the middle of a call while the others go
// on. There is no parallel execution in it, and the same trace gives the same result each time.
//
// Beside what a trace states, a replay checks at every commit and every second that each service is within its budget,
// that each host is in one pool, that only the holder of the lease writes, and that nothing is rebooted or moved with
// requests in flight; and that no job has two tasks at once.
package plan

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/trace"
)

// Event is what a line is about.
type Event string

// Events. The fleet line comes first.
const (
	EventFleet  Event = "fleet"  // file, daemons, seed: the fleet in force and the entry daemons of each data centre
	EventApply  Event = "apply"  // daemon, base, by, moves, gives: an operator applies the fleet with hosts moved
	EventOrder  Event = "order"  // daemon, kind, name, do, gives: an operator's order for a host or a wave
	EventSubmit Event = "submit" // daemon, jobs, count, gives, and what the jobs are
	EventCancel Event = "cancel" // daemon, jobs, count, share, gives
	EventLose   Event = "lose"   // hosts, or centre and rack: not live until back
	EventBack   Event = "back"   // hosts, or centre and rack
	EventSick   Event = "sick"   // hosts: fail their checks until they are well, while the platform lists them as live
	EventBreak  Event = "break"  // hosts, or centre: fail their checks from their next reboot on, until they are well
	EventWell   Event = "well"   // hosts, or centre
	EventDown   Event = "down"   // the platform answers nothing
	EventSlow   Event = "slow"   // delay: each answer of the platform takes this long
	EventUp     Event = "up"     // ends both
	EventForget Event = "forget" // count: answers of the next writes are lost after these took effect
	EventFail   Event = "fail"   // hosts, jobs: workers that fail every task and jobs that fail everywhere, instead of any before
	EventPause  Event = "pause"  // daemon, in: now, or in the middle of its next commit of host rows
	EventWake   Event = "wake"   // daemon
	EventKill   Event = "kill"   // daemon; the platform lists it as gone
	EventStop   Event = "stop"   // daemon: it gives up its lease
	EventStart  Event = "start"  // daemon: a new process after kill or stop
	EventExpect Event = "expect" // what, name, centre, is, least, most
)

// What is expected.
const (
	WhatHost   = "host"   // name, is: state of the host
	WhatPool   = "pool"   // name, is: pool of the host
	WhatWhy    = "why"    // name, is: why the host or wave is as it is, a part of the words in its row
	WhatWave   = "wave"   // name, is: state in the data centre, or in all if none is named
	WhatHolder = "holder" // centre, is: daemon that holds the lease; empty if none does
	WhatEpoch  = "epoch"  // centre: of the lease
	WhatMoves  = "moves"  // pool changes of hosts so far
	WhatActs   = "acts"   // platform actions on hosts since from
	WhatTasks  = "tasks"  // starts of tasks on the host name, or of the job name, or all, since from
	WhatJobs   = "jobs"   // jobs that are in the state is; done and cancelled count what was recorded
	WhatActive = "active" // hosts that are active
	WhatGen    = "gen"    // generation that is accepted
)

// Names of the points where a daemon pauses.
const inCommit = "commit"

// Line is one line. Which fields count depends on the event.
type Line struct {
	At    cuminstair.Duration `json:"at,omitempty"` // since the start of the trace
	Event Event               `json:"event"`

	File    string `json:"file,omitempty"`    // fleet file, passed to Player.Load
	Daemons int    `json:"daemons,omitempty"` // in each data centre; they are named <centre>-d1 and so on
	Seed    uint64 `json:"seed,omitempty"`

	Daemon string              `json:"daemon,omitempty"`
	In     string              `json:"in,omitempty"`
	Centre string              `json:"centre,omitempty"`
	Rack   string              `json:"rack,omitempty"`
	Hosts  []string            `json:"hosts,omitempty"`
	Kind   string              `json:"kind,omitempty"` // "host" or "wave"
	Name   string              `json:"name,omitempty"`
	Do     string              `json:"do,omitempty"`
	Base   uint64              `json:"base,omitempty"` // the generation that the operator has read
	By     string              `json:"by,omitempty"`
	Moves  map[string]string   `json:"moves,omitempty"` // host: pool that the fleet file puts it into
	Delay  cuminstair.Duration `json:"delay,omitempty"`
	// Gives is the error of an operator's call: "conflict", "unavailable", "uncertain", or empty for none.
	Gives string `json:"gives,omitempty"`

	Jobs   []string            `json:"jobs,omitempty"`  // names; with a count the first is a prefix
	Count  int                 `json:"count,omitempty"` // numbers from 0 that are appended to the prefix
	Share  float64             `json:"share,omitempty"` // of them, the first ones; 0: all
	Team   string              `json:"team,omitempty"`
	Cores  float64             `json:"cores,omitempty"`
	Memory cuminstair.Bytes    `json:"memory,omitempty"`
	Urgent bool                `json:"urgent,omitempty"`
	Run    cuminstair.Duration `json:"run,omitempty"`  // real run time; 0: that of the stand-in
	Real   float64             `json:"real,omitempty"` // cores that the jobs use in truth; 0: as declared

	What  string              `json:"what,omitempty"`
	Is    string              `json:"is,omitempty"`
	From  cuminstair.Duration `json:"from,omitempty"`
	Least *int                `json:"least,omitempty"`
	Most  *int                `json:"most,omitempty"`
}

// Offset returns the time of the line since the start of the trace.
func (l Line) Offset() time.Duration { return l.At.D() }

// Check finds lines that the replay could not carry out.
func (l Line) Check() error {
	if !l.complete() {
		return fmt.Errorf("event %q: a field is missing or out of range: %w", l.Event, trace.ErrLine)
	}
	return nil
}

func (l Line) complete() bool {
	if l.Daemon != "" {
		return l.isForDaemon()
	}
	switch l.Event {
	case EventFleet:
		return l.File != "" && l.Daemons > 0
	case EventExpect:
		return l.isExpect()
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

// isForDaemon tells whether the line is complete as one that happens at a daemon.
func (l Line) isForDaemon() bool {
	switch l.Event {
	case EventApply:
		return l.Base > 0 && l.gives()
	case EventOrder:
		return (l.Kind == kindHost || l.Kind == kindWave) && l.Name != "" && l.Do != "" && l.gives()
	case EventSubmit, EventCancel:
		return len(l.Jobs) > 0 && l.gives()
	case EventPause, EventWake, EventKill, EventStop, EventStart:
		return l.In == "" || l.In == inCommit
	default:
		return false
	}
}

func (l Line) gives() bool {
	return slices.Contains([]string{"", givesConflict, givesUnavailable, givesUncertain}, l.Gives)
}

func (l Line) isExpect() bool {
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

// Read parses a trace. It returns trace.ErrLine or trace.ErrOrder with the number of the line.
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
