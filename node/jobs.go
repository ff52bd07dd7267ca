package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
)

// jobRows reads the rows of the jobs of this data centre.
func (o *operations) jobRows(ctx context.Context) ([]job.Job, error) {
	rows, _, err := o.node.Platform.Rows(ctx, job.Key(o.node.Settings.Centre, ""), 0)
	if err != nil {
		return nil, fmt.Errorf("read job rows: %w", err)
	}
	list := make([]job.Job, 0, len(rows))
	for i := range rows {
		var j job.Job
		if err := json.Unmarshal(rows[i].Value, &j); err != nil {
			return nil, fmt.Errorf("decode row %s: %w", rows[i].Key, err)
		}
		list = append(list, j)
	}
	return list, nil
}

// Jobs implements cuminstair.Operations, for the data centre of this daemon.
func (o *operations) Jobs(ctx context.Context) ([]cuminstair.JobStatus, error) {
	list, err := o.jobRows(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]cuminstair.JobStatus, 0, len(list))
	for i := range list {
		j := &list[i]
		rows = append(rows, cuminstair.JobStatus{
			ID: j.ID, Team: j.Team, State: string(j.State), Worker: j.Worker, Fails: len(j.Failed), Reason: j.Why,
		})
	}
	return rows, nil
}

// Submit implements cuminstair.Operations. The jobs run in the data centre of this daemon.
func (o *operations) Submit(ctx context.Context, jobs []cuminstair.Job) (cuminstair.Count, error) {
	current := o.node.current().Fleet
	if current == nil {
		return cuminstair.Count{}, fmt.Errorf("no fleet was applied yet: %w", cuminstair.ErrNotFound)
	}
	list := make([]job.Job, 0, len(jobs))
	found := &cuminstair.FaultsError{}
	for i, j := range jobs {
		for _, f := range jobFaults(current, j) {
			f.Field = fmt.Sprintf("[%d].%s", i, f.Field)
			found.Faults = append(found.Faults, f)
		}
		list = append(list, job.Job{
			ID: j.ID, Team: j.Team, Class: j.Class, Urgent: j.Urgent, Archive: j.Archive,
			Cores: j.Cores, Memory: j.Memory, Accel: j.Accel, State: job.Queued,
		})
	}
	if len(found.Faults) > 0 {
		return cuminstair.Count{}, found
	}
	if err := o.node.control.SubmitJobs(ctx, list); err != nil {
		return cuminstair.Count{}, fmt.Errorf("write the jobs: %w", err)
	}
	return cuminstair.Count{Count: len(list)}, nil
}

// jobFaults returns the faults of one submitted job.
func jobFaults(f *cuminstair.Fleet, j cuminstair.Job) []cuminstair.Fault {
	var out []cuminstair.Fault
	fault := func(field, message string) {
		out = append(out, cuminstair.Fault{File: "jobs", Field: field, Message: message})
	}
	if j.ID == "" {
		fault("id", "is missing; give each job a unique id")
	}
	if j.Cores <= 0 {
		fault("cores", "must be above zero")
	}
	if j.Memory <= 0 {
		fault("memory", "must be above zero")
	}
	if j.Urgent && j.Archive {
		fault("archive", "contradicts urgent; set one of them")
	}
	if !slices.ContainsFunc(f.Teams, func(t cuminstair.Team) bool { return t.Name == j.Team && t.Quota.Cores > 0 }) {
		fault("team", fmt.Sprintf("%q is no team with a quota of cores in the fleet file", j.Team))
	}
	return out
}

// Cancel implements cuminstair.Operations, for the data centre of this daemon.
func (o *operations) Cancel(ctx context.Context, c cuminstair.Cancellation) (cuminstair.Count, error) {
	ids := slices.Clone(c.IDs)
	if c.Team != "" {
		list, err := o.jobRows(ctx)
		if err != nil {
			return cuminstair.Count{}, err
		}
		for i := range list {
			if list[i].Team == c.Team && (c.Class == "" || list[i].Class == c.Class) {
				ids = append(ids, list[i].ID)
			}
		}
	}
	if len(ids) == 0 {
		return cuminstair.Count{}, nil
	}
	if err := o.node.control.CancelJobs(ctx, ids); err != nil {
		return cuminstair.Count{}, fmt.Errorf("cancel the jobs: %w", err)
	}
	return cuminstair.Count{Count: len(ids)}, nil
}
