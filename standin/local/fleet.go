package local

import (
	"encoding/json"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// Capacity of each host.
const (
	hostCores  = 32
	hostMemory = cuminstair.Bytes(128e9)
)

// rackOf returns the rack of the i-th host of a data centre. Two hosts share a rack.
func rackOf(i int) string { return fmt.Sprintf("r%d", i/2+1) }

// Fleet returns a fleet for the hosts of the system: one pool with a service that has two kinds of requests, and a
// spare pool with the last host of each data centre that has more than two hosts.
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
				Name: host, Centre: c.Name, Rack: rackOf(i), Pool: pool, Addr: s.addrs[host], Cores: hostCores, Memory: hostMemory,
			})
		}
	}
	return f
}

// NewApplyRequest returns the request with which an operator applies a fleet. base is the generation at which the fleet
// was read, or 0 for the first fleet.
func NewApplyRequest(f *cuminstair.Fleet, base uint64) (cuminstair.ApplyRequest, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return cuminstair.ApplyRequest{}, fmt.Errorf("encode the fleet: %w", err)
	}
	return cuminstair.ApplyRequest{Base: base, File: "fleet.jsonc", Text: string(data)}, nil
}
