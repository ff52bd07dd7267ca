package caller

import (
	"sync"
	"sync/atomic"
	"time"

	"cuminstair.org/cuminstair"
)

// Decisions calls the router, admission, quotas, retry budget and health of the request path. These are not safe for
// concurrent use. One mutex guards all of them, since a decision takes about a microsecond. Exported fields are set
// before the first use.
type Decisions struct {
	Timer        cuminstair.Timer
	Router       cuminstair.Router
	NewAdmission func() cuminstair.Admission // called once for each service
	Quotas       cuminstair.Quotas           // nil: no quotas
	Retries      cuminstair.RetryBudget      // nil: no retries
	Health       cuminstair.Health           // nil: hosts are active unless SetHostState says otherwise

	view atomic.Pointer[view]

	mu         sync.Mutex
	admissions map[string]cuminstair.Admission
	waiters    map[*cuminstair.Request]chan cuminstair.Verdict
	planned    map[string]cuminstair.HostState // by host, from its row in the host table
	live       int                             // daemons that share the quotas
	last       time.Time                       // time of the last decision
}

// SetFleet installs a fleet. live is the number of daemons that share the quotas.
func (d *Decisions) SetFleet(f *cuminstair.Fleet, live int) {
	v := newView(f)
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.view.Load()
	d.initMaps()
	for name, s := range v.services {
		d.Router.SetUpstreams(name, s.upstreams)
		if d.admissions[name] == nil {
			d.admissions[name] = d.NewAdmission()
		}
		d.admissions[name].Configure(s.Kinds)
	}
	if old != nil {
		for name := range old.services {
			if v.services[name] == nil {
				d.Router.SetUpstreams(name, nil)
			}
		}
	}
	if d.Quotas != nil {
		d.Quotas.Configure(f.Teams, max(live, 1))
	}
	d.live = live
	d.view.Store(v)
	for host := range v.hosts {
		d.Router.SetState(host, d.state(host))
	}
	d.updateCapacity()
}

// SetLive sets how many daemons share the quotas, when that changes without a new fleet.
func (d *Decisions) SetLive(teams []cuminstair.Team, live int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Quotas != nil && live != d.live {
		d.Quotas.Configure(teams, max(live, 1))
		d.live = live
	}
}

// SetHostState sets the state of a host from its row in the host table. Any state but active and probation overrides
// the health of the host.
func (d *Decisions) SetHostState(host string, state cuminstair.HostState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	d.planned[host] = state
	d.Router.SetState(host, d.state(host))
	d.updateCapacity()
}

// Update calls fn under the lock and applies its changes. fn may change the router and the health.
func (d *Decisions) Update(fn func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.initMaps()
	fn()
	if d.Health != nil {
		d.applyHealth()
	}
	d.updateCapacity()
}

// SetRemote replaces the loads that a peer reported.
func (d *Decisions) SetRemote(peer string, loads []cuminstair.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Router.SetRemote(peer, loads)
	d.updateCapacity()
}

// Loads returns the requests in flight at each host.
func (d *Decisions) Loads() []cuminstair.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Router.Loads()
}

// Confirm reports whether this daemon has no requests in flight at a host and the host either has a row with a state
// other than active or runs no service of the fleet. The health of the host is ignored, since it may change at any
// time. A row in probation counts as out of service, although State then returns the health, which may be active.
func (d *Decisions) Confirm(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	planned := d.planned[host] != "" && d.planned[host] != cuminstair.HostActive
	if !planned && d.view.Load() != nil && len(d.view.Load().hosts[host]) > 0 {
		return false
	}
	for _, load := range d.Router.Loads() {
		if load.Host == host && load.Inflight > 0 {
			return false
		}
	}
	return true
}

// Probe records the result of an active health check.
func (d *Decisions) Probe(host string, ok, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Health == nil {
		return
	}
	d.Health.Probe(d.monotonic(d.Timer.Now()), host, ok, leaving)
	d.applyHealth()
}

// Report records the state of a host as a peer sees it.
func (d *Decisions) Report(peer, host string, state cuminstair.HostState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Health == nil {
		return
	}
	d.Health.Report(d.monotonic(d.Timer.Now()), peer, host, state)
	d.applyHealth()
}

// State returns the state of a host that routing uses.
func (d *Decisions) State(host string) cuminstair.HostState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(host)
}

// Quiet returns how long a request at the host may go without data before its connection is probed; 0 if Health is nil.
func (d *Decisions) Quiet(host string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Health == nil {
		return 0
	}
	return d.Health.ProbeAfter(host)
}

// Tick ends queued requests that can't finish in time and applies changes of health. It must be called periodically.
func (d *Decisions) Tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.monotonic(now)
	for _, a := range d.admissions {
		for _, r := range a.Expire(now) {
			d.wake(r, cuminstair.Verdict{Reason: cuminstair.ReasonLate})
		}
	}
	if d.Health != nil {
		d.applyHealth()
	}
}

// Upstreams returns one upstream for each host of the fleet that runs an instance.
func (d *Decisions) Upstreams() []cuminstair.Upstream {
	v := d.view.Load()
	if v == nil {
		return nil
	}
	seen := make(map[string]bool, len(v.hosts))
	var list []cuminstair.Upstream
	for _, s := range v.services {
		for _, u := range s.upstreams {
			if !seen[u.Host] {
				seen[u.Host] = true
				list = append(list, u)
			}
		}
	}
	return list
}

// Ready reports whether a fleet is installed.
func (d *Decisions) Ready() bool { return d.view.Load() != nil }

func (d *Decisions) initMaps() {
	if d.admissions == nil {
		d.admissions = map[string]cuminstair.Admission{}
		d.waiters = map[*cuminstair.Request]chan cuminstair.Verdict{}
		d.planned = map[string]cuminstair.HostState{}
	}
}

// state combines the state in the row of a host with its health. For a row in probation the health decides: Health
// itself keeps a host in probation after a report that the host was leaving, and the rows of a new fleet are all in
// probation for some seconds although their hosts may be serving already.
func (d *Decisions) state(host string) cuminstair.HostState {
	planned := d.planned[host]
	if planned == "" {
		planned = cuminstair.HostActive
	}
	if d.Health == nil || planned != cuminstair.HostActive && planned != cuminstair.HostProbation {
		return planned
	}
	return d.Health.State(host)
}

// applyHealth passes changes of health to the router.
func (d *Decisions) applyHealth() {
	changed := d.Health.Changed()
	for _, host := range changed {
		d.Router.SetState(host, d.state(host))
	}
	if len(changed) > 0 {
		d.updateCapacity()
	}
}

// updateCapacity passes the capacities to admission and wakes the queued requests that may run now.
func (d *Decisions) updateCapacity() {
	now := d.monotonic(d.Timer.Now())
	for name, a := range d.admissions {
		for _, r := range a.SetCapacity(now, d.Router.Capacity(name)) {
			d.wake(r, cuminstair.Verdict{Run: true})
		}
	}
}

func (d *Decisions) wake(r *cuminstair.Request, v cuminstair.Verdict) {
	if ch := d.waiters[r]; ch != nil {
		delete(d.waiters, r)
		ch <- v
	}
}
