package dispatch

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
)

// Batch is a set of record changes that are written in one transaction.
type Batch struct {
	Puts    []cuminstair.RecordPut
	Deletes []cuminstair.RecordKey

	now      time.Time
	units    []unit
	size     int // bytes of all values
	maxUnits int // 0: no bound
	created  []*job
	// list has the jobs in states, in the order in which they were added.
	list      []*job
	states    map[*job]cuminstair.JobState // job states that the batch writes
	changes   map[*job]int                 // by job that is written completely: job.changes at the time of the batch
	parts     map[*job][]string            // by job: keys of the records of split progress that are written or deleted
	swept     []*job
	processed map[*worker]endPosition // the task ends up to this position count as stored once the batch is stored
	rows      []*workerRow
	workers   map[*worker]workerRecord // those in rows, as written

	averages   bool                     // the batch writes the running averages
	unanswered bool                     // the batch writes the starts without an answer
	closings   map[assignment.Key]int64 // versions of the closed queues as written; nil if the batch does not write them
}

// endPosition is a position in the list of task ends of one incarnation of a worker.
type endPosition struct{ incarnation, seq int64 }

// Time limits for waiting callers, and deletion of finished jobs.
const (
	// storeDownTimeout is how long a caller waits for its job to be stored while the store is down.
	// storeSlowTimeout applies while the store is slow, or when the job may be stored. It is longer than
	// storeDownTimeout since the answer Uncertain is final for the caller.
	storeDownTimeout = 1200 * time.Millisecond
	storeSlowTimeout = 2400 * time.Millisecond
	// sweepInterval is the longest time between two looks for what is no longer needed.
	sweepInterval = 5 * time.Second
	// sweepLimit is the most finished jobs that one batch deletes. If there are as many, they are deleted after sweepGap.
	sweepLimit = 40
	sweepGap   = 150 * time.Millisecond
)

// Batch returns the changes to write now, or nil. The caller reports the result with Stored or NotStored before the next
// call.
func (s *Service) Batch(now time.Time) *Batch {
	if s.deposed {
		return nil
	}
	if len(s.dirty) == 0 && !s.workersDirty {
		// Nothing is left to write, so the processed ends count as stored.
		for _, w := range s.workers {
			w.stored = w.processed
		}
	}
	if !s.batchDue(now) {
		return nil
	}
	s.lastBatch = now
	if b := s.retryBatch(now); b != nil {
		return b
	}
	b := s.newBatch(now)
	s.putWorkers(b)
	s.putUnanswered(b)
	s.putClosings(b)
	s.dirty = s.putJobs(b, s.dirty)
	if len(s.dirty) == 0 {
		for _, w := range s.workers {
			b.processed[w] = endPosition{incarnation: w.info.Incarnation, seq: w.processed}
		}
	}
	s.sweep(now, b)
	if b.Empty() {
		s.Stored(now, b) // the store has it all
		return nil
	}
	return b
}

func (s *Service) newBatch(now time.Time) *Batch {
	return &Batch{
		now: now, maxUnits: s.unitLimit, states: map[*job]cuminstair.JobState{}, changes: map[*job]int{}, parts: map[*job][]string{},
		processed: map[*worker]endPosition{},
	}
}

// batchDue reports whether a batch should be written now.
func (s *Service) batchDue(now time.Time) bool {
	if len(s.dirty) == 0 && !s.workersDirty && !s.unansweredDirty && !s.closingsDirty && !slices.ContainsFunc(s.unanswered, (*attempt).isResolved) &&
		now.Sub(s.lastSweep) < sweepInterval && !s.sweepDue(now) {
		return false
	}
	if now.Sub(s.lastBatch) >= batchGap {
		return true
	}
	if s.workersDirty || s.unansweredDirty || s.closingsDirty {
		return true
	}
	for _, j := range s.dirty {
		if !j.stored || len(j.cancelWaiters) > 0 || j.finished() {
			return true
		}
	}
	return false
}

// Classes of the jobs in a batch, the most urgent first.
const (
	classAwaited  = iota // a caller waits for the job or its cancellation to be stored
	classEnded           // the job has ended, which is shown to callers once it is stored
	classProgress        // progress of a running job
	classes
)

// batchClass returns the class of a job in a batch.
func (j *job) batchClass() int {
	switch {
	case !j.stored, len(j.cancelWaiters) > 0:
		return classAwaited
	case j.finished():
		return classEnded
	}
	return classProgress
}

// progressPuts is the number of records in a batch that are kept for progress and ended jobs while callers wait, so that
// ends are acknowledged to workers in a lasting peak too.
const progressPuts = batchPuts / 6

// putJobs adds the records of jobs to the batch, by class and within a class in the order in which they became due, and
// returns the jobs for which the batch had no room. It is made for a store so slow that a batch can't take all that has
// changed between two writes.
func (s *Service) putJobs(b *Batch, dirty []*job) []*job {
	byClass := [classes][]*job{}
	for _, j := range dirty {
		class := j.batchClass()
		byClass[class] = append(byClass[class], j)
	}
	others := len(byClass[classEnded]) + len(byClass[classProgress])
	awaited := s.putSome(b, byClass[classAwaited], batchPuts-1-min(others, progressPuts))
	ended := s.putSome(b, byClass[classEnded], batchPuts-1)
	progress := s.putSome(b, byClass[classProgress], batchPuts-1)
	awaited = s.putSome(b, awaited, batchPuts-1)
	return append(append(awaited, ended...), progress...)
}

// putSome adds the records of jobs while the batch has fewer than limit records, and returns the other jobs, the first of
// which may be in the batch in part.
func (s *Service) putSome(b *Batch, list []*job, limit int) []*job {
	for i, j := range list {
		if _, inBatch := b.states[j]; inBatch || b.entries() >= limit || b.isFull() || !s.putJob(b, j) {
			return list[i:]
		}
	}
	return nil
}

// putJob adds the records of a job to the batch, and reports whether all have found room. Of the progress only what has changed is added.
func (s *Service) putJob(b *Batch, j *job) bool {
	var p progress
	var c progressChange
	u := unit{again: func(b *Batch) bool { return s.putAgain(b, j) }, refused: func(now time.Time) bool {
		s.refuseUnstored(now, j)
		return false
	}}
	if j.stored || j.finished() {
		p = j.progress()
		c = j.changeOf(&p)
		u.puts, u.deletes = s.headOf(j, &p, &c)
	}
	if !j.stored {
		u.puts = append(u.puts, s.put(JobTable, j.id, j.jobValue()))
	}
	result := unitAdded
	if u.entries() > 0 {
		result = s.add(b, u)
	}
	switch {
	case result == unitNoRoom:
		return false
	case result == unitWithheld:
		j.dirty = false
		s.refuseUnstored(b.now, j)
		return true
	case !j.stored:
		b.created = append(b.created, j)
	}
	b.states[j] = j.state
	b.list = append(b.list, j)
	j.headAdded(b, &p, &c)
	if !s.putTasks(b, j, &p, &c) {
		return false
	}
	j.dirty = false
	b.changes[j] = j.changes
	return true
}

// putAgain adds the records of a job that the store has refused to a batch. It returns false if the job was deleted.
func (s *Service) putAgain(b *Batch, j *job) bool {
	if s.jobs[j.id] != j {
		return false
	}
	s.dirty = slices.DeleteFunc(s.dirty, func(x *job) bool { return x == j })
	j.dirty = false
	if !s.putJob(b, j) {
		s.markDirty(j)
	}
	return true
}

// refuseUnstored refuses a job whose record the store does not take, unless the job was accepted before.
func (s *Service) refuseUnstored(now time.Time, j *job) {
	if j.stored {
		return
	}
	delete(s.jobs, j.id)
	s.dirty = slices.DeleteFunc(s.dirty, func(x *job) bool { return x == j })
	r := Result{Outcome: Impossible, Wait: maxWait, Why: "the store refuses its record"}
	s.recordRefusal(now, j.id, j.firstSent)
	s.Log.Info("dispatch: job refused", "service", s.Name, "job", j.id, "why", r.Why)
	answerAll(&j.submitWaiters, r)
	answerAll(&j.cancelWaiters, Result{Outcome: NotFound, Why: r.Why})
}

// entries returns the number of entries of the transaction, without that of the owner.
func (b *Batch) entries() int { return len(b.Puts) + len(b.Deletes) }

func (s *Service) put(table, key string, value []byte) cuminstair.RecordPut {
	return cuminstair.RecordPut{RecordKey: s.key(table, key), Value: value}
}

func (s *Service) key(table, key string) cuminstair.RecordKey {
	return cuminstair.RecordKey{Table: table, Part: s.Name, Key: key}
}

// expired reports whether the state of a finished job need not be known any more.
func (s *Service) expired(now time.Time, j *job) bool {
	return now.Sub(j.finishedAt) > s.Bounds.StateRetention+keepMargin
}

// sweepDue reports whether finished jobs should be deleted although nothing else is written.
func (s *Service) sweepDue(now time.Time) bool {
	return now.Sub(s.lastSweep) >= sweepGap && s.ended.len() >= sweepLimit && s.expired(now, s.ended.at(sweepLimit-1))
}

// sweep deletes finished jobs after the retention period, in the order in which they ended.
func (s *Service) sweep(now time.Time, b *Batch) {
	s.lastSweep = now
	for range min(s.ended.len(), sweepLimit) {
		j := s.ended.at(0)
		if !s.expired(now, j) || b.isFull() {
			return
		}
		if s.jobs[j.id] != j {
			s.ended.pop() // it was refused
			continue
		}
		if _, inBatch := b.states[j]; inBatch || j.dirty || !j.stored || j.storedState != j.state {
			s.ended.push(s.ended.pop()) // its end is not stored yet
			continue
		}
		u := unit{deletes: []cuminstair.RecordKey{s.key(JobTable, j.id), s.key(RunTable, j.id)}, again: func(*Batch) bool { return false }}
		switch s.add(b, u) {
		case unitNoRoom:
			return
		case unitAdded:
			s.ended.pop()
			b.swept = append(b.swept, j)
		case unitWithheld:
			s.ended.push(s.ended.pop())
		}
	}
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Puts) == 0 && len(b.Deletes) == 0 }

// Stored is called when a batch has been written to the store.
func (s *Service) Stored(now time.Time, b *Batch) {
	s.unitsStored(b)
	for _, j := range b.created {
		j.stored = true
		s.Log.Info("dispatch: job accepted", "service", s.Name, "job", j.id, "queue", j.queue.Name,
			"after", now.Sub(j.firstSent).Round(time.Millisecond).String(), "due in", j.due.Sub(now).Round(time.Millisecond).String(), "open", len(s.active))
		if !j.finished() {
			s.activate(now, j)
		}
		answerAll(&j.submitWaiters, Result{Outcome: Accepted})
	}
	for j, state := range b.states {
		j.storedState = state
		if n, complete := b.changes[j]; complete {
			j.storedChanges = n
		}
		if j.crashChange > 0 {
			s.changed = true // tasks may wait for their crashes to be stored
		}
		if j.finished() && j.storedState == j.state {
			answerAll(&j.cancelWaiters, Result{Outcome: Accepted})
		}
	}
	for w, end := range b.processed {
		if w.info.Incarnation != end.incarnation {
			continue // the new incarnation numbers its ends from the start
		}
		w.stored = max(w.stored, end.seq)
		if w.stored > w.acknowledged && now.Before(w.nextRenewal) {
			w.nextRenewal = now
		}
	}
	s.rowsStored(b)
	for _, j := range b.swept {
		delete(s.jobs, j.id)
	}
	s.closingsStored(b)
}

// NotStored is called when a batch was definitely not stored and never will be. Its records are written again.
func (s *Service) NotStored(b *Batch) {
	var dirty []*job
	for _, j := range b.list {
		j.partsNotStored(b.parts[j])
		j.changes++
		if !j.dirty {
			j.dirty = true
			dirty = append(dirty, j)
		}
	}
	s.dirty = append(dirty, s.dirty...)
	for _, r := range b.rows {
		s.markRow(r)
	}
	for _, j := range b.swept {
		s.ended.push(j)
	}
	if b.averages {
		s.averagesDirty, s.averagesPut = true, averagesRecord{}
	}
	s.unansweredDirty = s.unansweredDirty || b.unanswered
	s.closingsDirty = s.closingsDirty || b.closings != nil
}

// SetWriteLatency records how long a write to the store takes at present.
func (s *Service) SetWriteLatency(latency time.Duration) { s.writeLatency = latency }

// acceptanceDelay returns how long the acceptance of a new job takes: the write in flight, and the writes for jobs that
// already wait. inTime is whether that leaves the caller an answer.
func (s *Service) acceptanceDelay() (delay time.Duration, inTime bool) {
	waiting := 0
	for _, j := range s.dirty {
		if j.batchClass() == classAwaited {
			waiting++
		}
	}
	writes := 2 + waiting/(batchPuts-1-progressPuts) // the one in flight, and that of the job itself
	delay = time.Duration(writes) * s.writeLatency
	return delay, writes == 2 || delay < storeSlowTimeout
}

// AnswerLate answers callers that have waited too long for the store. inflight is the batch whose result is unknown, or
// nil: its jobs may be stored and are answered with Uncertain; other jobs that are not stored are dropped and answered
// with Unavailable.
func (s *Service) AnswerLate(now time.Time, inflight *Batch) {
	unknown := map[*job]bool{}
	if inflight != nil {
		for _, j := range inflight.created {
			unknown[j] = true
		}
	}
	wait := storeSlowTimeout
	if s.storeDown {
		wait = storeDownTimeout
	}
	kept := s.dirty[:0]
	for _, j := range s.dirty {
		if j.stored || unknown[j] || now.Sub(j.receivedAt) < wait {
			kept = append(kept, j)
			continue
		}
		delete(s.jobs, j.id)
		s.recordRefusal(now, j.id, j.firstSent)
		s.Log.Info("dispatch: job refused", "service", s.Name, "job", j.id, "why", "the store did not answer in time")
		answerAll(&j.submitWaiters, Result{Outcome: Unavailable, Wait: storeRetryWait, Why: "the store did not answer in time"})
		for _, reply := range j.cancelWaiters {
			s.unknownCancels = append(s.unknownCancels, unknownCancel{id: j.id, at: now, reply: reply})
		}
	}
	s.dirty = kept
	for j := range unknown {
		if now.Sub(j.receivedAt) >= storeSlowTimeout && len(j.submitWaiters) > 0 {
			s.Log.Info("dispatch: job may or may not be stored", "service", s.Name, "job", j.id, "why", "the store did not answer in time")
			answerAll(&j.submitWaiters, Result{Outcome: Uncertain, Why: "the store did not answer in time"})
		}
	}
}

// AnswerAll answers all waiting callers with Uncertain, because this daemon no longer owns the service.
func (s *Service) AnswerAll() {
	for _, c := range s.unknownCancels {
		c.reply(Result{Outcome: Uncertain, Why: "the service has another owner"})
	}
	s.unknownCancels = nil
	s.giveUpClosings()
	for _, j := range s.jobs {
		answerAll(&j.submitWaiters, Result{Outcome: Uncertain, Why: "the service has another owner"})
		answerAll(&j.cancelWaiters, Result{Outcome: Uncertain, Why: "the service has another owner"})
	}
}

func answerAll(list *[]func(Result), r Result) {
	for _, fn := range *list {
		fn(r)
	}
	*list = nil
}
