// Package health decides which upstreams may take new work, from the results of requests, active checks, peers' reports
// and announcements that an upstream is leaving. The states are those of upstream.chart.json. A Monitor is not safe for
// concurrent use.
package health

import (
	"embed"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/chart"
)

var _ cuminstair.Health = (*Monitor)(nil)

//go:embed upstream.chart.json
var files embed.FS

// upstreamChart holds the states of an upstream.
var upstreamChart = chart.MustLoad(files, "upstream.chart.json")

// Events of the chart.
const (
	eventFail   = "fail"
	eventPass   = "pass"
	eventLeave  = "leave"
	eventReturn = "return"
)

// Thresholds and times.
const (
	// FailProbes is how many checks in a row fail before an upstream does.
	FailProbes = 2
	// FailResults is how many requests in a row fail before an upstream does.
	FailResults = 5
	// MinResults is how many results there must be before their failed share counts.
	MinResults = 20
	// FailShare is the share of failed results above which an upstream fails.
	FailShare = 0.5
	// PassProbes is how many checks in a row pass before a failed upstream enters probation.
	PassProbes = 2
	// PassTrials is how many checks or requests in a row pass before an upstream leaves probation.
	PassTrials = 4
	// MinHold and MaxHold bound how long an upstream stays failed at least. The time doubles with each failure that
	// follows within ForgetHold, so that an upstream that flaps is tried less and less.
	MinHold    = time.Second
	MaxHold    = 30 * time.Second
	ForgetHold = 5 * time.Minute
	// ReportFor is how long a peer's report counts.
	ReportFor = 10 * time.Second
	// OwnFor is how long own evidence overrides peers' reports of a failure.
	OwnFor = 2 * time.Second
	// MaxOut is the share of the instances of a service that may be out for bad health. The rest couldn't carry the
	// load, and a larger loss is more likely a fault between this daemon and the upstreams.
	MaxOut = 0.5
)

// Source is where the news that an upstream leaves came from.
type Source uint8

// Sources of the news that an upstream leaves. Each is withdrawn separately.
const (
	SourceHeader   Source = 1 << iota // the upstream said so
	SourceList                        // the platform's list of hosts
	SourceOperator                    // an operator or a wave
	SourcePeer                        // a peer's report
)

// Monitor implements cuminstair.Health. Its zero value is ready to use.
type Monitor struct {
	hosts   map[string]*upstream
	groups  map[string]*group
	changed []string
	ticked  time.Time // last Tick
}

// upstream is what is known about a host.
type upstream struct {
	name    string
	state   string // state of the chart
	shown   cuminstair.HostState
	listed  bool // shown has changed and Changed was not called since
	leaving Source
	said    time.Time // when the upstream said last that it leaves
	heard   bool      // it failed on a peer's report only
	groups  []*group

	failedProbes  int // in a row
	passedProbes  int // in a row
	failedResults int // in a row
	results       int // since the last decay
	failures      int // of results
	passed        int // checks and requests passed in a row while in probation

	failedAt time.Time // when it failed last
	hold     time.Duration
	ownPass  time.Time // last own evidence that it works
	ownProbe time.Time // last own check
	reports  map[string]report
	tail     tail
}

// report is a peer's opinion.
type report struct {
	at    time.Time
	state cuminstair.HostState
}

// host returns the record of a host, which is active at first.
func (m *Monitor) host(name string) *upstream {
	u := m.hosts[name]
	if u == nil {
		if m.hosts == nil {
			m.hosts = map[string]*upstream{}
		}
		u = &upstream{name: name, state: upstreamChart.Start, shown: cuminstair.HostActive}
		m.hosts[name] = u
	}
	return u
}

// State implements cuminstair.Health. A host that was never heard of is active.
func (m *Monitor) State(host string) cuminstair.HostState {
	if u := m.hosts[host]; u != nil {
		return u.shown
	}
	return cuminstair.HostActive
}

// Quiet implements cuminstair.Health.
func (m *Monitor) Quiet(host string) time.Duration {
	if u := m.hosts[host]; u != nil {
		return u.tail.quiet()
	}
	return defaultQuiet
}

// Changed implements cuminstair.Health.
func (m *Monitor) Changed() []string {
	changed := m.changed
	m.changed = nil
	for _, name := range changed {
		if u := m.hosts[name]; u != nil {
			u.listed = false
		}
	}
	return changed
}

// Forget drops a host that is no longer in the fleet.
func (m *Monitor) Forget(host string) {
	u := m.hosts[host]
	if u == nil {
		return
	}
	delete(m.hosts, host)
	for _, g := range u.groups {
		g.remove(u)
		g.count()
		for _, o := range g.hold() {
			m.set(o, o.visible())
		}
	}
}

// event moves a host on in the chart. An event that the state does not allow changes nothing.
func (m *Monitor) event(now time.Time, u *upstream, event string) {
	next, err := upstreamChart.Next(u.state, event)
	if err != nil {
		return
	}
	for _, g := range u.groups {
		g.staying += stays(next) - stays(u.state)
	}
	u.state, u.heard = next, false
	u.passed, u.passedProbes, u.failedProbes = 0, 0, 0
	u.failedResults, u.results, u.failures = 0, 0, 0
	if event == eventFail {
		if now.Sub(u.failedAt) > ForgetHold {
			u.hold = 0
		}
		u.hold = min(max(2*u.hold, MinHold), MaxHold)
		u.failedAt = now
	}
	m.show(u)
}

func stays(state string) int {
	if state == "leaving" {
		return 0
	}
	return 1
}

// show updates the state that routing uses, of the host and of those that are held or let go because of it.
func (m *Monitor) show(u *upstream) {
	for _, g := range u.groups {
		g.update(u)
		for _, o := range g.hold() {
			m.set(o, o.visible())
		}
	}
	m.set(u, u.visible())
}

// visible returns the state that routing uses. A host that is in several groups is out only if all can do without it.
func (u *upstream) visible() cuminstair.HostState {
	if (u.state == "failed" || u.state == "probation") && u.held() {
		return cuminstair.HostActive
	}
	return cuminstair.HostState(u.state)
}

func (m *Monitor) set(u *upstream, state cuminstair.HostState) {
	if u.shown == state {
		return
	}
	u.shown = state
	if !u.listed {
		u.listed = true
		m.changed = append(m.changed, u.name)
	}
}
