package wave_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/wave"
)

// Guards against a first fleet file that takes all hosts of a data centre out of service at once, and against a host
// that is added later and receives work without probation.
func TestFirstFleetKeepsServing(t *testing.T) {
	is := is.New(t)
	f := &cuminstair.Fleet{
		Centres:  []cuminstair.Centre{{Name: "c1"}},
		Pools:    []cuminstair.Pool{{Name: "p"}},
		Services: []cuminstair.Service{{Name: "s", Pool: "p", Budget: cuminstair.Budget{Down: 0.5}}},
	}
	add := func(name string) {
		f.Hosts = append(f.Hosts, cuminstair.Host{Name: name, Centre: "c1", Rack: "r-" + name, Pool: "p"})
	}
	add("h1")
	add("h2")
	p, now := wave.New("c1"), time.Unix(1000, 0)
	p.SetFleet(now, f)
	for _, c := range p.Decide(now).Hosts {
		is.Equal(c.Row.State, cuminstair.HostActive)
		p.SetHost(now, "c1", c.Name, c.Row)
	}
	add("h3")
	p.SetFleet(now, f)
	plan := p.Decide(now)
	is.Equal(len(plan.Hosts), 1)
	is.Equal(plan.Hosts[0].Row.State, cuminstair.HostProbation)
}
