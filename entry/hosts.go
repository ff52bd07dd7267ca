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

// Times of maintenance.
const (
	maintenanceEvery = 300 * time.Millisecond
	// moveSettles is how long the list of hosts may take to show a move.
	moveSettles = 900 * time.Millisecond
	orderAgain  = 900 * time.Millisecond
	// ordersShow is how long after a takeover the list of hosts may lack what the earlier controller ordered.
	ordersShow = 1500 * time.Millisecond
	cordonTime = 400 * time.Millisecond
	// waveTable has a record for each wave, in the part of the hosts' duty.
	waveTable = "wave"
)

// maintenanceLoop carries out waves while this daemon has the hosts' duty.
func (d *Daemon) maintenanceLoop(ctx context.Context) error {
	duty := &hostDuty{d: d, memory: dependency{name: "record of the demand in the store"}}
	for ctx.Err() == nil {
		d.sleep(ctx, maintenanceEvery)
		d.mu.Lock()
		r := d.runners[ownership.HostsPart]
		d.mu.Unlock()
		if r == nil || r.closed.Load() {
			duty.waves = nil
			continue
		}
		duty.step(ctx, r)
	}
	return nil
}

// hostDuty is the state of the controller of hosts.
type hostDuty struct {
	d      *Daemon
	token  uint64
	waves  map[string]*maintenance.Wave
	ended  map[string]bool
	told   map[string]string // wave, state in the status table
	saved  map[string]string // wave, record as written last
	plan   *pools.Planner
	kept   string          // Stamp of what was stored last
	free   map[string]bool // workers of hosts that are due and have no long-running tasks
	asked  map[string]bool // services whose owners have told that
	memory dependency      // record of what earlier controllers have learned
	cutOff map[string]bool // data centres that an owner finds cut off
	idle   map[string]int  // by service: idle hosts when it was asked last
	mu     sync.Mutex
	moved  map[string]hostMove // host, last order to move it; guarded by mu while moves are ordered
}

// hostMove is an order to move a host.
type hostMove struct {
	to string
	at time.Time
}

func (h *hostDuty) step(ctx context.Context, r *runner) {
	if h.waves == nil || h.token != r.token {
		h.token = r.token
		h.waves, h.ended = map[string]*maintenance.Wave{}, map[string]bool{}
		h.told, h.saved = map[string]string{}, map[string]string{}
		h.plan, h.moved = nil, map[string]hostMove{}
	}
	h.free, h.asked = map[string]bool{}, map[string]bool{}
	h.load(ctx)
	at := h.d.Timer.Now()
	list, err := h.d.Hosts.List(ctx)
	if err != nil {
		h.d.Log.Debug("entry: can't list the hosts", "error", err)
		return
	}
	for key, w := range h.waves {
		w.Observe(at, list)
		h.wave(ctx, r, w, list)
		h.save(ctx, key, w)
	}
	if h.mayOrder(r) {
		h.move(ctx, list)
	}
}

// mayOrder tells whether orders of an earlier controller are surely over. The controller of hosts turns them away by
// their lower token, unless it does not check tokens.
func (h *hostDuty) mayOrder(r *runner) bool {
	return h.d.Settings.Bounds.Fenced || !r.after || h.d.Timer.Now().Sub(r.taken) >= h.d.Settings.Bounds.TurnTime+maintenanceEvery
}

// mayTakeDown tells whether all hosts that are down are known: orders of an earlier controller show in the list, and no
// other controller is about to follow because the store turns this one away.
func (h *hostDuty) mayTakeDown(r *runner) bool {
	return !h.d.storeRefuses() && (!r.after || h.d.Timer.Now().Sub(r.taken) >= ordersShow)
}

// load reads the records of waves that are new to this daemon.
func (h *hostDuty) load(ctx context.Context) {
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
		v, err := maintenance.ReadRecord(rec.Value)
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

// wave takes the next hosts of a wave.
func (h *hostDuty) wave(ctx context.Context, r *runner, w *maintenance.Wave, list []cuminstair.HostRecord) {
	byName := map[string]cuminstair.HostRecord{}
	for _, rec := range list {
		byName[rec.Name] = rec
	}
	h.vacate(ctx, w.Due(), byName)
	now := h.d.Timer.Now()
	candidates := w.Candidates(func(host string) int {
		rec, ok := byName[host]
		switch {
		case !ok || rec.Phase != cuminstair.PhaseUp:
			return rankNever
		case rec.Worker == "":
			return rankEmpty
		case h.free[rec.Worker]:
			return rankFree
		case h.asked[rec.Pool]:
			return rankPinned
		}
		return rankNever
	})
	// An order without an answer may be carried out later, so that its host stays without tasks.
	idle := h.cordon(ctx, append(candidates, w.Pending()...), byName)
	if !h.mayOrder(r) || !h.mayTakeDown(r) {
		return
	}
	for _, host := range w.Take(now, idle, orderAgain) {
		h.order(ctx, w, host)
	}
}

// Ranks of hosts for maintenance, those that are taken first first.
const (
	rankNever  = -1 // not up, or nothing is known of it
	rankEmpty  = 0  // has no worker
	rankFree   = 1  // runs short tasks at most
	rankPinned = 2  // has long-running tasks, which move away one after the other
)

// vacate keeps long-running tasks away from hosts that are due.
func (h *hostDuty) vacate(ctx context.Context, hosts []string, byName map[string]cuminstair.HostRecord) {
	asks := map[string]cordonRequest{}
	for _, host := range hosts {
		if rec := byName[host]; rec.Worker != "" {
			q := asks[rec.Pool]
			q.Due = append(q.Due, rec.Worker)
			asks[rec.Pool] = q
		}
	}
	for service, a := range h.askOwners(ctx, asks) {
		h.asked[service] = true
		for _, id := range a.Free {
			h.free[id] = true
		}
	}
}

// askOwners asks the owners of several services at the same time and returns the answers that came, by service.
func (h *hostDuty) askOwners(ctx context.Context, asks map[string]cordonRequest) map[string]cordonReply {
	var mu sync.Mutex
	var wg sync.WaitGroup
	answers := map[string]cordonReply{}
	for service, q := range asks {
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

// cordon asks the owners to empty the workers of hosts and returns the hosts that are idle.
func (h *hostDuty) cordon(ctx context.Context, hosts []string, byName map[string]cuminstair.HostRecord) []string {
	asks := map[string]cordonRequest{}
	hostOf := map[string]string{}
	var idle []string
	for _, host := range hosts {
		rec := byName[host]
		if rec.Worker == "" {
			idle = append(idle, host)
			continue
		}
		q := asks[rec.Pool]
		q.Workers = append(q.Workers, rec.Worker)
		asks[rec.Pool] = q
		hostOf[rec.Worker] = host
	}
	for _, a := range h.askOwners(ctx, asks) {
		for _, id := range a.Idle {
			idle = append(idle, hostOf[id])
		}
	}
	return idle
}

func (h *hostDuty) order(ctx context.Context, w *maintenance.Wave, host string) {
	err := h.d.Hosts.Maintain(ctx, h.d.Settings.Name, int64(h.token), host, w.Number)
	now := h.d.Timer.Now()
	refused := err != nil && !errors.Is(err, cuminstair.ErrUncertain)
	w.Confirm(now, host, err == nil, refused)
	h.d.Log.Info("entry: maintenance ordered", "wave", w.Number, "host", host, "token", h.token, "down", w.Down(), "limit", w.Limit, "error", err)
}

// save writes the record and the state of a wave if they have changed.
func (h *hostDuty) save(ctx context.Context, key string, w *maintenance.Wave) {
	value := string(w.Value())
	if h.saved[key] != value {
		rec := cuminstair.RecordKey{Table: waveTable, Part: ownership.HostsPart, Key: key}
		tx := cuminstair.Tx{Puts: []cuminstair.RecordPut{{RecordKey: rec, Value: []byte(value)}}}
		if _, err := h.d.Store.Commit(ctx, tx); err != nil {
			h.d.Log.Debug("entry: can't write the record of a wave", "wave", w.Number, "error", err)
			return
		}
		h.saved[key] = value
	}
	state := platform.EncodeWaveState(w.Completed())
	if h.told[key] != string(state) {
		rec := cuminstair.RecordKey{Table: platform.StatusTable, Key: platform.WaveKey(w.Number)}
		if _, err := h.d.Store.Commit(ctx, cuminstair.Tx{Puts: []cuminstair.RecordPut{{RecordKey: rec, Value: state}}}); err != nil {
			h.d.Log.Debug("entry: can't write the state of a wave", "wave", w.Number, "error", err)
			return
		}
		h.told[key] = string(state)
		h.d.Log.Info("entry: state of a wave told", "wave", w.Number, "completed", w.Completed(), "after", h.d.Timer.Now().Sub(w.Seen).Round(time.Millisecond).String())
	}
	if w.Completed() {
		delete(h.waves, key)
		h.ended[key] = true
	}
}

// cordon asks the owner of a service to empty workers and returns those that are idle.
func (d *Daemon) cordon(ctx context.Context, service string, ids []string) []string {
	a, _ := d.cordonWorkers(ctx, cordonRequest{Service: service, Workers: ids})
	return a.Idle
}

// cordonWorkers asks the owner of a service to empty workers, in this daemon or another.
func (d *Daemon) cordonWorkers(ctx context.Context, q cordonRequest) (cordonReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, cordonTime)
	defer cancel()
	r, addr := d.owner(q.Service)
	switch {
	case r != nil:
		return cordonLocal(ctx, r, q)
	case addr == "" && d.spare(q.Service):
		return cordonReply{Idle: q.Workers, Free: q.Due}, true // nothing runs in a pool that is switched off
	case addr == "":
		return cordonReply{}, false
	}
	var a cordonReply
	if err := d.peers.post(ctx, addr, cordonPath, q, &a); err != nil {
		d.Log.Debug("entry: owner did not answer", "service", q.Service, "error", err)
		return cordonReply{}, false
	}
	return a, !a.NotOwner
}

// spare tells whether a service is the pool of the hosts that are switched off.
func (d *Daemon) spare(service string) bool {
	c := d.config.Load()
	return c != nil && service != "" && sparePool(c) == service
}

func cordonLocal(ctx context.Context, r *runner, q cordonRequest) (cordonReply, bool) {
	answers := make(chan cordonReply, 1)
	if !r.post(func(now time.Time) {
		if q.Yield > 0 {
			r.state.Yield(now, q.Yield)
		}
		answers <- cordonReply{Idle: r.state.Cordon(now, q.Workers), Free: r.state.Vacate(now, q.Due)}
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
