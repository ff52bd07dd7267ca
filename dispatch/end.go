package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Blocking of workers on which runs fail.
const (
	// minBlock is how long a worker gets no new tasks after two failed runs in a row; the time doubles with each further
	// failed run in a row, up to maxBlock.
	minBlock = time.Second
	maxBlock = 16 * time.Second
	// servedTime is how long a run of a long-running task must have lasted for its failure not to count against the worker.
	servedTime = 4 * time.Second
	// avoidTime is how long a task waits for another worker than the one on which it has failed.
	avoidTime = 4 * time.Second
)

// handleEnd processes an entry of a worker's list of ended tasks. t is its task, or nil if there is none.
func (s *Service) handleEnd(now time.Time, w *worker, t *task, e cuminstair.EndedTask) {
	a := w.attempts[e.Task]
	if a != nil && a.run != e.Run {
		a = nil
	}
	if a != nil {
		s.confirmRun(a)
		s.freed(now, a)
	}
	s.recordWorkerOutcome(now, w, t, a, e)
	s.logEnd(w, t, e)
	if t != nil && !t.step.occ.job.finished() {
		t.run = max(t.run, e.Run)
		s.detachUnanswered(now, t, e.Run)
		s.learnFromRun(now, t, e.Run)
		s.recordTaskEnd(now, w, t, a, e)
		if t.done && t.attempt != nil && t.attempt != a {
			s.orderStop(now, t.attempt) // a copy that is no longer needed
		}
	}
	if a != nil {
		s.conclude(now, a, observation{kind: observedEnd, incarnation: w.info.Incarnation, since: w.lastRenewal, until: now})
	}
}

// logEnd logs the end of a run: those of unknown jobs and those by an expired lease at the level info, others at debug.
func (s *Service) logEnd(w *worker, t *task, e cuminstair.EndedTask) {
	log := s.Log.Debug
	if s.jobs[e.Task.Job] == nil || e.How == cuminstair.EndLeaseExpired {
		log = s.Log.Info
	}
	log("dispatch: run has ended", "service", s.Name, "job", e.Task.Job, "step", e.Task.Step, "task", e.Task.Index,
		"run", e.Run, "worker", w.info.ID, "how", e.How.String(), "known", t != nil, "number", e.Seq)
}

// recordWorkerOutcome updates the failure count of a worker, and blocks it after repeated failures that are not those of a task alone.
// t and a are the task and the attempt, nil if they are not known.
func (s *Service) recordWorkerOutcome(now time.Time, w *worker, t *task, a *attempt, e cuminstair.EndedTask) {
	switch {
	case e.How == cuminstair.EndDone:
		w.failedRuns = 0
		if t := a.timedTask(); t != nil {
			s.recordDuration(now, t, a)
			s.learnDuration(now, t, a)
		}
	case e.How != cuminstair.EndFailed:
	case a != nil && a.hasServed(now):
		w.failedRuns = 0 // the worker ran it well for a time
	case t != nil && t.failedElsewhere(w):
		s.Log.Debug("dispatch: failure counts against the task only", "service", s.Name, "worker", w.info.ID, "task", taskName(e.Task), "run", e.Run)
	default:
		s.blockAfterFailure(now, w)
	}
}

// timedTask returns the task of a run whose time until its end is reported tells how long the task takes, or nil. The end of a run
// that was detached because its worker did not answer is reported late; that of a slow run with a second copy is not.
func (a *attempt) timedTask() *task {
	switch {
	case a == nil:
		return nil
	case a.copyOf != nil && a.copyOf.pair != nil && a.copyOf.pair.first == a:
		return a.copyOf
	}
	return a.task
}

// blockAfterFailure counts a failed run against its worker.
func (s *Service) blockAfterFailure(now time.Time, w *worker) {
	w.failedRuns++
	if w.failedRuns < 2 {
		return
	}
	w.blockedUntil = now.Add(min(maxBlock, minBlock<<min(8, w.failedRuns-2)))
	s.Log.Info("dispatch: worker blocked after failed runs", "service", s.Name, "worker", w.info.ID,
		"in a row", w.failedRuns, "blocked until", w.blockedUntil)
}

// hasServed reports whether a run of a long-running task was at work for some time. Such tasks fail now and then.
func (a *attempt) hasServed(now time.Time) bool {
	return a.longRunning && a.percent >= 100 && now.Sub(a.beganAt()) >= servedTime
}

// failedElsewhere reports whether the last failure of the task was on another worker, so that the task is the likely cause of the next one.
func (t *task) failedElsewhere(w *worker) bool {
	return t.avoidWorker != "" && t.avoidWorker != w.info.ID
}

// recordTaskEnd applies an end to its task. a is the attempt that has ended, or nil. The end is stored before it is
// acknowledged to the worker, which may then drop it.
func (s *Service) recordTaskEnd(now time.Time, w *worker, t *task, a *attempt, e cuminstair.EndedTask) {
	j := t.step.occ.job
	if t.done {
		return
	}
	switch e.How {
	case cuminstair.EndDone:
		if t.step.LongRunning {
			break // long-running tasks are restarted however they end
		}
		s.taskDone(now, t, a)
		if t.step.Gang {
			s.gangDone(now, t.step)
		}
		return
	case cuminstair.EndFailed:
		t.avoidWorker, t.avoidUntil = w.info.ID, now.Add(avoidTime)
		if t.step.LongRunning {
			break
		}
		if slices.Contains(t.failed, e.Run) {
			return
		}
		t.addFailure(e.Run)
		s.counts.Failed++
		s.Log.Info("dispatch: run has failed", "service", s.Name, "job", j.id, "step", t.step.index, "task", t.id.Index,
			"run", e.Run, "worker", w.info.ID, "fails", t.failures(), "limit", j.queue.Attempts)
		if t.failures() >= j.queue.Attempts {
			s.finish(now, j, cuminstair.JobFailed, "a task has used up its attempts")
			return
		}
	default:
	}
	t.savedBy(e.Run, endPercent, e.Checkpoint)
	s.markDirty(j)
}

// gangDone marks all tasks of a gang as done once one of them is.
func (s *Service) gangDone(now time.Time, st *step) {
	for _, t := range st.tasks {
		if !t.done {
			s.taskDone(now, t, t.attempt) // they end together
		}
	}
}

// taskDone marks a task as done by the attempt a, which may be nil, and stops its other runs.
func (s *Service) taskDone(now time.Time, t *task, a *attempt) {
	t.done = true
	s.counts.Done++
	s.markDirty(t.step.occ.job)
	if t.attempt != nil && t.attempt != a {
		s.orderStop(now, t.attempt)
	}
	s.stopCopies(now, t, a)
	s.copyDone(now, t, a)
	s.taskComplete(now, t)
}

// learnFromRun learns from a run that a worker reports: if an earlier owner started it, the steps before its step are done, even if
// the ends of their tasks can't be read yet.
func (s *Service) learnFromRun(now time.Time, t *task, run int64) {
	if run < s.Token*runsPerToken && run >= t.step.occ.job.token*runsPerToken {
		s.markStartedEarlier(now, t.step)
	}
}

// markStartedEarlier marks a step as begun by an earlier owner, and the steps before it as done.
func (s *Service) markStartedEarlier(now time.Time, st *step) {
	if st.startedEarlier {
		return
	}
	st.startedEarlier = true
	for _, i := range st.After {
		before := st.occ.steps[i]
		s.markStartedEarlier(now, before)
		for _, t := range before.tasks {
			if !t.done {
				s.taskDone(now, t, nil)
			}
		}
	}
}

// taskComplete completes the step, occurrence and job of a task if none of their tasks is left.
func (s *Service) taskComplete(now time.Time, t *task) {
	st := t.step
	st.tasksLeft--
	o := st.occ
	if st.tasksLeft > 0 {
		return
	}
	o.openSteps--
	if o.openSteps > 0 {
		s.enqueue(now, o)
		return
	}
	s.occurrenceComplete(now, o)
}

// occurrenceComplete removes an occurrence whose steps are done, and completes the job if it was the last one.
func (s *Service) occurrenceComplete(now time.Time, o *occurrence) {
	j := o.job
	j.runs = slices.DeleteFunc(j.runs, func(x *occurrence) bool { return x == o })
	if len(j.runs) == 0 && j.next >= j.occurrences() {
		s.finish(now, j, cuminstair.JobCompleted, "all tasks are done")
	}
}

// finish sets the final state of a job and stops its remaining runs.
func (s *Service) finish(now time.Time, j *job, state cuminstair.JobState, why string) {
	j.state, j.finishedAt = state, now
	s.markDirty(j)
	s.ended.push(j)
	delete(s.active, j.id)
	for _, o := range j.runs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				if t.attempt != nil {
					s.orderStop(now, t.attempt)
				}
				s.stopCopies(now, t, nil)
			}
		}
	}
	s.changed = true
	s.Log.Info("dispatch: job has ended", "service", s.Name, "job", j.id, "queue", j.queue.Name, "state", state.String(), "why", why,
		"after", now.Sub(j.firstSent).Round(time.Millisecond).String(), "late", now.After(j.due))
}

// release frees the room of an attempt and queues its task again if it is not done and no copy of it goes on. Only conclude calls it.
func (s *Service) release(now time.Time, a *attempt) {
	a.worker.remove(now, a)
	s.releaseCopy(now, a)
	s.changed = true
	t := a.task
	if t == nil || t.attempt != a {
		return
	}
	if t.step.LongRunning && t.awaySince.IsZero() {
		t.awaySince = now
	}
	t.attempt = nil
	if t.done || t.step.occ.job.finished() {
		return
	}
	if c := s.liveCopy(t); c != nil {
		t.reattach(c)
		return
	}
	s.requeue(t.step)
}

func (s *Service) requeue(st *step) {
	if !st.queued {
		st.queued = true
		s.ready = append(s.ready, st)
	}
}

// orderStop orders a worker to stop an attempt, whose room stays taken until the run has certainly ended.
func (s *Service) orderStop(now time.Time, a *attempt) {
	if !a.stopSentAt.IsZero() && now.Sub(a.stopSentAt) < stopRetry {
		return
	}
	a.stopSentAt = now
	s.counts.Stops++
	s.orders = append(s.orders, Order{Kind: OrderStop, Worker: a.worker.info, Task: a.id, Run: a.run, Token: s.Token, attempt: a})
}
