// Package lease elects the daemon that controls a data centre. The lease is one row of the platform's table, renewed by
// its holder and taken over by another daemon of the same data centre when it has not changed for too long.
//
// Clocks of different hosts are never compared. A holder measures its term from the moment before it sent the last
// successful write; an observer measures a longer term from the moment it first read that write. The holder's term
// therefore ends before another daemon takes over. If a former holder does not notice the end of its term, its writes
// fail the version check that each of them includes.
package lease

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
)

// Defaults of a Lease.
const (
	// DefaultTerm is long enough for a few renewals to be lost and short enough that a killed holder is replaced
	// within a minute: another daemon waits for two terms and a jitter of up to one term.
	DefaultTerm = 15 * time.Second
	// renewalsPerTerm is the number of renewals in one term.
	renewalsPerTerm = 3
)

// Prefix is the key prefix of lease rows.
const Prefix = "lease/"

// Key returns the key of the lease row of a data centre.
func Key(centre string) string { return Prefix + centre }

// Record is the value of a lease row.
type Record struct {
	Holder string `json:"holder"` // name of the daemon; empty after a step down
	Epoch  uint64 `json:"epoch"`  // increases with each new holder, never decreases
}

// Fence ties a write to the lease under which it is made: the write fails once the lease row has changed.
type Fence struct {
	Epoch uint64
	Check cuminstair.Check // included in every commit of the holder
}

// Lease is the state machine of one daemon for the lease of its data centre. It is not safe for concurrent use.
type Lease struct {
	Centre string        // data centre of this daemon, which competes only for its lease
	Self   string        // name of this daemon
	Boot   string        // unique for each process of this daemon, so that commit ids are never reused
	Term   time.Duration // 0 means DefaultTerm
	Rand   *rand.Rand

	observed  bool // Observe or a write has set the row
	record    Record
	version   uint64        // version of the row, 0 if it does not exist
	firstSeen time.Time     // when this daemon first saw this version
	jitter    time.Duration // random, below one term; see mayAcquire

	lastSent   time.Time // when this daemon sent its last successful write
	pending    *attempt  // a write whose outcome is unknown
	writeCount uint64
}

// attempt is a write of the lease row.
type attempt struct {
	id     string
	sent   time.Time
	record Record
}

func (l *Lease) term() time.Duration {
	if l.Term > 0 {
		return l.Term
	}
	return DefaultTerm
}

// Held returns the fence if this daemon may act under the lease at now. The caller must read now directly before the
// call, from a clock that continues while the process is paused.
func (l *Lease) Held(now time.Time) (Fence, bool) {
	if !l.isHolder() || l.pending != nil || now.Sub(l.lastSent) >= l.term() {
		return Fence{}, false
	}
	return Fence{Epoch: l.record.Epoch, Check: l.check()}, true
}

// Until returns the time at which the lease expires unless it is renewed.
func (l *Lease) Until() time.Time { return l.lastSent.Add(l.term()) }

// Holder returns the holder and the epoch of the row as last known.
func (l *Lease) Holder() (string, uint64) { return l.record.Holder, l.record.Epoch }

func (l *Lease) isHolder() bool { return l.observed && l.record.Holder == l.Self }

func (l *Lease) check() cuminstair.Check {
	return cuminstair.Check{Key: Key(l.Centre), Version: l.version}
}

// Next returns the write to make now, or nil. The caller passes its outcome to Result, and calls Observe with the row
// before the next call of Next.
func (l *Lease) Next(now time.Time) *cuminstair.Commit {
	switch {
	case !l.observed || l.pending != nil:
		return nil
	case l.isHolder() && now.Sub(l.lastSent) < l.term():
		if now.Sub(l.lastSent) < l.term()/renewalsPerTerm {
			return nil
		}
		return l.write(now, l.record)
	case !l.mayAcquire(now):
		return nil
	}
	return l.write(now, Record{Holder: l.Self, Epoch: l.record.Epoch + 1})
}

// mayAcquire reports whether the lease may be acquired. The observer's term is twice the holder's, which allows for
// clocks that run at different rates; the jitter keeps the daemons of a data centre from writing at the same time.
func (l *Lease) mayAcquire(now time.Time) bool {
	if l.version == 0 || l.record.Holder == "" {
		return now.Sub(l.firstSeen) >= l.jitter/4
	}
	return now.Sub(l.firstSeen) >= 2*l.term()+l.jitter
}

// StepDown returns the write that gives up the lease at a planned stop, or nil if this daemon does not hold it.
func (l *Lease) StepDown(now time.Time) *cuminstair.Commit {
	if _, ok := l.Held(now); !ok {
		return nil
	}
	return l.write(now, Record{Epoch: l.record.Epoch})
}

func (l *Lease) write(now time.Time, r Record) *cuminstair.Commit {
	l.writeCount++
	a := &attempt{id: fmt.Sprintf("lease/%s/%s/%d", l.Self, l.Boot, l.writeCount), sent: now, record: r}
	l.pending = a
	// A Record of a string and a number always encodes.
	value, _ := json.Marshal(r)
	return &cuminstair.Commit{
		ID:     a.id,
		Checks: []cuminstair.Check{l.check()},
		Puts:   []cuminstair.Put{{Key: Key(l.Centre), Value: value}},
	}
}

// Result processes the outcome of the write that Next or StepDown returned; version is 0 if it failed. A write with an
// unknown outcome stays pending until the next Observe.
func (l *Lease) Result(now time.Time, version uint64, outcomeKnown bool) {
	a := l.pending
	if a == nil || !outcomeKnown {
		return
	}
	l.pending = nil
	if version > 0 {
		l.applyWrite(now, a, version)
	}
}

// applyWrite applies a write of this daemon that took effect. The term starts at the time at which the write was sent.
func (l *Lease) applyWrite(now time.Time, a *attempt, version uint64) {
	l.lastSent = a.sent
	l.set(now, a.record, version)
}

func (l *Lease) set(now time.Time, r Record, version uint64) {
	l.observed = true
	if version != l.version || l.firstSeen.IsZero() {
		l.firstSeen = now
		l.jitter = time.Duration(l.Rand.Int64N(int64(l.term())))
	}
	l.record = r
	l.version = version
}

// Observe processes the lease row as read from the table; nil means that the row does not exist. If the answer to a write
// was lost, the id of the commit that wrote the row shows whether the write took effect.
func (l *Lease) Observe(now time.Time, row *cuminstair.Row) error {
	var r Record
	var version uint64
	if row != nil && !row.Deleted {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return fmt.Errorf("decode lease row of %s: %w", l.Centre, err)
		}
		version = row.Version
	}
	if a := l.pending; a != nil {
		l.pending = nil
		if row != nil && row.Write == a.id {
			l.applyWrite(now, a, version)
			return nil
		}
	}
	if r.Holder != l.Self || version != l.version {
		// The row was written by another daemon, or by an earlier process of the same name.
		l.lastSent = time.Time{}
	}
	l.set(now, r, version)
	return nil
}
