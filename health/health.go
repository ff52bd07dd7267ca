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
	eventStay   = "stay"
)

// Thresholds and times.
const (
	// FailProbes is how many failed checks in a row make an upstream fail.
	FailProbes = 2
	// FailResults is how many failed requests in a row make an upstream fail.
	FailResults = 5
	// MinResults is the number of results from which the share of failed ones is compared with FailShare.
	MinResults = 20
	// FailShare is the share of failed results above which an upstream fails.
	FailShare = 0.5
	// PassProbes is how many passed checks in a row bring a failed upstream into probation.
	PassProbes = 2
	// PassTrials is how many passed checks or requests in a row end the probation of an upstream.
	PassTrials = 4
	// MinHold and MaxHold bound the minimum time that an upstream stays failed. The time doubles with each failure that
	// follows within ForgetHold, so that a flapping upstream is tried less and less often.
	MinHold    = time.Second
	MaxHold    = 30 * time.Second
	ForgetHold = 5 * time.Minute
	// ReportTTL is how long a peer's report is valid.
	ReportTTL = 10 * time.Second
	// OwnTTL is how long this daemon's own evidence overrides peers' reports of a failure.
	OwnTTL = 2 * time.Second
	// QuietNotice is how long an upstream must not have announced to this daemon that it is leaving before a peer may
	// withdraw that notice; it is at least the period of the checks.
	QuietNotice = time.Second
	// MaxOut is the largest share of the instances of a service that may be out of rotation for bad health. With more
	// out, the others couldn't carry the load; and a larger loss is more likely a fault between this daemon and the
	// upstreams.
	MaxOut = 0.5
)

// Source is the origin of a notice that an upstream is leaving.
type Source uint8

// Sources of the notice that an upstream is leaving. Each source withdraws its notice separately.
const (
	SourceHeader   Source = 1 << iota // the upstream's answer to a request or check
	SourceList                        // the platform's list of hosts
	SourceOperator                    // an operator or a wave
	SourcePeer                        // a peer's report
)

// ReportPlanned is the state in the report of a peer for which the platform's list or an order says that a host is
// leaving. Unlike a report of cuminstair.HostLeaving, it does not rest on the upstream, so that a check that passes does
// not refute it.
const ReportPlanned cuminstair.HostState = "planned"

// isLeavingReport reports whether a peer that reports this state says that the host is leaving.
func isLeavingReport(state cuminstair.HostState) bool {
	return state == cuminstair.HostLeaving || state == ReportPlanned
}

// Monitor implements cuminstair.Health. Its zero value is ready to use.
type Monitor struct {
	hosts    map[string]*upstream
	groups   map[string]*group
	changed  []string
	lastTick time.Time
}

// upstream is the record of a host.
type upstream struct {
	name         string
	state        string               // state of the chart
	published    cuminstair.HostState // state that routing uses
	inChanged    bool                 // the host is in Monitor.changed
	leaving      Source
	announced    time.Time // when the upstream last announced that it is leaving
	failedByPeer bool      // failed only because of a peer's report
	wasDown      bool      // leaving: was not active before, or has failed a check or a request since
	groups       []*group

	failedProbes  int // in a row
	passedProbes  int // in a row
	failedResults int // in a row
	results       int // results of requests, halved at decayAt
	failures      int // failures among results
	passedTrials  int // checks and requests passed in a row while in probation

	failedAt  time.Time     // time of the last failure
	hold      time.Duration // minimum time in the failed state
	ownPass   time.Time     // time of the last check or request of this daemon that passed
	ownProbe  time.Time     // time of the last check by this daemon
	staying   time.Time     // time of the last check by this daemon that passed without notice that it is leaving
	reports   map[string]report
	latencies latencyHistogram
}

// report is the state of a host that a peer reported.
type report struct {
	received time.Time
	state    cuminstair.HostState
	left     time.Time // when the peer last reported that the host is leaving
}

// host returns the record of a host, which is active at first.
func (m *Monitor) host(name string) *upstream {
	u := m.hosts[name]
	if u == nil {
		if m.hosts == nil {
			m.hosts = map[string]*upstream{}
		}
		u = &upstream{name: name, state: upstreamChart.Start, published: cuminstair.HostActive}
		m.hosts[name] = u
	}
	return u
}

// State implements cuminstair.Health. An unknown host is active.
func (m *Monitor) State(host string) cuminstair.HostState {
	if u := m.hosts[host]; u != nil {
		return u.published
	}
	return cuminstair.HostActive
}

// ProbeAfter implements cuminstair.Health.
func (m *Monitor) ProbeAfter(host string) time.Duration {
	if u := m.hosts[host]; u != nil {
		return u.latencies.quietTime()
	}
	return defaultQuiet
}

// Changed implements cuminstair.Health.
func (m *Monitor) Changed() []string {
	changed := m.changed
	m.changed = nil
	for _, name := range changed {
		if u := m.hosts[name]; u != nil {
			u.inChanged = false
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
		g.countStaying()
		for _, o := range g.updateHeld() {
			m.set(o, o.routingState())
		}
	}
}

// event applies an event of the chart to a host. An event that its state does not allow changes nothing.
func (m *Monitor) event(now time.Time, u *upstream, event string) {
	next, err := upstreamChart.Next(u.state, event)
	if err != nil {
		return
	}
	for _, g := range u.groups {
		g.staying += stayingCount(next) - stayingCount(u.state)
	}
	u.wasDown = event == eventLeave && u.state != "active"
	u.state, u.failedByPeer = next, false
	u.passedTrials, u.passedProbes, u.failedProbes = 0, 0, 0
	u.failedResults, u.results, u.failures = 0, 0, 0
	if event == eventFail {
		if now.Sub(u.failedAt) > ForgetHold {
			u.hold = 0
		}
		u.hold = min(max(2*u.hold, MinHold), MaxHold)
		u.failedAt = now
	}
	m.publish(u)
}

func stayingCount(state string) int {
	if state == "leaving" {
		return 0
	}
	return 1
}

// publish updates the state that routing uses, for the host and for the hosts of its groups that MaxOut now keeps in
// rotation or no longer keeps there.
func (m *Monitor) publish(u *upstream) {
	for _, g := range u.groups {
		g.update(u)
		for _, o := range g.updateHeld() {
			m.set(o, o.routingState())
		}
	}
	m.set(u, u.routingState())
}

// routingState returns the state that routing uses. A bad host stays active if MaxOut keeps it in any of its groups.
func (u *upstream) routingState() cuminstair.HostState {
	if (u.state == "failed" || u.state == "probation") && u.held() {
		return cuminstair.HostActive
	}
	return cuminstair.HostState(u.state)
}

func (m *Monitor) set(u *upstream, state cuminstair.HostState) {
	if u.published == state {
		return
	}
	u.published = state
	if !u.inChanged {
		u.inChanged = true
		m.changed = append(m.changed, u.name)
	}
}
