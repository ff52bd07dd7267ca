package fleet

import (
	"fmt"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// groupKey names the hosts of one pool in one data centre.
type groupKey struct{ pool, centre string }

// checkRoom reports services whose availability budget never lets a wave over their pool take a single host, even if all
// hosts are healthy. This is the case in a data centre where the pool has hosts if budget.Account.Room there plus the
// number of spare hosts there, which could join the pool first, is not above zero. The room over the whole fleet is never
// less than the room in the data centre with the largest reserve and needs no check.
func (c *checker) checkRoom() {
	accounts := budget.New(c.fleet.Services)
	spare := make(map[string]int) // hosts of the spare pool in each data centre
	present := make(map[groupKey]bool)
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		accounts.Set(h.Name, budget.Host{
			Centre: h.Centre, Rack: h.Rack, Home: h.Pool, Pool: h.Pool, State: cuminstair.HostActive, Healthy: true,
		})
		present[groupKey{h.Pool, h.Centre}] = true
		if c.isSpare(h.Pool) {
			spare[h.Centre]++
		}
	}
	waveByPool := make(map[string]string)
	for _, w := range c.fleet.Waves {
		for _, p := range w.Pools {
			waveByPool[p] = w.Name
		}
	}
	for i := range c.fleet.Services {
		s := &c.fleet.Services[i]
		wave := waveByPool[s.Pool]
		if wave == "" || c.isSpare(s.Pool) {
			continue
		}
		for _, centre := range c.fleet.Centres {
			if present[groupKey{s.Pool, centre.Name}] {
				c.checkServiceRoom(i, wave, accounts.Account(s.Name, centre.Name), spare[centre.Name])
			}
		}
	}
}

// checkServiceRoom reports a service that has no room in a data centre.
func (c *checker) checkServiceRoom(service int, wave string, a budget.Account, spare int) {
	if a.Room()+spare > 0 {
		return
	}
	problem := fmt.Sprintf("wave %q can never take a host of service %q in %q: of %d instances %d may be unavailable, and the "+
		"reserve for one rack is %d", wave, a.Service, a.Centre, a.Declared, a.Allowed, a.Reserve)
	c.add(problem, "raise down, spread the pool over more racks, or add spare hosts", "services", service, "budget", "down")
}

// isSpare reports whether a pool is marked as the spare. In an invalid fleet, several pools may be.
func (c *checker) isSpare(pool string) bool {
	i, ok := c.pools[pool]
	return ok && c.fleet.Pools[i].Spare
}
