package entry

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/platform"
)

// dependency records whether data that the daemon reads from the store is available; its loss and return are logged.
type dependency struct {
	name string
	lost bool
}

func (d *Daemon) logDependency(dep *dependency, err error) {
	switch {
	case err != nil && !dep.lost:
		dep.lost = true
		d.Log.Warn("entry: dependency lost", "dependency", dep.name, "error", err)
	case err == nil && dep.lost:
		dep.lost = false
		d.Log.Info("entry: dependency regained", "dependency", dep.name)
	}
}

// followConfig keeps the configuration and the maintenance waves up to date.
func (d *Daemon) followConfig(ctx context.Context) error {
	dep := &dependency{name: "configuration in the store"}
	after := uint64(0)
	for ctx.Err() == nil {
		var records []cuminstair.Record
		var err error
		if after == 0 {
			records, after, err = d.Store.Read(ctx, platform.OperatorTable, "", "", "")
		} else {
			var next uint64
			records, next, err = d.Store.Changes(ctx, platform.OperatorTable, after, configWait)
			if err == nil {
				after = max(after, next)
			}
		}
		if errors.Is(err, cuminstair.ErrCompacted) {
			d.Log.Info("entry: configuration history was compacted, reading all records", "after", after)
			after = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		d.logDependency(dep, err)
		if err != nil {
			d.sleep(ctx, configRetry)
			continue
		}
		before := d.config.Load()
		for _, r := range records {
			d.applyOperatorRecord(r)
		}
		if c := d.config.Load(); c != before {
			go d.assignAhead(ctx, c)
		}
	}
	return nil
}

// applyOperatorRecord applies a changed configuration or wave. It ignores other records and a deleted configuration.
func (d *Daemon) applyOperatorRecord(r cuminstair.Record) {
	switch {
	case r.Key == platform.ConfigKey && !r.Deleted:
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			d.Log.Error("entry: can't read the configuration, the last one stays in force", "version", r.Version, "error", err)
			return
		}
		d.applyConfig(c)
	case strings.HasPrefix(r.Key, platform.WavePrefix):
		d.applyWave(r)
	}
}

// applyConfig puts a configuration in force unless the configuration in force has the same or a higher version.
func (d *Daemon) applyConfig(c *cuminstair.JobConfig) {
	old := d.config.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	d.config.Store(c)
	d.limitClients(c)
	if old == nil {
		signal(d.heartbeatNow)
	}
	before := int64(0)
	if old != nil {
		before = old.Version
	}
	d.Log.Info("entry: configuration in force", "version", c.Version, "before", before, "queues", len(c.Queues), "pools", len(c.Pools),
		"accounts", len(c.Accounts))
}

func (d *Daemon) applyWave(r cuminstair.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Deleted {
		delete(d.waves, r.Key)
		return
	}
	w, err := platform.DecodeWave(r.Value)
	if err != nil {
		d.Log.Error("entry: can't read a wave", "key", r.Key, "version", r.Version, "error", err)
		return
	}
	if _, ok := d.waves[r.Key]; !ok {
		d.Log.Info("entry: new maintenance wave", "wave", w.Number, "hosts", len(w.Hosts), "duration", w.Duration.String(), "limit", w.Limit)
	}
	d.waves[r.Key] = w
}

// followWorkers keeps the list of workers up to date while the daemon owns services.
func (d *Daemon) followWorkers(ctx context.Context) error {
	dep := &dependency{name: "list of workers in the store"}
	after := uint64(0)
	for ctx.Err() == nil {
		if len(d.owned()) == 0 {
			after = 0
			d.pause(ctx, d.listNow, workerListInterval)
			continue
		}
		whole := after == 0
		sent := d.Timer.Now()
		var records []cuminstair.Record
		var next uint64
		var err error
		if whole {
			records, next, err = d.Store.Read(ctx, platform.WorkerTable, "", "", "")
		} else {
			records, next, err = d.Store.Changes(ctx, platform.WorkerTable, after, 0)
		}
		if errors.Is(err, cuminstair.ErrCompacted) {
			after = 0
			continue
		}
		if ctx.Err() == nil {
			d.logDependency(dep, err)
		}
		if err == nil {
			after = max(after, next)
			d.applyWorkers(sent, whole, records)
		}
		d.pause(ctx, d.listNow, workerListInterval)
	}
	return nil
}

// pause waits for a time, a signal on wake or the end of ctx.
func (d *Daemon) pause(ctx context.Context, wake chan struct{}, t time.Duration) {
	done := make(chan struct{})
	stop := d.Timer.After(t, func(time.Time) { close(done) })
	select {
	case <-done:
	case <-wake:
		stop()
	case <-ctx.Done():
		stop()
	}
}

// applyWorkers updates the list of workers from records that were requested at sent, and passes it to the runners. If whole is
// true, records replace the list.
func (d *Daemon) applyWorkers(sent time.Time, whole bool, records []cuminstair.Record) {
	d.mu.Lock()
	d.listReadAt = sent
	if whole {
		d.workers = map[string]cuminstair.WorkerInfo{}
	}
	for _, r := range records {
		if r.Deleted {
			delete(d.workers, r.Key)
			continue
		}
		info, err := platform.DecodeWorker(r)
		if err != nil {
			delete(d.workers, r.Key)
			if !d.badWorkers[r.Key] {
				d.Log.Warn("entry: invalid worker record ignored", "worker", r.Key, "version", r.Version, "error", err)
				if d.badWorkers == nil || len(d.badWorkers) > 1000 {
					d.badWorkers = map[string]bool{}
				}
				d.badWorkers[r.Key] = true
			}
			continue
		}
		d.workers[r.Key] = info
	}
	byService := map[string][]cuminstair.WorkerInfo{}
	for _, w := range d.workers {
		byService[w.Service] = append(byService[w.Service], w)
	}
	runners := make([]*runner, 0, len(d.runners))
	for _, r := range d.runners {
		runners = append(runners, r)
	}
	d.mu.Unlock()
	for _, r := range runners {
		r.setWorkers(sent, byService[r.service])
	}
}
