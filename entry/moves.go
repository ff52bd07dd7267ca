package entry

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/pools"
	"cuminstair.org/cuminstair/quota"
)

// demandPath is the path of requests for the demand of a service.
const demandPath = "/demand"

// demandTimeout bounds a request for the demand of a service.
const demandTimeout = 250 * time.Millisecond

type demandRequest struct {
	Service   string `json:"service"`
	Incoming  int    `json:"incoming"`  // hosts being moved to the service
	Available int    `json:"available"` // hosts that could be sent to the service
	Stamp     *stamp `json:"stamp,omitempty"`
	// Grant has the shares of the service in the limits of accounts; nil: the request is for the demand.
	Grant *quota.Grant `json:"grant,omitempty"`
	Run   string       `json:"run,omitempty"` // of the daemon that sends the grant

	sentAt time.Time // of a request without a stamp, to a service of this daemon
}

type demandReply struct {
	NotOwner bool            `json:"not,omitempty"`
	Late     bool            `json:"late,omitempty"`  // there is no demand, since the request may be a late one
	Stamp    *stamp          `json:"stamp,omitempty"` // nil: the owner is of an earlier version
	Demand   dispatch.Demand `json:"demand"`
	Limits   *quota.Report   `json:"limits,omitempty"` // answer to a grant; nil: there was none, or the owner is of an earlier version
}

// stepMoves plans the moves of hosts between pools and orders them.
func (h *hostController) stepMoves(ctx context.Context, list []cuminstair.HostRecord) {
	config := h.d.config.Load()
	if config == nil {
		return
	}
	if h.planner == nil && !h.loadPlan(ctx, sparePool(config)) {
		return
	}
	h.planner.Spare = sparePool(config)
	h.planner.MaxMoves = int(h.d.Settings.HostRate * maintenanceInterval.Seconds())
	now := h.d.Timer.Now()
	view := h.newHostView(now, config, list)
	h.queryDemand(ctx, view)
	flat := make([]pools.Pool, 0, len(view.pools))
	for _, p := range view.pools {
		flat = append(flat, *p)
	}
	moves, yields := h.planner.Plan(now, flat, view.spare)
	h.logDemand(flat, moves, len(yields) > 0)
	h.executeMoves(ctx, moves, view)
	h.requestYields(ctx, yields)
	h.savePlan(ctx)
}

// logDemand logs the input of a plan: one line for each pool, at the level info if the plan moves hosts to or from it or
// some pool lacks hosts that others have in use (short), and at the level debug otherwise.
func (h *hostController) logDemand(list []pools.Pool, moves []pools.Move, short bool) {
	changed := map[string]int{}
	for _, m := range moves {
		changed[m.From]++
		changed[m.To]++
	}
	for i := range list {
		p := &list[i]
		level := hclog.Debug
		if short || changed[p.Service] > 0 {
			level = hclog.Info
		}
		h.d.Log.Log(level, "entry: demand", "service", p.Service, "rate", math.Round(p.Rate), "backlog", math.Round(p.Backlog),
			"late", math.Round(p.Late), "active", math.Round(p.Active), "longRunning", math.Round(p.LongRunning), "pinned", p.Pinned,
			"objective", p.Objective.Milliseconds(), "have", p.Have, "incoming", p.Incoming, "idle", len(p.Idle), "known", p.Known, "young", p.Young,
			"moves", changed[p.Service])
	}
}

// planKey is the key of the planner state in waveTable.
const planKey = "plan"

// loadPlan makes a planner from the stored state of an earlier one and returns whether the store answered.
func (h *hostController) loadPlan(ctx context.Context, spare string) bool {
	records, _, err := h.d.Store.Read(ctx, waveTable, ownership.HostsPart, planKey, planKey+"\x00")
	h.d.logDependency(&h.planDep, err)
	if err != nil {
		return false
	}
	h.planner = pools.New(spare)
	for _, rec := range records {
		if err := h.planner.Restore(h.d.Timer.Now(), rec.Value); err != nil {
			h.d.Log.Error("entry: can't decode the stored planner state", "version", rec.Version, "error", err)
		}
	}
	h.savedRevision = h.planner.Revision()
	return true
}

// savePlan stores the planner state if it has changed.
func (h *hostController) savePlan(ctx context.Context) {
	revision := h.planner.Revision()
	if revision == h.savedRevision {
		return
	}
	key := cuminstair.RecordKey{Table: waveTable, Part: ownership.HostsPart, Key: planKey}
	if h.planSnapshot == nil || h.planRevision != revision {
		h.forgetPools()
		h.planRevision, h.planSnapshot = revision, h.planner.Snapshot()
	}
	if h.records.save(ctx, key, h.planSnapshot) {
		h.savedRevision, h.planSnapshot = revision, nil
	}
}

// forgetPools keeps the planner state from growing with the pools of earlier configurations.
func (h *hostController) forgetPools() {
	c := h.d.config.Load()
	if c == nil || len(c.Pools) == 0 {
		return
	}
	var names []string
	for _, p := range c.Pools {
		names = append(names, p.Name)
	}
	h.planner.Keep(names)
}

func sparePool(c *cuminstair.JobConfig) string {
	for _, p := range c.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// hostView is the list of hosts grouped by pool, with lookup tables.
type hostView struct {
	pools  map[string]*pools.Pool
	spare  []string          // hosts in the spare pool that can be moved
	centre map[string]string // by host: data centre
	hosts  map[string]string // by worker: host
	worker map[string]string // by host: worker
}

// newHostView groups the hosts by pool. A host that was ordered to move counts as incoming in its new pool until the
// list shows the move, for moveSettleTime at most.
func (h *hostController) newHostView(now time.Time, config *cuminstair.JobConfig, list []cuminstair.HostRecord) *hostView {
	v := &hostView{pools: map[string]*pools.Pool{}, hosts: map[string]string{}, worker: map[string]string{}, centre: map[string]string{}}
	for _, p := range config.Pools {
		if !p.Spare {
			v.pools[p.Name] = &pools.Pool{Service: p.Name}
		}
	}
	for _, rec := range list {
		to, moving := rec.Pool, rec.Phase == cuminstair.PhaseMoving
		if m, ok := h.moved[rec.Name]; ok {
			if now.Sub(m.at) < moveSettleTime && rec.Pool != m.to {
				to, moving = m.to, true
			} else if rec.Phase == cuminstair.PhaseUp && rec.Pool == m.to {
				delete(h.moved, rec.Name)
			}
		}
		if rec.Worker != "" {
			v.hosts[rec.Worker], v.worker[rec.Name] = rec.Name, rec.Worker
		}
		v.centre[rec.Name] = rec.Centre
		p := v.pools[to]
		switch {
		case p == nil && to == h.planner.Spare && rec.Phase == cuminstair.PhaseUp && !moving && !h.inWave(rec.Name):
			v.spare = append(v.spare, rec.Name)
		case p == nil:
		case moving:
			p.Incoming++
		case rec.Phase == cuminstair.PhaseUp:
			p.Have++
		}
	}
	return v
}

// inWave reports whether the maintenance of a host has been ordered or has begun.
func (h *hostController) inWave(host string) bool {
	for _, w := range h.waves {
		if x := w.HostStates[host]; x != nil && x.Busy() {
			return true
		}
	}
	return false
}

// queryDemand asks the owners for the demand of their services and enters the answers into the view.
func (h *hostController) queryDemand(ctx context.Context, v *hostView) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	var wg sync.WaitGroup
	free := len(v.spare)
	for _, n := range h.idleHosts {
		free += n
	}
	idle := h.idleHosts
	h.idleHosts, h.cutOff = map[string]int{}, map[string]bool{}
	var mu sync.Mutex
	for _, p := range v.pools {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d, ok := h.d.demand(ctx, demandRequest{Service: p.Service, Incoming: p.Incoming, Available: free - idle[p.Service]})
			if !ok {
				return
			}
			p.Known, p.Rate, p.Backlog, p.LongRunning = true, d.Rate, d.Backlog, d.LongRunning
			p.Active, p.Spread, p.Late, p.Young = d.Active, d.Spread, d.Late, d.Young
			p.Pinned, p.Cores, p.Objective = d.Pinned, d.Cores, time.Duration(d.Objective)*time.Millisecond
			for _, id := range d.Silent {
				if _, ok := v.hosts[id]; ok {
					p.Have = max(0, p.Have-1)
				}
			}
			for _, id := range d.Idle {
				if host, ok := v.hosts[id]; ok && !h.inWave(host) {
					p.Idle = append(p.Idle, host)
				}
			}
			mu.Lock()
			for _, centre := range d.CutOff {
				h.cutOff[centre] = true
			}
			h.idleHosts[p.Service] = len(p.Idle)
			mu.Unlock()
		}()
	}
	wg.Wait()
	h.dropCutOff(v)
}

// dropCutOff removes hosts in data centres that are cut off, since moving them would add no capacity.
func (h *hostController) dropCutOff(v *hostView) {
	cutOff := func(host string) bool { return h.cutOff[v.centre[host]] }
	v.spare = slices.DeleteFunc(v.spare, cutOff)
	for _, p := range v.pools {
		p.Idle = slices.DeleteFunc(p.Idle, cutOff)
	}
}

// requestYields asks the owners to drain hosts for other pools.
func (h *hostController) requestYields(ctx context.Context, yields []pools.Yield) {
	requests := map[string]cordonRequest{}
	for _, y := range yields {
		requests[y.Service] = cordonRequest{Yield: y.Hosts}
		h.d.Log.Info("entry: pool asked to free hosts", "service", y.Service, "hosts", y.Hosts, "token", h.token)
	}
	h.askOwners(ctx, requests)
}

// executeMoves orders the moves. Hosts of pools other than the spare pool are drained first.
func (h *hostController) executeMoves(ctx context.Context, moves []pools.Move, v *hostView) {
	byPool := map[string][]pools.Move{}
	for _, m := range moves {
		byPool[m.From] = append(byPool[m.From], m)
	}
	var wg sync.WaitGroup
	for pool, list := range byPool {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cordoned := h.d.Timer.Now()
			if pool != h.planner.Spare {
				list = h.drainedMoves(ctx, pool, list, v)
			}
			h.orderMoves(ctx, list, cordoned)
		}()
	}
	wg.Wait()
}

// drainedMoves cordons the hosts of the moves and returns the moves whose hosts are idle.
func (h *hostController) drainedMoves(ctx context.Context, service string, moves []pools.Move, v *hostView) []pools.Move {
	ids := make([]string, len(moves))
	for i, m := range moves {
		ids[i] = v.worker[m.Host]
	}
	idle := map[string]bool{}
	for _, id := range h.d.cordon(ctx, service, ids) {
		idle[v.hosts[id]] = true
	}
	var ready []pools.Move
	for _, m := range moves {
		if idle[m.Host] {
			ready = append(ready, m)
		}
	}
	return ready
}

// orderMoves orders moves out of one pool, whose owner was asked to drain the hosts at cordoned.
func (h *hostController) orderMoves(ctx context.Context, moves []pools.Move, cordoned time.Time) {
	now := h.d.Timer.Now()
	h.mu.Lock()
	for _, m := range moves {
		h.moved[m.Host] = hostMove{to: m.To, at: now}
	}
	h.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range moves {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !h.mayStillOrder(cordoned) {
				h.d.Log.Info("entry: move not ordered", "host", m.Host, "from", m.From, "to", m.To, "token", h.token, "why", "its worker may have tasks again")
				return
			}
			err := h.d.Hosts.Move(ctx, h.d.Settings.Name, int64(h.token), m.Host, m.To)
			h.d.Log.Info("entry: move ordered", "host", m.Host, "from", m.From, "to", m.To, "why", m.Reason, "token", h.token, "error", err)
		}()
	}
	wg.Wait()
}

// demand asks the owner of a service for its demand.
func (d *Daemon) demand(ctx context.Context, q demandRequest) (dispatch.Demand, bool) {
	r, addr := d.owner(q.Service)
	a, ok := d.askDemand(ctx, q, r, addr)
	return a.Demand, ok
}

// askDemand sends a request to the owner of a service, which is a runner of this daemon or has an address, and returns whether it has
// answered.
func (d *Daemon) askDemand(ctx context.Context, q demandRequest, r *runner, addr string) (demandReply, bool) {
	if r != nil {
		q.sentAt = d.Timer.Now()
		a := demandLocal(ctx, r, q)
		return a, !a.NotOwner
	}
	if addr == "" {
		return demandReply{}, false
	}
	var a demandReply
	ok := d.askOwner(q.Service, func(s *stamp) (*stamp, bool, error) {
		a, q.Stamp = demandReply{}, s
		err := d.peers.post(ctx, addr, demandPath, q, &a)
		return a.Stamp, a.Late, err
	})
	if !ok || a.NotOwner {
		return demandReply{}, false
	}
	return a, true
}

func demandLocal(ctx context.Context, r *runner, q demandRequest) demandReply {
	answers := make(chan demandReply, 1)
	if r.service == ownership.HostsPart || !r.post(func(now time.Time) {
		a := demandReply{Late: !r.isRecent(now, q.Stamp), Stamp: r.stamp(now)}
		switch {
		case a.Late:
		case q.Grant != nil:
			a.Limits = r.limitReport(now, q)
		default:
			a.Demand = r.state.Demand(now, q.Incoming, q.Available)
		}
		answers <- a
	}) {
		return demandReply{NotOwner: true}
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		return demandReply{NotOwner: true}
	}
}

func (d *Daemon) serveDemand(c echo.Context) error {
	var q demandRequest
	if err := decodeBody(c, &q); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	r, _ := d.owner(q.Service)
	if r == nil {
		return c.JSON(http.StatusOK, demandReply{NotOwner: true})
	}
	return c.JSON(http.StatusOK, demandLocal(c.Request().Context(), r, q))
}
