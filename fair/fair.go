// Package fair divides the capacity of a pool among client accounts by their weights. It is made for peaks in which the
// accounts together offer a multiple of the capacity, and for one account that sends many times its usual load: what exceeds
// its share is refused first, and the other accounts are served as without it. Work is counted in core-seconds.
package fair

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the shares.
const (
	// Window is the time constant of the sums of work. An account that was idle may use its share of a window at once. Queues
	// rise to their peak within one to two seconds and stay there for about 4 s, so that a longer window would see a peak
	// only when it is over.
	Window = 2 * time.Second
	// fillInterval is the time between two calculations of the shares. It bounds their cost, which grows with the number of
	// accounts; the sums hardly change meanwhile.
	fillInterval = 100 * time.Millisecond
	// forgetWork is the decayed work, in core-seconds, below which an account is forgotten. It is less than one task.
	forgetWork = 0.01
	// retryShare is the part of an account's share that is promised to callers that come again. New calls get the rest,
	// since their results can still be on time.
	retryShare = 0.5
	// fluctuation is the multiple of its share up to which an account is not above it: the jobs of an account come at random,
	// a few in a window. In the replay of a pool that loses a rack, in which all accounts offer the same, 1 refused three
	// times as many jobs as 1.5.
	fluctuation = 1.5
	// burstFactor and burstShare tell an account that sends many times its usual load from one whose jobs happen to come
	// together: it asks for burstFactor times as much for its weight as the other accounts, and for more than that by
	// burstShare of the capacity. In a peak of all accounts none is refused for its share.
	burstFactor = 2.0
	burstShare  = 0.1
	// MaxWait is the longest time for which a caller is told to wait. Work that is refused for longer is not promised room.
	MaxWait = 30 * time.Second
)

// Tracker knows the work that each account has offered lately, and the work that was accepted. The zero value is ready for
// use. Its cost for each job does not depend on the number of accounts, except once in fillInterval.
type Tracker struct {
	accounts map[string]*account
	order    []*account // reused by fill
	level    float64    // cores for each unit of weight; infinite if there is room for the demand of all accounts
	expected float64    // cores that all accounts are expected to ask for within their shares
	filledAt time.Time
}

// account is the state of one account.
type account struct {
	weight      float64
	offered     sum
	accepted    sum
	demand      float64   // cores, at the last fill
	bursts      bool      // it sends much more than the other accounts for their weights, at the last fill
	bookedUntil time.Time // the retryShare of its share is promised to earlier callers until then
}

// sum is a sum of work that decays with the time constant Window.
type sum struct {
	work float64
	at   time.Time
}

func (s *sum) now(now time.Time) float64 {
	if age := now.Sub(s.at); age > 0 {
		return s.work * math.Exp(-age.Seconds()/Window.Seconds())
	}
	return s.work
}

func (s *sum) add(now time.Time, work float64) {
	s.work = s.now(now) + work
	if now.After(s.at) {
		s.at = now
	}
}

// Offered records work that an account asks for. A weight of zero counts as one.
func (t *Tracker) Offered(now time.Time, name string, weight, work float64) {
	a := t.accounts[name]
	if a == nil {
		if t.accounts == nil {
			t.accounts, t.level = map[string]*account{}, math.Inf(1)
		}
		a = &account{}
		t.accounts[name] = a
	}
	if a.weight = weight; weight <= 0 {
		a.weight = 1
	}
	a.offered.add(now, work)
}

// Accepted records work of an account that was accepted. The account must have offered it.
func (t *Tracker) Accepted(now time.Time, name string, work float64) {
	if a := t.accounts[name]; a != nil {
		a.accepted.add(now, work)
	}
}

// Fill divides a capacity in cores among the accounts, unless that was done within fillInterval.
func (t *Tracker) Fill(now time.Time, cores float64) {
	if len(t.accounts) == 0 || now.Sub(t.filledAt) < fillInterval {
		return
	}
	t.filledAt, t.order = now, t.order[:0]
	weight := 0.0
	for name, a := range t.accounts {
		offered, accepted := a.offered.now(now), a.accepted.now(now)
		if offered < forgetWork && accepted < forgetWork && !a.bookedUntil.After(now) {
			delete(t.accounts, name)
			continue
		}
		a.demand = max(offered, accepted) / Window.Seconds()
		weight += a.weight
		t.order = append(t.order, a)
	}
	t.markBursts(cores, weight)
	t.fill(max(0, cores), weight)
}

// markBursts marks the accounts that ask for much more than the other accounts ask for, for their weights.
func (t *Tracker) markBursts(cores, weight float64) {
	demand := 0.0
	for _, a := range t.order {
		demand += a.demand
	}
	for _, a := range t.order {
		others := weight - a.weight
		if others <= 0 {
			a.bursts = false // there is no other account to be compared with
			continue
		}
		usual := a.weight * (demand - a.demand) / others
		a.bursts = a.demand > burstFactor*usual && a.demand-usual > burstShare*cores
	}
}

// fill raises the level until the capacity is used up. Accounts whose demand lies below the level get what they ask for, and
// the others divide the remainder by their weights.
func (t *Tracker) fill(cores, weight float64) {
	slices.SortFunc(t.order, func(a, b *account) int { return cmp.Compare(a.demand/a.weight, b.demand/b.weight) })
	t.level, t.expected = math.Inf(1), 0
	left := cores
	for _, a := range t.order {
		if a.demand*weight > left*a.weight {
			t.level, t.expected = left/weight, cores
			break
		}
		left -= a.demand
		weight -= a.weight
		t.expected += a.demand
	}
	clear(t.order)
}

// Standing is what the shares say about one account.
type Standing struct {
	Share    float64 // cores of its share; infinite if there is room for the demand of all accounts
	Accepted float64 // cores that the work accepted lately amounts to
	Offered  float64 // cores that the work offered lately amounts to
	Others   float64 // cores that the other accounts are expected to ask for within their shares
}

// Above reports whether an account is above its share: it sends much more than others for its weight, and more of its work was
// accepted lately, even when fluctuations are allowed for.
func (t *Tracker) Above(now time.Time, name string) bool {
	a := t.accounts[name]
	return a != nil && a.bursts && a.accepted.now(now) > fluctuation*t.level*a.weight*Window.Seconds()
}

// Standing returns the standing of an account according to the last Fill. An unknown account is below its share.
func (t *Tracker) Standing(now time.Time, name string) Standing {
	a := t.accounts[name]
	if a == nil {
		return Standing{Share: math.Inf(1), Others: t.expected}
	}
	s := Standing{
		Share: t.level * a.weight, Accepted: a.accepted.now(now) / Window.Seconds(), Offered: a.offered.now(now) / Window.Seconds(),
	}
	s.Others = max(0, t.expected-min(a.demand, s.Share))
	return s
}

// Book returns how long it takes until the account has room for refused work: until its accepted work has decayed to its share,
// and the room booked by earlier refused callers is used. The room is promised if it comes before the work loses its use, which is
// reported.
func (t *Tracker) Book(now time.Time, name string, work float64, useful time.Duration) (wait time.Duration, promised bool) {
	a := t.accounts[name]
	if a == nil {
		return 0, false
	}
	share := t.level * a.weight
	if share <= 0 {
		return MaxWait, false
	}
	at := now
	if accepted := a.accepted.now(now) / Window.Seconds(); accepted > share {
		at = at.Add(time.Duration(math.Log(accepted/share) * float64(Window)))
	}
	if a.bookedUntil.After(at) {
		at = a.bookedUntil
	}
	wait = at.Sub(now)
	if wait > min(useful, MaxWait) {
		return min(wait, MaxWait), false
	}
	a.bookedUntil = at.Add(time.Duration(work / (retryShare * share) * float64(time.Second)))
	return wait, true
}

// Accounts returns the number of accounts that are known.
func (t *Tracker) Accounts() int { return len(t.accounts) }

// Clone returns a copy that shares no state with the tracker.
func (t *Tracker) Clone() Tracker {
	c := *t
	c.order = nil
	c.accounts = maps.Clone(t.accounts)
	for name, a := range c.accounts {
		copied := *a
		c.accounts[name] = &copied
	}
	return c
}
