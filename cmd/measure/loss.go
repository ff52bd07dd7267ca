package main

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair/tables"
)

const (
	lossHosts = 28000
	// lossBudget is the Budget.Down of each service.
	lossBudget = 0.05
	// lossRack is the number of hosts in a rack and centreRacks that of racks in a data centre of 4,000 hosts.
	lossRack    = 20
	centreRacks = 200
	lossRun     = time.Minute
)

// measureLoss measures all controls during a wave, after the loss of a rack, and after the loss of a data centre.
func measureLoss(r *report) error {
	f := fleetWithWave(lossHosts, waveLimit)
	for i := range f.Services {
		f.Services[i].Budget.Down = lossBudget
	}
	for i := range f.Hosts {
		f.Hosts[i].Rack = fmt.Sprintf("r%04d", i/len(f.Centres)/lossRack+1)
	}
	s := newControlSim(f, 0)
	s.v.Advance(tableWarm)
	s.reset()
	var rows [][]string
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("a minute of the wave"))
	s.platform.FailRack("centre2", "r0001")
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("rack of 20 lost, a minute"))
	for i := range centreRacks {
		s.platform.FailRack("centre3", fmt.Sprintf("r%04d", i+1))
	}
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("data centre lost, a minute"))
	r.table(fmt.Sprintf("controls of 7 data centres, %d hosts, budget %.0f%%, wave limit %d", lossHosts, 100*lossBudget, waveLimit), []string{
		"phase", "maintained so far", "commits", "rows", "actions", "commits of centre3", "actions of centre3", "unavailable in centre3",
	}, rows)
	// The requests to replace the hosts of a data centre are sent one by one, at the write rate of the client.
	lost := float64(centreRacks * lossRack)
	r.printf("a data centre's %.0f requests for replacement take %.0f s at %d writes/s (computed)\n",
		lost, (lost-tables.DefaultBurst)/tables.DefaultWrites, tables.DefaultWrites)
	return s.err
}

// phase ends a phase, one of the periods that measureLoss compares. It returns a row with the hosts maintained so far,
// the calls since the end of the previous phase and the unavailable instances of the third data centre, and resets the
// counts.
func (s *controlSim) phase(name string) []string {
	sum := s.total()
	third := s.controls[2]
	unavailable := 0
	for _, a := range third.Budgets() {
		if a.Centre == third.Centre {
			unavailable += a.Unavailable
		}
	}
	out := cells(name, s.maintainedHosts(len(s.controls)), sum.commits, sum.rows, sum.actions, third.commits, third.actions, unavailable)
	s.reset()
	return out
}
