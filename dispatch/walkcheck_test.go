package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// The checks of walks: of starts, stops and ends as the workers see them, and the trace of a violation.

func (w *walk) violation(rule string, t cuminstair.TaskID, text string) {
	if w.broken != "" {
		return
	}
	w.broken = fmt.Sprintf("%s: seed %d at %s: task %s: %s", rule, w.seed, w.sim.now.Sub(begin), taskText(t), text)
	w.note("check", "VIOLATION of "+rule, "why", text)
	for _, d := range w.daemons {
		if d.alive && d.runner != nil {
			w.note(d.runner.name(), beliefText, "workers", d.runner.state.Belief(d.now()))
		}
	}
	w.broken += "\n" + w.explain(t, w.target)
}

func taskText(t cuminstair.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// checkStart checks a start before it is recorded.
func (w *walk) checkStart(r *modelRun) {
	j, step := w.jobs[r.task.Job], w.stepOf(r.task)
	w.checkAsked(j, r.task)
	failed := 0
	for _, x := range w.runs[r.task] {
		if allowsCopies(step) {
			continue
		}
		if x.active() {
			w.violation("TWICE", r.task, fmt.Sprintf("run %d starts on %s by %s while run %d is active on %s", r.run, r.on.info.ID, r.by, x.run, x.on.info.ID))
		}
		if x.ended && x.acked && !x.lapsed {
			switch x.how {
			case cuminstair.EndDone:
				w.violation("TWICE", r.task, fmt.Sprintf("run %d starts on %s by %s after run %d ended done on %s and was acknowledged", r.run, r.on.info.ID, r.by, x.run, x.on.info.ID))
			case cuminstair.EndFailed:
				failed++
			default:
			}
		}
	}
	w.checkPlace(r, step)
	w.checkCheckpoint(r, step)
	if failed >= walkAttempts && !step.LongRunning {
		w.violation("BUDGET", r.task, fmt.Sprintf("run %d starts on %s by %s after %d failures", r.run, r.on.info.ID, r.by, failed))
	}
	for _, i := range step.After {
		for n := range j.spec.Steps[i].Count {
			t := cuminstair.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: i, Index: n}
			if !slices.ContainsFunc(w.runs[t], func(x *modelRun) bool { return x.ended && x.how == cuminstair.EndDone }) {
				w.violation("ORDER", r.task, fmt.Sprintf("run %d starts on %s by %s before task %s is done", r.run, r.on.info.ID, r.by, taskText(t)))
			}
		}
	}
	if j.spec.First > 0 {
		if due := time.UnixMilli(j.spec.First).Add(time.Duration(r.task.Occurrence) * j.spec.Interval); w.sim.now.Add(earlyLimit).Before(due) {
			w.violation("ORDER", r.task, "starts too early")
		}
	}
	if !j.cancelled.IsZero() && w.sim.now.Sub(j.cancelled) > cancelDelay {
		w.violation("UNASKED", r.task, fmt.Sprintf("run %d starts by %s after its job was cancelled", r.run, r.by))
	}
}

// checkpointOwner names what may start from a checkpoint of a task: the task or its gang.
func (w *walk) checkpointOwner(t cuminstair.TaskID) string {
	if w.stepOf(t).Gang {
		t.Index = -1
	}
	return taskText(t)
}

// checkCheckpoint checks that a run starts from a checkpoint of its task or gang, and the members of a gang from the same.
func (w *walk) checkCheckpoint(r *modelRun, step *cuminstair.JobStep) {
	if r.from != "" && !strings.HasPrefix(r.from, w.checkpointOwner(r.task)+"/") {
		w.violation("UNASKED", r.task, fmt.Sprintf("run %d starts by %s from %s", r.run, r.by, r.from))
	}
	if !step.Gang {
		return
	}
	for _, x := range w.gang(r) {
		if x.from != r.from {
			w.violation("UNASKED", r.task, fmt.Sprintf("run %d starts by %s from %q, and its member %s from %q", r.run, r.by, r.from, taskText(x.task), x.from))
		}
	}
}

// walkNotice is how long a task may be down before it counts as away whatever the cause.
const walkNotice = 4500 * time.Millisecond

// atWork reports whether a run of a long-running task serves.
func (r *modelRun) atWork() bool { return r.active() && r.on.w.sim.now.Sub(r.begun) >= startup }

// away reports whether a long-running task is away: its last run was ended by a stop, or none has been at work for
// walkNotice.
func (w *walk) away(t cuminstair.TaskID) bool {
	runs := w.runs[t]
	last := time.Time{}
	stopped := false
	for _, r := range runs {
		if r.atWork() {
			return false
		}
		if r.ended && r.endedAt.After(last) {
			last, stopped = r.endedAt, r.how == cuminstair.EndStopped
		}
		if r.on.dead && !r.ended && r.on.diedAt.After(last) {
			last, stopped = r.on.diedAt, false
		}
	}
	return len(runs) > 0 && (stopped || w.sim.now.Sub(last) > walkNotice)
}

// mayBeGivenUp reports whether a job may be shown as failed: two workers have crashed under one of its tasks.
func (w *walk) mayBeGivenUp(j *modelJob) bool {
	for k := range max(1, j.spec.Repeats) {
		for i := range j.spec.Steps {
			for n := range j.spec.Steps[i].Count {
				crashes := 0
				for _, r := range w.runs[cuminstair.TaskID{Job: j.id, Occurrence: k, Step: i, Index: n}] {
					if r.on.dead && !r.ended {
						crashes++
					}
				}
				if crashes > 1 {
					return true
				}
			}
		}
	}
	return false
}

// checkStop checks that a stop does not end a long-running task at work while as many others of its step are away as may
// be.
func (w *walk) checkStop(r *modelRun) {
	step, j := w.stepOf(r.task), w.jobs[r.task.Job]
	if !step.LongRunning || !r.atWork() || r.on.leaving || r.stopLate || j.cancelSent || w.mayBeGivenUp(j) {
		return
	}
	others := 0
	for i := range step.Count {
		t := r.task
		t.Index = i
		if t != r.task && w.away(t) {
			others++
		}
	}
	if others >= step.MaxUnavailable {
		w.violation("AVAIL", r.task, fmt.Sprintf("run %d of %s on %s is stopped while %d others of its step are away; %d may be",
			r.run, r.by, r.on.info.ID, others, step.MaxUnavailable))
	}
}

// checkPlace checks the label of the worker of a start, the number of tasks of the step there, and that no other copy is there.
func (w *walk) checkPlace(r *modelRun, step *cuminstair.JobStep) {
	if step.Label != "" && !slices.Contains(r.on.info.Labels, step.Label) {
		w.violation("ROUTE", r.task, fmt.Sprintf("run %d starts by %s on %s, which lacks the label %s", r.run, r.by, r.on.info.ID, step.Label))
	}
	others := 0
	for _, x := range r.on.runs {
		if x.task == r.task {
			w.violation("TWICE", r.task, fmt.Sprintf("run %d starts on %s by %s beside run %d", r.run, r.on.info.ID, r.by, x.run))
		}
		if x.task.Job == r.task.Job && x.task.Occurrence == r.task.Occurrence && x.task.Step == r.task.Step {
			others++
		}
	}
	if step.PerWorker > 0 && others >= step.PerWorker {
		w.violation("ROUTE", r.task, fmt.Sprintf("run %d starts by %s on %s beside %d others of its step; %d may be there",
			r.run, r.by, r.on.info.ID, others, step.PerWorker))
	}
}

func (w *walk) recordStart(r *modelRun) {
	w.numbers++
	r.startNo = w.numbers
	w.active(r)
	w.counts.starts++
	w.runs[r.task] = append(w.runs[r.task], r)
	w.quotas.checkRun(r)
	w.note(r.by, "run started", "worker", r.on.info.ID, "job", r.task.Job, "occurrence", r.task.Occurrence, "step", r.task.Step, "task", r.task.Index, "run", r.run)
}

func (w *walk) recordEnd(r *modelRun) {
	w.numbers++
	r.endNo = w.numbers
	w.active(r)
}

// active records the time of a start or end of a short task.
func (w *walk) active(r *modelRun) {
	if !w.stepOf(r.task).LongRunning {
		w.activeAt = w.sim.now
	}
}

// checkAcknowledged checks an end that was acknowledged: starts after it may have been wrong.
func (w *walk) checkAcknowledged(r *modelRun) {
	step := w.stepOf(r.task)
	if r.lapsed || allowsCopies(step) || step.LongRunning {
		return
	}
	runs := w.runs[r.task]
	for _, x := range runs {
		if x.startNo < r.endNo {
			continue
		}
		failed := 0
		for _, y := range runs {
			if y.acked && !y.lapsed && y.how == cuminstair.EndFailed && y.endNo < x.startNo {
				failed++
			}
		}
		switch {
		case r.how == cuminstair.EndDone:
			w.violation("TWICE", r.task, fmt.Sprintf("run %d was started on %s by %s after run %d had ended done on %s, which is acknowledged now", x.run, x.on.info.ID, x.by, r.run, r.on.info.ID))
		case failed >= walkAttempts:
			w.violation("BUDGET", r.task, fmt.Sprintf("run %d was started on %s by %s after %d failures, the last acknowledged now", x.run, x.on.info.ID, x.by, failed))
		}
	}
}

// explain returns the trace of a task: the events of its job, of the workers that ran it, and of owners.
func (w *walk) explain(t cuminstair.TaskID, also *process) string {
	on := map[string]bool{}
	if also != nil {
		on[also.info.ID] = true
	}
	for _, r := range w.runs[t] {
		on[r.on.info.ID] = true
	}
	var rows []string
	for _, e := range w.trace {
		if *walkVerbose || e.concerns(t, on) {
			row := fmt.Sprintf("%10s %-9s %s %s", e.at.Sub(begin).Round(100*time.Microsecond), e.who, e.text, argText(e.args))
			if e.text != beliefText {
				row = row[:min(len(row), maxTraceText)]
			}
			rows = append(rows, row)
		}
	}
	if n := len(rows); n > maxTraceRows && !*walkVerbose {
		rows = append(rows[:20], append([]string{fmt.Sprintf("... %d rows ...", n-maxTraceRows)}, rows[n-maxTraceRows+20:]...)...)
	}
	return strings.Join(rows, "\n")
}

func argText(args []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, "%v=%v ", args[i], args[i+1])
	}
	return b.String()
}

// concerns reports whether an event is of interest for a task that ran on some workers.
func (e *traceRow) concerns(t cuminstair.TaskID, on map[string]bool) bool {
	job, worker := "", ""
	for i := 0; i+1 < len(e.args); i += 2 {
		switch e.args[i] {
		case "job":
			job, _ = e.args[i+1].(string)
		case "worker":
			worker, _ = e.args[i+1].(string)
		case "step":
			if n, ok := e.args[i+1].(int); ok && job == t.Job && n != t.Step {
				return false
			}
		case "task":
			if n, ok := e.args[i+1].(int); ok && job == t.Job && n != t.Index {
				return false
			}
		}
	}
	switch {
	case job != "":
		return job == t.Job
	case worker != "":
		return on[worker]
	}
	return true
}
