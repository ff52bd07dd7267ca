package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
	"cuminstair.org/cuminstair/trace"
)

// single is a baseline: one queue shared by all kinds, with a bound, in the order that less gives.
type single struct {
	less     func(a, b *cuminstair.Request) int
	capacity int
	running  map[*cuminstair.Request]bool
	waiting  []*cuminstair.Request
}

const singleBound = 1024

func newFIFO() cuminstair.Admission {
	return &single{running: map[*cuminstair.Request]bool{}}
}

func newStrict() cuminstair.Admission {
	return &single{
		running: map[*cuminstair.Request]bool{},
		less:    func(a, b *cuminstair.Request) int { return b.Urgency - a.Urgency },
	}
}

func (s *single) Configure([]cuminstair.Kind) {}

func (s *single) SetCapacity(_ time.Time, n int) []*cuminstair.Request {
	s.capacity = n
	return s.fill()
}

func (s *single) Offer(_ time.Time, r *cuminstair.Request) cuminstair.Verdict {
	if len(s.running) < s.capacity {
		s.running[r] = true
		return cuminstair.Verdict{Run: true}
	}
	if len(s.waiting) >= singleBound {
		return cuminstair.Verdict{Reason: cuminstair.ReasonFull}
	}
	s.waiting = append(s.waiting, r)
	if s.less != nil {
		slices.SortStableFunc(s.waiting, s.less)
	}
	return cuminstair.Verdict{Wait: true}
}

func (s *single) Finish(_ time.Time, r *cuminstair.Request, _ cuminstair.Result) []*cuminstair.Request {
	delete(s.running, r)
	return s.fill()
}

func (s *single) fill() []*cuminstair.Request {
	n := min(max(s.capacity-len(s.running), 0), len(s.waiting))
	out := slices.Clone(s.waiting[:n])
	s.waiting = s.waiting[n:]
	for _, r := range out {
		s.running[r] = true
	}
	return out
}

func (s *single) Cancel(_ time.Time, r *cuminstair.Request) bool {
	i := slices.Index(s.waiting, r)
	if i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	return i >= 0
}

func (s *single) Expire(now time.Time) []*cuminstair.Request {
	var out []*cuminstair.Request
	s.waiting = slices.DeleteFunc(s.waiting, func(r *cuminstair.Request) bool {
		late := !now.Before(r.Deadline)
		if late {
			out = append(out, r)
		}
		return late
	})
	return out
}

func admissions() map[string]func() cuminstair.Admission {
	return map[string]func() cuminstair.Admission{
		"one queue": newFIFO, "strict priority": newStrict,
		"shares": func() cuminstair.Admission { return &admit.Queue{} },
	}
}

func ms(n int) cuminstair.Duration { return cuminstair.Duration(time.Duration(n) * time.Millisecond) }

// fleet is one of the two fleets of page 1.2: one pool of 10 hosts of 8 slots, all kinds of work on it.
type fleet struct {
	name  string
	line  trace.Line
	kinds []trace.Line // from the least urgent to the most urgent
}

func fleets() []fleet {
	kind := func(name string, weight, urgency, deadline, took int) trace.Line {
		return trace.Line{
			Event: trace.EventKind, Kind: name, Weight: weight, Urgency: urgency, Deadline: ms(deadline), Took: ms(took),
		}
	}
	line := func(centres, daemons int) trace.Line {
		return trace.Line{
			Event: trace.EventFleet, Centres: centres, Daemons: daemons, Hosts: 10, Slots: 8, Conns: 64, Delay: ms(200),
			Spill: true,
		}
	}
	return []fleet{
		{"kitchen", line(3, 9), []trace.Line{
			kind("archive", 2, 0, 60_000, 2000), kind("convert", 2, 1, 1000, 30), kind("scale", 2, 2, 1000, 50),
			kind("nutrition", 2, 3, 2000, 100), kind("allergen", 2, 4, 1000, 80),
		}},
		{"leather", line(4, 8), []trace.Line{
			kind("release", 2, 0, 5000, 200), kind("match", 3, 1, 2000, 150), kind("reserve", 3, 2, 1000, 60),
		}},
	}
}

const slotsTotal = 80

// rate returns the arrivals a second of a kind that fill a part of its share.
func (f fleet) rate(kind trace.Line, part float64) float64 {
	weights := 0
	for _, k := range f.kinds {
		weights += k.Weight
	}
	return part * slotsTotal * float64(kind.Weight) / float64(weights) / time.Duration(kind.Took).Seconds()
}

// flood is 40 s in which all kinds use half of their share, and from 10 s on one of them floods the pool with ten times
// what the whole pool can do.
func (f fleet) flood(seed uint64, flooder string, factor float64) trace.Trace {
	f.line.Seed = seed
	t := append(trace.Trace{f.line}, f.kinds...)
	for _, k := range f.kinds {
		t = append(t, trace.Line{Event: trace.EventLoad, Kind: k.Kind, Rate: f.rate(k, 0.5)})
	}
	for _, k := range f.kinds {
		if k.Kind == flooder {
			rate := factor * slotsTotal / time.Duration(k.Took).Seconds()
			t = append(t, trace.Line{At: ms(10_000), Event: trace.EventLoad, Kind: k.Kind, Rate: rate})
		}
	}
	return append(t, trace.Line{At: ms(40_000), Event: trace.EventLoad, Kind: flooder})
}

// kept plays a trace and returns the share of each kind's requests between two times that were done on time.
func (f fleet) kept(name string, t trace.Trace, from, to time.Duration) []float64 {
	p := trace.Player{NewAdmission: admissions()[name]}
	p.Play(t)
	kept := make([]float64, len(f.kinds))
	for i, k := range f.kinds {
		kept[i] = p.Value(trace.MeasureKept, k.Kind, "", from, to)
	}
	return kept
}

func (f fleet) row(kept []float64) string {
	row := ""
	for i, k := range f.kinds {
		row += fmt.Sprintf(" %s %.3f", k.Kind, kept[i])
	}
	return row
}

// Guards against a flood of one kind, the least or the most urgent, that takes the work of the others (pages 1.4 and
// 5.4): these use half of their share and must retain 95% of their work on time.
func TestFloodLeavesOthersAlone(t *testing.T) {
	const from, to = 10 * time.Second, 38 * time.Second
	for _, f := range fleets() {
		for _, name := range []string{"one queue", "strict priority", "shares"} {
			calm := f.kept(name, f.flood(1, "none", 0), from, to)
			t.Logf("%-8s no flood         %-15s%s", f.name, name, f.row(calm))
			for _, flooder := range []int{0, len(f.kinds) - 1} {
				kept := f.kept(name, f.flood(1, f.kinds[flooder].Kind, 3), from, to)
				t.Logf("%-8s flood %-10s %-15s%s", f.name, f.kinds[flooder].Kind, name, f.row(kept))
				for i := range f.kinds {
					if name == "shares" && i != flooder && kept[i] < 0.95*calm[i] {
						t.Errorf("%s keeps %.3f of %.3f", f.kinds[i].Kind, kept[i], calm[i])
					}
				}
			}
		}
	}
}

// rotation is 60 s in which each kind in turn gets five times its mean for 5 s and a twentieth otherwise. Five times the
// mean is 150% of the pool. Archive jobs stay at a fifth of their share.
func (f fleet) rotation(seed uint64) trace.Trace {
	f.line.Seed = seed
	t := append(trace.Trace{f.line}, f.kinds...)
	turning := f.kinds
	if f.kinds[0].Kind == "archive" {
		turning = f.kinds[1:]
		t = append(t, trace.Line{Event: trace.EventLoad, Kind: "archive", Rate: f.rate(f.kinds[0], 0.2)})
	}
	for turn := range 12 {
		for i, k := range turning {
			rate := 0.3 * slotsTotal / time.Duration(k.Took).Seconds() / 20
			if i == turn%len(turning) {
				rate *= 100
			}
			t = append(t, trace.Line{At: ms(turn * 5000), Event: trace.EventLoad, Kind: k.Kind, Rate: rate})
		}
	}
	return append(t, trace.Line{At: ms(60_000), Event: trace.EventHeal})
}

// Guards against shares that are not lent when the demand rotates, so that less is done than with one queue.
func TestRotatingDemand(t *testing.T) {
	for _, f := range fleets() {
		done := map[string]float64{}
		for _, name := range []string{"one queue", "strict priority", "shares"} {
			p := trace.Player{NewAdmission: admissions()[name]}
			p.Play(f.rotation(1))
			done[name] = p.Value(trace.MeasureKept, "", "", 0, time.Minute)
			kept := make([]float64, len(f.kinds))
			for i, k := range f.kinds {
				kept[i] = p.Value(trace.MeasureKept, k.Kind, "", 0, time.Minute)
			}
			t.Logf("%-8s rotating %-15s all %.3f%s", f.name, name, done[name], f.row(kept))
		}
		if done["shares"] < done["one queue"] || done["shares"] < done["strict priority"] {
			t.Errorf("%s: shares do less than a baseline", f.name)
		}
	}
}
