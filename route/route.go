// Package route chooses an upstream for each request. Each daemon owns a part of the limit of each instance, its credits,
// and uses them first; beyond them it takes places that the reports of its peers show as free. Among the instances that
// qualify it takes the less loaded of two random ones. A Router is not safe for concurrent use.
package route

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
)

var _ cuminstair.Router = (*Router)(nil)

// trialEvery is how many picks of a service pass between two requests for upstreams in probation.
const trialEvery = 32

// Router implements cuminstair.Router. Exported fields are set before the first call.
type Router struct {
	// Centre is the own data centre; upstreams of others are never picked, since work for them goes through their own
	// daemons. Empty picks from all.
	Centre string
	// Rand draws the candidates. It is required.
	Rand *rand.Rand

	live     int // daemons that share the upstreams
	self     int // position of this daemon among them
	hosts    map[string]*host
	services map[string]*service
	entries  []*entry // by Pick.Index; nil where free
	free     []int    // free positions of entries
	gen      uint64   // last value of entry.gen
	peers    map[string][]cuminstair.Load
	lead     string // the peer whose next report starts a new round of reports
	looked   uint64 // upstreams looked at by Pick since the start
}

// SetLive sets how many live daemons of the own data centre share its upstreams, this one included, and the position of
// this one in the sorted list of them, from 0. Until it is called the daemon owns all slots.
func (r *Router) SetLive(n, self int) {
	r.live, r.self = max(n, 1), self
	for _, e := range r.entries {
		if e != nil {
			e.place()
		}
	}
}

// Pick implements cuminstair.Router. Its work does not depend on the number of upstreams and it allocates nothing.
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
	e.place()
	return cuminstair.Pick{Upstream: e.up, Reason: cuminstair.ReasonLocal, Index: e.index, Epoch: e.gen}
}

// Release implements cuminstair.Router. A pick that was released already or that picked nothing is ignored as far as
// that can be seen, so that a count never drops below zero.
func (r *Router) Release(now time.Time, p cuminstair.Pick, res cuminstair.Result) {
	if p.Upstream == nil || p.Index < 0 || p.Index >= len(r.entries) {
		return
	}
	e := r.entries[p.Index]
	if e == nil || e.gen != p.Epoch || e.own == 0 {
		return
	}
	if e.timed(res) {
		r.learn(now, e, res)
	}
	e.own--
	e.host.own--
	e.service.own--
	if e.gone && e.own == 0 {
		r.drop(e)
		return
	}
	e.place()
}

// timed reports whether the latency of a result tells something. A request that ran into its deadline took at least that
// long; without these the latency would seem bounded. Below the usual latency it says nothing: such a request was cut
// short, as when its caller left.
func (e *entry) timed(res cuminstair.Result) bool {
	if res.Outcome == cuminstair.OutcomeDone {
		return res.Latency > 0
	}
	usual := e.service.scale.usual(res.Kind)
	return res.Reason == cuminstair.ReasonDeadline && usual > 0 && res.Latency.Seconds() > usual
}

// learn takes the latency of a request. Only when the factor of the service changes, which is at most once in each window
// of samples, all its instances are placed anew.
func (r *Router) learn(now time.Time, e *entry, res cuminstair.Result) {
	load := float64(e.load()) / float64(e.limit)
	relative := e.service.scale.observe(now, res.Kind, res.Latency, load)
	if e.share.observe(relative/e.service.scale.slowness(), load) {
		e.limit = e.limitOf(e.service.value)
	}
	if v := e.service.scale.value(now); v != e.service.value {
		e.service.value = v
		r.scaled(e.service)
	}
}

// Loads implements cuminstair.Router.
func (r *Router) Loads() []cuminstair.Load {
	var loads []cuminstair.Load
	for _, e := range r.entries {
		if e != nil && e.host.own > 0 && e.host.entries[0] == e {
			loads = append(loads, cuminstair.Load{Host: e.host.name, Inflight: e.host.own})
		}
	}
	return loads
}

// Capacity implements cuminstair.Router: the credits, or more if others leave places unused. Of what the reports show
// as free the daemon takes one part for each live daemon in a round of reports, so that daemons that grow at the same
// time do not take the same places twice; what it took too much it gives back at once.
func (r *Router) Capacity(service string) int {
	s := r.services[service]
	if s == nil {
		return 0
	}
	if s.total == 0 {
		return min(len(s.sets[setTrial]), 1) // only hosts in probation; one at a time, so that they get out of it
	}
	free := int(lendShare*float64(s.total)) - s.ownAt - s.remote
	if free > 0 {
		free /= max(r.live, 1)
	}
	return min(max(s.credits, s.ownAt+free), s.total)
}

// choose returns the upstream for the next request, or nil.
func (r *Router) choose(s *service, avoid *entry) *entry {
	s.picks++
	if s.picks%trialEvery == 0 || s.total == 0 {
		if e := r.draw(s.sets[setTrial], setTrial, avoid); e != nil && e.load() == 0 {
			return e
		}
	}
	for set := setOwned; set < setFull; set++ {
		if e := r.better(s, set, avoid); e != nil {
			return e
		}
	}
	e := r.better(s, setFull, avoid)
	if e == nil || (e.up.Conns > 0 && e.load() >= e.up.Conns) {
		return nil
	}
	return e
}

// better returns the less loaded of two random members of a set.
func (r *Router) better(s *service, set int, avoid *entry) *entry {
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

// draw returns a random member of a set other than avoid, or nil.
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
	r.looked++
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
