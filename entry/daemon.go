// Package entry is the entry daemon of the job path: it takes jobs from callers, owns services, and carries out the
// decisions of the packages dispatch, ownership and maintenance with the platform's store, workers and host control.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/intake"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

// Intervals and time limits of the daemon.
const (
	// ownerReadInterval is how often the owner records are read.
	ownerReadInterval = 500 * time.Millisecond
	// workerListInterval is how often the list of workers is read. A host moved to a pool gets tasks only after the next
	// read.
	workerListInterval = 300 * time.Millisecond
	// configWait is how long the store may hold a request for configuration changes open.
	configWait = time.Second
	// configRetry is the pause after such a request failed.
	configRetry = 250 * time.Millisecond
	// balancerDelay is how long the load balancer takes to notice that the daemon is not ready.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is how long before the kill the shutdown ends at the latest. The kill follows Bounds.Grace after the
	// request to stop.
	stopReserve = 900 * time.Millisecond
	// ownerGrace is how long an owner gives orders without confirmation from the store that it is still the owner.
	ownerGrace = 6 * time.Second
	// tickInterval is how often a runner takes a step without an event.
	tickInterval = 40 * time.Millisecond
	// peerRotateInterval is how long calls for a service without a known owner go to the same daemon.
	peerRotateInterval = 50 * time.Millisecond
	// hintTTL is how long a daemon that can't read the owner records uses an owner address from another daemon.
	hintTTL = 10 * time.Second
)

// Daemon is the entry daemon of the job path. The exported fields are set before Run.
type Daemon struct {
	Settings *platform.Settings
	Log      hclog.Logger
	Timer    cuminstair.Timer
	Store    cuminstair.RecordStore
	Workers  cuminstair.WorkerCalls
	Hosts    cuminstair.HostControl // nil: no maintenance and no moves
	Adviser  cuminstair.Adviser     // nil: queues that need advice are refused
	Metrics  *Metrics
	// MetricsAddr is where the metrics are served; empty: nowhere.
	MetricsAddr string

	runID       string // unique for each start of the daemon
	addr        string // for calls between daemons
	config      atomic.Pointer[cuminstair.JobConfig]
	stopping    atomic.Bool
	cutOff      atomic.Bool               // neither the store nor a daemon of another data centre answers
	previewing  atomic.Bool               // a preview is being answered
	readStarted atomic.Pointer[time.Time] // when the current read of the owner records began; nil: none is in progress
	readAt      atomic.Pointer[time.Time] // start of the last successful read of the owner records
	wroteAt     atomic.Pointer[time.Time] // start of the last write to the store that has been stored
	storeBackAt atomic.Pointer[time.Time] // when the owner records were read again after an outage; nil: there was none
	readFailed  atomic.Bool               // the last read of the owner records failed
	openCalls   atomic.Int64              // callers' requests in progress
	gate        *intake.Gate              // of all listeners; nil before Run
	peers       *peerClient
	forwarded   forwardedCalls // calls that other daemons have not answered yet
	runnersMade atomic.Uint64  // for the IDs of runners
	stamps      stamps         // of the owners that have answered this daemon
	assignments assignments    // of the queues to services, as last read

	mu            sync.Mutex
	view          *ownership.View
	viewVersion   uint64 // store version up to which the view has been read
	runners       map[string]*runner
	taking        map[string]bool // by service: a takeover is in progress
	probing       map[string]bool // by daemon: a probe is in progress
	workers       map[string]cuminstair.WorkerInfo
	listReadAt    time.Time // when the last successful read of workers was sent
	waves         map[string]cuminstair.MaintenanceWave
	heartbeatNow  chan struct{}        // signal: write the daemon's record
	readOwnersNow chan struct{}        // signal: read the owner records
	listNow       chan struct{}        // signal: read the list of workers
	badWorkers    map[string]bool      // invalid worker records that have been logged
	rebalancedAt  time.Time            // when a service was last released because this daemon was overloaded
	newerOwners   map[string]int64     // by service: highest token of an owner that told this daemon to stop
	ownerHints    map[string]ownerHint // by service: owner address received from other daemons
	workCtx       context.Context      // context of all background work; nil before Run
}

// ownerHint is an owner's address that another daemon reported.
type ownerHint struct {
	addr string
	at   time.Time
}

// Run serves until ctx ends, then hands its services over and stops.
func (d *Daemon) Run(ctx context.Context) error {
	d.runID = strconv.FormatInt(d.Timer.Now().UnixNano(), 36)
	d.view = ownership.NewView(d.Settings.Name, d.runID)
	d.runners, d.taking, d.probing = map[string]*runner{}, map[string]bool{}, map[string]bool{}
	d.workers, d.waves = map[string]cuminstair.WorkerInfo{}, map[string]cuminstair.MaintenanceWave{}
	d.readOwnersNow, d.listNow, d.heartbeatNow = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	d.ownerHints, d.newerOwners = map[string]ownerHint{}, map[string]int64{}
	d.peers = newPeerClient()
	d.gate = d.newGate()
	internal, err := d.listenInternal(ctx)
	if err != nil {
		return err
	}
	callers, err := d.gate.Listen(ctx, intake.Callers, d.Settings.Callers)
	if err != nil {
		return err //nolint:wrapcheck // names the listener
	}
	ready, err := d.gate.Listen(ctx, intake.Readiness, d.Settings.Readiness)
	if err != nil {
		return err //nolint:wrapcheck // names the listener
	}
	d.Log.Info("entry: started", "name", d.Settings.Name, "run", d.runID, "callers", d.Settings.Callers, "internal", d.addr, "store", d.Settings.Store)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.mu.Lock()
	d.workCtx = work
	d.mu.Unlock()
	d.serveMetrics(work)
	servers := []*http.Server{d.callerServer(), d.peerServer(), d.readyServer()}
	for _, s := range servers {
		d.gate.Guard(s)
	}
	var group run.Group
	stopped := make(chan struct{})
	for i, l := range []net.Listener{callers, internal, ready} {
		group.Add(func() error { return serve(servers[i], l, stopped) }, func(error) { _ = servers[i].Close() })
	}
	for _, loop := range []func(context.Context) error{d.followConfig, d.followOwners, d.followWorkers, d.heartbeatLoop, d.maintenanceLoop, d.limitLoop, d.findGoneWorkers, d.watchConnectivity, d.reconcileAssignments} {
		loopCtx, stop := context.WithCancel(work)
		group.Add(func() error { return loop(loopCtx) }, func(error) { stop() })
	}
	stopCtx, stop := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopCtx.Done()
		d.shutdown(servers[0])
		close(stopped)
		return nil
	}, func(error) { stop() })
	err = group.Run()
	d.Log.Info("entry: stopped", "name", d.Settings.Name, "error", err)
	return err
}

// serve runs a server. After a shutdown it returns only once stopped is closed: http.Server.Serve returns as soon as a
// shutdown begins, while requests are still being answered.
func serve(server *http.Server, l net.Listener, stopped <-chan struct{}) error {
	err := server.Serve(l)
	if err == http.ErrServerClosed {
		<-stopped
		return nil
	}
	return err
}

// listenInternal listens for calls between daemons on the first free port of the configured range.
func (d *Daemon) listenInternal(ctx context.Context) (net.Listener, error) {
	var last error
	for port := d.Settings.Internal[0]; port <= d.Settings.Internal[1]; port++ {
		addr := net.JoinHostPort(d.Settings.Address, strconv.Itoa(port))
		l, err := d.gate.Listen(ctx, intake.Peers, addr)
		if err == nil {
			d.addr = l.Addr().String()
			return l, nil
		}
		last = err
	}
	return nil, fmt.Errorf("listen for other daemons: %w", last)
}

// shutdown hands all services over, answers the requests in progress, and returns when the daemon may end.
func (d *Daemon) shutdown(callers *http.Server) {
	begin := d.Timer.Now()
	end := begin.Add(d.Settings.Bounds.Grace - stopReserve)
	d.Log.Info("entry: stopping", "name", d.Settings.Name, "calls", d.openCalls.Load())
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(begin))
	defer cancel()
	d.writeHeartbeat(ctx)
	var wg sync.WaitGroup
	for _, r := range d.owned() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.handOver(ctx, r)
		}()
	}
	wg.Wait()
	d.sleep(ctx, balancerDelay-d.Timer.Now().Sub(begin))
	callers.SetKeepAlivesEnabled(false)
	if err := callers.Shutdown(ctx); err != nil {
		d.Log.Warn("entry: calls were not answered in time", "calls", d.openCalls.Load(), "error", err)
	}
}

// sleep waits for a time or until ctx ends.
func (d *Daemon) sleep(ctx context.Context, t time.Duration) {
	if t <= 0 {
		return
	}
	done := make(chan struct{})
	stop := d.Timer.After(t, func(time.Time) { close(done) })
	select {
	case <-done:
	case <-ctx.Done():
		stop()
	}
}

// owned returns the runners of this daemon, sorted by service.
func (d *Daemon) owned() []*runner {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*runner, 0, len(d.runners))
	for _, r := range d.runners {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].service < list[j].service })
	return list
}

// owner returns this daemon's runner of a service, or the address of the owner, or neither if no owner is known. A daemon
// that can't read the owner records uses hints from other daemons, then the records that it read last, then any other
// daemon.
func (d *Daemon) owner(service string) (*runner, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.runners[service]; ok && !r.closed.Load() {
		return r, ""
	}
	now := d.Timer.Now()
	if d.view.Outdated(now) {
		if h, ok := d.ownerHints[service]; ok && now.Sub(h.at) < hintTTL {
			return nil, h.addr
		}
		if o, _ := d.view.Owner(service); o.Name != "" && o.Name != d.Settings.Name {
			return nil, o.Addr
		}
		return nil, d.anyPeer(now)
	}
	if o, ok := d.view.LiveOwner(now, service); ok && o.Name != d.Settings.Name {
		return nil, o.Addr
	}
	return nil, ""
}

// anyPeer returns the address of another daemon, which may have the address of the owner. The choice rotates every
// peerRotateInterval.
func (d *Daemon) anyPeer(now time.Time) string {
	nodes := d.view.Peers(now)
	if len(nodes) == 0 {
		return ""
	}
	return nodes[int(now.UnixMilli()/peerRotateInterval.Milliseconds())%len(nodes)].Addr
}

// setOwnerHint stores the owner address of a service that another daemon reported.
func (d *Daemon) setOwnerHint(service, addr string) {
	if addr == "" || addr == d.addr {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownerHints[service] = ownerHint{addr: addr, at: d.Timer.Now()}
}

// dropOwnerHint forgets the owner address of a service that turned out to be of a former owner.
func (d *Daemon) dropOwnerHint(service, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ownerHints[service].addr == addr {
		delete(d.ownerHints, service)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
