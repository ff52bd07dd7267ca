package ticket_test

import (
	"testing"
	"time"
)

// replaced is what callers met while daemons were replaced.
type replaced struct {
	requests, unknown, done int
}

// replaceAll replaces 9 daemons one by one, one in 20 s, under 100 requests a second whose tickets are up to hold old.
// One in 50 answers to callers is lost, so that they repeat.
func replaceAll(seed uint64, hold time.Duration, replace func(w *world, d *daemon)) (*world, replaced) {
	w := newWorld(seed, 9)
	w.deaf = 0.02
	all := w.customers(10*time.Millisecond, 200*time.Second, hold, 0)
	for i, d := range w.daemons {
		w.after(time.Duration(10+20*i)*time.Second, func() { replace(w, d) })
	}
	w.run(10 * time.Minute)
	var r replaced
	for _, c := range *all {
		r.requests++
		if c.unknown {
			r.unknown++
		}
		if c.done {
			r.done++
		}
	}
	return w, r
}

// Guards against a planned replacement that loses tickets or outcomes: it must cost callers hardly more unknown than no
// replacement at all. Prints how often callers meet unknown.
func TestUnknownWhileReplacing(t *testing.T) {
	rate := map[string]float64{}
	for _, hold := range []time.Duration{time.Second, 30 * time.Second} {
		for _, c := range []struct {
			name    string
			replace func(w *world, d *daemon)
		}{
			{"none", func(*world, *daemon) {}},
			{"stop", (*world).stop},
			{"kill", (*world).kill},
		} {
			w, r := replaceAll(1, hold, c.replace)
			if len(w.faults) > 0 {
				t.Fatal(w.faults)
			}
			rate[c.name] = 100 * float64(r.unknown) / float64(r.requests)
			t.Logf("tickets up to %s old, %s: %d of %d requests met unknown, %.2f%%", hold, c.name, r.unknown, r.requests,
				rate[c.name])
		}
		if rate["stop"]-rate["none"] > (rate["kill"]-rate["none"])/4 {
			t.Errorf("tickets up to %s old: a planned stop saves less than three quarters of what a kill costs", hold)
		}
	}
}
