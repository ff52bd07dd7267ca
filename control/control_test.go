package control_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cuminstair.org/cuminstair/lease"
)

// Guards against a wave that does not finish, breaks a budget or cuts requests off when nothing else goes wrong.
func TestWave(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.finish(time.Hour)
	w.ok()
	w.is.Equal(w.acted, len(w.fleet.Hosts))
	t.Log(w.v.Now().Sub(start), w.moves, len(w.decisions))
}

// Guards against races between the goroutines of a controller and those that explain, and against a lease that is kept
// after a planned stop.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, smallFleet(), 1)
		w.runner = &runner{tasks: map[string]*running{}, begun: map[string]bool{}, done: map[string]int{}}
		ctx, stop := context.WithCancel(context.Background())
		c, done := w.order[0].c, make(chan error, 1)
		go func() { done <- c.Run(ctx) }()
		synctest.Wait()
		for range 120 {
			w.v.Advance(250 * time.Millisecond)
			c.SetHealthy("p0-0", true)
			_, _ = c.WhyHost("p0-0")
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
