package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// recordWait is how long save waits for the store. A store that answers does so in a few milliseconds.
const recordWait = 100 * time.Millisecond

// recordWriter stores the records of the controller of hosts without blocking it: hosts are moved while the store does
// not answer. Each write has the version of the record as its condition, so that a write that the store carries out late
// can't replace a newer value.
type recordWriter struct {
	d     *Daemon
	token uint64 // of the controller; its records are written only while it is the owner

	mu      sync.Mutex
	records map[cuminstair.RecordKey]*writtenRecord
}

// writtenRecord is the state of a record as far as its writer knows.
type writtenRecord struct {
	version uint64 // 0: unknown, or the record does not exist
	value   string
	known   bool          // the store holds value
	writing chan struct{} // closed at the end of the write in flight; nil: none
}

func newRecordWriter(d *Daemon, token uint64) *recordWriter {
	return &recordWriter{d: d, token: token, records: map[cuminstair.RecordKey]*writtenRecord{}}
}

// save reports whether the store holds the value. If it does not, save starts a write, unless one is in flight, and waits
// for recordWait at most; the caller calls it again later.
func (w *recordWriter) save(ctx context.Context, key cuminstair.RecordKey, value []byte) bool {
	w.mu.Lock()
	rec := w.records[key]
	if rec == nil {
		rec = &writtenRecord{}
		w.records[key] = rec
	}
	if rec.writing == nil && !rec.holds(value) {
		rec.writing = make(chan struct{})
		go w.write(ctx, key, rec, rec.version, value)
	}
	writing := rec.writing
	w.mu.Unlock()
	if writing != nil {
		w.await(ctx, writing)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return rec.holds(value)
}

func (r *writtenRecord) holds(value []byte) bool { return r.known && r.value == string(value) }

// await waits for the end of a write, for recordWait at most.
func (w *recordWriter) await(ctx context.Context, writing <-chan struct{}) {
	expired := make(chan struct{})
	stop := w.d.Timer.After(recordWait, func(time.Time) { close(expired) })
	defer stop()
	select {
	case <-writing:
	case <-expired:
	case <-ctx.Done():
	}
}

// write writes a record on the condition of its version, once more if another version is found.
func (w *recordWriter) write(ctx context.Context, key cuminstair.RecordKey, rec *writtenRecord, version uint64, value []byte) {
	got, err := w.d.Store.Commit(ctx, w.transaction(key, version, value))
	var conflict *cuminstair.Conflict
	if errors.As(err, &conflict) {
		version = versionIn(conflict, key)
		got, err = w.d.Store.Commit(ctx, w.transaction(key, version, value))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(rec.writing)
	rec.writing = nil
	if err != nil {
		w.d.Log.Debug("entry: can't write a record of the controller of hosts", "key", key.Key, "error", err)
		rec.version, rec.known = version, false
		return
	}
	rec.version, rec.value, rec.known = got, string(value), true
}

// transaction writes one record. Records in the part of the owner record are written only by the owner.
func (w *recordWriter) transaction(key cuminstair.RecordKey, version uint64, value []byte) cuminstair.Tx {
	checks := []cuminstair.RecordCheck{{RecordKey: key, Version: version}}
	if key.Part == ownership.HostsPart {
		owner := cuminstair.RecordKey{Table: ownership.Table, Part: key.Part, Key: ownership.OwnerKey}
		checks = append(checks, cuminstair.RecordCheck{RecordKey: owner, Version: w.token})
	}
	return cuminstair.Tx{Checks: checks, Puts: []cuminstair.RecordPut{{RecordKey: key, Value: value}}}
}

// versionIn returns the version of a record in a conflict, 0 if the record does not exist.
func versionIn(c *cuminstair.Conflict, key cuminstair.RecordKey) uint64 {
	for _, r := range c.Records {
		if r.RecordKey == key && !r.Deleted {
			return r.Version
		}
	}
	return 0
}
