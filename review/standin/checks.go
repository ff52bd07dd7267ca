package main

import (
	"time"
)

// Bounds of the rules, as on the sheet of the site.
const (
	cancelBound = 3 * time.Second
	earlyBound  = 250 * time.Millisecond
)

func (j *job) task(name string) *taskState {
	t := j.tasks[name]
	if t == nil {
		t = &taskState{}
		j.tasks[name] = t
	}
	return t
}

// noteEnd records that an end was taken note of.
func (p *platform) noteEnd(e end) {
	id, ok := parseTask(e.task)
	j := p.jobs[id.job]
	if !ok || j == nil {
		return
	}
	t := j.task(e.task)
	switch e.how {
	case "done":
		if j.Steps[id.s].LongRunning {
			return
		}
		if !t.noted {
			t.noted, t.noteAt = true, time.Now()
		}
		if t.last.After(e.at) && !j.Steps[id.s].Duplicates {
			p.rec.breaks("TWICE", "%s was started after a run had ended done, and that end was then taken note of", e.task)
		}
	case "failed":
		t.failed++
	}
}

// checkStart checks the start of a run against the rules.
func (p *platform) checkStart(m *minion, r *run, o order) {
	p.starts++
	j, st, id := r.j, r.st, r.id
	t := j.task(r.task)
	if !j.started {
		j.started = true
	}
	p.rec.add("start %s run %d on %s, token %d, checkpoint %q", r.task, r.no, m.id, o.Token, o.Checkpoint)
	if o.Spec != j.Spec {
		p.rec.breaks("UNASKED", "%s starts with another specification", r.task)
	}
	if o.Checkpoint != "" && !p.valid(r, o.Checkpoint) {
		p.rec.breaks("UNASKED", "%s starts with checkpoint %q, which it has not produced", r.task, o.Checkpoint)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelBound {
		p.rec.breaks("UNASKED", "%s starts %v after the cancellation was acknowledged", r.task, time.Since(j.cancelledAt))
	}
	if j.acceptedAt.IsZero() && j.uncertain == 0 && j.rejected > 0 {
		p.rec.breaks("REFUSED", "%s starts, and all attempts to hand its job in were rejected", r.task)
	}
	if t.running > 0 && !st.Duplicates {
		p.rec.breaks("TWICE", "%s run %d starts on %s while another run is at work", r.task, r.no, m.id)
	}
	if t.noted && !st.LongRunning && (!st.Duplicates || time.Since(t.noteAt) > time.Second) {
		p.rec.breaks("TWICE", "%s run %d starts on %s after a run has ended done", r.task, r.no, m.id)
	}
	if t.failed >= p.attempts && !st.LongRunning && !st.Duplicates {
		p.rec.breaks("BUDGET", "%s starts after %d runs have failed", r.task, t.failed)
	}
	if due := j.due(id.k); !due.IsZero() && time.Until(due) > earlyBound {
		p.rec.breaks("ORDER", "%s starts %v before its time", r.task, time.Until(due))
	}
	for _, a := range st.After {
		for i := range j.Steps[a].Count {
			if !j.task(taskName(taskID{id.job, id.k, a, i})).done {
				p.rec.breaks("ORDER", "%s starts before task %d of step %d is done", r.task, i, a)
				break
			}
		}
	}
	if m.service != j.Service {
		p.rec.breaks("ROUTE", "%s starts on a minion of %s", r.task, m.service)
	}
	near, used := 0, r.cpu
	for _, x := range m.runs {
		used += x.cpu
		if x.id.job == id.job && x.id.k == id.k && x.id.s == id.s {
			near++
		}
	}
	if st.AntiAffinity > 0 && near >= st.AntiAffinity {
		p.rec.breaks("ROUTE", "%s starts beside %d others of its step", r.task, near)
	}
	if used > m.machine.cpu {
		p.rec.breaks("LIMIT", "%s brings %s to %d of %d", r.task, m.id, used, m.machine.cpu)
	}
	t.running++
	t.starts++
	t.last = time.Now()
}

// valid reports whether a checkpoint is one of the task, or of its gang.
func (p *platform) valid(r *run, checkpoint string) bool {
	if len(checkpoint) != 16 || checkpoint[:8] != hex8(hash(workOf(r))) {
		return false
	}
	saved := savedWork(checkpoint)
	if !r.st.Gang {
		return saved <= r.j.task(r.task).saved
	}
	most := time.Duration(0)
	for i := range r.st.Count {
		most = max(most, r.j.task(taskName(taskID{r.id.job, r.id.k, r.id.s, i})).saved)
	}
	return saved <= most
}
