package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
	"cuminstair.org/cuminstair/timer"
)

// steppedTimer is a timer service whose time moves by steps, and by a microsecond at each reading.
type steppedTimer struct {
	cuminstair.Timer
	passed atomic.Int64 // since peerTime, in nanoseconds
}

// Now implements cuminstair.Timer.
func (t *steppedTimer) Now() time.Time {
	return peerTime.Add(time.Duration(t.passed.Add(int64(time.Microsecond))))
}

// After implements cuminstair.Timer. The time passes at once.
func (t *steppedTimer) After(d time.Duration, fn func(now time.Time)) func() bool {
	t.passed.Add(int64(d))
	go fn(t.Now())
	return func() bool { return false }
}

// pass moves a daemon's time.
func pass(d *Daemon, t time.Duration) { d.Timer.(*steppedTimer).passed.Add(int64(t)) }

// ownerDaemon returns a daemon that owns the service s since peerTime and whose writes are stored at once.
func ownerDaemon(t *testing.T) (*Daemon, *runner) {
	d, r := peerDaemon()
	d.Timer = &steppedTimer{}
	r.done = make(chan struct{})
	go func() {
		for {
			select {
			case fn := <-r.events:
				now := d.Timer.Now()
				fn(now)
				if !d.readFailed.Load() {
					r.confirmedAt = d.Timer.Now()
				}
				r.state.Decide(now, r.confirmedAt)
				if b := r.state.Batch(now); b != nil {
					r.state.Stored(now, b)
				}
			case <-t.Context().Done():
				return
			}
		}
	}()
	return d, r
}

func lateCall() (call, *cuminstair.JobSpec) {
	queue := cuminstair.WorkQueue{Name: "q", Service: "s", Target: time.Second}
	return call{queue: queue, id: "00000000000000aa", method: http.MethodPost},
		&cuminstair.JobSpec{Steps: []cuminstair.JobStep{{Count: 1, CPU: 100, Memory: 100, LongRunning: true}}}
}

// lossyServer serves the calls of other daemons to a daemon. While it is cut off, it holds them without an answer.
type lossyServer struct {
	*httptest.Server
	cut  atomic.Bool
	held chan []byte // bodies of the calls
}

func newLossyServer(t *testing.T, d *Daemon) *lossyServer {
	s := &lossyServer{held: make(chan []byte, 8)}
	handler := d.peerServer().Handler
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !s.cut.Load() {
			handler.ServeHTTP(w, q)
			return
		}
		body, _ := io.ReadAll(q.Body)
		s.held <- body
		<-q.Context().Done()
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *lossyServer) addr() string { return s.Listener.Addr().String() }

// newForwarder returns a daemon that owns no service and is reached by other daemons.
func newForwarder(t *testing.T) *Daemon {
	clock := timer.New()
	go func() { _ = clock.Run(t.Context()) }()
	d := &Daemon{Timer: clock, Log: hclog.NewNullLogger(), Settings: &platform.Settings{Name: "d2"}, runID: "run2", peers: newPeerClient()}
	d.view = ownership.NewView("d2", "run2")
	d.ownerHints, d.readOwnersNow = map[string]ownerHint{}, make(chan struct{}, 1)
	server := httptest.NewServer(d.peerServer().Handler)
	t.Cleanup(server.Close)
	d.addr = server.Listener.Addr().String()
	return d
}

// giveUp sends a call to a server that is cut off, gives it up once the server has it, and returns its body.
func giveUp(t *testing.T, from *Daemon, to *lossyServer, x call, spec *cuminstair.JobSpec) []byte {
	is := is.New(t)
	to.cut.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := from.callPeer(ctx, to.addr(), x, spec)
		result <- err
	}()
	body := <-to.held
	cancel()
	is.True(<-result != nil)
	to.cut.Store(false)
	return body
}

// deliver passes a copy of a call to the owner and returns its answer.
func deliver(t *testing.T, owner *Daemon, body []byte) (a callReply) {
	is.New(t).NoErr(json.Unmarshal([]byte(post(owner, callPath, string(body))), &a))
	return a
}

// Guards against a job that runs although every attempt to hand it in was refused: TCP may deliver a copy of the first
// attempt at any time after the owner has forgotten its refusal.
func TestLateCopyIsNotAcceptedOnceTheRefusalIsForgotten(t *testing.T) {
	for _, age := range []time.Duration{12600 * time.Millisecond, 25400 * time.Millisecond, 51 * time.Second, 102200 * time.Millisecond} {
		t.Run(age.String(), func(t *testing.T) {
			is := is.New(t)
			owner, r := ownerDaemon(t)
			server, forwarder := newLossyServer(t, owner), newForwarder(t)
			pass(owner, time.Minute)
			x, spec := lateCall()
			setStoreDown(r, true)
			late := giveUp(t, forwarder, server, x, spec)
			a, err := forwarder.callPeer(t.Context(), server.addr(), x, spec)
			is.NoErr(err)
			is.Equal(a.Outcome, dispatch.Unavailable) // the caller is told that the job never runs
			setStoreDown(r, false)
			pass(owner, age)
			_, err = owner.callLocal(t.Context(), r, call{queue: x.queue, method: http.MethodGet}, nil) // a batch drops what is old
			is.NoErr(err)
			is.Equal(deliver(t, owner, late).Outcome, dispatch.Uncertain)
			a, err = owner.callLocal(t.Context(), r, call{queue: x.queue, id: x.id, method: http.MethodGet}, nil)
			is.NoErr(err)
			is.Equal(a.State, cuminstair.JobUnknown)
			a, err = forwarder.callPeer(t.Context(), server.addr(), x, spec)
			is.NoErr(err)
			is.Equal(a.Outcome, dispatch.Accepted) // a new attempt of the caller
		})
	}
}

// Guards against a refusal that is told for a former owner: the present owner may accept an earlier copy of the call.
func TestRefusalOfAFormerOwnerIsNotTold(t *testing.T) {
	is := is.New(t)
	former, r := ownerDaemon(t)
	setStoreDown(r, true)
	present, r := ownerDaemon(t)
	r.token = 8
	formerServer, presentServer, forwarder := newLossyServer(t, former), newLossyServer(t, present), newForwarder(t)
	x, spec := lateCall()
	x.id = "00000000000000bb"
	forwarder.setOwnerHint("s", presentServer.addr())
	a, err := forwarder.forward(t.Context(), x, spec)
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Accepted)

	x, _ = lateCall()
	presentServer.cut.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	go func() {
		<-presentServer.held
		forwarder.setOwnerHint("s", formerServer.addr())
	}()
	_, err = forwarder.forward(ctx, x, spec)
	is.True(errors.Is(err, errUnanswered))
}

// Guards against a cancellation that is refused although an owner may have received it and carries it out.
func TestUnansweredCancellationIsNotRefused(t *testing.T) {
	is := is.New(t)
	owner, _ := ownerDaemon(t)
	server, forwarder := newLossyServer(t, owner), newForwarder(t)
	server.cut.Store(true)
	forwarder.setOwnerHint("s", server.addr())
	forwarder.Metrics = owner.Metrics
	x, _ := lateCall()
	x.method = http.MethodDelete
	is.Equal(callerStatus(t, forwarder, x), http.StatusGatewayTimeout)
}

// Guards against a job that runs after its caller was told, in answer to the cancellation, that there is no such job.
func TestLateCopyIsNotAcceptedAfterTheCancellation(t *testing.T) {
	is := is.New(t)
	owner, r := ownerDaemon(t)
	server, forwarder := newLossyServer(t, owner), newForwarder(t)
	pass(owner, time.Minute)
	x, spec := lateCall()
	other := x
	other.id = "00000000000000bb"
	_, err := forwarder.callPeer(t.Context(), server.addr(), other, spec)
	is.NoErr(err)
	late := giveUp(t, forwarder, server, x, spec)
	pass(owner, time.Second)
	cancellation := x
	cancellation.method = http.MethodDelete
	a, err := forwarder.callPeer(t.Context(), server.addr(), cancellation, nil)
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.NotFound)
	pass(owner, time.Second)
	is.Equal(deliver(t, owner, late).Outcome, dispatch.Uncertain)
	a, err = owner.callLocal(t.Context(), r, call{queue: x.queue, id: x.id, method: http.MethodGet}, nil)
	is.NoErr(err)
	is.Equal(a.State, cuminstair.JobUnknown)
}

func setStoreDown(r *runner, down bool) { r.post(func(time.Time) { r.state.SetStoreDown(down) }) }

// Guards against a job that is run although its caller was told of a refusal: a copy of an earlier call that TCP delivers
// after a cut is no new attempt of the caller.
func TestLateCopyOfARefusedJobIsNotAccepted(t *testing.T) {
	is := is.New(t)
	owner, r := ownerDaemon(t)
	server, forwarder := newLossyServer(t, owner), newForwarder(t)
	x, spec := lateCall()
	submit := func(ctx context.Context) (callReply, error) {
		return forwarder.callPeer(ctx, server.addr(), x, spec)
	}

	setStoreDown(r, true)
	late := giveUp(t, forwarder, server, x, spec)
	a, err := submit(t.Context())
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Unavailable)

	setStoreDown(r, false)
	is.Equal(deliver(t, owner, late).Outcome, dispatch.Uncertain)
	a, err = owner.callLocal(t.Context(), r, call{queue: x.queue, id: x.id, method: http.MethodGet}, nil)
	is.NoErr(err)
	is.Equal(a.State, cuminstair.JobUnknown)
	a, err = submit(t.Context())
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Accepted) // a new attempt of the caller
	is.Equal(a.Why, "")
}

// Guards against a late copy that is accepted since the forwarding daemon still waited for it before the latest refusal.
func TestLateCopyIsCheckedAfterEachRefusal(t *testing.T) {
	is := is.New(t)
	owner, r := ownerDaemon(t)
	x, spec := lateCall()
	var questions atomic.Int64
	refuse := func() {
		setStoreDown(r, true)
		a, err := owner.callLocal(t.Context(), r, x, spec)
		is.NoErr(err)
		is.Equal(a.Outcome, dispatch.Unavailable)
		setStoreDown(r, false)
	}
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		first := questions.Add(1) == 1
		if first {
			refuse()
		}
		_ = json.NewEncoder(w).Encode(openReply{Open: first})
	}))
	defer peer.Close()
	refuse()
	copyOf := callRequest{Method: x.method, ID: x.id, Queue: x.queue, Job: spec, From: peer.Listener.Addr().String(), Run: "run2", Number: 1}
	send := func() callReply {
		body, err := json.Marshal(copyOf)
		is.NoErr(err)
		var a callReply
		is.NoErr(json.NewDecoder(bytes.NewReader([]byte(post(owner, callPath, string(body))))).Decode(&a))
		return a
	}
	is.Equal(send().Outcome, dispatch.Uncertain)
	is.Equal(questions.Load(), int64(2))
	peer.Close()
	is.True(send().NotOwner) // the forwarding daemon does not answer
	copyOf.Number = 0
	is.Equal(send().Outcome, dispatch.Unavailable) // a daemon of an earlier version can't be asked
}

// Guards against a new owner that accepts a late copy of a call whose job an earlier owner has refused.
func TestLateCopyIsNotAcceptedAfterATakeover(t *testing.T) {
	is := is.New(t)
	owner, _ := ownerDaemon(t) // took the service over just now
	forwarder := newForwarder(t)
	x, spec := lateCall()
	number := forwarder.forwarded.begin()
	send := func() (a callReply) {
		body, err := json.Marshal(callRequest{
			Method: x.method, ID: x.id, Queue: x.queue, Job: spec, From: forwarder.addr, Run: "run2", Number: number,
		})
		is.NoErr(err)
		is.NoErr(json.Unmarshal([]byte(post(owner, callPath, string(body))), &a))
		return a
	}
	forwarder.forwarded.end(number)
	is.Equal(send().Outcome, dispatch.Uncertain) // the forwarding daemon has given it up
	number = forwarder.forwarded.begin()
	is.Equal(send().Outcome, dispatch.Accepted)
}
