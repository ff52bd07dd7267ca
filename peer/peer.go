// Package peer transports messages between entry daemons as CBOR frames over QUIC with mutual TLS. The handlers, which
// are fields of Peers, process the messages.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Peers = (*Peers)(nil)

// Errors of calls to another daemon.
const (
	// ErrUnreachable means that the daemon was not reached; it received nothing.
	ErrUnreachable = errors.ConstError("the daemon can't be reached")
	// ErrUncertain means that the daemon may have received the call; its response was lost.
	ErrUncertain = errors.ConstError("the answer of the daemon was lost")
	// ErrRefused means that the daemon answered with an error and did nothing.
	ErrRefused = errors.ConstError("the daemon refused")
	// ErrName means that the certificate of a daemon has no name or not the expected one.
	ErrName = errors.ConstError("certificate of another daemon")
)

// Bounds of a connection.
const (
	// maxStreams bounds the open calls to one daemon and, separately, the open calls from one daemon.
	maxStreams = 64
	// keepAlive and idleTimeout detect dead connections. With shorter times a daemon with 50 connections would send more
	// than 3 KB/s.
	keepAlive   = 10 * time.Second
	idleTimeout = 25 * time.Second
	// dialTimeout bounds a handshake.
	dialTimeout = 2 * time.Second
	// streamWindow and connWindow bound the bytes that this daemon buffers for one stream and for one connection.
	streamWindow = 2 << 20
	connWindow   = 8 << 20
)

// protocol is the ALPN name. It changes with the format of the frames.
const protocol = "cuminstair/1"

// Peers connects this daemon to others. The exported fields are set before Run. Handlers are called concurrently.
type Peers struct {
	Conn  net.PacketConn // UDP socket; closed by Run
	TLS   *tls.Config    // see Config; certificates hold the daemon name as their first DNS name
	Timer cuminstair.Timer
	Rand  *rand.Rand // jitter of redials; used under a lock
	Log   hclog.Logger
	// Locate returns the address of a daemon.
	Locate func(daemon string) (addr string, ok bool)

	// OnGossip handles a digest. It must not block.
	OnGossip func(from string, data []byte)
	// OnForward runs a forwarded request and returns the response. ctx ends when the sender cancels the call.
	OnForward func(ctx context.Context, from string, m *cuminstair.Message) *cuminstair.Message
	// OnIdle reports whether this daemon sends no new requests to a host and has none in flight there.
	OnIdle func(ctx context.Context, from, host string) bool
	// OnHandover imports the tickets of a stopping daemon. An error means that nothing was imported.
	OnHandover func(from string, data []byte) error
	// OnAsk responds to a query about the fleet configuration.
	OnAsk func(ctx context.Context, from, topic string, body []byte) ([]byte, error)

	transport *quic.Transport
	ready     chan struct{} // closed when transport is set
	once      sync.Once
	ctx       context.Context // ends when Run returns
	mu        sync.Mutex
	links     map[string]*link
	stopped   bool
	wg        sync.WaitGroup
}

func (p *Peers) init() {
	p.once.Do(func() {
		p.ready = make(chan struct{})
		p.links = map[string]*link{}
	})
}

// Run listens and serves until ctx ends. It closes all connections before it returns.
func (p *Peers) Run(ctx context.Context) error {
	p.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.ctx = ctx
	p.transport = &quic.Transport{Conn: p.Conn, StatelessResetKey: resetKey(p.TLS)}
	listener, err := p.transport.Listen(p.serverTLS(), quicConfig())
	if err != nil {
		return fmt.Errorf("listen for daemons: %w", err)
	}
	close(p.ready)
	p.accept(ctx, listener)
	cancel()
	_ = listener.Close()
	p.closeAll()
	err = p.transport.Close()
	_ = p.Conn.Close()
	p.wg.Wait()
	if err != nil {
		return fmt.Errorf("close transport: %w", err)
	}
	return nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       dialTimeout,
		MaxIdleTimeout:             idleTimeout,
		KeepAlivePeriod:            keepAlive,
		MaxIncomingStreams:         maxStreams,
		MaxIncomingUniStreams:      -1,
		MaxStreamReceiveWindow:     streamWindow,
		MaxConnectionReceiveWindow: connWindow,
		EnableDatagrams:            true,
	}
}

func (p *Peers) accept(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			return
		}
		name, err := daemonName(conn)
		if err != nil {
			p.Log.Warn("connection refused", "addr", conn.RemoteAddr().String(), "error", err)
			_ = conn.CloseWithError(codeName, err.Error())
			continue
		}
		p.link(name).addSession(newSession(conn, name))
	}
}

func (p *Peers) link(name string) *link {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[name]
	if !ok {
		l = &link{p: p, name: name, slots: make(chan struct{}, maxStreams), digests: make(chan []byte, maxDigests)}
		l.closed = p.stopped
		p.links[name] = l
	}
	return l
}

func (p *Peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, l := range p.links {
		l.close()
	}
}

// jitter returns a random duration below d.
func (p *Peers) jitter(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.Rand.Int64N(int64(d)))
}
