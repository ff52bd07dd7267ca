package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/standin/local"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/wave"
)

// waveLimit bounds the wave in these tests: three steps of 1, 2 and 4 hosts, each with a reboot of 1 s, a probation of
// 10 s and some seconds for the platform's list, and one more step for hosts that were delayed by the steps before it.
const waveLimit = 100 * time.Second

// reboots records the hosts that the platform rebooted, and requests that were in flight on them.
type reboots struct {
	mu          sync.Mutex
	s           *local.System
	hosts       map[string]int
	interrupted []string
}

func (r *reboots) onHost(name, state string) {
	if state != table.StateRebooting {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[name]++
	if used := r.s.Instances[name].Used(); used > 0 {
		r.interrupted = append(r.interrupted, fmt.Sprintf("%s with %d requests", name, used))
	}
}

// rowOf returns the row of a host.
func rowOf(s *local.System, host string) wave.Host {
	var h wave.Host
	rows, _, _ := s.Platform.Rows(context.Background(), wave.HostKey(strings.Split(host, "-")[0], host), 0)
	if len(rows) > 0 {
		_ = json.Unmarshal(rows[0].Value, &h)
	}
	return h
}

// awaitFor waits for cond like Await, but up to about d.
func awaitFor(s *local.System, d time.Duration, cond func() bool) error {
	end := s.Timer.Now().Add(d)
	for {
		err := s.Await(cond)
		if err == nil || s.Timer.Now().After(end) {
			return err
		}
	}
}

// checkHistory replays the commits of the platform and checks after each that every host is in exactly one pool and,
// once all hosts have been active, that the budgets hold.
func checkHistory(s *local.System, f *cuminstair.Fleet) error {
	accounts := budget.New(f.Services)
	declared := map[string]cuminstair.Host{}
	for _, h := range f.Hosts {
		declared[h.Name] = h
	}
	wasActive := map[string]bool{}
	return s.Platform.Replay(func(rows map[string]cuminstair.Row, _ table.Committed) error {
		seen := map[string]bool{}
		for key, row := range rows {
			path, ok := strings.CutPrefix(key, wave.HostPrefix)
			if !ok {
				continue
			}
			_, name, _ := strings.Cut(path, "/")
			var h wave.Host
			if err := json.Unmarshal(row.Value, &h); err != nil {
				return fmt.Errorf("decode row %s: %w", key, err)
			}
			if seen[name] || h.Pool == "" {
				return fmt.Errorf("host %s is not in exactly one pool: %w", name, cuminstair.ErrConflict)
			}
			seen[name] = true
			if h.State == cuminstair.HostActive {
				wasActive[name] = true
			}
			file := declared[name]
			accounts.Set(name, budget.Host{
				Centre: file.Centre, Rack: file.Rack, Home: file.Pool, Pool: h.Pool, State: h.State, Healthy: true,
			})
		}
		if len(wasActive) < len(f.Hosts) {
			return nil
		}
		for _, centre := range []string{"c1", "c2", budget.Fleet} {
			if a := accounts.Account("convert", centre); !a.Within() {
				return fmt.Errorf("%s in %q: %w", a, centre, cuminstair.ErrConflict)
			}
		}
		return nil
	})
}

// Guards against a drain or a reboot wave that cuts requests off, exceeds the budget or does not finish.
func TestDrainAndWaveUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t)
	r := &reboots{s: s, hosts: map[string]int{}}
	s.OnHost = r.onHost
	is.NoErr(s.Start(context.Background()))
	f := s.Fleet()
	f.Services[0].Budget.Down = 0.9
	f.Waves = []cuminstair.Wave{{
		Name: "kernel", Pools: []string{"kitchen", "spare"}, Action: "reboot", Limit: 16, Hold: true,
		Drain: cuminstair.Duration(time.Minute), Back: cuminstair.Duration(time.Minute),
	}}
	apply(t, s, f)
	for _, i := range s.Instances {
		i.SetFaults(instance.Faults{Delay: 50 * time.Millisecond})
	}
	l := startLoad(t, s, 3, "c1-e1", "c1-e2", "c2-e1")
	awaitActiveHosts(t, s)

	operators := s.Daemons["c1-e2"].Operators()
	is.NoErr(operators.ChangeHost(context.Background(), "c2-h1", "drain"))
	is.NoErr(s.Await(func() bool { return rowOf(s, "c2-h1").State == cuminstair.HostDrained }))
	is.Equal(s.Instances["c2-h1"].Used(), 0)
	is.NoErr(operators.ChangeHost(context.Background(), "c2-h1", "resume"))

	begin := s.Timer.Now()
	is.NoErr(operators.ChangeWave(context.Background(), "kernel", "start"))
	finished := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.hosts) < len(f.Hosts) {
			return false
		}
		for _, h := range f.Hosts {
			if rowOf(s, h.Name).State != cuminstair.HostActive {
				return false
			}
		}
		return true
	}
	is.NoErr(awaitFor(s, waveLimit, finished))
	t.Logf("wave over %d hosts took %s", len(r.hosts), s.Timer.Now().Sub(begin))
	l.end()
	l.checkAllDone(t)
	is.Equal(r.interrupted, nil)
	for host, n := range r.hosts {
		if n != 1 {
			t.Errorf("host %s was rebooted %d times", host, n)
		}
	}
	is.NoErr(checkHistory(s, f))
}
