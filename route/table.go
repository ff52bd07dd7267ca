package route

import (
	"hash/fnv"
	"slices"

	"cuminstair.org/cuminstair"
)

// Sets of the instances of a service. An instance is in at most one.
const (
	setNone      = iota - 1
	setOwned     // active; this daemon has unused credits there
	setSpare     // active, without unused credits, but with capacity that peers leave unused
	setFull      // active, without unused credits or unused capacity
	setProbation // in probation
	setCount
)

// lendShare is the part of the limit up to which a daemon uses an instance beyond the daemon's credits. It is below
// 1, since reports are delayed: if the whole limit were lent, the requests in flight would exceed the limit.
const lendShare = 0.75

// host is the record of a host. It is kept while the host has instances, reported load or a state other than active.
type host struct {
	name    string
	state   cuminstair.HostState
	own     int // own requests in flight, over all instances
	remote  int // requests in flight that peers reported
	entries []*entry
}

// service holds the instances of one service by set, and sums over them.
type service struct {
	sets       [setCount][]*entry
	picks      uint64
	own        int // own requests in flight
	ownAtRound int // own at the start of the round of reports
	total      int // sum of the limits of the active instances
	credits    int // sum of the own credits at the active instances
	remote     int // reported requests in flight at the active instances
	out        int // listed instances that are not active
	scale      scale
	factor     float64 // scale.effectiveFactor when the limits were computed
}

// entry is one instance.
type entry struct {
	router   *Router
	up       *cuminstair.Upstream // never changed in place, since a Pick points to it
	service  *service
	host     *host
	index    int    // position in Router.entries
	gen      uint64 // unique for each use of the position
	own      int    // requests of this daemon in flight; never below zero
	removed  bool   // no longer listed; kept until own is zero
	set      int
	pos      int // position in the set
	nameHash int // decides which daemons own the remainder when the limit is divided among them
	out      int // its part of service.out, 0 or 1
	counted  int // its part of service.total
	credits  int // its part of service.credits
	remote   int // its part of service.remote
	limit    int // requests of all daemons that may be in flight at once
	share    share
}

// load returns the requests in flight at the instance, own and reported. The reports are per host; they are divided
// evenly among the instances on it.
func (e *entry) load() int {
	n := len(e.host.entries)
	return e.own + (e.host.remote+n-1)/n
}

// updateSet moves the instance to the set that matches its state and load, and updates the sums of the service.
func (e *entry) updateSet() {
	set := setNone
	counted, credits, remote, out := 0, 0, 0, 0
	if !e.removed && e.host.state != cuminstair.HostActive {
		out = 1
	}
	switch {
	case e.removed:
	case e.host.state == cuminstair.HostActive:
		counted, remote = e.limit, e.load()-e.own
		credits = e.router.credits(e, counted)
		set = e.activeSet(counted, credits)
	case e.host.state == cuminstair.HostProbation:
		set = setProbation
	}
	s := e.service
	s.total += counted - e.counted
	s.credits += credits - e.credits
	s.remote += remote - e.remote
	s.out += out - e.out
	s.scale.reduced = s.out > 0
	e.counted, e.credits, e.remote, e.out = counted, credits, remote, out
	if set != e.set {
		e.move(set)
	}
}

func (e *entry) activeSet(limit, credits int) int {
	switch {
	case e.own < credits:
		return setOwned
	case float64(e.load()) < lendShare*float64(limit):
		return setSpare
	default:
		return setFull
	}
}

// credits returns the part of an instance's limit that this daemon owns. The credits of all daemons of the data centre
// add up to the limit.
func (r *Router) credits(e *entry, limit int) int {
	n := max(r.live, 1)
	credits := limit / n
	if (e.nameHash+r.self)%n < limit%n {
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
		s = &service{scale: newScale(), factor: 1}
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
		e.removed = true
		e.updateSet()
		if e.own == 0 {
			r.drop(e)
		}
	}
	// Each set gets room for all instances, so that Pick and Release never allocate.
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
	e.removed = false
	e.limit = e.limitOf(s.factor)
	r.refresh(e.host)
	return e
}

func (r *Router) add(s *service, up cuminstair.Upstream) *entry {
	h := r.host(up.Host)
	r.gen++
	e := &entry{
		router: r, up: &up, service: s, host: h, gen: r.gen, nameHash: hashName(up.Host), set: setNone,
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

// drop deletes an instance that has no request in flight.
func (r *Router) drop(e *entry) {
	r.entries[e.index] = nil
	r.free = append(r.free, e.index)
	h := e.host
	h.entries = slices.DeleteFunc(h.entries, func(o *entry) bool { return o == e })
	r.refresh(h)
	r.deleteIfEmpty(h)
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

// deleteIfEmpty deletes a host that has no instances, no reported load and no state other than active.
func (r *Router) deleteIfEmpty(h *host) {
	if len(h.entries) == 0 && h.state == cuminstair.HostActive && h.remote == 0 {
		delete(r.hosts, h.name)
	}
}

func (r *Router) refresh(h *host) {
	for _, e := range h.entries {
		e.updateSet()
	}
}

// SetState implements cuminstair.Router. A host in probation gets few requests: one at a time, and one pick in 32 tries
// such a host.
func (r *Router) SetState(name string, state cuminstair.HostState) {
	h := r.host(name)
	h.state = state
	r.refresh(h)
	r.deleteIfEmpty(h)
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
	if _, ok := r.peers[r.roundPeer]; ok && r.roundPeer != peer {
		return
	}
	r.roundPeer = peer
	for _, s := range r.services {
		s.ownAtRound = s.own
	}
}

// updateLimits recomputes the limits of all instances of a service.
func (r *Router) updateLimits(s *service) {
	for _, e := range r.entries {
		if e != nil && e.service == s {
			e.limit = e.limitOf(s.factor)
			e.updateSet()
		}
	}
}

func (r *Router) addRemote(name string, n int) {
	h := r.host(name)
	h.remote += n
	r.refresh(h)
	r.deleteIfEmpty(h)
}

// hashName returns a hash of a host's name that is the same in every daemon.
func hashName(name string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return int(h.Sum32() >> 1)
}
