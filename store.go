package cuminstair

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of the store, the workers and the controller of hosts.
const (
	// ErrCompacted means that the history that was asked for has been dropped.
	ErrCompacted = errors.ConstError("the history has been dropped")
	// ErrFenced means that an order carried a lower fencing token than one that was seen before.
	ErrFenced = errors.ConstError("a higher fencing token has been seen")
	// ErrOldRun means that the worker has stopped or ended this run or a later one.
	ErrOldRun = errors.ConstError("the run is not higher than one that has ended")
	// ErrLeaseOver means that the order arrived after its own lease had run out.
	ErrLeaseOver = errors.ConstError("the lease of the order has run out")
	// ErrNoRoom means that the worker has no room for the task.
	ErrNoRoom = errors.ConstError("the worker has no room")
	// ErrTicket means that the order's ticket is missing or has expired.
	ErrTicket = errors.ConstError("the ticket is not valid")
	// ErrNotDone means that the peer answered that it did nothing; the call may be repeated.
	ErrNotDone = errors.ConstError("the call was not carried out")
	// ErrConnRefused means, besides ErrNotDone, that the host of the peer answers and nobody listens at the address.
	ErrConnRefused = errors.ConstError("connection refused")
	// ErrOtherLife means that another life of the worker answered.
	ErrOtherLife = errors.ConstError("another life of the worker is there")
	// ErrBusy means that the host is not up, or leaving.
	ErrBusy = errors.ConstError("the host is busy")
	// ErrMalformed means that the peer can't use the request; it must not be repeated.
	ErrMalformed = errors.ConstError("the request is malformed")
)

// RecordKey names a record of the store.
type RecordKey struct {
	Table, Part, Key string
}

// Record is a row of the store.
type Record struct {
	RecordKey
	Value   []byte
	Version uint64 // of the transaction that wrote it
	Deleted bool   // only in Changes
}

// RecordCheck is a condition of a transaction.
type RecordCheck struct {
	RecordKey
	Version uint64 // 0: the record must not exist
}

// RecordPut writes a record.
type RecordPut struct {
	RecordKey
	Value []byte
}

// Tx is a transaction: all checks hold and all writes happen, or nothing happens. All its records share one part.
type Tx struct {
	Checks  []RecordCheck
	Puts    []RecordPut
	Deletes []RecordKey
}

// Conflict is the error of a transaction whose checks did not hold.
type Conflict struct {
	Records []Record // the checked records as they are
}

// Error implements error.
func (c *Conflict) Error() string { return string(ErrConflict) }

// Is makes a Conflict match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// RecordStore is the platform's store. Every method may return ErrUnavailable, which means that nothing was done.
type RecordStore interface {
	// Commit returns the version of the transaction. Errors: *Conflict, ErrUncertain.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Read returns the records of a part whose keys lie in [from, to), and the store's newest version; an empty to means
	// no upper bound.
	Read(ctx context.Context, table, part, from, to string) ([]Record, uint64, error)
	// Changes returns the records of a table that changed after a version, in order, and the version to go on from. It
	// waits for the first change for at most wait. Error: ErrCompacted.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Record, uint64, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// WorkerCalls are the orders to workers. Errors of all methods: ErrFenced, ErrOtherLife, ErrNotDone (nothing happened), ErrConnRefused,
// ErrUncertain (it may happen, also later).
type WorkerCalls interface {
	// Start starts a task. Starting a run that is there already does nothing. More errors: ErrOldRun, ErrLeaseOver,
	// ErrNoRoom, ErrTicket, ErrMalformed.
	Start(ctx context.Context, w WorkerInfo, order StartOrder) (time.Duration, error)
	// Stop stops a run, or bars it if it has not started.
	Stop(ctx context.Context, w WorkerInfo, task TaskID, run, token int64) error
	// Hold extends the lease of all that runs to a time on the worker's clock, forgets the ends up to seen, and waits for
	// an end for at most wait. A zero lease extends nothing.
	Hold(ctx context.Context, w WorkerInfo, lease time.Duration, token, seen int64, wait time.Duration) (WorkerReport, error)
	// Pace lets a task use a share of its processors, 0 to 100 percent.
	Pace(ctx context.Context, w WorkerInfo, task TaskID, run int64, percent int, token int64) error
}

// Adviser judges which workers may run a step.
type Adviser interface {
	// Advise returns the tickets of those of the workers that may run the step, by worker, and for how long they are
	// valid, 0 if that is not told. Errors: ErrNotDone, ErrUncertain.
	Advise(ctx context.Context, step StepID, workers []string) (map[string]string, time.Duration, error)
}

// HostControl changes hosts. holder and token fence the calls of each host.
type HostControl interface {
	// List returns all hosts. Error: ErrUnavailable.
	List(ctx context.Context) ([]HostRecord, error)
	// Maintain takes a host down for a wave. Errors: ErrFenced, ErrBusy, ErrMalformed, ErrUncertain, ErrNotDone.
	Maintain(ctx context.Context, holder string, token int64, host string, wave int) error
	// Move puts a host into another pool. Errors as Maintain.
	Move(ctx context.Context, holder string, token int64, host, pool string) error
}
