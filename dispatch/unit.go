package dispatch

import (
	"encoding/json"
	"time"

	"cuminstair.org/cuminstair"
)

// The store may refuse a transaction for good, since one of its records exceeds a limit. A batch that was refused is written again in
// smaller batches until one unit of records is left, and only that unit is withheld from then on: all others are stored.

// Times of the units that the store has refused. They are written again, in a batch of their own, after minRefusedPause, and then after
// twice the pause each time, up to maxRefusedPause. One of them is written in retryGap.
const (
	minRefusedPause = 15 * time.Second
	maxRefusedPause = 10 * time.Minute
	retryGap        = time.Second
)

// unit is a set of record changes that are stored together or not at all.
type unit struct {
	puts    []cuminstair.RecordPut
	deletes []cuminstair.RecordKey
	// again adds the records as they are then to an empty batch, or makes a later one write them. It returns false if they are no longer
	// needed.
	again func(b *Batch) bool
	// refused, if not nil, is called when the unit can't be stored. It returns true if the records will be written in another form.
	refused func(now time.Time) bool
}

// entries returns the number of entries in the transaction.
func (u *unit) entries() int { return len(u.puts) + len(u.deletes) }

// bytes returns the size of the values.
func (u *unit) bytes() int {
	size := 0
	for _, p := range u.puts {
		size += len(p.Value)
	}
	return size
}

// key names the unit.
func (u *unit) key() cuminstair.RecordKey {
	if len(u.puts) > 0 {
		return u.puts[0].RecordKey
	}
	return u.deletes[0]
}

// largest returns the record with the longest value, or with the first key if nothing is put.
func (u *unit) largest() cuminstair.RecordPut {
	r := cuminstair.RecordPut{RecordKey: u.key()}
	for _, p := range u.puts {
		if len(p.Value) >= len(r.Value) {
			r = p
		}
	}
	return r
}

// refusal is what is kept of a unit that the store has refused.
type refusal struct {
	pause   time.Duration // until the next attempt
	retryAt time.Time
	due     bool // the next batch may have it
	again   func(b *Batch) bool
}

// addResult tells what became of a unit.
type addResult uint8

const (
	unitAdded    addResult = iota // it is in the batch
	unitNoRoom                    // a later batch has to write it
	unitWithheld                  // the store has refused it
)

// isFull reports whether the batch takes no more units.
func (b *Batch) isFull() bool {
	return b.size > batchBytes || b.maxUnits > 0 && len(b.units) >= b.maxUnits
}

// add adds a unit to the batch. The first unit always has room.
func (s *Service) add(b *Batch, u unit) addResult {
	if len(b.units) > 0 && (b.isFull() || b.entries()+u.entries() > batchPuts || b.size+u.bytes() > batchBytes) {
		return unitNoRoom
	}
	if r := s.refused[u.key()]; r != nil {
		if !r.due {
			return unitWithheld
		}
		r.due = false
	}
	b.units = append(b.units, u)
	b.Puts = append(b.Puts, u.puts...)
	b.Deletes = append(b.Deletes, u.deletes...)
	b.size += u.bytes()
	return unitAdded
}

// Refused is called instead of NotStored when the store will never store a batch as it is.
func (s *Service) Refused(now time.Time, b *Batch) {
	s.NotStored(b)
	if n := len(b.units); n > 1 {
		s.unitLimit = n / 2
		return
	}
	u := b.units[0]
	if u.refused != nil && u.refused(now) {
		return
	}
	r := s.refused[u.key()]
	if r == nil {
		s.counts.Withheld++
		large := u.largest()
		s.Log.Error("dispatch: the store refuses a record", "service", s.Name, "table", large.Table, "key", large.Key, "bytes", len(large.Value),
			"limit", maxValue)
		r = &refusal{pause: minRefusedPause / 2}
		s.refused[u.key()] = r
	}
	r.pause = min(2*r.pause, maxRefusedPause)
	r.retryAt, r.again = now.Add(r.pause), u.again
}

// unitsStored records that the store has taken the units of a batch.
func (s *Service) unitsStored(b *Batch) {
	if len(b.units) == 0 {
		return
	}
	if s.unitLimit *= 2; s.unitLimit > batchPuts {
		s.unitLimit = 0
	}
	for i := range b.units {
		delete(s.refused, b.units[i].key())
	}
}

// retryBatch returns a batch with the unit that the store has refused whose time has come, or nil.
func (s *Service) retryBatch(now time.Time) *Batch {
	if len(s.refused) == 0 || now.Sub(s.retriedAt) < retryGap {
		return nil
	}
	s.retriedAt = now
	var first cuminstair.RecordKey
	for key, r := range s.refused {
		if f := s.refused[first]; f == nil || r.retryAt.Before(f.retryAt) || r.retryAt.Equal(f.retryAt) && key.Key < first.Key {
			first = key
		}
	}
	r := s.refused[first]
	if now.Before(r.retryAt) {
		return nil
	}
	r.due, r.retryAt = true, now.Add(r.pause)
	b := s.newBatch(now)
	b.maxUnits = 1
	if !r.again(b) {
		delete(s.refused, first)
	}
	if b.Empty() {
		return nil
	}
	return b
}

// fitValue encodes a record of as many of n entries as a value may have.
func fitValue(n int, record func(n int) any) []byte {
	for {
		// Encoding records never fails.
		data, _ := json.Marshal(record(n))
		if len(data) <= maxValue {
			return data
		}
		n = n * 3 / 4
	}
}
