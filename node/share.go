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
)

// shareInterval is how often loads and opinions go to the peers and theirs to routing.
const shareInterval = 200 * time.Millisecond

// share exchanges what routing knows with the peers until ctx ends.
func (n *Node) share(ctx context.Context) error {
	due := make(chan struct{}, 1)
	stop := n.Timer.Every(shareInterval, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer stop()
	var s sharing
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-due:
			n.tell()
			n.hear(&s)
		}
	}
}

// sharing is what was passed on to routing.
type sharing struct {
	own   []string            // usable daemons of the data centre
	total int                 // usable daemons
	loads []string            // peers whose loads routing has
	left  map[string][]string // peer, the hosts that it said are leaving
	peers []rollout.Peer
}

// tell gives the own loads and opinions to the gossip.
func (n *Node) tell() {
	d := n.daemon.Decisions()
	n.network.setLoads(d.Loads())
	var leaving, suspect []string
	now := n.Timer.Now()
	// Read before the decisions are locked: publish locks the view first and the decisions after it.
	hosts := n.view.hosts()
	d.Update(func() {
		n.health.Tick(now)
		for _, host := range hosts {
			state, ok := n.health.Opinion(now, host)
			switch {
			case !ok:
			case state == cuminstair.HostLeaving:
				leaving = append(leaving, host)
			case state == cuminstair.HostFailed:
				// Not a host in probation, which the peers would hold to be failed.
				suspect = append(suspect, host)
			}
		}
	})
	n.network.setUpstreams(leaving, suspect)
	n.tellControl()
}

// tellControl gives the health of the hosts to the planner, which counts unhealthy ones as unavailable.
func (n *Node) tellControl() {
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

// hear gives what the peers said to routing and to the configuration.
func (n *Node) hear(s *sharing) {
	list := n.network.list()
	n.setLive(s, list)
	var loads []string
	for _, m := range list {
		if m.Name == n.Settings.Name || m.Centre != n.Settings.Centre || m.Health == member.Gone {
			continue
		}
		loads = append(loads, m.Name)
		n.daemon.Events.Set(daemon.Key{Kind: daemon.EventLoads, Name: m.Name}, daemon.Event{Loads: m.Loads})
		n.report(s, m)
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

// report passes a peer's opinions of hosts on. A host that the peer no longer holds to be leaving must not wait until the
// last report is too old to count.
func (n *Node) report(s *sharing, m member.Member) {
	d := n.daemon.Decisions()
	for _, host := range s.left[m.Name] {
		if !slices.Contains(m.Leaving, host) {
			d.Report(m.Name, host, "")
		}
	}
	if s.left == nil {
		s.left = map[string][]string{}
	}
	s.left[m.Name] = m.Leaving
	for _, host := range m.Leaving {
		d.Report(m.Name, host, cuminstair.HostLeaving)
	}
	for _, host := range m.Suspect {
		d.Report(m.Name, host, cuminstair.HostFailed)
	}
}

// setLive tells routing and quotas how many daemons share them.
func (n *Node) setLive(s *sharing, list []member.Member) {
	var own []string
	total := 0
	for _, m := range list {
		if m.Health != member.Healthy || m.State != member.Alive {
			continue
		}
		total++
		if m.Centre == n.Settings.Centre {
			own = append(own, m.Name)
		}
	}
	if total != s.total {
		s.total = total
		n.daemon.Events.Set(daemon.Key{Kind: daemon.EventLive}, daemon.Event{Live: total})
	}
	if !slices.Equal(own, s.own) {
		s.own = own
		n.owners.Store(&own)
		self := max(slices.Index(own, n.Settings.Name), 0)
		n.daemon.Decisions().Update(func() { n.router.SetLive(max(len(own), 1), self) })
	}
}

// owns reports whether this daemon makes the active checks of a host.
func (n *Node) owns(host string) bool {
	own := n.owners.Load()
	return own == nil || health.Mine(host, *own, n.Settings.Name)
}
