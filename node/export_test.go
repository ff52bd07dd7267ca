package node

import "context"

// HandleAsk handles a message about configurations as if it came over the connection of a peer.
func (n *Node) HandleAsk(from, topic string, body []byte) error {
	_, err := n.handleAsk(context.Background(), from, topic, body)
	return err
}
