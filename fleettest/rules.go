package fleettest

import (
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/route"
)

// table is what the baselines have in common: instances, own requests in flight, and which take work.
type table struct {
	centre string
	live   int
	ups    []*cuminstair.Upstream
	own    []int
	out    map[string]bool
	next   int
}

func (b *table) SetUpstreams(_ string, ups []cuminstair.Upstream) {
	b.out = map[string]bool{}
	for _, u := range ups {
		if b.centre == "" || u.Centre == b.centre {
			b.ups = append(b.ups, &u)
			b.own = append(b.own, 0)
		}
	}
}

func (b *table) SetState(host string, s cuminstair.HostState) {
	b.out[host] = s != cuminstair.HostActive
}
func (b *table) SetRemote(string, []cuminstair.Load) {}
func (b *table) Loads() []cuminstair.Load            { return nil }

func (b *table) Release(_ time.Time, p cuminstair.Pick, _ cuminstair.Result) { b.own[p.Index]-- }

func (b *table) take(i int) cuminstair.Pick {
	if i < 0 {
		return cuminstair.Pick{Reason: cuminstair.ReasonNoUpstream}
	}
	b.own[i]++
	return cuminstair.Pick{Upstream: b.ups[i], Index: i, Reason: cuminstair.ReasonLocal}
}

// roundRobin is a baseline: the instances in turn, whatever their load. Its capacity is an equal part of all slots.
type roundRobin struct{ table }

func (b *roundRobin) Capacity(string) int {
	n := 0
	for _, u := range b.ups {
		if !b.out[u.Host] {
			n += u.Slots
		}
	}
	return n / b.live
}

func (b *roundRobin) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	for range b.ups {
		b.next = (b.next + 1) % len(b.ups)
		if u := b.ups[b.next]; !b.out[u.Host] && u.Host != avoid {
			return b.take(b.next)
		}
	}
	return b.take(-1)
}

// splitCredits is the other rule of page 5.3: each daemon owns a part of the slots of each instance, and the places left
// over by the division are dealt out in turn.
type splitCredits struct {
	table
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
		if !b.out[u.Host] {
			n += b.credits(i)
		}
	}
	return n
}

func (b *splitCredits) Pick(_ time.Time, _, avoid string) cuminstair.Pick {
	best, room := -1, 0
	for i, u := range b.ups {
		if free := b.credits(i) - b.own[i]; !b.out[u.Host] && u.Host != avoid && free > room {
			best, room = i, free
		}
	}
	return b.take(best)
}

// Rules are the routing rules that are compared, by name.
func Rules() map[string]func(*rand.Rand, string, int, int) cuminstair.Router {
	return map[string]func(*rand.Rand, string, int, int) cuminstair.Router{
		"round robin": func(_ *rand.Rand, centre string, live, _ int) cuminstair.Router {
			return &roundRobin{table{centre: centre, live: live}}
		},
		"split credits": func(_ *rand.Rand, centre string, live, self int) cuminstair.Router {
			return &splitCredits{table: table{centre: centre, live: live}, self: self}
		},
		"route": func(rnd *rand.Rand, centre string, live, self int) cuminstair.Router {
			r := &route.Router{Centre: centre, Rand: rnd}
			r.SetLive(live, self)
			return r
		},
	}
}
