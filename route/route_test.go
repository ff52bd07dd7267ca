package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair"
)

var start = time.Unix(1_000_000, 0)

func hosts(n int) []cuminstair.Upstream {
	ups := make([]cuminstair.Upstream, n)
	for i := range ups {
		ups[i] = cuminstair.Upstream{Host: fmt.Sprintf("h%d", i), Service: "s", Centre: "c1", Slots: 8, Conns: 64}
	}
	return ups
}

func newRouter(n int) *Router {
	r := &Router{Centre: "c1", Rand: rand.New(rand.NewPCG(1, 2))}
	r.SetLive(3, 1)
	r.SetUpstreams("s", hosts(n))
	return r
}

// Guards against a pick that allocates or whose cost grows with the number of upstreams, also while many are leaving or
// in probation and one is avoided (section 5.3 of docs/design.md).
func TestPickWork(t *testing.T) {
	is := is.New(t)
	perPick := map[int]float64{}
	for _, n := range []int{50, 4000} {
		r := newRouter(n)
		for i := range n / 3 {
			r.SetState(fmt.Sprintf("h%d", i), cuminstair.HostLeaving)
			r.SetState(fmt.Sprintf("h%d", n-1-i/10), cuminstair.HostProbation)
		}
		avoid := fmt.Sprintf("h%d", n/2)
		now := start
		pickAndRelease := func() {
			now = now.Add(time.Millisecond)
			p := r.Pick(now, "s", avoid)
			is.True(p.Upstream != nil && p.Upstream.Host != avoid)
			r.Release(now, p, cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: time.Millisecond, Kind: "k"})
		}
		pickAndRelease()
		before := r.examined
		const runs = 2000
		is.Equal(testing.AllocsPerRun(runs, pickAndRelease), 0.0)
		perPick[n] = float64(r.examined-before) / (runs + 1)
		// All instances full: the fallback must not examine more.
		var held []cuminstair.Pick
		for range n * 8 {
			held = append(held, r.Pick(now, "s", avoid))
		}
		before = r.examined
		is.Equal(testing.AllocsPerRun(100, func() { r.Release(now, r.Pick(now, "s", avoid), cuminstair.Result{}) }), 0.0)
		is.True(float64(r.examined-before)/101 <= 7)
		_ = held
	}
	t.Logf("upstreams examined per pick: %v", perPick)
	is.True(perPick[4000] <= 2*perPick[50])
}

// Guards against new work for a host that is leaving, and against counts that are too low or too high when a host is
// removed while a request is in flight there.
func TestLeavingAndRemoved(t *testing.T) {
	is := is.New(t)
	r := newRouter(2)
	p := r.Pick(start, "s", "h1")
	is.Equal(p.Upstream.Host, "h0")
	r.SetState("h0", cuminstair.HostLeaving)
	for range 60 {
		is.Equal(r.Pick(start, "s", "").Upstream.Host, "h1")
	}
	r.SetUpstreams("s", hosts(2)[1:])
	is.Equal(r.Loads()[0], cuminstair.Load{Host: "h0", Inflight: 1})
	r.Release(start, p, cuminstair.Result{})
	r.Release(start, p, cuminstair.Result{})
	is.Equal(r.Loads(), []cuminstair.Load{{Host: "h1", Inflight: 60}})
}

// Guards against credits of the daemons that add up to more or less than all slots of an instance.
func TestCreditsAddUp(t *testing.T) {
	is := is.New(t)
	for _, live := range []int{1, 2, 3, 5, 8, 30} {
		sum := 0
		for self := range live {
			r := newRouter(50)
			r.SetLive(live, self)
			sum += r.services["s"].credits
		}
		is.Equal(sum, 50*8)
	}
}

// Guards against idle capacity that other daemons can't use, or that they still use after its owners need it again.
func TestCapacityLentAndTakenBack(t *testing.T) {
	is := is.New(t)
	r := newRouter(9) // 72 slots, 24 of them owned by this daemon
	var held []cuminstair.Pick
	for range 10 {
		for len(held) < r.Capacity("s") {
			held = append(held, r.Pick(start, "s", ""))
		}
		r.SetRemote("d2", []cuminstair.Load{{Host: "h0", Inflight: 1}})
	}
	is.True(r.Capacity("s") >= 50) // up to 75% of all slots
	busy := []cuminstair.Load{}
	for i := range 9 {
		busy = append(busy, cuminstair.Load{Host: fmt.Sprintf("h%d", i), Inflight: 5})
	}
	r.SetRemote("d2", busy)
	is.Equal(r.Capacity("s"), 24)
}

// Guards against cancelled requests that make a service seem faster than it is.
func TestCutShortRequestsDoNotCount(t *testing.T) {
	is := is.New(t)
	r := newRouter(1)
	release := func(now time.Time, res cuminstair.Result) {
		res.Kind = "k"
		r.Release(now, r.Pick(now, "s", ""), res)
	}
	now := start
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		release(now, cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: 100 * time.Millisecond})
		release(now, cuminstair.Result{Reason: cuminstair.ReasonDeadline, Latency: time.Millisecond})
	}
	baseline := r.services["s"].scale.baseline("k")
	is.True(baseline > 0.099 && baseline < 0.101)
}

// Guards against a host in probation that gets no work, or too much.
func TestProbationTrickle(t *testing.T) {
	is := is.New(t)
	r := newRouter(4)
	r.SetState("h3", cuminstair.HostProbation)
	trials := 0
	for range 3200 {
		p := r.Pick(start, "s", "")
		if p.Upstream.Host == "h3" {
			trials++
		}
		r.Release(start, p, cuminstair.Result{})
	}
	is.Equal(trials, 100)
	for i := range 4 {
		r.SetState(fmt.Sprintf("h%d", i), cuminstair.HostProbation)
	}
	is.Equal(r.Capacity("s"), 1) // all hosts are in probation
	is.True(r.Pick(start, "s", "").Upstream != nil)
}

// Guards against counting the load of a host with two instances twice.
func TestTwoInstancesOnOneHost(t *testing.T) {
	is := is.New(t)
	r := newRouter(1)
	r.SetUpstreams("other", []cuminstair.Upstream{{Host: "h0", Centre: "c1", Slots: 8}})
	r.SetRemote("d2", []cuminstair.Load{{Host: "h0", Inflight: 8}})
	is.Equal(r.services["s"].remote+r.services["other"].remote, 8)
	r.Pick(start, "s", "")
	r.Pick(start, "other", "")
	is.Equal(r.Loads(), []cuminstair.Load{{Host: "h0", Inflight: 2}})
}

// BenchmarkPick measures a pick and a release with 50 and 4,000 upstreams; section 5.3 of docs/design.md allows twice
// the cost at 4,000.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRouter(n)
			for range b.N {
				r.Release(start, r.Pick(start, "s", ""), cuminstair.Result{})
			}
		})
	}
}

// Guards against counts below zero, requests that stay counted after their release and sums that drift, under any order
// of calls.
func TestRouterProperties(t *testing.T) {
	rapid.Check(t, drive)
}

// FuzzRouter makes the same calls from the fuzzer's bytes.
func FuzzRouter(f *testing.F) {
	seed := make([]byte, 1<<14)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(seed) // never fails
	f.Add(seed)
	f.Fuzz(rapid.MakeFuzz(drive))
}

func drive(t *rapid.T) {
	ops := rapid.IntRange(0, 1<<16)
	r := newRouter(6)
	now := start
	held := map[int]cuminstair.Pick{}
	next := 0
	states := []cuminstair.HostState{cuminstair.HostActive, cuminstair.HostLeaving, cuminstair.HostProbation, cuminstair.HostFailed}
	for range 200 {
		op := ops.Draw(t, "op")
		now = now.Add(time.Duration(op%50) * time.Millisecond)
		arg := op / 8
		name := fmt.Sprintf("h%d", arg%7)
		switch op % 8 {
		case 0, 1, 2:
			if p := r.Pick(now, "s", name); p.Upstream != nil {
				if p.Upstream.Host == name {
					t.Fatalf("picked %s, which is to be avoided", name)
				}
				held[next] = p
				next++
			}
		case 3, 4:
			for k, p := range held {
				res := cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: time.Duration(arg) * time.Microsecond}
				r.Release(now, p, res)
				delete(held, k)
				break
			}
		case 5:
			r.SetState(name, states[arg/7%4])
		case 6:
			r.SetUpstreams("s", hosts(arg%7))
		case 7:
			r.SetRemote("d"+name, []cuminstair.Load{{Host: name, Inflight: arg / 7 % 12}})
		}
		check(t, r, len(held))
	}
	for _, p := range held {
		r.Release(now, p, cuminstair.Result{})
	}
	check(t, r, 0)
	if len(r.Loads()) != 0 {
		t.Fatalf("requests still counted after their release: %v", r.Loads())
	}
}

// check compares the router's sums with its entries.
func check(t *rapid.T, r *Router, held int) {
	own, total, remote, credits := 0, 0, 0, 0
	for _, e := range r.entries {
		if e == nil {
			continue
		}
		if e.own < 0 || e.host.own < 0 || e.host.remote < 0 {
			t.Fatalf("count below zero at %s", e.host.name)
		}
		if e.set != setNone && e.service.sets[e.set][e.pos] != e {
			t.Fatalf("%s is not at its position in its set", e.host.name)
		}
		own += e.own
		total += e.counted
		remote += e.remote
		credits += e.credits
	}
	s := r.services["s"]
	if own != held || s.own != held || s.total != total || s.remote != remote || s.credits != credits {
		t.Fatalf("sums: held %d, own %d and %d, total %d and %d", held, own, s.own, total, s.total)
	}
	if c := r.Capacity("s"); c < 0 || c > max(total, 1) {
		t.Fatalf("capacity %d of %d", c, total)
	}
}
