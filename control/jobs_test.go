package control_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/job"
)

// runner is the platform's task runner. Tasks take 30 s and end when their lease is not renewed.
type runner struct {
	tasks     map[string]*running
	begun     map[string]bool
	reports   []cuminstair.Usage
	doneCount map[string]int
	ranTwice  string // the first two tasks of one job that ran at once
}

type running struct {
	cuminstair.Task
	start, renewed time.Time
}

// endTasks removes the tasks that have ended by now, and reports them.
func (r *runner) endTasks(now time.Time) {
	for id, t := range r.tasks {
		u := cuminstair.Usage{Task: id, Worker: t.Worker, Job: t.Job, Cores: 1, Memory: 1e9, At: now}
		switch {
		case now.Sub(t.renewed) >= t.Lease.D():
			u.State = "stopped"
		case now.Sub(t.start) >= 30*time.Second:
			u.State = "done"
			r.doneCount[t.Job]++
		default:
			continue
		}
		r.reports = append(r.reports, u)
		delete(r.tasks, id)
	}
}

func (d *daemon) StartTask(_ context.Context, t cuminstair.Task) error {
	if d.w.rand.IntN(20) == 0 { // rare, so that most pauses happen in commits
		d.w.maybePause(d)
	}
	r, now := d.w.runner, d.w.clock.Now()
	r.endTasks(now)
	if r.begun[t.ID] {
		return nil
	}
	r.begun[t.ID] = true
	for _, o := range r.tasks {
		if o.Job == t.Job && r.ranTwice == "" {
			r.ranTwice = fmt.Sprintf("%s while %s", t.ID, o.ID)
		}
	}
	r.tasks[t.ID] = &running{Task: t, start: now, renewed: now}
	if d.w.faults && d.w.rand.IntN(10) == 0 {
		return cuminstair.ErrUncertain
	}
	return nil
}

func (d *daemon) ActTasks(_ context.Context, action cuminstair.TaskAction, ids []string) error {
	r, now := d.w.runner, d.w.clock.Now()
	r.endTasks(now)
	for _, id := range ids {
		t, ok := r.tasks[id]
		switch {
		case ok && action == cuminstair.TaskRenew:
			t.renewed = now
		case ok && action == cuminstair.TaskStop:
			delete(r.tasks, id)
		}
	}
	return nil
}

func (d *daemon) Usage(_ context.Context, since uint64) ([]cuminstair.Usage, uint64, error) {
	r := d.w.runner
	r.endTasks(d.w.clock.Now())
	return r.reports[since:], uint64(len(r.reports)), nil
}

// Guards against jobs that run twice at once, get lost or are not cancelled, while holders of the lease are paused
// during commits and starts, and answers are lost.
func TestJobsUnderFaults(t *testing.T) {
	for seed := range uint64(seeds) {
		f := smallFleet()
		f.Teams = []cuminstair.Team{{Name: "t", Quota: cuminstair.Quota{Cores: 1000}}}
		for i := range f.Hosts {
			f.Hosts[i].Cores, f.Hosts[i].Memory = 4, 64e9
		}
		f.Waves = nil
		w := newWorld(t, seed, f, 3)
		w.runner = &runner{tasks: map[string]*running{}, begun: map[string]bool{}, doneCount: map[string]int{}}
		w.run(30 * time.Second)
		var list []job.Job
		var cancelled []string
		for n := range 200 {
			list = append(list, job.Job{ID: fmt.Sprint("j", n), Team: "t", Class: "c", Cores: 1, Memory: 1e9})
			if n >= 150 {
				cancelled = append(cancelled, list[n].ID)
			}
		}
		w.is.NoErr(w.daemons["a-d1"].c.SubmitJobs(context.Background(), list[100:]))
		w.is.NoErr(w.daemons["a-d2"].c.CancelJobs(context.Background(), cancelled))
		w.faults, w.callsPerPause = true, 15
		w.run(3 * time.Minute)
		w.faults = false // so that all jobs are certain to be submitted
		w.is.NoErr(w.daemons["a-d1"].c.SubmitJobs(context.Background(), list[:100]))
		w.faults = true
		w.run(4 * time.Minute)
		w.faults, w.callsPerPause = false, 0
		w.run(10 * time.Minute)
		w.is.Equal(w.runner.ranTwice, "")
		for n := range 150 {
			w.is.Equal(w.runner.doneCount[list[n].ID], 1) // neither lost nor run again after it was done
		}
		for key, r := range w.table.rows {
			if strings.HasPrefix(key, job.Prefix) || strings.HasPrefix(key, "cancel/") {
				w.is.True(r.Deleted) // every job and cancellation is completed
			}
		}
	}
}
