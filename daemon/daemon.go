// Package daemon runs an entry daemon: the request path from callers to upstreams, its listeners and further parts.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/caller"
	"cuminstair.org/cuminstair/eventbox"
	"cuminstair.org/cuminstair/explain"
	"cuminstair.org/cuminstair/settings"
	"cuminstair.org/cuminstair/upstream"
)

// Errors of Run and Ready.
const (
	ErrNoFleet  = errors.ConstError("no fleet configuration is installed")
	ErrStopping = errors.ConstError("the daemon is stopping")
	// ErrStopTimeout means that a planned stop cut off requests that did not finish within Settings.Stop.
	ErrStopTimeout = errors.ConstError("planned stop timed out with requests in flight")
)

// Part is a further component of the daemon, such as the peers' listener. Run returns when ctx ends; an earlier return
// stops the daemon. Parts run until a planned stop has ended, so that they can hand over state.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Daemon is an entry daemon. Exported fields are set before Run; fields marked as optional may stay unset. The text
// after "optional:" is the default.
type Daemon struct {
	Settings *settings.Settings
	Log      hclog.Logger
	Timer    cuminstair.Timer // the owner of the timer calls its Run

	Router       cuminstair.Router           // optional: RoundRobin
	NewAdmission func() cuminstair.Admission // optional: Unlimited
	Quotas       cuminstair.Quotas           // optional
	Retries      cuminstair.RetryBudget      // optional
	Health       cuminstair.Health           // optional
	Sender       cuminstair.Sender           // optional: upstream.Sender
	Tickets      cuminstair.Tickets          // optional
	Spill        cuminstair.Spill            // optional
	Operators    http.Handler                // optional; needs Settings.Listen.Operators
	Parts        []Part                      // optional

	// Fresh reports whether the view of the hosts is fresh enough for new work; optional.
	Fresh func() bool
	// NoFleetReason returns why no fleet is installed yet; optional. It is called only while none is installed.
	NoFleetReason func() string
	// ChecksHost reports whether this daemon runs the active checks of a host; optional: all hosts.
	ChecksHost func(host string) bool
	// OnStop is called at the beginning of a planned stop; optional.
	OnStop func()
	// HandOver transfers tickets and outcomes to a successor daemon at a planned stop, after the last answer; optional.
	HandOver func(ctx context.Context) error
	// Events carries events from other parts to the request path.
	Events eventbox.Box[Key, Event]

	once      sync.Once
	decisions *caller.Decisions
	ring      *explain.Ring
	path      *caller.Path
	callers   *caller.Server
	checker   *upstream.Sender
	registry  *prometheus.Registry
	unready   atomic.Bool
	stopping  chan struct{}

	mu      sync.Mutex
	addrs   map[string]net.Addr
	fleet   *cuminstair.Fleet
	daemons int // number of daemons that share the quotas; 0 if not known yet
}

// init builds the request path on first use.
func (d *Daemon) init() {
	d.once.Do(func() {
		d.stopping = make(chan struct{})
		d.registry = prometheus.NewRegistry()
		d.ring = explain.New(explain.DefaultSize, d.Log.Named("explain"))
		d.ring.Timer = d.Timer
		d.addrs = map[string]net.Addr{}
		d.setDefaults()
		d.decisions = &caller.Decisions{
			Timer:        d.Timer,
			Router:       d.Router,
			NewAdmission: d.NewAdmission,
			Quotas:       d.Quotas,
			Retries:      d.Retries,
			Health:       d.Health,
		}
		d.checker.Quiet = d.decisions.Quiet
		d.path = &caller.Path{
			Timer:     d.Timer,
			Log:       d.Log.Named("caller"),
			Recorder:  d.ring,
			Decisions: d.decisions,
			Sender:    d.Sender,
			Tickets:   d.Tickets,
			Spill:     d.Spill,
			Metrics:   caller.NewMetrics(d.registry),
			Fresh:     d.Fresh,
			Stopping:  d.stopping,
		}
		d.callers = &caller.Server{Path: d.path, Log: d.Log.Named("caller"), Name: d.Settings.Name, Ready: d.Ready}
	})
}

func (d *Daemon) setDefaults() {
	d.checker = &upstream.Sender{Timer: d.Timer, Share: d.Settings.Share, Probed: d.recordProbe}
	if d.Sender == nil {
		d.Sender = d.checker
	}
	if d.Router == nil {
		d.Router = &RoundRobin{}
	}
	if d.NewAdmission == nil {
		d.NewAdmission = func() cuminstair.Admission { return &Unlimited{} }
	}
}

// recordProbe records the result of a probe that was sent because connections to a host were silent, and the number of
// connections that were abandoned.
func (d *Daemon) recordProbe(host string, answered bool, abandoned int) {
	choice := "keep connections"
	if abandoned > 0 {
		choice = "leave connections"
	}
	d.ring.Record(cuminstair.Decision{
		At:     d.Timer.Now(),
		Part:   "upstream",
		Kind:   "host",
		ID:     host,
		Choice: choice,
		Reason: cuminstair.ReasonSilent,
		Detail: fmt.Sprintf("answered %t left %d", answered, abandoned),
	})
}

// Decisions returns the part of the request path that decides about requests, for parts that query or update it.
func (d *Daemon) Decisions() *caller.Decisions {
	d.init()
	return d.decisions
}

// Path returns the request path, for requests that peers forward.
func (d *Daemon) Path() *caller.Path {
	d.init()
	return d.path
}

// Explain returns the log of recent decisions.
func (d *Daemon) Explain() *explain.Ring {
	d.init()
	return d.ring
}

// Registry returns the metrics registry, so that parts can register their metrics before Run.
func (d *Daemon) Registry() *prometheus.Registry {
	d.init()
	return d.registry
}

// Addr returns the address of a running listener, "callers", "operators" or "metrics", or nil.
func (d *Daemon) Addr(name string) net.Addr {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addrs[name]
}

// Ready returns nil if the load balancer may send callers to this daemon, and otherwise the reason why not.
func (d *Daemon) Ready() error {
	switch {
	case d.unready.Load():
		return ErrStopping
	case !d.decisions.Ready() && d.NoFleetReason != nil:
		return fmt.Errorf("%w: %s", ErrNoFleet, d.NoFleetReason())
	case !d.decisions.Ready():
		return ErrNoFleet
	default:
		return nil
	}
}

// Run runs the daemon until ctx ends (a planned stop) or a part fails. It returns nil after a planned stop that cut off
// no request.
func (d *Daemon) Run(ctx context.Context) error {
	d.init()
	if path := d.Settings.Fleet; path != "" {
		f, err := ReadFleet(path)
		if err != nil {
			return err
		}
		d.apply(map[Key]Event{{Kind: EventFleet}: {Fleet: f}})
	}
	var g run.Group
	d.add(&g, "explain", d.ring.Run)
	d.add(&g, "events", d.runEvents)
	d.add(&g, "upstream", d.checker.Run)
	d.add(&g, "tick", d.runTicks)
	d.add(&g, "check", d.runChecks)
	for _, p := range d.Parts {
		d.add(&g, p.Name, p.Run)
	}
	if err := d.addListeners(&g); err != nil {
		return err
	}
	d.add(&g, "stop", func(inner context.Context) error {
		select {
		case <-ctx.Done():
			return d.stop()
		case <-inner.Done():
			return nil
		}
	})
	return g.Run()
}

// add adds a part whose context is cancelled when the group stops.
func (d *Daemon) add(g *run.Group, name string, part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := part(ctx); err != nil {
			return fmt.Errorf("run %s: %w", name, err)
		}
		return nil
	}, func(error) { cancel() })
}
