package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/quota"
)

// limitInterval is the pause between two rounds, each of which divides the limits of accounts.
const limitInterval = 300 * time.Millisecond

// maxPasses is how often a round may grant shares: it learns of a shift of demand, or of a new owner, with the first grants, takes from
// the services that want less with the second, and gives to those that want more with the third. Only services whose shares change much
// get more than one.
const maxPasses = 3

// maxLoggedShares is the most changed shares that are logged in a second.
const maxLoggedShares = 20

// limitLoop divides the limits of accounts among the services while this daemon owns ownership.HostsPart. It has a loop of its own,
// since the controller of hosts waits for the platform and for the hosts' list.
func (d *Daemon) limitLoop(ctx context.Context) error {
	l := &limitController{d: d}
	for ctx.Err() == nil {
		d.sleep(ctx, limitInterval)
		d.mu.Lock()
		r := d.runners[ownership.HostsPart]
		d.mu.Unlock()
		if c := d.config.Load(); r != nil && !r.closed.Load() && c != nil {
			l.step(ctx, r, c)
		}
	}
	return nil
}

// limitController divides the limits of accounts while this daemon owns ownership.HostsPart. It persists nothing: a new one learns
// from the owners what they have.
type limitController struct {
	d      *Daemon
	token  uint64
	mu     sync.Mutex
	ledger *quota.Ledger // guarded by mu

	logged   int       // changed shares logged since loggedAt
	loggedAt time.Time // start of the second in which logged counts
}

// step asks the owners what they use and want, and grants them new shares.
func (l *limitController) step(ctx context.Context, r *runner, config *cuminstair.JobConfig) {
	limits, token := limitsOf(config), r.token
	if l.ledger == nil && !anyLimit(config) {
		return
	}
	now := l.d.Timer.Now()
	if l.ledger == nil || l.token != token {
		l.token, l.ledger = token, quota.NewLedger(token, now)
		l.d.Log.Info("entry: dividing the limits of accounts", "token", token, "accounts", len(config.Accounts), "config", config.Version)
	}
	if !l.d.hasReadOwnersSince(r.takenAt) {
		return // the answer of a former owner would say nothing of what the present one was granted by the earlier controller
	}
	if !l.d.hasReadOwnersSince(now.Add(-ownerGrace)) {
		return // there may be a new controller
	}
	all := slices.DeleteFunc(l.d.services(), func(s string) bool { return s == ownership.HostsPart })
	services := l.present(all)
	l.mu.Lock()
	l.ledger.SetLimits(now, limits)
	l.ledger.SetServices(now, all, services)
	l.mu.Unlock()
	for pass := range maxPasses {
		l.mu.Lock()
		l.plan(now)
		if pass > 0 {
			services = slices.DeleteFunc(services, func(s string) bool { return !l.ledger.Due(s) })
		}
		l.mu.Unlock()
		l.exchangeAll(ctx, services)
	}
}

// exchangeAll grants services their shares in parallel.
func (l *limitController) exchangeAll(ctx context.Context, services []string) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, service := range services {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.exchange(ctx, service)
		}()
	}
	wg.Wait()
}

// present returns the services of a list that have an owner.
func (l *limitController) present(list []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(service string) bool {
		r, addr := l.d.recordedOwner(service)
		return r == nil && addr == ""
	})
}

// hasReadOwnersSince reports whether the owner records were read by a request sent after at.
func (d *Daemon) hasReadOwnersSince(at time.Time) bool {
	read := d.readAt.Load()
	return read != nil && read.After(at)
}

// recordedOwner returns this daemon's runner of a service, or the address of the owner by the owner records as last read, or neither.
// Unlike owner it uses no hints of other daemons: once a grant may have reached an owner, none goes to a former one, whose answer would
// not confirm it.
func (d *Daemon) recordedOwner(service string) (*runner, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.runners[service]; ok && !r.closed.Load() {
		return r, ""
	}
	now := d.Timer.Now()
	o, ok := d.view.LiveOwner(now, service)
	if d.view.Outdated(now) {
		o, _ = d.view.Owner(service)
		ok = o.Name != ""
	}
	if !ok || o.Name == d.Settings.Name {
		return nil, ""
	}
	return nil, o.Addr
}

// isController reports whether a grant may be of the present controller of hosts, by owner records that were read after this
// service was taken over. A new owner that took over the grant of an earlier controller would escape the present one, to which the
// owner before it has answered.
func (d *Daemon) isController(run string, token uint64, since time.Time) bool {
	if !d.hasReadOwnersSince(since) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	o, version := d.view.Owner(ownership.HostsPart)
	return o.Run == run || token > version
}

// plan plans new shares and logs those that change much. Callers hold mu.
func (l *limitController) plan(now time.Time) {
	changes := l.ledger.Plan(now)
	if now.Sub(l.loggedAt) >= time.Second {
		l.loggedAt, l.logged = now, 0
	}
	logged := changes[:min(len(changes), maxLoggedShares-l.logged)]
	l.logged += len(logged)
	for _, c := range logged {
		l.d.Log.Info("entry: share of a limit changes", "service", c.Service, "account", c.Account, "before", c.Before, "share", c.Share,
			"used", c.Used, "wanted", c.Wanted, "limit", c.Limit, "bound", c.Bounded, "changes", len(changes), "token", l.token)
	}
}

// exchange grants a service its shares and enters the answer.
func (l *limitController) exchange(ctx context.Context, service string) {
	r, addr := l.d.recordedOwner(service)
	if r == nil && addr == "" {
		return
	}
	l.mu.Lock()
	g := l.ledger.Grant(service)
	l.mu.Unlock()
	a, ok := l.d.askDemand(ctx, demandRequest{Service: service, Run: l.d.runID, Grant: &g}, r, addr)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Limits == nil {
		l.ledger.Unlimited(service)
		return
	}
	if !l.ledger.Report(l.d.Timer.Now(), service, *a.Limits) {
		l.d.Log.Info("entry: answer of an owner about limits ignored", "service", service, "owner", a.Limits.Token, "controller", a.Limits.Controller,
			"token", l.token)
	}
}

// limitReport applies the grant of a request and returns the answer. The validity of the grant is counted from the stamp that the request
// echoes, which was issued before the grant was sent.
func (r *runner) limitReport(now time.Time, q demandRequest) *quota.Report {
	issued := q.sentAt
	if q.Stamp != nil {
		issued = r.issuedAt(now, q.Stamp)
	}
	r.followConfig() // a later limit
	if r.d.isController(q.Run, q.Grant.Token, r.takenAt) {
		r.state.Grant(now, issued, *q.Grant)
	}
	report := r.state.LimitReport()
	return &report
}

func limitsOf(c *cuminstair.JobConfig) map[string]quota.Amount {
	limits := make(map[string]quota.Amount, len(c.Accounts))
	for i := range c.Accounts {
		limits[c.Accounts[i].Name] = quota.AmountOf(c.Accounts[i].Limit)
	}
	return limits
}

// anyLimit reports whether some account has a limit.
func anyLimit(c *cuminstair.JobConfig) bool {
	return slices.ContainsFunc(c.Accounts, func(a cuminstair.ClientAccount) bool { return a.Limit != cuminstair.Resources{} })
}
