package dispatch

import (
	"sort"
	"time"
)

// Thresholds for treating a data centre as cut off.
const (
	// answerTimeout is how long an order may go unanswered before its worker counts as silent; answers take a few
	// milliseconds.
	answerTimeout = 250 * time.Millisecond
	// recentOrder is how long after an order its worker counts as recently contacted.
	recentOrder = time.Second
	// minSilent and minSilentShare are the least number and share of recently contacted workers that have to be silent.
	// At most a share of maxSilentElsewhere may be silent in the other data centres: if workers everywhere are silent,
	// the owner itself is cut off or slow.
	minSilent          = 3
	minSilentShare     = 0.5
	maxSilentElsewhere = 0.2
	// cutOffTTL is how long a data centre counts as cut off after the thresholds were last met.
	cutOffTTL = 700 * time.Millisecond
)

// responseCount counts the workers of a data centre that got an order recently, and those of them that have not
// answered.
type responseCount struct{ ordered, silent int }

// share returns the silent part, or 0 if no worker got an order.
func (c responseCount) share() float64 {
	if c.ordered == 0 {
		return 0
	}
	return float64(c.silent) / float64(c.ordered)
}

// detectCutOffs finds data centres that are cut off. Their workers stop answering at the same time; without this check
// tasks would be placed on each worker until calls to it had failed, and would then be blocked for the time of a lease.
func (s *Service) detectCutOffs(now time.Time) {
	counts := map[string]responseCount{}
	all := responseCount{}
	for _, w := range s.workers {
		contacted, silent := w.responsiveness(now)
		if w.gone || !w.listed || !contacted {
			continue
		}
		c := counts[w.info.Centre]
		c.ordered++
		all.ordered++
		if silent {
			c.silent++
			all.silent++
		}
		counts[w.info.Centre] = c
	}
	for name, c := range counts {
		others := responseCount{ordered: all.ordered - c.ordered, silent: all.silent - c.silent}
		if c.silent < minSilent || c.share() < minSilentShare || others.ordered == 0 || others.share() > maxSilentElsewhere {
			continue
		}
		if !now.Before(s.cutOff[name]) {
			s.Log.Warn("dispatch: data centre is cut off", "service", s.Name, "centre", name, "silent", c.silent, "asked", c.ordered,
				"silent elsewhere", others.silent, "asked elsewhere", others.ordered)
		}
		s.cutOff[name] = now.Add(cutOffTTL)
	}
}

// responsiveness reports whether a worker was contacted recently, and whether an answer is overdue.
func (w *worker) responsiveness(now time.Time) (contacted, silent bool) {
	if w.failedCalls > 0 {
		return !w.connRefused, !w.connRefused
	}
	for _, a := range w.attempts {
		since := now.Sub(a.sentAt)
		if since < recentOrder {
			contacted = true
		}
		if a.answeredAt.IsZero() && since > answerTimeout {
			return true, true
		}
	}
	return contacted, false
}

// isCutOff reports whether the data centre of a worker is cut off.
func (s *Service) isCutOff(now time.Time, w *worker) bool { return now.Before(s.cutOff[w.info.Centre]) }

// cutOffCentres returns the data centres that are cut off.
func (s *Service) cutOffCentres(now time.Time) []string {
	var list []string
	for name, until := range s.cutOff {
		if now.Before(until) {
			list = append(list, name)
		}
	}
	sort.Strings(list)
	return list
}

// preferCentre chooses the data centre in which the tasks of an occurrence of a job are placed as long as it has room.
// The loss of a data centre then delays the jobs placed there, instead of every job that has one task there. Each job
// goes to the data centre with the most free cores, so that the jobs are spread evenly. Tasks that last are spread by
// place.Want.Spread instead.
func (s *Service) preferCentre(st *step) {
	o := st.occ
	if st.LongRunning || st.BestEffort || (o.centre != "" && s.centreFree[o.centre] >= s.taskCores(&st.JobStep)) {
		return
	}
	best, most := "", 0.0
	for name, free := range s.centreFree {
		if free > most || (free == most && name < best) {
			best, most = name, free
		}
	}
	o.centre = best
}
