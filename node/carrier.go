package node

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/peer"
	"cuminstair.org/cuminstair/ticket"
)

// Topics of the messages that exchange configurations.
const (
	topicAnnouncement = "tell" // an announcement; the answer is empty
	topicRequest      = "ask"  // a request for changes or sections of a configuration
)

// errNoConfig means that this daemon has no platform: it serves a fleet file and takes part in no rollout.
const errNoConfig = errors.ConstError("this daemon exchanges no configuration")

// announcementTimeout bounds the delivery of an announcement. It is not retried: the next announcement repeats it.
const announcementTimeout = 2 * time.Second

// peerTransport implements transport with package peer.
type peerTransport struct {
	*peer.Peers
	log hclog.Logger
}

// Gossip implements transport.
func (c *peerTransport) Gossip(s member.Send) { c.Peers.Gossip(s.Name, s.Data) }

// Tell implements cuminstair.Exchange.
func (c *peerTransport) Tell(daemon string, message []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), announcementTimeout)
		defer cancel()
		if _, err := c.Peers.Ask(ctx, daemon, topicAnnouncement, message); err != nil {
			c.log.Debug("announcement not delivered", "daemon", daemon, "error", err)
		}
	}()
}

// Ask implements cuminstair.Exchange.
func (c *peerTransport) Ask(ctx context.Context, daemon string, message []byte) ([]byte, error) {
	return c.Peers.Ask(ctx, daemon, topicRequest, message)
}

// HandOver implements transport. An error that wraps ticket.ErrFull means that the daemon imported nothing.
func (c *peerTransport) HandOver(ctx context.Context, daemon string, data []byte) error {
	err := c.Handover(ctx, daemon, data)
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrRefused) {
		return fmt.Errorf("%w: %w", err, ticket.ErrFull)
	}
	return err
}
