package control

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/wave"
)

// errLease means that this daemon does not hold the lease, or can't be sure of it.
const errLease = errors.ConstError("the lease is not held")

// drainValue is the value of the row DrainKey.
type drainValue struct {
	Centre string `json:"centre"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// write commits a plan, the changes of waves first, then the hosts in commits of bounded size. It stops at the first
// failed commit; the remaining changes are planned again from the rows.
func (c *Control) write(ctx context.Context, plan wave.Plan) error {
	if len(plan.Waves) > 0 {
		if err := c.commitWaves(ctx, plan.Waves); err != nil {
			return err
		}
	}
	for hosts := plan.Hosts; len(hosts) > 0; {
		n := min(batchSize, len(hosts))
		if err := c.commitHosts(ctx, hosts[:n]); err != nil {
			return err
		}
		hosts = hosts[n:]
	}
	return nil
}

// newCommit returns a commit that is fenced by the lease.
func (c *Control) newCommit() (*cuminstair.Commit, lease.Fence, error) {
	fence, ok := c.lease.Held(c.Timer.Now())
	if !ok {
		return nil, fence, errLease
	}
	c.commitCount++
	commit := &cuminstair.Commit{ID: fmt.Sprintf("control/%s/%s/%d", c.Self, c.Boot, c.commitCount)}
	commit.Checks = append(commit.Checks, fence.Check)
	return commit, fence, nil
}

// replace adds the write of a row to a commit, and the check that the row has not changed since it was read.
func (c *Control) replace(commit *cuminstair.Commit, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	commit.Checks = append(commit.Checks, cuminstair.Check{Key: key, Version: c.view.versions[key]})
	commit.Puts = append(commit.Puts, cuminstair.Put{Key: key, Value: data})
	return nil
}

// send sends a commit to the table service. After an uncertain outcome nothing more is written until the rows have been
// read again. If the platform executes the uncertain commit only after that read, either its checks fail because of later
// writes, or a later read returns its rows like any others.
func (c *Control) send(ctx context.Context, commit *cuminstair.Commit) (uint64, error) {
	version, err := c.Table.Commit(ctx, *commit)
	if err == nil {
		return version, nil
	}
	if !outcomeKnown(err) {
		c.uncertain = commit
	}
	return 0, fmt.Errorf("commit %s: %w", commit.ID, err)
}

func (c *Control) commitWaves(ctx context.Context, changes []wave.Change) error {
	commit, fence, err := c.newCommit()
	if err != nil {
		return err
	}
	for i := range changes {
		changes[i].Row.Epoch = fence.Epoch
		if err := c.replace(commit, wave.Key(changes[i].Name, c.Centre), changes[i].Row); err != nil {
			return err
		}
	}
	version, err := c.send(ctx, commit)
	if err != nil {
		return err
	}
	for _, w := range changes {
		c.view.versions[wave.Key(w.Name, c.Centre)] = version
		c.setWave(w.Name, w.Row)
		c.record(kindWave, w.Name, string(w.Row.State), w.Reason, w.Row.Reason)
	}
	return nil
}

func (c *Control) commitHosts(ctx context.Context, changes []wave.HostChange) error {
	commit, fence, err := c.newCommit()
	if err != nil {
		return err
	}
	needsDrainRow := false
	for i := range changes {
		if err := c.putHost(commit, fence, &changes[i]); err != nil {
			return err
		}
		needsDrainRow = needsDrainRow || changes[i].ReducesAvailable
	}
	if needsDrainRow {
		if err := c.putDrain(commit, fence); err != nil {
			return err
		}
	}
	version, err := c.send(ctx, commit)
	if err != nil {
		return err
	}
	if needsDrainRow {
		c.view.drainVersion = version
	}
	for i := range changes {
		c.hostWritten(&changes[i], version)
	}
	return nil
}

// purge deletes the registrations that daemons which are gone have left behind. If a daemon registers again in the
// meantime, the version check fails and its registration stays.
func (c *Control) purge(ctx context.Context) error {
	for _, name := range c.members.expired(c.Timer.Now()) {
		commit, _, err := c.newCommit()
		if err != nil {
			return err
		}
		key := entryPrefix + name
		commit.Checks = append(commit.Checks, cuminstair.Check{Key: key, Version: c.members.registered[name]})
		commit.Deletes = append(commit.Deletes, key)
		if _, err := c.send(ctx, commit); err != nil {
			return err
		}
		delete(c.members.registered, name)
		c.record(kindDaemon, name, "deregister", wave.ReasonLoss, "listed as gone for "+GoneAfter.String())
	}
	return nil
}

func (c *Control) putHost(commit *cuminstair.Commit, fence lease.Fence, h *wave.HostChange) error {
	key := wave.HostKey(c.Centre, h.Name)
	if h.Delete {
		commit.Checks = append(commit.Checks, cuminstair.Check{Key: key, Version: c.view.versions[key]})
		commit.Deletes = append(commit.Deletes, key)
		return nil
	}
	h.Row.Epoch = fence.Epoch
	if h.Row.State == cuminstair.HostRebooting && h.Row.ActionID == "" {
		// The action id is stored in the row, so that every holder repeats the action under the same id.
		h.Row.ActionID = commit.ID + "/" + h.Name
	}
	return c.replace(commit, key, h.Row)
}

func (c *Control) putDrain(commit *cuminstair.Commit, fence lease.Fence) error {
	data, err := json.Marshal(drainValue{Centre: c.Centre, Holder: c.Self, Epoch: fence.Epoch})
	if err != nil {
		return fmt.Errorf("encode %s: %w", DrainKey, err)
	}
	commit.Checks = append(commit.Checks, cuminstair.Check{Key: DrainKey, Version: c.view.drainVersion})
	commit.Puts = append(commit.Puts, cuminstair.Put{Key: DrainKey, Value: data})
	return nil
}

// hostWritten applies a committed host change to the view and the planner, and records it.
func (c *Control) hostWritten(h *wave.HostChange, version uint64) {
	if h.Delete {
		key := wave.HostKey(c.Centre, h.Name)
		delete(c.view.versions, key)
		now := c.Timer.Now()
		c.withPlanner(func(p *wave.Planner) { p.RemoveHost(now, h.Name) })
	} else {
		c.setHost(c.Centre, h.Name, h.Row, version)
	}
	c.record(kindHost, h.Name, h.Event, h.Reason, h.Row.Why)
}

func (c *Control) record(kind, id, choice string, reason cuminstair.Reason, detail string) {
	c.Recorder.Record(cuminstair.Decision{
		At: c.Timer.Now(), Part: "control", Kind: kind, ID: id, Choice: choice, Reason: reason, Detail: detail,
	})
}
