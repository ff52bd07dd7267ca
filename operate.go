package cuminstair

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Fault is one thing that is wrong in a file of the operators.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // from 1; 0 if the fault has no single place
	Field   string `json:"field"`
	Message string `json:"message"` // says what to change
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Field, f.Message)
}

// FaultsError holds all faults of a file. Nothing of the file was applied.
type FaultsError struct {
	Faults []Fault
}

// Error lists all faults, one a line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// StaleError tells that another operator's configuration was accepted first. It wraps ErrConflict.
type StaleError struct {
	Base    uint64   // the generation that the file was based on
	Current uint64   // the generation in force
	Changes []string // what differs between the two, one line each
}

// Error names both generations and what differs.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the file is based on generation %d, but generation %d is in force; changed since: %s",
		e.Base, e.Current, strings.Join(e.Changes, "; "))
}

// Unwrap returns ErrConflict.
func (e *StaleError) Unwrap() error { return ErrConflict }

// Application asks for a whole fleet to be put in force.
type Application struct {
	Base uint64 `json:"base"` // the generation that the file was read at; 0 for the first
	File string `json:"file"` // names the file in faults
	Text string `json:"text"` // the whole fleet file
}

// Accepted tells that a configuration was accepted and can't be lost any more.
type Accepted struct {
	Generation uint64   `json:"generation"`
	Root       string   `json:"root"`             // hash of the whole fleet
	Repeat     bool     `json:"repeat,omitempty"` // the same fleet had been accepted as this generation before
	Changes    []string `json:"changes"`
}

// Current is the fleet in force at the daemon that was asked.
type Current struct {
	Generation uint64 `json:"generation"`
	Root       string `json:"root"`
	Fleet      *Fleet `json:"fleet"`
}

// Force tells in which daemons a generation is in force.
type Force struct {
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
	Age         Duration `json:"age"` // since it was last heard of
}

// PoolStatus is a row of the list of pools, for one data centre.
type PoolStatus struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	Declared int    `json:"declared"` // hosts that the fleet file puts there
	Hosts    int    `json:"hosts"`    // hosts that are there now
	Active   int    `json:"active"`   // of these, the ones that take new work
	Inflight int    `json:"inflight"` // requests in flight from the daemon that was asked
	Queued   int    `json:"queued"`   // requests queued at the daemon that was asked
}

// HostInfo is a row of the list of hosts.
type HostInfo struct {
	Name     string    `json:"name"`
	Centre   string    `json:"centre"`
	Rack     string    `json:"rack"`
	Pool     string    `json:"pool"`
	State    HostState `json:"state"`
	Health   HostState `json:"health"` // as the daemon that was asked sees it
	Inflight int       `json:"inflight"`
	Held     bool      `json:"held,omitempty"` // an operator keeps planned work away from it
	Reason   string    `json:"reason,omitempty"`
}

// WaveStatus is a row of the list of waves, for one data centre.
type WaveStatus struct {
	Name    string `json:"name"`
	Centre  string `json:"centre"`
	State   string `json:"state"`
	Done    int    `json:"done"`
	Total   int    `json:"total"`
	Step    int    `json:"step"`   // hosts of the current step
	Failed  int    `json:"failed"` // hosts that did not come back healthy
	Message string `json:"message,omitempty"`
}

// BudgetStatus is a row of the list of availability budgets, for one data centre or, with an empty Centre, the fleet.
type BudgetStatus struct {
	Service  string `json:"service"`
	Centre   string `json:"centre"`
	Declared int    `json:"declared"`
	Down     int    `json:"down"`    // instances that are unavailable
	Allowed  int    `json:"allowed"` // instances that may be
	Reserve  int    `json:"reserve"` // kept for the loss of the largest rack
	Room     int    `json:"room"`    // what planned work may still take
}

// Job is work that runs on a worker without a caller waiting for it.
type Job struct {
	ID      string  `json:"id"` // unique
	Team    string  `json:"team"`
	Pool    string  `json:"pool"`
	Class   string  `json:"class"` // jobs of one class of one team are of similar size
	Cores   float64 `json:"cores"` // as declared; may be wrong by a factor of 5
	Memory  Bytes   `json:"memory"`
	Accel   int     `json:"accel,omitempty"`
	Urgent  bool    `json:"urgent,omitempty"`  // starts within 3.4 s
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

// Cancellation selects the jobs to cancel: those of IDs, or all of a team, or all of a team and class.
type Cancellation struct {
	IDs   []string `json:"ids,omitempty"`
	Team  string   `json:"team,omitempty"`
	Class string   `json:"class,omitempty"`
}

// Count is the number of things that a bulk operation changed.
type Count struct {
	Count int `json:"count"`
}

// Explanation says why something is as it is.
type Explanation struct {
	Kind      string     `json:"kind"` // "host", "request", "wave" or "job"
	ID        string     `json:"id"`
	Summary   string     `json:"summary"`   // one or two sentences
	Decisions []Decision `json:"decisions"` // the latest first
}

// Operations is what operators can ask of a daemon. Errors: ErrNotFound, ErrConflict, ErrUnavailable, *FaultsError.
type Operations interface {
	Check(ctx context.Context, file, text string) error
	Difference(ctx context.Context, file, text string) ([]string, error)
	Apply(ctx context.Context, a Application) (Accepted, error)
	Current(ctx context.Context) (Current, error)
	Force(ctx context.Context, generation uint64) (Force, error)
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

// ForceTarget is the time in which an accepted configuration has to be in force in every reachable daemon.
const ForceTarget = 3 * time.Second
