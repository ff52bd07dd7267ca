package control

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
	"cuminstair.org/cuminstair/lease"
	"cuminstair.org/cuminstair/wave"
)

const (
	// JobTick is the time between two placement decisions. Urgent jobs wait for two of them at most.
	JobTick = 250 * time.Millisecond
	// cancelPrefix is the key prefix of rows that list jobs to cancel.
	cancelPrefix = "cancel/"
	kindJob      = "job"
)

// jobs is the part of a Control that places jobs. Only one goroutine uses it.
type jobs struct {
	s        *job.Scheduler    // nil while the lease is not held or the rows have to be read anew
	since    map[string]uint64 // prefix: version that its rows are current to
	versions map[string]uint64 // job: version of its row
	usage    uint64            // position of the usage reports
	resting  map[string]bool   // workers that take no new tasks
	cancels  []string          // rows of cancellations that were followed
	plan     *job.Plan         // decided and not committed yet
	count    uint64
}

// runJobs places jobs until ctx ends. The returned channel is closed then.
func (c *Control) runJobs(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if c.Tasks == nil {
		close(done)
		return done
	}
	wake := make(chan struct{}, 1)
	stop := c.Timer.Every(JobTick, func(time.Time) {
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	go func() {
		defer close(done)
		defer stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-wake:
				c.StepJobs(ctx)
			}
		}
	}()
	return done
}

// StepJobs makes one placement decision under the lease. Only one goroutine may call it. Rows are written before tasks
// are started, so that a successor knows of every task that may run.
func (c *Control) StepJobs(ctx context.Context) {
	fence, ok := c.held()
	if !ok {
		c.jobs = jobs{}
		c.jobsOutage.end(c, "Placement left to the next holder of the lease")
		return
	}
	c.jobsOutage.see(c, "placement", c.stepJobs(ctx, fence))
}

func (c *Control) stepJobs(ctx context.Context, fence lease.Fence) error {
	j := &c.jobs
	if j.s == nil {
		c.jobs = jobs{s: job.New(), since: map[string]uint64{}, versions: map[string]uint64{}, resting: map[string]bool{}}
	}
	c.setWorkers()
	if err := c.readJobs(ctx); err != nil {
		return err
	}
	if j.plan == nil {
		plan := j.s.Decide(c.Timer.Now())
		j.plan = &plan
	}
	if err := c.commitJobs(ctx, fence); err != nil {
		return err
	}
	plan := *j.plan
	j.plan = nil
	c.runPlan(ctx, plan)
	return nil
}

// setWorkers passes teams and the states of the hosts to the scheduler.
func (c *Control) setWorkers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet == nil {
		return
	}
	own := 0
	for _, h := range c.fleet.Hosts {
		if h.Centre != c.Centre {
			continue
		}
		own++
		c.setWorker(h)
	}
	for _, t := range c.fleet.Teams {
		// Each data centre gives a team its part of the quota, so that placement needs no other data centre.
		c.jobs.s.SetTeam(t.Name, float64(t.Quota.Cores)*float64(own)/float64(len(c.fleet.Hosts)))
	}
}

func (c *Control) setWorker(h cuminstair.Host) {
	s, state := c.jobs.s, c.states[h.Name]
	resting, known := c.jobs.resting[h.Name]
	switch {
	case state == cuminstair.HostActive && (!known || resting):
		s.AddWorker(job.Worker{Name: h.Name, Cores: float64(h.Cores), Memory: h.Memory, Accel: h.Accel})
	case state == cuminstair.HostFailed || state == cuminstair.HostRebooting:
		s.MarkWorkerLost(h.Name)
	case state != cuminstair.HostActive && known && !resting:
		s.CordonWorker(h.Name)
	case state != cuminstair.HostActive && !known:
		return
	}
	c.jobs.resting[h.Name] = state != cuminstair.HostActive
}

// readJobs takes new jobs, cancellations and usage reports.
func (c *Control) readJobs(ctx context.Context) error {
	for _, prefix := range []string{job.Prefix + c.Centre + "/", cancelPrefix + c.Centre + "/"} {
		rows, version, err := c.Table.Rows(ctx, prefix, c.jobs.since[prefix])
		if err != nil {
			return fmt.Errorf("read rows %s: %w", prefix, err)
		}
		for _, r := range rows {
			if r.Deleted {
				continue
			}
			if err := c.takeJobRow(prefix, r); err != nil {
				c.logger().Error("row ignored", "key", r.Key, "error", err)
			}
		}
		c.jobs.since[prefix] = version
	}
	reports, next, err := c.Tasks.Usage(ctx, c.jobs.usage)
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	c.jobs.usage = next
	for _, u := range reports {
		c.jobs.s.Report(c.Timer.Now(), u)
	}
	return nil
}

func (c *Control) takeJobRow(prefix string, r cuminstair.Row) error {
	if prefix == cancelPrefix+c.Centre+"/" {
		var ids []string
		if err := json.Unmarshal(r.Value, &ids); err != nil {
			return fmt.Errorf("decode cancellation: %w", err)
		}
		c.jobs.s.Cancel(ids)
		c.jobs.cancels = append(c.jobs.cancels, r.Key)
		return nil
	}
	var j job.Job
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	c.jobs.versions[j.ID] = r.Version
	c.jobs.s.Submit(c.Timer.Now(), j)
	return nil
}

// commitJobs writes the rows of the plan's jobs. When the lease was renewed meanwhile the next step repeats it; after
// any other failure the scheduler is built anew from the rows.
func (c *Control) commitJobs(ctx context.Context, fence lease.Fence) error {
	j := &c.jobs
	slices.Sort(j.plan.Changed)
	for len(j.plan.Changed)+len(j.cancels) > 0 {
		n, m := min(batch, len(j.plan.Changed)), min(batch, len(j.cancels))
		j.count++
		commit := cuminstair.Commit{
			ID: fmt.Sprintf("jobs/%s/%s/%d/%d", c.Self, c.Boot, fence.Epoch, j.count), Checks: []cuminstair.Check{fence.Check}, Deletes: slices.Clone(j.cancels[:m]),
		}
		for _, id := range j.plan.Changed[:n] {
			if err := c.putJob(&commit, id); err != nil {
				return err
			}
		}
		version, err := c.Table.Commit(ctx, commit)
		if err != nil {
			if now, ok := c.held(); !errors.Is(err, cuminstair.ErrConflict) || !ok || now.Check == fence.Check {
				j.s = nil
			}
			return fmt.Errorf("commit jobs: %w", err)
		}
		for _, id := range j.plan.Changed[:n] {
			c.wroteJob(id, version)
		}
		j.plan.Changed, j.cancels = j.plan.Changed[n:], j.cancels[m:]
	}
	return nil
}

func (c *Control) putJob(commit *cuminstair.Commit, id string) error {
	row, ok := c.jobs.s.Job(id)
	if !ok {
		return nil
	}
	key, version := job.Key(c.Centre, id), c.jobs.versions[id]
	if version == 0 {
		return nil // its final row is written already
	}
	commit.Checks = append(commit.Checks, cuminstair.Check{Key: key, Version: version})
	if row.State == job.Done || row.State == job.Cancelled {
		commit.Deletes = append(commit.Deletes, key)
		return nil
	}
	data, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	commit.Puts = append(commit.Puts, cuminstair.Put{Key: key, Value: data})
	return nil
}

func (c *Control) wroteJob(id string, version uint64) {
	row, ok := c.jobs.s.Job(id)
	if !ok {
		return
	}
	if c.jobs.versions[id] == 0 {
		c.jobs.s.Forget(id)
		return
	}
	c.jobs.versions[id] = version
	c.record(kindJob, id, string(row.State), cuminstair.ReasonOK, row.Why)
	if row.State == job.Done || row.State == job.Cancelled {
		delete(c.jobs.versions, id)
		c.jobs.s.Forget(id)
	}
}

// runPlan takes the actions and starts the tasks of a plan whose rows are written.
func (c *Control) runPlan(ctx context.Context, plan job.Plan) {
	s := c.jobs.s
	for name, why := range plan.Quarantine {
		c.plan(func(p *wave.Planner) { p.Quarantine(name, why) })
	}
	for action, ids := range plan.Actions {
		sent := c.Timer.Now()
		err := c.Tasks.ActTasks(ctx, action, ids)
		s.ActionResult(sent, action, ids, err == nil)
	}
	for _, st := range plan.Starts {
		if _, ok := c.held(); !ok {
			return // a successor finds the row and lets the task's lease run out
		}
		err := c.Tasks.StartTask(ctx, st.Task)
		refused := errors.Is(err, cuminstair.ErrNotFound)
		s.Started(c.Timer.Now(), st, err == nil, err != nil && !refused)
	}
}

// SubmitJobs writes the rows of new jobs in this data centre. Any daemon takes them; the holder of the lease places
// them. It returns cuminstair.ErrConflict if a job of that id exists.
func (c *Control) SubmitJobs(ctx context.Context, list []job.Job) error {
	for part := range slices.Chunk(list, batch) {
		commit := cuminstair.Commit{ID: fmt.Sprintf("submit/%s/%s/%d", c.Self, c.Boot, c.ordered.Add(1))}
		for _, j := range part {
			key := job.Key(c.Centre, j.ID)
			j.State = job.Queued
			data, err := json.Marshal(j)
			if err != nil {
				return fmt.Errorf("encode job: %w", err)
			}
			commit.Checks = append(commit.Checks, cuminstair.Check{Key: key})
			commit.Puts = append(commit.Puts, cuminstair.Put{Key: key, Value: data})
		}
		if _, err := c.Table.Commit(ctx, commit); err != nil {
			return fmt.Errorf("submit jobs: %w", err)
		}
	}
	return nil
}

// CancelJobs asks for jobs of this data centre to be cancelled, with one row for all of them.
func (c *Control) CancelJobs(ctx context.Context, ids []string) error {
	data, err := json.Marshal(ids)
	if err != nil {
		return fmt.Errorf("encode cancellation: %w", err)
	}
	id := fmt.Sprintf("%s/%s/%d", c.Self, c.Boot, c.ordered.Add(1))
	key := cancelPrefix + c.Centre + "/" + id
	commit := cuminstair.Commit{
		ID: "cancel/" + id, Checks: []cuminstair.Check{{Key: key}}, Puts: []cuminstair.Put{{Key: key, Value: data}},
	}
	if _, err := c.Table.Commit(ctx, commit); err != nil {
		return fmt.Errorf("cancel jobs: %w", err)
	}
	return nil
}
