package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/upstream"
)

// rig is a sender and an instance that it sends to. Its clock moves only when the test advances it.
type rig struct {
	clock    *timer.Virtual
	instance *instance.Server
	sender   *upstream.Sender
	upstream *cuminstair.Upstream
}

func newRig(t *testing.T) *rig {
	t.Helper()
	clock := timer.NewVirtual(time.Unix(1000, 0))
	r := &rig{clock: clock, instance: &instance.Server{Timer: clock}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = r.instance.Serve(l) }()
	t.Cleanup(func() { _ = r.instance.Close() })
	r.sender = &upstream.Sender{Timer: clock}
	r.upstream = &cuminstair.Upstream{Host: "h1", Addr: l.Addr().String(), Slots: 8, Conns: 64}
	return r
}

func (r *rig) send(ctx context.Context, m *cuminstair.Message) (*cuminstair.Message, cuminstair.Result) {
	return r.sender.Send(ctx, r.upstream, m)
}

func request(id, body string) *cuminstair.Message {
	return &cuminstair.Message{ID: id, Method: "POST", Path: "/work", Team: "t1", Body: []byte(body), Timeout: time.Second}
}
