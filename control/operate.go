package control

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/wave"
)

// Kinds of decisions and orders.
const (
	kindHost   = "host"
	kindWave   = "wave"
	kindDaemon = "daemon" // an entry daemon
)

// OrderHost writes an operator's order for a host: drain, hold or resume. Any daemon accepts it; the holder of the lease
// of the host's data centre executes it. It returns cuminstair.ErrConflict if another operator's order came first.
func (c *Control) OrderHost(ctx context.Context, host, event string) error {
	return c.writeOrder(ctx, kindHost, host, event)
}

// OrderWave writes an operator's order for a wave in all data centres: start, hold or resume. It returns
// cuminstair.ErrConflict if another operator's order came first.
func (c *Control) OrderWave(ctx context.Context, name, event string) error {
	return c.writeOrder(ctx, kindWave, name, event)
}

func (c *Control) writeOrder(ctx context.Context, kind, name, event string) error {
	key := wave.OrderPrefix + kind + "/" + name
	old, err := c.readRow(ctx, key)
	if err != nil {
		return err
	}
	data, err := json.Marshal(wave.Order{Event: event})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	commit := cuminstair.Commit{
		ID:     fmt.Sprintf("order/%s/%s/%d", c.Self, c.Boot, c.orderCount.Add(1)),
		Checks: []cuminstair.Check{{Key: key, Version: old.Version}},
		Puts:   []cuminstair.Put{{Key: key, Value: data}},
	}
	_, err = c.Table.Commit(ctx, commit)
	if err == nil || !errors.Is(err, cuminstair.ErrUncertain) {
		return err
	}
	now, rerr := c.readRow(ctx, key)
	if rerr != nil {
		return rerr
	}
	if now.Write != commit.ID {
		return fmt.Errorf("write order: commit did not take effect: %w", cuminstair.ErrUnavailable)
	}
	return nil
}

// readRow reads one row; a row that does not exist has version 0.
func (c *Control) readRow(ctx context.Context, key string) (cuminstair.Row, error) {
	rows, _, err := c.Table.Rows(ctx, key, 0)
	if err != nil {
		return cuminstair.Row{}, fmt.Errorf("read row %s: %w", key, err)
	}
	for _, r := range rows {
		if r.Key == key && !r.Deleted {
			return r, nil
		}
	}
	return cuminstair.Row{}, nil
}

// HostReason returns the reason for the state of a host, and why it is not being drained.
func (c *Control) HostReason(name string) (reason cuminstair.Reason, detail string) {
	reason, detail = wave.ReasonUnknown, "no fleet file is in force"
	c.withPlanner(func(p *wave.Planner) { reason, detail = p.WhyHost(name) })
	return reason, detail
}

// Waves returns the progress of all waves in this data centre, and for a stopped wave the reason.
func (c *Control) Waves() []wave.Progress {
	var all []wave.Progress
	c.withPlanner(func(p *wave.Planner) { all = p.Waves() })
	return all
}

// Budgets returns the accounts of all services, in this data centre and over the fleet.
func (c *Control) Budgets() []budget.Account {
	var all []budget.Account
	c.withPlanner(func(p *wave.Planner) {
		for _, name := range p.Budgets.Services() {
			all = append(all, p.Budgets.Account(name, c.Centre), p.Budgets.Account(name, budget.Fleet))
		}
	})
	return all
}
