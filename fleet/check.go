package fleet

import (
	"fmt"
	"net/netip"
	"regexp"

	"cuminstair.org/cuminstair"
)

// namePattern matches valid names. Names are parts of row keys and URLs, so they must not contain a slash.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameHint = "use 1 to 63 letters, digits, dots, dashes or underscores, and a letter or digit first"

// checker checks a fleet against the rules that the field comments of cuminstair.Fleet state.
type checker struct {
	*source
	fleet    *cuminstair.Fleet
	centres  map[string]int
	pools    map[string]int
	hosts    map[string]int
	addrs    map[netip.AddrPort]int
	hasHosts map[string]bool // by pool
}

func check(src *source, f *cuminstair.Fleet) {
	c := &checker{source: src, fleet: f}
	if !namePattern.MatchString(f.Name) {
		c.add("the fleet has no valid name", nameHint, "name")
	}
	c.checkCentres()
	c.checkPools()
	c.checkHosts()
	c.checkServices()
	c.checkTeams()
	c.checkWaves()
	c.checkRoom()
}

// checkNames checks the names of one list and returns the list index of each name.
func (c *checker) checkNames(list string, n int, name func(i int) string) map[string]int {
	index := make(map[string]int, n)
	for i := range n {
		c.checkName(index, name(i), i, list, i, "name")
	}
	return index
}

// checkName checks one name and adds it to index. path is the path of the name; its second-to-last element is i.
func (c *checker) checkName(index map[string]int, name string, i int, path ...any) {
	if !namePattern.MatchString(name) {
		c.add(fmt.Sprintf("%q is not a valid name", name), nameHint, path...)
		return
	}
	first, duplicate := index[name]
	if !duplicate {
		index[name] = i
		return
	}
	path[len(path)-2] = first
	line := c.line(path...)
	path[len(path)-2] = i
	c.add(fmt.Sprintf("the name %q is already used on line %d", name, line), "give each its own name", path...)
}

// checkReference returns whether name is in index, and reports a fault if not. noun is the kind of entry for messages.
func (c *checker) checkReference(index map[string]int, noun, name string, path ...any) bool {
	_, ok := index[name]
	if !ok {
		c.add(fmt.Sprintf("there is no %s %q", noun, name), fmt.Sprintf("declare the %s or name another one", noun), path...)
	}
	return ok
}

// checkPositive reports the number at path as not above zero if ok is false.
func (c *checker) checkPositive(ok bool, path ...any) {
	if !ok {
		c.add(fmt.Sprintf("%s is not above zero", path[len(path)-1]), "set a value above zero", path...)
	}
}

func (c *checker) checkCentres() {
	list := c.fleet.Centres
	c.centres = c.checkNames("centres", len(list), func(i int) string { return list[i].Name })
	for i, x := range list {
		if !namePattern.MatchString(x.Region) {
			c.add("the data centre has no valid region", nameHint, "centres", i, "region")
		}
	}
	if len(list) == 0 {
		c.add("the fleet has no data centre", "declare at least one", "centres")
	}
}

func (c *checker) checkPools() {
	list := c.fleet.Pools
	c.pools = c.checkNames("pools", len(list), func(i int) string { return list[i].Name })
	spare := -1
	for i, p := range list {
		if p.Spare && spare >= 0 {
			problem := fmt.Sprintf("pool %q on line %d is the spare already", list[spare].Name, c.line("pools", spare))
			c.add(problem, "mark at most one pool as the spare", "pools", i, "spare")
		}
		if p.Spare {
			spare = i
		}
	}
	if len(list) == 0 {
		c.add("the fleet has no pool", "declare at least one", "pools")
	}
}

func (c *checker) checkHosts() {
	c.hosts = make(map[string]int, len(c.fleet.Hosts))
	c.addrs = make(map[netip.AddrPort]int, len(c.fleet.Hosts))
	c.hasHosts = make(map[string]bool)
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		c.checkHostName(i, h)
		c.hasHosts[h.Pool] = true
		c.checkReference(c.centres, "data centre", h.Centre, "hosts", i, "centre")
		c.checkReference(c.pools, "pool", h.Pool, "hosts", i, "pool")
		if !namePattern.MatchString(h.Rack) {
			c.add(fmt.Sprintf("%q is not a valid rack", h.Rack), nameHint, "hosts", i, "rack")
		}
		c.checkHostAddr(i, h)
		c.checkPositive(h.Cores > 0, "hosts", i, "cores")
		c.checkPositive(h.Memory > 0, "hosts", i, "memory")
		if h.Accel < 0 {
			c.add("accel is below zero", "set the number of accelerators", "hosts", i, "accel")
		}
	}
}

// checkHostName checks the name of a host. A host in two pools gets its own message.
func (c *checker) checkHostName(i int, h *cuminstair.Host) {
	first, duplicate := c.hosts[h.Name]
	if !duplicate || c.fleet.Hosts[first].Pool == h.Pool {
		c.checkName(c.hosts, h.Name, i, "hosts", i, "name")
		return
	}
	problem := fmt.Sprintf("host %q is also in pool %q, on line %d", h.Name, c.fleet.Hosts[first].Pool, c.line("hosts", first))
	c.add(problem, "a host belongs to exactly one pool; remove one of the two", "hosts", i, "name")
}

func (c *checker) checkHostAddr(i int, h *cuminstair.Host) {
	addr, err := netip.ParseAddrPort(h.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		c.add(fmt.Sprintf("%q is not an address", h.Addr), `write an IP address and a port, such as "10.1.0.7:8100"`,
			"hosts", i, "addr")
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if first, duplicate := c.addrs[addr]; duplicate {
		problem := fmt.Sprintf("host %q on line %d has the address %s too", c.fleet.Hosts[first].Name, c.line("hosts", first), addr)
		c.add(problem, "give each host its own address", "hosts", i, "addr")
		return
	}
	c.addrs[addr] = i
}
