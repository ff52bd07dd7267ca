package control

import (
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/wave"
)

// readList reads the platform's list of hosts, unless the last read is less than ListEvery ago.
func (c *Control) readList(ctx context.Context) error {
	now := c.Timer.Now()
	if !c.lastList.IsZero() && now.Sub(c.lastList) < ListEvery {
		return nil
	}
	hosts, err := c.Hosts.Hosts(ctx)
	if err != nil {
		return fmt.Errorf("read list of hosts: %w", err)
	}
	c.lastList = now
	c.members.setListStates(hosts)
	if c.OnHostList != nil {
		c.listReported = true
		c.OnHostList(hosts)
	}
	c.withPlanner(func(p *wave.Planner) {
		for _, h := range hosts {
			if h.Role != roleEntry {
				p.SetListed(now, h)
			}
		}
	})
	return nil
}

// withdrawList calls OnHostList with nil once the current holder of the lease has had time to read the list.
func (c *Control) withdrawList() {
	now := c.Timer.Now()
	if c.followingSince.IsZero() {
		c.followingSince = now
	}
	if c.listReported && now.Sub(c.followingSince) >= listRetention {
		c.listReported = false
		c.OnHostList(nil)
	}
}

// ping freezes planned work while a live daemon does not answer. It sends Confirm with an empty host name, so that only
// daemons that do not answer are returned as missing.
func (c *Control) ping(ctx context.Context) {
	now := c.Timer.Now()
	if !c.members.lastPing.IsZero() && now.Sub(c.members.lastPing) < PingEvery {
		return
	}
	c.members.lastPing = now
	reason := ""
	if live := c.members.mustConfirm(now); len(live) > 0 {
		if missing := c.Peers.Confirm(ctx, live, ""); len(missing) > 0 {
			reason = "no answer from " + strings.Join(missing, ", ")
		}
	}
	if reason != c.members.frozenReason {
		c.members.frozenReason = reason
		if reason == "" {
			c.logger().Info("planned work continues")
		} else {
			c.logger().Warn("planned work is frozen", "reason", reason)
		}
	}
	c.withPlanner(func(p *wave.Planner) { p.Freeze(reason) })
}

// confirmIdle asks the live daemons to confirm that the hosts that are being drained are idle.
func (c *Control) confirmIdle(ctx context.Context) {
	now := c.Timer.Now()
	var names []string
	c.withPlanner(func(p *wave.Planner) { names = p.HostsToConfirm(now) })
	live := c.members.mustConfirm(now)
	for _, name := range names {
		idle := c.Idle == nil || c.Idle(name)
		if idle && len(live) > 0 {
			idle = len(c.Peers.Confirm(ctx, live, name)) == 0
		}
		c.withPlanner(func(p *wave.Planner) { p.SetIdle(name, idle) })
	}
}

// startActions starts the platform actions that host rows request. The id of an action comes from the row, so that the
// platform starts no action twice when this holder, its successor or an earlier holder after a pause repeats the call.
func (c *Control) startActions(ctx context.Context) {
	var actions []wave.Action
	c.withPlanner(func(p *wave.Planner) { actions = p.Actions() })
	for _, a := range actions {
		if _, ok := c.lease.Held(c.Timer.Now()); !ok {
			return
		}
		err := c.Hosts.Act(ctx, a.ID, a.Host, a.Verb)
		if err != nil && !errors.Is(err, cuminstair.ErrNotFound) {
			c.logger().Warn("platform action failed; will be repeated", "host", a.Host, "action", a.Verb, "error", err)
			continue
		}
		c.withPlanner(func(p *wave.Planner) { p.SetActionAccepted(a.Host, a.ID) })
	}
}
