package peer_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/peer"
	"cuminstair.org/cuminstair/timer"
)

// fleet holds the daemons of a test, on loopback addresses.
type fleet struct {
	t         *testing.T
	clock     *timer.Virtual
	authority *peer.Authority
	mu        sync.Mutex
	addrs     map[string]string
}

// node is one run of a daemon.
type node struct {
	*peer.Peers
	socket *socket
	stop   func() // returns when Run has ended
}

// socket discards all outgoing packets once dead is set, like the socket of a killed host.
type socket struct {
	net.PacketConn
	dead atomic.Bool
}

func (s *socket) WriteTo(b []byte, a net.Addr) (int, error) {
	if s.dead.Load() {
		return len(b), nil
	}
	return s.PacketConn.WriteTo(b, a)
}

func newFleet(t *testing.T) *fleet {
	clock := timer.NewVirtual(time.Unix(1_700_000_000, 0))
	authority, err := peer.NewAuthority(rand.Reader, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &fleet{t: t, clock: clock, authority: authority, addrs: map[string]string{}}
}

func (f *fleet) config(name string) *tls.Config {
	c, err := f.authority.Config(name)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *fleet) locate(name string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	addr, ok := f.addrs[name]
	return addr, ok
}

func (f *fleet) setAddr(name, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addrs[name] = addr
}

// start runs a daemon on an address. With port 0 the system picks a free port.
func (f *fleet) start(name, addr string, c *tls.Config, set func(*peer.Peers)) *node {
	conn, err := net.ListenPacket("udp", addr)
	if err != nil {
		f.t.Fatal(err)
	}
	n := &node{socket: &socket{PacketConn: conn}}
	n.Peers = &peer.Peers{
		Conn: n.socket, TLS: c, Timer: f.clock, Rand: mathrand.New(mathrand.NewPCG(1, 2)),
		Log: hclog.NewNullLogger(), Locate: f.locate,
		OnGossip: func(string, []byte) {},
		OnForward: func(_ context.Context, from string, m *cuminstair.Message) *cuminstair.Message {
			return &cuminstair.Message{Outcome: cuminstair.OutcomeDone, Body: append([]byte(from+" "), m.Body...)}
		},
		OnIdle:     func(context.Context, string, string) bool { return true },
		OnHandover: func(string, []byte) error { return nil },
		OnAsk:      func(_ context.Context, _, _ string, body []byte) ([]byte, error) { return body, nil },
	}
	if set != nil {
		set(n.Peers)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	n.stop = func() { cancel(); <-done }
	f.t.Cleanup(n.stop)
	f.setAddr(name, conn.LocalAddr().String())
	return n
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against answers that get lost or mixed up between two daemons, in both directions.
func TestCalls(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	digests := make(chan string, 1)
	imported := make(chan []byte, 1)
	a := f.start("entry-a.west", "127.0.0.1:0", f.config("entry-a.west"), nil)
	b := f.start("entry-b.west", "127.0.0.1:0", f.config("entry-b.west"), func(p *peer.Peers) {
		p.OnGossip = func(from string, data []byte) { digests <- from + string(data) }
		p.OnIdle = func(_ context.Context, _, host string) bool { return host == "host-1" }
		p.OnHandover = func(_ string, data []byte) error {
			imported <- data
			return nil
		}
	})
	ctx := testContext(t)
	got := a.Forward(ctx, "entry-b.west", &cuminstair.Message{ID: "1", Body: []byte("x")})
	is.Equal(got.Outcome, cuminstair.OutcomeDone)
	is.Equal(string(got.Body), "entry-a.west x")

	is.Equal(string(b.Forward(ctx, "entry-a.west", &cuminstair.Message{ID: "2"}).Body), "entry-b.west ")
	a.Gossip("entry-b.west", []byte(" digest"))
	is.Equal(<-digests, "entry-a.west digest")
	is.Equal(a.Confirm(ctx, []string{"entry-b.west"}, "host-1"), nil)
	is.Equal(a.Confirm(ctx, []string{"entry-c", "entry-b.west"}, "host-2"), []string{"entry-b.west", "entry-c"})
	body, err := a.Ask(ctx, "entry-b.west", "changes", []byte("7"))
	is.NoErr(err)
	is.Equal(string(body), "7")
	tickets := bytes.Repeat([]byte("ticket"), 500_000) // larger than a frame
	is.NoErr(a.Handover(ctx, "entry-b.west", tickets))
	is.True(bytes.Equal(<-imported, tickets))
	huge := &cuminstair.Message{ID: "3", Body: make([]byte, 2<<20)}
	is.Equal(a.Forward(ctx, "entry-b.west", huge).Outcome, cuminstair.OutcomeNotRun)
}

// Guards against the outcome notrun for a request that the other daemon was running when the connection broke, and
// against the outcome unknown for a request that can't have reached that daemon.
func TestConnectionBreaks(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	running, release := make(chan struct{}), make(chan struct{})
	a := f.start("a", "127.0.0.1:0", f.config("a"), nil)
	b := f.start("b", "127.0.0.1:0", f.config("b"), func(p *peer.Peers) {
		p.OnForward = func(context.Context, string, *cuminstair.Message) *cuminstair.Message {
			close(running)
			<-release
			return &cuminstair.Message{Outcome: cuminstair.OutcomeDone}
		}
	})
	ctx := testContext(t)
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock) // a stopping daemon waits for its handlers, also when the test fails
	answers := make(chan *cuminstair.Message, 1)
	go func() { answers <- a.Forward(ctx, "b", &cuminstair.Message{ID: "1"}) }()
	<-running
	go b.stop() // closes the connection, then waits for the handler
	is.Equal((<-answers).Outcome, cuminstair.OutcomeUnknown)
	unblock()
	b.stop()
	f.mu.Lock()
	delete(f.addrs, "b")
	f.mu.Unlock()
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "2"}).Outcome, cuminstair.OutcomeNotRun)
	is.True(errors.Is(a.Handover(ctx, "b", nil), peer.ErrUnreachable))
}

// Guards against the outcome notrun for a call that is cancelled while the other daemon runs the request.
func TestGivingUpIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ctx, cancel := context.WithCancel(testContext(t))
	ended := make(chan struct{})
	a := f.start("a", "127.0.0.1:0", f.config("a"), nil)
	f.start("b", "127.0.0.1:0", f.config("b"), func(p *peer.Peers) {
		p.OnForward = func(ctx context.Context, _ string, _ *cuminstair.Message) *cuminstair.Message {
			cancel()
			<-ctx.Done() // the context of the handler ends with that of the caller
			close(ended)
			return nil
		}
	})
	got := a.Forward(ctx, "b", &cuminstair.Message{ID: "1"})
	is.Equal(got.Outcome, cuminstair.OutcomeUnknown)
	is.Equal(got.Reason, cuminstair.ReasonDeadline)
	<-ended
}

// Guards against messages to a daemon that took over the address of another one, and against messages from a daemon
// whose certificate is from another authority.
func TestWrongCertificate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var calls atomic.Int32
	count := func(p *peer.Peers) {
		p.OnForward = func(context.Context, string, *cuminstair.Message) *cuminstair.Message {
			calls.Add(1)
			return &cuminstair.Message{Outcome: cuminstair.OutcomeDone}
		}
	}
	a := f.start("a", "127.0.0.1:0", f.config("a"), nil)
	f.start("c", "127.0.0.1:0", f.config("c"), count)
	addr, _ := f.locate("c")
	f.setAddr("b", addr)
	ctx := testContext(t)
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "1"}).Outcome, cuminstair.OutcomeNotRun)
	foreign := f.start("d", "127.0.0.1:0", newFleet(t).config("d"), nil)
	is.True(foreign.Forward(ctx, "c", &cuminstair.Message{ID: "2"}).Outcome != cuminstair.OutcomeDone)
	// This daemon trusts the authority of c, but its own certificate is from another authority.
	mixed := f.config("d")
	mixed.Certificates = newFleet(t).config("d").Certificates
	untrusted := f.start("d", "127.0.0.1:0", mixed, nil)
	is.True(untrusted.Forward(ctx, "c", &cuminstair.Message{ID: "3"}).Outcome != cuminstair.OutcomeDone)
	is.Equal(calls.Load(), int32(0))
}

// Guards against calls that hang on the old connection to a killed daemon after its restart at the same address.
func TestRestartAtTheSameAddress(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	a := f.start("a", "127.0.0.1:0", f.config("a"), nil)
	c := f.config("b")
	old := f.start("b", "127.0.0.1:0", c, nil)
	ctx := testContext(t)
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "1"}).Outcome, cuminstair.OutcomeDone)
	addr, _ := f.locate("b")
	old.socket.dead.Store(true) // killed: sends no more packets
	old.stop()
	f.start("b", addr, c, nil)
	// The first call on the old connection ends with a stateless reset; b may have received the call.
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "2"}).Outcome, cuminstair.OutcomeUnknown)
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "3"}).Outcome, cuminstair.OutcomeDone)
}

// Guards against a slow daemon that delays calls to other daemons, and against an unbounded number of calls to the slow
// daemon.
func TestSlowDaemon(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	const slots = 64
	var open sync.WaitGroup
	open.Add(slots)
	release := make(chan struct{})
	a := f.start("a", "127.0.0.1:0", f.config("a"), nil)
	f.start("b", "127.0.0.1:0", f.config("b"), nil)
	f.start("slow", "127.0.0.1:0", f.config("slow"), func(p *peer.Peers) {
		p.OnForward = func(context.Context, string, *cuminstair.Message) *cuminstair.Message {
			open.Done()
			<-release
			return &cuminstair.Message{Outcome: cuminstair.OutcomeDone}
		}
	})
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock)
	ctx := testContext(t)
	answers := make(chan *cuminstair.Message, slots)
	for range slots {
		go func() { answers <- a.Forward(ctx, "slow", &cuminstair.Message{ID: "1"}) }()
	}
	open.Wait()
	is.Equal(a.Forward(ctx, "b", &cuminstair.Message{ID: "2"}).Outcome, cuminstair.OutcomeDone)
	late, cancel := context.WithCancel(ctx)
	cancel()
	is.Equal(a.Forward(late, "slow", &cuminstair.Message{ID: "3"}).Outcome, cuminstair.OutcomeNotRun)
	unblock()
	for range slots {
		is.Equal((<-answers).Outcome, cuminstair.OutcomeDone)
	}
}
