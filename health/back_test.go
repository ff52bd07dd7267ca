package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against an upstream that stays failed for ever at a daemon that does not check it, because a peer reported it
// as failed or its requests failed. The daemon that checks it finds it healthy again and sends no more reports about it.
func TestFailedWithoutChecksComesBack(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	now := time.Unix(1000, 0)
	m.SetGroup("s", []string{"reported", "broken", "h3", "h4", "h5", "h6"})
	m.Report(now, "e2", "reported", cuminstair.HostFailed)
	for range FailResults {
		m.Observe(now, "broken", cuminstair.Result{Outcome: cuminstair.OutcomeUnknown, Reason: cuminstair.ReasonBroken})
	}
	for _, host := range []string{"reported", "broken"} {
		is.Equal(m.State(host), cuminstair.HostFailed)
	}
	now = now.Add(ReportTTL / 2)
	m.Report(now, "e2", "reported", cuminstair.HostFailed)
	now = now.Add(ReportTTL - time.Second)
	m.Tick(now)
	is.Equal(m.State("reported"), cuminstair.HostFailed) // the report is still valid
	now = now.Add(2 * time.Second)
	m.Tick(now)
	for _, host := range []string{"reported", "broken"} {
		is.Equal(m.State(host), cuminstair.HostProbation)
		for range PassTrials {
			m.Observe(now, host, cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: time.Millisecond})
		}
		is.Equal(m.State(host), cuminstair.HostActive)
	}
}
