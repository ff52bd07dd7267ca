package node

import (
	"context"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/timer"
)

// shareInterval is the interval at which the daemon publishes its loads and health reports through gossip and passes
// those of its peers to routing.
const shareInterval = 200 * time.Millisecond

// share exchanges loads and health reports with the peers until ctx ends.
func (n *Node) share(ctx context.Context) error {
	due, stop := timer.Ticks(n.Timer, shareInterval)
	defer stop()
	var s sharedState
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due:
			n.publishLocal()
			n.applyPeers(&s)
		}
	}
}

// sharedState is the state of the peers that was last passed to routing, the quotas and the rollout node.
type sharedState struct {
	liveInCentre []string            // usable daemons of the data centre
	liveCount    int                 // usable daemons of the fleet
	loads        []string            // peers whose loads were passed to routing
	leaving      map[string][]string // peer -> hosts that it reported as leaving
	peers        []rollout.Peer
}

// publishLocal publishes this daemon's loads and health reports through gossip.
func (n *Node) publishLocal() {
	d := n.daemon.Decisions()
	n.network.setLoads(d.Loads())
	var leaving, planned, suspect []string
	now := n.Timer.Now()
	// Read before the decisions are locked, to avoid a deadlock: hostView.publish locks the view first and the decisions
	// after it.
	hosts := n.view.hosts()
	d.Update(func() {
		n.health.Tick(now)
		for _, host := range hosts {
			state, ok := n.health.OwnState(now, host)
			switch {
			case !ok:
			case state == cuminstair.HostLeaving:
				leaving = append(leaving, host)
			case state == health.ReportPlanned:
				planned = append(planned, host)
			case state == cuminstair.HostFailed:
				// A host in probation is not reported, because peers would treat it as failed.
				suspect = append(suspect, host)
			}
		}
	})
	n.network.setUpstreams(leaving, planned, suspect)
	n.updateControlHealth()
}

// updateControlHealth passes the health of the hosts to the planner of package control, which treats failed hosts as
// unavailable.
func (n *Node) updateControlHealth() {
	if n.control == nil {
		return
	}
	hosts := n.view.hosts()
	failed := make([]bool, len(hosts))
	n.daemon.Decisions().Update(func() {
		for i, host := range hosts {
			failed[i] = n.health.State(host) == cuminstair.HostFailed
		}
	})
	for i, host := range hosts {
		n.control.SetHealthy(host, !failed[i])
	}
}

// applyPeers passes the loads and health reports of the peers to routing, and the list of peers to the rollout node.
func (n *Node) applyPeers(s *sharedState) {
	list := n.network.list()
	n.setLive(s, list)
	var loads []string
	for _, m := range list {
		if m.Name == n.Settings.Name || m.Centre != n.Settings.Centre || m.Health == member.Gone {
			continue
		}
		loads = append(loads, m.Name)
		n.daemon.Events.Set(daemon.Key{Kind: daemon.EventLoads, Name: m.Name}, daemon.Event{Loads: m.Loads})
		n.applyReports(s, m)
	}
	for _, name := range s.loads {
		if !slices.Contains(loads, name) {
			n.daemon.Events.Set(daemon.Key{Kind: daemon.EventLoads, Name: name}, daemon.Event{})
		}
	}
	s.loads = loads
	if peers := n.network.peers(); n.config != nil && !slices.Equal(peers, s.peers) {
		s.peers = peers
		n.config.View(func(r *rollout.Node) { r.SetPeers(peers) })
	}
}

// applyReports passes a peer's health reports to routing. If the peer no longer reports a host as leaving, its last
// report is withdrawn at once instead of waiting until it expires.
func (n *Node) applyReports(s *sharedState, m member.Member) {
	d := n.daemon.Decisions()
	for _, host := range s.leaving[m.Name] {
		if !slices.Contains(m.Leaving, host) {
			d.Report(m.Name, host, "")
		}
	}
	if s.leaving == nil {
		s.leaving = map[string][]string{}
	}
	s.leaving[m.Name] = m.Leaving
	for _, host := range m.Leaving {
		state := cuminstair.HostLeaving
		if slices.Contains(m.Planned, host) {
			state = health.ReportPlanned
		}
		d.Report(m.Name, host, state)
	}
	for _, host := range m.Suspect {
		d.Report(m.Name, host, cuminstair.HostFailed)
	}
}

// setLive passes the number of usable daemons of the fleet to the quotas and that of the data centre to routing, and
// stores the names of those of the data centre for checksHost.
func (n *Node) setLive(s *sharedState, list []member.Member) {
	var inCentre []string
	count := 0
	for _, m := range list {
		if m.Health != member.Healthy || m.State != member.Alive {
			continue
		}
		count++
		if m.Centre == n.Settings.Centre {
			inCentre = append(inCentre, m.Name)
		}
	}
	if count != s.liveCount {
		s.liveCount = count
		n.daemon.Events.Set(daemon.Key{Kind: daemon.EventLive}, daemon.Event{Live: count})
	}
	if !slices.Equal(inCentre, s.liveInCentre) {
		s.liveInCentre = inCentre
		n.liveDaemons.Store(&inCentre)
		self := max(slices.Index(inCentre, n.Settings.Name), 0)
		n.daemon.Decisions().Update(func() { n.router.SetLive(max(len(inCentre), 1), self) })
	}
}

// checksHost reports whether this daemon runs the active checks of a host.
func (n *Node) checksHost(host string) bool {
	live := n.liveDaemons.Load()
	return live == nil || health.ChecksHost(host, *live, n.Settings.Name)
}
