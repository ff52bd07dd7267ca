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

// Topics of the configuration part.
const (
	topicTell = "tell" // an announcement; the answer is empty
	topicAsk  = "ask"  // a request for changes or sections
)

// errNoConfig means that this daemon has no platform and serves a file.
const errNoConfig = errors.ConstError("this daemon exchanges no configuration")

// tellTimeout bounds an announcement. It is repeated by the next one.
const tellTimeout = 2 * time.Second

// carrier adapts package peer to the parts of the node.
type carrier struct {
	*peer.Peers
	log hclog.Logger
}

// Gossip implements transport.
func (c *carrier) Gossip(s member.Send) { c.Peers.Gossip(s.Name, s.Data) }

// Tell implements cuminstair.Exchange.
func (c *carrier) Tell(daemon string, message []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if _, err := c.Peers.Ask(ctx, daemon, topicTell, message); err != nil {
			c.log.Debug("announcement lost", "daemon", daemon, "error", err)
		}
	}()
}

// Ask implements cuminstair.Exchange.
func (c *carrier) Ask(ctx context.Context, daemon string, message []byte) ([]byte, error) {
	return c.Peers.Ask(ctx, daemon, topicAsk, message)
}

// HandOver implements transport. ticket.ErrFull means that the daemon imported nothing.
func (c *carrier) HandOver(ctx context.Context, daemon string, data []byte) error {
	err := c.Handover(ctx, daemon, data)
	if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrRefused) {
		return fmt.Errorf("%w: %w", err, ticket.ErrFull)
	}
	return err
}
