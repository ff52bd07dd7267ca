package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// handleEvents runs the events that wait for the runner.
func (r *runner) handleEvents(now time.Time) {
	for len(r.events) > 0 {
		(<-r.events)(now)
	}
}

// Guards against a new owner that waits for one lease only, since its predecessor has stopped, although the owner before
// that one is cut off and still gives orders: tasks would run twice.
func TestFullWaitAfterAnUnsettledOwner(t *testing.T) {
	for name, unsettled := range map[string]bool{"settled": false, "unsettled": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, _ := peerDaemon()
			released := ownership.Owner{Seq: 5, Unsettled: unsettled}
			r := newRunner(d, "s", 9, ownership.Owner{Unsettled: released.SuccessorMustWait(7)}, true)
			d.stopEarlierOwner(t.Context(), r, released, 7)
			r.handleEvents(peerTime)
			is.Equal(r.unsettled(peerTime), unsettled)
			is.Equal(r.state.EarlierOwnerGrace == ownerGrace, unsettled)
		})
	}
}

// Guards against an owner record that hides from the next owner that earlier ones may still give orders.
func TestOwnerRecordTellsOfUnsettledOwners(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	store := &conditionalStore{version: 9, rows: map[cuminstair.RecordKey]cuminstair.Record{key: {RecordKey: key, Version: 9}}}
	d.Store = store
	former := ownership.Owner{Name: "d2", Run: "run2"}
	is.True(former.SuccessorMustWait(7))
	is.True(!ownership.Owner{}.SuccessorMustWait(0))
	r := newRunner(d, "s", 9, ownership.Owner{Name: "d1", Run: "run1", Seq: 1, Unsettled: true}, true)
	is.True(r.unsettled(peerTime.Add(ownerGrace - 1)))
	is.True(!r.unsettled(peerTime.Add(ownerGrace)))
	r.release(context.Background())
	var released ownership.Owner
	is.NoErr(json.Unmarshal(store.rows[key].Value, &released))
	is.Equal(released.Name, "")
	is.True(released.Unsettled)
}

// post sends a call of another daemon and returns the answer.
func post(d *Daemon, path, body string) string {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	answer := httptest.NewRecorder()
	d.peerServer().Handler.ServeHTTP(answer, req)
	return strings.TrimSpace(answer.Body.String())
}

// Guards against a daemon that answers that it has stopped while it takes the service over, and gives orders afterwards.
func TestStopEndsATakeoverInProgress(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	d.taking["s"] = true
	is.Equal(post(d, stopPath, `{"service":"s","token":12,"run":"run1","owner":"d2:1"}`), `{"stopped":true}`)
	is.True(!d.install(newRunner(d, "s", 11, ownership.Owner{}, true)))
	is.True(d.runners["s"] == nil)
	is.True(d.install(newRunner(d, "s", 13, ownership.Owner{}, true)))
}

// Guards against calls that go to a former owner while the store is not read, because of its order to stop, which TCP delivers late.
func TestLateStopIsNoHintOfTheOwner(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	stop := func(token int, owner string) {
		post(d, stopPath, fmt.Sprintf(`{"service":"s","token":%d,"run":"run1","owner":%q}`, token, owner))
	}
	hint := func() string {
		_, addr := d.owner("s")
		return addr
	}
	stop(12, "d2:1")
	is.Equal(hint(), "d2:1")
	stop(11, "d3:1")
	is.Equal(hint(), "d2:1")
	owner, err := json.Marshal(ownership.Owner{Name: "d4", Run: "run4", Addr: "d4:1"})
	is.NoErr(err)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	d.view.Apply(peerTime.Add(-time.Hour), []cuminstair.Record{{RecordKey: key, Value: owner, Version: 20}})
	d.ownerHints = map[string]ownerHint{}
	stop(19, "d5:1")
	is.Equal(hint(), "d4:1")
	stop(21, "d5:1")
	is.Equal(hint(), "d5:1")
}

// Guards against a former owner that was cut off and offers its service, which would take it from the present owner.
func TestOffersOfFormerOwnersAreRefused(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	d.workCtx = t.Context()
	d.Store = &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	owner, err := json.Marshal(ownership.Owner{Name: "d3", Run: "run3", Addr: "d3:1"})
	is.NoErr(err)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	d.view.Apply(peerTime, []cuminstair.Record{{RecordKey: key, Value: owner, Version: 4}})
	is.Equal(post(d, offerPath, `{"service":"s","run":"run2"}`), `{"taken":false}`)
	is.True(!d.taking["s"])
}

// Guards against an offer that TCP delivers after its sender reaches the store again: two daemons would act as the owner until
// the sender notices. An offer of an earlier version has no number.
func TestLateOffersAreRefused(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	d.workCtx = t.Context()
	d.Store = &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	owner, err := json.Marshal(ownership.Owner{Name: "d3", Run: "run3", Addr: "d3:1", Seq: 6})
	is.NoErr(err)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	d.view.Apply(peerTime, []cuminstair.Record{{RecordKey: key, Value: owner, Version: 4}})
	is.Equal(post(d, offerPath, `{"service":"s","run":"run3","seq":5}`), `{"taken":false}`)
	is.Equal(post(d, offerPath, `{"service":"s","run":"run3"}`), `{"taken":false}`)
	is.Equal(post(d, offerPath, `{"service":"s","run":"run3","seq":6}`), `{"taken":true}`)
}

// Guards against an owner record that makes an offer valid again which the same daemon has sent in an earlier ownership.
func TestNumbersOfOwnerRecordsRiseAcrossOwners(t *testing.T) {
	is := is.New(t)
	d, old := peerDaemon()
	delete(d.runners, old.service)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: "s", Key: ownership.OwnerKey}
	store := &conditionalStore{version: 4, rows: map[cuminstair.RecordKey]cuminstair.Record{key: {RecordKey: key, Version: 4}}}
	d.Store = store
	d.stopping.Store(true) // ends the takeover once the record is written
	d.takeOver(t.Context(), "s", ownership.Owner{Name: "d3", Run: "run3", Seq: 6}, 4)
	var written ownership.Owner
	is.NoErr(json.Unmarshal(store.rows[key].Value, &written))
	is.Equal(written.Name, d.Settings.Name)
	is.Equal(written.Seq, int64(7))
}

// slowStore is a store whose answers take a time.
type slowStore struct {
	conditionalStore
	timer *movingTimer
	delay time.Duration
}

// Commit implements cuminstair.RecordStore.
func (s *slowStore) Commit(ctx context.Context, tx cuminstair.Tx) (uint64, error) {
	s.timer.now = s.timer.now.Add(s.delay)
	return s.conditionalStore.Commit(ctx, tx)
}

// movingTimer is a timer service whose time the test sets.
type movingTimer struct {
	cuminstair.Timer
	now time.Time
}

// Now implements cuminstair.Timer.
func (t *movingTimer) Now() time.Time { return t.now }

// Guards against an owner that counts as confirmed when it processes the answer to its takeover, long after the store gave it:
// another daemon may have taken over since.
func TestTakeoverIsConfirmedWhenItIsSent(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	timer := &movingTimer{now: peerTime}
	d.Timer = timer
	d.Store = &slowStore{conditionalStore: conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}, timer: timer, delay: 5 * time.Second}
	_, sent, err := d.writeOwner(context.Background(), "s", 0, ownership.Owner{Name: "d1"})
	is.NoErr(err)
	is.Equal(sent, peerTime)
}
