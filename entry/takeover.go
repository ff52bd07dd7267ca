package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/ownership"
	"cuminstair.org/cuminstair/platform"
)

// takeOver takes a service over: it writes the owner record, reads the service's records and starts its runner.
func (d *Daemon) takeOver(ctx context.Context, service string, old ownership.Owner, version uint64) {
	defer func() {
		d.mu.Lock()
		delete(d.taking, service)
		d.mu.Unlock()
	}()
	begin := d.Timer.Now()
	mine := ownership.Owner{Name: d.Settings.Name, Run: d.runID, Addr: d.addr, Seq: old.Seq + 1, Unsettled: old.SuccessorMustWait(version)}
	token, sent, err := d.writeOwner(ctx, service, version, mine)
	if err != nil {
		d.Log.Info("entry: service was not taken over", "service", service, "version", version, "error", err)
		signal(d.readOwnersNow)
		return
	}
	d.Log.Info("entry: owner record written", "service", service, "token", token, "before", old.Name, "version", version)
	r := newRunner(d, service, token, mine, old.Name != "" || version > 0)
	r.confirmedAt, r.alive = sent, sent
	if service != ownership.HostsPart {
		if !d.recover(ctx, r) {
			return
		}
	}
	if !d.install(r) {
		d.Log.Info("entry: service has a newer owner", "service", service, "token", token)
		return
	}
	d.Metrics.Takeover.Observe(d.Timer.Now().Sub(begin).Seconds())
	r.start(ctx)
	signal(d.listNow)
	signal(d.heartbeatNow)
	signal(d.readOwnersNow) // isController accepts grants only after a read
	if r.hadOwner {
		d.stopEarlierOwner(ctx, r, old, version)
	}
}

// install makes a runner the one of its service, unless a newer owner has told this daemon to stop meanwhile.
func (d *Daemon) install(r *runner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.newerOwners[r.service] > int64(r.token) {
		return false
	}
	d.runners[r.service] = r
	return true
}

// stopEarlierOwner tells the earlier owner to stop, and repeats this until the earlier owner confirms or ownerGrace has
// passed, after which the earlier owner gives no orders in any case. An owner that has released its service or was
// restarted gives no orders either and is not called. version is that of its record. The leases of earlier owners are
// waited for in full if the earlier owner had not settled those of the owners before it: one of these may be cut off and still
// give orders.
func (d *Daemon) stopEarlierOwner(ctx context.Context, r *runner, old ownership.Owner, version uint64) {
	end := r.takenAt.Add(ownerGrace)
	for ctx.Err() == nil && d.Timer.Now().Before(end) {
		d.mu.Lock()
		gone := old.Name == "" || d.view.Restarted(old.Name, old.Run, version)
		d.mu.Unlock()
		if gone || d.peers.stop(ctx, old.Addr, stopRequest{Service: r.service, Token: int64(r.token), Run: old.Run, Owner: d.addr}) {
			if !old.Unsettled {
				r.post(r.earlierOwnersStopped)
			}
			return
		}
		d.sleep(ctx, stopRetry)
	}
}

// findGoneWorkers reads the list of hosts while workers with tasks do not answer. The tasks of workers whose hosts are
// down or have another worker are started again at once; the others wait until their leases have run out.
func (d *Daemon) findGoneWorkers(ctx context.Context) error {
	for ctx.Err() == nil {
		d.sleep(ctx, hostsRetry)
		var needed []*runner
		for _, r := range d.owned() {
			if r.needsHosts(ctx) {
				needed = append(needed, r)
			}
		}
		if len(needed) > 0 {
			d.reloadHosts(ctx, needed)
		}
	}
	return nil
}

// needsHosts asks the state of a service whether it needs the records of the hosts.
func (r *runner) needsHosts(ctx context.Context) bool {
	needed := make(chan bool, 1)
	if r.service == ownership.HostsPart || !r.post(func(time.Time) { needed <- r.state.NeedsHosts() }) {
		return false
	}
	select {
	case yes := <-needed:
		return yes
	case <-r.done:
	case <-ctx.Done():
	}
	return false
}

// reloadHosts passes the list of hosts to the states of services that run.
func (d *Daemon) reloadHosts(ctx context.Context, runners []*runner) {
	if d.Hosts == nil {
		return
	}
	sent := d.Timer.Now()
	hosts, err := d.Hosts.List(ctx)
	if err != nil {
		d.Log.Debug("entry: can't list the hosts of workers that do not answer", "error", err)
		return
	}
	for _, r := range runners {
		r.post(func(now time.Time) { r.state.SetHosts(now, sent, hosts) })
	}
}

// writeOwner writes an owner record if its version is still the given one, and returns the version of the write. sent is when
// the first attempt was sent: the store names this daemon at that time at the earliest.
func (d *Daemon) writeOwner(ctx context.Context, service string, version uint64, o ownership.Owner) (written uint64, sent time.Time, err error) {
	key := cuminstair.RecordKey{Table: ownership.Table, Part: service, Key: ownership.OwnerKey}
	// Encoding an Owner can't fail.
	data, _ := json.Marshal(o)
	tx := cuminstair.Tx{
		Checks: []cuminstair.RecordCheck{{RecordKey: key, Version: version}},
		Puts:   []cuminstair.RecordPut{{RecordKey: key, Value: data}},
	}
	sent = d.Timer.Now()
	for {
		try, cancel := context.WithTimeout(ctx, ownerWriteTimeout)
		got, err := d.Store.Commit(try, tx)
		cancel()
		var conflict *cuminstair.Conflict
		switch {
		case err == nil:
			return got, sent, nil
		case errors.As(err, &conflict):
			for _, r := range conflict.Records {
				if string(r.Value) == string(data) {
					return r.Version, sent, nil // an earlier attempt of this write
				}
			}
			return 0, sent, err
		case !errors.Is(err, cuminstair.ErrUncertain):
			return 0, sent, err
		}
		d.sleep(ctx, takeoverRetry)
		if ctx.Err() != nil {
			return 0, sent, ctx.Err()
		}
	}
}

// recover reads the records of a service, with retries, and returns false if the service has another owner or the
// daemon stops.
func (d *Daemon) recover(ctx context.Context, r *runner) bool {
	for ctx.Err() == nil && !d.stopping.Load() {
		err := d.readService(ctx, r)
		if err == nil {
			return true
		}
		d.Log.Warn("entry: can't read the records of a service", "service", r.service, "error", err)
		d.mu.Lock()
		o, version := d.view.Owner(r.service)
		d.mu.Unlock()
		if version > r.token && o.Run != d.runID {
			return false
		}
		d.sleep(ctx, takeoverRetry)
	}
	return false
}

func (d *Daemon) readService(ctx context.Context, r *runner) error {
	jobs, _, err := d.Store.Read(ctx, dispatch.JobTable, r.service, "", "")
	if err != nil {
		return err
	}
	runs, _, err := d.Store.Read(ctx, dispatch.RunTable, r.service, "", "")
	if err != nil {
		return err
	}
	workers, _, err := d.Store.Read(ctx, dispatch.WorkerTable, r.service, "", "")
	if err != nil {
		return err
	}
	list, read, err := d.workersOf(ctx, r.service)
	if err != nil {
		return err
	}
	r.followConfig() // the objectives of the jobs depend on the limits of accounts
	now := d.Timer.Now()
	r.state.Recover(now, jobs, runs, workers)
	if back := d.storeBackAt.Load(); back != nil {
		r.state.SetOutageEnd(*back)
	}
	if len(list) > 0 {
		r.state.SetWorkers(now, list)
		r.state.SetListRead(read)
		d.loadHosts(ctx, r)
	}
	return nil
}

// loadHosts passes the list of hosts to the service state, which finds workers that have been replaced.
func (d *Daemon) loadHosts(ctx context.Context, r *runner) {
	if d.Hosts == nil {
		return
	}
	sent := d.Timer.Now()
	hosts, err := d.Hosts.List(ctx)
	if err != nil {
		d.Log.Info("entry: can't list the hosts at a takeover", "service", r.service, "error", err)
		return
	}
	r.state.SetHosts(d.Timer.Now(), sent, hosts)
}

// workersOf returns the workers of a service, and when the read of their list was sent. It reads the list of workers first if the daemon owns no service yet,
// since followWorkers keeps the list up to date only while the daemon owns services.
func (d *Daemon) workersOf(ctx context.Context, service string) (list []cuminstair.WorkerInfo, read time.Time, err error) {
	if len(d.owned()) == 0 {
		sent := d.Timer.Now()
		records, _, err := d.Store.Read(ctx, platform.WorkerTable, "", "", "")
		if err != nil {
			return nil, time.Time{}, err
		}
		d.applyWorkers(sent, true, records)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.workers {
		if w.Service == service {
			list = append(list, w)
		}
	}
	return list, d.listReadAt, nil
}
