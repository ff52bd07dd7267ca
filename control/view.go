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

// settled tells whether the outcome of a commit is known. Anything but a definite refusal leaves it open.
func settled(err error) bool {
	return err == nil || errors.Is(err, cuminstair.ErrConflict) || errors.Is(err, cuminstair.ErrUnavailable)
}

// view is what has been read from the table.
type view struct {
	since    map[string]uint64 // prefix: the version that its rows are current to
	versions map[string]uint64 // key of a host or wave row: its version
	pools    map[string]string // host: the pool that Moved was last told
	lease    *cuminstair.Row
	steps    int    // readings so far
	drain    uint64 // version of the row DrainKey
}

func newView() view {
	return view{since: map[string]uint64{}, versions: map[string]uint64{}, pools: map[string]string{}}
}

// sync reads the rows that changed. The drain row is read before the host rows: a commit that checks its version then
// knows of every instance that was taken before it. Daemons that do not hold the lease read the rest seldom, only to
// explain it.
func (c *Control) sync(ctx context.Context) error {
	prefixes := []string{lease.Key(c.Centre), wave.HostPrefix}
	if c.Holding() || c.view.steps%followAll == 0 {
		prefixes = []string{lease.Key(c.Centre), DrainKey, entryPrefix, wave.OrderPrefix, wave.Prefix, wave.HostPrefix}
	}
	c.view.steps++
	for _, prefix := range prefixes {
		rows, version, err := c.Table.Rows(ctx, prefix, c.view.since[prefix])
		if err != nil {
			return fmt.Errorf("read rows %s: %w", prefix, err)
		}
		for i := range rows {
			if err := c.take(&rows[i]); err != nil {
				c.logger().Error("row ignored", "key", rows[i].Key, "error", err)
			}
		}
		c.view.since[prefix] = version
	}
	if c.unsure != nil {
		c.logger().Info("commit settled by reading its rows", "commit", c.unsure.ID)
		c.unsure = nil
	}
	return nil
}

// take adopts one row.
func (c *Control) take(row *cuminstair.Row) error {
	switch {
	case row.Key == lease.Key(c.Centre):
		c.view.lease = row
	case row.Key == DrainKey:
		c.view.drain = row.Version
	case strings.HasPrefix(row.Key, entryPrefix):
		return c.members.register(strings.TrimPrefix(row.Key, entryPrefix), row)
	case strings.HasPrefix(row.Key, wave.OrderPrefix):
		return c.takeOrder(row)
	case strings.HasPrefix(row.Key, wave.Prefix):
		return c.takeWave(row)
	case strings.HasPrefix(row.Key, wave.HostPrefix):
		return c.takeHost(row)
	}
	return nil
}

func (c *Control) takeHost(row *cuminstair.Row) error {
	centre, name, ok := strings.Cut(strings.TrimPrefix(row.Key, wave.HostPrefix), "/")
	if !ok {
		return fmt.Errorf("host row key %q: %w", row.Key, cuminstair.ErrNotFound)
	}
	if row.Deleted {
		delete(c.view.versions, row.Key)
		delete(c.view.pools, name)
		now := c.Timer.Now()
		c.plan(func(p *wave.Planner) { p.RemoveHost(now, name) })
		return nil
	}
	var h wave.Host
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return fmt.Errorf("decode host row: %w", err)
	}
	c.adopt(centre, name, h, row.Version)
	return nil
}

// adopt takes a host row that is in force, and tells routing.
func (c *Control) adopt(centre, name string, h wave.Host, version uint64) {
	key := wave.HostKey(centre, name)
	if version < c.view.versions[key] {
		return
	}
	c.view.versions[key] = version
	now := c.Timer.Now()
	c.plan(func(p *wave.Planner) { p.SetHost(now, centre, name, h) })
	if centre == c.Centre {
		c.mu.Lock()
		if c.states == nil {
			c.states = map[string]cuminstair.HostState{}
		}
		c.states[name] = h.State
		c.mu.Unlock()
	}
	if c.State != nil {
		c.State(name, h.State)
	}
	if c.view.pools[name] != h.Pool {
		c.view.pools[name] = h.Pool
		if c.Moved != nil {
			c.Moved(name, h.Pool)
		}
	}
}

func (c *Control) takeWave(row *cuminstair.Row) error {
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

func (c *Control) takeOrder(row *cuminstair.Row) error {
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
		c.give(c.planner, key, o)
	}
	return nil
}

// give passes an order to the planner. key is its kind and name.
func (c *Control) give(p *wave.Planner, key string, o order) {
	switch kind, name, _ := strings.Cut(key, "/"); kind {
	case kindHost:
		p.SetHostOrder(name, o.Order, o.version)
	case kindWave:
		p.SetWaveOrder(name, o.Order, o.version)
	}
}
