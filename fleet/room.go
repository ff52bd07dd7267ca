package fleet

import (
	"fmt"
	"math"

	"cuminstair.org/cuminstair"
)

// roundingSlack keeps a product such as 0.29 x 100 = 28.999999999999996 from losing a whole instance.
const roundingSlack = 1e-9

// group counts the hosts of one pool in one data centre.
type group struct {
	hosts int
	racks map[string]int
}

func (g *group) add(rack string) {
	g.hosts++
	if g.racks == nil {
		g.racks = make(map[string]int)
	}
	g.racks[rack]++
}

// largest returns the number of hosts in the rack that holds the most.
func (g *group) largest() int {
	most := 0
	for _, n := range g.racks {
		most = max(most, n)
	}
	return most
}

type groupKey struct{ pool, centre string }

// checkRoom reports services whose budget never lets a wave over their pool take even one host, in a data centre
// where the pool has hosts: the budget in whole instances, less the reserve for the rack with the most instances,
// plus the spare hosts of that data centre that could join first.
func (c *checker) checkRoom() {
	groups := make(map[groupKey]*group)
	spare := c.sparePool()
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		k := groupKey{h.Pool, h.Centre}
		if groups[k] == nil {
			groups[k] = &group{}
		}
		groups[k].add(h.Rack)
	}
	waved := make(map[string]string)
	for _, w := range c.fleet.Waves {
		for _, p := range w.Pools {
			waved[p] = w.Name
		}
	}
	for i := range c.fleet.Services {
		s := &c.fleet.Services[i]
		if wave := waved[s.Pool]; wave != "" && !c.isSpare(s.Pool) {
			c.serviceRoom(i, s, wave, spare, groups)
		}
	}
}

func (c *checker) serviceRoom(i int, s *cuminstair.Service, wave, spare string, groups map[groupKey]*group) {
	for _, centre := range c.fleet.Centres {
		g := groups[groupKey{s.Pool, centre.Name}]
		if g == nil {
			continue
		}
		extra := 0
		if sp := groups[groupKey{spare, centre.Name}]; sp != nil && spare != "" {
			extra = sp.hosts
		}
		down := int(math.Floor(s.Budget.Down*float64(g.hosts) + roundingSlack))
		if down-g.largest()+extra > 0 {
			continue
		}
		problem := fmt.Sprintf("wave %q can never take a host of %q in %q: %g of %d instances is %d, and the reserve for one rack is %d",
			wave, s.Pool, centre.Name, s.Budget.Down, g.hosts, down, g.largest())
		c.add(problem, "raise down, spread the pool over more racks, or add spare hosts to the data centre",
			"services", i, "budget", "down")
	}
}

// isSpare is true for every pool that is marked as the spare, also if several are by mistake.
func (c *checker) isSpare(pool string) bool {
	i, ok := c.pools[pool]
	return ok && c.fleet.Pools[i].Spare
}

func (c *checker) sparePool() string {
	for _, p := range c.fleet.Pools {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}
