package dispatch

import (
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Control of the CPU share of best-effort tasks, which use the processor time left over by others. The tail latency of
// long-running tasks on the same worker rises with this share, by a factor that differs by image and changes within
// seconds. So the share is halved as soon as a tail exceeds tailHighShare of its target, and raised in small steps while
// all tails are below tailLowShare of theirs.
const (
	tailHighShare    = 0.75
	tailLowShare     = 0.5
	shareStep        = 10 // percent
	minShare         = 12 // percent; with less a best-effort task makes no progress
	paceDownInterval = 300 * time.Millisecond
	paceUpInterval   = 900 * time.Millisecond
	// paceRetry is the pause before an order without an answer is sent again.
	paceRetry = 300 * time.Millisecond
	// adoptedShare is the share that a run of an earlier owner is given, whose share is not known; in percent.
	adoptedShare = 50
)

// paceAll adjusts the CPU share of the best-effort tasks on each worker.
func (s *Service) paceAll(now time.Time) {
	for _, w := range s.workers {
		worst := 0.0
		bestEffort := 0
		for _, a := range w.attempts {
			switch {
			case a.task == nil:
			case a.task.step.BestEffort:
				bestEffort++
			case a.task.step.TailTarget > 0:
				worst = max(worst, a.gauge/float64(a.task.step.TailTarget.Milliseconds()))
			}
		}
		if bestEffort > 0 {
			s.paceWorker(now, w, worst)
		}
	}
}

func (s *Service) paceWorker(now time.Time, w *worker, worst float64) {
	for _, a := range w.attempts {
		if a.task == nil || !a.task.step.BestEffort || a.answeredAt.IsZero() || !a.stopSentAt.IsZero() {
			continue
		}
		share := nextShare(a.cpuShare, worst, now.Sub(a.pacedAt))
		resend := a.shareUnsure && now.Sub(a.paceSentAt) >= paceRetry
		if share == a.cpuShare && !resend {
			continue
		}
		if share != a.cpuShare {
			a.pacedAt = now
		}
		a.cpuShare, a.shareUnsure, a.paceSentAt = share, true, now
		s.orders = append(s.orders, Order{Kind: OrderPace, Worker: w.info, Task: a.id, Run: a.run, Token: s.Token, Percent: share, attempt: a})
		s.Log.Debug("dispatch: CPU share of a best-effort task changed", "service", s.Name, "job", a.id.Job, "worker", w.info.ID,
			"share", share, "tail", worst)
	}
}

// Paced processes the answer to an order that sets a CPU share. One without an answer is sent again.
func (s *Service) Paced(o Order, err error) {
	switch {
	case err == nil && o.Percent == o.attempt.cpuShare:
		o.attempt.shareUnsure = false
	case errors.Is(err, cuminstair.ErrFenced):
		s.depose("worker has seen a higher token", o.Worker.ID)
	default:
	}
}

// nextShare returns the new share of a best-effort task, in percent. worst is the highest ratio of tail latency to target
// on its worker; since is the time since the last change of the share.
func nextShare(share int, worst float64, since time.Duration) int {
	switch {
	case worst > tailHighShare && since >= paceDownInterval && share > 0:
		share /= 2
		if worst > 1 || share < minShare {
			share = 0
		}
	case worst < tailLowShare && since >= paceUpInterval && share < 100:
		share = min(100, max(share+shareStep, minShare))
	}
	return share
}
