package control_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/control"
)

// table is an in-memory table service.
type table struct {
	mu      sync.Mutex
	rows    map[string]cuminstair.Row
	version uint64
	onWrite func(row cuminstair.Row)
}

func (t *table) commit(c cuminstair.Commit) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range c.Checks {
		if r := t.rows[k.Key]; r.Version != k.Version && (!r.Deleted || k.Version != 0) {
			return 0, cuminstair.ErrConflict
		}
	}
	t.version++
	for _, p := range c.Puts {
		t.put(cuminstair.Row{Key: p.Key, Value: p.Value, Version: t.version, Write: c.ID})
	}
	for _, key := range c.Deletes {
		t.put(cuminstair.Row{Key: key, Version: t.version, Write: c.ID, Deleted: true})
	}
	return t.version, nil
}

func (t *table) put(r cuminstair.Row) {
	t.rows[r.Key] = r
	if t.onWrite != nil {
		t.onWrite(r)
	}
}

func (t *table) read(prefix string, since uint64) []cuminstair.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []cuminstair.Row
	for key, r := range t.rows {
		if strings.HasPrefix(key, prefix) && r.Version > since && (since > 0 || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b cuminstair.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// daemon is one entry daemon: its controller, the host states that it routes by and its requests in flight. It also
// implements the controller's interfaces to the platform and the peers, where faults are injected.
type daemon struct {
	w        *world
	name     string
	centre   string
	c        *control.Control
	paused   bool
	silent   bool // does not answer peers, works otherwise
	view     map[string]cuminstair.HostState
	pools    map[string]string
	inflight map[string][]time.Time // end times of requests
}

func (d *daemon) idle(host string) bool {
	return d.view[host] != cuminstair.HostActive && len(d.inflight[host]) == 0
}

// serve removes completed requests and sends new ones to hosts that are active in the daemon's view.
func (d *daemon) serve() {
	for host, ends := range d.inflight {
		ends = slices.DeleteFunc(ends, func(end time.Time) bool {
			return !end.After(d.w.clock.Now()) || !d.w.hosts[host].up(d.w)
		})
		if d.inflight[host] = ends; len(ends) == 0 {
			delete(d.inflight, host)
		}
	}
	for _, h := range d.w.fleet.Hosts {
		if h.Centre == d.centre && d.view[h.Name] == cuminstair.HostActive && d.pools[h.Name] != spare && d.w.hosts[h.Name].up(d.w) {
			end := d.w.clock.Now().Add(time.Duration(1+d.w.rand.IntN(6)) * time.Second)
			if len(d.inflight[h.Name]) < 2 {
				d.inflight[h.Name] = append(d.inflight[h.Name], end)
			}
		}
	}
}

func (d *daemon) Commit(_ context.Context, c cuminstair.Commit) (uint64, error) {
	d.w.maybePause(d)
	if d.w.onDrainCommit != nil && c.Puts[len(c.Puts)-1].Key == control.DrainKey {
		d.w.onDrainCommit()
	}
	switch {
	case d.w.platformDown:
		return 0, cuminstair.ErrUnavailable
	case !d.w.faults || d.w.rand.IntN(25) > 0:
		return d.w.table.commit(c)
	}
	switch d.w.rand.IntN(3) {
	case 0: // the request is lost
	case 1: // the request is delayed
		d.w.delayed = append(d.w.delayed, c)
	case 2: // the commit is executed, but the answer is lost
		_, _ = d.w.table.commit(c)
	}
	return 0, cuminstair.ErrUncertain
}

func (d *daemon) Rows(_ context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	if d.w.platformDown {
		return nil, 0, cuminstair.ErrUnavailable
	}
	return d.w.table.read(prefix, since), d.w.table.version, nil
}

func (d *daemon) Hosts(context.Context) ([]cuminstair.HostStatus, error) {
	if d.w.platformDown {
		return nil, cuminstair.ErrUnavailable
	}
	return d.w.list(), nil
}

func (d *daemon) Act(_ context.Context, id, host string, _ cuminstair.HostAction) error {
	d.w.maybePause(d)
	if d.w.platformDown {
		return cuminstair.ErrUnavailable
	}
	d.w.act(id, host)
	if d.w.faults && d.w.rand.IntN(10) == 0 {
		return cuminstair.ErrUncertain
	}
	return nil
}

func (d *daemon) Forward(context.Context, string, *cuminstair.Message) *cuminstair.Message {
	return &cuminstair.Message{}
}

func (d *daemon) Confirm(_ context.Context, names []string, host string) (missing []string) {
	for _, name := range names {
		o := d.w.daemons[name]
		if o == nil || o.paused || o.silent || host != "" && !o.idle(host) {
			missing = append(missing, name)
		}
	}
	return missing
}

// Record implements cuminstair.Recorder.
func (d *daemon) Record(x cuminstair.Decision) {
	d.w.table.mu.Lock()
	defer d.w.table.mu.Unlock()
	d.w.decisions = append(d.w.decisions, x)
}
