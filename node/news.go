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

// goes reports whether a host whose row is in this state is leaving. It enters the probation of health with the next
// state. Quarantined and failed hosts are kept away by their row alone, so that checks show whether they recover.
func goes(state cuminstair.HostState) bool {
	return state == cuminstair.HostLeaving || state == cuminstair.HostDrained ||
		state == cuminstair.HostRebooting || state == cuminstair.HostMoving
}

// ordered tells health of a row whose host leaves or no longer does. Health spreads it by gossip, which is faster than
// control.FollowTick and works without the platform.
func (n *Node) ordered(host string, leaving bool) {
	n.daemon.Decisions().Update(func() { n.leave(host, health.SourceOperator, leaving) })
}

// listed takes the platform's list, or nil when another daemon reads it now.
func (n *Node) listed(list []cuminstair.HostStatus) {
	leaving := map[string]bool{}
	for _, h := range list {
		leaving[h.Name] = h.State == listLeaving || h.State == listRebooting
	}
	hosts := n.view.hosts()
	n.daemon.Decisions().Update(func() {
		for _, host := range hosts {
			n.leave(host, health.SourceList, leaving[host])
		}
	})
}

// leave is called under the lock of the decisions.
func (n *Node) leave(host string, from health.Source, leaving bool) {
	now := n.Timer.Now()
	switch {
	case leaving:
		n.health.Leave(now, host, from)
	case n.health.Leaving(host)&from != 0:
		n.health.Return(now, host, from)
	}
}
