package admit_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
	"cuminstair.org/cuminstair/fleettest"
	"cuminstair.org/cuminstair/trace"
)

func admissions() map[string]func() cuminstair.Admission {
	return map[string]func() cuminstair.Admission{
		"one queue": fleettest.NewFIFO, "strict priority": fleettest.NewStrict,
		"shares": func() cuminstair.Admission { return &admit.Queue{} },
	}
}

// pool is the traffic of a pool, with methods that replay a trace and format the results.
type pool struct{ fleettest.Traffic }

func pools() []pool {
	var all []pool
	for _, t := range fleettest.Mixed() {
		all = append(all, pool{t})
	}
	return all
}

// kept replays a trace and returns the fraction of each kind's requests between two times that were done on time.
func (f pool) kept(name string, t trace.Trace, from, to time.Duration) []float64 {
	p := trace.Player{NewAdmission: admissions()[name]}
	p.Play(t)
	kept := make([]float64, len(f.Kinds))
	for i, k := range f.Kinds {
		kept[i] = p.Value(trace.MeasureKept, k.Kind, "", from, to)
	}
	return kept
}

func (f pool) row(kept []float64) string {
	row := ""
	for i, k := range f.Kinds {
		row += fmt.Sprintf(" %s %.3f", k.Kind, kept[i])
	}
	return row
}

// Guards against a flood of one kind, the least or the most urgent, that displaces the other kinds (sections 1.4 and
// 5.4 of docs/design.md). The other kinds use half of their share. The fraction of their requests that are done on time
// must be at least 95% of the fraction without a flood.
func TestFloodLeavesOthersAlone(t *testing.T) {
	const from, to = 10 * time.Second, 38 * time.Second
	for _, f := range pools() {
		for _, name := range []string{"one queue", "strict priority", "shares"} {
			calm := f.kept(name, f.Flood(1, "none", 0, 0.5), from, to)
			t.Logf("%-8s no flood         %-15s%s", f.Name, name, f.row(calm))
			for _, flooder := range []int{0, len(f.Kinds) - 1} {
				kept := f.kept(name, f.Flood(1, f.Kinds[flooder].Kind, 3, 0.5), from, to)
				t.Logf("%-8s flood %-10s %-15s%s", f.Name, f.Kinds[flooder].Kind, name, f.row(kept))
				for i := range f.Kinds {
					if name == "shares" && i != flooder && kept[i] < 0.95*calm[i] {
						t.Errorf("%s: %.3f of requests on time, %.3f without a flood", f.Kinds[i].Kind, kept[i], calm[i])
					}
				}
			}
		}
	}
}

// Guards against shares that are not lent when the demand rotates between kinds, so that fewer requests are done on
// time than with one queue or strict priority.
func TestRotatingDemand(t *testing.T) {
	for _, f := range pools() {
		done := map[string]float64{}
		for _, name := range []string{"one queue", "strict priority", "shares"} {
			p := trace.Player{NewAdmission: admissions()[name]}
			p.Play(f.Rotation(1))
			done[name] = p.Value(trace.MeasureKept, "", "", 0, time.Minute)
			kept := make([]float64, len(f.Kinds))
			for i, k := range f.Kinds {
				kept[i] = p.Value(trace.MeasureKept, k.Kind, "", 0, time.Minute)
			}
			t.Logf("%-8s rotating %-15s all %.3f%s", f.Name, name, done[name], f.row(kept))
		}
		if done["shares"] < done["one queue"] || done["shares"] < done["strict priority"] {
			t.Errorf("%s: fewer requests on time with shares than with a baseline", f.Name)
		}
	}
}
