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

// row is a table with one row, the lease row.
type row struct {
	cuminstair.Row
}

func (r *row) commit(c *cuminstair.Commit) uint64 {
	if c.Checks[0].Version != r.Version {
		return 0
	}
	r.Row = cuminstair.Row{Key: c.Puts[0].Key, Value: c.Puts[0].Value, Version: r.Version + 1, Write: c.ID}
	return r.Version
}

func (r *row) read() *cuminstair.Row {
	if r.Version == 0 {
		return nil
	}
	return &r.Row
}

func daemon(name string, seed uint64) *lease.Lease {
	return &lease.Lease{Centre: "a", Self: name, Run: "1", Term: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 1))}
}

func step(is *is.I, l *lease.Lease, r *row, now time.Time) {
	is.Helper()
	is.NoErr(l.Observe(now, r.read()))
	if c := l.Next(now); c != nil {
		l.Result(now, r.commit(c), true)
	}
}

// Guards against two holders at once, epochs that decrease, and a lease that no daemon takes over, while daemons are
// paused for longer than the term and answers are lost after the write took effect.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(30) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 7))
		r := &row{}
		var leases []*lease.Lease
		pauseLeft := make([]int, 4)
		for i := range 4 {
			leases = append(leases, daemon(fmt.Sprint("d", i), seed*10+uint64(i)))
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
				is.NoErr(l.Observe(now, r.read()))
				if c := l.Next(now); c != nil {
					v := r.commit(c)
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

// Guards against a holder that still acts under the lease after a long pause, and against its writes passing the fence.
func TestPausedHolder(t *testing.T) {
	is := is.New(t)
	r := &row{}
	a, b := daemon("a", 1), daemon("b", 2)
	for s := range 20 {
		step(is, a, r, start.Add(time.Duration(s)*time.Second))
	}
	now := start.Add(20 * time.Second)
	fence, ok := a.Held(now)
	is.True(ok)
	is.NoErr(b.Observe(now, r.read()))
	now = now.Add(40 * time.Second)
	_, ok = a.Held(now)
	is.True(!ok)
	step(is, b, r, now)
	newer, ok := b.Held(now)
	is.True(ok)
	is.Equal(newer.Epoch, fence.Epoch+1)
	is.True(fence.Check.Version != r.Version)
}

// Guards against a second write after the answer to the first write was lost.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	r := &row{}
	l := daemon("a", 1)
	now := start
	is.NoErr(l.Observe(now, nil))
	now = now.Add(10 * time.Second)
	c := l.Next(now)
	r.commit(c)
	l.Result(now, 0, false)
	_, ok := l.Held(now)
	is.True(!ok)
	is.True(l.Next(now) == nil)
	is.NoErr(l.Observe(now.Add(time.Second), r.read()))
	fence, ok := l.Held(now.Add(time.Second))
	is.True(ok)
	is.Equal(fence.Check.Version, r.Version)
	_, ok = l.Held(now.Add(10 * time.Second)) // the term counts from when the write was sent
	is.True(!ok)
}

// Guards against a planned stop that leaves the data centre without a holder for two terms, and against a restarted
// daemon that acts under the lease of its earlier process.
func TestStepDownAndRestart(t *testing.T) {
	is := is.New(t)
	r := &row{}
	a, b := daemon("a", 1), daemon("b", 2)
	for s := range 10 {
		step(is, a, r, start.Add(time.Duration(s)*time.Second))
	}
	now := start.Add(10 * time.Second)
	restarted := daemon("a", 3)
	is.NoErr(restarted.Observe(now, r.read()))
	_, ok := restarted.Held(now)
	is.True(!ok)
	is.NoErr(b.Observe(now, r.read()))
	is.True(b.Next(now.Add(time.Second)) == nil)
	a.Result(now, r.commit(a.StepDown(now)), true)
	_, ok = a.Held(now)
	is.True(!ok)
	is.NoErr(b.Observe(now, r.read()))
	step(is, b, r, now.Add(5*time.Second))
	_, ok = b.Held(now.Add(5 * time.Second))
	is.True(ok)
}
