package fleet

import (
	"fmt"
	"net/netip"
	"regexp"

	"cuminstair.org/cuminstair"
)

// nameForm is the form of all names. They are parts of row keys and URLs, so that they hold no slash.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

const nameChange = "use 1 to 63 letters, digits, dots, dashes or underscores, and a letter or digit first"

// checker checks a fleet against the rules that the field comments of cuminstair.Fleet state.
type checker struct {
	*source
	fleet   *cuminstair.Fleet
	centres map[string]int
	pools   map[string]int
	hosts   map[string]int
	addrs   map[netip.AddrPort]int
	staffed map[string]bool // pools that have hosts
}

func check(src *source, f *cuminstair.Fleet) {
	c := &checker{source: src, fleet: f}
	if !nameForm.MatchString(f.Name) {
		c.add("the fleet has no valid name", nameChange, "name")
	}
	c.checkCentres()
	c.checkPools()
	c.checkHosts()
	c.checkServices()
	c.checkTeams()
	c.checkWaves()
	c.checkRoom()
}

// names checks the names of one list and returns the index of each.
func (c *checker) names(list string, n int, name func(i int) string) map[string]int {
	index := make(map[string]int, n)
	for i := range n {
		c.name(index, name(i), i, list, i, "name")
	}
	return index
}

// name checks one name and enters it into index.
func (c *checker) name(index map[string]int, name string, i int, path ...any) {
	if !nameForm.MatchString(name) {
		c.add(fmt.Sprintf("%q is not a valid name", name), nameChange, path...)
		return
	}
	first, twice := index[name]
	if !twice {
		index[name] = i
		return
	}
	path[len(path)-2] = first
	line := c.line(path...)
	path[len(path)-2] = i
	c.add(fmt.Sprintf("the name %q is already used on line %d", name, line), "give each its own name", path...)
}

// known reports a reference to a name that does not exist.
func (c *checker) known(index map[string]int, what, name string, path ...any) bool {
	_, ok := index[name]
	if !ok {
		c.add(fmt.Sprintf("there is no %s %q", what, name), fmt.Sprintf("declare the %s or name another one", what), path...)
	}
	return ok
}

// above reports a number that must be above zero.
func (c *checker) above(ok bool, path ...any) {
	if !ok {
		c.add(fmt.Sprintf("%s is not above zero", path[len(path)-1]), "set a value above zero", path...)
	}
}

func (c *checker) checkCentres() {
	list := c.fleet.Centres
	c.centres = c.names("centres", len(list), func(i int) string { return list[i].Name })
	for i, x := range list {
		if !nameForm.MatchString(x.Region) {
			c.add("the data centre has no valid region", nameChange, "centres", i, "region")
		}
	}
	if len(list) == 0 {
		c.add("the fleet has no data centre", "declare at least one", "centres")
	}
}

func (c *checker) checkPools() {
	list := c.fleet.Pools
	c.pools = c.names("pools", len(list), func(i int) string { return list[i].Name })
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
	c.staffed = make(map[string]bool)
	for i := range c.fleet.Hosts {
		h := &c.fleet.Hosts[i]
		c.hostName(i, h)
		c.staffed[h.Pool] = true
		c.known(c.centres, "data centre", h.Centre, "hosts", i, "centre")
		c.known(c.pools, "pool", h.Pool, "hosts", i, "pool")
		if !nameForm.MatchString(h.Rack) {
			c.add(fmt.Sprintf("%q is not a valid rack", h.Rack), nameChange, "hosts", i, "rack")
		}
		c.hostAddr(i, h)
		c.above(h.Cores > 0, "hosts", i, "cores")
		c.above(h.Memory > 0, "hosts", i, "memory")
		if h.Accel < 0 {
			c.add("accel is below zero", "set the number of accelerators", "hosts", i, "accel")
		}
	}
}

// hostName reports a host that is declared in two pools apart from one that is declared twice in the same pool.
func (c *checker) hostName(i int, h *cuminstair.Host) {
	first, twice := c.hosts[h.Name]
	if !twice || c.fleet.Hosts[first].Pool == h.Pool {
		c.name(c.hosts, h.Name, i, "hosts", i, "name")
		return
	}
	problem := fmt.Sprintf("host %q is also in pool %q, on line %d", h.Name, c.fleet.Hosts[first].Pool, c.line("hosts", first))
	c.add(problem, "a host belongs to exactly one pool; remove one of the two", "hosts", i, "name")
}

func (c *checker) hostAddr(i int, h *cuminstair.Host) {
	addr, err := netip.ParseAddrPort(h.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		c.add(fmt.Sprintf("%q is not an address", h.Addr), `write an IP address and a port, such as "10.1.0.7:8100"`,
			"hosts", i, "addr")
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	if first, twice := c.addrs[addr]; twice {
		problem := fmt.Sprintf("host %q on line %d has the address %s too", c.fleet.Hosts[first].Name, c.line("hosts", first), addr)
		c.add(problem, "give each host its own address", "hosts", i, "addr")
		return
	}
	c.addrs[addr] = i
}
