package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// expiringTimer is a timer service whose timers expire at once.
type expiringTimer struct{ cuminstair.Timer }

// After implements cuminstair.Timer.
func (expiringTimer) After(_ time.Duration, fn func(time.Time)) func() bool {
	fn(time.Time{})
	return func() bool { return false }
}

// waitingTimer is a timer service whose timers do not expire.
type waitingTimer struct{ cuminstair.Timer }

// After implements cuminstair.Timer.
func (waitingTimer) After(time.Duration, func(time.Time)) func() bool {
	return func() bool { return true }
}

// conditionalStore is a store that checks the conditions of transactions.
type conditionalStore struct {
	cuminstair.RecordStore
	answer  chan struct{} // if set, calls are answered once it is closed
	mu      sync.Mutex
	version uint64
	rows    map[cuminstair.RecordKey]cuminstair.Record
}

// Commit implements cuminstair.RecordStore.
func (s *conditionalStore) Commit(_ context.Context, tx cuminstair.Tx) (uint64, error) {
	if s.answer != nil {
		<-s.answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Checks {
		if s.rows[c.RecordKey].Version != c.Version {
			return 0, &cuminstair.Conflict{Records: s.checked(tx)}
		}
	}
	s.version++
	for _, p := range tx.Puts {
		s.rows[p.RecordKey] = cuminstair.Record{RecordKey: p.RecordKey, Value: p.Value, Version: s.version}
	}
	for _, key := range tx.Deletes {
		delete(s.rows, key)
	}
	return s.version, nil
}

// Read implements cuminstair.RecordStore.
func (s *conditionalStore) Read(_ context.Context, table, part, from, to string) ([]cuminstair.Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []cuminstair.Record
	for key, r := range s.rows {
		if key.Table == table && key.Part == part && key.Key >= from && (to == "" || key.Key < to) {
			list = append(list, r)
		}
	}
	return list, s.version, nil
}

func (s *conditionalStore) checked(tx cuminstair.Tx) []cuminstair.Record {
	var list []cuminstair.Record
	for _, c := range tx.Checks {
		if r, ok := s.rows[c.RecordKey]; ok {
			list = append(list, r)
		}
	}
	return list
}

// setOwner makes another controller the owner.
func (s *conditionalStore) setOwner(token uint64) {
	owner := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.HostsPart, Key: ownership.OwnerKey}
	s.rows[owner] = cuminstair.Record{RecordKey: owner, Version: token}
}

const controllerToken = 7

func newRecordStore() *conditionalStore {
	s := &conditionalStore{version: controllerToken, rows: map[cuminstair.RecordKey]cuminstair.Record{}}
	s.setOwner(controllerToken)
	return s
}

var planRecord = cuminstair.RecordKey{Table: waveTable, Part: ownership.HostsPart, Key: planKey}

// Guards against hosts that are not moved for the time of a call to the store, about 1.5 s, while the store does not
// answer.
func TestSilentStoreDoesNotHoldUpTheControllerOfHosts(t *testing.T) {
	is := is.New(t)
	s := newRecordStore()
	s.answer = make(chan struct{})
	w := newRecordWriter(&Daemon{Timer: expiringTimer{}, Store: s, Log: hclog.NewNullLogger()}, controllerToken)
	is.Equal(w.save(context.Background(), planRecord, []byte("a")), false) // returns without an answer
	is.Equal(w.save(context.Background(), planRecord, []byte("b")), false) // one write is in flight
	close(s.answer)
	w.mu.Lock()
	first := w.records[planRecord].writing
	w.mu.Unlock()
	if first != nil {
		<-first
	}
	next := newRecordWriter(&Daemon{Timer: waitingTimer{}, Store: s, Log: hclog.NewNullLogger()}, controllerToken)
	is.True(next.save(context.Background(), planRecord, []byte("b")))
	is.Equal(string(s.rows[planRecord].Value), "b")
}

// Guards against a delayed write that replaces a newer value, and against a write of a controller that another one has
// replaced.
func TestRecordsAreWrittenOnTheirVersion(t *testing.T) {
	is := is.New(t)
	s := newRecordStore()
	d := &Daemon{Timer: waitingTimer{}, Store: s, Log: hclog.NewNullLogger()}
	w := newRecordWriter(d, controllerToken)
	is.True(w.save(context.Background(), planRecord, []byte("a")))
	delayed := w.transaction(planRecord, w.records[planRecord].version, []byte("b"))
	is.True(w.save(context.Background(), planRecord, []byte("c")))
	_, err := s.Commit(context.Background(), delayed)
	is.True(err != nil)
	is.Equal(string(s.rows[planRecord].Value), "c")

	is.True(newRecordWriter(d, controllerToken).save(context.Background(), planRecord, []byte("d"))) // after a restart
	s.setOwner(controllerToken + 1)
	is.Equal(w.save(context.Background(), planRecord, []byte("e")), false)
	is.Equal(string(s.rows[planRecord].Value), "d")
}
