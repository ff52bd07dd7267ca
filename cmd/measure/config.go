package main

import (
	"context"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/wave"
)

const (
	day = 24 * time.Hour
	// changesPerDay is the rate of changes that the system is designed for (section 1.8 of docs/design.md).
	changesPerDay = 19000
	// measuredChanges is the number of changes that are measured in each case.
	measuredChanges = 20
	// partitionLength is the length of a partition between regions.
	partitionLength = time.Hour
	// headReadBytes is the size of a read of the head row and its answer, as measured in measureRequestBytes.
	headReadBytes = 583
)

// fleetSizes are numbers of hosts, from a small fleet to fleet.Large, the size that the system is designed for.
var fleetSizes = []int{50, 1232, 7000, 28000}

// configCase is one simulated fleet.
type configCase struct {
	hosts, daemons, rate int // rate is in changes a day
}

// configCost is the cost of distributing the configuration, for one daemon unless stated otherwise.
type configCost struct {
	idle, busy    float64       // bytes a second without and with changes
	mean, slowest time.Duration // from the acceptance of a change until it is in force in all daemons
	sections      float64       // sections installed for each change
	entries       float64       // index entries for each change
	hashed        float64       // manifest entries for each change
	reads         float64       // reads of the head a second
	manifest      int           // entries of the manifest, one for each section
	startBytes    int           // bytes to distribute the first generation
}

// edit makes the i-th change to a fleet. Of ten changes seven are to a host, and one each to a team, a service and a
// wave.
func edit(rng *rand.Rand, f *cuminstair.Fleet, i int) {
	switch i % 10 {
	case 0:
		f.Teams[rng.IntN(len(f.Teams))].Quota.Burst++
	case 1:
		f.Services[rng.IntN(len(f.Services))].Slots++
	case 2:
		w := &f.Waves[rng.IntN(len(f.Waves))]
		w.Hold = !w.Hold
	default:
		f.Hosts[rng.IntN(len(f.Hosts))].Cores++
	}
}

func (c configCase) measure() (configCost, error) {
	f := generate(c.hosts)
	s := newConfigSim(c.daemons, len(f.Centres))
	if err := s.begin(f); err != nil {
		return configCost{}, err
	}
	nodes := float64(c.daemons)
	out := configCost{startBytes: s.bytes() / c.daemons, manifest: len(s.daemons[1].node.Manifest())}
	every := day / time.Duration(c.rate)
	span := (every * measuredChanges).Seconds()
	readsBefore := s.daemons[1].reads
	out.idle = float64(s.run(every*measuredChanges)) / nodes / span
	out.reads = float64(s.daemons[1].reads-readsBefore) / span
	s.accepted = nil
	before := s.daemons[1].node.Work()
	total, gen := 0, uint64(1)
	for i := range measuredChanges {
		edit(s.rng, f, i)
		res, err := s.apply(s.daemons[i%c.daemons], f, gen)
		if err != nil {
			return out, err
		}
		gen = res.Head.Gen
		total += s.run(every)
	}
	s.v.Advance(cuminstair.ForceTarget)
	work := s.daemons[1].node.Work()
	out.busy = float64(total) / nodes / span
	out.sections = float64(work.Sections-before.Sections) / measuredChanges
	out.entries = float64(work.Entries-before.Entries) / measuredChanges
	out.hashed = float64(work.Hashed-before.Hashed) / measuredChanges
	for _, a := range s.accepted {
		out.mean += a.propagation / measuredChanges
		out.slowest = max(out.slowest, a.propagation)
		if a.propagation == 0 {
			out.slowest = day // the generation was not in force in all daemons at the end of the run
		}
	}
	return out, s.err
}

// installCost is the cost for one daemon to put a generation in force after its sections arrived. The steps are those
// of node.Node.install: copy the whole fleet, pass all hosts to the planner and all upstreams of the data centre to
// routing.
type installCost struct {
	fleetCopy, planner, route time.Duration
	allocBytes                uint64        // of the three steps together
	scan                      time.Duration // search for a host in the list, as node.hostView does for each row
}

func costOfInstall(hosts int) (installCost, error) {
	s := newConfigSim(1, 1)
	if err := s.begin(generate(hosts)); err != nil {
		return installCost{}, err
	}
	n := s.daemons[0].node
	p := wave.New("centre1")
	f := n.Base().Fleet
	p.SetFleet(epoch, f)
	var out installCost
	out.allocBytes = allocated(func() {
		out.fleetCopy = wallTime(1, func() { f = n.Base().Fleet })
		out.planner = wallTime(1, func() { p.SetFleet(epoch, f) })
		out.route = wallTime(1, func() { routerOf(f, "centre1") })
	})
	out.fleetCopy = wallTime(3, func() { f = n.Base().Fleet })
	out.planner = wallTime(3, func() { p.SetFleet(epoch, f) })
	out.route = wallTime(3, func() { routerOf(f, "centre1") })
	middle := f.Hosts[hosts/2].Name
	out.scan = wallTime(5, func() {
		for range 100 {
			scan(f, middle)
		}
	}) / 100
	return out, nil
}

// scan returns the pool of a host, which it finds by a linear search through all hosts.
func scan(f *cuminstair.Fleet, name string) string {
	for i := range f.Hosts {
		if f.Hosts[i].Name == name {
			return f.Hosts[i].Pool
		}
	}
	return ""
}

func measureConfig(_ context.Context, r *report) error {
	cases := []configCase{}
	for _, h := range fleetSizes {
		cases = append(cases, configCase{h, 21, changesPerDay})
	}
	for _, rate := range []int{1000, 5000, 100000} {
		cases = append(cases, configCase{7000, 21, rate})
	}
	for _, daemons := range []int{9, 50, 100, 280} {
		cases = append(cases, configCase{1232, daemons, changesPerDay})
	}
	var rows [][]string
	for _, c := range cases {
		out, err := c.measure()
		if err != nil {
			return err
		}
		if c.hosts == 28000 || c.daemons == 280 {
			r.record("config bytes", c.daemons, out.busy)
		}
		rows = append(rows, cells(c.hosts, c.daemons, c.rate, out.manifest, out.idle, out.busy, out.mean.Round(time.Millisecond),
			out.slowest.Round(time.Millisecond), out.sections, out.entries, out.hashed, out.reads, out.startBytes/1000))
	}
	r.table("configuration of one daemon, sent and received", []string{
		"hosts", "daemons", "changes/day", "sections", "idle B/s", "B/s", "in force mean", "most", "sections/change", "entries/change",
		"hashed/change", "head reads/s", "start KB",
	}, rows)
	rows = nil
	for _, h := range fleetSizes {
		c, err := costOfInstall(h)
		if err != nil {
			return err
		}
		share := 100 * (c.fleetCopy + c.planner + c.route).Seconds() * changesPerDay / day.Seconds()
		r.record("install core", h, share)
		us := time.Microsecond
		rows = append(rows, cells(h, c.fleetCopy.Round(us), c.planner.Round(us), c.route.Round(us), float64(c.allocBytes)/1e6, share,
			c.scan.Round(us), (c.scan*time.Duration(h)).Round(time.Millisecond)))
	}
	r.table("putting one generation in force in one daemon", []string{
		"hosts", "copy of the fleet" + wall, "planner" + wall, "routing" + wall, "allocated MB", "% of a core at 19,000 a day" + wall,
		"search of a host" + wall, "for all rows at the start" + wall,
	}, rows)
	measureStart(r)
	return measurePartition(r)
}

// measureStart computes how long a daemon takes to start if it can reach only the platform, from which it reads each
// section as an object.
func measureStart(r *report) {
	var rows [][]string
	for _, h := range fleetSizes {
		sections := fleet.Split(generate(h))
		bytes := 0
		for _, s := range sections {
			bytes += len(s.Data)
		}
		reads := len(sections) + 1 // one read for each section and one for the manifest
		wait := max(0, float64(reads-tables.DefaultBurst)/tables.DefaultReads)
		rows = append(rows, cells(h, reads, bytes/1000, wait))
	}
	r.table("start with only the platform reachable, by the read rate of the client (computed)", []string{"hosts", "object reads", "KB", "seconds"}, rows)
}

// measurePartition measures the answer of a peer to a daemon that missed some generations, and extrapolates it to a
// partition of partitionLength.
func measurePartition(r *report) error {
	f := generate(28000)
	s := newConfigSim(1, 1)
	if err := s.begin(f); err != nil {
		return err
	}
	n := s.daemons[0].node
	var rows [][]string
	var xs, ys []float64
	missed := 0
	for _, target := range []int{5, 10, 20, 40} {
		for ; missed < target; missed++ {
			edit(s.rng, f, missed)
			if _, err := s.apply(s.daemons[0], f, n.Head().Gen); err != nil {
				return err
			}
		}
		bytes := len(rollout.Encode(n.Serve(rollout.Request{After: 1})))
		rows = append(rows, cells(missed, bytes))
		xs, ys = append(xs, float64(missed)), append(ys, float64(bytes))
	}
	r.table("answer of a peer to a daemon that missed generations, 28,000 hosts", []string{"missed", "bytes"}, rows)
	l := fit(xs, ys)
	hour := changesPerDay * partitionLength.Hours() / day.Hours()
	r.printf("an hour's cut at 19,000 changes a day: %.0f generations, %.0f KB (extrapolated from 5..40; repeated sections make it less)\n",
		hour, (l.intercept+l.slope*hour)/1000)
	return nil
}
