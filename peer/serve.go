package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"cuminstair.org/cuminstair"
)

// serve answers the calls that come over a connection, whoever dialled it.
func (p *Peers) serve(s *session) {
	p.wg.Go(func() { p.serveStreams(s) })
	p.wg.Go(func() { p.serveDigests(s) })
}

func (p *Peers) serveStreams(s *session) {
	for {
		stream, err := s.conn.AcceptStream(p.ctx)
		if err != nil {
			_ = s.conn.CloseWithError(codeStopping, "stopping")
			return
		}
		p.wg.Go(func() { p.serveStream(s, stream) })
	}
}

func (p *Peers) serveDigests(s *session) {
	for {
		data, err := s.conn.ReceiveDatagram(p.ctx)
		if err != nil {
			return
		}
		p.OnGossip(s.name, data)
	}
}

func (p *Peers) serveStream(s *session, stream *quic.Stream) {
	defer stream.CancelRead(codeGaveUp)
	q := &request{}
	if err := readValue(stream, q); err != nil {
		stream.CancelWrite(codeGaveUp)
		p.Log.Debug("call dropped", "daemon", s.name, "error", err)
		return
	}
	frame, err := encodeFrame(p.answer(stream, s.name, q))
	if err != nil {
		stream.CancelWrite(codeGaveUp)
		p.Log.Warn("answer dropped", "daemon", s.name, "error", err)
		return
	}
	if _, err := stream.Write(frame); err != nil {
		p.Log.Debug("answer lost", "daemon", s.name, "error", err)
		return
	}
	_ = stream.Close()
}

// answer calls the handler. The stream's context ends when the sender gives up or the connection breaks.
func (p *Peers) answer(stream *quic.Stream, from string, q *request) *response {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	switch q.Op {
	case opForward:
		if q.Message == nil {
			return &response{Error: "no message"}
		}
		return &response{OK: true, Message: p.forwarded(ctx, from, q.Message)}
	case opIdle:
		return &response{OK: p.OnIdle(ctx, from, q.Host)}
	case opHandover:
		data, err := readChunks(stream, q.Size)
		if err == nil {
			err = p.OnHandover(from, data)
		}
		return errorResponse(err)
	case opAsk:
		body, err := p.OnAsk(ctx, from, q.Topic, q.Body)
		r := errorResponse(err)
		r.Body = body
		return r
	case opGossip:
		p.OnGossip(from, q.Body)
		return &response{OK: true}
	default:
		return &response{Error: "unknown call"}
	}
}

func errorResponse(err error) *response {
	if err != nil {
		return &response{Error: err.Error()}
	}
	return &response{OK: true}
}

func (p *Peers) forwarded(ctx context.Context, from string, m *cuminstair.Message) *cuminstair.Message {
	answer := p.OnForward(ctx, from, m)
	if answer != nil && answer.ID == "" {
		answer.ID = m.ID
	}
	return answer
}
