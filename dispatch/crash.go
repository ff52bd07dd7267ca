package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// A task may crash each worker that starts it. When a worker crashes, the runs that it had just started are suspected.
// Their tasks start again in trials, on workers that run nothing else: one at a time, so that a second crash has one
// cause, but together if each of them was the only suspect of its first crash, since then all of them are given up after
// one more crash. The crashes of a task are stored before its next start, since a new owner has to know them. Once the
// cause of a crash is known, its other suspects need no trial. A task that was on several crashed workers, whatever the
// age of its runs, has a worker to itself until its run ends: it may crash workers long after its start.

// Parameters of the handling of crashes.
const (
	// startWindow is how long before the last answer of a worker a start may have been answered for the crash to be blamed
	// on it.
	startWindow = 20 * time.Millisecond
	// startSpacing is the pause between two starts on a worker while their queue is at risk, so that a crash has one
	// suspect.
	startSpacing = 30 * time.Millisecond
	// crashNotice is how long after a start a failed call may show that the worker has crashed for the start to be the cause.
	// A host that goes silent is noticed much later, so that its last start proves nothing.
	crashNotice = 300 * time.Millisecond
	// crashLimit is the number of crashes after which a task is given up if no other run can have caused one of them.
	crashLimit = 2
	// maxCrashes is the number of crashes after which a task is given up in any case, also if its starts were not answered.
	maxCrashes = 4
	// maxListedCrashes bounds the crashes that are kept of a task, the latest.
	maxListedCrashes = 2 * maxCrashes
	// settleTime is the age at which a run of a long-running task has proved not to crash its worker.
	settleTime = 5 * time.Second
	// riskTime is how long a queue is at risk after one of its tasks was given up. Its short tasks start one at a time on
	// each worker meanwhile, and avoid workers with long-running tasks.
	riskTime = 10 * time.Second
)

// crash is a run of a task whose worker crashed, or may have crashed.
type crash struct {
	Run       int64  `json:"r"`
	Worker    string `json:"w"`
	Confirmed bool   `json:"c,omitempty"` // the worker has crashed; otherwise it just does not answer
	Started   bool   `json:"s,omitempty"` // the worker had the run; otherwise its start was not answered
	Early     bool   `json:"e,omitempty"` // soon after the start of the run, and not explained by another task
	Late      bool   `json:"l,omitempty"` // long after the start of the run
	Alone     bool   `json:"a,omitempty"` // no other run can have caused it
}

// mayStart reports whether the crashes of the task permit another start: they are stored, and none that would make the
// job fail is still uncertain.
func (t *task) mayStart() bool {
	if len(t.crashes) == 0 {
		return true
	}
	j := t.step.occ.job
	return j.storedChanges >= j.crashChange && (len(t.crashes) < crashLimit || t.confirmedCrashes() == len(t.crashes))
}

func (t *task) confirmedCrashes() int {
	n := 0
	for _, c := range t.crashes {
		if c.Confirmed {
			n++
		}
	}
	return n
}

// crashesWorkers reports whether the task is to be given up. A start that was not answered may not have reached its worker, so that such
// crashes count only if there are many.
func (t *task) crashesWorkers() bool {
	started, unanswered := 0, 0
	for _, c := range t.crashes {
		switch {
		case !c.Confirmed:
		case c.Started:
			started++
		case c.Early:
			unanswered++
		}
	}
	if started+unanswered >= maxCrashes {
		return true
	}
	return started >= crashLimit && (t.step.Gang || t.aloneOnce())
}

// hasCrash reports whether a run of the task is recorded as a crash.
func (t *task) hasCrash(run int64) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.Run == run })
}

// aloneOnce reports whether only this task can have caused one of its crashes.
func (t *task) aloneOnce() bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.Alone })
}

// mayHaveRun reports whether a run may have been on its worker when that stopped answering.
func (a *attempt) mayHaveRun() bool {
	return !a.answeredAt.IsZero() || a.worker.failingSince.IsZero() || !a.sentAt.After(a.worker.failingSince)
}

// early reports whether a run may have crashed its worker by its start: this was not answered, or hardly before the worker
// stopped answering, and the failure was noticed soon after it.
func (a *attempt) early(now time.Time) bool {
	if a.adopted || a.mayHaveEnded || !a.mayHaveRun() || !a.stopConfirmedAt.IsZero() || now.Sub(a.beganAt()) > crashNotice {
		return false
	}
	return a.answeredAt.IsZero() || !a.answeredAt.Before(a.worker.answeredAt.Add(-startWindow))
}

// beganAt returns when a run began as far as this owner knows.
func (a *attempt) beganAt() time.Time {
	if a.answeredAt.IsZero() {
		return a.sentAt
	}
	return a.answeredAt
}

// settled reports whether a run is that of a long-running task which has proved not to crash its worker. Workers crash now
// and then in the lifetime of such a task.
func (a *attempt) settled() bool {
	return a.longRunning && a.worker.answeredAt.Sub(a.beganAt()) >= settleTime
}

// unsettledRuns returns the number of runs that may crash the worker.
func (w *worker) unsettledRuns() int {
	n := 0
	for _, a := range w.attempts {
		if !a.settled() {
			n++
		}
	}
	return n
}

// taskOf returns the task of an attempt, which may be detached, or nil if the task or its job is done.
func (s *Service) taskOf(a *attempt) *task {
	j := s.jobs[a.id.Job]
	if j == nil || j.finished() {
		return nil
	}
	t := j.task(a.id)
	if t == nil || t.done {
		return nil
	}
	return t
}

// suspectRuns records that a worker which does not answer may have crashed by the runs that it started last.
func (s *Service) suspectRuns(now time.Time, w *worker) {
	if w.suspectsKnown || w.hostTaken {
		return
	}
	w.suspectsKnown = true
	var list []*attempt
	for _, a := range w.attempts {
		if a.early(now) {
			list = append(list, a)
		}
	}
	for _, a := range list {
		t := s.taskOf(a)
		if t == nil {
			continue
		}
		s.addCrash(t, crash{Run: a.run, Worker: w.info.ID, Started: !a.answeredAt.IsZero(), Early: true, Alone: len(list) == 1})
		w.suspects = append(w.suspects, t)
		w.trialFailed = w.trialFailed || a.trial
		s.Log.Info("dispatch: task may have crashed its worker", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
			"run", a.run, "worker", a.worker.info.ID, "age", now.Sub(a.sentAt).Round(time.Millisecond).String(), "suspects", len(list), "crashes", len(t.crashes))
	}
}

// withdrawRun removes a run that was not carried out from the crashes of its task.
func (s *Service) withdrawRun(a *attempt) {
	t := s.taskOf(a)
	if t == nil || len(t.crashes) == 0 {
		return
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return c.Run == a.run })
	s.markDirty(t.step.occ.job)
}

// addCrash adds a crash to a task, which starts again only when that is stored.
func (s *Service) addCrash(t *task, c crash) {
	t.crashes = append(t.crashes, c)
	t.crashes = t.crashes[max(0, len(t.crashes)-maxListedCrashes):]
	j := t.step.occ.job
	s.markDirty(j)
	j.crashChange = j.changes
}

// atRisk reports whether tasks of a queue are likely to crash their workers.
func (s *Service) atRisk(now time.Time, queue string) bool { return now.Before(s.riskUntil[queue]) }

// anyRisk reports whether the tasks of some queue are likely to crash their workers.
func (s *Service) anyRisk(now time.Time) bool {
	for queue := range s.riskUntil {
		if s.atRisk(now, queue) {
			return true
		}
	}
	return false
}

// withdrawSuspicion withdraws the suspicion against runs on a worker that answers again, or that has not crashed.
func (s *Service) withdrawSuspicion(w *worker) {
	w.suspectsKnown, w.trialFailed = false, false
	for _, t := range w.suspects {
		t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return !c.Confirmed && c.Worker == w.info.ID })
		s.markDirty(t.step.occ.job)
		s.changed = true
	}
	w.suspects = nil
}

// settleSuspects decides on the suspects of a worker that has left the list without having answered: it has crashed if
// its address refused connections.
func (s *Service) settleSuspects(now time.Time, w *worker) {
	if w.connRefused {
		s.workerCrashed(now, w, "it has left the list and its address refuses connections", nil)
		return
	}
	s.withdrawSuspicion(w)
}

// workerCrashed records that a worker has ended without notice, and gives up the jobs whose tasks crash their workers. kept are
// the attempts that a later incarnation may have started: it is not certain that the worker has crashed under them.
func (s *Service) workerCrashed(now time.Time, w *worker, why string, kept map[*attempt]bool) {
	if !w.leavingSince.IsZero() || w.hostTaken {
		s.withdrawSuspicion(w) // it was expected to end, or its host was taken
		return
	}
	if len(w.attempts) == 0 && len(w.suspects) == 0 {
		return
	}
	s.counts.Crashes++
	s.Log.Info("dispatch: worker crashed", "service", s.Name, "worker", w.info.ID, "why", why, "tasks", w.listRuns(now),
		"answered", now.Sub(w.answeredAt).Round(time.Millisecond).String())
	s.suspectRuns(now, w)
	hit := w.suspects
	w.suspects, w.suspectsKnown, w.trialFailed = nil, false, false
	for _, t := range hit {
		for i := range t.crashes {
			if t.crashes[i].Worker == w.info.ID {
				t.crashes[i].Confirmed = true
			}
		}
		s.markDirty(t.step.occ.job)
	}
	unsettled := w.unsettledRuns()
	for _, a := range w.attempts {
		t := s.taskOf(a)
		if t == nil || a.settled() || !a.mayHaveRun() || slices.Contains(hit, t) {
			continue
		}
		if !t.hasCrash(a.run) { // it has one if it was kept at a restart
			s.addCrash(t, crash{
				Run: a.run, Worker: w.info.ID, Confirmed: true, Started: !a.answeredAt.IsZero(), Late: true, Alone: a.trial && unsettled == 1,
			})
		}
		hit = append(hit, t)
	}
	for _, t := range hit {
		if a := w.attempts[t.id]; a == nil || !kept[a] {
			s.giveUpCrashing(now, t)
		}
	}
	s.changed = true
}

// giveUpCrashing ends the job of a task that crashes its workers.
func (s *Service) giveUpCrashing(now time.Time, t *task) {
	j := t.step.occ.job
	if j.finished() || !t.crashesWorkers() {
		return
	}
	s.Log.Warn("dispatch: task crashes its workers", "service", s.Name, "job", j.id, "step", t.id.Step, "task", t.id.Index, "crashes", len(t.crashes))
	s.riskUntil[j.queue.Name] = now.Add(riskTime)
	s.finish(now, j, cuminstair.JobFailed, "a task crashes its workers")
	if !t.aloneOnce() {
		return
	}
	for _, c := range t.crashes {
		if c.Early {
			s.clearSuspects(c.Worker)
		}
	}
}

// clearSuspects withdraws the suspicion against the tasks that were on a worker at a crash whose cause is known. The crash
// still counts for those that had just been started, since several tasks may have caused it.
func (s *Service) clearSuspects(worker string) {
	for _, j := range s.active {
		if j.crashChange == 0 {
			continue
		}
		for _, o := range j.runs {
			for _, st := range o.steps {
				for _, t := range st.tasks {
					if t.clearSuspicion(worker) {
						s.markDirty(j)
						s.changed = true
					}
				}
			}
		}
	}
}

// clearSuspicion reports whether a crash of the worker was recorded.
func (t *task) clearSuspicion(worker string) bool {
	ofWorker := func(c crash) bool { return c.Worker == worker }
	if !slices.ContainsFunc(t.crashes, ofWorker) {
		return false
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return ofWorker(c) && c.Late && !c.Alone })
	for i := range t.crashes {
		if ofWorker(t.crashes[i]) {
			t.crashes[i].Early = false
		}
	}
	return true
}

// recoverCrashes connects uncertain crashes in the records of a job with the workers. A worker that is not in the record
// of workers was gone when that was written.
func (s *Service) recoverCrashes(now time.Time, j *job) {
	for _, o := range j.runs {
		for _, st := range o.steps {
			for _, t := range st.tasks {
				s.recoverTaskCrashes(now, t)
			}
		}
	}
}

func (s *Service) recoverTaskCrashes(now time.Time, t *task) {
	for i := range t.crashes {
		c := &t.crashes[i]
		if c.Confirmed {
			continue
		}
		w, ok := s.workers[c.Worker]
		if !ok {
			c.Confirmed = true
			continue
		}
		w.suspects, w.suspectsKnown = append(w.suspects, t), true
	}
	s.giveUpCrashing(now, t)
}

// listRuns lists the runs on a worker for the log, the youngest first, with the time since their start.
func (w *worker) listRuns(now time.Time) string {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return b.sentAt.Compare(a.sentAt) })
	texts := make([]string, len(list))
	for i, a := range list {
		texts[i] = fmt.Sprintf("%s:%d %s", taskName(a.id), a.run, now.Sub(a.sentAt).Round(time.Millisecond))
	}
	return strings.Join(texts, ", ")
}

// taskName is the name of a task in logs.
func taskName(id cuminstair.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}
