package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/wave"
)

// memoryCost is the heap that each part of the state of one daemon keeps in use, in bytes.
type memoryCost struct {
	node, fleetCopy, route, health, planner, members int64
}

func (m memoryCost) total() int64 {
	return m.node + m.fleetCopy + m.route + m.health + m.planner + m.members
}

// measureState builds the state of a daemon of the first data centre and returns its heap. Routing and health hold the
// hosts of that data centre, the configuration and the planner those of the whole fleet.
func measureState(hosts, daemons int) (memoryCost, error) {
	var out memoryCost
	var err error
	var sim *configSim
	sim, out.node = heapOf(func() *configSim {
		s := newConfigSim(1, 1)
		err = s.begin(generate(hosts))
		s.platform.Timer, s.platform = nil, nil // the stand-in is not a part of a daemon
		return s
	})
	if err != nil {
		return out, err
	}
	f, bytes := heapOf(func() *cuminstair.Fleet { return sim.daemons[0].node.Base().Fleet })
	out.fleetCopy = bytes
	r, bytes := heapOf(func() *route.Router { return routerOf(f, f.Centres[0].Name) })
	out.route = bytes
	h, bytes := heapOf(func() *health.Monitor { return monitorOf(f, f.Centres[0].Name) })
	out.health = bytes
	p, bytes := heapOf(func() *plannerState { return plannerOf(f) })
	out.planner = bytes
	g, bytes := heapOf(func() *gossiper { return membersOf(daemons) })
	out.members = bytes
	for _, part := range []any{sim, f, r, h, p, g} {
		runtime.KeepAlive(part) // no part is freed while another one is measured
	}
	return out, nil
}

func routerOf(f *cuminstair.Fleet, centre string) *route.Router {
	r := &route.Router{Centre: centre, Rand: rand.New(rand.NewPCG(1, 1))}
	for _, s := range f.Services {
		var ups []cuminstair.Upstream
		for _, h := range f.Hosts {
			if h.Pool == s.Pool && h.Centre == centre {
				ups = append(ups, cuminstair.Upstream{
					Host: h.Name, Service: s.Name, Centre: centre, Rack: h.Rack, Addr: h.Addr, Slots: s.Slots, Conns: s.Conns,
				})
			}
		}
		r.SetUpstreams(s.Name, ups)
	}
	return r
}

func monitorOf(f *cuminstair.Fleet, centre string) *health.Monitor {
	m := &health.Monitor{}
	byPool := map[string][]string{}
	for _, h := range f.Hosts {
		if h.Centre == centre {
			byPool[h.Pool] = append(byPool[h.Pool], h.Name)
			m.Probe(epoch, h.Name, true, false)
			m.Observe(epoch, h.Name, cuminstair.Result{Outcome: cuminstair.OutcomeDone, Latency: 1e6, Kind: "kind1"})
		}
	}
	for _, s := range f.Services {
		m.SetGroup(s.Name, byPool[s.Pool])
	}
	return m
}

// plannerState is the planner, and the versions and pools of all host rows, as control.Control keeps them.
type plannerState struct {
	planner  *wave.Planner
	versions map[string]uint64
	pools    map[string]string
}

func plannerOf(f *cuminstair.Fleet) *plannerState {
	s := &plannerState{planner: wave.New(f.Centres[0].Name), versions: map[string]uint64{}, pools: map[string]string{}}
	s.planner.SetFleet(epoch, f)
	for i, h := range f.Hosts {
		s.planner.SetHost(epoch, h.Centre, h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
		s.versions[wave.HostKey(h.Centre, h.Name)] = uint64(i)
		s.pools[h.Name] = h.Pool
	}
	return s
}

// membersOf returns the membership state of one daemon after it has learned of all others.
func membersOf(daemons int) *gossiper {
	g := newGossip(daemons, 7, memberUpstreams)
	g.v.Advance(memberStart)
	d := g.daemons[g.names[0]]
	return &gossiper{Members: d.Members}
}

func measureMemory(_ context.Context, r *report) error {
	var rows [][]string
	var xs, ys []float64
	for _, h := range []int{1232, 7000, 14000, 28000} {
		m, err := measureState(h, 21)
		if err != nil {
			return err
		}
		mb := func(b int64) float64 { return float64(b) / 1e6 }
		rows = append(rows, cells(h, mb(m.node), mb(m.fleetCopy), mb(m.route), mb(m.health), mb(m.planner), mb(m.members), mb(m.total())))
		r.record("memory", h, mb(m.total()))
		xs, ys = append(xs, float64(h)), append(ys, mb(m.total()))
	}
	r.table("heap of the state of one daemon in MB, after a collection", []string{
		"hosts", "rollout.Node", "fleet copy", "route.Router", "health.Monitor", "wave.Planner and rows", "member.Members", "all",
	}, rows)
	l := fit(xs, ys)
	r.printf("line through all points: %.2f MB and %.2f KB for each host; 64 MB are reached at %.0f hosts\n", l.intercept, 1000*l.slope, (64-l.intercept)/l.slope)
	if l.slope <= 0 {
		return fmt.Errorf("memory does not grow with the hosts: %v", ys)
	}
	return nil
}
