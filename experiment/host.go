package experiment

import (
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// sparePool is the name of the pool of hosts that are switched off.
const sparePool = "spare"

// host is a host and the worker that runs on it.
type host struct {
	name   string
	size   hostSize
	centre string
	rack   string
	pool   string // the new one while it moves
	phase  cuminstair.HostPhase
	worker *worker // nil: none
}

// placeHosts creates the hosts of all pools.
func (s *sim) placeHosts() {
	l := s.day.load
	for i := range l.Queues {
		s.placePool(l.Queues[i].Name, l.Queues[i].Hosts)
	}
	s.placePool(sparePool, l.Spare)
	for _, h := range s.hosts {
		s.hostByName[h.name] = h
		s.boot(h)
	}
}

// placePool creates the hosts of a pool, spread over the data centres in turn and there over racks.
func (s *sim) placePool(pool string, hosts int) {
	l := s.day.load
	for n := range hosts {
		i := len(s.hosts)
		centre := l.Centres[n%len(l.Centres)]
		s.hosts = append(s.hosts, &host{
			name: fmt.Sprintf("h%05d", i), size: s.day.hosts[i], centre: centre, pool: pool, phase: cuminstair.PhaseUp,
			rack: fmt.Sprintf("%s-%s-%d", pool, centre, n/len(l.Centres)/l.Host.Rack),
		})
	}
}

// boot starts a worker on a host that is up, unless the host is switched off.
func (s *sim) boot(h *host) {
	if h.pool == sparePool {
		return
	}
	s.workers++
	w := &worker{
		sim: s, host: h, startedAt: s.now, runs: map[cuminstair.TaskID]*run{}, barred: map[cuminstair.TaskID]int64{},
		unreachable: s.cutCentre == h.centre,
	}
	w.info = cuminstair.WorkerInfo{
		ID: fmt.Sprintf("w%06d", s.workers), Service: h.pool, Addr: h.name + ":1", Centre: h.centre, Host: h.name,
		Incarnation: s.now.UnixMilli(), CPU: h.size.cpu, Memory: h.size.memory, Rack: h.rack, Version: uint64(s.workers),
	}
	h.worker = w
	s.workerByID[w.info.ID] = w
	s.listed[h.pool] = append(s.listed[h.pool], w)
}

// shutDown ends the worker of a host. The list of workers shows it for some time more.
func (s *sim) shutDown(h *host) {
	w := h.worker
	if w == nil {
		return
	}
	h.worker = nil
	w.die()
	s.after(seconds(s.day.load.LingerSeconds), func() {
		list := s.listed[w.info.Service]
		for i, x := range list {
			if x == w {
				s.listed[w.info.Service] = append(list[:i:i], list[i+1:]...)
				return
			}
		}
	})
}

// moveHost moves a host to another pool.
func (s *sim) moveHost(h *host, pool string) {
	if h.phase != cuminstair.PhaseUp || h.pool == pool {
		return
	}
	s.count.moves++
	s.shutDown(h)
	h.pool, h.phase = pool, cuminstair.PhaseMoving
	s.after(seconds(s.day.load.MoveSeconds), func() {
		if h.phase == cuminstair.PhaseMoving {
			h.phase = cuminstair.PhaseUp
			s.boot(h)
		}
	})
}

// workerList returns the entries of the list of workers of a pool.
func (s *sim) workerList(pool string) []cuminstair.WorkerInfo {
	list := make([]cuminstair.WorkerInfo, len(s.listed[pool]))
	for i, w := range s.listed[pool] {
		list[i] = w.info
	}
	return list
}

// hostRecords returns the list of hosts.
func (s *sim) hostRecords() []cuminstair.HostRecord {
	list := make([]cuminstair.HostRecord, len(s.hosts))
	for i, h := range s.hosts {
		list[i] = cuminstair.HostRecord{Name: h.name, Pool: h.pool, Phase: h.phase, Centre: h.centre}
		if h.worker != nil {
			list[i].Worker = h.worker.info.ID
		}
	}
	return list
}

// startFaults plans the faults of the load.
func (s *sim) startFaults() {
	for _, f := range s.day.load.Faults {
		s.after(begin.Add(seconds(f.At)).Sub(s.now), func() { s.beginFault(f) })
	}
}

func (s *sim) beginFault(f Fault) {
	d := seconds(f.Seconds)
	switch f.Kind {
	case FaultRack:
		s.loseRack(f, d)
	case FaultCentre:
		s.cutOff(f.Centre)
		s.after(d, func() { s.cutOff("") })
	case FaultStore:
		s.storeAwayAt, s.storeBackAt = s.now, s.now.Add(d)
	case FaultDaemons:
		s.restartDaemons(d)
	default:
	}
}

// loseRack switches off the first hosts of a pool. They return after d.
func (s *sim) loseRack(f Fault, d time.Duration) {
	n := 0
	for _, h := range s.hosts {
		if h.pool != f.Pool || h.phase != cuminstair.PhaseUp || n >= f.Count {
			continue
		}
		n++
		s.shutDown(h)
		h.phase = cuminstair.PhaseDown
		s.after(d, func() {
			h.phase = cuminstair.PhaseUp
			s.boot(h)
		})
	}
}

// cutOff makes the workers of a data centre unreachable and those of all others reachable.
func (s *sim) cutOff(centre string) {
	s.cutCentre = centre
	for _, h := range s.hosts {
		if h.worker == nil {
			continue
		}
		h.worker.unreachable = h.centre == centre
	}
}

// restartDaemons ends the owners and the controller of hosts, and starts them again after d.
func (s *sim) restartDaemons(d time.Duration) {
	for _, o := range s.owners {
		o.stop()
	}
	s.planner = nil
	s.after(d+takeoverTime, func() {
		for i := range s.day.load.Queues {
			q := &s.day.load.Queues[i]
			s.owners[q.Name] = newOwner(s, q)
		}
		s.startPlanner()
	})
}

// takeoverTime is the time from the start of the daemons until one owns a service.
const takeoverTime = 1200 * time.Millisecond
