package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
)

// Guards against taking an owner for gone that has written its owner record while it was probed: it relies on being the owner
// for some time after each write.
func TestOwnerThatWritesDuringAProbeIsNotUnreachable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	v := NewView("b", "run-b")
	node := func(name string, version uint64) cuminstair.Record {
		return cuminstair.Record{
			RecordKey: cuminstair.RecordKey{Table: Table, Part: NodePart, Key: name}, Version: version,
			Value: []byte(`{"run":"run-` + name + `","addr":"` + name + `:1","weight":1,"ready":true,"beat":1,"every":300}`),
		}
	}
	owner := func(version uint64) cuminstair.Record {
		return cuminstair.Record{
			RecordKey: cuminstair.RecordKey{Table: Table, Part: "s", Key: OwnerKey}, Version: version,
			Value: []byte(`{"name":"a","run":"run-a","addr":"a:1","seq":1}`),
		}
	}
	v.Apply(now, []cuminstair.Record{node("a", 1), node("b", 2), owner(3)})
	version := uint64(4)
	for range 2 {
		now = now.Add(500 * time.Millisecond)
		v.Apply(now, []cuminstair.Record{node("b", version)})
		version++
	}
	suspects := v.Suspects(now, []string{"s"})
	is.Equal(len(suspects), 1)
	now = now.Add(200 * time.Millisecond)
	v.Apply(now, []cuminstair.Record{node("b", version), owner(version + 1)}) // the owner commits a batch
	v.Unreachable(suspects[0])                                                // the probe fails after that
	_, alive := v.LiveOwner(now, "s")
	is.True(alive)
}
