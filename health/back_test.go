package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against an upstream that stays out for ever at the daemons that don't check it: one that a peer reported, and
// one whose requests failed, while the daemon that checks it found it healthy again and says nothing about it.
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
	now = now.Add(ReportFor / 2)
	m.Report(now, "e2", "reported", cuminstair.HostFailed)
	now = now.Add(ReportFor - time.Second)
	m.Tick(now)
	is.Equal(m.State("reported"), cuminstair.HostFailed) // the report is still fresh
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
