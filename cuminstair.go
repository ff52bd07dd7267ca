// Package cuminstair holds the data types and the interfaces that the parts of the fleet manager share.
// Implementations are in the packages below it; this package imports none of them.
package cuminstair

import (
	"time"
)

// Outcome tells a caller what happened to its request. The zero value is OutcomeUnknown, so that a value that nobody
// set never claims too much.
type Outcome uint8

// The three outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run. It is never sent again unless it is idempotent.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the caller has the whole answer.
	OutcomeDone
	// OutcomeNotRun means that the request was proved not to have run: no byte of it was handed to an upstream
	// connection, or the upstream itself said so.
	OutcomeNotRun
)

// String returns the value of the Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// Reason is the code that explains a decision in log lines, in the Reason header and in the operators' API.
type Reason string

// Reason codes of decisions about requests.
const (
	ReasonOK         Reason = "ok"
	ReasonMalformed  Reason = "malformed"  // the request itself is wrong; the message names what to change
	ReasonNoService  Reason = "noservice"  // the fleet file has no such service
	ReasonNoUpstream Reason = "noupstream" // no upstream may take new work
	ReasonQuota      Reason = "quota"      // the team is over its quota
	ReasonFull       Reason = "full"       // the queue of this kind of work is full
	ReasonLate       Reason = "late"       // the request can't finish before its deadline
	ReasonBudget     Reason = "budget"     // the retry budget is used up
	ReasonStale      Reason = "stale"      // the view of the hosts is too old for new work
	ReasonStopping   Reason = "stopping"   // the daemon is stopping
	ReasonBroken     Reason = "broken"     // the upstream connection broke after the first byte was sent
	ReasonDeadline   Reason = "deadline"   // no answer before the deadline
	ReasonMismatch   Reason = "mismatch"   // the answer carried the identity of another request
	ReasonHomeGone   Reason = "homegone"   // the home daemon of the ticket is gone
	ReasonRefused    Reason = "refused"    // the upstream said that it did not run the request
	ReasonSilent     Reason = "silent"     // the connection went silent
	ReasonExpired    Reason = "expired"    // the ticket has expired
	ReasonSpill      Reason = "spill"      // sent to another data centre
	ReasonLocal      Reason = "local"      // sent to an upstream of the own data centre
)

// HostState is a state of the host chart (host.chart.json).
type HostState string

// States of a host. Only an active host takes new work.
const (
	HostActive      HostState = "active"
	HostLeaving     HostState = "leaving"     // no new work; requests in flight finish
	HostDrained     HostState = "drained"     // confirmed idle by every live daemon of its data centre
	HostRebooting   HostState = "rebooting"   // maintenance runs on it
	HostProbation   HostState = "probation"   // back, and being checked before it takes work
	HostQuarantined HostState = "quarantined" // kept out of service after it failed several good jobs or checks
	HostMoving      HostState = "moving"      // drained and between two pools, in the row of exactly one of them
	HostFailed      HostState = "failed"      // lost without plan
)

// Fleet is the whole desired fleet, as a fleet file declares it.
type Fleet struct {
	Name     string    `json:"name"`
	Centres  []Centre  `json:"centres"`
	Pools    []Pool    `json:"pools"`
	Hosts    []Host    `json:"hosts"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams"`
	Waves    []Wave    `json:"waves,omitempty"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `json:"name"`   // unique in the fleet
	Region string `json:"region"` // data centres of one region are near each other
}

// Pool is a set of hosts.
type Pool struct {
	Name  string `json:"name"`            // unique in the fleet
	Spare bool   `json:"spare,omitempty"` // its hosts may be lent to other pools; at most one pool is the spare
}

// Host is one machine.
type Host struct {
	Name   string `json:"name"`   // unique in the fleet
	Centre string `json:"centre"` // names an entry of Fleet.Centres
	Rack   string `json:"rack"`   // unique in the data centre; a rack is a failure domain
	Pool   string `json:"pool"`   // the pool that the operators want it in; names an entry of Fleet.Pools
	Addr   string `json:"addr"`   // IP address and port of the instance on it
	Cores  int    `json:"cores"`  // processors, above zero
	Memory Bytes  `json:"memory"` // bytes, above zero
	Accel  int    `json:"accel,omitempty"`
}

// Service is what callers ask for by name. It runs one instance on each host of its pool.
type Service struct {
	Name  string `json:"name"`  // unique in the fleet
	Pool  string `json:"pool"`  // names an entry of Fleet.Pools that is not the spare
	Slots int    `json:"slots"` // requests that an instance runs at once, as declared; may be wrong by a factor of 5
	Conns int    `json:"conns"` // connections that an instance accepts
	// Budget is the availability budget; package budget defines it.
	Budget Budget `json:"budget"`
	Kinds  []Kind `json:"kinds"` // at least one
}

// Budget is the availability budget of a service.
type Budget struct {
	// Down is the share of the declared instances that may be unavailable at any instant, in each data centre and over
	// the fleet, rounded down to whole instances. 0 <= Down < 1.
	Down float64 `json:"down"`
}

// Kind is a kind of work of a service. Kinds have fair shares of their pool.
type Kind struct {
	Name       string   `json:"name"`                 // unique in the service
	Weight     int      `json:"weight"`               // share of the pool relative to the other kinds, above zero
	Urgency    int      `json:"urgency,omitempty"`    // orders work inside one share only; higher goes first
	Deadline   Duration `json:"deadline"`             // the longest deadline that a request of this kind may ask for
	Idempotent bool     `json:"idempotent,omitempty"` // a request that may have run may be sent again
	Archive    bool     `json:"archive,omitempty"`    // may be throttled or checkpointed for urgent work
}

// Team is a group of callers with a quota.
type Team struct {
	Name  string `json:"name"` // unique in the fleet
	Quota Quota  `json:"quota"`
}

// Quota limits one team.
type Quota struct {
	Rate  float64 `json:"rate"`            // requests a second over the fleet, above zero
	Burst int     `json:"burst"`           // requests above the rate at one moment, above zero
	Cores int     `json:"cores,omitempty"` // cores that its jobs may hold at once; 0 means no jobs
}

// Wave is a planned piece of maintenance over whole pools.
type Wave struct {
	Name   string   `json:"name"`           // unique in the fleet
	Pools  []string `json:"pools"`          // at least one
	Action string   `json:"action"`         // "reboot" or "replace"
	Drain  Duration `json:"drain"`          // the longest time that a host may take to become idle
	Back   Duration `json:"back"`           // the longest time until a host is healthy again
	Limit  int      `json:"limit"`          // hosts at once over the fleet, above zero
	Hold   bool     `json:"hold,omitempty"` // declared, not started
}

// Request is what the decisions know about a caller's request.
type Request struct {
	ID       string    // unique; repeated by the upstream in its answer
	Service  string    // names an entry of Fleet.Services
	Kind     string    // names an entry of Service.Kinds
	Team     string    // names an entry of Fleet.Teams
	Arrived  time.Time // on the timer service's clock
	Deadline time.Time // Arrived < Deadline
	// Idempotent is copied from the kind; the caller can't set it.
	Idempotent bool
	Urgency    int
	Attempt    int // 0 for the first
}

// Decision is one explained choice, as it is logged and kept for the operators' explain command.
type Decision struct {
	At     time.Time `json:"at"`
	Part   string    `json:"part"`   // the log prefix of the part that decided
	Kind   string    `json:"kind"`   // "request", "host", "wave" or "job"
	ID     string    `json:"id"`     // what was decided about
	Choice string    `json:"choice"` // what was chosen
	Reason Reason    `json:"reason"`
	Detail string    `json:"detail,omitempty"` // the inputs, in words
}

// Recorder takes decisions. Implementations must not block.
type Recorder interface {
	Record(d Decision)
}

// Timer is the only clock of the system. Parts subscribe to it; none reads the wall clock.
type Timer interface {
	// Now returns the time of the service. It never goes backwards and it goes on while the host is suspended.
	Now() time.Time
	// After calls fn once when d has passed. Stop returns false if fn was called already. fn must not block.
	After(d time.Duration, fn func(now time.Time)) (stop func() bool)
	// Every calls fn each d until stop is called. Missed ticks are dropped. fn must not block.
	Every(d time.Duration, fn func(now time.Time)) (stop func() bool)
}
