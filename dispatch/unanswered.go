package dispatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// A start without an answer may still be carried out after its owner has ended. The starts that an owner knows to be without an
// answer are in a record of their own, so that the next owner waits for these tasks, and only for these, as the owner itself would have.

// unansweredKey is the key in WorkerTable of the record of starts without an answer.
const unansweredKey = "unanswered"

// maxUnanswered is the most entries of this record, which is also bounded by maxValue; the oldest are dropped.
const maxUnanswered = 300

// unansweredRecord is the value of this record.
type unansweredRecord struct {
	Starts []unansweredStart `json:"starts"`
}

// unansweredStart is a start without an answer.
type unansweredStart struct {
	Worker string            `json:"w"`
	Task   cuminstair.TaskID `json:"t"`
	Run    int64             `json:"r"`
}

// recordUnanswered makes the next batch record a start without an answer.
func (s *Service) recordUnanswered(a *attempt) {
	s.unanswered = append(s.unanswered, a)
	s.unansweredDirty = true
}

// isResolved reports whether the run of a start without an answer has been seen or released.
func (a *attempt) isResolved() bool { return !a.answeredAt.IsZero() || a.worker.attempts[a.id] != a }

// listUnanswered returns the starts whose run may still begin or go on and has not been seen, and forgets the others.
func (s *Service) listUnanswered() []unansweredStart {
	s.unanswered = slices.DeleteFunc(s.unanswered, (*attempt).isResolved)
	var list []unansweredStart
	for _, a := range s.unanswered[max(0, len(s.unanswered)-maxUnanswered):] {
		list = append(list, unansweredStart{Worker: a.worker.info.ID, Task: a.id, Run: a.run})
	}
	return list
}

// putUnanswered adds the record of starts without an answer to a batch if it has changed.
func (s *Service) putUnanswered(b *Batch) {
	list := s.listUnanswered()
	if !s.unansweredDirty && slices.Equal(list, s.unansweredPut) {
		return
	}
	value := fitValue(len(list), func(n int) any { return unansweredRecord{Starts: list[len(list)-n:]} })
	again := func(b *Batch) bool {
		s.unansweredDirty = true
		s.putUnanswered(b)
		return true
	}
	switch s.add(b, unit{puts: []cuminstair.RecordPut{s.put(WorkerTable, unansweredKey, value)}, again: again}) {
	case unitNoRoom:
		return
	case unitAdded:
		b.unanswered = true
	case unitWithheld:
	}
	s.unansweredDirty, s.unansweredPut = false, list
}

// recoverUnanswered restores the starts without an answer of earlier owners, the latest run of each task.
func (s *Service) recoverUnanswered(now time.Time, r cuminstair.Record) {
	var u unansweredRecord
	if err := json.Unmarshal(r.Value, &u); err != nil {
		s.Log.Error("dispatch: can't decode the record of starts without an answer", "service", s.Name, "version", r.Version, "error", err)
		return
	}
	s.unansweredPut = u.Starts
	slices.SortStableFunc(u.Starts, func(a, b unansweredStart) int { return cmp.Compare(b.Run, a.Run) })
	for _, x := range u.Starts {
		s.recoverStart(now, x)
	}
}

// recoverStart adds the run of an earlier owner's start without an answer, which may begin or be under way.
func (s *Service) recoverStart(now time.Time, x unansweredStart) {
	w, t := s.workers[x.Worker], s.taskOfRun(now, x.Task)
	if w == nil || t == nil || t.done || t.attempt != nil {
		return
	}
	a := &attempt{
		task: t, id: t.id, run: x.Run, room: t.step.room(), longRunning: t.step.LongRunning, bestEffort: t.step.BestEffort,
		account: t.step.occ.job.account, charge: chargeOf(&t.step.JobStep), found: true,
		runTimes: runTimes{sentAt: now, unansweredAt: now, ofEarlierOwner: true}, cpuShare: 100, shareUnsure: true, adopted: true,
	}
	t.run, t.attempt = max(t.run, x.Run), a
	w.add(a)
	s.unanswered = append(s.unanswered, a)
	s.learnFromRun(now, t, x.Run)
	s.Log.Info("dispatch: start of an earlier owner was not answered", "service", s.Name, "job", a.id.Job, "step", a.id.Step, "task", a.id.Index,
		"run", a.run, "worker", w.info.ID)
}

// detachUnanswered detaches a task from an earlier owner's start without an answer, since a later run of the task was found.
func (s *Service) detachUnanswered(now time.Time, t *task, run int64) {
	a := t.attempt
	if a == nil || !a.ofEarlierOwner || !a.answeredAt.IsZero() || a.run >= run {
		return
	}
	a.task, t.attempt = nil, nil
	s.requeue(t.step)
	s.changed = true
	s.orderStop(now, a)
}
