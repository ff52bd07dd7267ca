package exhaust

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

const (
	service = "s"
	jobID   = "00000000000000aa"
)

// Times of the world.
const (
	shortTick    = 50 * time.Millisecond
	longTick     = 200 * time.Millisecond // in passes longer than shortPass
	shortPass    = time.Second
	settleTick   = 200 * time.Millisecond
	settledTime  = 1500 * time.Millisecond // for which all tasks have to run at the end
	startTime    = 4 * time.Second         // from the moment when a task may start until it runs, with a trial
	firstAge     = 100 * time.Second       // of the workers at the beginning: a lease on their clocks is long on the clock of a later incarnation
	eventTime    = time.Millisecond        // that an event takes
	beatInterval = 1500 * time.Millisecond // between two writes of an entry in the list of workers
	entryTime    = 3 * beatInterval        // for which the entry of a silent worker stays
	listInterval = 300 * time.Millisecond
	hostInterval = 250 * time.Millisecond
	listAge      = 2 * time.Second // most time between the reading of a list and its delivery
)

var begin = time.UnixMilli(1_700_000_000_000)

// world is the true state, with the owners.
type world struct {
	opts      *Options
	now       time.Time
	workers   []*worker
	owners    []*owner // the last one holds the service
	store     map[cuminstair.RecordKey][]byte
	calls     []*call
	lastCall  int                        // number of the last call
	actions   int                        // starts and ends of runs so far
	doneAt    map[cuminstair.TaskID]int  // number of the acknowledged end as done
	reported  map[cuminstair.TaskID]bool // an owner has got a report of an end as done
	lastStart map[cuminstair.TaskID]int
	starts    map[cuminstair.TaskID]sentStart
	crashes   int
	losses    int        // runs that owners have given up
	healedAt  time.Time  // when all faults have ended
	lists     *heldList  // read and not delivered
	hosts     *heldHosts // read and not delivered
	newOrders bool       // starts or stops were ordered in the last tick

	violation  *Violation
	impossible *Event // of opts.First
	trace      *trace
}

// sentStart is the latest start of a task.
type sentStart struct {
	owner    *owner
	addr     string
	run      int64
	sentAt   time.Time
	answered bool // the owner has got an answer, or a report that lists the run
	failed   bool // the owner knows that there is no answer, so that a later owner may know it too
}

// heldList is a list of workers that is delivered late.
type heldList struct {
	readAt time.Time
	list   []cuminstair.WorkerInfo
}

// heldHosts are records of hosts that are delivered late.
type heldHosts struct {
	readAt  time.Time
	records []cuminstair.HostRecord
}

// newWorld returns the world at the first choice.
func newWorld(opts *Options, t *trace) *world {
	x := &world{
		opts: opts, now: begin, store: map[cuminstair.RecordKey][]byte{}, doneAt: map[cuminstair.TaskID]int{}, reported: map[cuminstair.TaskID]bool{},
		lastStart: map[cuminstair.TaskID]int{}, starts: map[cuminstair.TaskID]sentStart{}, trace: t,
	}
	for i, rate := range []float64{1, slowClock} {
		// The rooms differ, so that the choice between two idle workers does not depend on the order of a map.
		w := &worker{
			addr: fmt.Sprintf("addr%d", i), host: fmt.Sprintf("host%d", i), id: string(rune('a' + i)), cpu: 32000 - i*1000, rate: rate,
		}
		w.boot(x.now.Add(-firstAge))
		w.beat(x.now)
		x.workers = append(x.workers, w)
	}
	x.takeOver()
	x.pass(300*time.Millisecond, false)
	x.owners[0].submit()
	x.pass(5*time.Second, true)
	if opts.Running {
		x.pass(2*time.Second, false)
	}
	for _, e := range opts.First {
		if !x.apply(e) {
			x.impossible = &e
			break
		}
	}
	return x
}

// pass lets time pass, until d is over or, if untilOrders, starts or stops have been ordered.
func (x *world) pass(d time.Duration, untilOrders bool) {
	tick := shortTick
	if d > shortPass {
		tick = longTick
	}
	for end := x.now.Add(d); x.violation == nil && x.now.Before(end); {
		x.tick(min(tick, end.Sub(x.now)))
		if untilOrders && x.newOrders {
			return
		}
	}
}

// tick lets a short time pass, in which calls are carried out and answered, and lists are delivered.
func (x *world) tick(d time.Duration) {
	x.now = x.now.Add(d)
	for _, w := range x.workers {
		x.work(w)
	}
	x.progressCalls()
	x.newOrders = false
	x.stepOwners()
}

func (x *world) stepOwners() {
	for _, o := range x.owners {
		o.step()
	}
}

// workerList returns the list of workers as it is now.
func (x *world) workerList() []cuminstair.WorkerInfo {
	var list []cuminstair.WorkerInfo
	for _, w := range x.workers {
		if w.listed {
			list = append(list, w.entry)
		}
	}
	return list
}

// hostRecords returns the records of the hosts as they are now.
func (x *world) hostRecords() []cuminstair.HostRecord {
	var list []cuminstair.HostRecord
	for _, w := range x.workers {
		h := cuminstair.HostRecord{Name: w.host, Pool: service, Phase: cuminstair.PhaseDown}
		if w.up {
			h.Phase, h.Worker = cuminstair.PhaseUp, w.id
		}
		list = append(list, h)
	}
	return list
}

// heal ends all faults. Calls that were not carried out never are.
func (x *world) heal() {
	x.lists, x.hosts = nil, nil
	isAway := func(w *worker) bool { return !w.up || w.cut || w.parted }
	stay := x.opts.Away && (!isAway(x.workers[0]) || !isAway(x.workers[1]))
	for _, w := range x.workers {
		if stay && isAway(w) {
			continue
		}
		w.cut, w.parted = false, false
		if !w.up {
			w.boot(x.now)
		}
	}
	for _, c := range x.calls {
		c.held = false
		if c.state == callLost {
			c.state = callOver
		}
	}
	holder := x.owners[len(x.owners)-1]
	for _, o := range x.owners {
		o.storeCut = false
		if o.frozen {
			o.thaw()
		}
	}
	if holder.dead {
		x.now = x.now.Add(takeoverTime)
		x.takeOver()
	}
}

// notef adds a line to the trace.
func (x *world) notef(format string, args ...any) {
	if x.trace != nil {
		x.trace.add(x.now, fmt.Sprintf(format, args...))
	}
}

// find returns the worker at an address.
func (x *world) find(addr string) *worker {
	for _, w := range x.workers {
		if w.addr == addr {
			return w
		}
	}
	return nil
}

// describe returns a short text for an order.
func describe(o *dispatch.Order) string {
	switch o.Kind {
	case dispatch.OrderStart:
		return fmt.Sprintf("start of run %d of task %d on %s, token %d, lease until %s", o.Run, o.Task.Index, o.Worker.ID, o.Token, o.Start.Lease)
	case dispatch.OrderStop:
		return fmt.Sprintf("stop of run %d of task %d on %s, token %d", o.Run, o.Task.Index, o.Worker.ID, o.Token)
	case dispatch.OrderRenew:
		return fmt.Sprintf("renewal of %s, token %d, lease until %s, wait %s, ends until %d", o.Worker.ID, o.Token, o.Lease, o.Wait, o.Seen)
	default:
		return "other order"
	}
}
