package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair"
)

var (
	start  = time.Unix(1_000_000, 0)
	done   = cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: 20 * time.Millisecond}
	broken = cuminstair.Result{Reason: cuminstair.ReasonBroken, Latency: time.Millisecond}
)

// fail makes a host fail through failed requests.
func fail(m *Monitor, now time.Time, host string) {
	for range FailResults {
		m.Observe(now, host, broken)
	}
}

// Guards against a host that is marked failed too late, enters probation without passed checks or before its hold is
// over, or becomes active before it has passed probation.
func TestFailProbationActive(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	now := start
	fail(m, now, "h")
	is.Equal(m.State("h"), cuminstair.HostFailed)
	is.Equal(m.Changed(), []string{"h"})
	is.Equal(len(m.Changed()), 0)
	m.Probe(now, "h", true, false)
	m.Probe(now, "h", true, false)
	is.Equal(m.State("h"), cuminstair.HostFailed) // not before MinHold
	now = now.Add(MinHold)
	m.Probe(now, "h", true, false)
	is.Equal(m.State("h"), cuminstair.HostProbation)
	for range PassTrials {
		is.Equal(m.State("h"), cuminstair.HostProbation)
		m.Observe(now, "h", done)
	}
	is.Equal(m.State("h"), cuminstair.HostActive)
	m.Probe(now, "h", false, false)
	m.Probe(now, "h", false, false)
	is.Equal(m.State("h"), cuminstair.HostFailed)
	m.Probe(now.Add(MinHold), "h", true, false)
	m.Probe(now.Add(MinHold), "h", true, false)
	is.Equal(m.State("h"), cuminstair.HostFailed) // the hold doubles with the second failure
	m.Probe(now.Add(2*MinHold), "h", true, false)
	is.Equal(m.State("h"), cuminstair.HostProbation)
	m.Observe(now, "h", broken)
	is.Equal(m.State("h"), cuminstair.HostFailed)
}

// Guards against a host that fails most requests, but never FailResults in a row, and stays active.
func TestFailsMostly(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	for range 10 {
		m.Observe(start, "h", broken)
		m.Observe(start, "h", broken)
		m.Observe(start, "h", done)
	}
	is.Equal(m.State("h"), cuminstair.HostFailed)
}

// Guards against counting results that are no fault of the upstream: refusals, cancelled requests, silent connections
// whose upstream answers on a new one, and short deadlines.
func TestNoFaultOfTheUpstream(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	for range 100 {
		m.Observe(start, "h", cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Reason: cuminstair.ReasonRefused})
		m.Observe(start, "h", cuminstair.Result{})
		m.Observe(start, "h", cuminstair.Result{Reason: cuminstair.ReasonSilent, Latency: time.Minute})
		m.Observe(start, "h", cuminstair.Result{Reason: cuminstair.ReasonDeadline, Latency: time.Millisecond})
	}
	is.Equal(m.State("h"), cuminstair.HostActive)
}

// Guards against a host that stays out of rotation for ever because a daemon that does not check it once received its
// notice that it is leaving, and against a host that gets work again while it still sends this notice to its checker.
func TestLeavingEndsForAll(t *testing.T) {
	is := is.New(t)
	checker, listener := &Monitor{}, &Monitor{}
	for _, m := range []*Monitor{checker, listener} {
		m.SetGroup("s", []string{"h", "other"}) // in a group of one, MaxOut would keep h in rotation
	}
	listener.Observe(start, "h", cuminstair.Result{Outcome: cuminstair.OutcomeDone, Leaving: true})
	for second := range 60 {
		now := start.Add(time.Duration(second) * time.Second)
		leaves := second < 30
		checker.Probe(now, "h", true, leaves)
		for i, m := range []*Monitor{checker, listener} {
			if state, ok := m.OwnState(now, "h"); ok {
				[]*Monitor{listener, checker}[i].Report(now, "peer", "h", state)
			}
			m.Tick(now)
		}
		if leaves {
			is.Equal(listener.State("h"), cuminstair.HostLeaving)
		}
	}
	is.Equal(checker.State("h"), cuminstair.HostActive)
	is.True(listener.State("h") != cuminstair.HostLeaving)
}

// Guards against new work for a host after a notice from any source that it is leaving, and against a return before all
// sources have withdrawn their notices.
func TestLeavingFromEachSource(t *testing.T) {
	for name, notify := range map[string]func(m *Monitor){
		"answer": func(m *Monitor) {
			m.Observe(start, "h", cuminstair.Result{Outcome: cuminstair.OutcomeDone, Leaving: true})
		},
		"refusal": func(m *Monitor) {
			m.Observe(start, "h", cuminstair.Result{Outcome: cuminstair.OutcomeNotRun, Leaving: true})
		},
		"check":    func(m *Monitor) { m.Probe(start, "h", true, true) },
		"list":     func(m *Monitor) { m.MarkLeaving(start, "h", SourceList) },
		"operator": func(m *Monitor) { m.MarkLeaving(start, "h", SourceOperator) },
		"peer":     func(m *Monitor) { m.Report(start, "d2", "h", cuminstair.HostLeaving) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &Monitor{}
			m.SetGroup("s", []string{"h"}) // MaxOut does not apply to hosts that are leaving
			notify(m)
			is.Equal(m.State("h"), cuminstair.HostLeaving)
			fail(m, start, "h")
			is.Equal(m.State("h"), cuminstair.HostLeaving)
			m.MarkLeaving(start, "h", SourceOperator)
			m.Probe(start, "h", true, false)
			m.ClearLeaving(start, "h", SourceList)
			m.Tick(start.Add(2 * ReportTTL))
			is.Equal(m.State("h"), cuminstair.HostLeaving)
			m.SetGroup("s", []string{"h", "other"}) // in a group of one, MaxOut would keep h in rotation
			m.ClearLeaving(start, "h", SourceOperator)
			is.Equal(m.State("h"), cuminstair.HostProbation)
		})
	}
}

// Guards against reports that count after they expired or against newer evidence of the daemon itself, and against two
// daemons that confirm each other's reports for ever.
func TestReports(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	m.Observe(start, "h", done)
	m.Report(start.Add(time.Second), "d2", "h", cuminstair.HostFailed)
	is.Equal(m.State("h"), cuminstair.HostActive)
	state, ok := m.OwnState(start, "h")
	is.True(ok && state == cuminstair.HostActive)
	_, ok = m.OwnState(start.Add(time.Minute), "h")
	is.True(!ok) // the evidence is too old
	m.Report(start.Add(OwnTTL+time.Second), "d2", "h", cuminstair.HostFailed)
	is.Equal(m.State("h"), cuminstair.HostFailed)
	_, ok = m.OwnState(start.Add(OwnTTL+time.Second), "h")
	is.True(!ok) // known only from a report
	m.Report(start, "d2", "g", cuminstair.HostLeaving)
	_, ok = m.OwnState(start, "g")
	is.True(!ok)
	m.Tick(start.Add(ReportTTL + time.Second))
	is.Equal(m.State("g"), cuminstair.HostProbation)
}

// Guards against a correlated failure that takes out more upstreams than MaxOut allows, and against MaxOut keeping
// upstreams in rotation that are leaving.
func TestPanicThreshold(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	var names []string
	for i := range 10 {
		names = append(names, fmt.Sprint("h", i))
	}
	m.SetGroup("s", names)
	for _, h := range names {
		fail(m, start, h)
	}
	count := func(state cuminstair.HostState) int {
		n := 0
		for _, h := range names {
			if m.State(h) == state {
				n++
			}
		}
		return n
	}
	is.Equal(count(cuminstair.HostActive), 5)
	is.Equal(m.State("h0"), cuminstair.HostFailed) // the host that failed first is out of rotation
	for _, h := range names[6:] {
		m.MarkLeaving(start, h, SourceList)
	}
	is.Equal(count(cuminstair.HostLeaving), 4)
	is.Equal(count(cuminstair.HostFailed), 3) // half of those that are not leaving
	for range PassProbes {                    // all that are not leaving pass their checks at the same time
		for _, h := range names[:6] {
			m.Probe(start.Add(MinHold), h, true, false)
		}
	}
	is.Equal(count(cuminstair.HostProbation), 3)
	is.Equal(count(cuminstair.HostActive), 3)
	for _, h := range names {
		m.MarkLeaving(start, h, SourceOperator)
	}
	is.Equal(count(cuminstair.HostLeaving), 10)
}

// Guards against quiet times that are far from the measured 99th percentile, for a fast and a slow upstream.
func TestQuietFollowsTail(t *testing.T) {
	is := is.New(t)
	m := &Monitor{}
	is.Equal(m.ProbeAfter("fast"), defaultQuiet)
	for i := range 2000 {
		res := done
		res.Latency = time.Duration(i%100+1) * time.Millisecond
		m.Observe(start, "fast", res)
		res.Latency *= 30
		m.Observe(start, "slow", res)
	}
	is.True(m.ProbeAfter("fast") >= 99*time.Millisecond && m.ProbeAfter("fast") <= 130*time.Millisecond)
	is.True(m.ProbeAfter("slow") >= 2970*time.Millisecond && m.ProbeAfter("slow") <= 3800*time.Millisecond)
}

// Guards against hosts that are checked by no daemon or by several, an uneven division, and a division that changes for
// hosts whose checker stays.
func TestMinePartitions(t *testing.T) {
	is := is.New(t)
	daemons := []string{"d1", "d2", "d3", "d4", "d5"}
	counts := map[string]int{}
	for i := range 4000 {
		host := fmt.Sprint("h", i)
		checker := ""
		for _, d := range daemons {
			if ChecksHost(host, daemons, d) {
				is.Equal(checker, "")
				checker = d
			}
		}
		counts[checker]++
		if checker != "d3" {
			is.True(ChecksHost(host, []string{"d5", "d4", "d2", "d1"}, checker))
		}
	}
	is.Equal(len(counts), 5)
	for d, n := range counts {
		is.True(d != "" && n > 700 && n < 900)
	}
	is.True(ChecksHost("h", nil, "d1"))
}

// Guards against states outside the chart, more hosts out than MaxOut allows and changes that Changed does not return,
// under any order of events.
func TestMonitorProperties(t *testing.T) { rapid.Check(t, drive) }

// FuzzMonitor makes the same calls from the fuzzer's bytes.
func FuzzMonitor(f *testing.F) {
	f.Add(make([]byte, 1<<14))
	f.Fuzz(rapid.MakeFuzz(drive))
}

func drive(t *rapid.T) {
	m := &Monitor{}
	names := []string{"h0", "h1", "h2", "h3", "h4", "h5"}
	m.SetGroup("s", names)
	reported := map[string]cuminstair.HostState{}
	now := start
	states := []cuminstair.HostState{cuminstair.HostActive, cuminstair.HostFailed, cuminstair.HostLeaving, cuminstair.HostProbation}
	for range 200 {
		op := rapid.IntRange(0, 1<<16).Draw(t, "op")
		now = now.Add(time.Duration(op%300) * time.Millisecond)
		arg := op / 8
		host := names[arg%6]
		switch op % 8 {
		case 0, 1:
			fail(m, now, host)
		case 2:
			m.Observe(now, host, done)
		case 3:
			m.Probe(now, host, arg%2 == 0, arg%7 == 0)
		case 4:
			m.Report(now, fmt.Sprint("d", arg%3), host, states[arg/6%4])
		case 5:
			m.MarkLeaving(now, host, SourceList)
		case 6:
			m.ClearLeaving(now, host, SourceList)
		case 7:
			m.Tick(now)
			m.SetGroup("s", names[:3+arg%4])
		}
		compare(t, m, reported)
	}
}

func compare(t *rapid.T, m *Monitor, reported map[string]cuminstair.HostState) {
	for _, h := range m.Changed() {
		reported[h] = m.State(h)
	}
	out, staying := 0, 0
	for _, u := range m.groups["s"].hosts {
		if u.state != "leaving" {
			staying++
		}
		if u.published == cuminstair.HostFailed || u.published == cuminstair.HostProbation {
			out++
		}
		if u.state == "leaving" && u.published != cuminstair.HostLeaving {
			t.Fatalf("%s is leaving, but its state for routing is %s", u.name, u.published)
		}
	}
	if out > int(MaxOut*float64(staying)) {
		t.Fatalf("%d of %d out", out, staying)
	}
	for h, u := range m.hosts {
		if was, ok := reported[h]; ok && was != u.published || !ok && u.published != cuminstair.HostActive {
			t.Fatalf("%s is %s, but Changed returned it as %s", h, u.published, was)
		}
	}
}
