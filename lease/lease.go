// Package lease decides who controls a data centre. The lease is one row of the platform's table, renewed by its holder
// and taken over by another daemon of the same data centre when it stops changing.
//
// No clocks are compared between hosts. A holder counts its term from the moment before it sent the last successful
// write; an observer counts a longer term from the moment it first saw that write. The holder therefore gives up before
// anyone takes over, and the version check that every write carries stops a holder that does not notice.
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
	// within half a minute.
	DefaultTerm = 15 * time.Second
	// renewals is how often a term is renewed.
	renewals = 3
)

// Prefix is the key prefix of lease rows.
const Prefix = "lease/"

// Key returns the key of the lease row of a data centre.
func Key(centre string) string { return Prefix + centre }

// Record is the value of a lease row.
type Record struct {
	Holder string `json:"holder"` // daemon, or empty after a step down
	Epoch  uint64 `json:"epoch"`  // rises with each holder, never falls
}

// Fence proves that a write is made under the lease.
type Fence struct {
	Epoch uint64
	Check cuminstair.Check // goes into every commit of the holder
}

// Lease is the state machine of one daemon for the lease of its data centre. It is not safe for concurrent use.
type Lease struct {
	Centre string        // data centre of this daemon; it competes for no other lease
	Self   string        // name of this daemon
	Run    string        // unique for each start of the process, so that commit ids are never reused
	Term   time.Duration // 0: DefaultTerm
	Rand   *rand.Rand

	known   bool // the row has been read
	record  Record
	version uint64    // version of the row, 0 if it does not exist
	seen    time.Time // when this version was first seen
	jitter  time.Duration

	sent    time.Time // when the last successful write of this daemon was sent
	pending *attempt  // a write whose outcome is not known
	count   uint64
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

// Held returns the fence if this daemon may act under the lease at now. now must be read after any pause, from a clock
// that goes on while the process is paused.
func (l *Lease) Held(now time.Time) (Fence, bool) {
	if !l.own() || l.pending != nil || now.Sub(l.sent) >= l.term() {
		return Fence{}, false
	}
	return Fence{Epoch: l.record.Epoch, Check: l.check()}, true
}

// Until returns when the lease ends if it is not renewed before.
func (l *Lease) Until() time.Time { return l.sent.Add(l.term()) }

// Holder returns the holder and the epoch in the row that was read last.
func (l *Lease) Holder() (string, uint64) { return l.record.Holder, l.record.Epoch }

func (l *Lease) own() bool { return l.known && l.record.Holder == l.Self }

func (l *Lease) check() cuminstair.Check {
	return cuminstair.Check{Key: Key(l.Centre), Version: l.version}
}

// Next returns the write to make now, or nil. The caller passes its outcome to Result, and the row to Observe before
// the next call of Next.
func (l *Lease) Next(now time.Time) *cuminstair.Commit {
	switch {
	case !l.known || l.pending != nil:
		return nil
	case l.own() && now.Sub(l.sent) < l.term():
		if now.Sub(l.sent) < l.term()/renewals {
			return nil
		}
		return l.write(now, l.record)
	case !l.free(now):
		return nil
	}
	return l.write(now, Record{Holder: l.Self, Epoch: l.record.Epoch + 1})
}

// free tells whether the lease may be taken. The observer's term is twice the holder's, which covers clocks that run
// at different rates; the jitter keeps the daemons of a data centre from colliding.
func (l *Lease) free(now time.Time) bool {
	if l.version == 0 || l.record.Holder == "" {
		return now.Sub(l.seen) >= l.jitter/4
	}
	return now.Sub(l.seen) >= 2*l.term()+l.jitter
}

// StepDown returns the write that frees the lease at a planned stop, or nil if it is not held.
func (l *Lease) StepDown(now time.Time) *cuminstair.Commit {
	if _, ok := l.Held(now); !ok {
		return nil
	}
	return l.write(now, Record{Epoch: l.record.Epoch})
}

func (l *Lease) write(now time.Time, r Record) *cuminstair.Commit {
	l.count++
	a := &attempt{id: fmt.Sprintf("lease/%s/%s/%d", l.Self, l.Run, l.count), sent: now, record: r}
	l.pending = a
	// A Record of a string and a number always encodes.
	value, _ := json.Marshal(r)
	return &cuminstair.Commit{
		ID:     a.id,
		Checks: []cuminstair.Check{l.check()},
		Puts:   []cuminstair.Put{{Key: Key(l.Centre), Value: value}},
	}
}

// Result takes the outcome of the write that Next or StepDown returned. A write with an uncertain outcome stays
// pending until Observe determines it.
func (l *Lease) Result(now time.Time, version uint64, settled bool) {
	a := l.pending
	if a == nil || !settled {
		return
	}
	l.pending = nil
	if version > 0 {
		l.adopt(now, a, version)
	}
}

// adopt records a write of this daemon that took effect. The term counts from when it was sent.
func (l *Lease) adopt(now time.Time, a *attempt, version uint64) {
	l.sent = a.sent
	l.set(now, a.record, version)
}

func (l *Lease) set(now time.Time, r Record, version uint64) {
	l.known = true
	if version != l.version || l.seen.IsZero() {
		l.seen = now
		l.jitter = time.Duration(l.Rand.Int64N(int64(l.term())))
	}
	l.record = r
	l.version = version
}

// Observe takes the lease row as read from the table; nil means that it does not exist. If the answer to a write was lost,
// the id of the commit that wrote the row shows whether the write took effect.
func (l *Lease) Observe(now time.Time, row *cuminstair.Row) error {
	var r Record
	var version uint64
	if row != nil && !row.Deleted {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return fmt.Errorf("read lease row of %s: %w", l.Centre, err)
		}
		version = row.Version
	}
	if a := l.pending; a != nil {
		l.pending = nil
		if row != nil && row.Write == a.id {
			l.adopt(now, a, version)
			return nil
		}
	}
	if r.Holder != l.Self || version != l.version {
		// The row was written by someone else, or by an earlier process of the same name.
		l.sent = time.Time{}
	}
	l.set(now, r, version)
	return nil
}
