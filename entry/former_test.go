package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/platform"
)

// recordList is a store that has a few records.
type recordList struct {
	cuminstair.RecordStore
	records []cuminstair.Record
}

// Read implements cuminstair.RecordStore.
func (s *recordList) Read(_ context.Context, table, part, from, _ string) ([]cuminstair.Record, uint64, error) {
	var list []cuminstair.Record
	for _, r := range s.records {
		if r.Table == table && r.Part == part && (from == "" || r.Key == from) {
			list = append(list, r)
		}
	}
	return list, 0, nil
}

// callerStatus returns the status with which a daemon answers a caller's call without a body.
func callerStatus(t *testing.T, d *Daemon, x call) int {
	x.queue.Host, x.queue.Prefix = "h", "/"
	d.config.Store(&cuminstair.JobConfig{Version: 1, Queues: []cuminstair.WorkQueue{x.queue}})
	w := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(t.Context(), x.method, "http://h/"+x.id, nil)
	req.Header.Set(platform.DeadlineHeader, "400")
	d.callerServer().Handler.ServeHTTP(w, req)
	return w.Code
}

// presentOwner returns a daemon that has taken the service s over from another, and its owner record.
func presentOwner(t *testing.T) (*Daemon, *runner, cuminstair.Record) {
	d, r := ownerDaemon(t)
	r.token = 8
	return d, r, cuminstair.Record{RecordKey: r.ownerKey(), Value: []byte(`{"name":"d8","run":"run8","addr":"d8:1"}`), Version: r.token}
}

// acceptedElsewhere returns a former owner, another daemon that takes it for the present owner, and a call about a job that
// the present owner has accepted.
func acceptedElsewhere(t *testing.T) (former, forwarder *Daemon, x call) {
	is := is.New(t)
	former, _ = ownerDaemon(t)
	former.readFailed.Store(true) // the store does not confirm it
	present, r, owner := presentOwner(t)
	x, spec := lateCall()
	a, err := present.callLocal(t.Context(), r, x, spec)
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Accepted)
	job := cuminstair.Record{RecordKey: cuminstair.RecordKey{Table: dispatch.JobTable, Part: "s", Key: x.id}, Version: 9}
	store := &recordList{records: []cuminstair.Record{owner, job}}
	forwarder = newForwarder(t)
	forwarder.Metrics = former.Metrics
	former.Store, forwarder.Store = store, store
	forwarder.setOwnerHint("s", newLossyServer(t, former).addr())
	return former, forwarder, x
}

// Guards against a cancellation that is answered with 410 by an owner that has a successor and does not know it, such as
// after a freeze: the successor runs the job.
func TestCancellationIsNotDeniedByAFormerOwner(t *testing.T) {
	is := is.New(t)
	former, forwarder, x := acceptedElsewhere(t)
	x.method = http.MethodDelete
	byFormer, byForwarder := callerStatus(t, former, x), callerStatus(t, forwarder, x)
	is.True(byFormer != http.StatusGone && byForwarder != http.StatusGone)
}

// Guards against an accepted job that is reported as unknown by an owner that has a successor and does not know it.
func TestStateIsNotDeniedByAFormerOwner(t *testing.T) {
	is := is.New(t)
	former, forwarder, x := acceptedElsewhere(t)
	x.method = http.MethodGet
	byFormer, byForwarder := callerStatus(t, former, x), callerStatus(t, forwarder, x)
	is.True(byFormer != http.StatusGone && byForwarder != http.StatusGone)
}

// Guards against readings of a former owner that are passed on by a daemon that has heard of its successor.
func TestReadingsOfAKnownFormerOwnerAreNotTold(t *testing.T) {
	is := is.New(t)
	_, forwarder, x := acceptedElsewhere(t)
	forwarder.stamps.observe("s", &stamp{Token: 8})
	x.method = http.MethodGet
	_, err := forwarder.forward(t.Context(), x, nil)
	is.True(errors.Is(err, errNoOwner)) // the state of a job
	x.id = ""
	_, err = forwarder.forward(t.Context(), x, nil)
	is.True(errors.Is(err, errNoOwner)) // the number of waiting jobs
}

// Guards against a daemon that can't submit jobs, since the owner can't open connections to it, although the owner's answers
// reach it.
func TestJobIsAcceptedIfTheForwarderCannotBeAsked(t *testing.T) {
	is := is.New(t)
	owner, _ := ownerDaemon(t)
	pass(owner, time.Minute)
	forwarder := newForwarder(t)
	forwarder.addr = "127.0.0.1:1"
	forwarder.setOwnerHint("s", newLossyServer(t, owner).addr())
	x, spec := lateCall()
	a, err := forwarder.forward(t.Context(), x, spec)
	is.NoErr(err)
	is.Equal(a.Outcome, dispatch.Accepted)
}

// Guards against a late copy of an offer: its sender counts on the end of the offer after offerTime and its next write.
func TestLateOfferIsNotTaken(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	d.workCtx = t.Context()
	store := &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	d.Store = store
	key := old.ownerKey()
	record := func(version uint64) cuminstair.Record {
		value := fmt.Sprintf(`{"name":"d3","run":"run3","addr":"d3:1","seq":%d}`, version)
		return cuminstair.Record{RecordKey: key, Value: []byte(value), Version: version}
	}
	offer := `{"service":"s","run":"run3","version":4,"seq":4}` // of the record when the offer was made
	d.view.Apply(peerTime, []cuminstair.Record{record(4)})
	d.view.Apply(peerTime, []cuminstair.Record{record(5)}) // the owner has written since
	is.Equal(post(d, offerPath, offer), `{"taken":false}`)
}

// Guards against a refusal of a former owner of an earlier version, whose answers have no stamp, during a rolling upgrade.
func TestRefusalWithoutAStampIsNotToldOnceAnOwnerHasStamped(t *testing.T) {
	is := is.New(t)
	former, r := ownerDaemon(t)
	setStoreDown(r, true)
	present, r := ownerDaemon(t)
	r.token = 8
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var c callRequest
		_ = json.NewDecoder(q.Body).Decode(&c)
		c.Stamp = nil // an earlier version doesn't know it
		body, _ := json.Marshal(c)
		var a callReply
		_ = json.Unmarshal([]byte(post(former, q.URL.Path, string(body))), &a)
		a.Stamp = nil
		_ = json.NewEncoder(w).Encode(a)
	}))
	defer earlier.Close()
	server, forwarder := newLossyServer(t, present), newForwarder(t)
	x, spec := lateCall()
	x.id = "00000000000000bb"
	forwarder.setOwnerHint("s", server.addr())
	_, err := forwarder.forward(t.Context(), x, spec) // the forwarder has the present owner's stamp
	is.NoErr(err)
	x, _ = lateCall()
	late := giveUp(t, forwarder, server, x, spec)
	forwarder.setOwnerHint("s", earlier.Listener.Addr().String())
	a, err := forwarder.forward(t.Context(), x, spec)
	told := err == nil && a.denies()
	is.True(!told || deliver(t, present, late).Outcome != dispatch.Accepted)
}

// Guards against a job that runs after a former owner has denied its cancellation: the present owner does not know of the
// denial and accepts a late copy of the submission. The store has no record of the job at the time of the denial.
func TestLateCopyIsNotAcceptedAfterACancellationAtAFormerOwner(t *testing.T) {
	is := is.New(t)
	former, _ := ownerDaemon(t)
	former.readFailed.Store(true) // the store does not confirm it
	present, _, owner := presentOwner(t)
	former.Store = &recordList{records: []cuminstair.Record{owner}}
	server, forwarder := newLossyServer(t, present), newForwarder(t)
	x, spec := lateCall()
	x.id = "00000000000000bb"
	forwarder.setOwnerHint("s", server.addr())
	_, err := forwarder.forward(t.Context(), x, spec) // the forwarder has the present owner's stamp
	is.NoErr(err)
	x, _ = lateCall()
	late := giveUp(t, forwarder, server, x, spec)
	x.method = http.MethodDelete
	told := callerStatus(t, former, x) == http.StatusGone
	is.True(!told || deliver(t, present, late).Outcome != dispatch.Accepted)
}
