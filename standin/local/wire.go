package local

import (
	"net"
	"sync"
)

// network knows which packets between daemons get lost. It is safe for concurrent use.
type network struct {
	mu      sync.Mutex
	centres map[string]string // address of a daemon, its data centre
	cut     map[string]bool   // data centres that reach no other one
}

func (n *network) add(addr, centre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.centres == nil {
		n.centres = map[string]string{}
		n.cut = map[string]bool{}
	}
	n.centres[addr] = centre
}

func (n *network) set(centre string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[centre] = cut
}

// loses reports whether a packet from a data centre to an address gets lost.
func (n *network) loses(from, addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.centres[addr]
	return to != from && (n.cut[from] || n.cut[to])
}

// wire is the socket of a daemon for its peers. It hides the type of the socket, so that every packet passes here.
type wire struct {
	net.PacketConn
	network *network
	centre  string

	mu   sync.Mutex
	dead bool // sends nothing, as after a kill
}

// WriteTo drops packets that the network loses.
func (w *wire) WriteTo(p []byte, addr net.Addr) (int, error) {
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if dead || w.network.loses(w.centre, addr.String()) {
		return len(p), nil
	}
	return w.PacketConn.WriteTo(p, addr)
}

// SetReadBuffer lets the QUIC library choose the size.
func (w *wire) SetReadBuffer(n int) error { return w.PacketConn.(*net.UDPConn).SetReadBuffer(n) }

// SetWriteBuffer lets the QUIC library choose the size.
func (w *wire) SetWriteBuffer(n int) error { return w.PacketConn.(*net.UDPConn).SetWriteBuffer(n) }

func (w *wire) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
}
