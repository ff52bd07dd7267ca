package health

import (
	"time"

	"cuminstair.org/cuminstair"
)

// decayAt is how many results are counted before both counts are halved, so that old ones matter less and less.
const decayAt = 100

// Observe implements cuminstair.Health.
func (m *Monitor) Observe(now time.Time, host string, r cuminstair.Result) {
	m.tickIfDue(now)
	u := m.host(host)
	if r.Leaving {
		u.said = now
		m.leave(now, u, SourceHeader)
	}
	if r.Outcome == cuminstair.OutcomeDone {
		u.tail.add(r.Latency)
		m.good(now, u)
		return
	}
	if u.faulty(r) {
		m.bad(now, u)
	}
}

// faulty reports whether a result speaks against the upstream. A refusal does not, since the upstream answered, nor does
// a silent connection, since the check on a fresh one was answered, nor a caller that left. A deadline that passed does only if the request was given the time that the upstream takes at
// most.
func (u *upstream) faulty(r cuminstair.Result) bool {
	switch r.Reason {
	case cuminstair.ReasonBroken, cuminstair.ReasonMismatch, cuminstair.ReasonNoUpstream:
		return true
	case cuminstair.ReasonDeadline:
		return r.Latency >= u.tail.quiet()
	default:
		return false
	}
}

func (m *Monitor) good(now time.Time, u *upstream) {
	u.ownPass = now
	u.failedResults = 0
	u.count(false)
	if u.state == "probation" {
		u.passed++
		if u.passed >= PassTrials {
			m.event(now, u, eventPass)
		}
	}
}

func (m *Monitor) bad(now time.Time, u *upstream) {
	u.failedResults++
	u.count(true)
	often := u.results >= MinResults && float64(u.failures) > FailShare*float64(u.results)
	if u.failedResults >= FailResults || often || u.state == "probation" {
		m.event(now, u, eventFail)
	}
}

func (u *upstream) count(failed bool) {
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
		u.said = now
		m.leave(now, u, SourceHeader)
	} else if ok {
		m.withdraw(now, u, SourceHeader)
	}
	if !ok {
		u.passedProbes = 0
		u.failedProbes++
		if u.failedProbes >= FailProbes || u.state == "probation" {
			m.event(now, u, eventFail)
		}
		return
	}
	u.ownPass = now
	u.failedProbes = 0
	m.pass(now, u)
}

// pass takes a check that passed, an own one or a peer's.
func (m *Monitor) pass(now time.Time, u *upstream) {
	u.passedProbes++
	switch u.state {
	case "failed":
		if u.passedProbes >= PassProbes && now.Sub(u.failedAt) >= u.hold {
			m.event(now, u, eventPass)
		}
	case "probation":
		u.passed++
		if u.passed >= PassTrials {
			m.event(now, u, eventPass)
		}
	}
}

// Report implements cuminstair.Health. A peer's opinion of the health counts only while there is no own evidence; that
// an upstream leaves counts in any case.
func (m *Monitor) Report(now time.Time, peer, host string, state cuminstair.HostState) {
	m.tickIfDue(now)
	u := m.host(host)
	if u.reports == nil {
		u.reports = map[string]report{}
	}
	u.reports[peer] = report{at: now, state: state}
	m.settlePeers(now, u)
	if !u.ownProbe.IsZero() && now.Sub(u.ownProbe) <= ReportFor {
		return
	}
	switch state {
	case cuminstair.HostFailed:
		if now.Sub(u.ownPass) > OwnFor && u.state != "failed" {
			m.event(now, u, eventFail)
			u.heard = true
		}
	case cuminstair.HostActive:
		m.pass(now, u)
	default:
	}
}

// tickIfDue calls Tick once a second, since not every edge does while there are other events.
func (m *Monitor) tickIfDue(now time.Time) {
	if now.Sub(m.ticked) >= time.Second {
		m.Tick(now)
	}
}

// Tick drops the reports that are no longer fresh. What an upstream said itself counts as long as a peer's report: a
// daemon that does not check it gets no answers from it any more, while the one that does reports what it says now.
func (m *Monitor) Tick(now time.Time) {
	m.ticked = now
	for _, u := range m.hosts {
		if u.leaving&SourceHeader != 0 && now.Sub(u.said) > ReportFor {
			m.withdraw(now, u, SourceHeader)
		}
		if len(u.reports) > 0 {
			m.settlePeers(now, u)
		}
		if u.state == "failed" && m.unwatched(now, u) {
			m.event(now, u, eventPass)
		}
	}
}

// unwatched reports whether nothing speaks against a failed upstream any more: this daemon does not check it, and no peer
// that does reports it. Peers don't report upstreams that pass, so that only requests of its probation can bring it back.
func (m *Monitor) unwatched(now time.Time, u *upstream) bool {
	if now.Sub(u.failedAt) < max(u.hold, ReportFor) || !u.ownProbe.IsZero() && now.Sub(u.ownProbe) <= ReportFor {
		return false
	}
	for _, r := range u.reports {
		if r.state == cuminstair.HostFailed {
			return false
		}
	}
	return true
}

// settlePeers drops old reports and updates what the others say about leaving.
func (m *Monitor) settlePeers(now time.Time, u *upstream) {
	leaving := false
	for peer, r := range u.reports {
		if now.Sub(r.at) > ReportFor {
			delete(u.reports, peer)
			continue
		}
		leaving = leaving || r.state == cuminstair.HostLeaving
	}
	if leaving {
		m.leave(now, u, SourcePeer)
	} else {
		m.withdraw(now, u, SourcePeer)
	}
}

// Leave takes the news that a host is leaving. It gets no new work from now on.
func (m *Monitor) Leave(now time.Time, host string, from Source) { m.leave(now, m.host(host), from) }

// Return withdraws the news of one source. The host enters probation once no source says that it is leaving.
func (m *Monitor) Return(now time.Time, host string, from Source) {
	m.withdraw(now, m.host(host), from)
}

// Opinion returns what to tell peers about a host: the state as far as it rests on own evidence, which for an active host
// must be recent. It returns false if there is none. What rests on peers' reports is not passed on, since two daemons
// would otherwise confirm each other for ever.
func (m *Monitor) Opinion(now time.Time, host string) (cuminstair.HostState, bool) {
	u := m.hosts[host]
	if u == nil || u.heard || (u.state == "leaving" && u.leaving == SourcePeer) {
		return "", false
	}
	if u.state == "active" && now.Sub(u.ownPass) > OwnFor {
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
	if u.leaving == 0 {
		m.event(now, u, eventReturn)
	}
}
