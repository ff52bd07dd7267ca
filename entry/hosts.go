package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/maintenance"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
	"cuminstair.org/cuminstair/pools"
)

// Intervals and time limits of maintenance.
const (
	// maintenanceInterval is the pause between two steps of the controller of hosts.
	maintenanceInterval = 300 * time.Millisecond
	// moveSettleTime is how long the list of hosts may take to show a move.
	moveSettleTime = 900 * time.Millisecond
	// orderRetry is the pause before a maintenance order without an answer is sent again.
	orderRetry = 900 * time.Millisecond
	// orderVisibleAfter is how long after a takeover the list of hosts may lack the earlier controller's orders.
	orderVisibleAfter = 1500 * time.Millisecond
	// cordonTimeout bounds a request to an owner to drain workers.
	cordonTimeout = 400 * time.Millisecond
	// orderMaxAge is how long after the request to drain a worker its host may still be ordered down or moved. The owner
	// gives the worker tasks again after two seconds.
	orderMaxAge = 1200 * time.Millisecond
	// requestMaxAge is the age of the stamp above which a request of the controller to an owner may be a late one. The effect
	// of a request lasts as long.
	requestMaxAge = 2 * time.Second
	// waveTable has a record for each wave, in the part ownership.HostsPart.
	waveTable = "wave"
)

// maintenanceLoop carries out waves and moves of hosts while this daemon owns ownership.HostsPart.
func (d *Daemon) maintenanceLoop(ctx context.Context) error {
	controller := &hostController{d: d, planDep: dependency{name: "record of the demand in the store"}}
	for ctx.Err() == nil {
		d.sleep(ctx, maintenanceInterval)
		d.mu.Lock()
		r := d.runners[ownership.HostsPart]
		d.mu.Unlock()
		if r == nil || r.closed.Load() || d.Hosts == nil {
			controller.waves = nil
			continue
		}
		controller.step(ctx, r)
	}
	return nil
}

// hostController orders the maintenance of hosts and their moves between pools while this daemon owns
// ownership.HostsPart.
type hostController struct {
	d             *Daemon
	token         uint64
	waves         map[string]*maintenance.Wave
	ended         map[string]bool
	records       *recordWriter
	reportedState map[string]string // by wave: state last written to the status table
	planner       *pools.Planner
	savedRevision string          // Revision of the planner state that was stored last
	planRevision  string          // Revision of planSnapshot
	planSnapshot  []byte          // planner state that is being stored; nil: none
	freeWorkers   map[string]bool // workers without long-running tasks on hosts due for maintenance
	answered      map[string]bool // services whose owners have reported their free workers
	planDep       dependency      // reads of the planner state in the store
	cutOff        map[string]bool // data centres that an owner reports as cut off
	idleHosts     map[string]int  // by service: idle hosts in the owner's last answer
	mu            sync.Mutex
	moved         map[string]hostMove // by host: last move order; guarded by mu while moves are ordered
}

// hostMove is an order to move a host.
type hostMove struct {
	to string
	at time.Time
}

func (h *hostController) step(ctx context.Context, r *runner) {
	if h.waves == nil || h.token != r.token {
		h.token = r.token
		h.waves, h.ended = map[string]*maintenance.Wave{}, map[string]bool{}
		h.reportedState = map[string]string{}
		h.records = newRecordWriter(h.d, r.token)
		h.planner, h.planSnapshot, h.moved = nil, nil, map[string]hostMove{}
	}
	h.freeWorkers, h.answered = map[string]bool{}, map[string]bool{}
	h.loadWaves(ctx)
	at := h.d.Timer.Now()
	list, err := h.d.Hosts.List(ctx)
	if err != nil {
		h.d.Log.Debug("entry: can't list the hosts", "error", err)
		return
	}
	for key, w := range h.waves {
		w.Observe(at, list)
		h.stepWave(ctx, r, key, w, list)
		h.saveWave(ctx, key, w)
	}
	if h.mayOrder(r) {
		h.stepMoves(ctx, list)
	}
}

// mayOrder reports whether no order of an earlier controller can take effect any more: the platform rejects them by
// their lower token, or, if it does not check tokens, enough time has passed since the takeover.
func (h *hostController) mayOrder(r *runner) bool {
	return h.d.Settings.Bounds.Fenced || !r.hadOwner || h.d.Timer.Now().Sub(r.takenAt) >= h.d.Settings.Bounds.HandoverDelay+maintenanceInterval
}

// mayTakeDown reports whether all hosts that are down are known: the list shows the orders of an earlier controller,
// and the store answers this daemon, so that no other controller is about to take over.
func (h *hostController) mayTakeDown(r *runner) bool {
	return !h.d.storeUnavailable() && (!r.hadOwner || h.d.Timer.Now().Sub(r.takenAt) >= orderVisibleAfter)
}

// loadWaves reads the records of waves that this controller does not have yet.
func (h *hostController) loadWaves(ctx context.Context) {
	h.d.mu.Lock()
	fresh := map[string]cuminstair.MaintenanceWave{}
	for key, w := range h.d.waves {
		if h.waves[key] == nil && !h.ended[key] {
			fresh[key] = w
		}
	}
	h.d.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	records, _, err := h.d.Store.Read(ctx, waveTable, ownership.HostsPart, "", "")
	if err != nil {
		h.d.Log.Warn("entry: can't read the records of waves", "error", err)
		return
	}
	known := map[string]maintenance.Record{}
	for _, rec := range records {
		v, err := maintenance.DecodeRecord(rec.Value)
		if err != nil {
			h.d.Log.Error("entry: can't read the record of a wave", "wave", rec.Key, "error", err)
			continue
		}
		known[rec.Key] = v
	}
	for key, w := range fresh {
		h.waves[key] = maintenance.New(h.d.Timer.Now(), w, known[key])
	}
}

// stepWave orders maintenance for the next hosts of a wave.
func (h *hostController) stepWave(ctx context.Context, r *runner, key string, w *maintenance.Wave, list []cuminstair.HostRecord) {
	byName := map[string]cuminstair.HostRecord{}
	for _, rec := range list {
		byName[rec.Name] = rec
	}
	// Hosts that an earlier controller ordered down may have tasks again.
	h.vacate(ctx, append(w.Due(), w.Pending()...), byName)
	now := h.d.Timer.Now()
	candidates := w.Candidates(func(host string) int {
		rec, ok := byName[host]
		switch {
		case !ok || rec.Phase != cuminstair.PhaseUp:
			return costExcluded
		case rec.Worker == "":
			return costEmpty
		case h.freeWorkers[rec.Worker]:
			return costFree
		case h.answered[rec.Pool]:
			return costPinned
		}
		return costExcluded
	})
	cordoned := h.d.Timer.Now()
	// An order without an answer may still take effect, so its host is kept without tasks.
	idle := h.cordon(ctx, append(candidates, w.Pending()...), byName)
	if !h.mayOrder(r) || !h.mayTakeDown(r) {
		return
	}
	hosts := w.OrderNext(now, idle, orderRetry)
	// The order of a host that the record lacks could be carried out after the next controller has taken others down.
	if len(hosts) > 0 && !h.saveRecord(ctx, key, w) {
		w.Postpone(hosts)
		h.d.Log.Info("entry: maintenance not ordered", "wave", w.Number, "hosts", hosts, "token", h.token, "why", "the record of the wave is not written yet")
		return
	}
	for _, host := range hosts {
		h.orderMaintenance(ctx, w, host, cordoned)
	}
}

// mayStillOrder reports whether the host of a worker that an owner was asked to drain at cordoned may be ordered down or
// moved. After a pause of this process, or slow orders before this one, the worker may have tasks again.
func (h *hostController) mayStillOrder(cordoned time.Time) bool {
	return h.d.Timer.Now().Sub(cordoned) < orderMaxAge
}

// Costs of draining a host for maintenance; hosts with a negative cost are not drained.
const (
	costExcluded = -1 // not up, or the owner of its pool has not answered
	costEmpty    = 0  // has no worker
	costFree     = 1  // has no long-running tasks
	costPinned   = 2  // has long-running tasks, which are moved away one at a time
)

// vacate asks the owners to move long-running tasks off hosts that are due for maintenance and to place none there.
func (h *hostController) vacate(ctx context.Context, hosts []string, byName map[string]cuminstair.HostRecord) {
	requests := map[string]cordonRequest{}
	for _, host := range hosts {
		if rec := byName[host]; rec.Worker != "" {
			q := requests[rec.Pool]
			q.Due = append(q.Due, rec.Worker)
			requests[rec.Pool] = q
		}
	}
	for service, a := range h.askOwners(ctx, requests) {
		h.answered[service] = true
		for _, id := range a.Free {
			h.freeWorkers[id] = true
		}
	}
}

// askOwners sends requests to the owners of several services in parallel and returns the answers by service.
func (h *hostController) askOwners(ctx context.Context, requests map[string]cordonRequest) map[string]cordonReply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]cordonReply{}
	for service, q := range requests {
		q.Service = service
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, ok := h.d.cordonWorkers(ctx, q)
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[service] = a
		}()
	}
	wg.Wait()
	return answers
}

// cordon asks the owners to drain the workers of hosts and returns the hosts that are idle.
func (h *hostController) cordon(ctx context.Context, hosts []string, byName map[string]cuminstair.HostRecord) []string {
	requests := map[string]cordonRequest{}
	hostOf := map[string]string{}
	var idle []string
	for _, host := range hosts {
		rec := byName[host]
		if rec.Worker == "" {
			idle = append(idle, host)
			continue
		}
		q := requests[rec.Pool]
		q.Workers = append(q.Workers, rec.Worker)
		requests[rec.Pool] = q
		hostOf[rec.Worker] = host
	}
	for _, a := range h.askOwners(ctx, requests) {
		for _, id := range a.Idle {
			idle = append(idle, hostOf[id])
		}
	}
	return idle
}

func (h *hostController) orderMaintenance(ctx context.Context, w *maintenance.Wave, host string, cordoned time.Time) {
	if !h.mayStillOrder(cordoned) {
		h.d.Log.Info("entry: maintenance not ordered", "wave", w.Number, "host", host, "token", h.token, "why", "its worker may have tasks again")
		return // the wave orders it again
	}
	err := h.d.Hosts.Maintain(ctx, h.d.Settings.Name, int64(h.token), host, w.Number)
	now := h.d.Timer.Now()
	refused := err != nil && !errors.Is(err, cuminstair.ErrUncertain)
	w.Confirm(now, host, err == nil, refused)
	h.d.Log.Info("entry: maintenance ordered", "wave", w.Number, "host", host, "token", h.token, "down", w.Down(), "limit", w.Limit, "error", err)
}

// saveRecord reports whether the store holds the record of a wave, and writes it if not.
func (h *hostController) saveRecord(ctx context.Context, key string, w *maintenance.Wave) bool {
	return h.records.save(ctx, cuminstair.RecordKey{Table: waveTable, Part: ownership.HostsPart, Key: key}, w.EncodeRecord())
}

// saveWave writes the record and the state of a wave if they have changed. Later steps call it again until both are
// stored.
func (h *hostController) saveWave(ctx context.Context, key string, w *maintenance.Wave) {
	if !h.saveRecord(ctx, key, w) {
		return
	}
	completed := w.Completed()
	state := platform.EncodeWaveState(completed)
	if !h.records.save(ctx, cuminstair.RecordKey{Table: platform.StatusTable, Key: platform.WaveKey(w.Number)}, state) {
		return
	}
	if h.reportedState[key] != string(state) {
		h.reportedState[key] = string(state)
		h.d.Log.Info("entry: wave state written", "wave", w.Number, "completed", completed, "after", h.d.Timer.Now().Sub(w.FirstSeen).Round(time.Millisecond).String())
	}
	if completed {
		delete(h.waves, key)
		h.ended[key] = true
	}
}

// cordon asks the owner of a service to drain workers and returns those that are idle.
func (d *Daemon) cordon(ctx context.Context, service string, ids []string) []string {
	a, _ := d.cordonWorkers(ctx, cordonRequest{Service: service, Workers: ids})
	return a.Idle
}

// cordonWorkers asks the owner of a service, in this daemon or another, to drain workers.
func (d *Daemon) cordonWorkers(ctx context.Context, q cordonRequest) (cordonReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	r, addr := d.owner(q.Service)
	switch {
	case r != nil:
		return cordonLocal(ctx, r, q)
	case addr == "" && d.isSparePool(q.Service):
		return cordonReply{Idle: q.Workers, Free: q.Due}, true // nothing runs in a pool that is switched off
	case addr == "":
		return cordonReply{}, false
	}
	var a cordonReply
	ok := d.askOwner(q.Service, func(s *stamp) (*stamp, bool, error) {
		a, q.Stamp = cordonReply{}, s
		err := d.peers.post(ctx, addr, cordonPath, q, &a)
		return a.Stamp, a.Late, err
	})
	if !ok || a.NotOwner {
		return cordonReply{}, false
	}
	return a, true
}

// askOwner sends a request of the controller of hosts with the latest stamp of the owner, and once more if the owner can't tell
// by it that the request is recent. It returns false if there is no answer of an owner that is the latest as far as is known.
func (d *Daemon) askOwner(service string, ask func(*stamp) (issued *stamp, late bool, err error)) bool {
	for range 2 {
		issued, late, err := ask(d.requestStamp(service))
		if err != nil {
			d.Log.Debug("entry: owner did not answer", "service", service, "error", err)
			return false
		}
		if !d.stamps.observe(service, issued) {
			d.Log.Info("entry: answer of a former owner ignored", "service", service)
			return false
		}
		if !late {
			return true
		}
	}
	return false
}

// isRecent reports whether a request of the controller of hosts can be carried out: TCP may deliver one long after the controller
// has given it up. Those without a stamp are of this daemon, or of an earlier version.
func (r *runner) isRecent(now time.Time, s *stamp) bool {
	if s == nil {
		return true
	}
	at := r.issuedAt(now, s)
	return !at.IsZero() && now.Sub(at) < requestMaxAge
}

// isSparePool reports whether a service is the pool of the hosts that are switched off.
func (d *Daemon) isSparePool(service string) bool {
	c := d.config.Load()
	return c != nil && service != "" && sparePool(c) == service
}

func cordonLocal(ctx context.Context, r *runner, q cordonRequest) (cordonReply, bool) {
	answers := make(chan cordonReply, 1)
	if !r.post(func(now time.Time) {
		a := cordonReply{Late: !r.isRecent(now, q.Stamp), Stamp: r.stamp(now)}
		if !a.Late {
			if q.Yield > 0 {
				r.state.Yield(now, q.Yield)
			}
			a.Idle, a.Free = r.state.Cordon(now, q.Workers), r.state.Vacate(now, q.Due)
		}
		answers <- a
	}) {
		return cordonReply{}, false
	}
	select {
	case a := <-answers:
		return a, true
	case <-ctx.Done():
		return cordonReply{}, false
	}
}

func (d *Daemon) serveCordon(c echo.Context) error {
	var q cordonRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	r, _ := d.owner(q.Service)
	if r == nil {
		return c.JSON(http.StatusOK, cordonReply{NotOwner: true})
	}
	a, ok := cordonLocal(c.Request().Context(), r, q)
	a.NotOwner = !ok
	return c.JSON(http.StatusOK, a)
}
