package health

import "slices"

// group is the instances of one service in the own data centre.
type group struct {
	hosts []*upstream
	bad   []*upstream // failed or in probation, in the order in which they failed
}

// SetGroup replaces the hosts that run a service. MaxOut holds for each group by itself.
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
				m.show(u)
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
	m.groups[service] = g
	if len(hosts) == 0 {
		delete(m.groups, service)
	}
	m.showGroup(g)
}

// update puts a host into the list of the bad ones or takes it out.
func (g *group) update(u *upstream) {
	bad := u.state == "failed" || u.state == "probation"
	at := slices.Index(g.bad, u)
	switch {
	case bad && at < 0:
		g.bad = append(g.bad, u)
	case !bad && at >= 0:
		g.bad = slices.Delete(g.bad, at, at+1)
	}
}

func (g *group) remove(u *upstream) {
	same := func(o *upstream) bool { return o == u }
	g.hosts = slices.DeleteFunc(g.hosts, same)
	g.bad = slices.DeleteFunc(g.bad, same)
}

// maxOut returns how many hosts may be out for bad health. Hosts that are leaving are out in any case and carry
// nothing, so that the share is taken of the others.
func (g *group) maxOut() int {
	staying := 0
	for _, u := range g.hosts {
		if u.state != "leaving" {
			staying++
		}
	}
	return int(MaxOut * float64(staying))
}

// held reports whether a failed host stays in rotation, because one of its groups can't do without it. The hosts that
// failed first are out.
func (u *upstream) held() bool {
	for _, g := range u.groups {
		if slices.Index(g.bad, u) >= g.maxOut() {
			return true
		}
	}
	return false
}
