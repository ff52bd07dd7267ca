package local

import (
	"net"
	"sync"
)

// network decides which packets between daemons are dropped. It is safe for concurrent use.
type network struct {
	mu           sync.Mutex
	centres      map[string]string // by address of a daemon: its data centre
	disconnected map[string]bool   // data centres that are disconnected from all others
}

func (n *network) add(addr, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.centres == nil {
		n.centres = map[string]string{}
		n.disconnected = map[string]bool{}
	}
	n.centres[addr] = centre
}

func (n *network) setDisconnected(centre string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[centre] = disconnected
}

// drops reports whether a packet from a data centre to an address is dropped.
func (n *network) drops(from, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.centres[addr]
	return to != from && (n.disconnected[from] || n.disconnected[to])
}

// peerSocket is the UDP socket on which a daemon talks to its peers. It hides the *net.UDPConn from the QUIC library,
// so that every packet goes through WriteTo.
type peerSocket struct {
	net.PacketConn
	network *network
	centre  string

	mu     sync.Mutex
	killed bool // drops everything that the daemon sends
}

// WriteTo sends a packet unless the daemon was killed or the network drops the packet.
func (w *peerSocket) WriteTo(p []byte, addr net.Addr) (int, error) {
	w.mu.Lock()
	dead := w.killed
	w.mu.Unlock()
	if dead || w.network.drops(w.centre, addr.String()) {
		return len(p), nil
	}
	return w.PacketConn.WriteTo(p, addr)
}

// SetReadBuffer lets the QUIC library set the size of the receive buffer.
func (w *peerSocket) SetReadBuffer(n int) error { return w.PacketConn.(*net.UDPConn).SetReadBuffer(n) }

// SetWriteBuffer lets the QUIC library set the size of the send buffer.
func (w *peerSocket) SetWriteBuffer(n int) error {
	return w.PacketConn.(*net.UDPConn).SetWriteBuffer(n)
}

func (w *peerSocket) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed = true
}
