package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Pauses after failed runs.
const (
	// firstBlock is how long a worker gets no new tasks after two runs failed on it in a row; it doubles with each more.
	firstBlock = time.Second
	maxBlock   = 16 * time.Second
)

// end takes an end from a worker's list.
func (s *Service) end(now time.Time, w *worker, e cuminstair.EndedTask) {
	a := w.attempts[e.Task]
	if a != nil && a.run != e.Run {
		a = nil
	}
	var t *task
	j := s.jobs[e.Task.Job]
	if j != nil {
		t = j.task(e.Task)
	}
	s.judge(now, w, a, e)
	if t != nil && !j.over() {
		t.run = max(t.run, e.Run)
		s.count(now, w, t, e)
		if t.done && t.at != nil && t.at != a {
			s.stop(now, t.at) // a copy that is not needed any more
		}
	}
	if a != nil {
		s.release(now, a)
	}
	s.Log.Debug("dispatch: run has ended", "service", s.Name, "job", e.Task.Job, "step", e.Task.Step, "task", e.Task.Index,
		"run", e.Run, "worker", w.info.ID, "how", e.How)
}

// judge keeps the record of a worker whose runs fail.
func (s *Service) judge(now time.Time, w *worker, a *attempt, e cuminstair.EndedTask) {
	switch e.How {
	case cuminstair.EndDone:
		w.streak = 0
		if a != nil && a.task != nil {
			s.learn(now, a)
		}
	case cuminstair.EndFailed:
		w.streak++
		if w.streak >= 2 {
			w.blocked = now.Add(min(maxBlock, firstBlock<<min(8, w.streak-2)))
			s.Log.Info("dispatch: worker fails runs", "service", s.Name, "worker", w.info.ID, "in a row", w.streak, "blocked until", w.blocked)
		}
	default:
	}
}

// count takes an end into account for its task. The store gets it before the worker may forget it.
func (s *Service) count(now time.Time, w *worker, t *task, e cuminstair.EndedTask) {
	j := t.step.occ.job
	if t.done {
		return
	}
	switch e.How {
	case cuminstair.EndDone:
		if t.step.LongRunning {
			break // it is started again, however it ended
		}
		s.done(now, t)
		if t.step.Gang {
			s.doneGang(now, t.step)
		}
		return
	case cuminstair.EndFailed:
		t.avoid = w.info.ID
		if t.step.LongRunning {
			break
		}
		if slices.Contains(t.failed, e.Run) {
			return
		}
		t.failed = append(t.failed, e.Run)
		s.counts.Failed++
		s.Log.Info("dispatch: run has failed", "service", s.Name, "job", j.id, "step", t.step.index, "task", t.id.Index,
			"run", e.Run, "worker", w.info.ID, "fails", len(t.failed), "limit", j.queue.Attempts)
		if len(t.failed) >= j.queue.Attempts {
			s.finish(now, j, cuminstair.JobFailed, "a task has used up its attempts")
			return
		}
	default:
	}
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	s.touch(j)
}

// doneGang notes that one end as done stands for all tasks of a gang.
func (s *Service) doneGang(now time.Time, st *step) {
	for _, t := range st.tasks {
		if !t.done {
			s.done(now, t)
		}
	}
}

// done notes that a task is done.
func (s *Service) done(now time.Time, t *task) {
	t.done = true
	s.counts.Done++
	st := t.step
	st.left--
	o := st.occ
	j := o.job
	s.touch(j)
	if t.at != nil && t.at.run != t.run {
		s.stop(now, t.at)
	}
	if st.left > 0 {
		return
	}
	o.open--
	if o.open > 0 {
		s.enqueue(now, o)
		return
	}
	for i, x := range j.runs {
		if x == o {
			j.runs = append(j.runs[:i], j.runs[i+1:]...)
			break
		}
	}
	if len(j.runs) == 0 && j.next >= j.occurrences() {
		s.finish(now, j, cuminstair.JobCompleted, "all tasks are done")
	}
}

// finish brings a job to its last state and stops what still runs of it.
func (s *Service) finish(now time.Time, j *job, state cuminstair.JobState, why string) {
	j.state, j.ended = state, now
	s.touch(j)
	delete(s.active, j.id)
	for _, o := range j.runs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.at != nil {
					s.stop(now, t.at)
				}
			}
		}
	}
	s.changed = true
	s.Log.Info("dispatch: job has ended", "service", s.Name, "job", j.id, "queue", j.queue.Name, "state", state.String(), "why", why,
		"after", now.Sub(j.sent).Round(time.Millisecond).String(), "late", now.After(j.due))
}

// release gives the room of an attempt back and puts its task into the queue again if it is not done.
func (s *Service) release(now time.Time, a *attempt) {
	a.worker.remove(now, a)
	s.changed = true
	t := a.task
	if t == nil || t.at != a {
		return
	}
	t.at = nil
	if t.step.LongRunning && t.away.IsZero() {
		t.away = now
	}
	if t.done || t.step.occ.job.over() {
		return
	}
	s.relist(t.step)
}

func (s *Service) relist(st *step) {
	if !st.listed {
		st.listed = true
		s.ready = append(s.ready, st)
	}
}

// stop orders the end of an attempt. Its room stays taken until the end is certain.
func (s *Service) stop(now time.Time, a *attempt) {
	if !a.stop.IsZero() && now.Sub(a.stop) < stopAgain {
		return
	}
	a.stop = now
	s.counts.Stops++
	s.orders = append(s.orders, Order{Kind: OrderStop, Worker: a.worker.info, Task: a.id, Run: a.run, Token: s.Token, attempt: a})
}
