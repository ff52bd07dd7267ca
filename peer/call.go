package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"cuminstair.org/cuminstair"
)

// call sends a request, with payload in further frames, and reads the response. Errors: ErrUnreachable and ErrFrame if
// the daemon received nothing, ErrUncertain if it may have received the request.
func (p *Peers) call(ctx context.Context, daemon string, req *request, payload []byte) (*response, error) {
	req.Pad = padding
	frame, err := encodeFrame(req)
	if err != nil {
		return nil, err
	}
	l := p.link(daemon)
	stream, err := l.open(ctx)
	if err != nil {
		return nil, err
	}
	defer l.release(stream)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer stop()
	r, err := exchange(stream, frame, payload)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w: %w", daemon, ErrUncertain, err)
	}
	return r, nil
}

func exchange(stream *quic.Stream, frame, payload []byte) (*response, error) {
	if _, err := stream.Write(frame); err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	if err := writeChunks(stream, payload); err != nil {
		return nil, err
	}
	// Close fails if the daemon has already responded; the response shows whether the call succeeded.
	_ = stream.Close()
	r := &response{}
	if err := readValue(stream, r); err != nil {
		return nil, err
	}
	return r, nil
}

// Forward implements cuminstair.Peers. The outcome of a request that is too large for a frame is OutcomeNotRun.
func (p *Peers) Forward(ctx context.Context, daemon string, m *cuminstair.Message) *cuminstair.Message {
	r, err := p.call(ctx, daemon, &request{Op: opForward, Message: m}, nil)
	switch {
	case errors.Is(err, ErrFrame) && !errors.Is(err, ErrUncertain):
		return failedMessage(m, cuminstair.OutcomeNotRun, cuminstair.ReasonMalformed)
	case errors.Is(err, ErrUnreachable):
		return failedMessage(m, cuminstair.OutcomeNotRun, cuminstair.ReasonNoUpstream)
	case err != nil && ctx.Err() != nil:
		return failedMessage(m, cuminstair.OutcomeUnknown, cuminstair.ReasonDeadline)
	case err != nil || r.Message == nil:
		return failedMessage(m, cuminstair.OutcomeUnknown, cuminstair.ReasonBroken)
	case r.Message.ID != m.ID:
		return failedMessage(m, cuminstair.OutcomeUnknown, cuminstair.ReasonMismatch)
	default:
		return r.Message
	}
}

func failedMessage(m *cuminstair.Message, o cuminstair.Outcome, r cuminstair.Reason) *cuminstair.Message {
	return &cuminstair.Message{ID: m.ID, Outcome: o, Reason: r}
}

// Confirm implements cuminstair.Peers.
func (p *Peers) Confirm(ctx context.Context, daemons []string, host string) []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var missing []string
	for _, d := range daemons {
		wg.Go(func() {
			r, err := p.call(ctx, d, &request{Op: opIdle, Host: host}, nil)
			if err == nil && r.OK {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, d)
		})
	}
	wg.Wait()
	slices.Sort(missing)
	return missing
}

// Handover sends tickets to a successor. After ErrUnreachable and ErrRefused the successor has imported nothing, and
// the tickets may be sent to another daemon. After ErrUncertain the successor may have imported them, and they may be
// sent again only to the same successor.
func (p *Peers) Handover(ctx context.Context, daemon string, data []byte) error {
	r, err := p.call(ctx, daemon, &request{Op: opHandover, Size: len(data)}, data)
	if err != nil {
		return fmt.Errorf("hand over tickets: %w", err)
	}
	if !r.OK {
		return fmt.Errorf("hand over tickets to %s: %w: %s", daemon, ErrRefused, r.Error)
	}
	return nil
}

// Ask sends a query about the fleet configuration, such as for changes or sections. Errors: ErrUnreachable,
// ErrUncertain, ErrRefused, and ErrFrame if the query is too large.
func (p *Peers) Ask(ctx context.Context, daemon, topic string, body []byte) ([]byte, error) {
	r, err := p.call(ctx, daemon, &request{Op: opAsk, Topic: topic, Body: body}, nil)
	if err != nil {
		return nil, fmt.Errorf("query for %s: %w", topic, err)
	}
	if !r.OK {
		return nil, fmt.Errorf("query %s for %s: %w: %s", daemon, topic, ErrRefused, r.Error)
	}
	return r.Body, nil
}
