// Package control drives the planned work of one data centre against the platform: it holds the lease (package lease),
// plans (package wave), writes rows, starts the platform's actions and asks the other daemons for confirmation.
//
// Every daemon runs a Control. All of them read the host rows and pass the states to routing; only the holder of the
// lease writes. Every write checks the version of the lease row and of the rows that it replaces, so that a holder that
// was paused past the end of its lease changes nothing. Writes that take an instance out of service also replace the row
// DrainKey, which serialises them across the data centres, because the budgets of services span the fleet.
package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

// Times and sizes of a Control.
const (
	// Tick is the time between two steps of the holder of the lease.
	Tick = time.Second
	// FollowTick is the time between two steps of a daemon without the lease. It is longer than Tick since each of these
	// daemons reads the table service on every step, and the rate of reads is limited.
	FollowTick = 2 * time.Second
	// ListEvery is the time between two reads of the platform's list of hosts. The list lags behind the hosts by more
	// than this.
	ListEvery = 5 * time.Second
	// PingEvery is the time between two checks that every live daemon answers.
	PingEvery = 3 * time.Second
	// GoneAfter is how long a daemon must be listed as gone before planned work continues without its confirmation.
	GoneAfter = 30 * time.Second
	// fullReadEvery is the number of steps of a daemon without the lease from one read of all rows to the next.
	fullReadEvery = 15
	// listRetention is how long a daemon that lost the lease keeps the host list, so that the next holder has read the
	// list and reported the leaving hosts to the other daemons by then. A failed step restarts this time, so that it
	// does not pass during an outage of the platform.
	listRetention = 3 * ListEvery
	// batchSize is the maximum number of host or job rows in one commit.
	batchSize = 64
)

// DrainKey is the key of a row that is replaced by every commit that takes an instance out of service.
const DrainKey = "drain"

// Control is the controller of one daemon. Its exported fields are set before Run and not changed afterwards.
type Control struct {
	Centre string // data centre of this daemon
	Self   string // name of this daemon
	Boot   string // unique for each start of the process
	Table  cuminstair.Table
	Hosts  cuminstair.HostList
	Peers  cuminstair.Peers
	Timer  cuminstair.Timer
	Rand   *rand.Rand
	// Recorder records every committed decision. Required.
	Recorder cuminstair.Recorder
	// Tasks runs jobs on workers. If it is nil, no jobs are placed.
	Tasks cuminstair.Tasks
	// Log may be nil.
	Log hclog.Logger
	// OnHostState is called with the state of a host, for routing, whenever the row of the host is read or written. It
	// may be nil and must not block or call the Control.
	OnHostState func(host string, state cuminstair.HostState)
	// OnPoolChange is called with the pool of a host when its row is first read and whenever the pool changes. It may
	// be nil and must not block.
	OnPoolChange func(host, pool string)
	// OnHostList is called with the platform's list after each read. After this daemon lost the lease, it is called
	// with nil once the next holder has had time to read the list. It may be nil and must not block.
	OnHostList func(hosts []cuminstair.HostStatus)
	// Idle reports whether this daemon sends no new requests to a host and has none in flight there. If it
	// is nil, every host counts as idle.
	Idle func(host string) bool

	stepMu         sync.Mutex // serialises Step and StepDown
	lease          *lease.Lease
	view           view
	members        members
	lastList       time.Time          // last read of the platform's list of hosts
	listReported   bool               // OnHostList was last called with a list, not nil
	followingSince time.Time          // start of the current series of successful steps without the lease
	commitCount    uint64             // commits of this process, for commit ids
	uncertain      *cuminstair.Commit // commit with an unknown outcome, until the rows are read again; or nil
	// Step and StepJobs run in separate goroutines, and each notices outages of the platform by itself.
	stepOutage, jobsOutage outage
	orderCount             atomic.Uint64 // operators' orders of this process, for commit ids

	mu         sync.Mutex // guards the fields below, except jobs
	planner    *wave.Planner
	holding    bool
	fence      lease.Fence // of the lease, while holding
	leaseEnd   time.Time   // end of the lease, while holding
	fleet      *cuminstair.Fleet
	hostStates map[string]cuminstair.HostState // of the hosts in this data centre

	jobs   jobs
	orders map[string]order
	waves  map[string]wave.Wave
}

// order is an operator's order and the version of its row.
type order struct {
	wave.Order
	version uint64
}

// Run calls Step periodically until ctx ends, then gives up the lease.
func (c *Control) Run(ctx context.Context) error {
	wake, stop := timer.Ticks(c.Timer, Tick)
	defer stop()
	jobs := c.runJobs(ctx)
	defer func() { <-jobs }()
	last := c.Timer.Now()
	for {
		select {
		case <-ctx.Done():
			c.StepDown(context.WithoutCancel(ctx))
			return nil
		case <-wake:
			now := c.Timer.Now()
			if !c.Holding() && now.Sub(last) < FollowTick {
				continue
			}
			last = now
			c.Step(ctx)
		}
	}
}

// init creates the lease, view and members on the first call.
func (c *Control) init() {
	if c.lease != nil {
		return
	}
	c.lease = &lease.Lease{Centre: c.Centre, Self: c.Self, Boot: c.Boot, Rand: c.Rand}
	c.view = newView()
	c.members = newMembers(c.Self, c.Centre)
}

// logger returns Log, or a logger that discards everything if Log is nil.
func (c *Control) logger() hclog.Logger {
	if c.Log == nil {
		return hclog.NewNullLogger()
	}
	return c.Log
}

// withPlanner locks the planner and calls fn with it. It does nothing before the first SetFleet.
func (c *Control) withPlanner(fn func(p *wave.Planner)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner != nil {
		fn(c.planner)
	}
}

// SetFleet replaces the fleet file that is in force.
func (c *Control) SetFleet(f *cuminstair.Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		c.planner = wave.New(c.Centre)
	}
	c.planner.SetFleet(c.Timer.Now(), f)
	c.fleet = f
	for name, w := range c.waves {
		c.planner.SetWave(name, w)
	}
	for key, o := range c.orders {
		c.setOrder(c.planner, key, o)
	}
}

// SetHealthy sets whether an upstream host passes the health checks of the daemons.
func (c *Control) SetHealthy(host string, healthy bool) {
	now := c.Timer.Now()
	c.withPlanner(func(p *wave.Planner) { p.SetHealthy(now, host, healthy) })
}

// Holding reports whether this daemon held the lease at the end of its last step.
func (c *Control) Holding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding
}

// Step reads the changed rows and, if this daemon holds the lease, plans and writes. An error of the platform ends the
// step and is logged, an outage only once; the next step continues from the rows.
func (c *Control) Step(ctx context.Context) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.init()
	err := c.step(ctx)
	c.publishLease()
	c.stepOutage.observe(c, "step", err)
	if err != nil {
		c.followingSince = time.Time{}
	}
}

func (c *Control) step(ctx context.Context) error {
	if err := c.sync(ctx); err != nil {
		return err
	}
	before := c.Holding()
	if err := c.campaign(ctx); err != nil {
		return err
	}
	if _, ok := c.lease.Held(c.Timer.Now()); !ok || !before {
		// A new holder acts only from its next step on, which first reads all rows, then reads the list and pings again.
		c.lastList, c.members.lastPing = time.Time{}, time.Time{}
		c.withdrawList()
		return nil
	}
	c.followingSince = time.Time{}
	if err := c.readList(ctx); err != nil {
		return err
	}
	c.ping(ctx)
	if err := c.purge(ctx); err != nil {
		return err
	}
	for range wave.MaxRounds {
		wrote, err := c.round(ctx)
		if err != nil || !wrote {
			return err
		}
	}
	return nil
}

// round starts the actions that host rows request, asks the other daemons for confirmations, plans and writes. It
// returns false if there was nothing to write.
func (c *Control) round(ctx context.Context) (bool, error) {
	c.startActions(ctx)
	c.confirmIdle(ctx)
	var plan wave.Plan
	now := c.Timer.Now()
	c.withPlanner(func(p *wave.Planner) { plan = p.Decide(now) })
	if len(plan.Hosts)+len(plan.Waves) == 0 {
		return false, nil
	}
	return true, c.write(ctx, plan)
}

// campaign acquires or renews the lease when that is due.
func (c *Control) campaign(ctx context.Context) error {
	now := c.Timer.Now()
	if err := c.lease.Observe(now, c.view.lease); err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	commit := c.lease.Next(now)
	if commit == nil {
		return nil
	}
	version, err := c.Table.Commit(ctx, *commit)
	c.lease.Result(c.Timer.Now(), version, outcomeKnown(err))
	c.publishLease()
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	return nil
}

// publishLease copies the state of the lease to the fields that the other goroutines read.
func (c *Control) publishLease() {
	fence, held := c.lease.Held(c.Timer.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding, c.fence, c.leaseEnd = held, fence, c.lease.Until()
}

// held returns the fence of the lease if this daemon holds it now.
func (c *Control) held() (lease.Fence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fence, c.holding && c.Timer.Now().Before(c.leaseEnd)
}

// StepDown gives up the lease at a planned stop, so that another daemon need not wait for it to expire.
func (c *Control) StepDown(ctx context.Context) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.init()
	commit := c.lease.StepDown(c.Timer.Now())
	if commit == nil {
		return
	}
	version, err := c.Table.Commit(ctx, *commit)
	c.lease.Result(c.Timer.Now(), version, outcomeKnown(err))
	c.publishLease()
	if err != nil {
		c.logger().Warn("could not give up the lease; it will expire", "error", err)
	}
}
