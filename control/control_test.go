package control_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/lease"
)

// Guards against a wave that does not finish, exceeds a budget or aborts requests in a fleet without faults.
func TestWave(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.finish(time.Hour)
	w.checkInvariants()
	w.is.Equal(w.actionCount, len(w.fleet.Hosts))
	t.Log(w.clock.Now().Sub(start), w.moves, len(w.decisions))
}

// Guards against data races between the goroutines of a controller and callers of SetHealthy, HostReason and Waves, and
// against a lease that is kept after a planned stop.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, smallFleet(), 1)
		w.runner = &runner{tasks: map[string]*running{}, begun: map[string]bool{}, doneCount: map[string]int{}}
		ctx, stop := context.WithCancel(context.Background())
		c, done := w.daemonList[0].c, make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		synctest.Wait()
		for range 120 {
			w.clock.Advance(250 * time.Millisecond)
			c.SetHealthy("p0-0", true)
			_, _ = c.HostReason("p0-0")
			_ = c.Waves()
			synctest.Wait()
		}
		w.is.True(c.Holding())
		w.is.True(len(w.decisions) > 0)
		stop()
		w.is.NoErr(<-done)
		w.is.True(!c.Holding())
		w.is.True(strings.Contains(string(w.table.rows[lease.Key("a")].Value), `"holder":""`))
	})
}

// Guards against registrations of killed daemons that are never deleted, and against the deletion of the registration of
// a daemon that is listed as gone for less than GoneAfter.
func TestRegistrationOfGoneDaemon(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.run(30 * time.Second)
	dead := w.daemons["a-d1"]
	if w.holder("a") == dead {
		dead = w.daemons["a-d2"]
	}
	dead.paused = true
	clear(dead.inflight)
	w.listedGone[dead.name] = true
	w.run(control.GoneAfter)
	w.is.True(!w.table.rows["entry/"+dead.name].Deleted)
	w.run(lag + control.ListEvery + control.PingEvery + control.Tick)
	w.is.True(w.table.rows["entry/"+dead.name].Deleted)
	w.is.True(!w.table.rows["entry/"+w.holder("a").name].Deleted)
	w.checkInvariants()
}
