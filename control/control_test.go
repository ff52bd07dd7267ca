package control_test

import (
	"testing"
	"time"

	"cuminstair.org/cuminstair/control"
)

// Guards against a wave that does not finish, breaks a budget or cuts requests off when nothing else goes wrong.
func TestWave(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.finish(time.Hour)
	w.ok()
	w.is.Equal(w.acted, len(w.fleet.Hosts))
	t.Log(w.v.Now().Sub(start), w.moves, len(w.decisions))
}

// Guards against registrations of daemons that were killed and pile up, and against the deletion of one that is only
// listed as gone for a moment.
func TestRegistrationOfGoneDaemon(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.run(30 * time.Second)
	dead := w.daemons["a-d1"]
	if w.holder("a") == dead {
		dead = w.daemons["a-d2"]
	}
	dead.paused = true
	clear(dead.inflight)
	w.gone[dead.name] = true
	w.run(control.GoneAfter)
	w.is.True(!w.table.rows["entry/"+dead.name].Deleted)
	w.run(lag + control.ListEvery + control.PingEvery + control.Tick)
	w.is.True(w.table.rows["entry/"+dead.name].Deleted)
	w.is.True(!w.table.rows["entry/"+w.holder("a").name].Deleted)
	w.ok()
}
