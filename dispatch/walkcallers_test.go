package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// Callers of a walk. In most walks they call the owner. With forwarded set, each attempt goes to some daemon, which forwards
// it as package entry does, and callers give up after a few attempts, so that jobs stay refused.

// anyRunner returns a runner of a daemon that answers callers, or nil.
func (w *walk) anyRunner() *runner {
	var list []*runner
	for _, d := range w.daemons {
		if r := d.runner; d.alive && !d.frozen && r != nil && !r.releasing && !r.ended {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.sim.rand.IntN(len(list))]
}

func (w *walk) submit(j *modelJob) {
	if w.forwarded {
		w.handIn(j)
		return
	}
	if j.accepted || j.tries > 40 {
		return
	}
	j.tries++
	answered := false
	again := func() {
		if !answered {
			answered = true
			w.sim.after(500*time.Millisecond, func() { w.submit(j) })
		}
	}
	w.sim.after(4*time.Second, again)
	r := w.anyRunner()
	if r == nil {
		again()
		return
	}
	r.post(func(now time.Time) {
		r.state.Submit(now, j.id, j.spec, w.queue(), j.account, func(x dispatch.Result) {
			if x.Outcome != dispatch.Accepted {
				again()
				return
			}
			j.accepted, answered = true, true
		})
	})
}

func (w *walk) cancel(j *modelJob) {
	if w.forwarded {
		w.cancelJob(j, cancelRetries)
		return
	}
	if !j.cancelled.IsZero() || j.final != cuminstair.JobUnknown {
		return
	}
	again := func() { w.sim.after(time.Second, func() { w.cancel(j) }) }
	r := w.anyRunner()
	if r == nil || !j.accepted {
		again()
		return
	}
	j.cancelSent = true
	answered := false
	w.sim.after(4*time.Second, func() {
		if !answered {
			again()
		}
	})
	r.post(func(now time.Time) {
		r.state.Cancel(now, j.id, func(x dispatch.Result) {
			answered = true
			switch {
			case x.Outcome != dispatch.Accepted:
				again()
			case j.cancelled.IsZero():
				j.cancelled = w.sim.now
			}
		})
	})
}

// callAnswer is what a caller knows of an attempt.
type callAnswer uint8

const (
	callOpen callAnswer = iota
	callAccepted
	callRefused // 429 or 503: the attempt never takes effect
	callUnknown // 504 or no answer in time
	callGone    // 410, of a cancellation: no such job
)

func (a callAnswer) String() string {
	return [...]string{"open", "accepted", "refused", "unknown", "gone"}[a]
}

// attempt is a caller's call: the submission of a job or its cancellation.
type attempt struct {
	job    *modelJob
	cancel bool
	number int // counted per walk
	answer callAnswer
	limit  time.Time // until when the caller waits
}

// callCounts tell what the calls of a walk have reached.
type callCounts struct {
	attempts, refused, unknown, gone, copies, held, heldLong, late int
}

func (c *callCounts) add(o *callCounts) {
	c.attempts, c.refused, c.unknown, c.gone = c.attempts+o.attempts, c.refused+o.refused, c.unknown+o.unknown, c.gone+o.gone
	c.copies, c.held, c.heldLong = c.copies+o.copies, c.held+o.held, c.heldLong+o.heldLong
	c.late += o.late
}

// Parameters of the callers.
const (
	maxAttempts   = 4 // to hand a job in
	cancelRetries = 20
	unknownPause  = 500 * time.Millisecond // after an attempt without a known outcome
)

// handIn makes an attempt to hand a job in.
func (w *walk) handIn(j *modelJob) {
	if !j.cancelled.IsZero() || j.cancelSent {
		return
	}
	a := w.newAttempt(j, false)
	j.attempts = append(j.attempts, a)
	w.callDaemon(a, func(res dispatch.Result) {
		w.note("callers", "job answered", "job", j.id, "attempt", a.number, "answer", a.answer, "why", res.Why)
		again := func(pause time.Duration, p float64) {
			if len(j.attempts) < maxAttempts && w.sim.chance(p) {
				w.sim.after(pause, func() { w.handIn(j) })
			}
		}
		switch a.answer {
		case callAccepted:
			j.accepted = true
			w.activeAt = w.sim.now // its turn to be worked on begins now
		case callRefused:
			w.counts.calls.refused++
			w.checkRefused(j)
			again(res.Wait, 0.6)
		default:
			w.counts.calls.unknown++
			if w.sim.chance(0.15) {
				w.cancel(j)
			}
			again(unknownPause, 0.7)
		}
	})
}

// cancelJob cancels a job until that is answered. "No such job" is an answer too if no attempt to hand the job in is open.
func (w *walk) cancelJob(j *modelJob, tries int) {
	if !j.cancelled.IsZero() || j.final != cuminstair.JobUnknown || tries == 0 {
		return
	}
	again := func() { w.sim.after(time.Second, func() { w.cancelJob(j, tries-1) }) }
	if j.open() {
		again()
		return
	}
	j.cancelSent = true
	a := w.newAttempt(j, true)
	w.callDaemon(a, func(res dispatch.Result) {
		w.note("callers", "cancellation answered", "job", j.id, "attempt", a.number, "answer", a.answer, "why", res.Why)
		switch {
		case a.answer != callAccepted && a.answer != callGone:
			again()
		case j.cancelled.IsZero():
			j.cancelled = w.sim.now
			if a.answer == callGone {
				w.counts.calls.gone++
			}
		}
	})
}

func (w *walk) newAttempt(j *modelJob, cancel bool) *attempt {
	w.counts.calls.attempts++
	return &attempt{job: j, cancel: cancel, number: w.counts.calls.attempts, limit: w.sim.now.Add(w.sim.between(time.Second, 4*time.Second))}
}

// callDaemon sends an attempt to a daemon and calls then once, with the answer or when the caller has waited long enough.
func (w *walk) callDaemon(a *attempt, then func(dispatch.Result)) {
	w.sim.after(a.limit.Sub(w.sim.now), func() {
		if a.answer == callOpen {
			a.answer = callUnknown
			then(dispatch.Result{Outcome: dispatch.Uncertain, Why: "no answer"})
		}
	})
	d := w.daemons[w.sim.rand.IntN(len(w.daemons))]
	if !d.alive {
		return
	}
	w.note("callers", "call sent", "job", a.job.id, "attempt", a.number, "cancel", a.cancel, "daemon", d.name)
	run := d.run
	w.sim.after(w.latency(), func() {
		d.do(run, func() {
			if a.answer != callOpen {
				return // the connection of a caller that has gone ends its call
			}
			d.serve(a, func(res dispatch.Result) {
				w.sim.after(w.latency(), func() {
					if a.answer == callOpen {
						a.answer = answerOf(res.Outcome)
						then(res)
					}
				})
			})
		})
	})
}

func answerOf(o dispatch.Outcome) callAnswer {
	switch o {
	case dispatch.Accepted:
		return callAccepted
	case dispatch.NotFound:
		return callGone
	case dispatch.Uncertain:
		return callUnknown
	default:
		return callRefused
	}
}

// open reports whether an attempt to hand the job in waits for its answer.
func (j *modelJob) open() bool {
	for _, a := range j.attempts {
		if a.answer == callOpen {
			return true
		}
	}
	return false
}

// mayBeAccepted reports whether the job may run for all that its caller knows.
func (j *modelJob) mayBeAccepted() bool {
	for _, a := range j.attempts {
		if a.answer != callRefused {
			return true
		}
	}
	return false
}

// checkAsked checks before a start that an attempt to hand its job in was not refused.
func (w *walk) checkAsked(j *modelJob, t cuminstair.TaskID) {
	if w.forwarded && !j.mayBeAccepted() {
		w.violation("REFUSED", t, fmt.Sprintf("a run starts although all %d attempts to hand its job in were refused", len(j.attempts)))
	}
}

// checkRefused checks after a refusal that no task has started if all attempts are refused.
func (w *walk) checkRefused(j *modelJob) {
	if j.mayBeAccepted() {
		return
	}
	for t := range w.runs {
		if t.Job == j.id {
			w.violation("REFUSED", t, fmt.Sprintf("it has started, and all %d attempts to hand its job in are refused", len(j.attempts)))
		}
	}
}

// newForwardedWalk returns a walk whose callers call entry daemons.
func newForwardedWalk(seed uint64) *walk {
	w := newWalk(seed)
	w.forwarded = true
	r := rand.New(rand.NewPCG(seed, 7))
	w.tightness = r.IntN(3)
	w.retention = []time.Duration{2 * time.Minute, 2 * time.Minute, time.Second}[r.IntN(3)]
	w.planPeerFaults()
	return w
}

// TestWalkWithHeldCalls guards against calls that the network holds for up to two minutes and delivers after their daemon has
// given them up: jobs that run although all attempts to hand them in were refused (REFUSED), jobs that run after their
// cancellation (UNASKED), and jobs that run again after their end (TWICE).
func TestWalkWithHeldCalls(t *testing.T) { playWalks(t, newForwardedWalk) }
