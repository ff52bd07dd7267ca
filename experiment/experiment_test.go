package experiment

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testQueue returns a queue whose jobs use about 30 cores on the mean at rate 5.
func testQueue(name string, rate float64) Queue {
	return Queue{
		Name: name, Hosts: 4, Rate: rate, Target: 0.6, TargetFactor: 1.6, Value: 1, LateValue: 0.1,
		Steps: Size{Mean: 2, Spread: 0.3, Max: 3}, Tasks: Size{Mean: 6, Spread: 0.5, Max: 16}, CPU: Size{Mean: 1000, Spread: 0.3, Max: 3000},
		Memory: Size{Mean: 1500, Spread: 0.3, Max: 4000}, Seconds: Size{Mean: 0.5, Spread: 0.4, Max: 2}, Uneven: 0.2, EstimateOff: 0.3,
		Lasting: Lasting{Tasks: 2, CPU: 500, Memory: 1000, PerWorker: 1},
	}
}

// testLoad returns three queues with steady demand of about half of the capacity.
func testLoad() *Load {
	return &Load{
		Name: "test", Seconds: 20, Centres: []string{"a", "b"}, Host: Host{CPU: 16000, Memory: 32768, Rack: 2, Spread: 0.05}, Spare: 2,
		Queues:      []Queue{testQueue("x", 4), testQueue("y", 4), testQueue("z", 4)},
		MoveSeconds: 1.5, MovesPerSecond: 40, WriteSeconds: 0.01, LingerSeconds: 2, Retries: 4,
	}
}

// turning returns testLoad with demand that turns.
func turning() *Load {
	l := testLoad()
	l.Turn = Turn{Interval: 6, Length: 5, Rise: 1, Peak: 3, Between: 0.05}
	return l
}

func play(t *testing.T, l *Load, policy string, seed uint64) Result {
	t.Helper()
	is := is.New(t)
	p, err := PolicyNamed(policy)
	is.NoErr(err)
	r, err := Play(l, p, seed)
	is.NoErr(err)
	is.Equal(r.Broken, 0) // no worker was over its capacity, and no task ran twice
	return r
}

// Guards against figures that differ from run to run, for example by the order of a map.
func TestSameSeedGivesSameFigures(t *testing.T) {
	is := is.New(t)
	encode := func(seed uint64) string {
		data, err := json.Marshal(play(t, turning(), "present", seed))
		is.NoErr(err)
		return string(data)
	}
	first := encode(1)
	for range 3 {
		is.Equal(encode(1), first)
	}
	is.True(encode(2) != first)
}

// Guards against figures that differ from run to run only with hundreds of hosts, for example by hosts of equal size.
func TestSameSeedGivesSameFiguresWithManyHosts(t *testing.T) {
	is := is.New(t)
	l := turning()
	l.Seconds, l.Spare, l.Host.CPU, l.Host.Memory, l.MovesPerSecond = 6, 60, 32000, 65536, 300
	for i := range l.Queues {
		l.Queues[i].Hosts, l.Queues[i].Rate = 80, 60
	}
	is.Equal(play(t, l, "present", 1), play(t, l, "present", 1))
}

// Guards against a simulation that loses work on a day that leaves half of the hosts unused.
func TestCalmDayIsServed(t *testing.T) {
	is := is.New(t)
	for _, policy := range []string{"present", "no-refusal", "fixed", "known", "clairvoyant", "pooled"} {
		r := play(t, testLoad(), policy, 1)
		t.Log(policy, r.Jobs, r.Earned, r.HostSeconds)
		is.True(r.Jobs > 150)
		is.True(r.Earned > 0.97)
	}
}

// Guards against baselines that rank wrongly on a turning load: pools that stay are worse than pools that move, and no
// play is better than the bound.
func TestTurningDayRanksPolicies(t *testing.T) {
	is := is.New(t)
	earned, hosts := map[string]float64{}, map[string]float64{}
	for _, policy := range []string{"present", "fixed", "known", "clairvoyant", "pooled"} {
		for seed := range uint64(3) {
			r := play(t, turning(), policy, seed)
			earned[policy] += r.Earned / 3
			hosts[policy] += r.HostSeconds / 3
		}
		t.Log(policy, earned[policy], hosts[policy])
	}
	is.True(earned["fixed"] < earned["present"])
	is.True(earned["present"] <= earned["clairvoyant"])
	is.True(earned["known"] <= earned["clairvoyant"])
	is.True(earned["clairvoyant"] <= earned["pooled"]+0.001) // both divide work at will
	is.True(hosts["pooled"] < hosts["clairvoyant"])
	is.True(hosts["clairvoyant"] < hosts["present"])
}

// Guards against baselines without refusal that refuse, and against one that serves an overload in the order of arrival no
// worse than by urgency.
func TestOverloadRanksPolicies(t *testing.T) {
	is := is.New(t)
	l := testLoad()
	for i := range l.Queues {
		l.Queues[i].Rate *= 4
	}
	l.Seconds = 10
	present, first := play(t, l, "present", 1), play(t, l, "fcfs", 1)
	t.Log(present.Earned, first.Earned, present.RefusedEarly)
	is.True(present.RefusedEarly > 0)
	is.Equal(first.RefusedEarly+first.RefusedLate, 0)
	is.True(present.Earned > first.Earned)
	is.True(present.Earned < play(t, l, "pooled", 1).Earned)
}

// Guards against faults without effect, and against days on which work does not come back after a fault.
func TestFaults(t *testing.T) {
	for _, f := range []Fault{
		{Kind: FaultRack, At: 5, Seconds: 5, Pool: "x", Count: 3},
		{Kind: FaultCentre, At: 5, Seconds: 5, Centre: "a"},
		{Kind: FaultStore, At: 5, Seconds: 3},
		{Kind: FaultDaemons, At: 5, Seconds: 1},
	} {
		t.Run(f.Kind, func(t *testing.T) {
			is := is.New(t)
			l := testLoad()
			l.Faults = []Fault{f}
			r := play(t, l, "present", 1)
			t.Log(r.Earned, r.Wasted, r.RefusedEarly, r.RefusedLate)
			is.True(r.Earned < play(t, testLoad(), "present", 1).Earned)
			for _, w := range r.Windows[8:] {
				is.True(w.Earned > 0.9) // 6 s after the fault
			}
		})
	}
}

// Guards against loads that make a play fail or last for hours.
func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(testLoad().Validate())
	for _, change := range []func(l *Load){
		func(l *Load) { l.Seconds = 0 },
		func(l *Load) { l.Queues = nil },
		func(l *Load) { l.Host.CPU = 0 },
		func(l *Load) { l.Spare = maxHosts + 1 },
		func(l *Load) { l.Queues[0].TargetFactor = 0 },
		func(l *Load) { l.Queues[0].Tasks.Mean = 0 },
		func(l *Load) { l.Turn = Turn{Interval: 5, Length: 1, Rise: 2, Peak: 3} },
		func(l *Load) { l.Faults = []Fault{{Kind: "other", At: 1, Seconds: 1}} },
		func(l *Load) { l.Faults = []Fault{{Kind: FaultRack, At: 1, Seconds: 1, Pool: "none", Count: 1}} },
	} {
		l := testLoad()
		change(l)
		is.True(l.Validate() != nil)
	}
}

// Guards against a demand curve that misses work, which the bounds and the policy known rely on.
func TestDemandCurveHoldsAllWork(t *testing.T) {
	is := is.New(t)
	d := drawDay(testLoad(), 1)
	work, curve := 0.0, 0.0
	for _, j := range d.jobs {
		if j.index == 0 {
			work += j.work
		}
	}
	for _, x := range demandCurves(d)["x"] {
		curve += x * slotTime.Seconds()
	}
	is.True(curve >= work*0.999)
	is.True(curve <= work*1.2)
}

// Guards against turns that overlap or leave out queues.
func TestTurns(t *testing.T) {
	is := is.New(t)
	d := drawDay(turning(), 1)
	seen := map[int]int{}
	for _, p := range d.peaks {
		seen[p.queue]++
		is.Equal(d.factor(p.queue, p.from+2), 3.0)
		is.Equal(d.phase(p.queue, begin.Add(seconds(p.from)).Add(-time.Millisecond)), beforeTurn)
	}
	is.Equal(len(seen), 3)
}
