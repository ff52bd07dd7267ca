// Package wave plans the work that takes hosts out of service: maintenance waves, moves between pools and repairs. It
// keeps every service within its availability budget (package budget) and steps each host through the host chart.
//
// A Planner sees the rows of all data centres and decides for one of them. It changes nothing by itself: Decide returns
// changes of rows, and a change is in force once it has been committed and passed back through SetHost or SetWave. All
// that a successor needs is in the rows; ages count from when this planner first saw a state, so no clocks are compared
// between hosts.
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
	GoalNone    Goal = ""
	GoalWave    Goal = "wave"    // the action of a wave
	GoalMove    Goal = "move"    // to another pool
	GoalRepair  Goal = "repair"  // replaced because it is broken
	GoalRemove  Goal = "remove"  // the fleet file does not name it any more
	GoalOperate Goal = "operate" // an operator's drain; it stays drained until resumed
)

// Host is the value of a host row. The host belongs to Pool and to no other.
type Host struct {
	Pool  string               `json:"pool"`
	State cuminstair.HostState `json:"state"`
	Epoch uint64               `json:"epoch"`           // of the lease under which the row was written
	Goal  Goal                 `json:"goal,omitempty"`  // why it is out of service
	To    string               `json:"to,omitempty"`    // pool that a move leads to
	Wave  string               `json:"wave,omitempty"`  // wave that took it last
	Done  bool                 `json:"done,omitempty"`  // the action of Wave is complete
	Late  int                  `json:"late,omitempty"`  // times that it did not come back in Wave
	Act   string               `json:"act,omitempty"`   // id of the platform's action while it reboots
	Verb  string               `json:"verb,omitempty"`  // the platform's action while it reboots
	Mark  int64                `json:"mark,omitempty"`  // HostStatus.Changed before the action, in ns of the platform's clock
	Hold  bool                 `json:"hold,omitempty"`  // an operator excludes it from planned work
	Order uint64               `json:"order,omitempty"` // version of the last operator's order that was obeyed
	Why   string               `json:"why,omitempty"`   // the last change in words
}

// State is a state of the wave chart.
type State string

// States of a wave in one data centre.
const (
	Ready   State = "ready"   // declared, not started
	Running State = "running" // hosts are taken
	Paused  State = "paused"  // waits until an unplanned loss is repaired
	Held    State = "held"    // by an operator
	Stopped State = "stopped" // by itself, because its hosts did not come back
	Done    State = "done"    // every host has had the action
)

// Wave is the value of a wave row: the progress of one wave in one data centre.
type Wave struct {
	State    State  `json:"state"`
	Reason   string `json:"reason,omitempty"` // why it is in this state, in words
	Base     int    `json:"base,omitempty"`   // hosts done when it was last started or resumed; steps grow from here
	LateBase int    `json:"lates,omitempty"`  // late hosts at that time
	Order    uint64 `json:"order,omitempty"`  // version of the last operator's order that was obeyed
	Epoch    uint64 `json:"epoch"`
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
	// Takes is set if the change reduces the available instances. Such commits are serialised over the fleet, because
	// the budgets span data centres.
	Takes  bool
	Delete bool
}

// Change is a change of a wave row.
type Change struct {
	Name   string
	Row    Wave
	Reason cuminstair.Reason
}

// Plan is what Decide wants to be written.
type Plan struct {
	Hosts []HostChange
	Waves []Change
}

// Reason codes of planned work.
const (
	ReasonBudget  cuminstair.Reason = "budget"  // a service's budget has no room
	ReasonWindow  cuminstair.Reason = "window"  // the step is full
	ReasonLimit   cuminstair.Reason = "limit"   // the wave's limit is reached
	ReasonHeld    cuminstair.Reason = "held"    // by an operator
	ReasonFrozen  cuminstair.Reason = "frozen"  // a daemon is silent or the lease is not shown to hold
	ReasonLoss    cuminstair.Reason = "loss"    // unplanned loss
	ReasonLate    cuminstair.Reason = "late"    // a host did not come back in time
	ReasonWave    cuminstair.Reason = "wave"    // the wave's turn
	ReasonSpare   cuminstair.Reason = "spare"   // a spare host joins or leaves a pool
	ReasonFile    cuminstair.Reason = "file"    // the fleet file puts it elsewhere
	ReasonHealth  cuminstair.Reason = "health"  // checks pass or fail
	ReasonIdle    cuminstair.Reason = "idle"    // every live daemon confirmed that it sends nothing there
	ReasonOrder   cuminstair.Reason = "order"   // an operator's order
	ReasonDone    cuminstair.Reason = "done"    // complete
	ReasonUnknown cuminstair.Reason = "unknown" // nothing is known about it
)
