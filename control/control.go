// Package control drives the planned work of one data centre against the platform: it holds the lease (package lease),
// plans (package wave), writes rows, starts the platform's actions and asks the other daemons for confirmation.
//
// Every daemon runs a Control. All follow the host rows and pass them to routing; only the holder of the lease writes.
// Every write checks the version of the lease row and of the rows that it replaces, so that a holder that was paused
// past its lease changes nothing. Writes that take an instance also replace the row DrainKey, which serialises them
// over the data centres: the budgets of services span the fleet.
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
	"cuminstair.org/cuminstair/wave"
)

// Times and sizes of a Control.
const (
	// Tick is the time between two steps of the holder of the lease.
	Tick = time.Second
	// FollowTick is the time between two steps of the other daemons, which share the table service's reads.
	FollowTick = 2 * time.Second
	// ListEvery is the time between two readings of the platform's list, which lags by more than this.
	ListEvery = 5 * time.Second
	// PingEvery is the time between two questions to every live daemon whether it answers.
	PingEvery = 3 * time.Second
	// GoneAfter is how long a daemon is listed as gone before planned work goes on without it.
	GoneAfter = 30 * time.Second
	// followAll is how many steps a daemon that does not hold the lease makes between two full readings.
	followAll = 15
	// forgetList is how long a daemon that lost the lease keeps what the list showed, so that the next holder has read
	// it and told the others before. It doesn't pass while the platform is away.
	forgetList = 3 * ListEvery
	// batch bounds the host rows of one commit.
	batch = 64
)

// DrainKey is the key of the row that every commit replaces that takes an instance out of service.
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
	// Recorder takes every decision that was committed. Required.
	Recorder cuminstair.Recorder
	// Tasks runs jobs on workers. It may be nil; then there are no jobs.
	Tasks cuminstair.Tasks
	// Log may be nil.
	Log hclog.Logger
	// State takes the state of a host for routing. It may be nil and must not block or call the Control.
	State func(host string, state cuminstair.HostState)
	// Moved takes the pool of a host, first and whenever it changes. It may be nil and must not block.
	Moved func(host, pool string)
	// Listed takes the platform's list whenever it was read, and nil once another daemon has had time to read it. It may
	// be nil and must not block.
	Listed func(hosts []cuminstair.HostStatus)
	// Idle tells whether this daemon sends nothing new to a host and has nothing in flight there. Nil means always.
	Idle func(host string) bool

	stepping sync.Mutex // one Step at a time
	lease    *lease.Lease
	view     view
	members  members
	listed   time.Time // when the platform's list was last read
	handed   bool      // Listed has been given a list
	follows  time.Time // since when the steps of this daemon succeed without the lease
	count    uint64    // commits of this process
	unsure   *cuminstair.Commit
	// The goroutine of Step and that of StepJobs meet the platform separately.
	stepOutage, jobsOutage outage
	ordered                atomic.Uint64 // operators' orders of this process

	mu      sync.Mutex // guards planner, which other goroutines explain from
	planner *wave.Planner
	holding bool
	fence   lease.Fence // of the lease, while holding
	until   time.Time   // end of the lease, while holding
	fleet   *cuminstair.Fleet
	states  map[string]cuminstair.HostState // of the own hosts

	jobs   jobs
	orders map[string]order
	waves  map[string]wave.Wave
}

// order is an operator's order as it was read.
type order struct {
	wave.Order
	version uint64
}

// Run steps until ctx ends, then gives up the lease.
func (c *Control) Run(ctx context.Context) error {
	wake := make(chan struct{}, 1)
	stop := c.Timer.Every(Tick, func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
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

// init makes the parts that the zero value lacks.
func (c *Control) init() {
	if c.lease != nil {
		return
	}
	c.lease = &lease.Lease{Centre: c.Centre, Self: c.Self, Run: c.Boot, Rand: c.Rand}
	c.view = newView()
	c.members = newMembers(c.Self, c.Centre)
}

// logger returns Log, or one that drops everything.
func (c *Control) logger() hclog.Logger {
	if c.Log == nil {
		return hclog.NewNullLogger()
	}
	return c.Log
}

// plan locks the planner and calls fn with it, unless no fleet file is known yet.
func (c *Control) plan(fn func(p *wave.Planner)) {
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
		c.give(c.planner, key, o)
	}
}

// SetHealthy takes the health of an upstream host as the checks of the daemons see it.
func (c *Control) SetHealthy(host string, healthy bool) {
	now := c.Timer.Now()
	c.plan(func(p *wave.Planner) { p.SetHealthy(now, host, healthy) })
}

// Holding tells whether this daemon held the lease at the end of its last step.
func (c *Control) Holding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holding
}

// Step reads what has changed and, under the lease, plans and writes. Faults of the platform end the step and are
// logged, an outage once; the next step goes on from the rows.
func (c *Control) Step(ctx context.Context) {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	c.init()
	err := c.step(ctx)
	c.share()
	c.stepOutage.see(c, "step", err)
	if err != nil {
		c.follows = time.Time{}
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
		// A new holder reads everything first.
		// What a later term begins with has to be read and asked anew.
		c.listed, c.members.pinged = time.Time{}, time.Time{}
		c.forget()
		return nil
	}
	c.follows = time.Time{}
	if err := c.list(ctx); err != nil {
		return err
	}
	c.ping(ctx)
	if err := c.purge(ctx); err != nil {
		return err
	}
	for range wave.Rounds {
		wrote, err := c.round(ctx)
		if err != nil || !wrote {
			return err
		}
	}
	return nil
}

// round starts the actions that rows ask for, asks for confirmations, plans and writes. It returns false if there was
// nothing to write.
func (c *Control) round(ctx context.Context) (bool, error) {
	c.act(ctx)
	c.confirm(ctx)
	var plan wave.Plan
	now := c.Timer.Now()
	c.plan(func(p *wave.Planner) { plan = p.Decide(now) })
	if len(plan.Hosts)+len(plan.Waves) == 0 {
		return false, nil
	}
	return true, c.write(ctx, plan)
}

// campaign acquires or renews the lease when it is time to.
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
	c.lease.Result(c.Timer.Now(), version, settled(err))
	c.share()
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	return nil
}

// share passes the state of the lease to the other goroutines.
func (c *Control) share() {
	fence, held := c.lease.Held(c.Timer.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding, c.fence, c.until = held, fence, c.lease.Until()
}

// held returns the fence of the lease if it holds now.
func (c *Control) held() (lease.Fence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fence, c.holding && c.Timer.Now().Before(c.until)
}

// StepDown gives up the lease at a planned stop, so that another daemon need not wait for it to lapse.
func (c *Control) StepDown(ctx context.Context) {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	c.init()
	commit := c.lease.StepDown(c.Timer.Now())
	if commit == nil {
		return
	}
	version, err := c.Table.Commit(ctx, *commit)
	c.lease.Result(c.Timer.Now(), version, settled(err))
	c.share()
	if err != nil {
		c.logger().Warn("lease not given up; it lapses", "error", err)
	}
}
