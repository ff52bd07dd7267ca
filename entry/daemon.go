// Package entry is the entry daemon of the job path: it takes jobs from callers, owns services, and drives the decisions
// of the packages dispatch, ownership and maintenance with the platform's store, workers and controller of hosts.
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
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

// Times of the daemon.
const (
	// viewEvery is how often the owner records are read.
	viewEvery = 500 * time.Millisecond
	// listEvery is how often the list of workers is read; a host that was moved for a peak is of use from then on.
	listEvery = 300 * time.Millisecond
	// configWait is how long the store may keep a question for a new configuration open.
	configWait = time.Second
	// configRetry is the pause after such a question failed.
	configRetry = 250 * time.Millisecond
	// balancerTime is how long the load balancer takes to notice that the daemon is not ready.
	balancerTime = 2500 * time.Millisecond
	// stopReserve is kept of the time between the request to stop and the kill.
	stopReserve = 900 * time.Millisecond
	// storeGrace is how long an owner goes on without a sign that it still is the owner.
	storeGrace = 6 * time.Second
	tickEvery  = 40 * time.Millisecond
	// askPeerEvery is how long the same daemon is asked for an owner that is not known.
	askPeerEvery = 50 * time.Millisecond
	// hintTime is how long a daemon that can't read the owner records believes what others told it.
	hintTime = 10 * time.Second
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

	run        string // unique for this start
	addr       string // for calls between daemons
	config     atomic.Pointer[cuminstair.JobConfig]
	stopping   atomic.Bool
	cutOff     atomic.Bool               // neither the store nor another data centre answers
	reading    atomic.Pointer[time.Time] // when the reading of the owner records under way began; nil: there is none
	readAt     atomic.Pointer[time.Time] // last successful reading of the owner records
	readFailed atomic.Bool               // the last reading of the owner records failed
	calls      atomic.Int64              // of callers that are being answered
	peers      *peerClient

	mu       sync.Mutex
	view     *ownership.View
	viewAt   uint64 // version up to which the view is read
	runners  map[string]*runner
	taking   map[string]bool
	workers  map[string]cuminstair.WorkerInfo
	waves    map[string]cuminstair.MaintenanceWave
	beatNow  chan struct{} // write the daemon's record now
	poke     chan struct{} // read the owner records now
	listNow  chan struct{} // read the list of workers now
	seen     map[string]bool
	relieved time.Time       // when a service was last released because this daemon carried too much
	hints    map[string]hint // by service: where other daemons say that its owner is
	work     context.Context // of all work; nil before Run
}

// hint is where the owner of a service is said to be.
type hint struct {
	addr string
	at   time.Time
}

// Run serves until ctx ends and then hands over and stops.
func (d *Daemon) Run(ctx context.Context) error {
	d.run = strconv.FormatInt(d.Timer.Now().UnixNano(), 36)
	d.view = ownership.NewView(d.Settings.Name, d.run)
	d.runners, d.taking = map[string]*runner{}, map[string]bool{}
	d.workers, d.waves = map[string]cuminstair.WorkerInfo{}, map[string]cuminstair.MaintenanceWave{}
	d.poke, d.listNow, d.beatNow = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	d.hints = map[string]hint{}
	d.peers = newPeerClient()
	internal, err := d.listenInternal(ctx)
	if err != nil {
		return err
	}
	var listen net.ListenConfig
	callers, err := listen.Listen(ctx, "tcp", d.Settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := listen.Listen(ctx, "tcp", d.Settings.Readiness)
	if err != nil {
		return fmt.Errorf("listen for the load balancer: %w", err)
	}
	d.Log.Info("entry: started", "name", d.Settings.Name, "run", d.run, "callers", d.Settings.Callers, "internal", d.addr, "store", d.Settings.Store)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.mu.Lock()
	d.work = work
	d.mu.Unlock()
	d.serveMetrics(work)
	servers := []*http.Server{d.callerServer(), d.peerServer(), d.readyServer()}
	var group run.Group
	stopped := make(chan struct{})
	for i, l := range []net.Listener{callers, internal, ready} {
		group.Add(func() error { return serve(servers[i], l, stopped) }, func(error) { _ = servers[i].Close() })
	}
	for _, loop := range []func(context.Context) error{d.followConfig, d.followOwners, d.followWorkers, d.beat, d.maintenanceLoop, d.watchReach} {
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

// serve runs a server. Serve returns as soon as a shutdown begins, while requests are still being answered; the end of
// the daemon waits for stopped.
func serve(server *http.Server, l net.Listener, stopped <-chan struct{}) error {
	err := server.Serve(l)
	if err == http.ErrServerClosed {
		<-stopped
		return nil
	}
	return err
}

// listenInternal opens the first free port of the range for calls between daemons.
func (d *Daemon) listenInternal(ctx context.Context) (net.Listener, error) {
	var last error
	for port := d.Settings.Internal[0]; port <= d.Settings.Internal[1]; port++ {
		addr := net.JoinHostPort(d.Settings.Address, strconv.Itoa(port))
		var listen net.ListenConfig
		l, err := listen.Listen(ctx, "tcp", addr)
		if err == nil {
			d.addr = l.Addr().String()
			return l, nil
		}
		last = err
	}
	return nil, fmt.Errorf("listen for other daemons: %w", last)
}

// shutdown hands all services over, answers what was read, and returns when the daemon may end.
func (d *Daemon) shutdown(callers *http.Server) {
	begin := d.Timer.Now()
	end := begin.Add(d.Settings.Bounds.Grace - stopReserve)
	d.Log.Info("entry: stopping", "name", d.Settings.Name, "calls", d.calls.Load())
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(begin))
	defer cancel()
	d.writeBeat(ctx)
	var wg sync.WaitGroup
	for _, r := range d.owned() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.handOver(ctx, r)
		}()
	}
	wg.Wait()
	d.sleep(ctx, balancerTime-d.Timer.Now().Sub(begin))
	callers.SetKeepAlivesEnabled(false)
	if err := callers.Shutdown(ctx); err != nil {
		d.Log.Warn("entry: calls were not answered in time", "calls", d.calls.Load(), "error", err)
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

// owned returns the runners in the order of their names.
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

// owner returns the own runner of a service, or the address of the owner. A daemon that can't read the owner records
// goes by what other daemons told it, and by what it read last.
func (d *Daemon) owner(service string) (*runner, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.runners[service]; ok && !r.closed.Load() {
		return r, ""
	}
	now := d.Timer.Now()
	if d.view.Blind(now) {
		if h, ok := d.hints[service]; ok && now.Sub(h.at) < hintTime {
			return nil, h.addr
		}
		if o, _ := d.view.Owner(service); o.Name != "" && o.Name != d.Settings.Name {
			return nil, o.Addr
		}
		return nil, d.anyPeer(now)
	}
	if o, ok := d.view.Live(now, service); ok && o.Name != d.Settings.Name {
		return nil, o.Addr
	}
	return nil, ""
}

// anyPeer returns the address of another daemon, which may know the owner that this one does not; a different one from
// time to time.
func (d *Daemon) anyPeer(now time.Time) string {
	nodes := d.view.Nodes(now)
	if len(nodes) == 0 {
		return ""
	}
	return nodes[int(now.UnixMilli()/askPeerEvery.Milliseconds())%len(nodes)].Addr
}

// heard notes where another daemon says that the owner of a service is.
func (d *Daemon) heard(service, addr string) {
	if addr == "" || addr == d.addr {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hints[service] = hint{addr: addr, at: d.Timer.Now()}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
