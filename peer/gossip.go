package peer

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// Gossip sends a digest, which may be lost. It never blocks: if too many digests wait for a daemon that is slow or
// can't be reached, the digest is dropped.
func (p *Peers) Gossip(daemon string, data []byte) {
	l := p.link(daemon)
	select {
	case l.digests <- data:
	default:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sending && !l.closed {
		l.sending = true
		p.wg.Go(l.sendDigests)
	}
}

// sendDigests sends the waiting digests and returns when there are none left.
func (l *link) sendDigests() {
	for {
		select {
		case data := <-l.digests:
			if err := l.sendDigest(data); err != nil {
				l.p.Log.Debug("digest dropped", "daemon", l.name, "error", err)
			}
			continue
		default:
		}
		l.mu.Lock()
		if len(l.digests) == 0 {
			l.sending = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

func (l *link) sendDigest(data []byte) error {
	select {
	case <-l.p.ready:
	default:
		return fmt.Errorf("the socket is not open yet: %w", ErrUnreachable)
	}
	s, err := l.connect(l.p.ctx)
	if err != nil {
		return err
	}
	err = s.conn.SendDatagram(data)
	var large *quic.DatagramTooLargeError
	if errors.As(err, &large) {
		return l.streamDigest(data)
	}
	if err != nil {
		return fmt.Errorf("send datagram: %w", err)
	}
	return nil
}

// streamDigest sends a digest as a call, for network paths whose packets are too small for it.
func (l *link) streamDigest(data []byte) error {
	ctx, cancel := context.WithTimeout(l.p.ctx, dialTimeout)
	defer cancel()
	if _, err := l.p.call(ctx, l.name, &request{Op: opGossip, Body: data}, nil); err != nil {
		return fmt.Errorf("send digest on a stream: %w", err)
	}
	return nil
}
