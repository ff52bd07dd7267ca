package health

import "slices"

// group holds the instances of one service in the data centre of this daemon.
type group struct {
	hosts   []*upstream
	bad     []badHost // failed or in probation, in the order in which they failed
	staying int       // hosts that are not leaving
}

// badHost is a host that is failed or in probation.
type badHost struct {
	host *upstream
	held bool // kept in rotation nevertheless, since MaxOut of the group is reached
}

// SetGroup replaces the hosts that run a service. MaxOut applies to each group separately.
func (m *Monitor) SetGroup(service string, hosts []string) {
	if m.groups == nil {
		m.groups = map[string]*group{}
	}
	if old := m.groups[service]; old != nil {
		for _, u := range old.hosts {
			u.groups = slices.DeleteFunc(u.groups, func(g *group) bool { return g == old })
		}
		defer func() {
			for _, u := range old.hosts {
				m.publish(u)
			}
		}()
	}
	g := &group{}
	for _, name := range hosts {
		u := m.host(name)
		u.groups = append(u.groups, g)
		g.hosts = append(g.hosts, u)
		g.update(u)
	}
	g.countStaying()
	m.groups[service] = g
	if len(hosts) == 0 {
		delete(m.groups, service)
	}
	for _, u := range g.hosts {
		m.publish(u)
	}
}

// update adds a host to g.bad or removes it, depending on its state.
func (g *group) update(u *upstream) {
	bad := u.state == "failed" || u.state == "probation"
	at := g.index(u)
	switch {
	case bad && at < 0:
		g.bad = append(g.bad, badHost{host: u})
	case !bad && at >= 0:
		g.bad = slices.Delete(g.bad, at, at+1)
	}
}

func (g *group) index(u *upstream) int {
	return slices.IndexFunc(g.bad, func(b badHost) bool { return b.host == u })
}

func (g *group) remove(u *upstream) {
	g.hosts = slices.DeleteFunc(g.hosts, func(o *upstream) bool { return o == u })
	if at := g.index(u); at >= 0 {
		g.bad = slices.Delete(g.bad, at, at+1)
	}
}

// updateHeld decides which of the bad hosts stay in rotation, and returns the hosts for which the decision changed. The
// hosts that failed first are out of rotation, as many as MaxOut allows. MaxOut is a share of the hosts that are not
// leaving, since a leaving host takes no new work in any case.
func (g *group) updateHeld() []*upstream {
	var changed []*upstream
	out := int(MaxOut * float64(g.staying))
	for i := range g.bad {
		if held := i >= out; held != g.bad[i].held {
			g.bad[i].held = held
			changed = append(changed, g.bad[i].host)
		}
	}
	return changed
}

// held reports whether a bad host stays in rotation because of MaxOut in one of its groups.
func (u *upstream) held() bool {
	for _, g := range u.groups {
		if at := g.index(u); at >= 0 && g.bad[at].held {
			return true
		}
	}
	return false
}

// countStaying recomputes how many hosts of the group are not leaving.
func (g *group) countStaying() {
	g.staying = 0
	for _, u := range g.hosts {
		if u.state != "leaving" {
			g.staying++
		}
	}
}
