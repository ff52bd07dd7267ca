package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/ownership"
)

// challengeAgain is the pause before an earlier owner is told again to stop.
const challengeAgain = 300 * time.Millisecond

// ownerWriteTime is how long the write of an owner record may take until it is sent again.
const ownerWriteTime = 900 * time.Millisecond

// takeoverRetry is the pause after a step of a takeover failed.
const takeoverRetry = 150 * time.Millisecond

// reliefEvery is the least time between two services that a daemon releases because it carries too much.
const reliefEvery = 4 * time.Second

// reliefOpen is the number of open jobs above which a service is not released.
const reliefOpen = 20

// readSilent is the age of the last reading of the owner records after which the store counts as silent.
const readSilent = 1300 * time.Millisecond

// offersAtOnce is how many daemons are asked to take a service before a pause.
const offersAtOnce = 3

// beat rewrites the daemon's record again and again.
func (d *Daemon) beat(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.config.Load() != nil && !d.stopping.Load() {
			d.writeBeat(ctx)
		}
		d.pause(ctx, d.beatNow, d.beatEvery())
	}
	return nil
}

// beatEvery is the pause between two beats. What the daemon owns is looked at again with each beat.
func (d *Daemon) beatEvery() time.Duration {
	if len(d.owned()) > 0 {
		return ownership.OwnerBeatEvery
	}
	return ownership.BeatEvery
}

func (d *Daemon) writeBeat(ctx context.Context) {
	now := d.Timer.Now()
	n := ownership.Node{
		Run: d.run, Addr: d.addr, Centre: d.Settings.Centre, Weight: d.Settings.CPUShare, Ready: !d.stopping.Load(),
		Beat: now.UnixMilli(), Every: d.beatEvery().Milliseconds(),
	}
	// A Node always encodes.
	data, _ := json.Marshal(n)
	key := cuminstair.RecordKey{Table: ownership.Table, Part: ownership.NodePart, Key: d.Settings.Name}
	if _, err := d.Store.Commit(ctx, cuminstair.Tx{Puts: []cuminstair.RecordPut{{RecordKey: key, Value: data}}}); err != nil {
		d.Log.Debug("entry: can't write the daemon's record", "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view.Took(d.Timer.Now().Sub(now))
}

// followOwners reads the owner records, takes services and drops those that others have taken.
func (d *Daemon) followOwners(ctx context.Context) error {
	dep := &dependency{name: "owner records in the store"}
	for ctx.Err() == nil {
		sent := d.Timer.Now()
		d.reading.Store(&sent)
		err := d.readOwners(ctx)
		d.reading.Store(nil)
		if ctx.Err() == nil {
			d.note(dep, err)
		}
		d.readFailed.Store(err != nil)
		if err == nil {
			d.readAt.Store(&sent)
			d.applyOwners(ctx, sent)
		}
		d.pause(ctx, d.poke, viewEvery)
	}
	return nil
}

func (d *Daemon) readOwners(ctx context.Context) error {
	begin := d.Timer.Now()
	d.mu.Lock()
	after := d.viewAt
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
	d.view.Took(d.Timer.Now().Sub(begin))
	d.viewAt = max(d.viewAt, next)
	if bad := d.view.Apply(d.Timer.Now(), records); len(bad) > 0 {
		d.Log.Error("entry: can't read owner records", "parts", bad)
	}
	return nil
}

// readOwnersWhole reads all records. Changes after the version of the first reading are read again by the next call.
func (d *Daemon) readOwnersWhole(ctx context.Context) ([]cuminstair.Record, uint64, error) {
	parts, err := d.Store.Parts(ctx, ownership.Table)
	if err != nil {
		return nil, 0, err
	}
	records, first, err := d.Store.Read(ctx, ownership.Table, ownership.NodePart, "", "")
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

// services returns the pools that run tasks, and the duty of the hosts.
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
	for _, p := range c.Pools {
		if !p.Spare || used[p.Name] {
			list = append(list, p.Name)
		}
	}
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
		if o.Name == d.Settings.Name && o.Run == d.run {
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
			if o, _ := d.view.Owner(service); o.Name == d.Settings.Name && o.Run == d.run && d.runners[service] == nil {
				claims = append(claims, service) // a takeover whose answer was lost
			}
		}
	}
	for _, service := range claims {
		if d.runners[service] != nil || d.taking[service] {
			continue
		}
		d.taking[service] = true
		old, version := d.view.Owner(service)
		go d.take(ctx, service, old, version)
	}
	relieve := d.relief(now)
	d.mu.Unlock()
	if relieve != nil {
		go d.handOver(ctx, relieve)
	}
}

// relief returns a service to release because another daemon carries much less for its weight, or nil.
func (d *Daemon) relief(now time.Time) *runner {
	if len(d.taking) > 0 || now.Sub(d.relieved) < reliefEvery || !d.view.Overloaded(now) {
		return nil
	}
	var best *runner
	for _, r := range d.runners {
		// A service in its peak would lose more by the change of its owner than it gains.
		if r.closed.Load() || now.Sub(r.taken) < reliefEvery || r.open.Load() > reliefOpen {
			continue
		}
		// While the hosts' duty changes hands no host moves for about two seconds.
		if r.service == ownership.HostsPart && d.view.Strongest(now) {
			continue
		}
		if best == nil || r.open.Load() < best.open.Load() {
			best = r
		}
	}
	if best != nil {
		d.relieved = now
	}
	return best
}

// storeRefuses tells whether the store does not answer this daemon. A store that is slow or loses answers of writes still
// answers readings; another daemon would fare no better.
func (d *Daemon) storeRefuses() bool {
	at := d.readAt.Load()
	return d.readFailed.Load() || at == nil || d.Timer.Now().Sub(*at) > readSilent
}

// giveAway offers a service to a daemon that reaches the store, when this one does not.
func (d *Daemon) giveAway(ctx context.Context, service string) {
	d.mu.Lock()
	nodes := d.view.Nodes(d.Timer.Now())
	d.mu.Unlock()
	for _, n := range nodes[:min(len(nodes), offersAtOnce)] {
		if d.peers.offer(ctx, n.Addr, service) {
			d.Log.Info("entry: service offered to a daemon that reaches the store", "service", service, "to", n.Addr)
			return
		}
	}
}

// accept takes a service that its owner offers, if the store answers this daemon.
func (d *Daemon) accept(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping.Load() || d.view.Blind(d.Timer.Now()) || d.taking[service] || d.runners[service] != nil || d.work == nil {
		return false
	}
	d.taking[service] = true
	old, version := d.view.Owner(service)
	go d.take(d.work, service, old, version)
	return true
}

// handOver releases a service at a planned stop and tells the daemon that should take it.
func (d *Daemon) handOver(ctx context.Context, r *runner) {
	r.handOver(ctx)
	d.mu.Lock()
	delete(d.runners, r.service)
	name, node := d.view.Successor(d.Timer.Now(), r.service)
	d.mu.Unlock()
	d.Log.Info("entry: service released", "service", r.service, "token", r.token, "to", name)
	if name != "" {
		d.peers.poke(ctx, node.Addr)
	}
	signal(d.poke)
}
