package control

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/wave"
)

// entryPrefix is the key prefix of the registrations of entry daemons.
const entryPrefix = "entry/"

// outcomeKnown reports whether the error of a commit shows for certain that the commit took effect or that it did not.
func outcomeKnown(err error) bool {
	return err == nil || errors.Is(err, cuminstair.ErrConflict) || errors.Is(err, cuminstair.ErrUnavailable)
}

// view holds the versions and values that were read from the table.
type view struct {
	since        map[string]uint64 // key prefix: the version up to which its rows were read
	versions     map[string]uint64 // key of a host or wave row: its version
	pools        map[string]string // host: the pool last passed to OnPoolChange
	lease        *cuminstair.Row
	reads        int    // number of calls of sync
	drainVersion uint64 // version of the row DrainKey
}

func newView() view {
	return view{since: map[string]uint64{}, versions: map[string]uint64{}, pools: map[string]string{}}
}

// sync reads the changed rows. The drain row is read before the host rows, so that a commit that checks the version of
// the drain row is planned with every instance that was taken out of service before. Daemons without the lease read only
// the lease and the host rows each time; they read the other rows every fullReadEvery steps, since they need them only
// to explain decisions.
func (c *Control) sync(ctx context.Context) error {
	prefixes := []string{lease.Key(c.Centre), wave.HostPrefix}
	if c.Holding() || c.view.reads%fullReadEvery == 0 {
		prefixes = []string{lease.Key(c.Centre), DrainKey, entryPrefix, wave.OrderPrefix, wave.Prefix, wave.HostPrefix}
	}
	c.view.reads++
	for _, prefix := range prefixes {
		rows, version, err := c.Table.Rows(ctx, prefix, c.view.since[prefix])
		if err != nil {
			return fmt.Errorf("read rows %s: %w", prefix, err)
		}
		for i := range rows {
			if err := c.applyRow(&rows[i]); err != nil {
				c.logger().Error("row ignored", "key", rows[i].Key, "error", err)
			}
		}
		c.view.since[prefix] = version
	}
	if c.uncertain != nil {
		c.logger().Info("uncertain commit resolved by reading the rows", "commit", c.uncertain.ID)
		c.uncertain = nil
	}
	return nil
}

// applyRow applies one row that was read.
func (c *Control) applyRow(row *cuminstair.Row) error {
	switch {
	case row.Key == lease.Key(c.Centre):
		c.view.lease = row
	case row.Key == DrainKey:
		c.view.drainVersion = row.Version
	case strings.HasPrefix(row.Key, entryPrefix):
		return c.members.register(strings.TrimPrefix(row.Key, entryPrefix), row)
	case strings.HasPrefix(row.Key, wave.OrderPrefix):
		return c.applyOrderRow(row)
	case strings.HasPrefix(row.Key, wave.Prefix):
		return c.applyWaveRow(row)
	case strings.HasPrefix(row.Key, wave.HostPrefix):
		return c.applyHostRow(row)
	}
	return nil
}

func (c *Control) applyHostRow(row *cuminstair.Row) error {
	centre, name, ok := strings.Cut(strings.TrimPrefix(row.Key, wave.HostPrefix), "/")
	if !ok {
		return fmt.Errorf("host row key %q: %w", row.Key, cuminstair.ErrNotFound)
	}
	if row.Deleted {
		delete(c.view.versions, row.Key)
		delete(c.view.pools, name)
		now := c.Timer.Now()
		c.withPlanner(func(p *wave.Planner) { p.RemoveHost(now, name) })
		return nil
	}
	var h wave.Host
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return fmt.Errorf("decode host row: %w", err)
	}
	c.setHost(centre, name, h, row.Version)
	return nil
}

// setHost applies a committed host row and passes its state and pool to routing. Older versions are ignored.
func (c *Control) setHost(centre, name string, h wave.Host, version uint64) {
	key := wave.HostKey(centre, name)
	if version < c.view.versions[key] {
		return
	}
	c.view.versions[key] = version
	now := c.Timer.Now()
	c.withPlanner(func(p *wave.Planner) { p.SetHost(now, centre, name, h) })
	if centre == c.Centre {
		c.mu.Lock()
		if c.hostStates == nil {
			c.hostStates = map[string]cuminstair.HostState{}
		}
		c.hostStates[name] = h.State
		c.mu.Unlock()
	}
	if c.OnHostState != nil {
		c.OnHostState(name, h.State)
	}
	if c.view.pools[name] != h.Pool {
		c.view.pools[name] = h.Pool
		if c.OnPoolChange != nil {
			c.OnPoolChange(name, h.Pool)
		}
	}
}

func (c *Control) applyWaveRow(row *cuminstair.Row) error {
	name, centre, _ := strings.Cut(strings.TrimPrefix(row.Key, wave.Prefix), "/")
	if centre != c.Centre {
		return nil
	}
	var w wave.Wave
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return fmt.Errorf("decode wave row: %w", err)
	}
	c.view.versions[row.Key] = row.Version
	c.setWave(name, w)
	return nil
}

func (c *Control) setWave(name string, w wave.Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waves == nil {
		c.waves = map[string]wave.Wave{}
	}
	c.waves[name] = w
	if c.planner != nil {
		c.planner.SetWave(name, w)
	}
}

func (c *Control) applyOrderRow(row *cuminstair.Row) error {
	o := order{version: row.Version}
	if row.Deleted {
		return nil
	}
	if err := json.Unmarshal(row.Value, &o.Order); err != nil {
		return fmt.Errorf("decode order: %w", err)
	}
	key := strings.TrimPrefix(row.Key, wave.OrderPrefix)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orders == nil {
		c.orders = map[string]order{}
	}
	c.orders[key] = o
	if c.planner != nil {
		c.setOrder(c.planner, key, o)
	}
	return nil
}

// setOrder passes an order to the planner. key is "KIND/NAME".
func (c *Control) setOrder(p *wave.Planner, key string, o order) {
	switch kind, name, _ := strings.Cut(key, "/"); kind {
	case kindHost:
		p.SetHostOrder(name, o.Order, o.version)
	case kindWave:
		p.SetWaveOrder(name, o.Order, o.version)
	}
}
