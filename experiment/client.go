package experiment

import (
	"math"
	"time"

	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/place"
)

const (
	// clientDelay is the time of a message one way between a client and the owner of a service.
	clientDelay = 1500 * time.Microsecond
	// clientTimeout is how long a client waits for an answer.
	clientTimeout = 3 * time.Second
	// noOwnerWait is the time after which a client comes again when no daemon owns the service.
	noOwnerWait = time.Second
	// lateAnswerShare is the part of a job's objective after which a refusal counts as late.
	lateAnswerShare = 0.25
)

// shortage is what a job lacked.
type shortage uint8

// Shortages.
const (
	shortNothing   shortage = iota // it did not wait for room
	shortRefusal                   // refused although the usable workers of its pool had room for its first step
	shortPlacement                 // waited although the usable workers of its pool had room for all waiting tasks
	shortContact                   // there was room only with workers that have just started or are to be emptied
	shortPacking                   // the free room of its pool was enough for its tasks, but on several workers
	shortHosts                     // its pool was full while hosts were elsewhere or moving
	shortAll                       // all hosts were in use
	shortStore                     // the store or the owner of the service was away
	shortRun                       // a task waited after its run was lost
	shortages
)

var shortageNames = [shortages]string{"other", "refusal", "placement", "contact", "packing", "hosts", "full", "store", "lost run"}

// submit submits a job, and submits it again after a refusal as often as the load says.
func (s *sim) submit(j *job) {
	j.attempts++
	sent := s.now
	answered := false
	answer := func(r dispatch.Result) {
		if answered {
			return
		}
		answered = true
		s.after(clientDelay, func() { s.answered(j, sent, r) })
	}
	s.after(clientDelay, func() {
		o := s.owners[j.queue.Name]
		if o.stopped {
			answer(dispatch.Result{Outcome: dispatch.Unavailable, Wait: noOwnerWait})
			return
		}
		o.event(func() {
			spec, queue := s.policy.submission(s.now, j)
			o.service.Submit(s.now, j.id, spec, queue, "", func(r dispatch.Result) {
				s.noteOutcome(j, r, answered)
				answer(r)
			})
		})
	})
	s.after(clientTimeout, func() { answer(dispatch.Result{Outcome: dispatch.Unavailable, Wait: time.Millisecond}) })
}

// noteOutcome notes an outcome on the owner's side.
func (s *sim) noteOutcome(j *job, r dispatch.Result, timedOut bool) {
	switch r.Outcome {
	case dispatch.Accepted, dispatch.Uncertain:
		if s.active[j.id] == nil && j.completedAt.IsZero() {
			s.active[j.id] = newProgress(j)
		}
	case dispatch.Refused, dispatch.Unavailable, dispatch.Impossible:
		if timedOut {
			return
		}
		j.shortage = s.shortageOfJob(j)
		if r.Outcome == dispatch.Unavailable {
			j.shortage = shortStore
		}
		if j.shortage == shortRefusal {
			s.count.roomFree++
		}
	default:
	}
}

// answered processes the answer that a client gets.
func (s *sim) answered(j *job, sent time.Time, r dispatch.Result) {
	if r.Outcome == dispatch.Accepted || r.Outcome == dispatch.Uncertain {
		j.acceptedAt = s.now
		return
	}
	if j.shortage == shortNothing {
		j.shortage = shortStore // no owner
	}
	if s.now.Sub(sent) > time.Duration(lateAnswerShare*float64(j.objective())) {
		s.count.refusedLate++
	} else {
		s.count.refusedEarly++
	}
	if j.attempts > s.day.load.Retries && !j.lasting {
		return
	}
	wait := time.Second * time.Duration(max(1, math.Round(r.Wait.Seconds())))
	s.after(wait, func() { s.submit(j) })
}

// shortageOfJob returns what a job lacks that is refused now.
func (s *sim) shortageOfJob(j *job) shortage {
	r := s.roomFor(j, 0)
	switch n := j.spec.Steps[0].Count; {
	case r.places >= n:
		return shortRefusal
	case r.tasks >= n:
		return shortContact
	case s.hostsElsewhere(j.queue.Name):
		return shortHosts
	}
	return shortAll
}

// shortageOfTasks returns what the waiting tasks of a job lack now, where the tasks of its queue that wait request waiting
// in all.
func (s *sim) shortageOfTasks(p *progress, waiting place.Room) shortage {
	r := s.roomFor(p.job, p.step)
	separate := p.job.spec.Steps[p.step].PerWorker > 0
	switch {
	case p.lostRun:
		return shortRun
	case waiting.Fits(r.usable) && r.places >= p.waiting:
		return shortPlacement
	case waiting.Fits(r.all) && r.tasks >= p.waiting:
		return shortContact
	case waiting.Fits(r.all) && !separate:
		return shortPacking
	case s.hostsElsewhere(p.job.queue.Name):
		return shortHosts
	}
	return shortAll
}

// lossOf returns why a job that is not on time earns less: what it lacked when it was refused for the last time, or what
// its tasks waited for longest. A job that waited less than half of the time by which it is late was slow on its way.
func (j *job) lossOf(s *sim) shortage {
	if j.completedAt.IsZero() && j.acceptedAt.IsZero() {
		return j.shortage
	}
	waits := j.waits
	if p := s.active[j.id]; p != nil {
		waits = p.waits
	}
	if j.attempts > 1 {
		waits[j.shortage] += j.acceptedAt.Sub(j.sentAt)
	}
	most, total := shortNothing, time.Duration(0)
	for i, d := range waits {
		total += d
		if d > waits[most] {
			most = shortage(i)
		}
	}
	if !j.completedAt.IsZero() && total < j.completedAt.Sub(j.due)/2 {
		return shortNothing
	}
	return most
}
