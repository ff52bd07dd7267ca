package health

import (
	"time"

	"cuminstair.org/cuminstair"
)

// decayAt is the number of results at which both counts are halved, so that old results have less weight.
const decayAt = 100

// Observe implements cuminstair.Health.
func (m *Monitor) Observe(now time.Time, host string, r cuminstair.Result) {
	m.tickIfDue(now)
	u := m.host(host)
	if r.Leaving {
		u.announced = now
		m.leave(now, u, SourceHeader)
	}
	if r.Outcome == cuminstair.OutcomeDone {
		u.latencies.add(r.Latency)
		m.recordSuccess(now, u)
		return
	}
	if u.faulty(r) {
		m.recordFailure(now, u)
	}
}

// faulty reports whether a result is evidence that the upstream has failed. The following are no evidence: a refusal,
// since the upstream answered; a silent connection, since the upstream answered a check on a new one; and a caller that
// disconnected. A passed deadline is evidence only if the request ran for at least the quiet time of the upstream, about
// the 99th percentile of its latencies.
func (u *upstream) faulty(r cuminstair.Result) bool {
	switch r.Reason {
	case cuminstair.ReasonBroken, cuminstair.ReasonMismatch, cuminstair.ReasonNoUpstream:
		return true
	case cuminstair.ReasonDeadline:
		return r.Latency >= u.latencies.quietTime()
	default:
		return false
	}
}

func (m *Monitor) recordSuccess(now time.Time, u *upstream) {
	u.ownPass = now
	u.failedResults = 0
	u.countResult(false)
	if u.state == "probation" {
		u.passedTrials++
		if u.passedTrials >= PassTrials {
			m.event(now, u, eventPass)
		}
	}
}

func (m *Monitor) recordFailure(now time.Time, u *upstream) {
	u.failedResults++
	u.countResult(true)
	u.wasDown = u.wasDown || u.state == "leaving"
	mostlyFailing := u.results >= MinResults && float64(u.failures) > FailShare*float64(u.results)
	if u.failedResults >= FailResults || mostlyFailing || u.state == "probation" {
		m.event(now, u, eventFail)
	}
}

func (u *upstream) countResult(failed bool) {
	u.results++
	if failed {
		u.failures++
	}
	if u.results >= decayAt {
		u.results /= 2
		u.failures /= 2
	}
}

// Probe implements cuminstair.Health.
func (m *Monitor) Probe(now time.Time, host string, ok, leaving bool) {
	m.tickIfDue(now)
	u := m.host(host)
	u.ownProbe = now
	if leaving {
		u.announced = now
		m.leave(now, u, SourceHeader)
	} else if ok {
		u.staying = now
		m.withdrawNotices(now, u)
	}
	if !ok {
		u.wasDown = u.wasDown || u.state == "leaving"
		u.passedProbes = 0
		u.failedProbes++
		if u.failedProbes >= FailProbes || u.state == "probation" {
			m.event(now, u, eventFail)
		}
		return
	}
	u.ownPass = now
	u.failedProbes = 0
	m.recordPass(now, u)
}

// withdrawNotices drops the notice of the upstream itself and the peers' reports that rest on such a notice, after
// evidence that it is not leaving. Reports that it is leaving that arrive later count again.
func (m *Monitor) withdrawNotices(now time.Time, u *upstream) {
	planned := false
	for peer, r := range u.reports {
		if r.state == cuminstair.HostLeaving {
			delete(u.reports, peer)
		}
		planned = planned || r.state == ReportPlanned
	}
	if !planned {
		m.withdraw(now, u, SourcePeer)
	}
	m.withdraw(now, u, SourceHeader)
}

// recordPass records a passed check of this daemon, or a peer's report that the host is active.
func (m *Monitor) recordPass(now time.Time, u *upstream) {
	u.passedProbes++
	switch u.state {
	case "failed":
		if u.passedProbes >= PassProbes && now.Sub(u.failedAt) >= u.hold {
			m.event(now, u, eventPass)
		}
	case "probation":
		u.passedTrials++
		if u.passedTrials >= PassTrials {
			m.event(now, u, eventPass)
		}
	}
}

// Report implements cuminstair.Health. A report about the health of a host has an effect only without recent evidence of
// this daemon; a report that the host is leaving always has one.
func (m *Monitor) Report(now time.Time, peer, host string, state cuminstair.HostState) {
	m.tickIfDue(now)
	u := m.host(host)
	if u.reports == nil {
		u.reports = map[string]report{}
	}
	m.recordReport(now, u, peer, state)
	m.updatePeerReports(now, u)
	if !u.ownProbe.IsZero() && now.Sub(u.ownProbe) <= ReportTTL {
		return
	}
	switch state {
	case cuminstair.HostFailed:
		if now.Sub(u.ownPass) > OwnTTL && u.state != "failed" {
			m.event(now, u, eventFail)
			u.failedByPeer = true
		}
	case cuminstair.HostActive:
		m.recordPass(now, u)
	default:
	}
}

// recordReport records a peer's report. If a peer that reported the host as leaving reports that it no longer is, all
// notices are withdrawn, unless the upstream has announced to this daemon since then that it is leaving.
func (m *Monitor) recordReport(now time.Time, u *upstream, peer string, state cuminstair.HostState) {
	r := report{received: now, state: state, left: u.reports[peer].left}
	u.reports[peer] = r
	switch state {
	case cuminstair.HostLeaving, ReportPlanned:
		r.left = now
		u.reports[peer] = r
	case cuminstair.HostActive, cuminstair.HostProbation:
		if !r.left.IsZero() && now.Sub(r.left) <= ReportTTL && now.Sub(u.announced) >= QuietNotice {
			m.withdrawNotices(now, u)
		}
	default:
	}
}

// tickIfDue calls Tick if a second has passed since the last call, for programs that don't call Tick regularly.
func (m *Monitor) tickIfDue(now time.Time) {
	if now.Sub(m.lastTick) >= time.Second {
		m.Tick(now)
	}
}

// Tick drops expired evidence. An upstream's own notice that it is leaving expires like a peer's report: a daemon that
// does not check the upstream gets no more answers from it, while the daemon that checks it reports its current state.
func (m *Monitor) Tick(now time.Time) {
	m.lastTick = now
	for _, u := range m.hosts {
		if u.leaving&SourceHeader != 0 && now.Sub(u.announced) > ReportTTL {
			m.withdraw(now, u, SourceHeader)
		}
		if len(u.reports) > 0 {
			m.updatePeerReports(now, u)
		}
		if u.state == "failed" && m.evidenceExpired(now, u) {
			m.event(now, u, eventPass)
		}
	}
}

// evidenceExpired reports whether there is no valid evidence against a failed upstream any more: this daemon does not
// check it, and no peer reports it as failed. Peers don't report healthy upstreams, so that only requests during probation
// can make it active again.
func (m *Monitor) evidenceExpired(now time.Time, u *upstream) bool {
	if now.Sub(u.failedAt) < max(u.hold, ReportTTL) || !u.ownProbe.IsZero() && now.Sub(u.ownProbe) <= ReportTTL {
		return false
	}
	for _, r := range u.reports {
		if r.state == cuminstair.HostFailed {
			return false
		}
	}
	return true
}

// updatePeerReports drops expired reports and updates whether a peer reports that the host is leaving.
func (m *Monitor) updatePeerReports(now time.Time, u *upstream) {
	leaving := false
	for peer, r := range u.reports {
		if now.Sub(r.received) > ReportTTL {
			delete(u.reports, peer)
			continue
		}
		leaving = leaving || isLeavingReport(r.state)
	}
	if leaving {
		m.leave(now, u, SourcePeer)
	} else {
		m.withdraw(now, u, SourcePeer)
	}
}

// MarkLeaving records the notice of one source that a host is leaving. The host gets no new work from then on.
func (m *Monitor) MarkLeaving(now time.Time, host string, from Source) {
	m.leave(now, m.host(host), from)
}

// ClearLeaving withdraws the notice of one source. The host enters probation once no source says that it is leaving.
func (m *Monitor) ClearLeaving(now time.Time, host string, from Source) {
	m.withdraw(now, m.host(host), from)
}

// OwnState returns the state of a host to report to peers, which may be ReportPlanned. It returns false without evidence
// of this daemon itself, which must be recent for an active host. States that rest only on peers' reports are not passed on, since two daemons could
// then confirm each other's reports for ever.
func (m *Monitor) OwnState(now time.Time, host string) (cuminstair.HostState, bool) {
	u := m.hosts[host]
	if u == nil || u.failedByPeer {
		return "", false
	}
	if u.leaving&(SourceList|SourceOperator) != 0 {
		return ReportPlanned, true
	}
	if u.state == "leaving" && u.leaving == SourcePeer {
		if now.Sub(u.staying) > OwnTTL {
			return "", false
		}
		return cuminstair.HostProbation, true // a check found that the upstream is not leaving
	}
	if u.state == "active" && now.Sub(u.ownPass) > OwnTTL {
		return "", false
	}
	return cuminstair.HostState(u.state), true
}

// Leaving returns the sources that say that a host is leaving.
func (m *Monitor) Leaving(host string) Source {
	if u := m.hosts[host]; u != nil {
		return u.leaving
	}
	return 0
}

func (m *Monitor) leave(now time.Time, u *upstream, from Source) {
	u.leaving |= from
	m.event(now, u, eventLeave)
}

func (m *Monitor) withdraw(now time.Time, u *upstream, from Source) {
	if u.leaving&from == 0 {
		return
	}
	u.leaving &^= from
	if u.leaving != 0 {
		return
	}
	if !u.wasDown && now.Sub(u.ownProbe) <= OwnTTL && now.Sub(u.ownPass) <= OwnTTL {
		m.event(now, u, eventStay) // it has passed all checks of this daemon, as after a drain that was cancelled
		return
	}
	m.event(now, u, eventReturn)
}
