package cuminstair

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of the platform.
const (
	// ErrConflict means that a check of a commit failed and that nothing was written.
	ErrConflict = errors.ConstError("a row has another version")
	// ErrUncertain means that the answer was lost; the commit may have taken effect. To find out, read the rows and
	// compare Row.Write; never write again.
	ErrUncertain = errors.ConstError("the commit may have taken effect")
	// ErrUnavailable means that the platform can't be reached; nothing was written.
	ErrUnavailable = errors.ConstError("the platform is unavailable")
	// ErrNotFound means that there is no such object, host or task.
	ErrNotFound = errors.ConstError("not found")
)

// Row is a row of the table service.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // table version of the commit that wrote it; above zero
	Write   string `json:"write"`   // Commit.ID of that commit
	Deleted bool   `json:"deleted,omitempty"`
}

// Check is a condition of a commit.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // 0: the row must not exist
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Commit is an atomic transaction: it writes only if all checks hold.
type Commit struct {
	ID      string   `json:"id"` // unique; stored in Row.Write of every row that it writes
	Checks  []Check  `json:"checks"`
	Puts    []Put    `json:"puts"`
	Deletes []string `json:"deletes,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit returns the table version of the transaction. Errors: ErrConflict, ErrUncertain, ErrUnavailable.
	Commit(ctx context.Context, c Commit) (uint64, error)
	// Rows returns the rows under prefix that were written or deleted after version since, and the version up to which
	// the answer is complete. If since is 0, it returns all existing rows. Error: ErrUnavailable.
	Rows(ctx context.Context, prefix string, since uint64) ([]Row, uint64, error)
}

// Objects is the platform's object store. Objects are immutable and named by the SHA-256 of their content, in hex.
type Objects interface {
	// PutObject stores data under its hash; storing it again is harmless. Error: ErrUnavailable.
	PutObject(ctx context.Context, hash string, data []byte) error
	// GetObject returns the object. Errors: ErrNotFound, ErrUnavailable.
	GetObject(ctx context.Context, hash string) ([]byte, error)
}

// HostStatus is an entry of the platform's list of hosts, which lags behind the actual state.
type HostStatus struct {
	Name    string    `json:"name"`
	Centre  string    `json:"centre"`
	Role    string    `json:"role"`    // "entry" or "upstream"
	State   string    `json:"state"`   // "live", "leaving", "rebooting" or "gone"
	Changed time.Time `json:"changed"` // when the platform noticed the state, on its own clock
}

// HostAction is an action of the platform on a host.
type HostAction string

// Actions on hosts.
const (
	ActionReboot  HostAction = "reboot"
	ActionReplace HostAction = "replace"
)

// HostList gives access to the platform's list of hosts and to its actions on them.
type HostList interface {
	// Hosts returns the list, which lags behind the actual state. Error: ErrUnavailable.
	Hosts(ctx context.Context) ([]HostStatus, error)
	// Act starts an action on a host. It is idempotent for each id. Errors: ErrNotFound, ErrUncertain, ErrUnavailable.
	Act(ctx context.Context, id, host string, action HostAction) error
}

// TaskAction is an action of the platform on a task.
type TaskAction string

// Actions on tasks.
const (
	TaskCheckpoint TaskAction = "checkpoint" // saves the state of the task and stops it
	TaskThrottle   TaskAction = "throttle"   // limits the task to a tenth of its cores
	TaskResume     TaskAction = "resume"     // ends the throttling
	TaskStop       TaskAction = "stop"
	TaskRenew      TaskAction = "renew" // extends the lease
)

// Task is a task on a worker, under a lease.
type Task struct {
	ID     string   `json:"id"` // unique; starting the same ID again has no effect
	Worker string   `json:"worker"`
	Job    string   `json:"job"`
	Cores  float64  `json:"cores"`
	Memory Bytes    `json:"memory"`
	Accel  int      `json:"accel,omitempty"`
	Lease  Duration `json:"lease"` // the worker stops the task if the lease is not renewed within this time
}

// Usage is a report of a worker about a task; it lags behind the actual state.
type Usage struct {
	Task    string    `json:"task"`
	Worker  string    `json:"worker"`
	Job     string    `json:"job"`
	State   string    `json:"state"` // "running", "done", "failed", "stopped" or "saved"
	Cores   float64   `json:"cores"`
	Memory  Bytes     `json:"memory"`
	At      time.Time `json:"at"`
	Message string    `json:"message,omitempty"`
}

// Tasks is the platform's task runner on the workers.
type Tasks interface {
	// StartTask starts a task. Errors: ErrNotFound, ErrUncertain, ErrUnavailable.
	StartTask(ctx context.Context, t Task) error
	// ActTasks applies one action to many tasks. Errors: ErrUncertain, ErrUnavailable.
	ActTasks(ctx context.Context, action TaskAction, ids []string) error
	// Usage returns the reports after position since, and the position for the next call. Error: ErrUnavailable.
	Usage(ctx context.Context, since uint64) ([]Usage, uint64, error)
}

// Platform combines all interfaces of the platform.
type Platform interface {
	Table
	Objects
	HostList
	Tasks
}
