package fleet

import (
	"fmt"
	"math"

	"cuminstair.org/cuminstair"
)

func (c *checker) checkServices() {
	list := c.fleet.Services
	c.checkNames("services", len(list), func(i int) string { return list[i].Name })
	for i := range list {
		s := &list[i]
		if c.checkReference(c.pools, "pool", s.Pool, "services", i, "pool") && c.fleet.Pools[c.pools[s.Pool]].Spare {
			c.add(fmt.Sprintf("pool %q is the spare", s.Pool), "run the service on another pool", "services", i, "pool")
		}
		c.checkPoolHasHosts(i, s.Pool)
		c.checkPositive(s.Slots > 0, "services", i, "slots")
		c.checkPositive(s.Conns > 0, "services", i, "conns")
		if s.Conns > 0 && s.Conns < s.Slots {
			c.add("conns is below slots, so that some slots can never be used", "raise conns to slots or more",
				"services", i, "conns")
		}
		if !(s.Budget.Down >= 0 && s.Budget.Down < 1) {
			c.add(fmt.Sprintf("the budget %g is not a share from 0 to below 1", s.Budget.Down),
				"set the share of the instances that may be unavailable, such as 0.2", "services", i, "budget", "down")
		}
		c.checkKinds(i, s.Kinds)
	}
}

// checkPoolHasHosts reports a service on a pool without hosts.
func (c *checker) checkPoolHasHosts(service int, pool string) {
	if _, ok := c.pools[pool]; !ok || c.hasHosts[pool] {
		return
	}
	c.add(fmt.Sprintf("pool %q has no hosts", pool), "put hosts into the pool or run the service on another one",
		"services", service, "pool")
}

func (c *checker) checkKinds(service int, kinds []cuminstair.Kind) {
	if len(kinds) == 0 {
		c.add("the service has no kinds of work", "declare at least one", "services", service, "kinds")
	}
	index := make(map[string]int, len(kinds))
	for i, k := range kinds {
		c.checkName(index, k.Name, i, "services", service, "kinds", i, "name")
		c.checkPositive(k.Weight > 0, "services", service, "kinds", i, "weight")
		c.checkPositive(k.Deadline > 0, "services", service, "kinds", i, "deadline")
	}
}

func (c *checker) checkTeams() {
	list := c.fleet.Teams
	c.checkNames("teams", len(list), func(i int) string { return list[i].Name })
	for i := range list {
		q := list[i].Quota
		c.checkPositive(q.Rate > 0 && !math.IsInf(q.Rate, 0), "teams", i, "quota", "rate")
		c.checkPositive(q.Burst > 0, "teams", i, "quota", "burst")
		if q.Cores < 0 {
			c.add("cores is below zero", "set 0 for a team without jobs", "teams", i, "quota", "cores")
		}
	}
}

func (c *checker) checkWaves() {
	list := c.fleet.Waves
	c.checkNames("waves", len(list), func(i int) string { return list[i].Name })
	for i := range list {
		w := &list[i]
		if a := cuminstair.HostAction(w.Action); a != cuminstair.ActionReboot && a != cuminstair.ActionReplace {
			c.add(fmt.Sprintf("%q is not an action", w.Action), `set "reboot" or "replace"`, "waves", i, "action")
		}
		c.checkPositive(w.Drain > 0, "waves", i, "drain")
		c.checkPositive(w.Back > 0, "waves", i, "back")
		c.checkPositive(w.Limit > 0, "waves", i, "limit")
		if len(w.Pools) == 0 {
			c.add("the wave has no pools", "name at least one", "waves", i, "pools")
		}
		seen := make(map[string]bool, len(w.Pools))
		for j, p := range w.Pools {
			c.checkReference(c.pools, "pool", p, "waves", i, "pools", j)
			if seen[p] {
				c.add(fmt.Sprintf("pool %q is named twice", p), "remove one of them", "waves", i, "pools", j)
			}
			seen[p] = true
		}
	}
}
