package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// Guards against an owner that counts as alive by its first heartbeat after a cut, although another daemon may have taken its
// service over meanwhile: the heartbeat is stored in any case.
func TestHeartbeatAfterACutIsNoProofOfOwnership(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	r := newRunner(d, "s", 9, ownership.Owner{Name: "d1"}, true)
	r.confirmedAt = peerTime
	before, after := peerTime, peerTime.Add(2*time.Second)
	d.wroteAt.Store(&before)
	is.Equal(r.aliveAt(), before)
	d.wroteAt.Store(&after)
	is.True(r.aliveAt().Before(after)) // the store has not named this owner since the cut
}

// Guards against a restarted daemon whose first record looks older than that of its earlier run, and is ignored.
func TestRecordHasAGenerationAboveEarlierRuns(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	key := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: "d1"}
	store := &conditionalStore{rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	d.Store, d.Settings.Name, d.runID = store, "d1", "run1"
	d.writeHeartbeat(t.Context())
	is.Equal(len(store.rows), 0) // the records have not been read
	earlier, err := json.Marshal(ownership.Node{Run: "run0", Generation: 4})
	is.NoErr(err)
	d.view.Apply(peerTime, []cuminstair.Record{{RecordKey: key, Value: earlier, Version: 3}})
	at := peerTime
	d.readAt.Store(&at)
	d.writeHeartbeat(t.Context())
	var written ownership.Node
	is.NoErr(json.Unmarshal(store.rows[key].Value, &written))
	is.Equal(written.Generation, uint64(5))
}

// Guards against an owner that counts as alive while an offer of its service may still be accepted: TCP may deliver it at any time,
// and only a later write of the owner record makes it void.
func TestOffersCountUntilALaterWrite(t *testing.T) {
	is := is.New(t)
	d, r := peerDaemon()
	r.owner, r.inflight, r.failingSince = ownership.Owner{Name: "d1", Run: "run1", Seq: 4}, &dispatch.Batch{}, peerTime.Add(-time.Second)
	r.step(t.Context(), peerTime) // offers the service, since the store is not read
	is.True(r.offered)
	back := peerTime.Add(time.Minute)
	d.readAt.Store(&back)
	r.batchCommitted(back, back, back, r.inflight, 8) // the write that was in flight at the offer
	is.True(r.aliveAt().IsZero())
	r.owner.Seq++
	r.batchCommitted(back, back, back, &dispatch.Batch{}, 9)
	is.Equal(r.aliveAt(), back)
}
