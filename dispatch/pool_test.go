package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Sizes and steps of the pool in these tests.
const (
	tick       = 20 * time.Millisecond
	hostCPU    = 32000
	hostMemory = 131072
	readEvery  = 500 * time.Millisecond // between two readings of the owner records
	startup    = 900 * time.Millisecond
	stopGrace  = 400 * time.Millisecond
	validity   = 800 * time.Millisecond // of tickets
)

var begin = time.Unix(1_700_000_000, 0)

// fakeRun is a run on a fake worker.
type fakeRun struct {
	run     int64
	started time.Time
	stopped time.Time // when its stop was ordered; zero: it was not
	cpu     int
}

// fakeWorker is a worker as the users' protocol describes it.
type fakeWorker struct {
	info     cuminstair.WorkerInfo
	birth    time.Time
	token    int64
	lease    time.Duration
	runs     map[cuminstair.TaskID]*fakeRun
	barred   map[cuminstair.TaskID]int64
	ended    []cuminstair.EndedTask
	seq      int64
	dead     bool          // nothing answers, nothing runs
	cut      bool          // nothing answers, runs go on
	mute     bool          // starts are carried out at once and not answered
	swallow  bool          // starts are lost
	gone     bool          // nobody listens at its address
	delay    time.Duration // starts are not answered and carried out this much later
	late     []lateStart
	slowStop time.Duration // how long a stop takes
}

// lateStart is a start that is carried out later.
type lateStart struct {
	at    time.Time
	order dispatch.Order
}

// pool is a service with fake workers in virtual time.
type pool struct {
	t       *testing.T
	is      *is.I
	now     time.Time
	s       *dispatch.Service
	workers []*fakeWorker
	list    []cuminstair.WorkerInfo
	store   map[cuminstair.RecordKey][]byte
	away    bool // the store does not answer
	batch   *dispatch.Batch
	length  func(id cuminstair.TaskID) time.Duration
	fails   func(id cuminstair.TaskID, w *fakeWorker) bool
	starts  map[cuminstair.TaskID]int
	twice   int // runs that began while another run of the task went on
	over    int // starts that brought a worker over its capacity
	specs   map[string]*cuminstair.JobSpec
	confirm time.Time
	gauge   float64 // tail of tasks with a target, in milliseconds
	share   int     // that the last order gave a best-effort task
	orders  []dispatch.Order
	good    map[string]bool      // by worker: may run steps of the queue; nil: the queue needs no advice
	asked   int                  // workers that the adviser was asked about
	issued  map[string]time.Time // by ticket: when it was given last
	barred  int                  // starts without a valid ticket of the worker
}

func newPool(t *testing.T, workers int) *pool {
	p := &pool{
		t: t, is: is.New(t), now: begin, store: map[cuminstair.RecordKey][]byte{}, starts: map[cuminstair.TaskID]int{},
		specs: map[string]*cuminstair.JobSpec{}, issued: map[string]time.Time{},
		length: func(cuminstair.TaskID) time.Duration { return 600 * time.Millisecond },
		fails:  func(cuminstair.TaskID, *fakeWorker) bool { return false },
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
			ID: id, Service: "s", Addr: id + ":1", Born: p.now.UnixMilli(), CPU: hostCPU, Memory: hostMemory,
			Rack: string(rune('0' + rack%3)),
		},
		birth: p.now, runs: map[cuminstair.TaskID]*fakeRun{}, barred: map[cuminstair.TaskID]int64{},
	}
	p.workers = append(p.workers, w)
	p.list = append(p.list, w.info)
}

// takeOver starts a new owner from what the store has.
func (p *pool) takeOver(token int64, challenge time.Duration) {
	p.s = dispatch.New("s", token, p.now, hclog.NewNullLogger())
	p.s.Bounds = cuminstair.Bounds{StopGrace: stopGrace, KeepState: time.Minute}
	p.s.Challenge, p.s.Grace = challenge, 6*time.Second
	p.batch = nil
	p.confirm = p.now
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

// run lets time pass.
func (p *pool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(tick) {
		p.work()
		p.confirm = p.now.Add(-readEvery)
		for _, o := range append([]dispatch.Order(nil), p.s.Decide(p.now, p.confirm)...) {
			p.carryOut(o)
		}
		p.write()
	}
}

func (p *pool) write() {
	if p.batch == nil {
		p.batch = p.s.Batch(p.now)
	}
	if p.away || p.batch == nil {
		p.s.AnswerLate(p.now, p.batch)
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

// work ends the runs that are over.
func (p *pool) work() {
	for _, w := range p.workers {
		p.carryOutLate(w)
		for id, r := range w.runs {
			switch {
			case w.dead:
				delete(w.runs, id)
			case p.now.Sub(w.birth) > w.lease:
				w.end(id, r, cuminstair.EndLapsed)
			case !r.stopped.IsZero() && p.now.Sub(r.stopped) >= w.slowStop:
				w.end(id, r, cuminstair.EndStopped)
			case !p.step(id).LongRunning && p.now.Sub(r.started) >= p.length(id):
				how := cuminstair.EndDone
				if p.fails(id, w) {
					how = cuminstair.EndFailed
				}
				w.end(id, r, how)
			}
		}
	}
}

// carryOutLate begins the starts that were held up, unless their lease is over or their run is barred.
func (p *pool) carryOutLate(w *fakeWorker) {
	for len(w.late) > 0 && !p.now.Before(w.late[0].at) {
		o := w.late[0].order
		w.late = w.late[1:]
		if o.Token < w.token || o.Run <= w.barred[o.Task] || p.now.Sub(w.birth) > o.Start.Lease {
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
	w.ended = append(w.ended, cuminstair.EndedTask{Seq: w.seq, Task: id, Run: r.run, How: how})
}

func (p *pool) worker(id string) *fakeWorker {
	for _, w := range p.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

func (p *pool) carryOut(o dispatch.Order) {
	switch o.Kind {
	case dispatch.OrderStart:
		p.orders = append(p.orders, o)
	case dispatch.OrderAdvise:
		p.advise(o)
		return
	default:
	}
	w := p.worker(o.Worker.ID)
	down := w == nil || w.dead || w.cut
	if !down && o.Token < w.token {
		p.answer(o, cuminstair.ErrFenced, nil)
		return
	}
	if down {
		p.answer(o, cuminstair.ErrNotDone, nil)
		return
	}
	if w.gone {
		p.answer(o, fmt.Errorf("%w: %w", cuminstair.ErrNotDone, cuminstair.ErrConnRefused), nil)
		return
	}
	w.token = o.Token
	switch o.Kind {
	case dispatch.OrderStart:
		p.begin(w, o)
	case dispatch.OrderStop:
		if r, ok := w.runs[o.Task]; ok && r.run <= o.Run {
			r.stopped = p.now
		}
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		p.s.Stopped(p.now, o, nil)
	case dispatch.OrderHold:
		p.hold(w, o)
	case dispatch.OrderPace:
		p.share = o.Percent
	default:
	}
}

// advise gives tickets that name the worker and its life.
func (p *pool) advise(o dispatch.Order) {
	tickets := map[string]string{}
	for _, id := range o.Advise.Workers {
		p.asked++
		if p.good[id] {
			tickets[id] = ticketOf(p.worker(id))
			p.issued[tickets[id]] = p.now
		}
	}
	p.s.Advised(p.now, p.now, o, tickets, validity, nil)
}

func ticketOf(w *fakeWorker) string { return fmt.Sprintf("%s-%d", w.info.ID, w.info.Born) }

func (p *pool) begin(w *fakeWorker, o dispatch.Order) {
	if p.good != nil && (o.Start.Ticket != ticketOf(w) || p.now.Sub(p.issued[o.Start.Ticket]) >= validity) {
		p.barred++
		p.answer(o, cuminstair.ErrTicket, nil)
		return
	}
	w.lease = max(w.lease, o.Start.Lease)
	if w.delay > 0 {
		w.late = append(w.late, lateStart{at: p.now.Add(w.delay), order: o})
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	if w.swallow {
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	if o.Run <= w.barred[o.Task] {
		p.answer(o, cuminstair.ErrOldRun, nil)
		return
	}
	p.launch(w, o)
	if w.mute {
		p.s.Started(p.now, o, 0, cuminstair.ErrUncertain)
		return
	}
	p.s.Started(p.now, o, p.now.Sub(w.birth), nil)
}

// launch begins a run and notes what must not happen.
func (p *pool) launch(w *fakeWorker, o dispatch.Order) {
	cpu := p.step(o.Task).CPU
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.info.CPU {
		p.over++
	}
	for _, other := range p.workers {
		if _, ok := other.runs[o.Task]; ok && !other.dead {
			p.twice++
		}
	}
	w.runs[o.Task] = &fakeRun{run: o.Run, started: p.now, cpu: cpu}
	p.starts[o.Task]++
}

func (p *pool) hold(w *fakeWorker, o dispatch.Order) {
	if o.Lease > 0 {
		w.lease = max(w.lease, o.Lease)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Seq > o.Seen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	r := cuminstair.WorkerReport{Clock: p.now.Sub(w.birth), Born: w.info.Born, Ended: append([]cuminstair.EndedTask(nil), w.ended...)}
	for id, x := range w.runs {
		percent := 100
		if !p.step(id).LongRunning {
			percent = min(99, int(100*p.now.Sub(x.started)/p.length(id)))
		} else if p.now.Sub(x.started) < startup {
			percent = 0
		}
		r.Running = append(r.Running, cuminstair.RunningTask{Task: id, Run: x.run, Percent: percent, Gauge: p.gauge})
	}
	p.answer(o, nil, &r)
}

func (p *pool) answer(o dispatch.Order, err error, r *cuminstair.WorkerReport) {
	if r == nil {
		r = &cuminstair.WorkerReport{}
	}
	switch o.Kind {
	case dispatch.OrderStart:
		p.s.Started(p.now, o, 0, err)
	case dispatch.OrderStop:
		p.s.Stopped(p.now, o, err)
	case dispatch.OrderHold:
		p.s.Held(p.now, p.now.Add(-time.Millisecond), o.Worker.ID, *r, err)
	default:
	}
}

// submit hands a job in and returns where its answer will be.
func (p *pool) submit(id string, steps ...cuminstair.JobStep) *answer {
	a := &answer{}
	spec := &cuminstair.JobSpec{Steps: steps}
	p.specs[id] = spec
	queue := cuminstair.WorkQueue{Name: "q", Service: "s", Stretch: 2, Target: 600 * time.Millisecond, Attempts: 3}
	if p.good != nil {
		queue.Advised, queue.Decision, queue.Validity = true, 20*time.Millisecond, validity
	}
	p.s.Submit(p.now, id, spec, queue, a.take)
	return a
}

type answer struct {
	dispatch.Result
	n int
}

func (a *answer) take(r dispatch.Result) { a.Result, a.n = r, a.n+1 }

func step(count, cpu int) cuminstair.JobStep {
	return cuminstair.JobStep{Count: count, CPU: cpu, Memory: 1000, Estimate: 600 * time.Millisecond}
}

// lastingCPU is what each long-running task takes.
const lastingCPU = 2000

// long-running is a step that lasts, one task of which may be missed.
func longRunning(count int) cuminstair.JobStep {
	s := step(count, lastingCPU)
	s.LongRunning, s.MayMiss = true, 1
	return s
}

// busy returns the workers that run something.
func (p *pool) busy() []*fakeWorker {
	var list []*fakeWorker
	for _, w := range p.workers {
		if len(w.runs) > 0 {
			list = append(list, w)
		}
	}
	return list
}

// pair starts two long-running tasks that keep apart and returns their workers.
func (p *pool) pair() (a, b *fakeWorker) {
	s := longRunning(2)
	s.PerWorker = 1
	p.submit(jobA, s)
	p.run(3 * time.Second)
	busy := p.busy()
	p.is.Equal(len(busy), 2)
	return busy[0], busy[1]
}

// atWork counts the long-running tasks of job A that have started up.
func (p *pool) atWork() int {
	n := 0
	for _, w := range p.workers {
		for id, r := range w.runs {
			if id.Job == jobA && !w.dead && p.now.Sub(r.started) >= startup {
				n++
			}
		}
	}
	return n
}

// running counts the runs of job A on workers that live.
func (p *pool) running() int {
	n := 0
	for _, w := range p.workers {
		for id := range w.runs {
			if id.Job == jobA && !w.dead {
				n++
			}
		}
	}
	return n
}
