package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/timer"
	"cuminstair.org/cuminstair/wave"
)

// entriesPerCentre is the number of entry daemons that the platform lists in each data centre.
const entriesPerCentre = 3

// controlSim runs the controls of all data centres against the stand-in of the platform in virtual time. Hosts become
// idle at once, and no reboot or replacement fails.
type controlSim struct {
	v        *timer.Virtual
	platform *table.Service
	controls []*countingControl // first the lease holder of each data centre, then the followers in the first data centre
	centreOf map[string]string
	err      error
}

// countingControl is a control that counts its calls to the platform and to its peers.
type countingControl struct {
	*table.Service
	control.Control
	counts
}

// counts are the calls of a control to the platform and to its peers.
type counts struct {
	reads    int
	commits  int
	rows     int // rows written or deleted
	bytes    int // bytes of the values written
	actions  int // actions on hosts
	confirms int // calls of Confirm, each for one host
}

// Rows implements cuminstair.Table.
func (c *countingControl) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	c.reads++
	return c.Service.Rows(ctx, prefix, since)
}

// Commit implements cuminstair.Table.
func (c *countingControl) Commit(ctx context.Context, commit cuminstair.Commit) (uint64, error) {
	c.commits++
	c.rows += len(commit.Puts) + len(commit.Deletes)
	for _, p := range commit.Puts {
		c.bytes += len(p.Value)
	}
	return c.Service.Commit(ctx, commit)
}

// Hosts implements cuminstair.HostList.
func (c *countingControl) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	c.reads++
	return c.Service.Hosts(ctx)
}

// Act implements cuminstair.HostList.
func (c *countingControl) Act(ctx context.Context, id, host string, action cuminstair.HostAction) error {
	c.actions++
	return c.Service.Act(ctx, id, host, action)
}

// Forward implements cuminstair.Peers.
func (c *countingControl) Forward(context.Context, string, *cuminstair.Message) *cuminstair.Message {
	return &cuminstair.Message{}
}

// Confirm implements cuminstair.Peers.
func (c *countingControl) Confirm(context.Context, []string, string) []string {
	c.confirms++
	return nil
}

// Record implements cuminstair.Recorder.
func (c *countingControl) Record(cuminstair.Decision) {}

// newControlSim starts one control in each data centre, and the given number of followers in the first one.
func newControlSim(f *cuminstair.Fleet, followers int) *controlSim {
	v := timer.NewVirtual(epoch)
	s := &controlSim{v: v, platform: &table.Service{Timer: v}, centreOf: map[string]string{}}
	s.platform.OnHost = func(name, state string) {
		for _, c := range s.controls {
			if c.Centre == s.centreOf[name] {
				c.SetHealthy(name, state == table.StateLive || state == table.StateLeaving)
			}
		}
	}
	for _, h := range f.Hosts {
		s.centreOf[h.Name] = h.Centre
		s.platform.AddHosts(table.Host{Name: h.Name, Centre: h.Centre, Rack: h.Rack, Role: "upstream"})
	}
	for _, c := range f.Centres {
		for i := range entriesPerCentre {
			s.platform.AddHosts(table.Host{Name: fmt.Sprint("entry-", c.Name, "-", i), Centre: c.Name, Role: "entry"})
		}
	}
	s.writeRows(f)
	for i := range len(f.Centres) + followers {
		centre := f.Centres[0].Name
		if i < len(f.Centres) {
			centre = f.Centres[i].Name
		}
		s.add(i, centre, f)
	}
	return s
}

func (s *controlSim) add(i int, centre string, f *cuminstair.Fleet) {
	c := &countingControl{Service: s.platform}
	c.Control = control.Control{
		Centre: centre, Self: fmt.Sprint("entry-", i), Boot: "1", Table: c, Hosts: c, Peers: c, Timer: s.v,
		Rand: rand.New(rand.NewPCG(uint64(i), 5)), Recorder: c,
	}
	c.SetFleet(f)
	s.controls = append(s.controls, c)
	every := control.FollowTick
	if i < len(f.Centres) {
		every = control.Tick
	}
	s.v.Every(every, func(time.Time) { c.Step(context.Background()) })
}

// writeRows writes the rows of all hosts, each active in its pool.
func (s *controlSim) writeRows(f *cuminstair.Fleet) {
	for _, h := range f.Hosts {
		value, err := json.Marshal(wave.Host{Pool: h.Pool, State: cuminstair.HostActive})
		if err == nil {
			put := cuminstair.Put{Key: wave.HostKey(h.Centre, h.Name), Value: value}
			_, err = s.platform.Commit(context.Background(), cuminstair.Commit{ID: "rows/" + h.Name, Puts: []cuminstair.Put{put}})
		}
		if err != nil {
			s.err = fmt.Errorf("write row of host %s: %w", h.Name, err)
		}
	}
}

// reset sets all counts to zero.
func (s *controlSim) reset() {
	for _, c := range s.controls {
		c.counts = counts{}
	}
}

// maintainedHosts returns the number of hosts whose maintenance is complete, in the given number of data centres
// from the first one on.
func (s *controlSim) maintainedHosts(centres int) int {
	n := 0
	for _, c := range s.controls[:centres] {
		for _, w := range c.Waves() {
			n += w.Done
		}
	}
	return n
}

// fleetWithWave returns a fleet with one wave over all its pools. The wave is not held.
func fleetWithWave(hosts, limit int) *cuminstair.Fleet {
	f := generate(hosts)
	w := f.Waves[0]
	w.Hold, w.Limit, w.Pools = false, limit, nil
	for _, p := range f.Pools {
		w.Pools = append(w.Pools, p.Name)
	}
	f.Waves = []cuminstair.Wave{w}
	return f
}
