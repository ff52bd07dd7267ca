package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/route"
)

const (
	service = "service"
	// picks is the number of decisions that are averaged.
	picks = 100_000
)

// routeSizes are numbers of upstreams of one service in one data centre. With 4,000 the service takes up a whole data
// centre.
var routeSizes = []int{50, 250, 1000, 4000}

// countingSource counts the numbers that are drawn from it.
type countingSource struct {
	rand.Source
	draws int
}

func (s *countingSource) Uint64() uint64 {
	s.draws++
	return s.Source.Uint64()
}

// newRouter returns a router with n upstreams in one data centre, which are shared by the given number of live daemons.
func newRouter(n, live int) (*route.Router, *countingSource) {
	src := &countingSource{Source: rand.NewPCG(1, 1)}
	r := &route.Router{Centre: "c", Rand: rand.New(src)}
	r.SetLive(live, 0)
	ups := make([]cuminstair.Upstream, n)
	for i := range ups {
		ups[i] = cuminstair.Upstream{
			Host: fmt.Sprintf("h%05d", i), Service: service, Centre: "c", Rack: fmt.Sprint("r", i/4),
			Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Slots: 8, Conns: 64,
		}
	}
	r.SetUpstreams(service, ups)
	return r, src
}

// routeCost is the cost of one decision, with its release.
type routeCost struct {
	draws  float64 // random numbers drawn
	allocs float64
	took   time.Duration
}

// decide makes count decisions and releases each of them 16 decisions later, so that some slots are taken meanwhile.
func decide(r *route.Router, count int) {
	var open [16]cuminstair.Pick
	done := cuminstair.Result{Outcome: cuminstair.OutcomeDone, Reason: cuminstair.ReasonOK, Latency: time.Millisecond, Kind: "k"}
	for i := range count {
		slot := &open[i%len(open)]
		now := epoch.Add(time.Duration(i) * 100 * time.Microsecond)
		if slot.Upstream != nil {
			r.Release(now, *slot, done)
		}
		*slot = r.Pick(now, service, "")
	}
	for _, p := range open {
		if p.Upstream != nil {
			r.Release(epoch, p, done)
		}
	}
}

func costOfRoute(r *route.Router, src *countingSource) routeCost {
	decide(r, picks/10) // excludes one-time allocations from the figures
	before := src.draws
	allocs := mallocs(func() { decide(r, picks) })
	draws := src.draws - before
	took := wallTime(3, func() { decide(r, picks) })
	return routeCost{draws: float64(draws) / picks, allocs: float64(allocs) / picks, took: took / picks}
}

func measureRoute(_ context.Context, r *report) error {
	var rows [][]string
	var first time.Duration
	for _, n := range routeSizes {
		var src *countingSource
		router, bytes := heapOf(func() *route.Router {
			var router *route.Router
			router, src = newRouter(n, 1)
			return router
		})
		c := costOfRoute(router, src)
		if first == 0 {
			first = c.took
		}
		rows = append(rows, cells(n, c.draws, c.allocs, c.took, float64(c.took)/float64(first), bytes/int64(n)))
	}
	r.table("one decision with its release, one service in one data centre", []string{
		"upstreams", "random draws", "allocations", "time" + wall, "ratio to first" + wall, "heap bytes/upstream",
	}, rows)
	return nil
}
