package node

import (
	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/health"
)

// States of the platform's list in which a host gets no new work.
const (
	listLeaving   = "leaving"
	listRebooting = "rebooting"
)

// isLeaving reports whether a host whose row is in this state counts as leaving. When the row changes to a state that
// does not count, the host enters probation in health. Quarantined and failed hosts get no work because of their row
// alone; health does not count them as leaving, so that checks show whether they recover.
func isLeaving(state cuminstair.HostState) bool {
	return state == cuminstair.HostLeaving || state == cuminstair.HostDrained ||
		state == cuminstair.HostRebooting || state == cuminstair.HostMoving
}

// setLeavingByRow passes to health whether the row of a host marks it as leaving. publishLocal spreads this by gossip,
// which reaches the peers before they read the row (every control.FollowTick) and works without the platform.
func (n *Node) setLeavingByRow(host string, leaving bool) {
	n.daemon.Decisions().Update(func() { n.setLeaving(host, health.SourceOperator, leaving) })
}

// setLeavingByList applies the platform's list of hosts. list is nil while another daemon reads the list.
func (n *Node) setLeavingByList(list []cuminstair.HostStatus) {
	leaving := map[string]bool{}
	for _, h := range list {
		leaving[h.Name] = h.State == listLeaving || h.State == listRebooting
	}
	hosts := n.view.hosts()
	n.daemon.Decisions().Update(func() {
		for _, host := range hosts {
			n.setLeaving(host, health.SourceList, leaving[host])
		}
	})
}

// setLeaving marks a host as leaving in health, or withdraws the mark of this source. It is called with the lock of the
// decisions held.
func (n *Node) setLeaving(host string, from health.Source, leaving bool) {
	now := n.Timer.Now()
	switch {
	case leaving:
		n.health.MarkLeaving(now, host, from)
	case n.health.Leaving(host)&from != 0:
		n.health.ClearLeaving(now, host, from)
	}
}
