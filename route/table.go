package route

import (
	"hash/fnv"
	"slices"

	"cuminstair.org/cuminstair"
)

// Sets of the instances of a service. An instance is in at most one.
const (
	setNone  = iota - 1
	setOwned // active, with own credits left
	setOpen  // active, without, but with places that peers leave unused
	setFull  // active, without either
	setTrial // in probation
	setCount
)

// lendShare is the part of the limits up to which a daemon takes places beyond its credits. Reports are old, so that all
// places can't be lent without overrun.
const lendShare = 0.75

// host is what is known about a host. It exists while it has instances or a state other than active.
type host struct {
	name    string
	state   cuminstair.HostState
	own     int // own requests in flight, over all instances
	remote  int // requests in flight that peers reported
	entries []*entry
}

// service is the table of one service.
type service struct {
	sets    [setCount][]*entry
	picks   uint64
	own     int // own requests in flight
	ownAt   int // own at the start of the round of reports
	total   int // sum of the limits of the active instances
	credits int // sum of the own credits at the active instances
	remote  int // reported requests in flight at the active instances
	scale   scale
	value   float64 // of scale when the limits were computed
}

// entry is one instance.
type entry struct {
	router  *Router
	up      *cuminstair.Upstream // never changed in place, since a Pick points to it
	service *service
	host    *host
	index   int    // position in Router.entries
	gen     uint64 // differs for each use of the position
	own     int    // never below zero
	gone    bool   // no longer listed; kept until own is zero
	set     int
	pos     int // position in the set
	turn    int // decides which daemons own the places that are left over by the division of the limit
	counted int // what it adds to service.total
	credits int // what it adds to service.credits
	remote  int // what it adds to service.remote
	limit   int // requests that may be in flight at once, of all daemons
	share   share
}

// load returns the requests in flight at the instance, own and reported. The reports are per host; they are divided
// evenly among the instances on it.
func (e *entry) load() int {
	n := len(e.host.entries)
	return e.own + (e.host.remote+n-1)/n
}

// place moves the instance to the set where it belongs and keeps the sums of the service.
func (e *entry) place() {
	set := setNone
	counted, credits, remote := 0, 0, 0
	switch {
	case e.gone:
	case e.host.state == cuminstair.HostActive:
		counted, remote = e.limit, e.load()-e.own
		credits = e.router.credits(e, counted)
		set = e.activeSet(counted, credits)
	case e.host.state == cuminstair.HostProbation:
		set = setTrial
	}
	s := e.service
	s.total += counted - e.counted
	s.credits += credits - e.credits
	s.remote += remote - e.remote
	e.counted, e.credits, e.remote = counted, credits, remote
	if set != e.set {
		e.move(set)
	}
}

func (e *entry) activeSet(limit, credits int) int {
	switch {
	case e.own < credits:
		return setOwned
	case float64(e.load()) < lendShare*float64(limit):
		return setOpen
	default:
		return setFull
	}
}

// credits returns the part of an instance's limit that this daemon owns. All daemons of the data centre together own
// the whole limit.
func (r *Router) credits(e *entry, limit int) int {
	n := max(r.live, 1)
	credits := limit / n
	if (e.turn+r.self)%n < limit%n {
		credits++
	}
	return credits
}

func (e *entry) move(set int) {
	sets := &e.service.sets
	if e.set != setNone {
		old := sets[e.set]
		last := old[len(old)-1]
		old[e.pos] = last
		last.pos = e.pos
		old[len(old)-1] = nil
		sets[e.set] = old[:len(old)-1]
	}
	e.set = set
	if set != setNone {
		e.pos = len(sets[set])
		sets[set] = append(sets[set], e)
	}
}

// SetUpstreams implements cuminstair.Router.
func (r *Router) SetUpstreams(name string, ups []cuminstair.Upstream) {
	s := r.services[name]
	if s == nil {
		if r.services == nil {
			r.services = map[string]*service{}
		}
		s = &service{scale: newScale(), value: 1}
		r.services[name] = s
	}
	listed := map[*entry]bool{}
	for _, up := range ups {
		if r.Centre == "" || up.Centre == r.Centre {
			listed[r.put(s, up)] = true
		}
	}
	for _, e := range r.entries {
		if e == nil || e.service != s || listed[e] {
			continue
		}
		e.gone = true
		e.place()
		if e.own == 0 {
			r.drop(e)
		}
	}
	// Room for all in each set, so that Pick and Release never allocate.
	for i := range s.sets {
		s.sets[i] = slices.Grow(s.sets[i], len(listed))
	}
}

// put adds or updates an instance.
func (r *Router) put(s *service, up cuminstair.Upstream) *entry {
	e := r.find(s, up.Host)
	if e == nil {
		e = r.add(s, up)
	}
	if *e.up != up {
		if e.up.Slots != up.Slots || e.up.Addr != up.Addr {
			e.share = share{factor: 1}
		}
		e.up = &up
	}
	e.gone = false
	e.limit = e.limitOf(s.value)
	r.refresh(e.host)
	return e
}

func (r *Router) add(s *service, up cuminstair.Upstream) *entry {
	h := r.host(up.Host)
	r.gen++
	e := &entry{
		router: r, up: &up, service: s, host: h, gen: r.gen, turn: turnOf(up.Host), set: setNone,
		share: share{factor: 1},
	}
	if n := len(r.free); n > 0 {
		e.index = r.free[n-1]
		r.free = r.free[:n-1]
		r.entries[e.index] = e
	} else {
		e.index = len(r.entries)
		r.entries = append(r.entries, e)
	}
	h.entries = append(h.entries, e)
	return e
}

// drop forgets an instance that has no request in flight.
func (r *Router) drop(e *entry) {
	r.entries[e.index] = nil
	r.free = append(r.free, e.index)
	h := e.host
	h.entries = slices.DeleteFunc(h.entries, func(o *entry) bool { return o == e })
	r.refresh(h)
	r.tidy(h)
}

func (r *Router) host(name string) *host {
	h := r.hosts[name]
	if h == nil {
		if r.hosts == nil {
			r.hosts = map[string]*host{}
		}
		h = &host{name: name, state: cuminstair.HostActive}
		r.hosts[name] = h
	}
	return h
}

// tidy forgets a host about which nothing is known but its name.
func (r *Router) tidy(h *host) {
	if len(h.entries) == 0 && h.state == cuminstair.HostActive && h.remote == 0 {
		delete(r.hosts, h.name)
	}
}

func (r *Router) refresh(h *host) {
	for _, e := range h.entries {
		e.place()
	}
}

// SetState implements cuminstair.Router. A host in probation gets a trickle: one request at a time, of one in 32.
func (r *Router) SetState(name string, state cuminstair.HostState) {
	h := r.host(name)
	h.state = state
	r.refresh(h)
	r.tidy(h)
}

// SetRemote implements cuminstair.Router.
func (r *Router) SetRemote(peer string, loads []cuminstair.Load) {
	for _, l := range r.peers[peer] {
		r.addRemote(l.Host, -l.Inflight)
	}
	if len(loads) == 0 {
		delete(r.peers, peer)
	} else {
		if r.peers == nil {
			r.peers = map[string][]cuminstair.Load{}
		}
		r.peers[peer] = slices.Clone(loads)
	}
	for _, l := range loads {
		r.addRemote(l.Host, l.Inflight)
	}
	if _, ok := r.peers[r.lead]; ok && r.lead != peer {
		return
	}
	r.lead = peer
	for _, s := range r.services {
		s.ownAt = s.own
	}
}

// scaled computes the limits of a service anew.
func (r *Router) scaled(s *service) {
	for _, e := range r.entries {
		if e != nil && e.service == s {
			e.limit = e.limitOf(s.value)
			e.place()
		}
	}
}

func (r *Router) addRemote(name string, n int) {
	h := r.host(name)
	h.remote += n
	r.refresh(h)
	r.tidy(h)
}

// turnOf derives a number from a host's name, the same in every daemon.
func turnOf(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() >> 1)
}
