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
	codeStopping quic.ApplicationErrorCode = 1
	codeName     quic.ApplicationErrorCode = 2
	codeGaveUp   quic.StreamErrorCode      = 1
)

const (
	// firstBackoff and maxBackoff bound the time between dials to a daemon that does not answer; full jitter.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// maxDigests is how many digests may wait for a connection; more are dropped, since later ones replace them.
	maxDigests = 8
)

// session is one connection.
type session struct {
	conn *quic.Conn
	name string
}

func newSession(conn *quic.Conn, name string) *session { return &session{conn: conn, name: name} }

func (s *session) alive() bool { return s != nil && s.conn.Context().Err() == nil }

// link is what this daemon has with one other: at most one connection for its calls.
type link struct {
	p       *Peers
	name    string
	calls   chan struct{} // a place for each open call
	digests chan []byte
	dialing sync.Mutex // held while dialing, so that there is one dial at a time
	mu      sync.Mutex
	current *session
	fails   int
	next    time.Time // no dial before it
	sending bool      // a goroutine sends digests
	closed  bool
}

func (l *link) live() *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.alive() {
		return l.current
	}
	return nil
}

// adopt serves a new connection and uses it for own calls if there is no other one. When both sides dialled at once,
// both connections stay; each side uses the one that it had first. It does nothing once this daemon stops.
func (l *link) adopt(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = s.conn.CloseWithError(codeStopping, "stopping")
		return
	}
	l.fails = 0
	l.next = time.Time{}
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

// connect returns the live connection or dials one. Error: ErrUnreachable.
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
	l.adopt(s)
	return s, nil
}

func (l *link) dial(ctx context.Context) (*session, error) {
	select {
	case <-l.p.ready:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for the socket: %w", ctx.Err())
	}
	l.mu.Lock()
	wait := l.next.Sub(l.p.Timer.Now())
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
	// TLS has checked that the certificate is valid for the name; the first name is the daemon's own.
	if name, err := nameOf(conn); err != nil || name != l.name {
		_ = conn.CloseWithError(codeName, "certificate of another daemon")
		return nil, fmt.Errorf("certificate of %q: %w", name, ErrName)
	}
	return newSession(conn, l.name), nil
}

func (l *link) backOff() {
	l.mu.Lock()
	limit := min(maxBackoff, firstBackoff<<min(l.fails, 10))
	l.fails++
	l.mu.Unlock()
	wait := l.p.jitter(limit)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = l.p.Timer.Now().Add(wait)
}

// open takes a place for a call and opens its stream. Nothing has been sent when it fails.
func (l *link) open(ctx context.Context) (*quic.Stream, error) {
	select {
	case l.calls <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a place for a call to %s: %w: %w", l.name, ErrUnreachable, ctx.Err())
	}
	stream, err := l.openStream(ctx)
	if err != nil {
		<-l.calls
		return nil, err
	}
	return stream, nil
}

// openStream dials once more if the connection turns out to be dead.
func (l *link) openStream(ctx context.Context) (*quic.Stream, error) {
	for again := true; ; again = false {
		s, err := l.connect(ctx)
		if err != nil {
			return nil, err
		}
		stream, err := s.conn.OpenStreamSync(ctx)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() != nil || !l.drop(s) || !again {
			return nil, fmt.Errorf("open stream to %s: %w: %w", l.name, ErrUnreachable, err)
		}
	}
}

// drop forgets a connection that failed. It returns false if this daemon stops.
func (l *link) drop(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == s {
		l.current = nil
	}
	return !l.closed
}

// done gives the place of a call back.
func (l *link) done(stream *quic.Stream) {
	stream.CancelRead(codeGaveUp)
	<-l.calls
}
