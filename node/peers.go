package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/peer"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/ticket"
)

// buildNetwork creates the membership and, if the settings name a listener, the transport to the peers.
func (n *Node) buildNetwork() error {
	n.network = &network{
		name:   n.Settings.Name,
		centre: n.Settings.Centre,
		timer:  n.Timer,
		log:    n.Log.Named("member"),
		members: member.Members{
			Self: member.Record{
				Name: n.Settings.Name, Centre: n.Settings.Centre, Addr: n.Settings.Listen.Peers, Start: n.start,
			},
			Rand: n.rand(),
		},
	}
	n.network.setSeeds(n.settingsSeeds())
	if err := n.buildTransport(); err != nil {
		return err
	}
	n.daemon.ChecksHost = n.checksHost
	n.daemon.OnStop = func() { n.network.setState(member.Leaving, ticket.Home{}) }
	n.daemon.Spill = &spill{node: n, rand: n.rand()}
	n.daemon.Parts = append(n.daemon.Parts,
		daemon.Part{Name: "member", Run: n.network.run},
		daemon.Part{Name: "share", Run: n.share},
	)
	return nil
}

// buildTransport opens the socket for peers, if the settings name its address.
func (n *Node) buildTransport() error {
	if n.Settings.Listen.Peers == "" {
		return nil
	}
	config := n.PeerTLS
	if config == nil {
		var err error
		files := n.Settings.TLS.Peers
		if config, err = peer.LoadConfig(files.Certificate, files.Key, files.Authority); err != nil {
			return fmt.Errorf("read TLS files of peers: %w", err)
		}
	}
	conn := n.PeerConn
	if conn == nil {
		var lc net.ListenConfig
		var err error
		if conn, err = lc.ListenPacket(context.Background(), "udp", n.Settings.Listen.Peers); err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
	}
	n.network.members.Self.Addr = conn.LocalAddr().String()
	p := &peer.Peers{
		Conn: conn, TLS: config, Timer: n.Timer, Rand: n.rand(), Log: n.Log.Named("peer"),
		Locate:     n.network.locate,
		OnGossip:   n.network.receiveGossip,
		OnForward:  n.handleForward,
		OnIdle:     func(_ context.Context, _, host string) bool { return n.daemon.Decisions().Confirm(host) },
		OnHandover: func(_ string, data []byte) error { return n.importTickets(data) },
		OnAsk:      n.handleAsk,
	}
	n.network.client = &peerTransport{Peers: p, log: n.Log.Named("peer")}
	n.daemon.Parts = append(n.daemon.Parts, daemon.Part{Name: "peer", Run: p.Run})
	return nil
}

// handleAsk handles a peer's message about the rollout of configurations: an announcement or a request.
func (n *Node) handleAsk(_ context.Context, from, topic string, body []byte) ([]byte, error) {
	switch {
	case n.config == nil:
		return nil, errNoConfig
	case topic == topicAnnouncement:
		return nil, n.handleAnnouncement(from, body)
	case topic == topicRequest:
		return n.config.HandleRequest(body)
	default:
		return nil, fmt.Errorf("topic %q: %w", topic, cuminstair.ErrNotFound)
	}
}

// handleAnnouncement applies an announcement. Its sender must be the daemon that the certificate of the connection
// names, so that no daemon can confirm a configuration for another.
func (n *Node) handleAnnouncement(from string, body []byte) error {
	a, err := rollout.Decode[rollout.Announcement](body)
	if err != nil {
		return fmt.Errorf("read announcement: %w", err)
	}
	if a.From != from {
		return fmt.Errorf("announcement of %q from %q: %w", a.From, from, errSenderMismatch)
	}
	return n.config.HandleAnnouncement(body)
}

// errSenderMismatch means that the sender in a message is not the daemon at the other end of the connection.
const errSenderMismatch = errors.ConstError("the message names another sender")

// settingsSeeds returns the peers that the settings name.
func (n *Node) settingsSeeds() []member.Seed {
	seeds := make([]member.Seed, 0, len(n.Settings.Peers))
	for _, text := range n.Settings.Peers {
		name, addr := settings.SplitPeer(text)
		seeds = append(seeds, member.Seed{Name: name, Addr: addr})
	}
	return seeds
}

// handleForward answers a request that a peer forwarded: one that the peer's data centre could not serve, a repeat
// under a ticket of this daemon, or a lookup of the outcome of a ticket.
func (n *Node) handleForward(ctx context.Context, _ string, m *cuminstair.Message) *cuminstair.Message {
	if m.Method == lookupMethod {
		if n.tickets == nil {
			return goneReply(m)
		}
		return n.tickets.Lookup(ctx, m.Ticket)
	}
	return n.daemon.Path().Do(ctx, m)
}

// importTickets takes over the tickets of a peer that stops.
func (n *Node) importTickets(data []byte) error {
	if n.tickets == nil {
		return fmt.Errorf("import tickets: %w", ticket.ErrStopping)
	}
	h, err := ticket.DecodeHandover(data)
	if err != nil {
		return fmt.Errorf("import tickets: %w", err)
	}
	return n.tickets.Import(h)
}

// handOver transfers the tickets to a successor at a planned stop and announces the successor to the peers.
func (n *Node) handOver(ctx context.Context) error {
	to, err := n.network.handOver(ctx, n.tickets.Export, n.tickets.Redirect)
	if errors.Is(err, cuminstair.ErrNotFound) {
		n.Log.Named("ticket").Warn("no successor for the tickets; their outcomes become unknown")
		return nil
	}
	if err != nil {
		return err
	}
	n.Log.Named("ticket").Info("tickets handed over", "to", to.Name)
	n.network.setState(member.Left, to)
	n.sleep(ctx, leaveGossipTime)
	return nil
}

// leaveGossipTime is how long a daemon that left continues to gossip, so that its peers learn its successor.
const leaveGossipTime = 5 * member.Tick

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	passed := make(chan struct{})
	defer n.Timer.After(d, func(time.Time) { close(passed) })()
	select {
	case <-passed:
	case <-ctx.Done():
	}
}
