package node

import "context"

// Asked passes a message of the configuration part on as if it came over the connection of a peer.
func (n *Node) Asked(from, topic string, body []byte) error {
	_, err := n.asked(context.Background(), from, topic, body)
	return err
}
