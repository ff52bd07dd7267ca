package exhaust

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// Rules that a violation breaks.
const (
	RuleTwice = "TWICE" // two runs of a task at once, or one after an acknowledged end as done
	RuleRoute = "ROUTE" // more runs of the step on a worker than its limit
	RuleLimit = "LIMIT" // more runs on a worker than it has room for
	RuleEnded = "ENDED" // an owner gives up a run that is alive or may still begin
	RuleAlive = "ALIVE" // a task does not run in time after all faults have ended
)

// Violation is a broken rule.
type Violation struct {
	Rule   string
	Text   string
	Events []Event // all events before it
	Settle bool    // it was seen after the last event
}

// violatef records the first violation of an order of events.
func (x *world) violatef(rule, format string, args ...any) {
	x.notef("%s: %s", rule, fmt.Sprintf(format, args...))
	if x.violation == nil {
		x.violation = &Violation{Rule: rule, Text: fmt.Sprintf(format, args...)}
	}
}

// checkStart checks a run that begins on a worker.
func (x *world) checkStart(w *worker, r *run) {
	if x.doneAt[r.task] > 0 {
		x.violatef(RuleTwice, "run %d of task %d begins on %s after the task was done", r.number, r.task.Index, w.id)
	}
	for _, other := range x.workers {
		if o := other.find(r.task); o != nil {
			x.violatef(RuleTwice, "run %d of task %d begins on %s while run %d is alive on %s", r.number, r.task.Index, w.id, o.number, other.id)
		}
	}
	if n := len(w.runs) + 1; x.opts.PerWorker > 0 && n > x.opts.PerWorker {
		x.violatef(RuleRoute, "run %d of task %d is the %d. run on %s, whose limit is %d", r.number, r.task.Index, n, w.id, x.opts.PerWorker)
	}
	if used := (len(w.runs) + 1) * taskCPU; used > w.cpu {
		x.violatef(RuleLimit, "run %d of task %d brings %s to %d of %d thousandths of a core", r.number, r.task.Index, w.id, used, w.cpu)
	}
}

// acknowledged checks an end that the worker may forget.
func (x *world) acknowledged(w *worker, e end) {
	if e.How != cuminstair.EndDone || e.lapsed {
		return
	}
	x.doneAt[e.Task] = e.at
	if x.lastStart[e.Task] > e.at {
		x.violatef(RuleTwice, "task %d began again after its run %d was done on %s, which is acknowledged now", e.Task.Index, e.Run, w.id)
	}
}

// settle ends all faults and lets time pass until all tasks run, and a little longer. Tasks that may wait for a late start have longDelay more.
func (x *world) settle() {
	x.notef("all faults end")
	x.heal()
	x.healedAt = x.now
	limit := x.now.Add(x.settleLimit())
	waited := false
	mayWait := func(id cuminstair.TaskID) bool {
		waits := x.mayWait(id)
		waited = waited || waits
		return waits
	}
	if x.settleBy(limit, mayWait) && waited {
		x.settleBy(limit.Add(longDelay), func(cuminstair.TaskID) bool { return false })
	}
}

// settleBy lets time pass until all tasks that may not wait have run for settledTime, and reports whether that was before limit.
func (x *world) settleBy(limit time.Time, mayWait func(cuminstair.TaskID) bool) bool {
	var since time.Time
	for x.violation == nil && x.now.Before(limit) {
		x.tick(settleTick)
		switch {
		case !x.allRun(mayWait):
			since = time.Time{}
		case since.IsZero():
			since = x.now
		case x.now.Sub(since) >= settledTime:
			return true
		}
	}
	if x.violation == nil {
		x.violatef(RuleAlive, "not all tasks run %s after the last fault", x.now.Sub(x.healedAt))
	}
	return false
}

// mayWait reports whether the latest start of a task has no answer, on a worker that is up and not reached. Such a start may be
// carried out longDelay after it was sent, and the run goes on for the longest lease from then on. It was sent before the worker
// is known to be silent. A later owner knows of it if the one that sent it does.
func (x *world) mayWait(id cuminstair.TaskID) bool {
	s, ok := x.starts[id]
	if !ok || s.answered || !s.owner.holds() && !s.failed || s.sentAt.After(x.healedAt.Add(startTime)) {
		return false
	}
	w := x.find(s.addr)
	return w.up && !w.reachedBy(x.owners[len(x.owners)-1])
}

// settleLimit is how long after the last fault every task has to run: the longest lease on the slowest clock after that of
// an earlier owner, and the time of a start.
func (x *world) settleLimit() time.Duration {
	limit := maxLease*102/100 + 100*time.Millisecond + startTime
	if len(x.owners) > 1 {
		limit += ownerGrace
	}
	return limit
}

// allRun reports whether each task that may not wait has a run or was reported as done, or the job has ended.
func (x *world) allRun(mayWait func(cuminstair.TaskID) bool) bool {
	switch x.owners[len(x.owners)-1].state.State(jobID) {
	case cuminstair.JobFailed, cuminstair.JobCompleted, cuminstair.JobCancelled:
		return true
	default:
	}
	for i := range x.opts.Tasks {
		id := cuminstair.TaskID{Job: jobID, Index: i}
		if !x.reported[id] && !x.runs(id) && !mayWait(id) {
			return false
		}
	}
	return true
}

func (x *world) runs(id cuminstair.TaskID) bool {
	for _, w := range x.workers {
		if r := w.find(id); r != nil && r.stopAt.IsZero() {
			return true
		}
	}
	return false
}
