package fleettest

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/route"
)

// baseline is the common part of the baseline routers: the instances, the daemon's own requests in flight at each of
// them, and the unavailable hosts.
type baseline struct {
	centre      string
	live        int
	ups         []*cuminstair.Upstream
	inflight    []int
	unavailable map[string]bool
	next        int
}

func (b *baseline) SetUpstreams(_ string, ups []cuminstair.Upstream) {
	b.unavailable = map[string]bool{}
	for _, u := range ups {
		if b.centre == "" || u.Centre == b.centre {
			b.ups = append(b.ups, &u)
			b.inflight = append(b.inflight, 0)
		}
	}
}

func (b *baseline) SetState(host string, s cuminstair.HostState) {
	b.unavailable[host] = s != cuminstair.HostActive
}
func (b *baseline) SetRemote(string, []cuminstair.Load) {}
func (b *baseline) Loads() []cuminstair.Load            { return nil }

func (b *baseline) Release(_ time.Time, p cuminstair.Pick, _ cuminstair.Result) {
	b.inflight[p.Index]--
}

func (b *baseline) newPick(i int) cuminstair.Pick {
	if i < 0 {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	b.inflight[i]++
	return cuminstair.Pick{Upstream: b.ups[i], Index: i, Reason: cuminstair.ReasonLocal}
}

// roundRobin is a baseline that picks the instances in turn regardless of load. Each daemon has an equal share of all
// slots as its capacity.
type roundRobin struct{ baseline }

func (b *roundRobin) Capacity(string) int {
	n := 0
	for _, u := range b.ups {
		if !b.unavailable[u.Host] {
			n += u.Slots
		}
	}
	return n / b.live
}

func (b *roundRobin) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	for range b.ups {
		b.next = (b.next + 1) % len(b.ups)
		if u := b.ups[b.next]; !b.unavailable[u.Host] && u.Host != avoid {
			return b.newPick(b.next)
		}
	}
	return b.newPick(-1)
}

// splitCredits is the alternative routing rule of section 5.3 of docs/design.md: each daemon owns an equal share of the
// slots of each instance, and the remainder of the division is assigned to the daemons in turn.
type splitCredits struct {
	baseline
	self int
}

func (b *splitCredits) credits(i int) int {
	slots := b.ups[i].Slots
	n := slots / b.live
	if (i+b.self)%b.live < slots%b.live {
		n++
	}
	return n
}

func (b *splitCredits) Capacity(string) int {
	n := 0
	for i, u := range b.ups {
		if !b.unavailable[u.Host] {
			n += b.credits(i)
		}
	}
	return n
}

func (b *splitCredits) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	best, room := -1, 0
	for i, u := range b.ups {
		if free := b.credits(i) - b.inflight[i]; !b.unavailable[u.Host] && u.Host != avoid && free > room {
			best, room = i, free
		}
	}
	return b.newPick(best)
}

// Rules returns constructors of the compared routers by name.
func Rules() map[string]func(*rand.Rand, string, int, int) cuminstair.Router {
	return map[string]func(*rand.Rand, string, int, int) cuminstair.Router{
		"round robin": func(_ *rand.Rand, centre string, live, _ int) cuminstair.Router {
			return &roundRobin{baseline{centre: centre, live: live}}
		},
		"split credits": func(_ *rand.Rand, centre string, live, self int) cuminstair.Router {
			return &splitCredits{baseline: baseline{centre: centre, live: live}, self: self}
		},
		"route": func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router {
			r := &route.Router{Centre: centre, Rand: rnd}
			r.SetLive(live, self)
			return r
		},
	}
}
