package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Application error codes of closed connections and streams.
const (
	codeStopping  quic.ApplicationErrorCode = 1
	codeName      quic.ApplicationErrorCode = 2
	codeCancelled quic.StreamErrorCode      = 1
)

const (
	// firstBackoff and maxBackoff bound the time between dials to a daemon that can't be reached, with full jitter.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxDigests bounds the digests that wait for a connection. Further digests are dropped, since later ones replace
	// them.
	maxDigests = 8
)

// session is a connection and the name of the daemon at the other end.
type session struct {
	conn *quic.Conn
	name string
}

func newSession(conn *quic.Conn, name string) *session { return &session{conn: conn, name: name} }

func (s *session) alive() bool { return s != nil && s.conn.Context().Err() == nil }

// link manages the connections to one other daemon. New calls from this daemon use only current.
type link struct {
	p        *Peers
	name     string
	slots    chan struct{} // holds a value for each open call
	digests  chan []byte
	dialing  sync.Mutex // held while dialing, to allow only one dial at a time
	mu       sync.Mutex
	current  *session
	failures int       // failed dials in a row
	nextDial time.Time // no dial starts before this time
	sending  bool      // the goroutine of sendDigests runs
	closed   bool
}

func (l *link) live() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.alive() {
		return l.current
	}
	return nil
}

// addSession serves a new connection, and uses it for calls from this daemon if there is no other one. If both sides
// dial at the same time, both connections stay open, and each side uses the one that it added first. Once this daemon
// is stopping, new connections are closed.
func (l *link) addSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = s.conn.CloseWithError(codeStopping, "stopping")
		return
	}
	l.failures = 0
	l.nextDial = time.Time{}
	if !l.current.alive() {
		l.current = s
	}
	l.p.serve(s)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.current != nil {
		_ = l.current.conn.CloseWithError(codeStopping, "stopping")
	}
}

// connect returns the live connection or dials a new one. Error: ErrUnreachable.
func (l *link) connect(ctx context.Context) (*session, error) {
	if s := l.live(); s != nil {
		return s, nil
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	if s := l.live(); s != nil {
		return s, nil
	}
	s, err := l.dial(ctx)
	if err != nil {
		l.backOff()
		return nil, fmt.Errorf("connect to %s: %w: %w", l.name, ErrUnreachable, err)
	}
	l.addSession(s)
	return s, nil
}

func (l *link) dial(ctx context.Context) (*session, error) {
	select {
	case <-l.p.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the socket: %w", ctx.Err())
	}
	l.mu.Lock()
	wait := l.nextDial.Sub(l.p.Timer.Now())
	l.mu.Unlock()
	if wait > 0 {
		return nil, fmt.Errorf("next dial in %s", wait)
	}
	addr, ok := l.p.Locate(l.name)
	if !ok {
		return nil, fmt.Errorf("no address of %s", l.name)
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("read address: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.p.transport.Dial(ctx, udp, l.p.clientTLS(l.name), quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}
	// TLS has checked that the certificate is valid for l.name. The name of the daemon must be the first name in the
	// certificate.
	if name, err := daemonName(conn); err != nil || name != l.name {
		_ = conn.CloseWithError(codeName, "certificate of another daemon")
		return nil, fmt.Errorf("certificate of %q: %w", name, ErrName)
	}
	return newSession(conn, l.name), nil
}

func (l *link) backOff() {
	l.mu.Lock()
	limit := min(maxBackoff, firstBackoff<<min(l.failures, 10))
	l.failures++
	l.mu.Unlock()
	wait := l.p.jitter(limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextDial = l.p.Timer.Now().Add(wait)
}

// open takes a slot for a call and opens its stream. If it fails, nothing has been sent.
func (l *link) open(ctx context.Context) (*quic.Stream, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a free stream to %s: %w: %w", l.name, ErrUnreachable, ctx.Err())
	}
	stream, err := l.openStream(ctx)
	if err != nil {
		<-l.slots
		return nil, err
	}
	return stream, nil
}

// openStream opens a stream for a call. If the connection turns out to be dead, it drops the connection and tries once
// more with a new one.
func (l *link) openStream(ctx context.Context) (*quic.Stream, error) {
	for retry := true; ; retry = false {
		s, err := l.connect(ctx)
		if err != nil {
			return nil, err
		}
		stream, err := s.conn.OpenStreamSync(ctx)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() != nil || !l.drop(s) || !retry {
			return nil, fmt.Errorf("open stream to %s: %w: %w", l.name, ErrUnreachable, err)
		}
	}
}

// drop removes a connection that failed. It returns false if this daemon is stopping.
func (l *link) drop(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == s {
		l.current = nil
	}
	return !l.closed
}

// release cancels the receiving side of a call's stream and frees its slot.
func (l *link) release(stream *quic.Stream) {
	stream.CancelRead(codeCancelled)
	<-l.slots
}
