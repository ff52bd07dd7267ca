package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against a host that gets no work for ten seconds after its drain was cancelled: each daemon that once received
// its notice that it is leaving kept the others from using it.
func TestCancelledDrainGetsWorkSoon(t *testing.T) {
	const (
		step      = 100 * time.Millisecond
		leavesAt  = time.Second
		returnsAt = 8 * time.Second
		bound     = 3 * time.Second
	)
	is := is.New(t)
	daemons := []*Monitor{{}, {}, {}} // the first one checks the host
	for _, m := range daemons {
		m.SetGroup("s", []string{"h", "other"}) // in a group of one, MaxOut would keep h in rotation
	}
	for passed := time.Duration(0); passed < returnsAt+10*time.Second; passed += step {
		now, leaves := start.Add(passed), passed >= leavesAt && passed < returnsAt
		if passed%time.Second == 0 {
			daemons[0].Probe(now, "h", true, leaves)
		}
		for i, m := range daemons {
			if passed < returnsAt {
				m.Observe(now, "h", cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: step, Leaving: leaves})
			}
			m.Tick(now)
			if state, ok := m.OwnState(now, "h"); ok {
				for j, peer := range daemons {
					if i != j {
						peer.Report(now, string(rune('a'+i)), "h", state)
					}
				}
			}
		}
		for _, m := range daemons {
			if leaves && passed > leavesAt {
				is.Equal(m.State("h"), cuminstair.HostLeaving)
			}
			if passed >= returnsAt+bound {
				is.Equal(m.State("h"), cuminstair.HostActive)
			}
		}
	}
}

// Guards against a host that gets full work again without probation although it was down while it was leaving, or had
// failed before.
func TestReturnAfterFailureNeedsProbation(t *testing.T) {
	for name, down := range map[string]func(m *Monitor){
		"check while leaving": func(m *Monitor) {
			m.Probe(start, "h", true, true)
			m.Probe(start, "h", false, false)
		},
		"request while leaving": func(m *Monitor) {
			m.Probe(start, "h", true, true)
			m.Observe(start, "h", broken)
		},
		"failed before": func(m *Monitor) {
			fail(m, start, "h")
			m.Probe(start, "h", true, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, m := is.New(t), &Monitor{}
			m.SetGroup("s", []string{"h", "other"})
			down(m)
			m.Probe(start.Add(time.Second), "h", true, true)
			is.Equal(m.State("h"), cuminstair.HostLeaving)
			m.Probe(start.Add(2*time.Second), "h", true, false)
			is.Equal(m.State("h"), cuminstair.HostProbation)
		})
	}
}

// Guards against new work for a host that leaves by the platform's list while it still answers: only one daemon reads the
// list, and the daemon that checks the host took each passed check for news that the host does not leave. Guards also
// against a host that gets no work after the list shows it as live again.
func TestPassedChecksDoNotEndAPlannedLeave(t *testing.T) {
	const (
		step      = 100 * time.Millisecond
		leavesAt  = time.Second
		returnsAt = 8 * time.Second
		bound     = 3 * time.Second
	)
	for _, source := range []Source{SourceList, SourceOperator} {
		is := is.New(t)
		reader, checker := &Monitor{}, &Monitor{}
		for _, m := range []*Monitor{reader, checker} {
			m.SetGroup("s", []string{"h", "other"}) // in a group of one, MaxOut would keep h in rotation
		}
		for passed := time.Duration(0); passed < returnsAt+10*time.Second; passed += step {
			now, leaves := start.Add(passed), passed >= leavesAt && passed < returnsAt
			if leaves {
				reader.MarkLeaving(now, "h", source)
			} else {
				reader.ClearLeaving(now, "h", source)
			}
			state, _ := reader.OwnState(now, "h")
			checker.Report(now, "reader", "h", state)
			if passed%time.Second == 0 {
				checker.Probe(now, "h", true, false)
			}
			for _, m := range []*Monitor{reader, checker} {
				m.Tick(now)
				if leaves {
					is.Equal(m.State("h"), cuminstair.HostLeaving)
				}
			}
			if passed >= returnsAt+bound {
				is.Equal(checker.State("h"), cuminstair.HostActive)
			}
		}
	}
}

// Guards against a planned leave that outlives the report of the daemon that knows of it.
func TestReportOfAPlannedLeaveExpires(t *testing.T) {
	is, m := is.New(t), &Monitor{}
	m.SetGroup("s", []string{"h", "other"})
	m.Report(start, "d2", "h", ReportPlanned)
	m.Probe(start.Add(ReportTTL-time.Second), "h", true, false)
	is.Equal(m.State("h"), cuminstair.HostLeaving)
	m.Tick(start.Add(ReportTTL + time.Second))
	is.Equal(m.State("h"), cuminstair.HostActive)
}
