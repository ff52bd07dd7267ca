package dispatch_test

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// step runs the next event.
func (s *simulation) step() {
	e := s.queue.next()
	s.now = e.at
	e.fn()
}

// planFaults plans bursts of faults. Faults of a burst come within seconds, so that they meet.
func (w *walk) planFaults() {
	s := w.sim
	quiet := s.chance(0.1)
	for at := s.between(2*time.Second, 5*time.Second); at < walkFaults && !quiet; at += s.between(time.Second, 7*time.Second) {
		for range 1 + s.rand.IntN(6) {
			s.after(at+s.between(0, 3*time.Second), w.fault)
		}
	}
}

// fault injects a random fault.
func (w *walk) fault() {
	if w.healed {
		return
	}
	switch n := w.sim.rand.IntN(100); {
	case n < 30:
		w.workerFault()
	case n < 55:
		w.networkFault()
	case n < 68:
		w.storeFault()
	default:
		w.daemonFault()
	}
}

// liveProcesses returns the workers that are alive.
func (w *walk) liveProcesses() []*process {
	var list []*process
	for _, h := range w.hosts {
		if h.proc != nil {
			list = append(list, h.proc)
		}
	}
	return list
}

func (w *walk) workerFault() {
	s := w.sim
	list := w.liveProcesses()
	if len(list) <= walkWorkers {
		w.addHost(0)
		return
	}
	p := list[s.rand.IntN(len(list))]
	h, id := p.host, p.info.ID
	switch n := s.rand.IntN(100); {
	case n < 35: // it restarts under the same id
		w.crash(p)
		if s.chance(0.5) {
			w.setPhase(h, cuminstair.PhaseDown, "s")
		}
		w.unregister(p, s.between(time.Second, 3*time.Second))
		w.counts.restarts++
		w.drawKind(h)
		s.after(s.between(30*time.Millisecond, 4*time.Second), func() { w.startIfFree(h, id) })
	case n < 50: // another worker replaces it
		w.crash(p)
		if s.chance(0.5) {
			w.setPhase(h, cuminstair.PhaseDown, "s")
		}
		w.unregister(p, s.between(time.Second, 3*time.Second))
		s.after(s.between(300*time.Millisecond, 4*time.Second), func() { w.startIfFree(h, w.newLife(h)) })
	case n < 60: // its host is down
		w.crash(p)
		w.setPhase(h, cuminstair.PhaseDown, "s")
		w.unregister(p, s.between(time.Second, 3*time.Second))
	case n < 70: // its host moves to another pool
		w.note("platform", "host moves", "worker", id)
		p.die(s.chance(0.5))
		w.setPhase(h, cuminstair.PhaseMoving, "other")
		w.unregister(p, s.between(0, 6*time.Second))
	case n < 80: // it drains
		w.note("platform", "worker drains", "worker", id)
		p.leaving = true
		w.register(p)
		s.after(s.between(2*time.Second, 6*time.Second), func() {
			p.die(true)
			w.unregister(p, s.between(0, 500*time.Millisecond))
			s.after(s.between(time.Second, 4*time.Second), func() { w.startIfFree(h, w.newLife(h)) })
		})
	case n < 92: // its entry is missing for some time
		w.note("platform", "entry removed", "worker", id, "alive", true)
		p.unlisted = true
		delete(w.entries, id)
		s.after(s.between(300*time.Millisecond, 8*time.Second), func() {
			p.unlisted = false
			w.register(p)
		})
	default:
		w.addHost(0)
	}
}

func (w *walk) crash(p *process) {
	w.counts.crashes++
	w.note("platform", "worker crashes", "worker", p.info.ID, "runs", len(p.runs), "ends", len(p.ends))
	p.die(w.sim.chance(0.5))
}

func (w *walk) startIfFree(h *modelHost, id string) {
	if h.proc == nil {
		w.startProcess(h, id)
	}
}

// disturb disturbs the path from a daemon.
func (w *walk) disturb(d *daemon, to string, mode linkMode, t time.Duration) {
	w.links[pair{d.name, to}] = link{mode: mode, until: w.sim.now.Add(t)}
}

func (w *walk) networkFault() {
	s := w.sim
	mode := []linkMode{linkCut, linkCut, linkAnswersLost, linkHeld}[s.rand.IntN(4)]
	t := s.between(300*time.Millisecond, 9*time.Second)
	d := w.daemons[s.rand.IntN(len(w.daemons))]
	switch n := s.rand.IntN(10); {
	case n < 4:
		c := s.rand.IntN(walkCentres)
		if s.chance(0.3) {
			t = s.between(8*time.Second, 16*time.Second) // longer than an owner gives orders without the store
		}
		w.cutCentres[c] = s.now.Add(t)
		w.note("network", "data centre cut off", "centre", c, "for", t)
	case n < 6: // one worker, for all daemons or one
		h := w.hosts[s.rand.IntN(len(w.hosts))]
		all := s.chance(0.4)
		for _, x := range w.daemons {
			if all || x == d {
				w.disturb(x, h.addr, mode, t)
			}
		}
		w.note("network", "path to a host disturbed", "daemon", d.name, "all", all, "host", h.name, "mode", mode, "for", t)
	case n < 9: // some workers
		for _, h := range w.hosts {
			if s.chance(0.5) {
				w.disturb(d, h.addr, mode, t)
				w.note("network", "path to a host disturbed", "daemon", d.name, "host", h.name, "mode", mode, "for", t)
			}
		}
	default: // the other daemons
		for _, x := range w.daemons {
			w.disturb(d, x.name, linkCut, t)
			w.disturb(x, d.name, linkCut, t)
		}
		w.note("network", "daemon cut off from the others", "daemon", d.name, "for", t)
	}
}

func (w *walk) storeFault() {
	s := w.sim
	mode := []linkMode{linkCut, linkAnswersLost, linkHeld, linkRefused, linkRefused}[s.rand.IntN(5)]
	t := s.between(200*time.Millisecond, 7*time.Second)
	all := s.chance(0.3)
	d := w.daemons[s.rand.IntN(len(w.daemons))]
	if o := w.owner(); o != nil && s.chance(0.5) {
		d = o
	}
	for _, x := range w.daemons {
		if all || x == d {
			w.disturb(x, "store", mode, t)
		}
	}
	w.note("network", "path to the store disturbed", "daemon", d.name, "all", all, "mode", mode, "for", t)
}

// owner returns a daemon that runs the service, or nil.
func (w *walk) owner() *daemon {
	if r := w.anyRunner(); r != nil {
		return r.d
	}
	return nil
}

func (w *walk) daemonFault() {
	s := w.sim
	d := w.daemons[s.rand.IntN(len(w.daemons))]
	if o := w.owner(); o != nil && s.chance(0.7) {
		d = o
	}
	switch n := s.rand.IntN(100); {
	case n < 20:
		d.kill()
		s.after(s.between(100*time.Millisecond, 4*time.Second), d.boot)
	case n < 27:
		w.note("daemons", "all killed")
		for _, x := range w.daemons {
			x.kill()
			s.after(s.between(100*time.Millisecond, 3*time.Second), x.boot)
		}
	case n < 42:
		d.freeze(s.between(200*time.Millisecond, 9*time.Second))
	case n < 62:
		if r := d.runner; r != nil && d.alive && !d.frozen && !r.releasing {
			r.handOver()
			if s.chance(0.3) { // the daemon ends after its release
				run := d.run
				r.onEnd = append(r.onEnd, func() {
					s.after(s.between(0, 300*time.Millisecond), func() {
						if d.run == run {
							d.kill()
							s.after(s.between(100*time.Millisecond, 2*time.Second), d.boot)
						}
					})
				})
			}
		}
	default: // other daemons take over one after the other
		at := time.Duration(0)
		for range 1 + s.rand.IntN(3) {
			x := w.daemons[s.rand.IntN(len(w.daemons))]
			s.after(at, func() { x.snatch(5) })
			at += s.between(50*time.Millisecond, 4*time.Second)
		}
	}
}

// snatch makes a daemon take the service over although its owner may be alive.
func (d *daemon) snatch(tries int) {
	if tries == 0 || !d.alive || d.runner != nil || d.taking {
		return
	}
	d.do(d.run, func() {
		d.read(func() {
			for _, x := range d.w.daemons {
				if r := x.runner; r != nil {
					r.offeredAt = x.now() // an owner that is not silent loses the service only by its own offer
				}
			}
			d.takeOver()
			d.after(100*time.Millisecond, func() { d.snatch(tries - 1) })
		})
	})
}

// heal ends all faults.
func (w *walk) heal() {
	w.healed = true
	w.note("check", "all faults end")
	clear(w.links)
	clear(w.cutCentres)
	for _, d := range w.daemons {
		d.boot()
		d.thaw()
	}
	for _, h := range w.hosts {
		w.sim.after(w.sim.between(0, 6*time.Second), func() { w.startIfFree(h, w.newLife(h)) })
	}
	w.restoreHosts()
	w.sim.after(12*time.Second, w.cancelLasting)
}

// restoreHosts adds hosts of each label and of the sizes that there were at the start, since jobs may need them.
func (w *walk) restoreHosts() {
	if w.kinds == nil {
		return
	}
	for _, h := range slices.Clone(w.hosts) {
		if h.cpu < h.first {
			w.addHost(h.first)
		}
	}
	for range 2 * walkLabels {
		w.addHost(largeHost)
	}
}

// cancelLasting cancels the jobs with long-running tasks, which would not end otherwise.
func (w *walk) cancelLasting() {
	for _, j := range w.list {
		if j.spec.Steps[0].LongRunning && !j.cancelSent && (j.accepted || w.forwarded && j.mayBeAccepted()) {
			w.cancel(j)
		}
	}
	if w.forwarded { // a job may be accepted late
		w.sim.after(5*time.Second, w.cancelLasting)
	}
}
