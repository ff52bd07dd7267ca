package dispatch

import (
	"sort"
	"time"
)

// Signs that a data centre is cut off.
const (
	// answerTime is the time after which an order without an answer counts as a sign; answers take a few milliseconds.
	answerTime = 250 * time.Millisecond
	// askedLately is how long ago an order counts for the share of the workers that answer.
	askedLately = time.Second
	// cutLeast is how many workers have to be silent, and cutShare which part of those that were asked lately. In the
	// other data centres at most othersShare may be: if all are silent, it is the owner that is cut off or slow.
	cutLeast    = 3
	cutShare    = 0.5
	othersShare = 0.2
	// cutFor is how long a data centre counts as cut off after the last signs.
	cutFor = 700 * time.Millisecond
)

// centreSigns counts workers of a data centre that were asked lately, and those that have not answered.
type centreSigns struct{ asked, silent int }

func (c centreSigns) share() float64 {
	if c.asked == 0 {
		return 0
	}
	return float64(c.silent) / float64(c.asked)
}

// watchCentres finds data centres that are cut off. It answers a cut: workers fall silent together, and until each is
// known to be silent for itself, every job would get tasks there that are lost for the time of a lease.
func (s *Service) watchCentres(now time.Time) {
	signs := map[string]centreSigns{}
	all := centreSigns{}
	for _, w := range s.workers {
		asked, silent := w.signs(now)
		if w.gone || !w.listed || !asked {
			continue
		}
		c := signs[w.info.Centre]
		c.asked++
		all.asked++
		if silent {
			c.silent++
			all.silent++
		}
		signs[w.info.Centre] = c
	}
	for name, c := range signs {
		others := centreSigns{asked: all.asked - c.asked, silent: all.silent - c.silent}
		if c.silent < cutLeast || c.share() < cutShare || others.asked == 0 || others.share() > othersShare {
			continue
		}
		if !now.Before(s.cutOff[name]) {
			s.Log.Warn("dispatch: data centre is cut off", "service", s.Name, "centre", name, "silent", c.silent, "asked", c.asked,
				"silent elsewhere", others.silent, "asked elsewhere", others.asked)
		}
		s.cutOff[name] = now.Add(cutFor)
	}
}

// signs tells whether a worker was asked lately, and whether it owes an answer.
func (w *worker) signs(now time.Time) (asked, silent bool) {
	if w.failed > 0 {
		return !w.refusing, !w.refusing
	}
	for _, a := range w.attempts {
		since := now.Sub(a.sent)
		if since < askedLately {
			asked = true
		}
		if a.answered.IsZero() && since > answerTime {
			return true, true
		}
	}
	return asked, false
}

// isCutOff tells whether the data centre of a worker is cut off.
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
