package local

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// Sizes of the hosts.
const (
	cores  = 32
	memory = cuminstair.Bytes(128e9)
)

// rackOf puts two hosts into a rack.
func rackOf(i int) string { return fmt.Sprintf("r%d", i/2+1) }

// Fleet returns a fleet file for the hosts of the system: one pool with a service of two kinds of work, and a spare pool
// with the last host of each data centre.
func (s *System) Fleet() *cuminstair.Fleet {
	f := &cuminstair.Fleet{
		Name:  "local",
		Pools: []cuminstair.Pool{{Name: "kitchen"}, {Name: "spare", Spare: true}},
		Services: []cuminstair.Service{{
			Name: "convert", Pool: "kitchen", Slots: 8, Conns: 64, Budget: cuminstair.Budget{Down: 0.5},
			Kinds: []cuminstair.Kind{
				{Name: "measure", Weight: 3, Urgency: 1, Deadline: cuminstair.Duration(5 * time.Second), Idempotent: true},
				{Name: "order", Weight: 1, Deadline: cuminstair.Duration(5 * time.Second)},
			},
		}},
		Teams: []cuminstair.Team{{Name: "stylists", Quota: cuminstair.Quota{Rate: 100000, Burst: 10000}}},
	}
	for _, c := range s.Centres {
		f.Centres = append(f.Centres, cuminstair.Centre{Name: c.Name, Region: "local"})
		for i := range c.Hosts {
			host := fmt.Sprintf("%s-h%d", c.Name, i+1)
			pool := "kitchen"
			if i == c.Hosts-1 && c.Hosts > 2 {
				pool = "spare"
			}
			f.Hosts = append(f.Hosts, cuminstair.Host{
				Name: host, Centre: c.Name, Rack: rackOf(i), Pool: pool, Addr: s.addrs[host], Cores: cores, Memory: memory,
			})
		}
	}
	return f
}

// Application returns the fleet as an operator sends it.
func Application(f *cuminstair.Fleet, base uint64) (cuminstair.Application, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return cuminstair.Application{}, fmt.Errorf("encode the fleet: %w", err)
	}
	return cuminstair.Application{Base: base, File: "fleet.jsonc", Text: string(data)}, nil
}
