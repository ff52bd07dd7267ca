package dispatch_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// Guards against workers that are closed for many seconds by the failures of tasks that last, so that these are without a run
// (review/9): tasks that fail after some time at work, and a task that fails soon after each start beside sound ones.
func TestFailuresOfLongRunningTasksCloseNoWorker(t *testing.T) {
	for name, c := range map[string]struct {
		lasts func(index int) time.Duration // time from the start to the failure; 0: it does not fail
		away  time.Duration                 // longest time without a run
	}{
		"after some time at work": {func(index int) time.Duration {
			return 6500*time.Millisecond + time.Duration(index)*800*time.Millisecond
		}, 3 * time.Second},
		"one task, soon": {func(index int) time.Duration {
			if index > 0 {
				return 0
			}
			return 1200 * time.Millisecond
		}, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			const tasks = 6
			p := newPool(t, 2)
			p.run(200 * time.Millisecond)
			p.submit(jobA, longRunning(tasks))
			p.run(time.Second)
			awaySince := map[int]time.Time{}
			for end := p.now.Add(90 * time.Second); p.now.Before(end); p.run(tick) {
				found := map[int]bool{}
				for _, w := range p.workers {
					for id, r := range w.runs {
						if lasts := c.lasts(id.Index); lasts > 0 && p.now.Sub(r.started) >= lasts {
							w.end(id, r, cuminstair.EndFailed)
							continue
						}
						found[id.Index] = true
					}
				}
				for i := range tasks {
					if since, away := awaySince[i]; found[i] || !away {
						awaySince[i] = p.now
					} else if p.now.Sub(since) > c.away {
						t.Fatalf("task %d is without a run for %s", i, p.now.Sub(since))
					}
				}
			}
		})
	}
}
