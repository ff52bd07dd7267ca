package tables_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/timer"
)

// directTransport calls a handler without a socket, so that a test runs in virtual time. While refuse is set, requests
// fail as if no connection could be made.
type directTransport struct {
	handler http.Handler
	refuse  bool
}

func (d *directTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if d.refuse {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	rec := httptest.NewRecorder()
	aborted := func() (aborted bool) {
		defer func() { aborted = recover() != nil }()
		d.handler.ServeHTTP(rec, r)
		return false
	}()
	if aborted || r.Context().Err() != nil {
		return nil, errors.New("connection reset")
	}
	return rec.Result(), nil
}

// setup returns a client, the simulated platform behind it, its transport, and a function that runs calls in virtual
// time until they return.
func setup(t *testing.T) (*tables.Client, *table.Service, *directTransport, func(fns ...func())) {
	v := timer.NewVirtual(time.Unix(1000, 0))
	s := &table.Service{Timer: v}
	d := &directTransport{handler: s.Handler()}
	c := &tables.Client{
		Base: "http://platform", Timer: v, Rand: rand.New(rand.NewPCG(1, 1)), HTTP: &http.Client{Transport: d},
	}
	run := func(fns ...func()) {
		done := make(chan bool, len(fns))
		for _, fn := range fns {
			go func() { fn(); done <- true }()
		}
		for range 100000 {
			synctest.Wait()
			if len(done) == len(fns) {
				return
			}
			v.Advance(time.Millisecond)
		}
		t.Fatal("the calls did not return within 100 s")
	}
	return c, s, d, run
}

func commit(id, key string) cuminstair.Commit {
	return cuminstair.Commit{ID: id, Checks: []cuminstair.Check{{Key: key}}, Puts: []cuminstair.Put{{Key: key}}}
}

// Guards against a write that may have taken effect but is reported as unavailable or sent again, and against a write
// that is reported as uncertain although nothing was sent.
func TestUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s, d, run := setup(t)
		commitExpecting := func(id string, want error) {
			run(func() {
				_, err := c.Commit(t.Context(), commit(id, id))
				is.True(errors.Is(err, want))
			})
		}
		s.SetFaults(table.Faults{Lose: 1})
		commitExpecting("lost", cuminstair.ErrUncertain)
		is.Equal(s.Stats().Writes, 1) // not sent again
		s.SetFaults(table.Faults{Slow: cuminstair.Duration(time.Minute)})
		commitExpecting("slow", cuminstair.ErrUncertain)
		s.SetFaults(table.Faults{Down: true})
		commitExpecting("down", cuminstair.ErrUnavailable)
		s.SetFaults(table.Faults{})
		d.refuse = true
		commitExpecting("cut", cuminstair.ErrUnavailable)
		d.refuse = false
		run(func() { c.Timer.(*timer.Virtual).Advance(time.Minute) })
		commitExpecting("lost", cuminstair.ErrConflict)
		commitExpecting("slow", cuminstair.ErrConflict)
		commitExpecting("down", nil)
		commitExpecting("cut", nil)
		is.Equal(len(s.History()), 4)
	})
}

// Guards against a retry that starts an action or a task twice, and against a bulk action that sends one request per
// task.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s, _, run := setup(t)
		s.AddHosts(table.Host{Name: "h1", Centre: "c", Rack: "r", Role: "upstream"})
		s.AddWorkers(table.Worker{Name: "h1", Cores: 4})
		s.SetFaults(table.Faults{Lose: 1})
		run(func() { is.NoErr(c.Act(t.Context(), "a1", "h1", cuminstair.ActionReboot)) })
		s.SetFaults(table.Faults{Lose: 1})
		task := cuminstair.Task{ID: "t/1", Worker: "h1", Job: "j", Cores: 1, Lease: cuminstair.Duration(time.Hour)}
		run(func() { is.NoErr(c.StartTask(t.Context(), task)) })
		before := s.Stats().Writes
		ids := make([]string, 500)
		for i := range ids {
			ids[i] = fmt.Sprintf("t/%d", i)
		}
		run(func() { is.NoErr(c.ActTasks(t.Context(), cuminstair.TaskStop, ids)) })
		is.Equal(s.Stats().Writes-before, 1)
		run(func() {
			list, next, err := c.Usage(t.Context(), 0)
			is.NoErr(err)
			is.Equal(len(list), 2) // running and failed, since its worker reboots
			is.Equal(next, uint64(2))
			hosts, err := c.Hosts(t.Context())
			is.NoErr(err)
			is.Equal(hosts[0].State, table.StateRebooting)
			workers, err := c.Workers(t.Context())
			is.NoErr(err)
			is.Equal(workers[0].Cores, 4)
			data := []byte("object")
			hash := "2958d416d08aa5a472d7b509036cb7eafd542add84527e66a145ea64cb4cdc75"
			is.NoErr(c.PutObject(t.Context(), hash, data))
			got, err := c.GetObject(t.Context(), hash)
			is.NoErr(err)
			is.Equal(got, data)
			_, err = c.GetObject(t.Context(), "00")
			is.True(errors.Is(err, cuminstair.ErrNotFound))
		})
	})
}

// Guards against a separate scan for each reader, a reader that misses its own write, and pages that lose or repeat
// rows.
func TestSharedScans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s, _, run := setup(t)
		const commits = 1400 // of three rows each: three pages, with one commit at a page boundary
		for i := range commits {
			var tx cuminstair.Commit
			for j := range 3 {
				tx.Puts = append(tx.Puts, cuminstair.Put{Key: fmt.Sprintf("host/%04d", 3*i+j)})
			}
			_, err := s.Commit(t.Context(), tx)
			is.NoErr(err)
		}
		_, err := s.Commit(t.Context(), cuminstair.Commit{ID: "del", Deletes: []string{"host/0007"}})
		is.NoErr(err)
		run(func() {
			got, _, err := c.Rows(t.Context(), "host/", 0)
			is.NoErr(err)
			is.Equal(len(got), 3*commits-1)
		})
		s.SetFaults(table.Faults{Slow: cuminstair.Duration(100 * time.Millisecond)})
		before := s.Stats().Reads
		var readers []func()
		for i := range uint64(200) {
			readers = append(readers, func() {
				got, version, err := c.Rows(t.Context(), "host/", commits-i)
				is.NoErr(err)
				is.Equal(version, uint64(commits+1))
				is.Equal(len(got), 3*int(i)+1)
				is.True(got[len(got)-1].Deleted)
			})
		}
		run(readers...)
		is.True(s.Stats().Reads-before <= 2) // one already running, and one that the other readers share
	})
}

// Guards against a client that keeps sending while the platform is down, one that exceeds its rate limit, and one that
// does not detect the end of an outage within breakerLimit.
func TestBudgetAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, s, _, run := setup(t)
		v := c.Timer.(*timer.Virtual)
		start := v.Now()
		run(func() {
			for i := range 100 {
				_, err := c.Commit(t.Context(), commit(fmt.Sprint(i), fmt.Sprint(i)))
				is.NoErr(err)
			}
		})
		is.True(v.Now().Sub(start) >= (100-tables.DefaultBurst)/tables.DefaultWrites*time.Second)
		s.SetFaults(table.Faults{Down: true})
		before := s.Stats().Reads
		start = v.Now()
		calls := 0
		run(func() {
			for v.Now().Sub(start) < time.Minute {
				_, err := c.Hosts(t.Context())
				is.True(errors.Is(err, cuminstair.ErrUnavailable))
				calls++
				wait(v, 10*time.Millisecond)
			}
		})
		t.Logf("%d calls in one minute of outage, %d reached the platform", calls, s.Stats().Reads-before)
		is.True(calls > 1000)
		is.True(s.Stats().Reads-before < 60) // less than one per second on average
		s.SetFaults(table.Faults{})
		start = v.Now()
		run(func() {
			for {
				if _, err := c.Hosts(t.Context()); err == nil {
					return
				}
				wait(v, 10*time.Millisecond)
			}
		})
		is.True(v.Now().Sub(start) <= 6*time.Second) // breakerLimit and one attempt
	})
}

func wait(tm cuminstair.Timer, d time.Duration) {
	done := make(chan bool)
	tm.After(d, func(time.Time) { close(done) })
	<-done
}

// Guards against reporting a commit as unavailable when its TCP connection breaks before the response arrives: the
// commit may have taken effect.
func TestLostAnswerOverTCP(t *testing.T) {
	is := is.New(t)
	tm := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = tm.Run(ctx) }()
	s := &table.Service{Timer: tm}
	server := httptest.NewServer(s.Handler())
	c := &tables.Client{Base: server.URL, Timer: tm, Rand: rand.New(rand.NewPCG(1, 1))}
	_, err := c.Commit(ctx, commit("w1", "a"))
	is.NoErr(err)
	s.SetFaults(table.Faults{Lose: 1})
	_, err = c.Commit(ctx, commit("w2", "b"))
	is.True(errors.Is(err, cuminstair.ErrUncertain))
	is.Equal(len(s.History()), 2)
	verdict, err := tables.Settle(ctx, c, commit("w2", "b"), 1)
	is.NoErr(err)
	is.Equal(verdict, tables.Done)
	server.Close()
	c = &tables.Client{Base: server.URL, Timer: tm, Rand: rand.New(rand.NewPCG(1, 1))} // without an idle connection
	_, err = c.Commit(ctx, commit("w3", "c"))
	is.True(errors.Is(err, cuminstair.ErrUnavailable))
}
