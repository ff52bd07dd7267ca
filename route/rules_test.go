package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/trace"
)

// table is what the baselines have in common: instances, own requests in flight, and which take work.
type table struct {
	centre string
	live   int
	ups    []*cuminstair.Upstream
	own    []int
	out    map[string]bool
	next   int
}

func (b *table) SetUpstreams(_ string, ups []cuminstair.Upstream) {
	b.out = map[string]bool{}
	for _, u := range ups {
		if b.centre == "" || u.Centre == b.centre {
			b.ups = append(b.ups, &u)
			b.own = append(b.own, 0)
		}
	}
}

func (b *table) SetState(host string, s cuminstair.HostState) {
	b.out[host] = s != cuminstair.HostActive
}
func (b *table) SetRemote(string, []cuminstair.Load) {}
func (b *table) Loads() []cuminstair.Load            { return nil }

func (b *table) Release(_ time.Time, p cuminstair.Pick, _ cuminstair.Result) { b.own[p.Index]-- }

func (b *table) take(i int) cuminstair.Pick {
	if i < 0 {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	b.own[i]++
	return cuminstair.Pick{Upstream: b.ups[i], Index: i, Reason: cuminstair.ReasonLocal}
}

// roundRobin is a baseline: the instances in turn, whatever their load. Its capacity is an equal part of all slots.
type roundRobin struct{ table }

func (b *roundRobin) Capacity(string) int {
	n := 0
	for _, u := range b.ups {
		if !b.out[u.Host] {
			n += u.Slots
		}
	}
	return n / b.live
}

func (b *roundRobin) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	for range b.ups {
		b.next = (b.next + 1) % len(b.ups)
		if u := b.ups[b.next]; !b.out[u.Host] && u.Host != avoid {
			return b.take(b.next)
		}
	}
	return b.take(-1)
}

// splitCredits is the other rule of page 5.3: each daemon owns a part of the slots of each instance, and the places left
// over by the division are dealt out in turn.
type splitCredits struct {
	table
	self int
}

func (b *splitCredits) credits(i int) int {
	slots := b.ups[i].Slots
	n := slots / b.live
	if (i+b.self)%b.live < slots%b.live {
		n++
	}
	return n
}

func (b *splitCredits) Capacity(string) int {
	n := 0
	for i, u := range b.ups {
		if !b.out[u.Host] {
			n += b.credits(i)
		}
	}
	return n
}

func (b *splitCredits) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	best, room := -1, 0
	for i, u := range b.ups {
		if free := b.credits(i) - b.own[i]; !b.out[u.Host] && u.Host != avoid && free > room {
			best, room = i, free
		}
	}
	return b.take(best)
}

// rules are the routing rules that are compared, by name.
func rules() map[string]func(*rand.Rand, string, int, int) cuminstair.Router {
	return map[string]func(*rand.Rand, string, int, int) cuminstair.Router{
		"round robin": func(_ *rand.Rand, centre string, live, _ int) cuminstair.Router {
			return &roundRobin{table{centre: centre, live: live}}
		},
		"split credits": func(_ *rand.Rand, centre string, live, self int) cuminstair.Router {
			return &splitCredits{table: table{centre: centre, live: live}, self: self}
		},
		"route": func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router {
			r := &route.Router{Centre: centre, Rand: rnd}
			r.SetLive(live, self)
			return r
		},
	}
}

// bursts is 60 s in one data centre in which 5 s at the mean (30% of the capacity of 10 instances) alternate with 5 s
// at five times the mean, more than the capacity.
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

// wrongSlots is 90 s in one data centre with instances that declare 10 slots. After 20 s at 40% of what they can do
// 150% are offered.
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

// Guards against a rule that relies on declared slots that are off by a factor of 5 (page 5.4). This is why split credits
// alone, which are slightly better while the slots are right, are not kept.
func TestRulesWithWrongSlots(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{2, 50} {
		kept := map[string]float64{}
		for _, name := range []string{"round robin", "split credits", "route"} {
			p := trace.Player{NewRouter: rules()[name]}
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

// compare returns the means of measures over some seeds for a rule.
func compare(rule string, daemons int, measures ...trace.Measure) []float64 {
	const seeds = 4
	means := make([]float64, len(measures))
	for seed := range uint64(seeds) {
		p := trace.Player{NewRouter: rules()[rule]}
		p.Play(bursts(daemons, seed))
		for i, m := range measures {
			means[i] += p.Value(m, "", "", 0, time.Minute) / seeds
		}
	}
	return means
}

// Compares the rules of page 5.3. Guards against a rule that falls behind its baselines: round robin in every figure,
// split credits, which do not adapt and need their declared slots to be right, in the requests done on time.
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
