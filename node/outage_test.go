package node_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/standin/local"
	"cuminstair.org/cuminstair/standin/table"
)

// changeBudget returns an apply request based on generation 1 that changes only the budget of the fleet.
func changeBudget(s *local.System, down float64) cuminstair.ApplyRequest {
	f := s.Fleet()
	f.Services[0].Budget.Down = down
	a, _ := local.NewApplyRequest(f, 1)
	return a
}

// generation returns the generation that a daemon has in force, or 0.
func generation(d *local.Daemon) uint64 {
	current, err := d.Operators().Current(context.Background())
	if err != nil {
		return 0
	}
	return current.Generation
}

// readyBody returns the status and body of a daemon's answer to the load balancer.
func readyBody(d *local.Daemon) string {
	resp, err := http.Get(d.Callers() + "/ready")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.Status + ": " + string(data)
}

// Guards against requests that wait for the platform, an apply that wrongly reports success, and a daemon that starts
// during the outage and does not get the configuration from its peers or does not report why it is unready.
func TestPlatformOutageUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t)
	l := startLoad(t, s, 2, "c1-e1", "c1-e2", "c2-e1")
	s.Platform.SetFaults(table.Faults{Down: true})
	begin := s.Timer.Now()
	operators := s.Daemons["c1-e1"].Operators()
	_, err := operators.Apply(context.Background(), changeBudget(s, 0.6))
	is.True(errors.Is(err, cuminstair.ErrUnavailable))
	t.Log(err)

	alone, err := s.StartDaemon("c1-e3", "c1")
	is.NoErr(err)
	t.Log(readyBody(alone))
	is.True(strings.HasPrefix(readyBody(alone), "503"))
	is.True(strings.Contains(readyBody(alone), "unavailable"))

	s.SeedPeers = []string{s.Daemons["c1-e2"].PeerEntry()}
	joined, err := s.StartDaemon("c1-e4", "c1")
	is.NoErr(err)
	is.NoErr(s.Await(func() bool { return joined.Node.Ready() == nil }))
	is.Equal(generation(joined), uint64(1))

	// Wait longer than rollout.ViewAge. The view of a daemon that was not restarted stays usable during the outage.
	is.NoErr(awaitFor(s, 25*time.Second, func() bool { return s.Timer.Now().Sub(begin) > 22*time.Second }))
	done := l.done.Load()
	is.NoErr(s.Await(func() bool { return l.done.Load() > done+100 }))
	is.Equal(generation(s.Daemons["c2-e1"]), uint64(1))
	s.Platform.SetFaults(table.Faults{})
	is.NoErr(s.Await(func() bool { return alone.Node.Ready() == nil }))
	is.NoErr(s.Await(func() bool {
		_, err := operators.Apply(context.Background(), changeBudget(s, 0.6))
		return err == nil
	}))
	is.NoErr(s.Await(func() bool { return generation(s.Daemons["c2-e1"]) == 2 && generation(alone) == 2 }))
	l.end()
	l.checkAllDone(t)
}

// Guards against two concurrent applies that both succeed, and a conflict that does not report the changes.
func TestOperatorsRace(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	errs := make([]error, 2)
	var wg sync.WaitGroup
	begin := s.Timer.Now()
	for i, name := range []string{"c1-e2", "c2-e1"} {
		wg.Go(func() {
			_, errs[i] = s.Daemons[name].Operators().Apply(context.Background(), changeBudget(s, []float64{0.6, 0.7}[i]))
		})
	}
	wg.Wait()
	is.True((errs[0] == nil) != (errs[1] == nil))
	lost := errs[0]
	if lost == nil {
		lost = errs[1]
	}
	var stale *cuminstair.StaleError
	is.True(errors.As(lost, &stale))
	is.Equal(stale.Base, uint64(1))
	is.Equal(stale.Current, uint64(2))
	is.True(len(stale.Changes) > 0)
	t.Log(lost)
	is.NoErr(s.Await(func() bool {
		for _, d := range s.Daemons {
			if generation(d) != 2 {
				return false
			}
		}
		return true
	}))
	is.True(s.Timer.Now().Sub(begin) < cuminstair.ForceTarget)
}

// Guards against a data centre that stops serving or reverts to an older generation because of a network partition.
func TestCentreCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t)
	far := s.Daemons["c2-e1"]
	l := startLoad(t, s, 2, "c1-e1", "c2-e1")
	s.SetCentreDisconnected("c2", true)
	is.NoErr(s.Await(func() bool {
		_, err := s.Daemons["c1-e1"].Operators().Apply(context.Background(), changeBudget(s, 0.6))
		return err == nil
	}))
	is.NoErr(s.Await(func() bool { return generation(s.Daemons["c1-e2"]) == 2 }))
	is.Equal(generation(far), uint64(1))
	cut := s.Timer.Now()
	is.NoErr(s.Await(func() bool { return s.Timer.Now().Sub(cut) > 6*time.Second }))
	done := l.done.Load()
	is.NoErr(s.Await(func() bool { return l.done.Load() > done+200 }))
	s.SetCentreDisconnected("c2", false)
	begin := s.Timer.Now()
	is.NoErr(s.Await(func() bool { return generation(far) == 2 }))
	t.Logf("in force %s after the partition", s.Timer.Now().Sub(begin))
	is.True(s.Timer.Now().Sub(begin) < cuminstair.ForceTarget)
	is.Equal(generation(s.Daemons["c1-e1"]), uint64(2))
	l.end()
	l.checkAllDone(t)
}

// Guards against a planned stop that waits for the answer of a daemon that is gone.
func TestStopBesideKilledDaemon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t)
	awaitActiveHosts(t, s)
	is.NoErr(s.Daemons["c1-e2"].Kill())
	begin := s.Timer.Now()
	// Wait until the controller has pinged the daemons, which it does every control.PingEvery.
	is.NoErr(s.Await(func() bool { return s.Timer.Now().Sub(begin) > 4*time.Second }))
	begin = s.Timer.Now()
	is.NoErr(s.Daemons["c1-e1"].Stop())
	took := s.Timer.Now().Sub(begin)
	t.Logf("the stop took %s", took)
	is.True(took < local.StopTime)
}

// Guards against a daemon that confirms a configuration on behalf of another.
func TestAnnouncementOfAnotherDaemon(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	d := s.Daemons["c1-e1"]
	body := rollout.Encode(rollout.Announcement{From: "c2-e9", Incarnation: 1, Head: rollout.Head{Gen: 1}})
	is.True(d.Node.HandleAsk("c1-e2", "tell", body) != nil)
	is.NoErr(d.Node.HandleAsk("c2-e9", "tell", body))
}
