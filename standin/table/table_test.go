package table_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
)

var ctx = context.Background()

func fresh() (*table.Service, *timer.Virtual) {
	v := timer.NewVirtual(time.Unix(1000, 0))
	return &table.Service{Timer: v}, v
}

func create(id, key string) cuminstair.Commit {
	return cuminstair.Commit{
		ID: id, Checks: []cuminstair.Check{{Key: key}},
		Puts: []cuminstair.Put{{Key: key, Value: []byte(id)}},
	}
}

// Guards against a commit that writes although a check fails, and against a scan that omits a deletion.
func TestCommitAndScan(t *testing.T) {
	is := is.New(t)
	s, _ := fresh()
	v1, err := s.Commit(ctx, create("w1", "a/1"))
	is.NoErr(err)
	_, err = s.Commit(ctx, create("w2", "a/1"))
	is.True(errors.Is(err, cuminstair.ErrConflict))
	_, err = s.Commit(ctx, create("w3", "a/2"))
	is.NoErr(err)
	v3, err := s.Commit(ctx, cuminstair.Commit{ID: "w4", Deletes: []string{"a/1"}})
	is.NoErr(err)
	rows, version, err := s.Rows(ctx, "a/", v1)
	is.NoErr(err)
	is.Equal(version, v3)
	is.Equal(len(rows), 2)
	is.True(rows[1].Deleted && rows[1].Key == "a/1" && rows[1].Write == "w4")
	rows, _, err = s.Rows(ctx, "a/", 0)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	_, err = s.Commit(ctx, create("w5", "a/1")) // a deleted row does not exist
	is.NoErr(err)
	is.NoErr(s.Replay(func(rows map[string]cuminstair.Row, c table.Committed) error {
		if c.Commit.ID == "w4" && len(rows) != 1 {
			return errors.New("the deletion is not in the history")
		}
		return nil
	}))
}

// Guards against unrealistic faults: a write that has no effect when its answer is lost, a write that takes effect
// during an outage, and a slow write that is dropped when its caller gives up.
func TestWriteFaults(t *testing.T) {
	is := is.New(t)
	s, v := fresh()
	s.SetFaults(table.Faults{Lose: 1})
	_, err := s.Commit(ctx, create("w1", "a"))
	is.True(errors.Is(err, cuminstair.ErrUncertain))
	is.Equal(len(s.History()), 1)
	s.SetFaults(table.Faults{Down: true})
	_, err = s.Commit(ctx, create("w2", "b"))
	is.True(errors.Is(err, cuminstair.ErrUnavailable))
	_, _, err = s.Rows(ctx, "", 0)
	is.True(errors.Is(err, cuminstair.ErrUnavailable))
	s.SetFaults(table.Faults{Slow: cuminstair.Duration(time.Second)})
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = s.Commit(cancelled, create("w3", "c"))
	is.True(errors.Is(err, cuminstair.ErrUncertain))
	is.Equal(len(s.History()), 1)
	v.Advance(time.Second)
	is.Equal(len(s.History()), 2)
}

// Guards against a host list that ignores Faults.Lag, a reboot that ends early, and an action that is carried out again
// when its request is repeated.
func TestHosts(t *testing.T) {
	is := is.New(t)
	s, v := fresh()
	var seen []string
	s.Reboot = time.Minute
	s.OnHost = func(name, state string) { seen = append(seen, name+" "+state) }
	s.AddHosts(table.Host{Name: "h1", Centre: "c", Rack: "r"}, table.Host{Name: "h2", Centre: "c", Rack: "r"})
	s.SetFaults(table.Faults{Lag: cuminstair.Duration(10 * time.Second)})
	listed := func() string {
		list, err := s.Hosts(ctx)
		is.NoErr(err)
		return list[0].State
	}
	is.NoErr(s.Act(ctx, "a1", "h1", cuminstair.ActionReboot))
	v.Advance(9 * time.Second)
	is.Equal(listed(), table.StateLive)
	v.Advance(time.Second)
	is.Equal(listed(), table.StateRebooting)
	is.NoErr(s.Act(ctx, "a1", "h1", cuminstair.ActionReboot))
	v.Advance(50 * time.Second)
	is.Equal(s.HostState("h1"), table.StateLive)
	is.Equal(listed(), table.StateRebooting)
	is.Equal(s.FailRack("c", "r"), 2)
	v.Advance(time.Hour)
	is.Equal(s.HostState("h2"), table.StateGone)
	is.Equal(seen, []string{"h1 rebooting", "h1 live", "h1 gone", "h2 gone"})
	s.Drain = 5 * time.Second
	s.RestoreRack("c", "r")
	is.NoErr(s.Act(ctx, "a3", "h1", cuminstair.ActionReplace))
	is.Equal(s.HostState("h1"), table.StateLeaving)
	v.Advance(5 * time.Second)
	is.Equal(s.HostState("h1"), table.StateGone)
	v.Advance(table.DefaultReplace)
	is.Equal(s.HostState("h1"), table.StateLive)
	is.True(errors.Is(s.Act(ctx, "a2", "h9", cuminstair.ActionReboot), cuminstair.ErrNotFound))
}

// Guards against tasks that outlive their lease or their worker, against Faults.Workers and Faults.Jobs without effect,
// and against a throttled task that ends as early as one with all its cores.
func TestTasks(t *testing.T) {
	is := is.New(t)
	s, v := fresh()
	s.AddHosts(table.Host{Name: "w3", Centre: "c", Rack: "r"})
	s.AddWorkers(table.Worker{Name: "w1"}, table.Worker{Name: "w2"}, table.Worker{Name: "w3"})
	s.SetFaults(table.Faults{Workers: []string{"w2"}, Jobs: []string{"never"}, Usage: cuminstair.Duration(2 * time.Second)})
	start := func(id, worker, job string, lease time.Duration) {
		is.NoErr(s.StartTask(ctx, cuminstair.Task{ID: id, Worker: worker, Job: job, Cores: 4, Lease: cuminstair.Duration(lease)}))
	}
	start("t1", "w1", "good", time.Hour)
	start("t2", "w2", "good", time.Hour)
	start("t3", "w1", "never", time.Hour)
	start("t4", "w1", "good", 10*time.Second)
	start("t5", "w1", "good", time.Hour)
	start("t6", "w3", "good", time.Hour)
	start("t7", "w1", "good", time.Hour)
	is.NoErr(s.ActTasks(ctx, cuminstair.TaskThrottle, []string{"t5"}))
	is.NoErr(s.ActTasks(ctx, cuminstair.TaskCheckpoint, []string{"t7", "t9"}))
	s.FailRack("c", "r")
	list, _, err := s.Usage(ctx, 0)
	is.NoErr(err)
	is.Equal(len(list), 0) // reports are delayed by Faults.Usage
	v.Advance(time.Minute)
	last := map[string]string{}
	list, next, err := s.Usage(ctx, 0)
	is.NoErr(err)
	for _, u := range list {
		last[u.Task] = u.State
	}
	want := map[string]string{
		"t1": "done", "t2": "failed", "t3": "failed", "t4": "stopped", "t5": "running", "t6": "failed", "t7": "saved",
	}
	is.Equal(last, want)
	list, _, err = s.Usage(ctx, next)
	is.NoErr(err)
	is.Equal(len(list), 0)
}
