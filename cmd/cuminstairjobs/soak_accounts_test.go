package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"slices"
	"sync"
	"time"

	"cuminstair.org/cuminstair/standin/site"
)

const (
	applyTime     = 3 * time.Second // after which a version is in force on a daemon that reaches the store
	probeInterval = 60 * time.Millisecond
	cancelPeriod  = 8     // one in so many calls of the owner of a job cancels it
	accountLimit  = 40000 // in thousandths of a core: ten tasks
	accountTasks  = 4     // factor for the tasks of jobs, so that limits are reached
)

// accountVersion is a version of the configuration.
type accountVersion struct {
	written, acked time.Time
	accounts       []site.Account
}

// outage is a time in which a daemon could not learn a new version.
type outage struct {
	daemon   *daemon // nil: all
	kind     string
	from, to time.Time // to is zero as long as the outage lasts
}

// soakAccounts has the client accounts of a run, and what is needed to judge answers. The lock of the soak guards it.
type soakAccounts struct {
	plan, calls *rand.Rand          // of their own, so that the other faults of a seed stay the same
	accounts    []site.Account      // of the latest version; nil: none
	timeout     time.Duration       // of the queues in the latest version
	versions    []accountVersion    // in their order
	keys        int                 // added so far
	removed     map[string][]string // keys by account
	accountOf   map[string]string   // by job
	accepted    []string            // paths of jobs
	cancelled   map[string]bool     // jobs for which a cancellation may have been carried out
	outages     []outage            // in the order of their beginnings
	answers     map[string]int      // by whether the key may and must be valid, and status
}

// newSoakAccounts returns the accounts of a run, which a third of the seeds have. The regression seeds keep their plans without.
func newSoakAccounts(seed uint64) *soakAccounts {
	a := &soakAccounts{
		plan: rand.New(rand.NewPCG(seed, 5)), calls: rand.New(rand.NewPCG(seed, 6)), removed: map[string][]string{},
		accountOf: map[string]string{}, cancelled: map[string]bool{}, answers: map[string]int{},
	}
	if seed%3 != 1 || regressionSeeds[seed] != "" {
		return a
	}
	limit := map[string]int{"cpu": accountLimit}
	a.accounts = []site.Account{{Name: "a"}, {Name: "b", Limit: limit}, {Name: "c", Limit: limit}}
	for i := range 2 * len(a.accounts) {
		a.addKey(i / 2)
	}
	return a
}

func (a *soakAccounts) addKey(i int) {
	a.keys++
	x := &a.accounts[i]
	x.Keys = append(slices.Clone(x.Keys), fmt.Sprintf("%s%d", x.Name, a.keys))
}

// removeKeys removes the first n keys of an account.
func (a *soakAccounts) removeKeys(i, n int) {
	x := &a.accounts[i]
	n = min(n, len(x.Keys))
	a.removed[x.Name] = append(a.removed[x.Name], x.Keys[:n]...)
	x.Keys = x.Keys[n:]
}

// change draws a change of the accounts.
func (a *soakAccounts) change() {
	i, limited := a.plan.IntN(len(a.accounts)), 1+a.plan.IntN(len(a.accounts)-1)
	switch a.plan.IntN(10) {
	case 0, 1:
		a.addKey(i)
	case 2, 3:
		a.removeKeys(i, 1)
	case 4:
		a.removeKeys(i, len(a.accounts[i].Keys))
	case 5:
		a.accounts = append(a.accounts, site.Account{Name: fmt.Sprintf("n%d-", len(a.accounts)), Limit: map[string]int{"cpu": accountLimit}})
		a.addKey(len(a.accounts) - 1)
	case 6, 7, 8:
		a.accounts[limited].Limit = map[string]int{"cpu": accountLimit / []int{2, 10}[a.plan.IntN(2)]}
	case 9:
		a.restore()
	}
}

// restore gives all accounts a key, and all but the first, which has none, their whole limits.
func (a *soakAccounts) restore() {
	for i := range a.accounts {
		if i > 0 {
			a.accounts[i].Limit = map[string]int{"cpu": accountLimit}
		}
		if len(a.accounts[i].Keys) == 0 {
			a.addKey(i)
		}
	}
}

// configure writes a new version of the configuration after a change.
func (s *soak) configure(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	v := accountVersion{written: time.Now(), accounts: slices.Clone(s.accounts)}
	s.site.ConfigureAccounts(s.services, s.timeout, v.accounts)
	v.acked = time.Now()
	s.versions = append(s.versions, v)
}

// changeAccounts writes series of versions with changed accounts until the end of the soak.
func (s *soak) changeAccounts(end time.Time) {
	for time.Now().Before(end) {
		for range 1 + s.plan.IntN(4) {
			s.configure(s.change)
			time.Sleep(time.Duration(50+s.plan.IntN(300)) * time.Millisecond)
		}
		time.Sleep(time.Duration(500+s.plan.IntN(3500)) * time.Millisecond)
	}
	s.configure(s.restore)
}

// assignJob gives a job to a random account, if the run has some, and returns how many tasks it has.
func (s *soak) assignJob(id string, tasks int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accounts == nil {
		return tasks
	}
	s.accountOf[id] = s.accounts[s.calls.IntN(len(s.accounts))].Name
	s.site.AssignJob(id, s.accountOf[id])
	return accountTasks * tasks
}

// outage begins a fault that keeps a daemon, nil: all, from learning versions, and ends all its faults of that kind after a time.
func (s *soak) outage(d *daemon, kind string, length time.Duration, begin, end func()) {
	s.mu.Lock()
	s.outages = append(s.outages, outage{daemon: d, kind: kind, from: time.Now()})
	s.mu.Unlock()
	begin()
	time.AfterFunc(length, func() {
		end()
		s.mu.Lock()
		defer s.mu.Unlock()
		for i := range s.outages {
			if o := &s.outages[i]; o.daemon == d && o.kind == kind && o.to.IsZero() {
				o.to = time.Now()
			}
		}
	})
}

// disturbed returns how long outages of a daemon lasted between two times.
func (a *soakAccounts) disturbed(d *daemon, from, to time.Time) time.Duration {
	total := time.Duration(0)
	for _, o := range a.outages {
		if o.daemon != nil && o.daemon != d {
			continue
		}
		if o.from.After(from) {
			from = o.from
		}
		if o.to.IsZero() || o.to.After(to) {
			o.to = to
		}
		if o.to.After(from) {
			total += o.to.Sub(from)
			from = o.to
		}
	}
	return total
}

// validity reports whether a key may, and whether it must, be valid on a daemon in a call that lasted from start to end.
func (a *soakAccounts) validity(d *daemon, key string, start, end time.Time) (may, must bool) {
	must = true
	for i, v := range a.versions {
		if i+1 < len(a.versions) {
			next := a.versions[i+1].acked
			if start.Sub(next)-a.disturbed(d, next, start) > applyTime {
				continue // surely replaced
			}
		}
		if v.written.Before(end) {
			held := slices.ContainsFunc(v.accounts, func(x site.Account) bool { return slices.Contains(x.Keys, key) })
			may, must = may || held, must && held
		}
	}
	return may, must
}

// keyOf draws a key that an account has, or had if none is left.
func (a *soakAccounts) keyOf(account string) string {
	keys := a.removed[account]
	for _, x := range a.accounts {
		if x.Name == account && len(x.Keys) > 0 {
			keys = x.Keys
		}
	}
	return keys[a.calls.IntN(len(keys))]
}

// callWithKey sends a call with a key of the account of its job.
func (s *soak) callWithKey(d *daemon, method, target, body string) (int, string) {
	s.mu.Lock()
	key := s.keyOf(s.accountOf[path.Base(target)])
	s.mu.Unlock()
	return s.checkedCall(d, key, method, target, body)
}

// checkedCall sends a call with a key that the account of its job has, had or never had, and checks the answer.
func (s *soak) checkedCall(d *daemon, key, method, target, body string) (int, string) {
	start := time.Now()
	status, data := s.callWith(d, method, target, body, func(h http.Header) { h.Set("Authorization", "Token "+key) })
	s.mu.Lock()
	defer s.mu.Unlock()
	may, must := s.validity(d, key, start, time.Now())
	s.answers[fmt.Sprintf("%t,%t,%d", may, must, status)]++
	if status == http.StatusOK && !may {
		s.t.Errorf("%s %s with the key %s, which is not valid, succeeds on %s", method, target, key, d.name)
	} else if status == http.StatusUnauthorized && must || status == http.StatusForbidden {
		s.t.Errorf("%s %s with the key %s of its account is answered with %d by %s", method, target, key, status, d.name)
	}
	return status, data
}

// probe sends calls on accepted jobs until the given time, with keys that no version ever held, that were removed, that belong to
// other accounts, and that should be valid.
func (s *soak) probe(seed uint64, end time.Time, callers *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(seed, 7))
	for ; time.Now().Before(end); time.Sleep(probeInterval) {
		d, method := s.daemons[r.IntN(len(s.daemons))], []string{http.MethodGet, http.MethodPost, http.MethodDelete}[r.IntN(3)]
		s.mu.Lock()
		if len(s.accepted) == 0 {
			s.mu.Unlock()
			continue
		}
		target := s.accepted[r.IntN(len(s.accepted))]
		id := path.Base(target)
		account, other, key, foreign := s.accountOf[id], s.accounts[r.IntN(len(s.accounts))].Name, "never", false
		switch removed := s.removed[account]; r.IntN(4) {
		case 0:
			if len(removed) > 0 {
				key = removed[r.IntN(len(removed))]
			}
		case 1:
			foreign, key = other != account, s.keyOf(other)
		case 2:
			key, method = s.keyOf(account), http.MethodGet
			if r.IntN(cancelPeriod) == 0 {
				method = http.MethodDelete
			}
		}
		// A removed key may still be valid.
		s.cancelled[id] = s.cancelled[id] || method == http.MethodDelete && !foreign && key != "never"
		s.mu.Unlock()
		callers.Go(func() {
			if !foreign {
				s.checkedCall(d, key, method, target, body(id, 1, false))
			} else if s.callAs(d, "Token "+key, method, target, body(id, 1, false)) == http.StatusOK {
				s.t.Errorf("%s %s of account %s succeeds with the key %s on %s", method, target, account, key, d.name)
			}
		})
	}
}
