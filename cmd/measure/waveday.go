package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/wave"
)

const (
	// daySpan is the part of a day that is simulated. The figures are scaled up to a day.
	daySpan = 4 * time.Hour
	dayTick = 15 * time.Second // between two steps of the planners
	// A reboot takes dayReboot, the requests of a leaving host end within dayDrain, and the platform replaces a failed
	// host in dayReplace.
	dayReboot  = 4 * time.Minute
	dayDrain   = 30 * time.Second
	dayReplace = 10 * time.Minute
	// failuresPerDay is the number of hosts that fail on an ordinary day. targetPerDay is the number of hosts that must
	// be maintained a day so that maintenance ends in two weeks (section 1.8 of docs/design.md).
	failuresPerDay = 180
	targetPerDay   = 2000
)

// daySim runs the planners of all data centres in virtual time, for a part of a day. Writes take effect at once.
type daySim struct {
	now      time.Time
	fleet    *cuminstair.Fleet
	planners map[string]*wave.Planner
	centres  []string
	hosts    map[string]*dayHost
	busy     map[string]bool // hosts that are down or whose row is not active
	writes   int
	err      error
}

type dayHost struct {
	name, centre     string
	row              wave.Host
	drainStart, upAt time.Time // start of the last drain, and end of the last reboot or replacement
	actionID         string
}

func newDaySim(f *cuminstair.Fleet) *daySim {
	d := &daySim{now: epoch, fleet: f, planners: map[string]*wave.Planner{}, hosts: map[string]*dayHost{}, busy: map[string]bool{}}
	for _, c := range f.Centres {
		p := wave.New(c.Name)
		p.SetFleet(d.now, f)
		d.planners[c.Name], d.centres = p, append(d.centres, c.Name)
	}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		d.hosts[h.Name] = &dayHost{name: h.Name, centre: h.Centre}
		d.put(h.Name, wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
	}
	d.writes = 0
	return d
}

func (d *daySim) put(name string, row wave.Host) {
	h := d.hosts[name]
	if row.State == cuminstair.HostLeaving && h.row.State == cuminstair.HostActive {
		h.drainStart = d.now
	}
	if row.State != cuminstair.HostActive {
		d.busy[name] = true
	}
	h.row = row
	d.writes++
	for _, p := range d.planners {
		p.SetHost(d.now, h.centre, name, row)
	}
}

// observe reports to the planners the health of a host and its state in the platform's list.
func (d *daySim) observe(h *dayHost) {
	up := !d.now.Before(h.upAt)
	state := "live"
	if !up {
		state = "rebooting"
	}
	for _, p := range d.planners {
		p.SetHealthy(d.now, h.name, up)
		p.SetListed(d.now, cuminstair.HostStatus{Name: h.name, Centre: h.centre, Role: "upstream", State: state, Changed: h.upAt})
	}
	if up && h.row.State == cuminstair.HostActive {
		delete(d.busy, h.name)
	}
}

// step advances the clock by one tick and runs all planners.
func (d *daySim) step() {
	d.now = d.now.Add(dayTick)
	for _, name := range slices.Sorted(maps.Keys(d.busy)) {
		d.observe(d.hosts[name])
	}
	for _, c := range d.centres {
		for range wave.MaxRounds {
			if !d.round(d.planners[c]) {
				break
			}
		}
	}
}

func (d *daySim) round(p *wave.Planner) bool {
	for _, a := range p.Actions() {
		if h := d.hosts[a.Host]; h.actionID != a.ID {
			h.actionID, h.upAt = a.ID, d.now.Add(dayReboot)
		}
		p.SetActionAccepted(a.Host, a.ID)
	}
	for _, name := range p.HostsToConfirm(d.now) {
		p.SetIdle(name, d.now.Sub(d.hosts[name].drainStart) >= dayDrain)
	}
	plan := p.Decide(d.now)
	for _, c := range plan.Waves {
		p.SetWave(c.Name, c.Row)
	}
	for _, c := range plan.Hosts {
		if c.Row.State == cuminstair.HostRebooting {
			c.Row.ActionID = fmt.Sprint(c.Name, "/", d.now.Unix())
		}
		d.put(c.Name, c.Row)
	}
	return len(plan.Hosts) > 0
}

// run simulates a span in which single hosts fail at the rate of an ordinary day and are replaced by the platform. It
// returns the number of hosts whose maintenance is complete.
func (d *daySim) run(span time.Duration) (done int) {
	rng := rand.New(rand.NewPCG(1, 8))
	ticks := int(span / dayTick)
	perTick := failuresPerDay * dayTick.Hours() / day.Hours()
	failed := 0
	for n := range ticks {
		if float64(n)*perTick > float64(failed) {
			failed++
			h := d.hosts[d.fleet.Hosts[rng.IntN(len(d.fleet.Hosts))].Name]
			h.upAt = d.now.Add(dayReplace)
			d.busy[h.name] = true
		}
		d.step()
	}
	for _, c := range d.centres {
		for _, w := range d.planners[c].Waves() {
			done += w.Done
		}
	}
	return done
}

// measureDays simulates daySpan of a wave at several limits and scales the figures up to a day, so that the pace at
// other limits can be interpolated.
func measureDays(r *report) error {
	var rows [][]string
	for _, limit := range []int{2, 4, 8, 16} {
		f := fleetWithWave(lossHosts, limit)
		for i := range f.Services {
			f.Services[i].Budget.Down = lossBudget
		}
		d := newDaySim(f)
		scale := day.Hours() / daySpan.Hours()
		done := float64(d.run(daySpan)) * scale
		if d.err != nil {
			return d.err
		}
		if done == 0 {
			return fmt.Errorf("no host of %d was maintained in %s", lossHosts, daySpan)
		}
		rows = append(rows, cells(limit, done, done/targetPerDay, float64(d.writes)*scale, float64(d.writes)/daySpan.Seconds()))
	}
	r.table(fmt.Sprintf("a day of one wave over all pools of %d hosts, budget %.0f%%, %d failures, scaled up from %s", lossHosts, 100*lossBudget, failuresPerDay, daySpan), []string{
		"wave limit", "hosts maintained", "of the target", "rows written", "rows/s",
	}, rows)
	return nil
}
