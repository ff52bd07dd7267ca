// Package route chooses an upstream for each request. The limit of an instance is the number of requests that may be in
// flight there. Each daemon owns a part of the limit, its credits. It prefers instances where it has unused credits, then
// instances that have free capacity by the reports of its peers, then the others. Of the preferred instances a Router picks
// the less loaded of two random ones. It is not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Router = (*Router)(nil)

// probationEvery is the period, in picks of a service, at which a pick tries an upstream in probation first.
const probationEvery = 32

// Router implements cuminstair.Router. Exported fields are set before the first call.
type Router struct {
	// Centre is the data centre of this daemon. Upstreams of other data centres are never picked, since their own
	// daemons send work to them. If it is empty, all upstreams can be picked.
	Centre string
	// Rand draws the candidates. It is required.
	Rand *rand.Rand

	live      int // daemons that share the upstreams
	self      int // position of this daemon among them
	hosts     map[string]*host
	services  map[string]*service
	entries   []*entry // indexed by Pick.Index; nil where free
	free      []int    // free positions of entries
	gen       uint64   // last value of entry.gen
	peers     map[string][]cuminstair.Load
	roundPeer string // the peer whose next report starts a new round of reports
	examined  uint64 // upstreams examined by Pick since the start
}

// SetLive sets how many live daemons of the data centre share its upstreams, this one included, and the position of this
// daemon in their sorted list, from 0. Until SetLive is called, this daemon owns the whole limit of each instance.
func (r *Router) SetLive(n, self int) {
	r.live, r.self = max(n, 1), self
	for _, e := range r.entries {
		if e != nil {
			e.updateSet()
		}
	}
}

// Pick implements cuminstair.Router. Its cost does not depend on the number of hosts, and it allocates nothing.
func (r *Router) Pick(_ time.Time, service, avoid string) cuminstair.Pick {
	s := r.services[service]
	if s == nil {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoService}
	}
	e := r.choose(s, r.find(s, avoid))
	if e == nil {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	e.own++
	e.host.own++
	s.own++
	e.updateSet()
	return cuminstair.Pick{Upstream: e.up, Reason: cuminstair.ReasonLocal, Index: e.index, Epoch: e.gen}
}

// Release implements cuminstair.Router. It ignores a pick without an upstream and a pick that it recognises as
// released already, so that a count never drops below zero.
func (r *Router) Release(now time.Time, p cuminstair.Pick, res cuminstair.Result) {
	if p.Upstream == nil || p.Index < 0 || p.Index >= len(r.entries) {
		return
	}
	e := r.entries[p.Index]
	if e == nil || e.gen != p.Epoch || e.own == 0 {
		return
	}
	if e.latencyCounts(res) {
		r.recordLatency(now, e, res)
	}
	e.own--
	e.host.own--
	e.service.own--
	if e.removed && e.own == 0 {
		r.drop(e)
		return
	}
	e.updateSet()
}

// latencyCounts reports whether the latency of a result is a valid sample. A failed request is a sample only if it reached
// its deadline: without such samples no latency could exceed the deadline. A request that failed before the
// baseline latency is not a sample: it was cut short, for example because its caller disconnected.
func (e *entry) latencyCounts(res cuminstair.Result) bool {
	if res.Outcome == cuminstair.OutcomeDone {
		return res.Latency > 0
	}
	baseline := e.service.scale.baseline(res.Kind)
	return res.Reason == cuminstair.ReasonDeadline && baseline > 0 && res.Latency.Seconds() > baseline
}

// recordLatency updates the factors by which the limits of the service and of the instance differ from the declared
// slots. All instances of the service are updated only when its factor changes, at most once in each window of samples.
func (r *Router) recordLatency(now time.Time, e *entry, res cuminstair.Result) {
	load := float64(e.load()) / float64(e.limit)
	relative := e.service.scale.observe(now, res.Kind, res.Latency, load)
	if e.share.observe(relative/e.service.scale.slowdown(), load) {
		e.limit = e.limitOf(e.service.factor)
	}
	if v := e.service.scale.effectiveFactor(now); v != e.service.factor {
		e.service.factor = v
		r.updateLimits(e.service)
	}
}

// Loads implements cuminstair.Router.
func (r *Router) Loads() []cuminstair.Load {
	var loads []cuminstair.Load
	for _, e := range r.entries {
		if e != nil && e.host.own > 0 && e.host.entries[0] == e { // once for each host
			loads = append(loads, cuminstair.Load{Host: e.host.name, Inflight: e.host.own})
		}
	}
	return loads
}

// Capacity implements cuminstair.Router. It returns the credits, or more if other daemons leave capacity unused. In each
// round of reports this daemon takes an equal share of the free capacity, so that daemons whose load grows at the same
// time do not take the same capacity twice. The result falls as soon as peers report more requests in flight, also below
// the number of requests that this daemon has in flight.
func (r *Router) Capacity(service string) int {
	s := r.services[service]
	if s == nil {
		return 0
	}
	if s.total == 0 {
		// Only hosts in probation: one request at a time, so that they can pass the probation.
		return min(len(s.sets[setProbation]), 1)
	}
	free := int(lendShare*float64(s.total)) - s.ownAtRound - s.remote
	if free > 0 {
		free /= max(r.live, 1)
	}
	return min(max(s.credits, s.ownAtRound+free), s.total)
}

// choose returns the upstream for the next request, or nil.
func (r *Router) choose(s *service, avoid *entry) *entry {
	s.picks++
	if s.picks%probationEvery == 0 || s.total == 0 {
		if e := r.draw(s.sets[setProbation], setProbation, avoid); e != nil && e.load() == 0 {
			return e
		}
	}
	for set := setOwned; set < setFull; set++ {
		if e := r.lessLoaded(s, set, avoid); e != nil {
			return e
		}
	}
	e := r.lessLoaded(s, setFull, avoid)
	if e == nil || (e.up.Conns > 0 && e.load() >= e.up.Conns) {
		return nil
	}
	return e
}

// lessLoaded returns the less loaded of two random members of a set.
func (r *Router) lessLoaded(s *service, set int, avoid *entry) *entry {
	a := r.draw(s.sets[set], set, avoid)
	b := r.draw(s.sets[set], set, avoid)
	if a == nil || a == b {
		return a
	}
	if b.load()*a.limit < a.load()*b.limit {
		return b
	}
	return a
}

// draw returns a random member of a set, except avoid, or nil.
func (r *Router) draw(members []*entry, set int, avoid *entry) *entry {
	n := len(members)
	skip := n
	if avoid != nil && avoid.set == set {
		skip = avoid.pos
		n--
	}
	if n <= 0 {
		return nil
	}
	r.examined++
	i := r.Rand.IntN(n)
	if i >= skip {
		i++
	}
	return members[i]
}

// find returns the instance of a service on a host, or nil.
func (r *Router) find(s *service, name string) *entry {
	if name == "" {
		return nil
	}
	h := r.hosts[name]
	if h == nil {
		return nil
	}
	for _, e := range h.entries {
		if e.service == s {
			return e
		}
	}
	return nil
}
