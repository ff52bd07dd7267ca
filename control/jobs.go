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
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

const (
	// JobTick is the time between two placement decisions. An urgent job waits for at most two decisions.
	JobTick = 250 * time.Millisecond
	// cancelPrefix is the key prefix of rows that list jobs to cancel.
	cancelPrefix = "cancel/"
	kindJob      = "job"
)

// jobs is the part of a Control that places jobs. Only one goroutine uses it.
type jobs struct {
	scheduler   *job.Scheduler    // nil while the lease is not held or the rows have to be read again
	since       map[string]uint64 // key prefix: version up to which its rows were read
	versions    map[string]uint64 // job: version of its row
	usageCursor uint64            // position up to which usage reports were read
	cordoned    map[string]bool   // known worker: true if it gets no new tasks
	cancelRows  []string          // keys of cancellation rows that were applied and are to be deleted
	plan        *job.Plan         // decided, but not executed yet
	commitCount uint64
}

// runJobs starts a goroutine that places jobs until ctx ends. The returned channel is closed when it has ended.
func (c *Control) runJobs(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if c.Tasks == nil {
		close(done)
		return done
	}
	wake, stop := timer.Ticks(c.Timer, JobTick)
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
// are started, so that the next holder finds a row for every task that may run.
func (c *Control) StepJobs(ctx context.Context) {
	fence, ok := c.held()
	if !ok {
		c.jobs = jobs{}
		c.jobsOutage.end(c, "lease lost during the outage; the next holder places jobs")
		return
	}
	c.jobsOutage.observe(c, "placement", c.stepJobs(ctx, fence))
}

func (c *Control) stepJobs(ctx context.Context, fence lease.Fence) error {
	j := &c.jobs
	if j.scheduler == nil {
		c.jobs = jobs{
			scheduler: job.New(), since: map[string]uint64{}, versions: map[string]uint64{}, cordoned: map[string]bool{},
		}
	}
	c.setWorkers()
	if err := c.readJobs(ctx); err != nil {
		return err
	}
	if j.plan == nil {
		plan := j.scheduler.Decide(c.Timer.Now())
		j.plan = &plan
	}
	if err := c.commitJobs(ctx, fence); err != nil {
		return err
	}
	plan := *j.plan
	j.plan = nil
	c.executePlan(ctx, plan)
	return nil
}

// setWorkers passes the quotas of teams and the states of hosts to the scheduler.
func (c *Control) setWorkers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet == nil {
		return
	}
	ownHosts := 0
	for _, h := range c.fleet.Hosts {
		if h.Centre != c.Centre {
			continue
		}
		ownHosts++
		c.setWorker(h)
	}
	for _, t := range c.fleet.Teams {
		// The quota is split over the data centres by their number of hosts, so that placement needs no coordination
		// between data centres.
		c.jobs.scheduler.SetTeam(t.Name, float64(t.Quota.Cores)*float64(ownHosts)/float64(len(c.fleet.Hosts)))
	}
}

func (c *Control) setWorker(h cuminstair.Host) {
	s, state := c.jobs.scheduler, c.hostStates[h.Name]
	cordoned, known := c.jobs.cordoned[h.Name]
	switch {
	case state == cuminstair.HostActive && (!known || cordoned):
		s.AddWorker(job.Worker{Name: h.Name, Cores: float64(h.Cores), Memory: h.Memory, Accel: h.Accel})
	case state == cuminstair.HostFailed || state == cuminstair.HostRebooting:
		s.MarkWorkerLost(h.Name)
	case state != cuminstair.HostActive && known && !cordoned:
		s.CordonWorker(h.Name)
	case state != cuminstair.HostActive && !known:
		return
	}
	c.jobs.cordoned[h.Name] = state != cuminstair.HostActive
}

// readJobs reads new jobs, cancellations and usage reports.
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
			if err := c.applyJobRow(prefix, r); err != nil {
				c.logger().Error("row ignored", "key", r.Key, "error", err)
			}
		}
		c.jobs.since[prefix] = version
	}
	reports, next, err := c.Tasks.Usage(ctx, c.jobs.usageCursor)
	if err != nil {
		return fmt.Errorf("read usage: %w", err)
	}
	c.jobs.usageCursor = next
	for _, u := range reports {
		c.jobs.scheduler.Report(c.Timer.Now(), u)
	}
	return nil
}

func (c *Control) applyJobRow(prefix string, r cuminstair.Row) error {
	if prefix == cancelPrefix+c.Centre+"/" {
		var ids []string
		if err := json.Unmarshal(r.Value, &ids); err != nil {
			return fmt.Errorf("decode cancellation: %w", err)
		}
		c.jobs.scheduler.Cancel(ids)
		c.jobs.cancelRows = append(c.jobs.cancelRows, r.Key)
		return nil
	}
	var j job.Job
	if err := json.Unmarshal(r.Value, &j); err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	c.jobs.versions[j.ID] = r.Version
	c.jobs.scheduler.Submit(c.Timer.Now(), j)
	return nil
}

// commitJobs writes the rows of the plan's jobs. If the commit fails because the lease was renewed in the meantime, the
// next step repeats it; after any other failure the scheduler is rebuilt from the rows.
func (c *Control) commitJobs(ctx context.Context, fence lease.Fence) error {
	j := &c.jobs
	slices.Sort(j.plan.Changed)
	for len(j.plan.Changed)+len(j.cancelRows) > 0 {
		n, m := min(batchSize, len(j.plan.Changed)), min(batchSize, len(j.cancelRows))
		j.commitCount++
		commit := cuminstair.Commit{
			ID:     fmt.Sprintf("jobs/%s/%s/%d/%d", c.Self, c.Boot, fence.Epoch, j.commitCount),
			Checks: []cuminstair.Check{fence.Check}, Deletes: slices.Clone(j.cancelRows[:m]),
		}
		for _, id := range j.plan.Changed[:n] {
			if err := c.putJob(&commit, id); err != nil {
				return err
			}
		}
		version, err := c.Table.Commit(ctx, commit)
		if err != nil {
			if now, ok := c.held(); !errors.Is(err, cuminstair.ErrConflict) || !ok || now.Check == fence.Check {
				j.scheduler = nil
			}
			return fmt.Errorf("commit jobs: %w", err)
		}
		for _, id := range j.plan.Changed[:n] {
			c.jobWritten(id, version)
		}
		j.plan.Changed, j.cancelRows = j.plan.Changed[n:], j.cancelRows[m:]
	}
	return nil
}

func (c *Control) putJob(commit *cuminstair.Commit, id string) error {
	row, ok := c.jobs.scheduler.Job(id)
	if !ok {
		return nil
	}
	key, version := job.Key(c.Centre, id), c.jobs.versions[id]
	if version == 0 {
		return nil // the row was already deleted after the job ended
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

func (c *Control) jobWritten(id string, version uint64) {
	row, ok := c.jobs.scheduler.Job(id)
	if !ok {
		return
	}
	if c.jobs.versions[id] == 0 {
		c.jobs.scheduler.Forget(id)
		return
	}
	c.jobs.versions[id] = version
	c.record(kindJob, id, string(row.State), cuminstair.ReasonOK, row.Why)
	if row.State == job.Done || row.State == job.Cancelled {
		delete(c.jobs.versions, id)
		c.jobs.scheduler.Forget(id)
	}
}

// executePlan executes the actions and starts the tasks of a plan whose rows have been committed.
func (c *Control) executePlan(ctx context.Context, plan job.Plan) {
	s := c.jobs.scheduler
	for name, why := range plan.Quarantine {
		c.withPlanner(func(p *wave.Planner) { p.Quarantine(name, why) })
	}
	for action, ids := range plan.Actions {
		sent := c.Timer.Now()
		err := c.Tasks.ActTasks(ctx, action, ids)
		s.ActionResult(sent, action, ids, err == nil)
	}
	for _, st := range plan.Starts {
		if _, ok := c.held(); !ok {
			return // the next holder finds the row and lets the task's lease expire
		}
		err := c.Tasks.StartTask(ctx, st.Task)
		refused := errors.Is(err, cuminstair.ErrNotFound)
		s.StartResult(c.Timer.Now(), st, err == nil, err != nil && !refused)
	}
}

// SubmitJobs writes the rows of new jobs in this data centre. Any daemon accepts jobs; the holder of the lease places
// them. It returns cuminstair.ErrConflict if a job with the same id exists.
func (c *Control) SubmitJobs(ctx context.Context, list []job.Job) error {
	for part := range slices.Chunk(list, batchSize) {
		commit := cuminstair.Commit{ID: fmt.Sprintf("submit/%s/%s/%d", c.Self, c.Boot, c.orderCount.Add(1))}
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

// CancelJobs requests the cancellation of jobs of this data centre, with one row for all of them.
func (c *Control) CancelJobs(ctx context.Context, ids []string) error {
	data, err := json.Marshal(ids)
	if err != nil {
		return fmt.Errorf("encode cancellation: %w", err)
	}
	id := fmt.Sprintf("%s/%s/%d", c.Self, c.Boot, c.orderCount.Add(1))
	key := cancelPrefix + c.Centre + "/" + id
	commit := cuminstair.Commit{
		ID: "cancel/" + id, Checks: []cuminstair.Check{{Key: key}}, Puts: []cuminstair.Put{{Key: key, Value: data}},
	}
	if _, err := c.Table.Commit(ctx, commit); err != nil {
		return fmt.Errorf("cancel jobs: %w", err)
	}
	return nil
}
