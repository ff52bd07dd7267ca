package cuminstair

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Fault is one error in a file of the operators.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // from 1; 0 if the fault does not belong to a single line
	Field   string `json:"field"`
	Message string `json:"message"` // says what to change
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// FaultsError lists all faults of a file. No part of the file was applied.
type FaultsError struct {
	Faults []Fault
}

// Error lists all faults, one per line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// StaleError means that another operator's configuration was accepted first. It wraps ErrConflict.
type StaleError struct {
	Base    uint64   // the generation that the file was based on
	Current uint64   // the generation in force
	Changes []string // differences between these two generations, one line each
}

// Error names both generations and lists the differences.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the file is based on generation %d, but generation %d is in force; changed since: %s",
		e.Base, e.Current, strings.Join(e.Changes, "; "))
}

// Unwrap returns ErrConflict.
func (e *StaleError) Unwrap() error { return ErrConflict }

// ApplyRequest is a request to put a fleet file in force.
type ApplyRequest struct {
	Base uint64 `json:"base"` // the generation that the file is based on; 0 for the first
	File string `json:"file"` // file name for messages about faults
	Text string `json:"text"` // content of the fleet file
}

// ApplyResult is the answer to an ApplyRequest whose configuration has been accepted and stored durably.
type ApplyResult struct {
	Generation uint64   `json:"generation"`
	Root       string   `json:"root"`             // hash of the whole fleet
	Repeat     bool     `json:"repeat,omitempty"` // the same fleet was already accepted as this generation
	Changes    []string `json:"changes"`
}

// Current is the fleet in force at the daemon that answers.
type Current struct {
	Generation uint64 `json:"generation"`
	Root       string `json:"root"`
	Fleet      *Fleet `json:"fleet"`
}

// ForceStatus lists the daemons in which a generation is in force.
type ForceStatus struct {
	Generation uint64   `json:"generation"`
	Confirmed  []string `json:"confirmed"` // daemons that have this or a later generation in force
	Missing    []string `json:"missing"`   // live daemons that have not confirmed
}

// DaemonStatus is a row of the list of entry daemons.
type DaemonStatus struct {
	Name        string   `json:"name"`
	Centre      string   `json:"centre"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	Generation  uint64   `json:"generation"`
	Age         Duration `json:"age"` // time since the daemon was last heard from
}

// PoolStatus is a row of the list of pools, for one data centre.
type PoolStatus struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	Declared int    `json:"declared"` // hosts that the fleet file assigns to it
	Hosts    int    `json:"hosts"`    // hosts that are in it now
	Active   int    `json:"active"`   // hosts in it that take new work
	Inflight int    `json:"inflight"` // requests in flight from the daemon that answers
	Queued   int    `json:"queued"`   // requests queued at the daemon that answers
}

// HostInfo is a row of the list of hosts.
type HostInfo struct {
	Name     string    `json:"name"`
	Centre   string    `json:"centre"`
	Rack     string    `json:"rack"`
	Pool     string    `json:"pool"`
	State    HostState `json:"state"`
	Health   HostState `json:"health"` // state according to the health checks of the daemon that answers
	Inflight int       `json:"inflight"`
	Held     bool      `json:"held,omitempty"` // an operator excludes it from planned work
	Reason   string    `json:"reason,omitempty"`
}

// WaveStatus is a row of the list of waves, for one data centre.
type WaveStatus struct {
	Name    string `json:"name"`
	Centre  string `json:"centre"`
	State   string `json:"state"`
	Done    int    `json:"done"`
	Total   int    `json:"total"`
	Step    int    `json:"step"`   // hosts that may be out of service at once in the current step
	Failed  int    `json:"failed"` // hosts that were not healthy after the maintenance
	Message string `json:"message,omitempty"`
}

// BudgetStatus is a row of the list of availability budgets, for one data centre or, with an empty Centre, the fleet.
type BudgetStatus struct {
	Service  string `json:"service"`
	Centre   string `json:"centre"`
	Declared int    `json:"declared"`
	Down     int    `json:"down"`    // instances that are unavailable
	Allowed  int    `json:"allowed"` // instances that may be unavailable
	Reserve  int    `json:"reserve"` // kept for the loss of the largest rack
	Room     int    `json:"room"`    // instances that planned work may still make unavailable
}

// Job is batch work that runs on a worker while no caller waits for it.
type Job struct {
	ID      string  `json:"id"` // unique
	Team    string  `json:"team"`
	Pool    string  `json:"pool"`
	Class   string  `json:"class"` // jobs of the same class and team have similar sizes
	Cores   float64 `json:"cores"` // declared; may be wrong by a factor of 5
	Memory  Bytes   `json:"memory"`
	Accel   int     `json:"accel,omitempty"`
	Urgent  bool    `json:"urgent,omitempty"`  // has to start within 3.4 s
	Archive bool    `json:"archive,omitempty"` // may be throttled or checkpointed for urgent jobs
}

// JobStatus is a row of the list of jobs.
type JobStatus struct {
	ID     string `json:"id"`
	Team   string `json:"team"`
	State  string `json:"state"`
	Worker string `json:"worker,omitempty"`
	Fails  int    `json:"fails"`
	Reason string `json:"reason,omitempty"`
}

// Cancellation selects the jobs to cancel: those listed in IDs, all of a team, or all of a class of a team.
type Cancellation struct {
	IDs   []string `json:"ids,omitempty"`
	Team  string   `json:"team,omitempty"`
	Class string   `json:"class,omitempty"`
}

// Count is the number of jobs that a bulk operation changed.
type Count struct {
	Count int `json:"count"`
}

// Explanation is the answer of the explain command: why an object is in its present state.
type Explanation struct {
	Kind      string     `json:"kind"` // "host", "request", "wave" or "job"
	ID        string     `json:"id"`
	Summary   string     `json:"summary"`   // one or two sentences
	Decisions []Decision `json:"decisions"` // the latest first
}

// Operations is the operators' API of a daemon. Errors: ErrNotFound, ErrConflict, ErrUnavailable, *FaultsError.
type Operations interface {
	Check(ctx context.Context, file, text string) error
	Difference(ctx context.Context, file, text string) ([]string, error)
	Apply(ctx context.Context, a ApplyRequest) (ApplyResult, error)
	Current(ctx context.Context) (Current, error)
	// Force returns which daemons have a generation in force; it changes nothing.
	Force(ctx context.Context, generation uint64) (ForceStatus, error)
	Daemons(ctx context.Context) ([]DaemonStatus, error)
	Pools(ctx context.Context) ([]PoolStatus, error)
	Hosts(ctx context.Context) ([]HostInfo, error)
	Waves(ctx context.Context) ([]WaveStatus, error)
	Budgets(ctx context.Context) ([]BudgetStatus, error)
	Jobs(ctx context.Context) ([]JobStatus, error)
	// ChangeHost takes the actions "drain", "hold" and "resume".
	ChangeHost(ctx context.Context, host, action string) error
	// ChangeWave takes the actions "start", "hold" and "resume".
	ChangeWave(ctx context.Context, wave, action string) error
	Submit(ctx context.Context, jobs []Job) (Count, error)
	Cancel(ctx context.Context, c Cancellation) (Count, error)
	Explain(ctx context.Context, kind, id string) (Explanation, error)
}

// ForceTarget is the time within which an accepted configuration has to be in force in every reachable daemon.
const ForceTarget = 3 * time.Second
