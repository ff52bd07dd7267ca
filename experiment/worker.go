package experiment

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/place"
)

const (
	// callDelay is the time of a message one way between a daemon and a worker.
	callDelay = 600 * time.Microsecond
	// callTimeout is the time after which a call without an answer fails.
	callTimeout = 800 * time.Millisecond
	// startupTime is the time until a long-running task is at work.
	startupTime = 900 * time.Millisecond
)

// worker is the far side of the protocol on one host, from its arrival in a pool until the host leaves it.
type worker struct {
	sim         *sim
	host        *host
	info        cuminstair.WorkerInfo
	startedAt   time.Time
	dead        bool // it has ended
	unreachable bool // it runs on, but no call reaches it
	token       int64
	lease       time.Duration
	runs        map[cuminstair.TaskID]*run
	barred      map[cuminstair.TaskID]int64 // by task: highest run that has ended or was stopped
	ended       []cuminstair.EndedTask
	seq         int64
	held        func()     // answers the renewal that waits for an end; nil: none waits
	used        place.Room // what the runs have requested
	leaseTimer  bool
	drainedAt   time.Time // when the owner was last asked to empty it; zero: never
}

// run is a run of a task.
type run struct {
	task    cuminstair.TaskID
	number  int64
	job     *job
	started time.Time
	takes   time.Duration
	room    place.Room
}

func (r *run) lasting() bool { return r.job.lasting }

// coreSeconds is the work done by a run up to a time.
func (r *run) coreSeconds(now time.Time) float64 {
	return now.Sub(r.started).Seconds() * float64(r.room.CPU) / 1000
}

// roomOf is the capacity that a task of a step takes.
func roomOf(st *cuminstair.JobStep) place.Room { return place.Room{CPU: st.CPU, Memory: st.Memory} }

func (w *worker) total() place.Room { return place.Room{CPU: w.info.CPU, Memory: w.info.Memory} }

// shares returns the parts of the worker's processors and of its memory that are in use.
func (w *worker) shares() (cpu, memory float64) {
	return float64(w.used.CPU) / float64(w.info.CPU), float64(w.used.Memory) / float64(w.info.Memory)
}

// tasksOf counts the runs of a step.
func (w *worker) tasksOf(j *job, step int) int {
	n := 0
	for id := range w.runs {
		if id.Job == j.id && id.Step == step {
			n++
		}
	}
	return n
}

const (
	// firstContactTime is the time from the start of a worker until its owner has read the list of workers, asked the
	// worker and stored its name.
	firstContactTime = 400 * time.Millisecond
	// drainTime is how long the owner keeps tasks off a worker that it was asked to empty.
	drainTime = 2100 * time.Millisecond
)

// usable reports whether the owner of the service may give the worker tasks.
func (w *worker) usable() bool {
	now := w.sim.now
	return now.Sub(w.startedAt) >= firstContactTime && (w.drainedAt.IsZero() || now.Sub(w.drainedAt) >= drainTime)
}

func (w *worker) reachable() bool { return !w.dead && !w.unreachable }

func (w *worker) clock() time.Duration { return w.sim.now.Sub(w.startedAt) }

// start carries out a start order.
func (w *worker) start(o *dispatch.Order) error {
	switch {
	case o.Token < w.token:
		return cuminstair.ErrFenced
	case o.Run <= w.barred[o.Task]:
		return cuminstair.ErrStaleRun
	}
	w.token = o.Token
	w.extendLease(o.Start.Lease)
	if w.runs[o.Task] != nil {
		return nil // the order was repeated
	}
	j := w.sim.byID[o.Task.Job]
	r := &run{task: o.Task, number: o.Run, job: j, started: w.sim.now, room: roomOf(&j.spec.Steps[o.Task.Step])}
	r.takes = time.Duration(float64(j.tasks[o.Task.Step][o.Task.Index]) * w.host.size.slowness)
	w.runs[o.Task] = r
	w.used = w.used.Plus(r.room, 1)
	if !w.used.Fits(w.total()) {
		w.sim.count.overCapacity++
	}
	w.sim.taskStarted(r)
	if !r.lasting() {
		w.sim.after(r.takes, func() {
			if w.runs[r.task] == r {
				w.end(r, cuminstair.EndDone)
			}
		})
	}
	return nil
}

// end ends a run and answers the renewal that waits for it.
func (w *worker) end(r *run, how cuminstair.TaskEnd) {
	w.forget(r, how == cuminstair.EndDone)
	w.seq++
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.ended = append(w.ended, cuminstair.EndedTask{Seq: w.seq, Task: r.task, Run: r.number, How: how})
	w.answerHeld()
}

// forget removes a run and counts its work.
func (w *worker) forget(r *run, done bool) {
	delete(w.runs, r.task)
	w.used = w.used.Plus(r.room, -1)
	w.sim.taskEnded(r, done)
}

// die ends the worker and all its runs without a report.
func (w *worker) die() {
	if w.dead {
		return
	}
	w.dead, w.held = true, nil
	for _, r := range w.sortedRuns() {
		w.forget(r, false)
	}
}

// stop stops a run after the time that a task takes to end.
func (w *worker) stop(o *dispatch.Order) error {
	if o.Token < w.token {
		return cuminstair.ErrFenced
	}
	w.token = o.Token
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		w.end(r, cuminstair.EndStopped)
	}
	return nil
}

func (w *worker) extendLease(lease time.Duration) {
	w.lease = max(w.lease, lease)
	w.watchLease()
}

// watchLease ends all runs when the lease runs out.
func (w *worker) watchLease() {
	if w.leaseTimer {
		return
	}
	w.leaseTimer = true
	w.sim.after(w.lease-w.clock()+time.Millisecond, func() {
		w.leaseTimer = false
		if w.dead || len(w.runs) == 0 {
			return
		}
		if w.clock() <= w.lease {
			w.watchLease()
			return
		}
		for _, r := range w.sortedRuns() {
			w.end(r, cuminstair.EndLeaseExpired)
		}
	})
}

// renew carries out a renewal. It is answered once a task has ended that the owner does not know of, or when the time to
// wait is over.
func (w *worker) renew(o *dispatch.Order, answer func(cuminstair.WorkerReport, error)) {
	if o.Token < w.token {
		answer(cuminstair.WorkerReport{}, cuminstair.ErrFenced)
		return
	}
	w.token = o.Token
	if o.Lease > 0 {
		w.extendLease(o.Lease)
	}
	for len(w.ended) > 0 && w.ended[0].Seq <= o.Seen {
		w.ended = w.ended[1:]
	}
	w.answerHeld()
	once := false
	reply := func() {
		if once || !w.reachable() {
			return
		}
		once = true
		answer(w.report(), nil)
	}
	if len(w.ended) > 0 || o.Wait <= 0 {
		reply()
		return
	}
	w.held = reply
	w.sim.after(o.Wait, reply)
}

func (w *worker) answerHeld() {
	if held := w.held; held != nil {
		w.held = nil
		held()
	}
}

// report lists the runs and the ends that are not acknowledged.
func (w *worker) report() cuminstair.WorkerReport {
	r := cuminstair.WorkerReport{Clock: w.clock(), Incarnation: w.info.Incarnation}
	r.Ended = append(r.Ended, w.ended...)
	for _, x := range w.sortedRuns() {
		age := w.sim.now.Sub(x.started)
		percent := 0
		switch {
		case !x.lasting():
			percent = min(99, int(100*age/max(1, x.takes)))
		case age >= startupTime:
			percent = 100
		}
		r.Running = append(r.Running, cuminstair.RunningTask{Task: x.task, Run: x.number, Percent: percent})
	}
	return r
}

func (w *worker) sortedRuns() []*run {
	byName := make(map[string]*run, len(w.runs))
	for id, r := range w.runs {
		byName[fmt.Sprintf("%s/%d/%d", id.Job, id.Step, id.Index)] = r
	}
	list := make([]*run, 0, len(w.runs))
	for _, name := range sortedKeys(byName) {
		list = append(list, byName[name])
	}
	return list
}
