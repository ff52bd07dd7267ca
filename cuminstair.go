// Package cuminstair defines the data types and interfaces that the components of the fleet manager share.
// Its subpackages implement them; this package imports none of those.
package cuminstair

import (
	"time"
)

// Outcome tells a caller what happened to its request. The zero value is OutcomeUnknown, so that an unset value never
// claims that a request ran or did not run.
type Outcome uint8

// The three outcomes of a request.
const (
	// OutcomeUnknown means that the request may have run. Only an idempotent request is then sent again.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the caller received the complete answer.
	OutcomeDone
	// OutcomeNotRun means that the request certainly did not run: no byte of it was written to an upstream
	// connection, or the upstream itself reported so.
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
	ReasonStale      Reason = "stale"      // this daemon's host list is too old to admit new work
	ReasonStopping   Reason = "stopping"   // the daemon is stopping
	ReasonBroken     Reason = "broken"     // the upstream connection broke after the first byte was sent
	ReasonDeadline   Reason = "deadline"   // no answer before the deadline
	ReasonMismatch   Reason = "mismatch"   // the answer carried the ID of another request
	ReasonHomeGone   Reason = "homegone"   // the home daemon of the ticket, which stores the outcome, is gone
	ReasonRefused    Reason = "refused"    // the upstream reported that it did not run the request
	ReasonSilent     Reason = "silent"     // the upstream connection stopped responding
	ReasonExpired    Reason = "expired"    // the ticket has expired
	ReasonSpill      Reason = "spill"      // sent to another data centre
	ReasonLocal      Reason = "local"      // sent to an upstream of the daemon's own data centre
)

// HostState is a state of the host chart (host.chart.json).
type HostState string

// States of a host. Only an active host takes new work, except for a few requests that routing sends to a host in
// probation.
const (
	HostActive      HostState = "active"
	HostLeaving     HostState = "leaving"     // no new work; requests in flight finish
	HostDrained     HostState = "drained"     // confirmed idle by every live daemon of its data centre
	HostRebooting   HostState = "rebooting"   // maintenance runs on it
	HostProbation   HostState = "probation"   // up again, being checked before it becomes active
	HostQuarantined HostState = "quarantined" // out of service: checks, or several jobs that ran longer elsewhere, failed on it
	HostMoving      HostState = "moving"      // drained and between two pools; listed in the row of exactly one of them
	HostFailed      HostState = "failed"      // lost outside planned maintenance
)

// Fleet is the desired state of the whole fleet, as declared in a fleet file.
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
	Region string `json:"region"` // data centres of one region are close to each other
}

// Pool is a set of hosts.
type Pool struct {
	Name  string `json:"name"`            // unique in the fleet
	Spare bool   `json:"spare,omitempty"` // its hosts may be lent to other pools; at most one pool is spare
}

// Host is one machine.
type Host struct {
	Name   string `json:"name"`            // unique in the fleet
	Centre string `json:"centre"`          // names an entry of Fleet.Centres
	Rack   string `json:"rack"`            // unique in the data centre; a rack is a failure domain
	Pool   string `json:"pool"`            // desired pool; names an entry of Fleet.Pools
	Addr   string `json:"addr"`            // IP address and port of the instance on it
	Cores  int    `json:"cores"`           // processors, above zero
	Memory Bytes  `json:"memory"`          // bytes, above zero
	Accel  int    `json:"accel,omitempty"` // accelerators
}

// Service is addressed by callers by its name. It runs one instance on each host of its pool.
type Service struct {
	Name  string `json:"name"`  // unique in the fleet
	Pool  string `json:"pool"`  // names an entry of Fleet.Pools that is not the spare pool
	Slots int    `json:"slots"` // declared concurrency limit of an instance; may be wrong by a factor of 5
	Conns int    `json:"conns"` // connections that an instance accepts
	// Budget is the availability budget; package budget defines it.
	Budget Budget `json:"budget"`
	Kinds  []Kind `json:"kinds"` // at least one
}

// Budget is the availability budget of a service.
type Budget struct {
	// Down is the share of the declared instances that may be unavailable at any time, in each data centre and in
	// the whole fleet, rounded down to whole instances. 0 <= Down < 1.
	Down float64 `json:"down"`
}

// Kind is a class of requests of a service. Kinds share their pool by weighted fair queueing.
type Kind struct {
	Name       string   `json:"name"`                 // unique in the service
	Weight     int      `json:"weight"`               // share of the pool relative to the other kinds, above zero
	Urgency    int      `json:"urgency,omitempty"`    // priority within the share of the kind; a higher one runs first
	Deadline   Duration `json:"deadline"`             // the longest deadline that a request of this kind may ask for
	Idempotent bool     `json:"idempotent,omitempty"` // a request with an unknown outcome may be sent again
	Archive    bool     `json:"archive,omitempty"`    // may be throttled or checkpointed for urgent work
}

// Team is a group of callers with a quota.
type Team struct {
	Name  string `json:"name"` // unique in the fleet
	Quota Quota  `json:"quota"`
}

// Quota limits one team.
type Quota struct {
	Rate  float64 `json:"rate"`            // requests per second in the whole fleet, above zero
	Burst int     `json:"burst"`           // most requests that may arrive at one moment, above zero
	Cores int     `json:"cores,omitempty"` // cores that its jobs may use at the same time; 0 means no jobs
}

// Wave is planned maintenance of whole pools.
type Wave struct {
	Name   string   `json:"name"`           // unique in the fleet
	Pools  []string `json:"pools"`          // at least one
	Action string   `json:"action"`         // "reboot" or "replace"
	Drain  Duration `json:"drain"`          // time limit for draining a host
	Back   Duration `json:"back"`           // time limit for a host to become healthy again
	Limit  int      `json:"limit"`          // hosts under maintenance at the same time in the fleet, above zero
	Hold   bool     `json:"hold,omitempty"` // declared, but not to be started yet
}

// Request is the part of a caller's request that admission and routing decisions use.
type Request struct {
	ID       string    // unique; echoed by the upstream in its answer
	Service  string    // names an entry of Fleet.Services
	Kind     string    // names an entry of Service.Kinds
	Team     string    // names an entry of Fleet.Teams
	Arrived  time.Time // by Timer.Now
	Deadline time.Time // Arrived < Deadline
	// Idempotent is copied from the kind; the caller can't set it.
	Idempotent bool
	Urgency    int
	Attempt    int // 0 for the first
}

// Decision is one logged decision; recent ones are kept for the operators' explain command.
type Decision struct {
	At     time.Time `json:"at"`
	Part   string    `json:"part"`   // log prefix of the component that decided
	Kind   string    `json:"kind"`   // "request", "host", "wave" or "job"
	ID     string    `json:"id"`     // ID of the object of the decision
	Choice string    `json:"choice"` // what was chosen
	Reason Reason    `json:"reason"`
	Detail string    `json:"detail,omitempty"` // the inputs of the decision as text
}

// Recorder records decisions. Implementations must not block.
type Recorder interface {
	Record(d Decision)
}

// Timer is the only clock of the system. No component reads the wall clock directly.
type Timer interface {
	// Now returns the current time. It is monotonic and includes the time during which the host is suspended.
	Now() time.Time
	// After calls fn once after d. stop returns false if fn or stop was already called. fn must not block.
	After(d time.Duration, fn func(now time.Time)) (stop func() bool)
	// Every calls fn with period d until stop is called. Missed ticks are dropped. fn must not block.
	Every(d time.Duration, fn func(now time.Time)) (stop func() bool)
}
