package cuminstair

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of RecordStore, WorkerCalls, Adviser and HostControl.
const (
	// ErrCompacted means that the requested history has been compacted away.
	ErrCompacted = errors.ConstError("the history has been dropped")
	// ErrFenced means that an order carried a lower fencing token than an earlier one.
	ErrFenced = errors.ConstError("a higher fencing token has been seen")
	// ErrStaleRun means that this run or a later one of the task has already ended on the worker.
	ErrStaleRun = errors.ConstError("the run is not higher than one that has ended")
	// ErrLeaseExpired means that the order arrived after the lease that it grants had expired.
	ErrLeaseExpired = errors.ConstError("the lease of the order has expired")
	// ErrNoRoom means that the worker lacks the free resources for the task.
	ErrNoRoom = errors.ConstError("the worker has no room")
	// ErrTicketInvalid means that the adviser's ticket in the order is missing or has expired.
	ErrTicketInvalid = errors.ConstError("the ticket is not valid")
	// ErrNotDone means that the call had no effect; it may be repeated.
	ErrNotDone = errors.ConstError("the call was not carried out")
	// ErrConnRefused is reported together with ErrNotDone if the host is up but nothing listens on the address.
	ErrConnRefused = errors.ConstError("connection refused")
	// ErrOtherIncarnation means that another incarnation of the worker answered, since the worker has restarted.
	ErrOtherIncarnation = errors.ConstError("another incarnation of the worker answered")
	// ErrRestarted means that a later incarnation answers under the ID of the worker, and that it was not sent the order.
	ErrRestarted = errors.ConstError("the worker has restarted")
	// ErrHostNotUp means that the call is refused because the host is not up or is leaving.
	ErrHostNotUp = errors.ConstError("the host is not up or is leaving")
	// ErrMalformed means that the peer rejected the request as invalid; it must not be repeated.
	ErrMalformed = errors.ConstError("the request is malformed")
)

// RecordKey is the key of a record of the store. Part names a partition of the table, for example by service; a
// transaction is limited to one part.
type RecordKey struct {
	Table, Part, Key string
}

// Record is a row of the store.
type Record struct {
	RecordKey
	Value   []byte
	Version uint64 // version of the transaction that wrote the record
	Deleted bool   // set only by Changes
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

// Tx is an atomic transaction on records of one part: it writes only if all checks hold.
type Tx struct {
	Checks  []RecordCheck
	Puts    []RecordPut
	Deletes []RecordKey
}

// Conflict is the error of a transaction whose checks did not hold.
type Conflict struct {
	Records []Record // present state of the checked records
}

// Error implements error.
func (c *Conflict) Error() string { return string(ErrConflict) }

// Is makes a Conflict match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// RecordStore is the platform's store. Every method may return ErrUnavailable, which means that the call had no effect.
type RecordStore interface {
	// Commit returns the version of the transaction. Errors: *Conflict, ErrUncertain.
	Commit(ctx context.Context, tx Tx) (uint64, error)
	// Read returns the records of a part with keys in [from, to), and the store's newest version. An empty to means no
	// upper bound.
	Read(ctx context.Context, table, part, from, to string) ([]Record, uint64, error)
	// Changes returns the records of a table that changed after a version, in order, and the version for the next call.
	// If there is no change yet, it blocks until the first one, for at most the duration wait. Error: ErrCompacted.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Record, uint64, error)
	// Parts returns the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
}

// WorkerCalls sends orders to workers. Errors of all methods: ErrFenced, ErrOtherIncarnation, ErrNotDone (the order had no
// effect), ErrConnRefused, ErrUncertain (the order may take effect, even later).
type WorkerCalls interface {
	// Start starts a task and returns the time on the worker's clock. It has no effect on a run that was already
	// started, and is not sent to a later incarnation than w.Incarnation. Further errors: ErrRestarted, ErrStaleRun,
	// ErrLeaseExpired, ErrNoRoom, ErrTicketInvalid, ErrMalformed.
	Start(ctx context.Context, w WorkerInfo, order StartOrder) (time.Duration, error)
	// Stop stops a run, or prevents it from starting later.
	Stop(ctx context.Context, w WorkerInfo, task TaskID, run, token int64) error
	// Hold extends the lease of all running tasks to a time on the worker's clock, acknowledges the ended runs whose Seq
	// is at most seen, and waits up to wait for a run to end. A zero lease extends nothing. The lease and the
	// acknowledgement are withheld if they could reach a later incarnation than w.Incarnation.
	Hold(ctx context.Context, w WorkerInfo, lease time.Duration, token, seen int64, wait time.Duration) (WorkerReport, error)
	// Pace limits the processor time of a task to a share of 0 to 100 percent.
	Pace(ctx context.Context, w WorkerInfo, task TaskID, run int64, percent int, token int64) error
}

// Adviser decides which workers may run a step.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step, by worker ID, and for how long the tickets
	// are valid, or 0 if that is not reported. Errors: ErrNotDone, ErrUncertain.
	Advise(ctx context.Context, step StepID, workers []string) (map[string]string, time.Duration, error)
}

// HostControl is the platform's controller of hosts. The calls for each host are fenced by holder and token.
type HostControl interface {
	// List returns all hosts. Error: ErrUnavailable.
	List(ctx context.Context) ([]HostRecord, error)
	// Maintain takes a host down for maintenance as part of a wave. Errors: ErrFenced, ErrHostNotUp, ErrMalformed,
	// ErrUncertain, ErrNotDone.
	Maintain(ctx context.Context, holder string, token int64, host string, wave int) error
	// Move puts a host into another pool. Errors as Maintain.
	Move(ctx context.Context, holder string, token int64, host, pool string) error
}
