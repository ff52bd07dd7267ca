package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleettest"
	"cuminstair.org/cuminstair/trace"
)

// bursts returns a trace of 60 s in one data centre. 5 s at the mean load (30% of the capacity of 10 instances)
// alternate with 5 s at five times the mean, more than the capacity.
func bursts(daemons int, seed uint64) trace.Trace {
	t := trace.Trace{
		{Event: trace.EventFleet, Centres: 1, Daemons: daemons, Hosts: 10, Slots: 8, Conns: 64, Delay: ms(200), Seed: seed},
		{Event: trace.EventKind, Kind: "scale", Deadline: ms(1000), Took: ms(100)},
	}
	for s := 0; s < 60; s += 10 {
		t = append(t,
			trace.Line{At: ms(s * 1000), Event: trace.EventLoad, Kind: "scale", Rate: 240},
			trace.Line{At: ms(s*1000 + 5000), Event: trace.EventLoad, Kind: "scale", Rate: 1200})
	}
	return append(t, trace.Line{At: ms(60_000), Event: trace.EventLoad, Kind: "scale"})
}

func ms(n int) cuminstair.Duration { return cuminstair.Duration(time.Duration(n) * time.Millisecond) }

// wrongSlots returns a trace of 90 s in one data centre with instances that declare 10 slots. The load is 40% of their
// real capacity for 20 s, then 150%.
func wrongSlots(slots int, seed uint64) trace.Trace {
	rate := float64(slots * 10 * 10)
	return trace.Trace{
		{
			Event: trace.EventFleet, Centres: 1, Daemons: 3, Hosts: 10, Slots: 10, Real: slots, Conns: 256, Delay: ms(200),
			Seed: seed,
		},
		{Event: trace.EventKind, Kind: "scale", Deadline: ms(1000), Took: ms(100)},
		{Event: trace.EventLoad, Kind: "scale", Rate: 0.4 * rate},
		{At: ms(20_000), Event: trace.EventLoad, Kind: "scale", Rate: 1.5 * rate},
		{At: ms(90_000), Event: trace.EventLoad, Kind: "scale"},
	}
}

// Guards against a routing rule that relies on declared slots that are off by a factor of 5 (section 5.4 of
// docs/design.md). For this reason the router does not rely on credits alone, as the rule "split credits" of fleettest
// does. That rule is slightly better while the slots are right.
func TestRulesWithWrongSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{2, 50} {
		kept := map[string]float64{}
		for _, name := range []string{"round robin", "split credits", "route"} {
			p := trace.Player{NewRouter: fleettest.Rules()[name]}
			p.Play(wrongSlots(slots, 1))
			v := func(m trace.Measure) float64 { return p.Value(m, "", "", 30*time.Second, 90*time.Second) }
			kept[name] = v(trace.MeasureKept)
			t.Logf("10 declared, %2d real, %-14s over %5.2f%% kept %.3f unknown %.3f, p50 %4.0f ms, at the upstream p50 %3.0f ms",
				slots, name, 100*v(trace.MeasureOver), kept[name], v(trace.MeasureUnknown), 1000*v(trace.MeasureP50),
				1000*v(trace.MeasureSent50))
		}
		is.True(kept["route"] > kept["round robin"] && kept["route"] > kept["split credits"])
	}
}

// compare returns the mean of each measure for a rule over 4 seeds.
func compare(rule string, daemons int, measures ...trace.Measure) []float64 {
	const seeds = 4
	means := make([]float64, len(measures))
	for seed := range uint64(seeds) {
		p := trace.Player{NewRouter: fleettest.Rules()[rule]}
		p.Play(bursts(daemons, seed))
		for i, m := range measures {
			means[i] += p.Value(m, "", "", 0, time.Minute) / seeds
		}
	}
	return means
}

// Guards against a router that is worse than round robin in any of the measures of section 5.3 of docs/design.md. The
// rule "split credits", which does not adapt and needs correct declared slots, is printed for comparison.
func TestRulesUnderBursts(t *testing.T) {
	is := is.New(t)
	for _, daemons := range []int{3, 5} {
		got := map[string][]float64{}
		for _, name := range []string{"round robin", "split credits", "route"} {
			v := compare(name, daemons, trace.MeasureOver, trace.MeasureKept, trace.MeasureP50, trace.MeasureP99,
				trace.MeasureSent50, trace.MeasureSent99)
			t.Logf("%d daemons %-14s over %5.2f%% kept %.3f, p50 %4.0f ms p99 %4.0f ms, at the upstream p50 %3.0f ms p99 %3.0f ms",
				daemons, name, 100*v[0], v[1], 1000*v[2], 1000*v[3], 1000*v[4], 1000*v[5])
			got[name] = v
		}
		for i, better := range []bool{false, true, false, false, false, false} {
			is.Equal(got["route"][i] >= got["round robin"][i], better)
		}
	}
}
