package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/quota"
)

const (
	account = "acme"
	poll    = 300 * time.Millisecond
	tick    = 20 * time.Millisecond
)

// owner is an owner of a service with tasks of one size.
type owner struct {
	share     *quota.Share
	token     uint64
	unsettled bool
	size      int
	waiting   int
	running   []time.Time // ends
	cut       bool        // from the controller
	started   int
}

// field is an account with a limit and the services that run its tasks.
type field struct {
	*is.I
	now      time.Time
	limit    int
	duration time.Duration
	ledger   *quota.Ledger
	names    []string
	owners   map[string]*owner
	total    int // of all running tasks, also those of former owners
	former   []*owner
	lose     func(service string) bool // whether the answer of a service is lost
}

func newField(t *testing.T, limit, services int) *field {
	f := &field{I: is.New(t), now: time.Unix(1000, 0), limit: limit, duration: time.Second, owners: map[string]*owner{}}
	f.lose = func(string) bool { return false }
	for i := range services {
		name := fmt.Sprint("s", i)
		f.names = append(f.names, name)
		f.owners[name] = f.newOwner(uint64(i + 1))
	}
	f.newController(100)
	return f
}

func (f *field) limits() map[string]quota.Amount { return map[string]quota.Amount{account: {f.limit}} }

func (f *field) newOwner(token uint64) *owner {
	o := &owner{share: quota.NewShare(token), token: token, size: 1}
	o.share.SetLimits(f.limits(), func(string) bool { return true })
	return o
}

func (f *field) newController(token uint64) {
	f.ledger = quota.NewLedger(token, f.now)
	f.ledger.SetLimits(f.now, f.limits())
}

func (o *owner) report() quota.Report {
	return o.share.Report(o.unsettled, map[string]quota.Waiting{account: {Total: quota.Amount{o.waiting * o.size}, Unit: quota.Amount{o.size}}})
}

// round plays one round of the controller, as package entry does.
func (f *field) round() {
	f.ledger.SetServices(f.now, f.names, f.names)
	for pass := range 3 {
		f.ledger.Plan(f.now)
		for _, name := range f.names {
			if pass == 0 || f.ledger.Due(name) {
				f.exchange(name)
			}
		}
	}
}

func (f *field) exchange(name string) {
	o, g := f.owners[name], f.ledger.Grant(name)
	if o.cut {
		return
	}
	o.share.Accept(f.now, g)
	if !f.lose(name) {
		f.ledger.Report(f.now, name, o.report())
	}
}

// run plays the owners for a time, with a round of the controller every poll, and returns the mean part of the limit in use.
func (f *field) run(d time.Duration, each func()) float64 {
	used, n := 0.0, 0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		if each != nil {
			each()
		}
		if f.now.UnixNano()%int64(poll) < int64(tick) {
			f.round()
		}
		f.total = 0
		for _, name := range f.names {
			f.step(f.owners[name])
		}
		for _, o := range f.former {
			f.step(o)
		}
		f.True(f.total <= f.limit)
		used += float64(f.total) / float64(f.limit)
		n++
	}
	return used / float64(n)
}

// step ends tasks of an owner and starts what fits.
func (f *field) step(o *owner) {
	o.running = slices.DeleteFunc(o.running, func(end time.Time) bool {
		over := !f.now.Before(end)
		if over {
			o.share.Charge(account, quota.Amount{o.size}, -1)
		}
		return over
	})
	for o.waiting > 0 && o.share.Fits(f.now, account, quota.Amount{o.size}, 1) {
		o.share.Charge(account, quota.Amount{o.size}, 1)
		o.waiting--
		o.started++
		o.running = append(o.running, f.now.Add(f.duration))
	}
	f.total += len(o.running) * o.size
}

// Guards against a limit that lies idle with services that do not need it while one of five, in rotation, wants more than all of it.
func TestSharesFollowPeaksInRotation(t *testing.T) {
	f := newField(t, 1000, 5)
	f.duration = 500 * time.Millisecond
	f.run(time.Second, nil)
	start := f.now
	used := f.run(40*time.Second, func() {
		peak := int(f.now.Sub(start)/(4*time.Second)) % 5
		for i, name := range f.names {
			f.owners[name].waiting = 3
			if i == peak {
				f.owners[name].waiting = 1500
			}
		}
	})
	t.Logf("used %.4f of the limit", used)
	f.True(used > 0.95)
}

// Guards against a shift of demand that waits long for its share.
func TestShiftOfDemandHasItsShareSoon(t *testing.T) {
	f := newField(t, 1000, 5)
	f.duration = 100 * time.Millisecond
	f.run(time.Second, nil)
	var took []time.Duration
	draw := rand.New(rand.NewPCG(1, 2))
	for i := range 200 {
		name, begin := f.names[i%5], f.now
		for o := f.owners[name]; len(o.running) < 800; {
			for _, other := range f.names {
				f.owners[other].waiting = 5
			}
			o.waiting = 2000
			f.run(tick, nil)
			f.True(f.now.Sub(begin) < 5*time.Second)
		}
		took = append(took, f.now.Sub(begin))
		f.run(2*time.Second+time.Duration(draw.IntN(15))*tick, nil)
	}
	slices.Sort(took)
	t.Log("time until four fifths of the limit are in use: p50", took[100], "p99", took[198])
	f.True(took[198] <= 3*poll)
}

// Guards against shares that are each smaller than a task, so that nothing starts.
func TestTaskLargerThanAnEvenShareStarts(t *testing.T) {
	f := newField(t, 25, 5)
	for _, o := range f.owners {
		o.size, o.waiting = 8, 20
	}
	f.True(f.run(20*time.Second, nil) > 0.6)
	for _, o := range f.owners {
		f.True(o.started > 5)
	}
}

// Guards against shares that end in half a task each, so that these parts of the limit are not used.
func TestSharesAreOfWholeTasks(t *testing.T) {
	f := newField(t, 12, 2)
	for _, o := range f.owners {
		o.size, o.waiting = 4, 1000
	}
	f.run(time.Second, nil)
	f.True(f.run(20*time.Second, nil) > 0.95)
	for _, o := range f.owners {
		f.True(o.started >= 20)
	}
}

// Guards against room that is given away before its holder has confirmed that it has less, after answers and grants were lost.
func TestShareThatIsNotConfirmedStays(t *testing.T) {
	for _, c := range []struct {
		name      string
		cut, lost bool
	}{{"answer lost", false, true}, {"grant lost", true, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newField(t, 100, 2)
			a, b := f.owners["s0"], f.owners["s1"]
			a.waiting = 1000
			f.run(2*time.Second, nil)
			f.True(len(a.running) > 90)
			a.waiting, a.cut = 0, c.cut
			f.lose = func(s string) bool { return c.lost && s == "s0" }
			b.waiting = 1000
			f.run(2*time.Second, nil)
			f.True(len(b.running) < 10) // the share of the other may be in use
			a.cut, f.lose = false, func(string) bool { return false }
			f.run(2*time.Second, nil)
			f.True(len(b.running) > 90)
		})
	}
}

// Guards against grants that come late or twice, or are of an earlier controller, and against an expired one.
func TestOwnerIgnoresOldGrants(t *testing.T) {
	is := is.New(t)
	s, now := quota.NewShare(1), time.Unix(1000, 0)
	limit := quota.Amount{100}
	s.SetLimits(map[string]quota.Amount{account: limit}, nil)
	grant := func(token, seq uint64, share int) quota.Grant {
		return quota.Grant{Token: token, Seq: seq, Shares: map[string]quota.Allowance{account: {Share: quota.Amount{share}, Limit: limit}}}
	}
	is.True(!s.Fits(now, account, quota.Amount{1}, 1)) // there is no grant
	is.True(s.Accept(now, grant(5, 2, 50)))
	is.True(!s.Accept(now, grant(5, 2, 60)))
	is.True(!s.Accept(now, grant(5, 1, 60)))
	is.True(!s.Accept(now, grant(4, 9, 60)))
	is.True(!s.Accept(now, quota.Grant{Token: 6})) // announces a controller
	is.True(!s.Accept(now, grant(5, 3, 60)))
	is.True(s.Fits(now, account, quota.Amount{50}, 1))
	is.True(!s.Fits(now, account, quota.Amount{51}, 1))
	is.True(!s.Fits(now.Add(quota.GrantTTL), account, quota.Amount{1}, 1))
	is.True(s.Fits(now, "other", quota.Amount{1000}, 1)) // has no limit

	s.SetLimits(map[string]quota.Amount{account: {10}}, nil)
	is.True(s.Fits(now, account, quota.Amount{5}, 1))
	is.True(!s.Fits(now, account, quota.Amount{6}, 1)) // cut with the limit
}

// Guards against a new owner, or a new controller beside a silent owner, that gives away what the earlier one may still use.
func TestSharesOfFormerOwnersAndControllers(t *testing.T) {
	f := newField(t, 100, 3)
	f.duration = 20 * time.Second
	old := f.owners["s0"]
	old.waiting = 60
	f.run(2*time.Second, nil)
	f.Equal(len(old.running), 60)
	f.former = append(f.former, old)
	next := f.newOwner(50) // has not found the runs yet
	next.unsettled = true
	next.share.SetUnsure(map[string]quota.Amount{account: {60}})
	f.owners["s0"] = next
	f.owners["s1"].waiting, f.owners["s2"].waiting, next.waiting = 100, 100, 100
	f.run(2*time.Second, nil)
	f.True(f.total > 95)
	f.owners["s2"].cut = true
	f.newController(200)
	f.run(10*time.Second, nil)
	next.unsettled = false
	next.share.SetUnsure(nil)
	next.share.Charge(account, quota.Amount{1}, 60) // the runs of the former owner
	f.run(2*time.Second, nil)
	f.True(f.total > 95)
}

// Guards against a new controller that takes a cut of a limit for a cut of what a service has running that has not answered it yet.
func TestNewControllerReservesWhatASilentServiceMayUseOfACutLimit(t *testing.T) {
	for _, c := range []struct{ limit, share int }{{40, 0}, {60, 10}, {100, 50}, {200, 50}} {
		t.Run(fmt.Sprint(c.limit), func(t *testing.T) {
			is, now := is.New(t), time.Unix(1000, 0)
			l := quota.NewLedger(7, now)
			l.SetLimits(now, map[string]quota.Amount{account: {c.limit}})
			l.SetServices(now, []string{"a", "b"}, []string{"a", "b"})
			// An earlier controller has granted a service 50 of 100, and the silent one the rest.
			use := quota.Use{Limit: quota.Amount{c.limit}, Of: quota.Amount{100}, Held: quota.Amount{50}, Used: quota.Amount{50}, Wanted: quota.Amount{500}, Unit: quota.Amount{1}}
			is.True(l.Report(now, "a", quota.Report{Token: 1, Controller: 7, Accounts: map[string]quota.Use{account: use}}))
			l.Plan(now)
			is.Equal(l.Grant("a").Shares[account].Share[0], c.share)
		})
	}
}

// Guards against a new owner that starts nothing beside a long queue of inherited tasks, of which its predecessor could run few.
func TestNewOwnerStartsBesideAnInheritedQueue(t *testing.T) {
	f := newField(t, 100, 3)
	f.run(2*time.Second, nil)
	next := f.newOwner(50)
	next.unsettled = true
	next.share.SetUnsure(map[string]quota.Amount{account: {1000}})
	f.owners["s0"] = next
	next.waiting = 200
	f.run(2*time.Second, nil)
	f.True(len(next.running) > 50) // the even share of the earlier owner was 33
}

// Guards against starts above a limit that was cut, and against an account that stays without a share once it is added, or with the
// limit that it had before it was removed.
func TestLimitsOfNewVersions(t *testing.T) {
	f := newField(t, 1000, 5)
	set := func(limits map[string]quota.Amount) {
		for _, o := range f.owners {
			o.share.SetLimits(limits, func(string) bool { return len(o.running) > 0 })
		}
		f.ledger.SetLimits(f.now, limits)
	}
	for _, o := range f.owners {
		o.waiting = 100_000
	}
	f.run(2*time.Second, nil)
	f.Equal(f.total, 1000)
	f.limit = 100
	set(f.limits())
	before := f.owners["s0"].started
	f.limit = 1000 // of the tasks that still run
	f.run(900*time.Millisecond, nil)
	f.True(f.owners["s0"].started <= before+20)
	f.run(time.Second, nil)
	f.limit = 100
	f.run(time.Second, nil)
	f.Equal(f.total, 100)

	set(nil)
	f.run(time.Second, nil)
	f.Equal(f.total, 100) // accepted jobs go on within the last limit
	for _, o := range f.owners {
		o.waiting = 0
	}
	f.run(2*time.Second, nil)
	set(nil)
	f.True(!f.owners["s0"].share.AnyLimit())
	set(f.limits())
	f.owners["s1"].waiting = 500
	f.run(2*time.Second, nil)
	f.Equal(f.total, 100)
}

// BenchmarkPlan plans the shares of 1,000 accounts at 45 services, of which a fifth want more than there is.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1000, 0)
	l := quota.NewLedger(1, now)
	limits := map[string]quota.Amount{}
	for i := range 1000 {
		limits[fmt.Sprint("a", i)] = quota.Amount{64_000, 256_000, 8}
	}
	l.SetLimits(now, limits)
	var names []string
	for i := range 45 {
		names = append(names, fmt.Sprint("s", i))
	}
	l.SetServices(now, names, names)
	draw := rand.New(rand.NewPCG(1, 2))
	for i, name := range names {
		r := quota.Report{Token: uint64(i + 1), Controller: 1, Accounts: map[string]quota.Use{}}
		for a, limit := range limits {
			r.Accounts[a] = quota.Use{Limit: limit, Unit: quota.Amount{1000, 4000}, Wanted: quota.Amount{draw.IntN(3000), draw.IntN(9000)}}
		}
		l.Report(now, name, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Plan(now)
	}
}
