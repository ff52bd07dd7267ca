package ticket_test

import (
	"testing"
	"time"
)

// answerCounts counts the requests of callers while daemons were replaced, and their answers.
type answerCounts struct {
	requests, unknown, done int
}

// replaceAll replaces 9 daemons, one every 20 s, at 100 requests a second with tickets at most maxAge old. One in 50
// answers to callers is lost, so that they repeat the request.
func replaceAll(seed uint64, maxAge time.Duration, replace func(w *world, d *daemon)) (*world, answerCounts) {
	w := newWorld(seed, 9)
	w.answerLoss = 0.02
	all := w.startClients(10*time.Millisecond, 200*time.Second, maxAge, 0)
	for i, d := range w.daemons {
		w.after(time.Duration(10+20*i)*time.Second, func() { replace(w, d) })
	}
	w.run(10 * time.Minute)
	var r answerCounts
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

// Guards against a planned replacement that loses tickets or outcomes: compared with no replacement, it may add at most
// a quarter of the unknown answers that killing the daemons adds. Logs how often callers get the outcome unknown.
func TestUnknownWhileReplacing(t *testing.T) {
	rate := map[string]float64{}
	for _, maxAge := range []time.Duration{time.Second, 30 * time.Second} {
		for _, c := range []struct {
			name    string
			replace func(w *world, d *daemon)
		}{
			{"none", func(*world, *daemon) {}},
			{"stop", (*world).stop},
			{"kill", (*world).kill},
		} {
			w, r := replaceAll(1, maxAge, c.replace)
			if len(w.faults) > 0 {
				t.Fatal(w.faults)
			}
			rate[c.name] = 100 * float64(r.unknown) / float64(r.requests)
			t.Logf("tickets up to %s old, %s: %d of %d requests got unknown, %.2f%%", maxAge, c.name, r.unknown, r.requests,
				rate[c.name])
		}
		if rate["stop"]-rate["none"] > (rate["kill"]-rate["none"])/4 {
			t.Errorf("tickets up to %s old: a planned stop avoids less than 3/4 of the unknown answers that a kill adds", maxAge)
		}
	}
}
