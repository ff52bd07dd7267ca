package control_test

import (
	"testing"
	"time"
)

// Guards against a wave that does not finish, breaks a budget or cuts requests off when nothing else goes wrong.
func TestWave(t *testing.T) {
	w := newWorld(t, 1, smallFleet(), 3)
	w.finish(time.Hour)
	w.ok()
	w.is.Equal(w.acted, len(w.fleet.Hosts))
	t.Log(w.v.Now().Sub(start), w.moves, len(w.decisions))
}
