package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// workerCrashed records that a worker has ended without notice while it ran tasks, and logs these with the age of their
// runs.
func (s *Service) workerCrashed(now time.Time, w *worker, why string) {
	if len(w.attempts) == 0 || !w.leavingSince.IsZero() {
		return
	}
	s.counts.Crashes++
	s.Log.Info("dispatch: worker crashed", "service", s.Name, "worker", w.info.ID, "why", why, "tasks", w.listRuns(now),
		"answered", now.Sub(w.answeredAt).Round(time.Millisecond).String())
}

// listRuns lists the runs on a worker for the log, the youngest first, with the time since their start.
func (w *worker) listRuns(now time.Time) string {
	list := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *attempt) int { return b.sentAt.Compare(a.sentAt) })
	texts := make([]string, len(list))
	for i, a := range list {
		texts[i] = fmt.Sprintf("%s:%d %s", taskName(a.id), a.run, now.Sub(a.sentAt).Round(time.Millisecond))
	}
	return strings.Join(texts, ", ")
}

// taskName is the name of a task in logs.
func taskName(id cuminstair.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}
