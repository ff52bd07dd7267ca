package plan

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/control"
	"cuminstair.org/cuminstair/standin/table"
)

// daemon models an entry daemon: its controller and its requests in flight.
type daemon struct {
	p             *Player
	name          string
	centre        string
	boots         int
	live          bool
	paused        bool
	pauseInCommit bool // pause in the next commit of host rows
	control       *control.Control
	states        map[string]cuminstair.HostState // as passed to routing
	pools         map[string]string
	busy          map[string]time.Time // host: end of the last request in flight
}

func (p *Player) addDaemon(name, centre string) {
	d := &daemon{p: p, name: name, centre: centre}
	p.daemons = append(p.daemons, d)
	p.service.AddHosts(table.Host{Name: name, Centre: centre, Rack: name, Role: "entry"})
	d.boot()
}

// register writes the row of the process, as package node does before the daemon accepts requests.
func (d *daemon) register() {
	key := "entry/" + d.name
	value, _ := json.Marshal(map[string]any{"centre": d.centre, "start": d.boots}) // can't fail for a string and an int
	// The commit fails while the platform is down. The daemon is then listed only in the platform's host list.
	_, _ = d.p.commit(cuminstair.Commit{ID: fmt.Sprint(key, "/", d.boots), Puts: []cuminstair.Put{{Key: key, Value: value}}})
}

// deregister deletes the row of the process at a planned stop.
func (d *daemon) deregister() {
	key := "entry/" + d.name
	_, _ = d.p.commit(cuminstair.Commit{ID: fmt.Sprint(key, "/stop/", d.boots), Deletes: []string{key}})
}

// boot starts a process of the daemon.
func (d *daemon) boot() {
	p := d.p
	d.boots++
	d.register()
	d.live, d.paused, d.pauseInCommit = true, false, false
	d.states, d.pools, d.busy = map[string]cuminstair.HostState{}, map[string]string{}, map[string]time.Time{}
	l := &link{d: d, boot: d.boots}
	d.control = &control.Control{
		Centre: d.centre, Self: d.name, Boot: fmt.Sprint(d.boots), Table: l, Hosts: l, Peers: l, Tasks: l, Recorder: l,
		Timer: p.clock, Rand: rand.New(rand.NewPCG(p.rand.Uint64(), 2)), Idle: d.idle,
		OnHostState:  func(host string, state cuminstair.HostState) { d.states[host] = state },
		OnPoolChange: func(host, pool string) { d.pools[host] = pool },
	}
	d.control.SetFleet(p.fleet)
	p.spawn(d, d.stepLoop)
	p.spawn(d, d.jobLoop)
}

// stepLoop does the same as Control.Run in virtual time.
func (d *daemon) stepLoop() {
	for c, ok := d.control, true; ok; {
		c.Step(context.Background())
		if pause := control.FollowTick; !c.Holding() {
			ok = d.p.wait(pause)
		} else {
			ok = d.p.wait(control.Tick)
		}
	}
}

func (d *daemon) jobLoop() {
	c := d.control
	for d.p.wait(control.JobTick) {
		c.StepJobs(context.Background())
	}
}

func (d *daemon) running() bool { return d.live && !d.paused }

// kill ends the process at once; its requests in flight are lost.
func (d *daemon) kill() {
	d.live, d.paused = false, false
	clear(d.busy)
	d.p.drop(func(t *coroutine) bool { return t.daemon == d })
	d.p.service.FailHost(d.name)
}

// stop releases the lease, deletes the row of the process and ends the process.
func (d *daemon) stop() {
	d.p.drop(func(t *coroutine) bool { return t.daemon == d })
	d.p.spawn(d, func() {
		d.control.StepDown(context.Background())
		d.deregister()
		d.live = false
		clear(d.busy)
		d.p.service.FailHost(d.name)
	})
}

// idle reports whether the daemon sends no new requests to a host and has none in flight there.
func (d *daemon) idle(host string) bool {
	return d.states[host] != cuminstair.HostActive && !d.inflight(host)
}

func (d *daemon) inflight(host string) bool { return d.busy[host].After(d.p.clock.Now()) }

// serve sends a request to a host if routing may use the host. The request takes up to maxRequestSeconds. If the host
// is down, serve drops the requests in flight there.
func (d *daemon) serve(h *host, healthy bool) {
	const maxRequestSeconds = 6
	if !d.p.up(h) {
		delete(d.busy, h.Name) // the connections broke
		return
	}
	if h.Centre == d.centre && healthy && d.states[h.Name] == cuminstair.HostActive && !d.p.spare(d.pools[h.Name]) {
		d.busy[h.Name] = d.p.clock.Now().Add(time.Duration(1+d.p.rand.IntN(maxRequestSeconds)) * second)
	}
}

func (p *Player) spare(pool string) bool {
	for _, x := range p.fleet.Pools {
		if x.Name == pool {
			return x.Spare
		}
	}
	return false
}
