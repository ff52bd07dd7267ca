package entry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// startingStore is a store in which an owner record is written right after each list of parts.
type startingStore struct {
	*conditionalStore
	late cuminstair.Record
}

// Parts implements cuminstair.RecordStore.
func (s *startingStore) Parts(context.Context, string) ([]string, error) {
	parts := []string{ownership.NodePart}
	if _, ok := s.rows[s.late.RecordKey]; ok {
		parts = append(parts, s.late.Part)
	}
	s.version = s.late.Version
	s.rows[s.late.RecordKey] = s.late
	return parts, nil
}

// Changes implements cuminstair.RecordStore.
func (s *startingStore) Changes(_ context.Context, table string, after uint64, _ time.Duration) ([]cuminstair.Record, uint64, error) {
	var list []cuminstair.Record
	for key, r := range s.rows {
		if key.Table == table && r.Version > after {
			list = append(list, r)
		}
	}
	return list, s.version, nil
}

// Guards against a daemon that never learns of an owner record which was first written while it read all of them, and tries to
// take the service over again and again.
func TestOwnerRecordWrittenDuringTheFirstRead(t *testing.T) {
	is := is.New(t)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.HostsPart, Key: ownership.OwnerKey}
	store := &startingStore{
		conditionalStore: &conditionalStore{version: 3, rows: map[cuminstair.RecordKey]cuminstair.Record{}},
		late:             cuminstair.Record{RecordKey: key, Version: 4, Value: []byte(`{"name":"d2","run":"r2","addr":"d2:1","seq":1}`)},
	}
	d := &Daemon{Store: store, Timer: fixedTimer{now: peerTime}, Log: hclog.NewNullLogger(), view: ownership.NewView("d1", "r1")}
	is.NoErr(d.readOwners(t.Context()))
	is.NoErr(d.readOwners(t.Context()))
	owner, version := d.view.Owner(ownership.HostsPart)
	is.Equal(owner.Name, "d2")
	is.Equal(version, uint64(4))
}
