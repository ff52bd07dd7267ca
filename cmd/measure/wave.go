package main

import (
	"context"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/wave"
)

// planCost is the cost of the planner of one data centre.
type planCost struct {
	build  time.Duration // of SetFleet and SetHost for all hosts
	decide time.Duration // of Decide while a wave runs
	held   time.Duration // of Decide while the wave is held
	scopes float64       // budget scopes updated for each row of a host
}

// planFleet returns a fleet in 7 data centres with one wave over all its pools.
func planFleet(hosts, pools int) *cuminstair.Fleet {
	size := fleet.Size{Hosts: hosts, Pools: pools, Teams: 10, Centres: 7, Regions: 3, Rack: 4}
	f := fleet.Generate(rand.New(rand.NewPCG(1, 1)), size)
	w := f.Waves[0]
	w.Hold, w.Limit, w.Pools = false, waveLimit, nil
	for _, p := range f.Pools {
		w.Pools = append(w.Pools, p.Name)
	}
	f.Waves = []cuminstair.Wave{w}
	return f
}

func costOfPlan(hosts, pools int) planCost {
	f := planFleet(hosts, pools)
	var p *wave.Planner
	c := planCost{}
	c.build = wallTime(1, func() {
		p = wave.New("centre1")
		p.SetFleet(epoch, f)
		for i := range f.Hosts {
			h := &f.Hosts[i]
			p.SetHost(epoch, h.Centre, h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
		}
	})
	p.SetWave(f.Waves[0].Name, wave.Wave{State: wave.Running})
	p.Decide(epoch)
	now := epoch
	c.decide = wallTime(10, func() {
		now = now.Add(time.Second)
		p.Decide(now)
	})
	before := p.Budgets.Updates
	for i := range 100 {
		h := &f.Hosts[i*hosts/100]
		p.SetHost(now, h.Centre, h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostLeaving, Goal: wave.GoalOperatorDrain})
		p.SetHost(now, h.Centre, h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
	}
	c.scopes = float64(p.Budgets.Updates-before) / 200
	p.SetWave(f.Waves[0].Name, wave.Wave{State: wave.Held})
	c.held = wallTime(10, func() {
		now = now.Add(time.Second)
		p.Decide(now)
	})
	return c
}

func measureWave(_ context.Context, r *report) error {
	var rows [][]string
	for _, x := range [][2]int{{50, 5}, {1232, 45}, {7000, 45}, {28000, 45}, {28000, 10}, {28000, 90}} {
		c := costOfPlan(x[0], x[1])
		rows = append(rows, cells(x[0], x[1], c.build.Round(time.Microsecond), c.decide.Round(time.Microsecond),
			c.held.Round(time.Microsecond), c.scopes, 100*c.decide.Seconds()))
	}
	r.table("planner of one of 7 data centres", []string{
		"hosts", "pools", "build" + wall, "Decide in a wave" + wall, "Decide held" + wall, "scopes/row", "% of a core at 1/s" + wall,
	}, rows)
	if err := measureDays(r); err != nil {
		return err
	}
	return measureLoss(r)
}
