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

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
)

// ownerDaemon returns a daemon that owns the service s and whose writes are stored at once.
func ownerDaemon(t *testing.T) (*Daemon, *runner) {
	d, r := peerDaemon()
	r.done = make(chan struct{})
	go func() {
		for {
			select {
			case fn := <-r.events:
				fn(peerTime)
				if b := r.state.Batch(peerTime); b != nil {
					r.state.Stored(peerTime, b)
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

func setStoreDown(r *runner, down bool) { r.post(func(time.Time) { r.state.SetStoreDown(down) }) }

// Guards against a job that is run although its caller was told of a refusal: a copy of an earlier call that TCP delivers
// after a cut is no new attempt of the caller.
func TestLateCopyOfARefusedJobIsNotAccepted(t *testing.T) {
	is := is.New(t)
	owner, r := ownerDaemon(t)
	var cut atomic.Bool
	held := make(chan []byte, 1)
	handler := owner.peerServer().Handler
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if !cut.Load() {
			handler.ServeHTTP(w, q)
			return
		}
		body, _ := io.ReadAll(q.Body)
		held <- body
		<-q.Context().Done()
	}))
	defer server.Close()
	forwarder := &Daemon{Timer: waitingTimer{}, runID: "run2", peers: newPeerClient()}
	peer := httptest.NewServer(forwarder.peerServer().Handler)
	defer peer.Close()
	forwarder.addr = peer.Listener.Addr().String()
	x, spec := lateCall()
	submit := func(ctx context.Context) (callReply, error) {
		return forwarder.callPeer(ctx, server.Listener.Addr().String(), x, spec)
	}

	setStoreDown(r, true)
	cut.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := submit(ctx)
		result <- err
	}()
	late := <-held
	cancel()
	is.True(<-result != nil)
	cut.Store(false)
	a, err := submit(t.Context())
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Unavailable)

	setStoreDown(r, false)
	a = callReply{}
	is.NoErr(json.Unmarshal([]byte(post(owner, callPath, string(late))), &a))
	is.Equal(a.Outcome, dispatch.Uncertain) // the late copy
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
	is.Equal(send().Outcome, dispatch.Accepted) // a daemon of an earlier version
}

// Guards against a new owner that accepts a late copy of a call whose job an earlier owner has refused.
func TestLateCopyIsNotAcceptedAfterATakeover(t *testing.T) {
	is := is.New(t)
	owner, _ := ownerDaemon(t) // took the service over just now
	forwarder := &Daemon{Timer: waitingTimer{}, runID: "run2", peers: newPeerClient()}
	peer := httptest.NewServer(forwarder.peerServer().Handler)
	defer peer.Close()
	x, spec := lateCall()
	number := forwarder.forwarded.begin()
	send := func() (a callReply) {
		body, err := json.Marshal(callRequest{
			Method: x.method, ID: x.id, Queue: x.queue, Job: spec, From: peer.Listener.Addr().String(), Run: "run2", Number: number,
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
