package fleettest

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/trace"
)

func ms(n int) cuminstair.Duration { return cuminstair.Duration(time.Duration(n) * time.Millisecond) }

// Traffic is the load of one pool of 10 hosts of 8 slots.
type Traffic struct {
	Name  string
	Line  trace.Line   // the fleet line
	Kinds []trace.Line // from the least urgent to the most urgent
}

// Mixed returns the traffic of the two example fleets (section 1.2 of docs/design.md) with all kinds of work on one
// pool.
func Mixed() []Traffic {
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
	return []Traffic{
		{"kitchen", line(3, 9), []trace.Line{
			kind("archive", 2, 0, 60_000, 2000), kind("convert", 2, 1, 1000, 30), kind("scale", 2, 2, 1000, 50),
			kind("nutrition", 2, 3, 2000, 100), kind("allergen", 2, 4, 1000, 80),
		}},
		{"leather", line(4, 8), []trace.Line{
			kind("release", 2, 0, 5000, 200), kind("match", 3, 1, 2000, 150), kind("reserve", 3, 2, 1000, 60),
		}},
	}
}

// slotsTotal is the number of slots of a pool of 10 hosts of 8 slots. Rate and Flood assume it for each Traffic.
const slotsTotal = 80

// Rate returns the requests per second of a kind that use a fraction of its share of the pool.
func (f Traffic) Rate(kind trace.Line, fraction float64) float64 {
	weights := 0
	for _, k := range f.Kinds {
		weights += k.Weight
	}
	return fraction * slotsTotal * float64(kind.Weight) / float64(weights) / time.Duration(kind.Took).Seconds()
}

// Flood returns a trace of 40 s in which all kinds use a fraction of their share. From 10 s on the kind
// flooder sends factor times the capacity of the whole pool. If no kind has that name, there is no flood.
func (f Traffic) Flood(seed uint64, flooder string, factor, fraction float64) trace.Trace {
	f.Line.Seed = seed
	t := append(trace.Trace{f.Line}, f.Kinds...)
	for _, k := range f.Kinds {
		t = append(t, trace.Line{Event: trace.EventLoad, Kind: k.Kind, Rate: f.Rate(k, fraction)})
	}
	for _, k := range f.Kinds {
		if k.Kind == flooder {
			rate := factor * slotsTotal / time.Duration(k.Took).Seconds()
			t = append(t, trace.Line{At: ms(10_000), Event: trace.EventLoad, Kind: k.Kind, Rate: rate})
		}
	}
	return append(t, trace.Line{At: ms(40_000), Event: trace.EventLoad, Kind: flooder})
}

// Rotation returns a trace of 60 s in which each kind in turn gets five times its mean demand for 5 s and a twentieth
// of it otherwise. The mean demand is 30% of the pool's capacity, so that five times the mean is 150%. Archive jobs
// always use a fifth of their share.
func (f Traffic) Rotation(seed uint64) trace.Trace {
	f.Line.Seed = seed
	t := append(trace.Trace{f.Line}, f.Kinds...)
	rotating := f.Kinds
	if f.Kinds[0].Kind == "archive" {
		rotating = f.Kinds[1:]
		t = append(t, trace.Line{Event: trace.EventLoad, Kind: "archive", Rate: f.Rate(f.Kinds[0], 0.2)})
	}
	for turn := range 12 {
		for i, k := range rotating {
			rate := 0.3 * slotsTotal / time.Duration(k.Took).Seconds() / 20
			if i == turn%len(rotating) {
				rate *= 100
			}
			t = append(t, trace.Line{At: ms(turn * 5000), Event: trace.EventLoad, Kind: k.Kind, Rate: rate})
		}
	}
	return append(t, trace.Line{At: ms(60_000), Event: trace.EventHeal})
}

// meanTimes are the mean service times of the kinds of work of both example fleets in milliseconds.
var meanTimes = map[string]int{
	"scale": 50, "convert": 30, "check": 100, "lookup": 80, "archive": 2000,
	"reserve": 60, "match": 150, "release": 200,
}

// ServiceTraffic returns the traffic of one service of a fleet file, with its kinds and weights, at the entry daemons
// of the data centres that hold its instances.
func ServiceTraffic(f *cuminstair.Fleet, service string, daemonsInCentre int) Traffic {
	for _, s := range f.Services {
		if s.Name == service {
			return serviceTraffic(f, s, daemonsInCentre)
		}
	}
	return Traffic{}
}

func serviceTraffic(f *cuminstair.Fleet, s cuminstair.Service, daemonsInCentre int) Traffic {
	t := Traffic{Name: s.Name, Line: trace.Line{
		Event: trace.EventFleet, Slots: s.Slots, Conns: s.Conns, Delay: ms(200), Spill: true,
		Centres: len(Centres(f, s.Pool)),
	}}
	t.Line.Daemons = daemonsInCentre * t.Line.Centres
	for _, h := range f.Hosts {
		if h.Pool == s.Pool {
			t.Line.Hosts++
		}
	}
	for _, k := range s.Kinds {
		t.Kinds = append(t.Kinds, trace.Line{
			Event: trace.EventKind, Kind: k.Name, Weight: k.Weight, Urgency: k.Urgency, Deadline: k.Deadline,
			Took: ms(meanTimes[k.Name]), Idempotent: k.Idempotent,
		})
	}
	slices.SortStableFunc(t.Kinds, func(a, b trace.Line) int { return a.Urgency - b.Urgency })
	return t
}

// Centres returns the data centres that hold hosts of a pool, in the order of the fleet file.
func Centres(f *cuminstair.Fleet, pool string) []string {
	var names []string
	for _, h := range f.Hosts {
		if h.Pool == pool && !slices.Contains(names, h.Centre) {
			names = append(names, h.Centre)
		}
	}
	return names
}
