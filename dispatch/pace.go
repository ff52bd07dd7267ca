package dispatch

import "time"

// Control of the tasks that use what others leave. The tail of the served tasks beside them rises with their share, by
// a factor that differs by image and changes within seconds: the share is halved as soon as a tail comes near its
// target and rises by small steps.
const (
	tailHigh   = 0.75
	tailLow    = 0.5
	shareStep  = 10 // percent
	shareLeast = 12 // percent; below it a best-effort task stands still
	paceDown   = 300 * time.Millisecond
	paceUp     = 900 * time.Millisecond
)

// paceAll sets the share of the best-effort task on each worker.
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
		if a.task == nil || !a.task.step.BestEffort || a.answered.IsZero() || !a.stop.IsZero() {
			continue
		}
		share := nextShare(a.share, worst, now.Sub(a.paced))
		if share == a.share {
			continue
		}
		a.share, a.paced = share, now
		s.orders = append(s.orders, Order{Kind: OrderPace, Worker: w.info, Task: a.id, Run: a.run, Token: s.Token, Percent: share, attempt: a})
		s.Log.Debug("dispatch: best-effort task is paced", "service", s.Name, "job", a.id.Job, "worker", w.info.ID, "share", share, "tail", worst)
	}
}

// nextShare returns the share of a best-effort task, from the worst tail beside it as a part of its target.
func nextShare(share int, worst float64, since time.Duration) int {
	switch {
	case worst > tailHigh && since >= paceDown && share > 0:
		share /= 2
		if worst > 1 || share < shareLeast {
			share = 0
		}
	case worst < tailLow && since >= paceUp && share < 100:
		share = min(100, max(share+shareStep, shareLeast))
	}
	return share
}
