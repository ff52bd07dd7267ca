package experiment

import (
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/pools"
)

// planInterval is the time between two plans of the controller of hosts, as in package entry.
const planInterval = 300 * time.Millisecond

// hostPlanner plans the moves of hosts. pools.Planner implements it.
type hostPlanner interface {
	Plan(now time.Time, list []pools.Pool, spare []string) ([]pools.Move, []pools.Yield)
}

// startPlanner starts the controller of hosts with the stored state of an earlier one.
func (s *sim) startPlanner() {
	s.planner = s.policy.planner(s)
	s.idle = map[string]int{}
	current := s.planner
	if current == nil {
		return
	}
	var plan func()
	plan = func() {
		if s.planner != current {
			return
		}
		s.plan()
		s.after(planInterval, plan)
	}
	s.after(planInterval, plan)
}

// presentPlanner returns the product's planner.
func presentPlanner(s *sim) hostPlanner {
	p := pools.New(sparePool)
	p.MaxMoves = int(s.day.load.MovesPerSecond * planInterval.Seconds())
	if s.planState != nil {
		if err := p.Restore(s.now, s.planState); err != nil {
			panic("experiment: a planner can't read its own state: " + err.Error())
		}
	}
	return p
}

// plan plans the moves of hosts and carries them out, as package entry does.
func (s *sim) plan() {
	list, spare := s.poolStates()
	moves, yields := s.planner.Plan(s.now, list, spare)
	byPool := map[string][]pools.Move{}
	for _, m := range moves {
		byPool[m.From] = append(byPool[m.From], m)
	}
	for _, from := range sortedKeys(byPool) {
		s.orderMoves(from, byPool[from])
	}
	for _, y := range yields {
		o := s.owners[y.Service]
		o.event(func() { o.service.Yield(s.now, y.Hosts) })
	}
	if p, ok := s.planner.(*pools.Planner); ok && !s.storeAway() {
		s.planState = p.Snapshot()
	}
}

// orderMoves orders moves out of one pool. Hosts with workers are drained first, and those with tasks stay.
func (s *sim) orderMoves(from string, moves []pools.Move) {
	idle := map[string]bool{}
	if from != sparePool {
		ids := make([]string, 0, len(moves))
		for _, m := range moves {
			if w := s.hostByName[m.Host].worker; w != nil {
				ids = append(ids, w.info.ID)
				w.drainedAt = s.now
			}
		}
		o := s.owners[from]
		o.event(func() {
			for _, id := range o.service.Cordon(s.now, ids) {
				idle[s.workerByID[id].host.name] = true
			}
		})
	}
	for _, m := range moves {
		if from == sparePool || idle[m.Host] {
			s.after(2*callDelay, func() { s.moveHost(s.hostByName[m.Host], m.To) })
		}
	}
}

// poolStates returns the state of each pool with the demand of its service, and the hosts that are switched off.
func (s *sim) poolStates() (list []pools.Pool, spare []string) {
	byName := map[string]*pools.Pool{}
	for i := range s.day.load.Queues {
		name := s.day.load.Queues[i].Name
		byName[name] = &pools.Pool{Service: name}
	}
	for _, h := range s.hosts {
		p := byName[h.pool]
		switch {
		case p == nil && h.phase == cuminstair.PhaseUp:
			spare = append(spare, h.name)
		case p == nil:
		case h.phase == cuminstair.PhaseMoving:
			p.Incoming++
		case h.phase == cuminstair.PhaseUp:
			p.Have++
		}
	}
	free := len(spare)
	for _, n := range s.idle {
		free += n
	}
	cut := map[string]bool{}
	before := s.idle
	s.idle = map[string]int{}
	for _, name := range sortedKeys(byName) {
		p := byName[name]
		s.addDemand(p, free-before[name], cut)
		s.idle[name] = len(p.Idle)
	}
	inCut := func(host string) bool { return cut[s.hostByName[host].centre] }
	spare = slices.DeleteFunc(spare, inCut)
	for _, name := range sortedKeys(byName) {
		p := byName[name]
		p.Idle = slices.DeleteFunc(p.Idle, inCut)
		list = append(list, *p)
	}
	return list, spare
}

// addDemand enters the demand of a pool's service, and adds the data centres that are cut off to cut.
func (s *sim) addDemand(p *pools.Pool, available int, cut map[string]bool) {
	o := s.owners[p.Service]
	if o.stopped {
		return
	}
	d := o.service.Demand(s.now, p.Incoming, available)
	p.Known, p.Rate, p.Backlog, p.Late, p.Active = true, d.Rate, d.Backlog, d.Late, d.Active
	p.Spread, p.LongRunning, p.Pinned, p.Cores = d.Spread, d.LongRunning, d.Pinned, d.Cores
	p.Objective = time.Duration(d.Objective) * time.Millisecond
	if p.Objective > unlimited {
		p.Objective -= unlimited
	}
	for _, id := range d.Silent {
		if h := s.workerByID[id].host; h.worker != nil && h.worker.info.ID == id {
			p.Have = max(0, p.Have-1)
		}
	}
	for _, id := range d.Idle {
		if h := s.workerByID[id].host; h.worker != nil && h.worker.info.ID == id {
			p.Idle = append(p.Idle, h.name)
		}
	}
	for _, centre := range d.CutOff {
		cut[centre] = true
	}
}
