package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// Times of the assignments of queues to services.
const (
	// reconcileInterval is the time between two looks of an owner at the queues whose jobs it has.
	reconcileInterval = 10 * time.Second
	// assignTimeout bounds how long a submission waits for the assignment of its queue. A daemon that is cut off from the store refuses it
	// then.
	assignTimeout = 500 * time.Millisecond
	// maxAssignedAhead is the most queues whose assignments are written before a job comes; a configuration may have thousands.
	maxAssignedAhead = 400
	// assignedPerWrite is the number of assignments in one transaction, which may have 100 checks and writes.
	assignedPerWrite = 45
	// assignSpread is the longest delay, at random, of these writes, so that one daemon makes them and the others read them.
	assignSpread = time.Second
	// closeTimeout is how long an owner may take to store that it is closed to a queue.
	closeTimeout = time.Second
)

// errLagging means that another daemon has applied a later version of the configuration.
const errLagging = errors.ConstError("the configuration of this daemon is out of date")

// assignments has the assignments that this daemon has read or written. A queue gets one when its first job is submitted, or before.
type assignments struct {
	mu    sync.Mutex
	byKey map[assignment.Key]*assigned
	busy  map[assignment.Key]chan struct{} // has an element while a call brings the assignment up to date
}

// assigned is the assignment of a queue as last read.
type assigned struct {
	queue   assignment.Queue
	version uint64           // of the record; 0: there is none
	closed  map[string]int64 // by former service: version of the configuration as of which it is known to be closed
}

// accepts reports whether jobs of the queue may be submitted to a service: the assignment says so, and all others are closed.
func (a *assigned) accepts(service string) bool {
	if a.version == 0 || a.queue.Service != service {
		return false
	}
	for _, f := range a.queue.Former {
		if a.closed[f] < a.queue.Since {
			return false
		}
	}
	return true
}

// find returns a copy of the assignment of a queue as last read.
func (l *assignments) find(key assignment.Key) assigned {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.byKey[key]; a != nil {
		return *a
	}
	return assigned{}
}

// lock waits until no other call brings the assignment of a queue up to date.
func (l *assignments) lock(ctx context.Context, key assignment.Key) (unlock func(), err error) {
	l.mu.Lock()
	if l.busy == nil {
		l.busy = map[assignment.Key]chan struct{}{}
	}
	busy := l.busy[key]
	if busy == nil {
		busy = make(chan struct{}, 1)
		l.busy[key] = busy
	}
	l.mu.Unlock()
	select {
	case busy <- struct{}{}:
		return func() { <-busy }, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the assignment of %s%s: %w", key.Host, key.Prefix, ctx.Err())
	}
}

// list returns copies of all assignments.
func (l *assignments) list() []assigned {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]assigned, 0, len(l.byKey))
	for _, a := range l.byKey {
		all = append(all, *a)
	}
	return all
}

// update records an assignment that was read or written; version is that of its record.
func (l *assignments) update(q assignment.Queue, version uint64) assigned {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byKey == nil {
		l.byKey = map[assignment.Key]*assigned{}
	}
	a := l.byKey[q.Key]
	if a == nil {
		a = &assigned{}
		l.byKey[q.Key] = a
	}
	if version > a.version || version == 0 {
		l.byKey[q.Key] = &assigned{queue: q, version: version, closed: a.closed}
	}
	return *l.byKey[q.Key]
}

// setClosed records that a former service is closed to a queue as of a version of the configuration.
func (l *assignments) setClosed(key assignment.Key, service string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.byKey[key]
	if a == nil {
		return
	}
	closed := map[string]int64{service: version}
	for s, v := range a.closed {
		closed[s] = max(closed[s], v)
	}
	next := *a
	next.closed = closed
	l.byKey[key] = &next
}

// assign returns the assignment of a queue, and brings it up to date if a version of the configuration has sent the queue to another service:
// it writes the assignment, and then closes the former services. The queue's jobs may be submitted after that. renew asks for an
// assignment since that version, since the service has refused an earlier one. Errors: errLagging, those of the store, errNoOwner.
func (d *Daemon) assign(ctx context.Context, q cuminstair.WorkQueue, version int64, renew bool) (assignment.Queue, error) {
	key := assignment.KeyOf(&q)
	if a := d.assignments.find(key); !renew && a.accepts(q.Service) {
		return a.queue, nil
	}
	unlock, err := d.assignments.lock(ctx, key)
	if err != nil {
		return assignment.Queue{}, err
	}
	defer unlock()
	if a := d.assignments.find(key); !renew && a.accepts(q.Service) {
		return a.queue, nil
	}
	a, err := d.readAssignment(ctx, key)
	if err != nil {
		return assignment.Queue{}, err
	}
	next := assignment.New(key, q.Service, version)
	if a.version > 0 {
		var current bool
		if next, current = a.queue.MovedTo(q.Service, version); !current {
			return assignment.Queue{}, fmt.Errorf("assign %s%s: %w", q.Host, q.Prefix, errLagging)
		}
	}
	if renew && next.Since < version {
		next.Since = version
	}
	if a.version == 0 || next.Since != a.queue.Since {
		if a, err = d.writeAssignment(ctx, a, next); err != nil {
			return assignment.Queue{}, err
		}
		d.Log.Info("entry: queue assigned", "host", q.Host, "prefix", q.Prefix, "service", q.Service, "config", version, "former", a.queue.Former)
	}
	for _, f := range a.queue.Former {
		if a.closed[f] >= a.queue.Since {
			continue
		}
		if _, err := d.closeQueue(ctx, f, key, a.queue.Since); err != nil {
			return assignment.Queue{}, err
		}
	}
	return a.queue, nil
}

// readAssignment reads the assignment of a queue from the store. Its version is 0 if there is none.
func (d *Daemon) readAssignment(ctx context.Context, key assignment.Key) (assigned, error) {
	rk := key.Record()
	records, _, err := d.Store.Read(ctx, rk.Table, rk.Part, rk.Key, rk.Key+"\x00")
	if err != nil {
		return assigned{}, fmt.Errorf("read the assignment of %s%s: %w", key.Host, key.Prefix, err)
	}
	if len(records) == 0 {
		return d.assignments.update(assignment.Queue{Key: key}, 0), nil
	}
	return d.applyAssignment(records[0])
}

func (d *Daemon) applyAssignment(r cuminstair.Record) (assigned, error) {
	q, err := assignment.Decode(r.Value)
	if err != nil {
		d.Log.Error("entry: can't read the assignment of a queue", "key", r.Key, "version", r.Version, "error", err)
		return assigned{}, err
	}
	return d.assignments.update(q, r.Version), nil
}

// writeAssignment replaces an assignment. If another daemon has changed it meanwhile, or the answer was lost, the caller tries again.
func (d *Daemon) writeAssignment(ctx context.Context, old assigned, next assignment.Queue) (assigned, error) {
	rk := next.Record()
	version, err := d.Store.Commit(ctx, cuminstair.Tx{
		Checks: []cuminstair.RecordCheck{{RecordKey: rk, Version: old.version}},
		Puts:   []cuminstair.RecordPut{{RecordKey: rk, Value: next.Encode()}},
	})
	if err != nil {
		return assigned{}, fmt.Errorf("write the assignment of %s%s: %w", next.Host, next.Prefix, err)
	}
	return d.assignments.update(next, version), nil
}

// assignAhead reads the assignments when a configuration is applied, and writes missing ones if they are few, so that a daemon that is cut off
// from the store later knows them.
func (d *Daemon) assignAhead(ctx context.Context, c *cuminstair.JobConfig) {
	for _, delay := range []time.Duration{0, rand.N(assignSpread), rand.N(assignSpread), assignSpread} {
		d.sleep(ctx, delay)
		if len(d.unassigned(c)) == 0 || d.config.Load() != c {
			return
		}
		if err := d.readAssignments(ctx); err != nil {
			d.Log.Debug("entry: can't read the assignments of queues", "error", err)
			continue
		}
		if missing := d.unassigned(c); delay > 0 && len(missing) <= maxAssignedAhead {
			d.assignAll(ctx, c, missing)
		}
	}
}

// unassigned returns the queues of a configuration whose jobs can't be submitted yet.
func (d *Daemon) unassigned(c *cuminstair.JobConfig) []cuminstair.WorkQueue {
	var list []cuminstair.WorkQueue
	for _, q := range c.Queues {
		if a := d.assignments.find(assignment.KeyOf(&q)); !a.accepts(q.Service) {
			list = append(list, q)
		}
	}
	return list
}

// assignAll writes the assignments of queues that have none, and brings those of the others up to date. If another daemon does the same, it
// leaves the rest to that one.
func (d *Daemon) assignAll(ctx context.Context, c *cuminstair.JobConfig, queues []cuminstair.WorkQueue) {
	var created []assignment.Queue
	for _, q := range queues {
		key := assignment.KeyOf(&q)
		if d.assignments.find(key).version > 0 {
			_, _ = d.assign(ctx, q, c.Version, false) // otherwise the first job of the queue does it
			continue
		}
		created = append(created, assignment.New(key, q.Service, c.Version))
	}
	for list := range slices.Chunk(created, assignedPerWrite) {
		if err := d.createAssignments(ctx, list); err != nil {
			d.Log.Debug("entry: can't write the assignments of queues", "queues", len(list), "error", err)
			return
		}
	}
	if len(created) > 0 {
		d.Log.Info("entry: queues assigned", "queues", len(created), "config", c.Version)
	}
}

// createAssignments writes the assignments of queues that have none.
func (d *Daemon) createAssignments(ctx context.Context, list []assignment.Queue) error {
	var tx cuminstair.Tx
	for _, q := range list {
		tx.Checks = append(tx.Checks, cuminstair.RecordCheck{RecordKey: q.Record()})
		tx.Puts = append(tx.Puts, cuminstair.RecordPut{RecordKey: q.Record(), Value: q.Encode()})
	}
	version, err := d.Store.Commit(ctx, tx)
	if err != nil {
		return fmt.Errorf("create assignments: %w", err)
	}
	for _, q := range list {
		d.assignments.update(q, version)
	}
	return nil
}

// readAssignments reads the assignments of all queues.
func (d *Daemon) readAssignments(ctx context.Context) error {
	records, _, err := d.Store.Read(ctx, assignment.Table, "", "", "")
	if err != nil {
		return fmt.Errorf("read the assignments of queues: %w", err)
	}
	for _, r := range records {
		_, _ = d.applyAssignment(r) // logged
	}
	return nil
}

// locate returns which of some services has the job, according to the store, or "" if none has.
func (d *Daemon) locate(ctx context.Context, id string, services []string) (string, error) {
	for _, service := range services {
		jobs, _, err := d.Store.Read(ctx, dispatch.JobTable, service, id, id+"\x00")
		if err != nil {
			return "", fmt.Errorf("look for job %s at %s: %w", id, service, err)
		}
		if len(jobs) > 0 {
			return service, nil
		}
	}
	return "", nil
}

// locateElsewhere returns the service other than the present one of its queue that has a job, or "". It reads the assignment, which another
// daemon may have changed.
func (d *Daemon) locateElsewhere(ctx context.Context, x call) (string, error) {
	a, err := d.readAssignment(ctx, assignment.KeyOf(&x.queue))
	if err != nil || a.version == 0 {
		return "", err
	}
	return d.locate(ctx, x.id, a.queue.Others(x.queue.Service))
}

// closeRequest asks an owner to close its service to a queue.
type closeRequest struct {
	Service string         `json:"service"`
	Queue   assignment.Key `json:"queue"`
	Version int64          `json:"version"` // of the configuration
}

type closeReply struct {
	NotOwner bool `json:"not,omitempty"`
	Closed   bool `json:"closed"`
	Jobs     int  `json:"jobs"`
}

// closeQueue closes a service to a queue as of a version of the configuration, and returns how many jobs of it the service has. Errors:
// errNoOwner, errUnanswered; the service may be closed after either.
func (d *Daemon) closeQueue(ctx context.Context, service string, key assignment.Key, version int64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	q := closeRequest{Service: service, Queue: key, Version: version}
	r, addr := d.owner(service)
	var a closeReply
	err := error(errNoOwner)
	switch {
	case r != nil:
		a, err = r.closeQueue(ctx, q)
	case addr != "":
		err = d.peers.post(ctx, addr, closePath, q, &a)
	}
	switch {
	case err != nil:
		return 0, fmt.Errorf("close %s to %s%s: %w", service, key.Host, key.Prefix, err)
	case a.NotOwner:
		signal(d.readOwnersNow)
		return 0, fmt.Errorf("close %s to %s%s: %w", service, key.Host, key.Prefix, errNoOwner)
	case !a.Closed:
		return 0, fmt.Errorf("close %s to %s%s: %w", service, key.Host, key.Prefix, errUnanswered)
	}
	d.assignments.setClosed(key, service, version)
	return a.Jobs, nil
}

// closeQueue passes a closeRequest to the state of the service.
func (r *runner) closeQueue(ctx context.Context, q closeRequest) (closeReply, error) {
	answers := make(chan dispatch.CloseResult, 1)
	if !r.post(func(time.Time) { r.state.CloseQueue(q.Queue, q.Version, func(c dispatch.CloseResult) { answers <- c }) }) {
		return closeReply{NotOwner: true}, nil
	}
	select {
	case c := <-answers:
		return closeReply{Closed: c.Closed, Jobs: c.Jobs}, nil
	case <-r.done:
		return closeReply{NotOwner: true}, nil
	case <-ctx.Done():
		return closeReply{}, fmt.Errorf("owner of %s: %w", r.service, ctx.Err())
	}
}

func (d *Daemon) serveClose(c echo.Context) error {
	var q closeRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	r, _ := d.owner(q.Service)
	if r == nil || r.service == ownership.HostsPart {
		return c.JSON(http.StatusOK, closeReply{NotOwner: true})
	}
	a, err := r.closeQueue(c.Request().Context(), q)
	if err != nil {
		return c.JSON(http.StatusOK, closeReply{})
	}
	return c.JSON(http.StatusOK, a)
}
