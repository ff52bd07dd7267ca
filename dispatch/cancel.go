package dispatch

import (
	"time"

	"cuminstair.org/cuminstair"
)

// unknownCancel is a cancellation of a job that this owner does not know.
type unknownCancel struct {
	id    string
	at    time.Time // when it came
	reply func(Result)
}

// Cancel stops a job. reply is called once the cancellation is stored, at once if the job's final state is already stored,
// or, if the job is unknown, once the store has confirmed that there is no other owner who may know it.
func (s *Service) Cancel(now time.Time, id string, reply func(Result)) {
	j, ok := s.jobs[id]
	switch {
	case !ok:
		s.unknownCancels = append(s.unknownCancels, unknownCancel{id: id, at: now, reply: reply})
		return
	case j.finished() && j.storedState == j.state:
		reply(Result{Outcome: Accepted, Why: "over already"})
		return
	}
	if !j.finished() {
		s.finish(now, j, cuminstair.JobCancelled, "cancelled by the caller")
	}
	j.cancelWaiters = append(j.cancelWaiters, reply)
}

// answerUnknownCancels answers the cancellations of unknown jobs that came before the store last confirmed this owner. The
// others are uncertain after storeSlowTimeout.
func (s *Service) answerUnknownCancels(now time.Time) {
	waiting := s.unknownCancels
	s.unknownCancels = nil
	for _, c := range waiting {
		_, known := s.jobs[c.id]
		switch {
		case known:
			s.Cancel(now, c.id, c.reply) // it was submitted meanwhile
		case s.confirmedAt.After(c.at):
			s.recordNotFound(now, c.id)
			c.reply(Result{Outcome: NotFound})
		case now.Sub(c.at) >= storeSlowTimeout:
			c.reply(Result{Outcome: Uncertain, Why: "the store has not confirmed the owner"})
		default:
			s.unknownCancels = append(s.unknownCancels, c)
		}
	}
}
