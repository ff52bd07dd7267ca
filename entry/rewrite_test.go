package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// Guards against an owner that counts as alive from the time at which it repeated a write: the conflict shows that an earlier
// attempt was stored, and other daemons count from that one.
func TestRepeatedWriteCountsFromItsFirstAttempt(t *testing.T) {
	is := is.New(t)
	d, _ := peerDaemon()
	r := newRunner(d, "s", 9, ownership.Owner{Name: "d1"}, true)
	r.owner.Seq++
	r.inflight, r.sentAt = &dispatch.Batch{}, peerTime
	value, err := json.Marshal(r.owner)
	is.NoErr(err)
	repeated := peerTime.Add(1600 * time.Millisecond)
	r.handleCommit(context.Background(), repeated.Add(time.Millisecond), repeated, 0, &cuminstair.Conflict{
		Records: []cuminstair.Record{{RecordKey: r.ownerKey(), Value: value, Version: 10}},
	})
	is.Equal(r.inflight, nil)
	is.True(!r.wroteAt.After(peerTime))
}
