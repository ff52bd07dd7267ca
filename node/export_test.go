package node

import "context"

// HandleAsk handles a message about configurations as if it came over the connection of a peer.
func (n *Node) HandleAsk(from, topic string, body []byte) error {
	_, err := n.handleAsk(context.Background(), from, topic, body)
	return err
}

// Holding reports whether this daemon holds the lease of its data centre.
func (n *Node) Holding() bool { return n.control.Holding() }

// ChecksHost reports whether this daemon runs the active checks of a host.
func (n *Node) ChecksHost(host string) bool { return n.checksHost(host) }
