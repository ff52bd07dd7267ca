package lease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/lease"
)

var start = time.Unix(1000, 0)

// leaseTable is a table with one row, the lease row.
type leaseTable struct {
	cuminstair.Row
}

// commit returns the new version of the row, or 0 if the check failed.
func (table *leaseTable) commit(c *cuminstair.Commit) uint64 {
	if c.Checks[0].Version != table.Version {
		return 0
	}
	table.Row = cuminstair.Row{Key: c.Puts[0].Key, Value: c.Puts[0].Value, Version: table.Version + 1, Write: c.ID}
	return table.Version
}

func (table *leaseTable) read() *cuminstair.Row {
	if table.Version == 0 {
		return nil
	}
	return &table.Row
}

func newLease(name string, seed uint64) *lease.Lease {
	return &lease.Lease{Centre: "a", Self: name, Boot: "1", Term: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 1))}
}

func step(is *is.I, l *lease.Lease, table *leaseTable, now time.Time) {
	is.Helper()
	is.NoErr(l.Observe(now, table.read()))
	if c := l.Next(now); c != nil {
		l.Result(now, table.commit(c), true)
	}
}

// Guards against two holders at once, epochs that decrease, and a lease that no daemon takes over, while daemons are
// paused for longer than the term and answers are lost after the write took effect.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 7))
		table := &leaseTable{}
		var leases []*lease.Lease
		pauseLeft := make([]int, 4)
		for i := range 4 {
			leases = append(leases, newLease(fmt.Sprint("d", i), seed*10+uint64(i)))
		}
		var epoch uint64
		secondsWithoutHolder := 0
		for s := range 2000 {
			now := start.Add(time.Duration(s) * time.Second)
			held := 0
			for i, l := range leases {
				if pauseLeft[i]--; pauseLeft[i] > 0 {
					if _, ok := l.Held(now); ok {
						held++ // a paused daemon counts as a holder until its term ends
					}
					continue
				}
				if rng.IntN(100) == 0 {
					pauseLeft[i] = 5 + rng.IntN(60)
				}
				is.NoErr(l.Observe(now, table.read()))
				if c := l.Next(now); c != nil {
					v := table.commit(c)
					l.Result(now, v, rng.IntN(4) > 0)
				}
				if f, ok := l.Held(now); ok {
					held++
					is.True(f.Epoch >= epoch)
					epoch = f.Epoch
				}
			}
			is.True(held <= 1)
			if secondsWithoutHolder++; held > 0 {
				secondsWithoutHolder = 0
			}
			is.True(secondsWithoutHolder < 120)
		}
		is.True(epoch > 2)
	}
}

// Guards against a holder that still acts under the lease after a long pause, and against a fence of that holder that
// still matches the lease row.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	table := &leaseTable{}
	a, b := newLease("a", 1), newLease("b", 2)
	for s := range 20 {
		step(is, a, table, start.Add(time.Duration(s)*time.Second))
	}
	now := start.Add(20 * time.Second)
	fence, ok := a.Held(now)
	is.True(ok)
	is.NoErr(b.Observe(now, table.read()))
	now = now.Add(40 * time.Second)
	_, ok = a.Held(now)
	is.True(!ok)
	step(is, b, table, now)
	newer, ok := b.Held(now)
	is.True(ok)
	is.Equal(newer.Epoch, fence.Epoch+1)
	is.True(fence.Check.Version != table.Version)
}

// Guards against a second write after the answer to the first write was lost.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	table := &leaseTable{}
	l := newLease("a", 1)
	now := start
	is.NoErr(l.Observe(now, nil))
	now = now.Add(10 * time.Second)
	c := l.Next(now)
	table.commit(c)
	l.Result(now, 0, false)
	_, ok := l.Held(now)
	is.True(!ok)
	is.True(l.Next(now) == nil)
	is.NoErr(l.Observe(now.Add(time.Second), table.read()))
	fence, ok := l.Held(now.Add(time.Second))
	is.True(ok)
	is.Equal(fence.Check.Version, table.Version)
	_, ok = l.Held(now.Add(10 * time.Second)) // the term starts when the write was sent
	is.True(!ok)
}

// Guards against a planned stop that leaves the data centre without a holder for two terms, and against a restarted
// daemon that acts under the lease of its earlier process.
func TestStepDownAndRestart(t *testing.T) {
	is := is.New(t)
	table := &leaseTable{}
	a, b := newLease("a", 1), newLease("b", 2)
	for s := range 10 {
		step(is, a, table, start.Add(time.Duration(s)*time.Second))
	}
	now := start.Add(10 * time.Second)
	restarted := newLease("a", 3)
	is.NoErr(restarted.Observe(now, table.read()))
	_, ok := restarted.Held(now)
	is.True(!ok)
	is.NoErr(b.Observe(now, table.read()))
	is.True(b.Next(now.Add(time.Second)) == nil)
	a.Result(now, table.commit(a.StepDown(now)), true)
	_, ok = a.Held(now)
	is.True(!ok)
	is.NoErr(b.Observe(now, table.read()))
	step(is, b, table, now.Add(5*time.Second))
	_, ok = b.Held(now.Add(5 * time.Second))
	is.True(ok)
}
