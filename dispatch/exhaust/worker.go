package exhaust

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Properties of the workers.
const (
	maxLease  = 10 * time.Second // longest lease that a worker grants
	stopGrace = 400 * time.Millisecond
	stopTime  = 200 * time.Millisecond // from a stop to the end of the run
	startup   = 900 * time.Millisecond // from the start of a long-running task until it is at work
	slowClock = 0.98                   // rate of the clock of the second worker
	taskCPU   = 20000                  // thousandths of a core; a worker has room for one task
)

// run is a run on a worker.
type run struct {
	task    cuminstair.TaskID
	number  int64
	started time.Time
	begunAs int       // number of its start among all starts and ends
	stopAt  time.Time // when its stop takes effect; zero: it is not being stopped
}

// end is an entry of the list of ended runs.
type end struct {
	cuminstair.EndedTask
	at     int  // number of the end among all starts and ends
	lapsed bool // the lease lapsed since
}

// worker is a host and the worker on it.
type worker struct {
	addr, host  string
	id          string
	cpu         int
	rate        float64 // of its clock
	up          bool
	born        time.Time
	incarnation int64
	token       int64
	lease       time.Duration // on its clock
	runs        []*run
	barred      map[cuminstair.TaskID]int64 // by task: highest run that has ended or was stopped
	ends        []end
	seq         int64
	cut         bool // calls do not reach it
	parted      bool // calls of the newest owner do not reach it
	entry       cuminstair.WorkerInfo
	listed      bool
	beatAt      time.Time // when it last wrote its entry
	lives       int       // IDs used at this address
}

func (w *worker) clock(now time.Time) time.Duration {
	return time.Duration(w.rate * float64(now.Sub(w.born)))
}

// boot starts an incarnation.
func (w *worker) boot(now time.Time) {
	w.up, w.born, w.incarnation = true, now, now.UnixMilli()
	w.token, w.lease, w.seq, w.runs, w.ends = 0, 0, 0, nil, nil
	w.barred = map[cuminstair.TaskID]int64{}
	w.beat(now)
}

// beat writes the worker's entry in the list of workers.
func (w *worker) beat(now time.Time) {
	w.entry = cuminstair.WorkerInfo{
		ID: w.id, Service: service, Addr: w.addr, Host: w.host, Incarnation: w.incarnation, CPU: w.cpu, Memory: 131072, Rack: w.host,
		Version: w.entry.Version + 1,
	}
	w.listed, w.beatAt = true, now
}

func (w *worker) crash() { w.up, w.runs, w.ends = false, nil, nil }

func (w *worker) extend(now time.Time, lease time.Duration) {
	w.lease = max(w.lease, min(lease, w.clock(now)+maxLease))
}

func (w *worker) find(task cuminstair.TaskID) *run {
	for _, r := range w.runs {
		if r.task == task {
			return r
		}
	}
	return nil
}

// endRun ends a run.
func (x *world) endRun(w *worker, r *run, how cuminstair.TaskEnd) {
	w.runs = slices.DeleteFunc(w.runs, func(o *run) bool { return o == r })
	w.seq++
	x.actions++
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.ends = append(w.ends, end{EndedTask: cuminstair.EndedTask{Seq: w.seq, Task: r.task, Run: r.number, How: how}, at: x.actions})
	x.notef("worker %s: run %d of task %d ends, %v", w.id, r.number, r.task.Index, how)
}

// work ends the runs of a worker whose lease has lapsed or whose stop has taken effect, and keeps its entry in the list.
func (x *world) work(w *worker) {
	if !w.up {
		w.listed = w.listed && x.now.Sub(w.beatAt) < entryTime
		return
	}
	if x.now.Sub(w.beatAt) >= beatInterval {
		w.beat(x.now)
	}
	if lapsed := w.clock(x.now) > w.lease; lapsed && (len(w.runs) > 0 || len(w.ends) > 0) {
		for len(w.runs) > 0 {
			x.endRun(w, w.runs[0], cuminstair.EndLeaseExpired)
		}
		for i := range w.ends {
			w.ends[i].lapsed = true
		}
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.stopAt.IsZero() && !x.now.Before(r.stopAt) {
			x.endRun(w, r, cuminstair.EndStopped)
		}
	}
}

// carryOut carries an order out at a worker that is up. done is whether it is answered now.
func (x *world) carryOut(w *worker, o *dispatch.Order) (rep cuminstair.WorkerReport, done bool, err error) {
	switch {
	case o.Worker.ID != w.id:
		return rep, true, cuminstair.ErrOtherIncarnation
	case o.Token < w.token:
		return rep, true, cuminstair.ErrFenced
	}
	w.token = o.Token
	switch o.Kind {
	case dispatch.OrderStart:
		err = x.start(w, o)
	case dispatch.OrderStop:
		x.stop(w, o)
	case dispatch.OrderRenew:
		return x.renew(w, o)
	default:
	}
	return cuminstair.WorkerReport{Clock: w.clock(x.now), Incarnation: w.incarnation}, true, err
}

func (x *world) start(w *worker, o *dispatch.Order) error {
	if o.Start.Lease <= w.clock(x.now) {
		return cuminstair.ErrLeaseExpired
	}
	w.extend(x.now, o.Start.Lease)
	if r := w.find(o.Task); r != nil && r.number == o.Run {
		return nil
	}
	if o.Run <= w.barred[o.Task] {
		return cuminstair.ErrStaleRun
	}
	x.actions++
	r := &run{task: o.Task, number: o.Run, started: x.now, begunAs: x.actions}
	x.notef("worker %s (born %d): run %d of task %d begins", w.id, w.incarnation, r.number, r.task.Index)
	x.checkStart(w, r)
	w.runs = append(w.runs, r)
	x.lastStart[o.Task] = r.begunAs
	return nil
}

func (x *world) stop(w *worker, o *dispatch.Order) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	for _, r := range w.runs {
		if r.task == o.Task && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = x.now.Add(stopTime)
		}
	}
}

// renew carries out a renewal. An acknowledgement reaches only the incarnation that the owner knows.
func (x *world) renew(w *worker, o *dispatch.Order) (rep cuminstair.WorkerReport, done bool, err error) {
	if o.Lease > 0 {
		w.extend(x.now, o.Lease)
	}
	withheld := o.Seen > 0 && o.Worker.Incarnation != w.incarnation
	var kept []end
	for _, e := range w.ends {
		if withheld || e.Seq > o.Seen {
			kept = append(kept, e)
			continue
		}
		x.acknowledged(w, e)
	}
	w.ends = kept
	rep = x.report(w)
	rep.AckWithheld = withheld
	return rep, o.Wait == 0 || len(w.ends) > 0, nil
}

// report returns the worker's lists.
func (x *world) report(w *worker) cuminstair.WorkerReport {
	rep := cuminstair.WorkerReport{Clock: w.clock(x.now).Truncate(time.Millisecond), Incarnation: w.incarnation}
	for _, r := range w.runs {
		percent := min(99, int(x.now.Sub(r.started)/time.Second))
		if x.opts.LongRunning && x.now.Sub(r.started) >= startup {
			percent = 100
		}
		rep.Running = append(rep.Running, cuminstair.RunningTask{Task: r.task, Run: r.number, Percent: percent})
	}
	for _, e := range w.ends {
		rep.Ended = append(rep.Ended, e.EndedTask)
	}
	return rep
}
