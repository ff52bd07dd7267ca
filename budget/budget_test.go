package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

var states = []cuminstair.HostState{
	cuminstair.HostActive, cuminstair.HostActive, cuminstair.HostActive, cuminstair.HostLeaving, cuminstair.HostFailed,
	cuminstair.HostMoving, cuminstair.HostQuarantined,
}

func service(name, pool string, down float64) cuminstair.Service {
	return cuminstair.Service{Name: name, Pool: pool, Budget: cuminstair.Budget{Down: down}}
}

// Guards against an instance that counts twice when its host is both leaving and unhealthy, against a reserve that
// ignores racks, and against lent hosts that don't offset unavailable instances.
func TestAccount(t *testing.T) {
	is := is.New(t)
	b := budget.New([]cuminstair.Service{service("s", "p", 0.25)})
	for i := range 8 {
		b.Set(fmt.Sprint("h", i), budget.Host{Centre: "a", Rack: fmt.Sprint(i / 2), Home: "p", Pool: "p", State: cuminstair.HostActive, Healthy: true})
	}
	a := b.Account("s", "a")
	is.Equal(a, budget.Account{Service: "s", Centre: "a", Declared: 8, Allowed: 2, Reserve: 2})
	_, ok := b.MayTake("h0")
	is.True(!ok)
	spare := budget.Host{Centre: "a", Rack: "9", Home: "spare", Pool: "p", State: cuminstair.HostActive, Healthy: true}
	b.Set("x", spare)
	is.Equal(b.Account("s", "a").Room(), 1)
	b.Set("h0", budget.Host{Centre: "a", Rack: "0", Home: "p", Pool: "p", State: cuminstair.HostLeaving})
	a = b.Account("s", budget.Fleet)
	is.Equal(a.Unavailable, 1)
	is.Equal(a.Net(), 0)
	is.Equal(a.String(), "s in the fleet: 1 of 8 instances unavailable (1 of them planned), 1 extra, 2 allowed, "+
		"2 reserved for the loss of a rack, room for 0")
	spare.Healthy = false
	b.Set("x", spare)
	is.Equal(b.Account("s", "a").Room(), -1)
	is.Equal(b.Buffer("a"), budget.Buffer{Idle: 1, Needed: 1})
}

// Guards against a host that may not be taken although the reserve falls with it, so that room for the reserve is left
// afterwards, and against a host that may be taken although another rack keeps the reserve as high.
func TestMayTakeFromLargestRack(t *testing.T) {
	is := is.New(t)
	b := budget.New([]cuminstair.Service{service("s", "p", 0.4)})
	h := budget.Host{Centre: "a", Home: "p", Pool: "p", State: cuminstair.HostActive, Healthy: true}
	for i := range 5 {
		h.Rack = fmt.Sprint(i)
		b.Set(fmt.Sprint("h", i), h)
	}
	h.Rack, h.State = "4", cuminstair.HostRebooting
	b.Set("h4", h)
	is.Equal(b.Account("s", "a").Room(), 0)
	lent := budget.Host{Centre: "a", Rack: "0", Home: "spare", Pool: "p", State: cuminstair.HostActive, Healthy: true}
	b.Set("x0", lent)
	is.Equal(b.Account("s", "a").Room(), 0) // one extra instance, and two in rack 0
	for name, want := range map[string]bool{"x0": true, "h0": true, "h1": false, "h2": false, "h3": false} {
		_, ok := b.MayTake(name)
		is.Equal(ok, want)
	}
	lent.Rack = "1"
	b.Set("x1", lent)
	is.Equal(b.Account("s", "a").Room(), 1)
	b.Set("h3", budget.Host{Centre: "a", Rack: "3", Home: "p", Pool: "p", State: cuminstair.HostRebooting})
	for _, name := range []string{"x0", "x1", "h0", "h1", "h2"} {
		_, ok := b.MayTake(name)
		is.True(!ok) // racks 0 and 1 both hold two instances
	}
}

// Guards against a budget that allows one instance too few because of binary rounding.
func TestAllowed(t *testing.T) {
	is := is.New(t)
	is.Equal(budget.Allowed(cuminstair.Budget{Down: 0.29}, 100), 29)
	is.Equal(budget.Allowed(cuminstair.Budget{Down: 0.34}, 2), 0)
}

// Guards against incremental counts that differ from a full count over all hosts.
func TestIncrementalMatchesScan(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	services := []cuminstair.Service{service("s", "p", 0.2), service("t", "p", 0.1), service("u", "q", 0.3)}
	pools := []string{"p", "q", "spare"}
	b := budget.New(services)
	hosts := map[string]budget.Host{}
	for range 5000 {
		name := fmt.Sprint("h", rng.IntN(60))
		old, ok := hosts[name]
		if !ok {
			old = budget.Host{Centre: fmt.Sprint("c", rng.IntN(2)), Rack: fmt.Sprint(rng.IntN(5)), Home: pools[rng.IntN(3)]}
		}
		old.Pool, old.State, old.Healthy = pools[rng.IntN(3)], states[rng.IntN(len(states))], rng.IntN(4) > 0
		if rng.IntN(20) == 0 {
			b.Remove(name)
			delete(hosts, name)
			continue
		}
		hosts[name] = old
		b.Set(name, old)
	}
	for _, s := range services {
		for _, centre := range []string{"c0", "c1", budget.Fleet} {
			is.Equal(b.Account(s.Name, centre), scan(hosts, s, centre))
		}
	}
}

func scan(hosts map[string]budget.Host, s cuminstair.Service, centre string) budget.Account {
	a := budget.Account{Service: s.Name, Centre: centre}
	racks := map[string]int{}
	for _, h := range hosts {
		if centre != budget.Fleet && h.Centre != centre {
			continue
		}
		up := h.State == cuminstair.HostActive && h.Healthy
		if up && h.Pool == s.Pool {
			racks[h.Centre+h.Rack]++
			a.Reserve = max(a.Reserve, racks[h.Centre+h.Rack])
			if h.Home != s.Pool {
				a.Extra++
			}
		}
		if h.Home != s.Pool {
			continue
		}
		a.Declared++
		if !up || h.Pool != s.Pool {
			a.Unavailable++
			if budget.Planned(h.State) || h.Pool != s.Pool {
				a.Planned++
			}
		}
	}
	a.Allowed = budget.Allowed(s.Budget, a.Declared)
	return a
}

// Guards against a host change whose cost grows with the fleet.
func TestCostOfOneChange(t *testing.T) {
	is := is.New(t)
	b := budget.New([]cuminstair.Service{service("s", "p", 0.2)})
	h := budget.Host{Centre: "a", Home: "p", Pool: "p", State: cuminstair.HostActive, Healthy: true}
	for i := range 28000 {
		h.Rack = fmt.Sprint(i / 20)
		b.Set(fmt.Sprint("h", i), h)
	}
	before := b.Updates
	h.Rack, h.Healthy = "0", false
	b.Set("h1", h)
	is.True(b.Updates-before <= 8) // declared and available instances, old and new state, data centre and fleet
}
