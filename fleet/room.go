package fleet

import (
	"fmt"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// groupKey names the hosts of one pool in one data centre.
type groupKey struct{ pool, centre string }

// checkRoom reports services whose budget never lets a wave over their pool take even one host, although all hosts are
// healthy: in a data centre where the pool has hosts, the room that package budget finds and the spare hosts there,
// which could join first, are together not above zero. Over the fleet there is never less room than in the data centre
// with the largest reserve, so that it needs no check.
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
	waved := make(map[string]string)
	for _, w := range c.fleet.Waves {
		for _, p := range w.Pools {
			waved[p] = w.Name
		}
	}
	for i := range c.fleet.Services {
		s := &c.fleet.Services[i]
		wave := waved[s.Pool]
		if wave == "" || c.isSpare(s.Pool) {
			continue
		}
		for _, centre := range c.fleet.Centres {
			if present[groupKey{s.Pool, centre.Name}] {
				c.room(i, wave, accounts.Account(s.Name, centre.Name), spare[centre.Name])
			}
		}
	}
}

// room reports a service without room in a data centre.
func (c *checker) room(service int, wave string, a budget.Account, spare int) {
	if a.Room()+spare > 0 {
		return
	}
	problem := fmt.Sprintf("wave %q can never take a host of service %q in %q: of %d instances %d may be unavailable, and the "+
		"reserve for one rack is %d", wave, a.Service, a.Centre, a.Declared, a.Allowed, a.Reserve)
	c.add(problem, "raise down, spread the pool over more racks, or add spare hosts", "services", service, "budget", "down")
}

// isSpare is true for every pool that is marked as the spare, also if several are by mistake.
func (c *checker) isSpare(pool string) bool {
	i, ok := c.pools[pool]
	return ok && c.fleet.Pools[i].Spare
}
