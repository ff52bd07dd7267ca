package main

import (
	"fmt"
	"time"
)

const (
	lossHosts = 28000
	// lossDown is the availability budget of the services.
	lossDown = 0.05
	// centreRacks is a data centre of 4,000 hosts in racks of 4.
	centreRacks = 1000
	lossRun     = time.Minute
	// repairRun is above wave.RepairAfter, after which the platform is asked to replace the hosts.
	repairRun = 11 * time.Minute
)

// measureLoss runs all controls through the loss of a rack and that of a data centre.
func measureLoss(r *report) error {
	f := maintained(lossHosts, waveLimit)
	for i := range f.Services {
		f.Services[i].Budget.Down = lossDown
	}
	s := newControlSim(f, 0)
	s.v.Advance(tableWarm)
	s.reset()
	var rows [][]string
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("a minute of the wave"))
	s.platform.FailRack("centre2", "r0001")
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("rack of 4 lost, a minute"))
	for i := range centreRacks {
		s.platform.FailRack("centre3", fmt.Sprintf("r%04d", i+1))
	}
	s.v.Advance(lossRun)
	rows = append(rows, s.phase("data centre lost, a minute"))
	s.v.Advance(repairRun)
	rows = append(rows, s.phase("the 11 minutes after it"))
	r.table(fmt.Sprintf("controls of 7 data centres, %d hosts, budget %.0f%%, wave limit %d", lossHosts, 100*lossDown, waveLimit), []string{
		"phase", "maintained so far", "commits", "rows", "actions", "commits of centre3", "actions of centre3", "unavailable in centre3",
	}, rows)
	return s.err
}

// phase returns what happened since the last phase and sets the counts to zero.
func (s *controlSim) phase(name string) []string {
	commits, rows, _, acts, _ := s.sum()
	third := s.controls[2]
	unavailable := 0
	for _, a := range third.Budgets() {
		if a.Centre == third.Centre {
			unavailable += a.Unavailable
		}
	}
	out := cells(name, s.done(len(s.controls)), commits, rows, acts, third.commits, third.acts, unavailable)
	s.reset()
	return out
}
