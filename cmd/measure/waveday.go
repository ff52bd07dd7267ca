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
	// daySpan is what is run of a day; the figures are scaled up from it.
	daySpan = 4 * time.Hour
	dayTick = 15 * time.Second
	// dayReboot and dayDrain are how long a host reboots and how long its requests take to end.
	dayReboot  = 4 * time.Minute
	dayDrain   = 30 * time.Second
	dayReplace = 10 * time.Minute
	// failures and targetDay are those of an ordinary day and of maintenance in two weeks (design page, section 1.8).
	failures  = 180
	targetDay = 2000
)

// planDay runs the planners of all data centres through a day in virtual time. Writes take effect at once.
type planDay struct {
	now      time.Time
	fleet    *cuminstair.Fleet
	planners map[string]*wave.Planner
	centres  []string
	hosts    map[string]*dayHost
	busy     map[string]bool // hosts that are not simply active
	writes   int
	err      error
}

type dayHost struct {
	name, centre string
	row          wave.Host
	left, until  time.Time // when it left service, and when it is up again
	act          string
}

func newPlanDay(f *cuminstair.Fleet) *planDay {
	d := &planDay{now: epoch, fleet: f, planners: map[string]*wave.Planner{}, hosts: map[string]*dayHost{}, busy: map[string]bool{}}
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

func (d *planDay) put(name string, row wave.Host) {
	h := d.hosts[name]
	if row.State == cuminstair.HostLeaving && h.row.State == cuminstair.HostActive {
		h.left = d.now
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

// observe tells the planners what checks and the platform's list show about a host.
func (d *planDay) observe(h *dayHost) {
	up := !d.now.Before(h.until)
	state := "live"
	if !up {
		state = "rebooting"
	}
	for _, p := range d.planners {
		p.SetHealthy(d.now, h.name, up)
		p.SetListed(d.now, cuminstair.HostStatus{Name: h.name, Centre: h.centre, Role: "upstream", State: state, Changed: h.until})
	}
	if up && h.row.State == cuminstair.HostActive {
		delete(d.busy, h.name)
	}
}

// step runs one tick of all planners.
func (d *planDay) step() {
	d.now = d.now.Add(dayTick)
	for _, name := range slices.Sorted(maps.Keys(d.busy)) {
		d.observe(d.hosts[name])
	}
	for _, c := range d.centres {
		for range wave.Rounds {
			if !d.round(d.planners[c]) {
				break
			}
		}
	}
}

func (d *planDay) round(p *wave.Planner) bool {
	for _, a := range p.Actions() {
		if h := d.hosts[a.Host]; h.act != a.ID {
			h.act, h.until = a.ID, d.now.Add(dayReboot)
		}
		p.SetActed(a.Host, a.ID)
	}
	for _, name := range p.Asks(d.now) {
		p.SetIdle(name, d.now.Sub(d.hosts[name].left) >= dayDrain)
	}
	plan := p.Decide(d.now)
	for _, c := range plan.Waves {
		p.SetWave(c.Name, c.Row)
	}
	for _, c := range plan.Hosts {
		if c.Row.State == cuminstair.HostRebooting {
			c.Row.Act = fmt.Sprint(c.Name, "/", d.now.Unix())
		}
		d.put(c.Name, c.Row)
	}
	return len(plan.Hosts) > 0
}

// run steps through a span with failures of single hosts at the rate of an ordinary day, each replaced by the platform.
func (d *planDay) run(span time.Duration) (done int) {
	rng := rand.New(rand.NewPCG(1, 8))
	ticks := int(span / dayTick)
	perTick := failures * dayTick.Hours() / day.Hours()
	failed := 0
	for n := range ticks {
		if float64(n)*perTick > float64(failed) {
			failed++
			h := d.hosts[d.fleet.Hosts[rng.IntN(len(d.fleet.Hosts))].Name]
			h.until = d.now.Add(dayReplace)
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

// measureDays runs a wave for a day at several limits, so that its pace at another one can be read off.
func measureDays(r *report) error {
	var rows [][]string
	for _, limit := range []int{2, 4, 8, 16} {
		f := maintained(lossHosts, limit)
		for i := range f.Services {
			f.Services[i].Budget.Down = lossDown
		}
		d := newPlanDay(f)
		scale := day.Hours() / daySpan.Hours()
		done := float64(d.run(daySpan)) * scale
		if d.err != nil {
			return d.err
		}
		if done == 0 {
			return fmt.Errorf("no host of %d was maintained in %s", lossHosts, daySpan)
		}
		rows = append(rows, cells(limit, done, done/targetDay, float64(d.writes)*scale, float64(d.writes)/daySpan.Seconds()))
	}
	r.table(fmt.Sprintf("a day of one wave over all pools of %d hosts, budget %.0f%%, %d failures, scaled up from %s", lossHosts, 100*lossDown, failures, daySpan), []string{
		"wave limit", "hosts maintained", "of the target", "rows written", "rows/s",
	}, rows)
	return nil
}
