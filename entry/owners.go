package entry

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
)

// stopRetry is the pause before an earlier owner is told again to stop.
const stopRetry = 300 * time.Millisecond

// ownerWriteTimeout is how long a write of an owner record may take before it is sent again.
const ownerWriteTimeout = 900 * time.Millisecond

// hostsRetry is the pause between two looks at the workers that do not answer.
const hostsRetry = 250 * time.Millisecond

// takeoverRetry is the pause after a step of a takeover failed.
const takeoverRetry = 150 * time.Millisecond

// rebalanceInterval is the minimum time between two releases of services because the daemon is overloaded, and between
// the takeover of a service and such a release.
const rebalanceInterval = 4 * time.Second

// rebalanceMaxOpen is the number of open jobs above which a service is not released.
const rebalanceMaxOpen = 20

// storeReadMaxAge is the age of the last read of the owner records above which the store counts as unavailable.
const storeReadMaxAge = 1300 * time.Millisecond

// maxOffers is how many daemons are asked to take a service before a pause.
const maxOffers = 3

// heartbeatLoop rewrites the daemon's record at every heartbeat.
func (d *Daemon) heartbeatLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.config.Load() != nil && !d.stopping.Load() {
			d.writeHeartbeat(ctx)
		}
		d.pause(ctx, d.heartbeatNow, d.heartbeatInterval())
	}
	return nil
}

// heartbeatInterval is the pause between two heartbeats; it is shorter while the daemon owns services.
func (d *Daemon) heartbeatInterval() time.Duration {
	if len(d.owned()) > 0 {
		return ownership.OwnerHeartbeatInterval
	}
	return ownership.HeartbeatInterval
}

func (d *Daemon) writeHeartbeat(ctx context.Context) {
	now := d.Timer.Now()
	if d.readAt.Load() == nil {
		return // the record's generation is not known yet
	}
	d.mu.Lock()
	generation := d.view.Generation()
	d.mu.Unlock()
	n := ownership.Node{
		Run: d.runID, Generation: generation, Addr: d.addr, Centre: d.Settings.Centre, Weight: d.Settings.CPUShare, Ready: !d.stopping.Load(),
		Sequence: now.UnixMilli(), IntervalMillis: d.heartbeatInterval().Milliseconds(),
	}
	// Encoding a Node can't fail.
	data, _ := json.Marshal(n)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: d.Settings.Name}
	if _, err := d.Store.Commit(ctx, cuminstair.Tx{Puts: []cuminstair.RecordPut{{RecordKey: key, Value: data}}}); err != nil {
		d.Log.Debug("entry: can't write the daemon's record", "error", err)
		return
	}
	d.wroteAt.Store(&now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.ObserveLatency(d.Timer.Now().Sub(now))
}

// followOwners reads the owner records, takes services over and stops the runners of services with another owner.
func (d *Daemon) followOwners(ctx context.Context) error {
	dep := &dependency{name: "owner records in the store"}
	for ctx.Err() == nil {
		sent := d.Timer.Now()
		d.readStarted.Store(&sent)
		err := d.readOwners(ctx)
		d.readStarted.Store(nil)
		if ctx.Err() == nil {
			d.logDependency(dep, err)
		}
		d.readFailed.Store(err != nil)
		if err == nil {
			d.noteOutage(sent)
			if d.readAt.Swap(&sent) == nil {
				signal(d.heartbeatNow)
			}
			d.applyOwners(ctx, sent)
		}
		d.pause(ctx, d.readOwnersNow, ownerReadInterval)
	}
	return nil
}

// noteOutage records the end of an outage of the store: the last successful read is longer ago than entries of workers may be
// used.
func (d *Daemon) noteOutage(sent time.Time) {
	if at := d.readAt.Load(); at != nil && sent.Sub(*at) > dispatch.EntryMaxAge {
		now := d.Timer.Now()
		d.storeBackAt.Store(&now)
	}
}

func (d *Daemon) readOwners(ctx context.Context) error {
	begin := d.Timer.Now()
	d.mu.Lock()
	after := d.viewVersion
	d.mu.Unlock()
	var records []cuminstair.Record
	var next uint64
	var err error
	if after > 0 {
		records, next, err = d.Store.Changes(ctx, ownership.Table, after, 0)
	}
	if after == 0 || errors.Is(err, cuminstair.ErrCompacted) {
		records, next, err = d.readOwnersWhole(ctx)
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.ObserveLatency(d.Timer.Now().Sub(begin))
	d.viewVersion = max(d.viewVersion, next)
	if bad := d.view.Apply(d.Timer.Now(), records); len(bad) > 0 {
		d.Log.Error("entry: can't read owner records", "parts", bad)
	}
	return nil
}

// readOwnersWhole reads all records. It returns the version of the first read, so that the next call of Changes repeats
// any change made during the later reads. The parts are listed after that read: a part that is created between a list and the
// first read would be in neither.
func (d *Daemon) readOwnersWhole(ctx context.Context) ([]cuminstair.Record, uint64, error) {
	records, first, err := d.Store.Read(ctx, ownership.Table, ownership.NodePart, "", "")
	if err != nil {
		return nil, 0, err
	}
	parts, err := d.Store.Parts(ctx, ownership.Table)
	if err != nil {
		return nil, 0, err
	}
	for _, part := range parts {
		if part == ownership.NodePart {
			continue
		}
		more, _, err := d.Store.Read(ctx, ownership.Table, part, "", "")
		if err != nil {
			return nil, 0, err
		}
		records = append(records, more...)
	}
	return records, first, nil
}

// services returns the pools that run tasks or may have jobs of queues that have gone to others, and ownership.HostsPart if this
// daemon can control hosts.
func (d *Daemon) services() []string {
	c := d.config.Load()
	if c == nil {
		return nil
	}
	var list []string
	used := map[string]bool{}
	for _, q := range c.Queues {
		used[q.Service] = true
	}
	for _, a := range d.assignments.list() {
		for _, service := range a.queue.Others("") {
			used[service] = true
		}
	}
	for _, p := range c.Pools {
		if !p.Spare || used[p.Name] {
			list = append(list, p.Name)
		}
		delete(used, p.Name)
	}
	list = append(list, slices.Sorted(maps.Keys(used))...) // no pools of the configuration, but they may have jobs
	if d.Hosts != nil {
		list = append(list, ownership.HostsPart)
	}
	return list
}

func (d *Daemon) applyOwners(ctx context.Context, sent time.Time) {
	now := d.Timer.Now()
	services := d.services()
	d.mu.Lock()
	for service, r := range d.runners {
		o, version := d.view.Owner(service)
		if o.Name == d.Settings.Name && o.Run == d.runID {
			r.confirm(sent)
			continue
		}
		if version > r.token {
			r.depose("the store names another owner: " + o.Name)
		}
	}
	var claims []string
	if !d.stopping.Load() {
		claims = d.view.Claims(now, services)
		for _, service := range services {
			if o, _ := d.view.Owner(service); o.Name == d.Settings.Name && o.Run == d.runID && d.runners[service] == nil {
				claims = append(claims, service) // the owner record was written, but the answer to the write was lost
			}
		}
	}
	if !d.stopping.Load() {
		for _, s := range d.view.Suspects(now, services) {
			d.probeOwner(ctx, s)
		}
	}
	for _, service := range claims {
		if d.runners[service] != nil || d.taking[service] {
			continue
		}
		d.taking[service] = true
		old, version := d.view.Owner(service)
		go d.takeOver(ctx, service, old, version)
	}
	toRelease := d.pickRebalance(now)
	d.mu.Unlock()
	if toRelease != nil {
		go d.handOver(ctx, toRelease)
	}
}

// pickRebalance returns the runner of a service to release because another daemon has much less load for its weight, or
// nil.
func (d *Daemon) pickRebalance(now time.Time) *runner {
	if len(d.taking) > 0 || now.Sub(d.rebalancedAt) < rebalanceInterval || !d.view.Overloaded(now) {
		return nil
	}
	var best *runner
	for _, r := range d.runners {
		// A service at its peak would lose more by a change of owner than it would gain.
		if r.closed.Load() || now.Sub(r.takenAt) < rebalanceInterval || r.openJobs.Load() > rebalanceMaxOpen {
			continue
		}
		// No host is moved for about two seconds while HostsPart changes its owner, so the daemon with the highest
		// weight does not release it.
		if r.service == ownership.HostsPart && d.view.HasHighestWeight(now) {
			continue
		}
		if best == nil || r.openJobs.Load() < best.openJobs.Load() {
			best = r
		}
	}
	if best != nil {
		d.rebalancedAt = now
	}
	return best
}

// storeUnavailable reports whether the store does not answer this daemon's reads. If the store is slow or loses answers
// to writes but still answers reads, another daemon could write no better.
func (d *Daemon) storeUnavailable() bool {
	at := d.readAt.Load()
	return d.readFailed.Load() || at == nil || d.Timer.Now().Sub(*at) > storeReadMaxAge
}

// offerService offers a service to other daemons, which accept it if they can reach the store.
func (d *Daemon) offerService(ctx context.Context, q offerRequest) {
	d.mu.Lock()
	nodes := d.view.Peers(d.Timer.Now())
	d.mu.Unlock()
	for _, n := range nodes[:min(len(nodes), maxOffers)] {
		if d.peers.offer(ctx, n.Addr, q) {
			d.Log.Info("entry: service offered to a daemon that reaches the store", "service", q.Service, "to", n.Addr)
			return
		}
	}
}

// acceptOffer starts to take over a service that its owner offers, if the store answers this daemon. An offer of a former
// owner, which does not know yet that it has a successor, is refused, and so is one that the owner sent before its last write:
// TCP may deliver it after the owner has reached the store again.
func (d *Daemon) acceptOffer(q offerRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping.Load() || d.view.Outdated(d.Timer.Now()) || d.taking[q.Service] || d.runners[q.Service] != nil || d.workCtx == nil {
		return false
	}
	old, version := d.view.Owner(q.Service)
	if old.Run != q.Run || old.Seq > q.Seq {
		return false
	}
	d.taking[q.Service] = true
	go d.takeOver(d.workCtx, q.Service, old, version)
	return true
}

// handOver releases a service and notifies the daemon that should take it.
func (d *Daemon) handOver(ctx context.Context, r *runner) {
	r.handOver(ctx)
	d.mu.Lock()
	if d.runners[r.service] == r {
		delete(d.runners, r.service)
	}
	name, node := d.view.Successor(d.Timer.Now(), r.service)
	d.mu.Unlock()
	d.Log.Info("entry: service released", "service", r.service, "token", r.token, "to", name)
	if name != "" {
		d.peers.notify(ctx, node.Addr)
	}
	signal(d.readOwnersNow)
}
