package dispatch

import (
	"encoding/json"
	"time"

	"cuminstair.org/cuminstair"
)

// Batch is a set of records that is written in one transaction.
type Batch struct {
	Puts    []cuminstair.RecordPut
	Deletes []cuminstair.RecordKey

	created []*job
	runs    map[*job]cuminstair.JobState // state as written
	swept   []*job
	seen    map[*worker]mark // ends that are counted once the batch is stored
	workers []*worker
}

// mark is a position in the ends of one life of a worker.
type mark struct{ born, seq int64 }

// Times of waiting callers and of finished jobs.
const (
	// waitForStore is how long a caller waits for its job to be stored while the store does not answer, and
	// waitForSlowStore while it is slow, or when the job may be stored: the answer that its fate is unknown is final for the
	// caller.
	waitForStore     = 1200 * time.Millisecond
	waitForSlowStore = 2400 * time.Millisecond
	sweepEvery       = 5 * time.Second
	sweepAtOnce      = 20
)

// Batch returns what is to be written now, or nil. Its fate has to be told by Stored before the next call.
func (s *Service) Batch(now time.Time) *Batch {
	if s.deposed {
		return nil
	}
	if len(s.dirty) == 0 && !s.workersDirty {
		// Ends that change no record are as good as stored.
		for _, w := range s.workers {
			w.stored = w.processed
		}
	}
	if !s.due(now) {
		return nil
	}
	s.lastBatch = now
	b := &Batch{runs: map[*job]cuminstair.JobState{}, seen: map[*worker]mark{}}
	if s.workersDirty {
		s.putWorkers(b)
	}
	size := 0
	rest := s.dirty[:0]
	for _, j := range s.dirty {
		if len(b.Puts) >= batchPuts-1 || size > batchBytes {
			rest = append(rest, j)
			continue
		}
		size += s.putJob(b, j)
	}
	s.dirty = rest
	if len(rest) == 0 {
		for _, w := range s.workers {
			b.seen[w] = mark{born: w.info.Born, seq: w.processed}
		}
	}
	s.sweep(now, b)
	return b
}

// due tells whether a batch should be written now.
func (s *Service) due(now time.Time) bool {
	if len(s.dirty) == 0 && !s.workersDirty && now.Sub(s.swept) < sweepEvery {
		return false
	}
	if now.Sub(s.lastBatch) >= batchGap {
		return true
	}
	if s.workersDirty {
		return true
	}
	for _, j := range s.dirty {
		if !j.stored || len(j.cancels) > 0 || j.over() {
			return true
		}
	}
	return false
}

// putJob adds the records of a job and returns their size.
func (s *Service) putJob(b *Batch, j *job) int {
	j.dirty = false
	size := 0
	if !j.stored {
		value := j.jobValue()
		b.Puts = append(b.Puts, s.put(JobTable, j.id, value))
		b.created = append(b.created, j)
		size += len(value)
	}
	if j.stored || j.over() {
		value := j.runValue()
		b.Puts = append(b.Puts, s.put(RunTable, j.id, value))
		size += len(value)
	}
	b.runs[j] = j.state
	return size
}

func (s *Service) put(table, key string, value []byte) cuminstair.RecordPut {
	return cuminstair.RecordPut{RecordKey: s.key(table, key), Value: value}
}

func (s *Service) key(table, key string) cuminstair.RecordKey {
	return cuminstair.RecordKey{Table: table, Part: s.Name, Key: key}
}

func (s *Service) putWorkers(b *Batch) {
	s.workersDirty = false
	r := workersRecord{Ratio: s.ratio, Objective: s.meanObjective.Milliseconds(), Cores: s.mostCores}
	for id, w := range s.workers {
		if w.gone && len(w.attempts) == 0 {
			continue
		}
		r.Workers = append(r.Workers, workerRecord{ID: id, Addr: w.info.Addr, Born: w.info.Born, Host: w.info.Host})
		b.workers = append(b.workers, w)
	}
	// This type always encodes.
	data, _ := json.Marshal(r)
	b.Puts = append(b.Puts, s.put(WorkerTable, workersKey, data))
}

// recoverWorkers takes the record of the workers that an earlier owner may have used, and of what it had learned.
func (s *Service) recoverWorkers(r cuminstair.Record) {
	var c workersRecord
	if err := json.Unmarshal(r.Value, &c); err != nil {
		s.Log.Error("dispatch: can't read the record of workers", "service", s.Name, "version", r.Version, "error", err)
		return
	}
	for _, x := range c.Workers {
		w := newWorker(cuminstair.WorkerInfo{ID: x.ID, Service: s.Name, Addr: x.Addr, Born: x.Born, Host: x.Host})
		w.recorded = true
		s.workers[x.ID] = w
		s.inherited[x.ID] = true
	}
	for queue, ratio := range c.Ratio {
		s.ratio[queue] = ratio
	}
	s.meanObjective, s.mostCores = time.Duration(c.Objective)*time.Millisecond, c.Cores
}

// sweep removes jobs whose state need not be told any more.
func (s *Service) sweep(now time.Time, b *Batch) {
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for id, first := range s.refused {
		if now.Sub(first) > refusedKeep {
			delete(s.refused, id)
		}
	}
	for _, j := range s.jobs {
		if len(b.Puts)+len(b.Deletes) >= batchPuts-2 || len(b.swept) >= sweepAtOnce {
			return
		}
		if j.over() && !j.dirty && j.stored && b.runs[j] == 0 && now.Sub(j.ended) > s.Bounds.KeepState+keepMargin {
			b.Deletes = append(b.Deletes, s.key(JobTable, j.id), s.key(RunTable, j.id))
			b.swept = append(b.swept, j)
		}
	}
}

// Empty tells whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Puts) == 0 && len(b.Deletes) == 0 }

// Stored notes that a batch is in the store.
func (s *Service) Stored(now time.Time, b *Batch) {
	for _, j := range b.created {
		j.stored = true
		s.Log.Info("dispatch: job accepted", "service", s.Name, "job", j.id, "queue", j.queue.Name,
			"after", now.Sub(j.sent).Round(time.Millisecond).String(), "due in", j.due.Sub(now).Round(time.Millisecond).String(), "open", len(s.active))
		if !j.over() {
			s.activate(now, j)
		}
		answer(&j.accepted, Result{Outcome: Accepted})
	}
	for j, state := range b.runs {
		j.shown = state
		if j.over() && j.shown == j.state {
			answer(&j.cancels, Result{Outcome: Accepted})
		}
	}
	for w, m := range b.seen {
		if w.info.Born != m.born {
			continue // the numbers of ends began anew
		}
		w.stored = max(w.stored, m.seq)
		if w.stored > w.seen && now.Before(w.next) {
			w.next = now
		}
	}
	for _, w := range b.workers {
		if !w.recorded {
			w.recorded = true
			s.changed = true
		}
	}
	for _, j := range b.swept {
		delete(s.jobs, j.id)
	}
}

// Dropped notes that a batch was surely not stored and will not be.
func (s *Service) Dropped(b *Batch) {
	for j := range b.runs {
		s.touch(j)
	}
	if len(b.workers) > 0 {
		s.workersDirty = true
	}
}

// AnswerLate answers callers that have waited too long for the store. inflight is the batch whose fate is not known, or
// nil: a job in it may be stored, all others are forgotten.
func (s *Service) AnswerLate(now time.Time, inflight *Batch) {
	unknown := map[*job]bool{}
	if inflight != nil {
		for _, j := range inflight.created {
			unknown[j] = true
		}
	}
	wait := waitForSlowStore
	if s.storeDown {
		wait = waitForStore
	}
	kept := s.dirty[:0]
	for _, j := range s.dirty {
		if j.stored || unknown[j] || now.Sub(j.arrived) < wait {
			kept = append(kept, j)
			continue
		}
		delete(s.jobs, j.id)
		s.Log.Info("dispatch: job refused", "service", s.Name, "job", j.id, "why", "the store did not answer in time")
		answer(&j.accepted, Result{Outcome: Away, Wait: awayWait, Why: "the store did not answer in time"})
		answer(&j.cancels, Result{Outcome: NotFound})
	}
	s.dirty = kept
	for j := range unknown {
		if now.Sub(j.arrived) >= waitForSlowStore && len(j.accepted) > 0 {
			s.Log.Info("dispatch: fate of a job is unknown", "service", s.Name, "job", j.id, "why", "the store did not answer in time")
			answer(&j.accepted, Result{Outcome: Uncertain, Why: "the store did not answer in time"})
		}
	}
}

// AnswerAll answers all waiting callers that the fate of their calls is unknown, since the service is no longer owned.
func (s *Service) AnswerAll() {
	for _, j := range s.jobs {
		answer(&j.accepted, Result{Outcome: Uncertain, Why: "the service has another owner"})
		answer(&j.cancels, Result{Outcome: Uncertain, Why: "the service has another owner"})
	}
}

func answer(list *[]func(Result), r Result) {
	for _, fn := range *list {
		fn(r)
	}
	*list = nil
}
