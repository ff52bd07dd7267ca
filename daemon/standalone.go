package daemon

import (
	"time"

	"cuminstair.org/cuminstair"
)

var (
	_ cuminstair.Router    = (*RoundRobin)(nil)
	_ cuminstair.Admission = (*Unlimited)(nil)
)

// RoundRobin picks upstreams in round-robin order. It is the default router.
type RoundRobin struct {
	services map[string][]cuminstair.Upstream
	next     map[string]int
	states   map[string]cuminstair.HostState
	inflight map[string]int
}

// SetUpstreams implements cuminstair.Router.
func (r *RoundRobin) SetUpstreams(service string, ups []cuminstair.Upstream) {
	if r.services == nil {
		r.services = map[string][]cuminstair.Upstream{}
		r.next = map[string]int{}
		r.inflight = map[string]int{}
	}
	r.services[service] = ups
}

// SetState implements cuminstair.Router.
func (r *RoundRobin) SetState(host string, state cuminstair.HostState) {
	if r.states == nil {
		r.states = map[string]cuminstair.HostState{}
	}
	r.states[host] = state
}

// SetRemote implements cuminstair.Router; loads of peers are not used.
func (r *RoundRobin) SetRemote(string, []cuminstair.Load) {}

// Pick implements cuminstair.Router.
func (r *RoundRobin) Pick(_ time.Time, service, avoid string) cuminstair.Pick {
	ups := r.services[service]
	for range ups {
		r.next[service] = (r.next[service] + 1) % len(ups)
		u := &ups[r.next[service]]
		if u.Host != avoid && r.active(u.Host) {
			r.inflight[u.Host]++
			return cuminstair.Pick{Upstream: u, Reason: cuminstair.ReasonLocal}
		}
	}
	return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
}

func (r *RoundRobin) active(host string) bool {
	state := r.states[host]
	return state == "" || state == cuminstair.HostActive
}

// Release implements cuminstair.Router.
func (r *RoundRobin) Release(_ time.Time, p cuminstair.Pick, _ cuminstair.Result) {
	r.inflight[p.Upstream.Host]--
}

// Loads implements cuminstair.Router.
func (r *RoundRobin) Loads() []cuminstair.Load {
	var loads []cuminstair.Load
	for host, n := range r.inflight {
		if n > 0 {
			loads = append(loads, cuminstair.Load{Host: host, Inflight: n})
		}
	}
	return loads
}

// Capacity implements cuminstair.Router.
func (r *RoundRobin) Capacity(service string) int {
	n := 0
	for _, u := range r.services[service] {
		if r.active(u.Host) {
			n += u.Slots
		}
	}
	return n
}

// Unlimited admits every request at once. It is the default admission.
type Unlimited struct{}

// Configure implements cuminstair.Admission.
func (*Unlimited) Configure([]cuminstair.Kind) {}

// SetCapacity implements cuminstair.Admission.
func (*Unlimited) SetCapacity(time.Time, int) []*cuminstair.Request { return nil }

// Offer implements cuminstair.Admission.
func (*Unlimited) Offer(time.Time, *cuminstair.Request) cuminstair.Verdict {
	return cuminstair.Verdict{Run: true}
}

// Finish implements cuminstair.Admission.
func (*Unlimited) Finish(time.Time, *cuminstair.Request, cuminstair.Result) []*cuminstair.Request {
	return nil
}

// Cancel implements cuminstair.Admission.
func (*Unlimited) Cancel(time.Time, *cuminstair.Request) bool { return false }

// Expire implements cuminstair.Admission.
func (*Unlimited) Expire(time.Time) []*cuminstair.Request { return nil }
