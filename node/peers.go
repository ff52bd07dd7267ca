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

// buildNetwork makes the membership and, if the settings name a listener, the way to the peers.
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
	n.network.seed(n.settingsSeeds())
	if err := n.buildCarrier(); err != nil {
		return err
	}
	n.daemon.Owns = n.owns
	n.daemon.Leave = func() { n.network.setState(member.Leaving, ticket.Home{}) }
	n.daemon.Spill = &spill{node: n, rand: n.rand()}
	n.daemon.Parts = append(n.daemon.Parts,
		daemon.Part{Name: "member", Run: n.network.run},
		daemon.Part{Name: "share", Run: n.share},
	)
	return nil
}

// buildCarrier opens the socket for peers, if the settings name one.
func (n *Node) buildCarrier() error {
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
		OnGossip:   n.network.heard,
		OnForward:  n.forwarded,
		OnIdle:     func(_ context.Context, _, host string) bool { return n.daemon.Decisions().Confirm(host) },
		OnHandover: func(_ string, data []byte) error { return n.imported(data) },
		OnAsk:      n.asked,
	}
	n.network.carrier = &carrier{Peers: p, log: n.Log.Named("peer")}
	n.daemon.Parts = append(n.daemon.Parts, daemon.Part{Name: "peer", Run: p.Run})
	return nil
}

// asked answers the configuration part of a peer.
func (n *Node) asked(_ context.Context, from, topic string, body []byte) ([]byte, error) {
	switch {
	case n.config == nil:
		return nil, errNoConfig
	case topic == topicTell:
		return nil, n.told(from, body)
	case topic == topicAsk:
		return n.config.Asked(body)
	default:
		return nil, fmt.Errorf("topic %q: %w", topic, cuminstair.ErrNotFound)
	}
}

// told takes an announcement. Its sender is the one that the certificate of the connection names, so that no daemon
// confirms a configuration for another.
func (n *Node) told(from string, body []byte) error {
	a, err := rollout.Decode[rollout.Announcement](body)
	if err != nil {
		return fmt.Errorf("read announcement: %w", err)
	}
	if a.From != from {
		return fmt.Errorf("announcement of %q from %q: %w", a.From, from, errSender)
	}
	return n.config.Told(body)
}

// errSender means that a message names another sender than the connection does.
const errSender = errors.ConstError("the message names another sender")

// settingsSeeds returns the peers that the settings name.
func (n *Node) settingsSeeds() []member.Seed {
	seeds := make([]member.Seed, 0, len(n.Settings.Peers))
	for _, text := range n.Settings.Peers {
		name, addr := settings.SplitPeer(text)
		seeds = append(seeds, member.Seed{Name: name, Addr: addr})
	}
	return seeds
}

// forwarded answers a request that a peer handed over: a spilled one, a repeat under a ticket of this daemon, or a
// question for the outcome of a ticket.
func (n *Node) forwarded(ctx context.Context, _ string, m *cuminstair.Message) *cuminstair.Message {
	if m.Method == lookupMethod {
		if n.tickets == nil {
			return gone(m)
		}
		return n.tickets.Lookup(ctx, m.Ticket)
	}
	return n.daemon.Path().Do(ctx, m)
}

// imported takes over the tickets of a peer that stops.
func (n *Node) imported(data []byte) error {
	if n.tickets == nil {
		return fmt.Errorf("import tickets: %w", ticket.ErrStopping)
	}
	h, err := ticket.DecodeHandover(data)
	if err != nil {
		return fmt.Errorf("import tickets: %w", err)
	}
	return n.tickets.Import(h)
}

// handOver gives the tickets to a successor at a planned stop and tells the peers which one.
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
	n.pause(ctx, leaveTime)
	return nil
}

// leaveTime is how long a daemon that left goes on gossiping, so that its peers hear of the successor.
const leaveTime = 5 * member.Tick

func (n *Node) pause(ctx context.Context, d time.Duration) {
	passed := make(chan struct{})
	defer n.Timer.After(d, func(time.Time) { close(passed) })()
	select {
	case <-passed:
	case <-ctx.Done():
	}
}
