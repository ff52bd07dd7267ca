package dispatch

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
)

// When a queue goes to another service, the former one is closed to it: the owner stores that it accepts no more of the jobs that an
// earlier version of the configuration sends here. From then on the jobs of the queue that this service has are all stored, so that the
// new service finds them there.

// closedKey is the key in WorkerTable of the record of closed queues.
const closedKey = "closed"

// maxClosed is the most entries of this record, which is also bounded by maxValue; the oldest are dropped. They matter only to
// daemons that have not read the configuration since.
const maxClosed = 300

// closing is the state of a queue that this service is closed to.
type closing struct {
	version int64 // the service accepts only what later versions of the configuration send to it
	stored  int64 // version according to the store
	waiters []closeWaiter
}

// closeWaiter waits until a version is stored, and with it all jobs that were accepted before.
type closeWaiter struct {
	version int64
	reply   func(CloseResult)
}

// CloseResult is the answer to CloseQueue.
type CloseResult struct {
	Closed bool // the service accepts no more jobs, and all that it has are stored; otherwise it may be closed
	Jobs   int  // jobs of the queue that the service knows
}

// closedRecord is the value of the record of closed queues.
type closedRecord struct {
	Queues []closedQueue `json:"queues"`
}

type closedQueue struct {
	assignment.Key
	Version int64 `json:"version"`
}

// CloseQueue closes the service to the jobs of a queue that a version of the configuration, or an earlier one, sends to it. reply is called
// once that is stored.
func (s *Service) CloseQueue(key assignment.Key, version int64, reply func(CloseResult)) {
	c := s.closings[key]
	if c == nil {
		c = &closing{}
		s.closings[key] = c
	}
	if version > c.version {
		c.version, s.closingsDirty = version, true
		s.Log.Info("dispatch: service is closed to a queue", "service", s.Name, "host", key.Host, "prefix", key.Prefix, "config", version)
	}
	c.waiters = append(c.waiters, closeWaiter{version, reply})
}

// closedTo reports whether the service is closed to the submissions of a queue.
func (s *Service) closedTo(queue *cuminstair.WorkQueue) bool {
	c := s.closings[assignment.KeyOf(queue)]
	return c != nil && queue.Since <= c.version
}

// answerClosings answers the calls of CloseQueue whose version is stored, unless jobs of the queue wait to be stored.
func (s *Service) answerClosings() {
	for key, c := range s.closings {
		isStored := func(w closeWaiter) bool { return w.version <= c.stored }
		if !slices.ContainsFunc(c.waiters, isStored) {
			continue
		}
		jobs, unstored := s.countJobs(key)
		if unstored > 0 {
			continue
		}
		c.waiters = slices.DeleteFunc(c.waiters, func(w closeWaiter) bool {
			if isStored(w) {
				w.reply(CloseResult{Closed: true, Jobs: jobs})
			}
			return isStored(w)
		})
	}
}

func (s *Service) countJobs(key assignment.Key) (jobs, unstored int) {
	for _, j := range s.jobs {
		if assignment.KeyOf(&j.queue) != key {
			continue
		}
		jobs++
		if !j.stored {
			unstored++
		}
	}
	return jobs, unstored
}

// giveUpClosings answers all calls of CloseQueue, because this daemon no longer owns the service.
func (s *Service) giveUpClosings() {
	for _, c := range s.closings {
		for _, w := range c.waiters {
			w.reply(CloseResult{})
		}
		c.waiters = nil
	}
}

// putClosings adds the record of closed queues to a batch if it has changed.
func (s *Service) putClosings(b *Batch) {
	if !s.closingsDirty {
		return
	}
	var list []closedQueue
	versions := map[assignment.Key]int64{}
	for key, c := range s.closings {
		versions[key] = c.version
		list = append(list, closedQueue{key, c.version})
	}
	slices.SortFunc(list, func(a, b closedQueue) int { return cmp.Compare(b.Version, a.Version) })
	value := fitValue(min(len(list), maxClosed), func(n int) any { return closedRecord{Queues: list[:n]} })
	again := func(b *Batch) bool {
		s.closingsDirty = true
		s.putClosings(b)
		return true
	}
	switch s.add(b, unit{puts: []cuminstair.RecordPut{s.put(WorkerTable, closedKey, value)}, again: again}) {
	case unitNoRoom:
		return
	case unitAdded:
		b.closings = versions
	case unitWithheld:
	}
	s.closingsDirty = false
}

// closingsStored is called when a batch has been written to the store.
func (s *Service) closingsStored(b *Batch) {
	for key, version := range b.closings {
		c := s.closings[key]
		c.stored = max(c.stored, version)
	}
}

// recoverClosings restores the queues that the service is closed to.
func (s *Service) recoverClosings(rec cuminstair.Record) {
	var r closedRecord
	if err := json.Unmarshal(rec.Value, &r); err != nil {
		s.Log.Error("dispatch: can't decode the record of closed queues", "service", s.Name, "version", rec.Version, "error", err)
		return
	}
	for _, q := range r.Queues {
		s.closings[q.Key] = &closing{version: q.Version, stored: q.Version}
	}
}

// Queues returns the IDs of the jobs that have not finished, by queue; the list is empty for a queue of which only finished jobs are known.
func (s *Service) Queues() map[assignment.Key][]string {
	queues := map[assignment.Key][]string{}
	for _, j := range s.jobs {
		key := assignment.KeyOf(&j.queue)
		queues[key] = append(queues[key], j.openID()...)
	}
	return queues
}

// openID returns the ID of a job that has not finished.
func (j *job) openID() []string {
	if j.finished() {
		return nil
	}
	return []string{j.id}
}

// CancelDuplicate cancels a job that another service has too, and that counts there.
func (s *Service) CancelDuplicate(now time.Time, id, at string) {
	s.Log.Warn("dispatch: job is known to two services, and is cancelled in the former one", "service", s.Name, "job", id, "present", at)
	s.Cancel(now, id, func(Result) {})
}
