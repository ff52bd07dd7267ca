package control

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/wave"
)

// list reads the platform's list when it is time to.
func (c *Control) list(ctx context.Context) error {
	now := c.Timer.Now()
	if !c.listed.IsZero() && now.Sub(c.listed) < ListEvery {
		return nil
	}
	hosts, err := c.Hosts.Hosts(ctx)
	if err != nil {
		return fmt.Errorf("read list of hosts: %w", err)
	}
	c.listed = now
	c.members.list(hosts)
	if c.Listed != nil {
		c.handed = true
		c.Listed(hosts)
	}
	c.plan(func(p *wave.Planner) {
		for _, h := range hosts {
			if h.Role != roleEntry {
				p.SetListed(now, h)
			}
		}
	})
	return nil
}

// forget withdraws the list once the daemon that holds the lease now has had time to read it.
func (c *Control) forget() {
	now := c.Timer.Now()
	if c.follows.IsZero() {
		c.follows = now
	}
	if c.handed && now.Sub(c.follows) >= forgetList {
		c.handed = false
		c.Listed(nil)
	}
}

// ping freezes planned work while a live daemon does not answer. The question is about no host, so that only a daemon
// that does not answer fails to confirm.
func (c *Control) ping(ctx context.Context) {
	now := c.Timer.Now()
	if !c.members.pinged.IsZero() && now.Sub(c.members.pinged) < PingEvery {
		return
	}
	c.members.pinged = now
	why := ""
	if live := c.members.live(now); len(live) > 0 {
		if missing := c.Peers.Confirm(ctx, live, ""); len(missing) > 0 {
			why = "no answer from " + strings.Join(missing, ", ")
		}
	}
	if why != c.members.frozen {
		c.members.frozen = why
		if why == "" {
			c.logger().Info("planned work goes on")
		} else {
			c.logger().Warn("planned work is frozen", "reason", why)
		}
	}
	c.plan(func(p *wave.Planner) { p.Freeze(why) })
}

// confirm asks the live daemons about the hosts that are to become idle.
func (c *Control) confirm(ctx context.Context) {
	now := c.Timer.Now()
	var names []string
	c.plan(func(p *wave.Planner) { names = p.Asks(now) })
	live := c.members.live(now)
	for _, name := range names {
		idle := c.Idle == nil || c.Idle(name)
		if idle && len(live) > 0 {
			idle = len(c.Peers.Confirm(ctx, live, name)) == 0
		}
		c.plan(func(p *wave.Planner) { p.SetIdle(name, idle) })
	}
}

// act starts the platform actions that rows ask for. The id comes from the row, so that a repeat by this holder, by its
// successor or by a holder that wakes up late starts nothing twice.
func (c *Control) act(ctx context.Context) {
	var actions []wave.Action
	c.plan(func(p *wave.Planner) { actions = p.Actions() })
	for _, a := range actions {
		if _, ok := c.lease.Held(c.Timer.Now()); !ok {
			return
		}
		err := c.Hosts.Act(ctx, a.ID, a.Host, a.Verb)
		if err != nil && !errors.Is(err, cuminstair.ErrNotFound) {
			c.logger().Warn("action will be repeated", "host", a.Host, "action", a.Verb, "error", err)
			continue
		}
		c.plan(func(p *wave.Planner) { p.SetActed(a.Host, a.ID) })
	}
}
