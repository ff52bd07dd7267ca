package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Parameters of the fake pool.
const (
	tick            = 20 * time.Millisecond
	hostCPU         = 32000
	hostMemory      = 131072
	confirmationAge = 500 * time.Millisecond // age of the store's last confirmation of the owner
	startup         = 900 * time.Millisecond
	stopGrace       = 400 * time.Millisecond
	validity        = 800 * time.Millisecond // validity of tickets
	maxListedEnds   = 500                    // in one report
	maxLease        = 10 * time.Second       // longest lease that a worker grants
	restartTime     = 3 * time.Second        // from a crash to the start of another worker at the address
)

var begin = time.Unix(1_700_000_000, 0)

// fakeRun is a run on a fake worker.
type fakeRun struct {
	run         int64
	started     time.Time
	stopOrdered time.Time // when its stop was ordered; zero: never
	cpu         int
	saved       string // its newest checkpoint
}

// fakeWorker implements the worker side of the protocol.
type fakeWorker struct {
	info         cuminstair.WorkerInfo
	startedAt    time.Time
	slowClock    bool // its clock runs 2% slow
	token        int64
	lease        time.Duration
	runs         map[cuminstair.TaskID]*fakeRun
	barred       map[cuminstair.TaskID]int64 // by task: highest run that has ended or was stopped; runs up to it are not started
	ended        []cuminstair.EndedTask
	seq          int64
	crashed      bool      // answers nothing and runs nothing
	partitioned  bool      // answers nothing, but its runs continue
	dropReplies  bool      // starts are executed but not answered
	dropStarts   bool      // starts are lost
	connRefused  bool      // its address refuses connections
	crashAt      time.Time // when a task that it has started crashes it; zero: never
	crashedBy    cuminstair.TaskID
	backAt       time.Time        // when another worker appears at its address after the crash; zero: never
	replaced     bool             // another worker answers at its address
	hangs        bool             // calls fail only once it is reset
	hanging      []dispatch.Order // these calls
	startDelay   time.Duration    // starts are not answered, and executed after this time
	delayed      []delayedStart
	stopDuration time.Duration // time that a stop takes
}

// delayedStart is a start that is executed later.
type delayedStart struct {
	at    time.Time
	order dispatch.Order
}

// pool is a service with fake workers in virtual time.
type pool struct {
	t              *testing.T
	is             *is.I
	now            time.Time
	s              *dispatch.Service
	workers        []*fakeWorker
	list           []cuminstair.WorkerInfo
	store          map[cuminstair.RecordKey][]byte
	verifies       bool                            // starts do not reach a later incarnation, as with the client of workers
	entriesLate    bool                            // early reads of the list of workers show no new entries
	storeDown      bool                            // the store answers nothing
	refuses        func(cuminstair.RecordPut) bool // records that the store takes in no transaction
	refusals       int                             // transactions that the store has refused
	withhold       int                             // so many acknowledgements are withheld
	batch          *dispatch.Batch
	duration       func(id cuminstair.TaskID) time.Duration
	slowOn         func(id cuminstair.TaskID, w *fakeWorker) bool // whether a task takes 7 times as long on a worker
	noProgress     bool                                           // runs report no progress
	fails          func(id cuminstair.TaskID, w *fakeWorker) bool
	crashes        func(id cuminstair.TaskID) bool // whether a task crashes the worker that starts it
	lostStarts     int                             // so many starts are lost, each with its worker, which crashes
	crashDelay     time.Duration                   // from the start of such a task to the crash; negative: the start is not answered
	crashCount     map[cuminstair.TaskID]int       // by task: workers that it has crashed
	replacements   int                             // workers started in the place of crashed ones
	runsLost       int                             // runs of other tasks that ended with a worker that a task has crashed
	starts         map[cuminstair.TaskID]int
	duplicateRuns  int // runs that started while another run of the task was active
	overCapacity   int // starts that exceeded the capacity of a worker
	overLimit      int // starts beyond the limit of tasks of their step on a worker
	specs          map[string]*cuminstair.JobSpec
	confirmedAt    time.Time
	gauge          float64 // reported tail latency of tasks with a target, in milliseconds
	cpuShare       int     // from the last OrderPace
	paceOrders     int
	lostPaceOrders int // orders that do not reach their worker
	orders         []dispatch.Order
	approved       map[string]bool      // by worker: whether the adviser approves it; nil: the queue needs no advice
	workersQueried int                  // workers named in calls to the adviser
	issued         map[string]time.Time // by ticket: when it was last issued
	invalidTickets int                  // starts without a valid ticket for the worker
}

func newPool(t *testing.T, workers int) *pool {
	p := &pool{
		t: t, is: is.New(t), now: begin, store: map[cuminstair.RecordKey][]byte{}, starts: map[cuminstair.TaskID]int{},
		specs: map[string]*cuminstair.JobSpec{}, issued: map[string]time.Time{},
		duration: func(cuminstair.TaskID) time.Duration { return 600 * time.Millisecond },
		slowOn:   func(cuminstair.TaskID, *fakeWorker) bool { return false },
		fails:    func(cuminstair.TaskID, *fakeWorker) bool { return false },
		refuses:  func(cuminstair.RecordPut) bool { return false },
		crashes:  func(cuminstair.TaskID) bool { return false }, crashCount: map[cuminstair.TaskID]int{},
		crashDelay: 10 * time.Millisecond,
	}
	for i := range workers {
		p.addWorker(string(rune('a'+i)), i)
	}
	p.takeOver(100, 0)
	return p
}

func (p *pool) addWorker(id string, rack int) {
	w := &fakeWorker{
		info: cuminstair.WorkerInfo{
			ID: id, Service: "s", Addr: id + ":1", Incarnation: p.now.UnixMilli(), CPU: hostCPU, Memory: hostMemory,
			Rack: string(rune('0' + rack%3)),
		},
		startedAt: p.now, runs: map[cuminstair.TaskID]*fakeRun{}, barred: map[cuminstair.TaskID]int64{},
	}
	p.workers = append(p.workers, w)
	p.list = append(p.list, w.info)
}

// takeOver starts a new owner from the records in the store.
func (p *pool) takeOver(token int64, earlierOwnerGrace time.Duration) {
	p.s = dispatch.New("s", token, p.now, hclog.NewNullLogger())
	p.s.Bounds = cuminstair.Bounds{StopGrace: stopGrace, StateRetention: time.Minute, MaxLease: maxLease}
	p.s.EarlierOwnerGrace, p.s.Grace = earlierOwnerGrace, 6*time.Second
	p.batch = nil
	p.confirmedAt = p.now
	var jobs, runs, workers []cuminstair.Record
	for key, value := range p.store {
		r := cuminstair.Record{RecordKey: key, Value: value}
		switch key.Table {
		case dispatch.JobTable:
			jobs = append(jobs, r)
		case dispatch.RunTable:
			runs = append(runs, r)
		case dispatch.WorkerTable:
			workers = append(workers, r)
		}
	}
	p.s.Recover(p.now, jobs, runs, workers)
	p.s.SetWorkers(p.now, p.list)
}

// run advances the virtual time by d.
func (p *pool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		p.crashWorkers()
		p.failHanging()
		p.endRuns()
		p.confirmedAt = p.now.Add(-confirmationAge)
		p.s.SetAlive(p.now)
		p.s.SetListRead(p.now)
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, p.confirmedAt)...) {
			p.execute(o)
		}
		p.writeBatch()
	}
}

// readList passes the list of workers to the owner, with the entries that the workers have written by now.
func (p *pool) readList() {
	for i, info := range p.list {
		if w := p.worker(info.ID); w != nil {
			p.list[i] = w.info
		}
	}
	p.s.SetWorkers(p.now, p.list)
}

// writeBatch makes the calls to the store that are due.
func (p *pool) writeBatch() {
	if p.s.ListDue(p.now) && !p.entriesLate {
		p.readList()
	}
	if p.batch == nil {
		p.batch = p.s.Batch(p.now)
	}
	if p.storeDown || p.batch == nil {
		p.s.AnswerLate(p.now, p.batch)
		return
	}
	if slices.ContainsFunc(p.batch.Puts, p.refuses) {
		p.refusals++
		p.s.Refused(p.now, p.batch)
		p.batch = nil
		return
	}
	for _, put := range p.batch.Puts {
		p.store[put.RecordKey] = put.Value
	}
	for _, key := range p.batch.Deletes {
		delete(p.store, key)
	}
	p.s.Stored(p.now, p.batch)
	p.batch = nil
}

// crashWorkers crashes the workers that have started a task that crashes them, and starts others in the place of those
// that have crashed.
func (p *pool) crashWorkers() {
	for _, w := range p.workers {
		switch {
		case !w.crashed && !w.crashAt.IsZero() && !p.now.Before(w.crashAt):
			w.crashed, w.backAt = true, p.now.Add(restartTime)
			p.crashCount[w.crashedBy]++
			p.runsLost += len(w.runs) - 1
		case !w.backAt.IsZero() && !p.now.Before(w.backAt):
			w.replaced, w.backAt = true, time.Time{}
			p.unlist(w.info.ID)
			p.replacements++
			p.addWorker(fmt.Sprintf("r%d", p.replacements), p.replacements)
			p.s.SetWorkers(p.now, p.list)
		}
	}
}

// failHanging fails the calls that have waited for workers which hang no more.
func (p *pool) failHanging() {
	for _, w := range p.workers {
		for !w.hangs && len(w.hanging) > 0 {
			o := w.hanging[0]
			w.hanging = w.hanging[1:]
			p.deliver(o, cuminstair.ErrUncertain, nil)
		}
	}
}

// clock returns the time on the worker's clock.
func (w *fakeWorker) clock(now time.Time) time.Duration {
	d := now.Sub(w.startedAt)
	if w.slowClock {
		d -= d / 50
	}
	return d
}

// extend takes a lease, which is shortened to maxLease.
func (w *fakeWorker) extend(now time.Time, lease time.Duration) {
	w.lease = max(w.lease, min(lease, w.clock(now)+maxLease))
}

// unlist removes a worker from the list of workers.
func (p *pool) unlist(id string) {
	p.list = slices.DeleteFunc(p.list, func(info cuminstair.WorkerInfo) bool { return info.ID == id })
}

// endRuns ends the runs that have finished, were stopped, or lost their lease.
func (p *pool) endRuns() {
	for _, w := range p.workers {
		p.executeDelayed(w)
		for id, r := range w.runs {
			switch {
			case w.crashed:
				delete(w.runs, id)
			case w.clock(p.now) > w.lease:
				w.end(id, r, cuminstair.EndLeaseExpired)
			case !r.stopOrdered.IsZero() && p.now.Sub(r.stopOrdered) >= w.stopDuration:
				w.end(id, r, cuminstair.EndStopped)
			case !p.step(id).LongRunning && p.now.Sub(r.started) >= p.durationOn(id, w):
				how := cuminstair.EndDone
				if p.fails(id, w) {
					how = cuminstair.EndFailed
				}
				w.end(id, r, how)
			}
		}
	}
}

// executeDelayed executes the delayed starts that are due, unless their lease has expired or their run was stopped.
func (p *pool) executeDelayed(w *fakeWorker) {
	for len(w.delayed) > 0 && !p.now.Before(w.delayed[0].at) {
		o := w.delayed[0].order
		w.delayed = w.delayed[1:]
		if o.Token < w.token || o.Run <= w.barred[o.Task] || w.clock(p.now) > o.Start.Lease {
			continue
		}
		p.launch(w, o)
	}
}

func (p *pool) step(id cuminstair.TaskID) cuminstair.JobStep { return p.specs[id.Job].Steps[id.Step] }

func (w *fakeWorker) end(id cuminstair.TaskID, r *fakeRun, how cuminstair.TaskEnd) {
	delete(w.runs, id)
	w.seq++
	w.barred[id] = r.run
	w.ended = append(w.ended, cuminstair.EndedTask{Seq: w.seq, Task: id, Run: r.run, How: how, Checkpoint: r.saved})
}

func (p *pool) durationOn(id cuminstair.TaskID, w *fakeWorker) time.Duration {
	if p.slowOn(id, w) {
		return 7 * p.duration(id)
	}
	return p.duration(id)
}

func (p *pool) worker(id string) *fakeWorker {
	for _, w := range p.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

// refuses returns the error of a call that the worker, which may be nil, does not carry out.
func (w *fakeWorker) refuses(o *dispatch.Order, verifies bool) error {
	down := w == nil || w.crashed || w.partitioned
	switch {
	case !down && o.Token < w.token:
		return cuminstair.ErrFenced
	case w != nil && w.replaced:
		return cuminstair.ErrOtherIncarnation
	case down:
		return cuminstair.ErrNotDone
	case w.connRefused:
		return fmt.Errorf("%w: %w", cuminstair.ErrNotDone, cuminstair.ErrConnRefused)
	case verifies && o.Kind == dispatch.OrderStart && o.Worker.Incarnation != w.info.Incarnation:
		return cuminstair.ErrRestarted
	}
	return nil
}

func (p *pool) execute(o dispatch.Order) {
	switch o.Kind {
	case dispatch.OrderStart:
		p.orders = append(p.orders, o)
	case dispatch.OrderAdvise:
		p.advise(o)
		return
	default:
	}
	w := p.worker(o.Worker.ID)
	err := w.refuses(&o, p.verifies)
	if w != nil && w.hangs && !errors.Is(err, cuminstair.ErrFenced) {
		w.hanging = append(w.hanging, o)
		return
	}
	if err != nil {
		p.deliver(o, err, nil)
		return
	}
	w.token = o.Token
	switch o.Kind {
	case dispatch.OrderStart:
		p.executeStart(w, o)
	case dispatch.OrderStop:
		if r, ok := w.runs[o.Task]; ok && r.run <= o.Run {
			r.stopOrdered = p.now
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		p.s.Stopped(p.now, o, nil)
	case dispatch.OrderRenew:
		p.renew(w, o)
	case dispatch.OrderPace:
		p.paceOrders++
		if p.lostPaceOrders > 0 {
			p.lostPaceOrders--
			p.s.Paced(o, cuminstair.ErrUncertain)
			return
		}
		p.cpuShare = o.Percent
		p.s.Paced(o, nil)
	default:
	}
}

// advise issues tickets that name the worker and its incarnation.
func (p *pool) advise(o dispatch.Order) {
	tickets := map[string]string{}
	for _, id := range o.Advise.Workers {
		p.workersQueried++
		if p.approved[id] {
			tickets[id] = ticketOf(p.worker(id))
			p.issued[tickets[id]] = p.now
		}
	}
	p.s.Advised(p.now, p.now, o, tickets, validity, nil)
}

func ticketOf(w *fakeWorker) string { return fmt.Sprintf("%s-%d", w.info.ID, w.info.Incarnation) }

func (p *pool) executeStart(w *fakeWorker, o dispatch.Order) {
	if p.approved != nil && (o.Start.Ticket != ticketOf(w) || p.now.Sub(p.issued[o.Start.Ticket]) >= validity) {
		p.invalidTickets++
		p.deliver(o, cuminstair.ErrTicketInvalid, nil)
		return
	}
	w.extend(p.now, o.Start.Lease)
	if w.startDelay > 0 {
		w.delayed = append(w.delayed, delayedStart{at: p.now.Add(w.startDelay), order: o})
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	if p.lostStarts > 0 {
		p.lostStarts--
		w.dropStarts, w.crashAt = true, p.now.Add(tick)
	}
	if w.dropStarts {
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	if o.Run <= w.barred[o.Task] {
		p.deliver(o, cuminstair.ErrStaleRun, nil)
		return
	}
	p.launch(w, o)
	if p.crashDelay < 0 {
		p.crashWorkers()
	}
	if w.dropReplies || w.crashed {
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	p.s.Started(p.now, o, w.clock(p.now), nil)
}

// launch starts a run, and counts violations of capacity and of single execution.
func (p *pool) launch(w *fakeWorker, o dispatch.Order) {
	cpu := p.step(o.Task).CPU
	used, sameStep := cpu, 0
	for id, r := range w.runs {
		used += r.cpu
		if id.Job == o.Task.Job && id.Occurrence == o.Task.Occurrence && id.Step == o.Task.Step {
			sameStep++
		}
	}
	if limit := p.step(o.Task).PerWorker; limit > 0 && sameStep >= limit {
		p.overLimit++
	}
	if used > w.info.CPU {
		p.overCapacity++
	}
	for _, other := range p.workers {
		if _, ok := other.runs[o.Task]; ok && !other.crashed {
			p.duplicateRuns++
		}
	}
	w.runs[o.Task] = &fakeRun{run: o.Run, started: p.now, cpu: cpu}
	p.starts[o.Task]++
	if p.crashes(o.Task) && w.crashAt.IsZero() {
		w.crashAt, w.crashedBy = p.now.Add(p.crashDelay), o.Task
	}
}

func (p *pool) renew(w *fakeWorker, o dispatch.Order) {
	w.extend(p.now, o.Lease)
	withheld := o.Seen > 0 && p.withhold > 0
	if withheld {
		p.withhold--
		o.Seen = 0
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Seq > o.Seen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	r := cuminstair.WorkerReport{
		Clock: w.clock(p.now), Incarnation: w.info.Incarnation, Ended: append([]cuminstair.EndedTask(nil), w.ended...),
		AckWithheld: withheld,
	}
	if len(r.Ended) >= maxListedEnds {
		r.Ended, r.More = r.Ended[:maxListedEnds], true
	}
	for id, x := range w.runs {
		percent := 100
		switch {
		case p.noProgress, p.step(id).LongRunning && p.now.Sub(x.started) < startup:
			percent = 0
		case !p.step(id).LongRunning:
			percent = min(99, int(100*p.now.Sub(x.started)/p.durationOn(id, w)))
		}
		r.Running = append(r.Running, cuminstair.RunningTask{Task: id, Run: x.run, Percent: percent, Gauge: p.gauge, Checkpoint: x.saved})
	}
	p.deliver(o, nil, &r)
}

func (p *pool) deliver(o dispatch.Order, err error, r *cuminstair.WorkerReport) {
	if r == nil {
		r = &cuminstair.WorkerReport{}
	}
	switch o.Kind {
	case dispatch.OrderStart:
		p.s.Started(p.now, o, 0, err)
	case dispatch.OrderStop:
		p.s.Stopped(p.now, o, err)
	case dispatch.OrderRenew:
		p.s.Renewed(p.now, p.now.Add(-time.Millisecond), o.Worker.ID, *r, err)
	default:
	}
}

// submit submits a job and returns a reply that is set once the job is answered.
func (p *pool) submit(id string, steps ...cuminstair.JobStep) *reply {
	a := &reply{}
	spec := &cuminstair.JobSpec{Steps: steps}
	p.specs[id] = spec
	queue := cuminstair.WorkQueue{Name: "q", Service: "s", TargetFactor: 2, Target: 600 * time.Millisecond, Attempts: 3}
	if p.approved != nil {
		queue.Advised, queue.Decision, queue.Validity = true, 20*time.Millisecond, validity
	}
	p.s.Submit(p.now, id, spec, queue, "", a.set)
	return a
}

type reply struct {
	dispatch.Result
	calls int
}

func (a *reply) set(r dispatch.Result) { a.Result, a.calls = r, a.calls+1 }

func step(count, cpu int) cuminstair.JobStep {
	return cuminstair.JobStep{Count: count, CPU: cpu, Memory: 1000, Estimate: 600 * time.Millisecond}
}

// longRunningCPU is the CPU of each long-running task.
const longRunningCPU = 2000

// longRunning returns a long-running step of which one task may be down.
func longRunning(count int) cuminstair.JobStep {
	s := step(count, longRunningCPU)
	s.LongRunning, s.MaxUnavailable = true, 1
	return s
}

// busy returns the workers that run tasks.
func (p *pool) busy() []*fakeWorker {
	var list []*fakeWorker
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			list = append(list, w)
		}
	}
	return list
}

// startPair starts two long-running tasks on different workers and returns the workers.
func (p *pool) startPair() (a, b *fakeWorker) {
	s := longRunning(2)
	s.PerWorker = 1
	p.submit(jobA, s)
	p.run(3 * time.Second)
	busy := p.busy()
	p.is.Equal(len(busy), 2)
	return busy[0], busy[1]
}

// ready counts the long-running tasks of job A that have started up.
func (p *pool) ready() int {
	n := 0
	for _, w := range p.workers {
		for id, r := range w.runs {
			if id.Job == jobA && !w.crashed && p.now.Sub(r.started) >= startup {
				n++
			}
		}
	}
	return n
}

// running counts the runs of job A on workers that have not crashed.
func (p *pool) running() int {
	n := 0
	for _, w := range p.workers {
		for id := range w.runs {
			if id.Job == jobA && !w.crashed {
				n++
			}
		}
	}
	return n
}
