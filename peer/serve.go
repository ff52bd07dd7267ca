package peer

import (
	"context"

	"github.com/quic-go/quic-go"

	"cuminstair.org/cuminstair"
)

// serve handles the calls and digests that arrive over a connection, regardless of which side dialled it.
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
	defer stream.CancelRead(codeCancelled)
	req := &request{}
	if err := readValue(stream, req); err != nil {
		stream.CancelWrite(codeCancelled)
		p.Log.Debug("reading request failed", "daemon", s.name, "error", err)
		return
	}
	frame, err := encodeFrame(p.handle(stream, s.name, req))
	if err != nil {
		stream.CancelWrite(codeCancelled)
		p.Log.Warn("encoding response failed", "daemon", s.name, "error", err)
		return
	}
	if _, err := stream.Write(frame); err != nil {
		p.Log.Debug("sending response failed", "daemon", s.name, "error", err)
		return
	}
	_ = stream.Close()
}

// handle calls the handler of a request. The stream's context ends when the sender cancels the call or the connection
// breaks.
func (p *Peers) handle(stream *quic.Stream, from string, req *request) *response {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	switch req.Op {
	case opForward:
		if req.Message == nil {
			return &response{Error: "no message"}
		}
		return &response{OK: true, Message: p.runForwarded(ctx, from, req.Message)}
	case opIdle:
		return &response{OK: p.OnIdle(ctx, from, req.Host)}
	case opHandover:
		data, err := readChunks(stream, req.Size)
		if err == nil {
			err = p.OnHandover(from, data)
		}
		return errorResponse(err)
	case opAsk:
		body, err := p.OnAsk(ctx, from, req.Topic, req.Body)
		r := errorResponse(err)
		r.Body = body
		return r
	case opGossip:
		p.OnGossip(from, req.Body)
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

// runForwarded runs a forwarded request. A reply without an ID gets that of the request.
func (p *Peers) runForwarded(ctx context.Context, from string, m *cuminstair.Message) *cuminstair.Message {
	reply := p.OnForward(ctx, from, m)
	if reply != nil && reply.ID == "" {
		reply.ID = m.ID
	}
	return reply
}
