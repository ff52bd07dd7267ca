// Package wave plans the work that takes hosts out of service: maintenance waves, moves between pools and repairs. It
// keeps every service within its availability budget (package budget) and moves each host through the states of the
// host chart. A wave proceeds in steps that grow from one host; the size of a step is the number of hosts of a data
// centre that may be out of service for the wave at once.
//
// A Planner reads the rows of all data centres and plans for one of them. It changes nothing by itself: Decide returns
// changes of rows, and a change takes effect once it has been committed and passed back through SetHost or SetWave. All
// state that another controller needs to take over is in the rows. Ages are measured from when this planner first saw a
// state, so clocks of different hosts are never compared.
package wave

import (
	"embed"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/chart"
)

//go:embed *.chart.json
var files embed.FS

var (
	hostChart = chart.MustLoad(files, "host.chart.json")
	waveChart = chart.MustLoad(files, "wave.chart.json")
)

// Key prefixes of the rows of this package.
const (
	HostPrefix  = "host/"
	Prefix      = "wave/"
	OrderPrefix = "order/"
)

// HostKey returns the key of a host's row.
func HostKey(centre, host string) string { return HostPrefix + centre + "/" + host }

// Key returns the key of a wave's row for a data centre.
func Key(wave, centre string) string { return Prefix + wave + "/" + centre }

// Goal says why a host is taken out of service.
type Goal string

// Goals.
const (
	GoalNone          Goal = ""
	GoalWave          Goal = "wave"    // the action of a wave
	GoalMove          Goal = "move"    // to another pool
	GoalRepair        Goal = "repair"  // replaced because it is broken
	GoalRemove        Goal = "remove"  // the host is no longer in the fleet file
	GoalOperatorDrain Goal = "operate" // drained by an operator; the host stays drained until an operator resumes it
)

// Host is the value of a host row. A host belongs to exactly one pool.
type Host struct {
	Pool          string               `json:"pool"`
	State         cuminstair.HostState `json:"state"`
	Epoch         uint64               `json:"epoch"`           // epoch of the lease under which the row was written
	Goal          Goal                 `json:"goal,omitempty"`  // why it is out of service
	To            string               `json:"to,omitempty"`    // destination pool of a move
	Wave          string               `json:"wave,omitempty"`  // last wave that took the host out of service
	Done          bool                 `json:"done,omitempty"`  // the action of Wave is complete
	Late          int                  `json:"late,omitempty"`  // times that the host failed or missed a limit in Wave
	ActionID      string               `json:"act,omitempty"`   // id of the platform's action while the host reboots
	Action        string               `json:"verb,omitempty"`  // the platform's action while the host reboots
	ChangedBefore int64                `json:"mark,omitempty"`  // HostStatus.Changed before the action, in ns
	Hold          bool                 `json:"hold,omitempty"`  // an operator excludes it from planned work
	Order         uint64               `json:"order,omitempty"` // version of the last operator's order that was applied
	Why           string               `json:"why,omitempty"`   // description of the last change
}

// State is a state of the wave chart.
type State string

// States of a wave in one data centre.
const (
	Ready   State = "ready"   // declared, not started
	Running State = "running" // takes hosts out of service
	Paused  State = "paused"  // waits until an unplanned loss is repaired
	Held    State = "held"    // held by an operator
	Stopped State = "stopped" // stopped because too many of its hosts did not return to service
	Done    State = "done"    // every host that is not held by an operator has had the action
)

// Wave is the value of a wave row: the progress of one wave in one data centre.
type Wave struct {
	State       State  `json:"state"`
	Reason      string `json:"reason,omitempty"` // description of why it is in this state
	DoneAtStart int    `json:"base,omitempty"`   // hosts done when it was last started or resumed; step sizes grow from there
	LateAtStart int    `json:"lates,omitempty"`  // sum of Host.Late when it was last started or resumed
	Order       uint64 `json:"order,omitempty"`  // version of the last operator's order that was applied
	Epoch       uint64 `json:"epoch"`
}

// Order is the value of an operator's order row.
type Order struct {
	Event string `json:"event"` // for a host: drain, hold, resume; for a wave: start, hold, resume
}

// HostChange is a change of a host row.
type HostChange struct {
	Name   string
	Row    Host
	Event  string
	Reason cuminstair.Reason
	// ReducesAvailable is set if the change reduces the number of available instances. Such commits are serialised
	// over the fleet, because budgets span data centres.
	ReducesAvailable bool
	Delete           bool
}

// Change is a change of a wave row.
type Change struct {
	Name   string
	Row    Wave
	Reason cuminstair.Reason
}

// Plan holds the row changes that Decide wants committed.
type Plan struct {
	Hosts []HostChange
	Waves []Change
}

// Reason codes of planned work.
const (
	ReasonBudget  cuminstair.Reason = "budget"  // a service's budget has no room
	ReasonWindow  cuminstair.Reason = "window"  // the step, limit or budget permits no more hosts
	ReasonLimit   cuminstair.Reason = "limit"   // the wave's limit is reached
	ReasonHeld    cuminstair.Reason = "held"    // held by an operator, or the wave does not run
	ReasonFrozen  cuminstair.Reason = "frozen"  // a daemon does not answer or the lease is not confirmed
	ReasonLoss    cuminstair.Reason = "loss"    // hosts were lost outside planned work, or such a loss is repaired
	ReasonLate    cuminstair.Reason = "late"    // a host was not healthy in time
	ReasonWave    cuminstair.Reason = "wave"    // out of service for a wave, or waiting for its turn in one
	ReasonSpare   cuminstair.Reason = "spare"   // a spare host joins or leaves a pool
	ReasonFile    cuminstair.Reason = "file"    // the fleet file adds, moves or removes the host
	ReasonHealth  cuminstair.Reason = "health"  // checks pass or fail
	ReasonIdle    cuminstair.Reason = "idle"    // every live daemon has confirmed that the host is idle, or not all did in time
	ReasonOrder   cuminstair.Reason = "order"   // an operator's order
	ReasonDone    cuminstair.Reason = "done"    // the wave, or its action on the host, is complete
	ReasonUnknown cuminstair.Reason = "unknown" // no row of the host has been read
)
