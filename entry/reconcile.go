package entry

import (
	"context"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/assignment"
	"cuminstair.org/cuminstair/ownership"
)

// reconcileAssignments compares, for each service that this daemon owns, the jobs that it has with the assignments of their queues. All
// daemons read these, since former services need owners.
func (d *Daemon) reconcileAssignments(ctx context.Context) error {
	readFor := int64(0) // version of the configuration when the assignments were last read
	for ctx.Err() == nil {
		d.sleep(ctx, reconcileInterval)
		c := d.config.Load()
		if c == nil || d.stopping.Load() || readFor == c.Version && len(d.owned()) == 0 {
			continue
		}
		if err := d.readAssignments(ctx); err != nil {
			d.Log.Debug("entry: can't read the assignments of queues", "error", err)
			continue
		}
		readFor = c.Version
		for _, r := range d.owned() {
			if r.service == ownership.HostsPart {
				continue
			}
			if queues, ok := r.queues(ctx); ok {
				d.listJobsElsewhere(ctx, c, r, queues)
				d.dropFormer(ctx, c, r, queues)
			}
		}
	}
	return nil
}

// queues asks the state of the service for the jobs that have not finished, by queue.
func (r *runner) queues(ctx context.Context) (map[assignment.Key][]string, bool) {
	answers := make(chan map[assignment.Key][]string, 1)
	if !r.post(func(time.Time) { answers <- r.state.Queues() }) {
		return nil, false
	}
	select {
	case queues := <-answers:
		return queues, true
	case <-r.done:
	case <-ctx.Done():
	}
	return nil, false
}

// queueAt returns the queue that a configuration has for a key.
func queueAt(c *cuminstair.JobConfig, key assignment.Key) (cuminstair.WorkQueue, bool) {
	for _, q := range c.Queues {
		if assignment.KeyOf(&q) == key {
			return q, true
		}
	}
	return cuminstair.WorkQueue{}, false
}

// listJobsElsewhere makes the assignments list a service that has jobs of a queue: an earlier release has written none. A job
// that the present service of its queue has too counts there, and is cancelled here.
func (d *Daemon) listJobsElsewhere(ctx context.Context, c *cuminstair.JobConfig, r *runner, queues map[assignment.Key][]string) {
	for key, open := range queues {
		q, inForce := queueAt(c, key)
		if !inForce || q.Service == r.service {
			continue
		}
		a := d.assignments.find(key)
		if a.version == 0 {
			a.queue = assignment.New(key, q.Service, c.Version)
		}
		if !a.queue.Lists(r.service) {
			if _, err := d.writeAssignment(ctx, a, a.queue.WithFormer(r.service)); err != nil {
				d.Log.Info("entry: assignment does not list a service with jobs", "service", r.service, "host", key.Host, "prefix", key.Prefix, "error", err)
				_, _ = d.readAssignment(ctx, key) // the next pass tries again
			}
			continue
		}
		if a.queue.Service == q.Service {
			d.cancelDuplicates(ctx, r, q.Service, open)
		}
	}
}

// cancelDuplicates cancels the jobs of a service that the present service of their queue has too.
func (d *Daemon) cancelDuplicates(ctx context.Context, r *runner, present string, open []string) {
	for _, id := range open {
		if r.checked[id] == present {
			continue
		}
		at, err := d.locate(ctx, id, []string{present})
		if err != nil {
			return
		}
		if at != "" {
			r.post(func(now time.Time) { r.state.CancelDuplicate(now, id, present) })
		}
		if r.checked == nil {
			r.checked = map[string]string{}
		}
		r.checked[id] = present
	}
}

// dropFormer removes a service from the assignments of queues of which it has no jobs any more, once it is closed to them.
func (d *Daemon) dropFormer(ctx context.Context, c *cuminstair.JobConfig, r *runner, queues map[assignment.Key][]string) {
	for _, a := range d.assignments.list() {
		key := a.queue.Key
		q, inForce := queueAt(c, key)
		if _, hasJobs := queues[key]; hasJobs || a.version == 0 || !a.queue.Lists(r.service) || inForce && q.Service == r.service || a.queue.Since > c.Version {
			continue
		}
		if a.queue.Service == r.service && (inForce || len(a.queue.Former) > 0) {
			continue // it is removed once it is a former one, or the last one
		}
		jobs, err := d.closeQueue(ctx, r.service, key, c.Version)
		if err != nil || jobs > 0 {
			continue
		}
		if err := d.removeFormer(ctx, a, r.service); err != nil {
			_, _ = d.readAssignment(ctx, key) // the next pass tries again
			continue
		}
		d.Log.Info("entry: service has no more jobs of a queue", "service", r.service, "host", key.Host, "prefix", key.Prefix, "config", c.Version)
	}
}

// removeFormer removes a former service from an assignment, and the assignment of a queue that is in no configuration with its last service.
func (d *Daemon) removeFormer(ctx context.Context, a assigned, service string) error {
	if a.queue.Service != service {
		_, err := d.writeAssignment(ctx, a, a.queue.WithoutFormer(service))
		return err
	}
	rk := a.queue.Record()
	_, err := d.Store.Commit(ctx, cuminstair.Tx{
		Checks:  []cuminstair.RecordCheck{{RecordKey: rk, Version: a.version}},
		Deletes: []cuminstair.RecordKey{rk},
	})
	if err == nil {
		d.assignments.update(assignment.Queue{Key: a.queue.Key}, 0)
	}
	return err
}
