package wave

import (
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// MaxRounds bounds how often a controller calls Decide in one tick. An idle host needs three rounds to get from active to
// rebooting.
const MaxRounds = 4

// Decide returns the row changes to commit now. Its cost grows with the number of hosts in the worklist and of hosts
// that it takes out of service, not with the size of the fleet.
func (p *Planner) Decide(now time.Time) Plan {
	p.plan, p.planned, p.repairing = Plan{}, nil, 0
	p.requeue()
	p.noRows = p.hasNoRows()
	if p.anyLoss() || p.lossFreeSince.IsZero() {
		p.lossFreeSince = now
	}
	for _, name := range p.waveNames {
		p.updateWave(now, p.runs[name])
	}
	waiting := p.progressHosts(now)
	if p.frozen == "" {
		p.takeHosts(now, waiting)
	}
	for _, s := range p.planned {
		p.Budgets.Set(s.name, s.account())
		s.planned, s.plannedPool = false, ""
	}
	return p.plan
}

// requeue returns hosts to their queues if the last Decide planned their drain but the plan was not committed, and
// resets what the last Decide planned for the waves.
func (p *Planner) requeue() {
	for _, r := range p.runs {
		r.changing = false
		for _, q := range r.queues {
			q.planned = 0
		}
	}
	for _, s := range p.dequeued {
		for _, r := range p.runs {
			r.enqueue(s)
		}
	}
	p.dequeued = p.dequeued[:0]
}

// progressHosts advances the hosts that are out of service and returns the other hosts of the worklist.
func (p *Planner) progressHosts(now time.Time) []*status {
	names := make([]string, 0, len(p.worklist))
	for name := range p.worklist {
		names = append(names, name)
	}
	slices.Sort(names)
	var waiting []*status
	for _, name := range names {
		s := p.worklist[name]
		if !p.progress(now, s) {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// takeHosts takes hosts out of service: first for operators' orders, removals, moves and repairs, then for lending, then
// for waves. A lent host that no longer helps its pool can leave it only before a wave takes the next host of the pool.
func (p *Planner) takeHosts(now time.Time, waiting []*status) {
	clear(p.blocked)
	for _, s := range waiting {
		if !p.takeOne(now, s) {
			p.blocked[s.row.Pool]++
		}
	}
	p.lend(now, waiting)
	p.lendsTo = p.poolsWithSpares()
	for _, name := range p.waveNames {
		p.advanceWave(p.runs[name])
	}
}

// takeOne plans to take a host out of service for an order, a quarantine, a removal, a repair or a move. It returns false
// if this is due but can't be planned, in most cases because the budget has no room.
func (p *Planner) takeOne(now time.Time, s *status) bool {
	if !s.active() || s.planned {
		return true
	}
	switch {
	case s.orderAt > s.row.Order && s.order.Event == "drain":
		return p.planDrain(s, GoalOperatorDrain, ReasonOrder, "drained by an operator", func(h *Host) { h.Order = s.orderAt })
	case s.row.Hold:
		return true
	case s.quarantineWhy != "":
		_, ok := p.Budgets.MayTake(s.name)
		return ok && p.transitionHost(s, "quarantine", s.row, ReasonHealth, s.quarantineWhy)
	case s.host.Pool == "":
		return p.planDrain(s, GoalRemove, ReasonFile, "the fleet file does not name it any more", nil)
	case !s.healthy && s.listed != listGone && now.Sub(s.healthySince) >= RepairAfter:
		return !p.mayRepair() || p.planDrain(s, GoalRepair, ReasonHealth, "unhealthy for "+RepairAfter.String(), nil)
	case s.row.Pool != s.host.Pool && s.host.Pool != p.spare:
		return p.planDrain(s, GoalMove, ReasonFile, "the fleet file puts it into pool "+s.host.Pool, func(h *Host) { h.To = s.host.Pool })
	default:
		return true
	}
}

// planDrain plans the drain of an active host if the budget has room. It returns false if nothing was planned.
func (p *Planner) planDrain(s *status, goal Goal, reason cuminstair.Reason, why string, edit func(*Host)) bool {
	if _, ok := p.Budgets.MayTake(s.name); !ok {
		return false
	}
	row := s.row
	row.Goal, row.To = goal, ""
	if edit != nil {
		edit(&row)
	}
	return p.transitionHost(s, "drain", row, reason, why)
}

// transitionHost adds a transition of the host chart to the plan. It returns false if the chart does not allow the
// transition or the plan already has one for the host.
func (p *Planner) transitionHost(s *status, event string, row Host, reason cuminstair.Reason, why string) bool {
	next, err := hostChart.Next(string(s.row.State), event)
	if err != nil || s.planned {
		return false
	}
	row.State, row.Why = cuminstair.HostState(next), why
	before := s.account()
	after := before
	after.State, after.Pool = row.State, row.Pool
	c := HostChange{Name: s.name, Row: row, Event: event, Reason: reason, ReducesAvailable: before.Available()}
	p.plan.Hosts = append(p.plan.Hosts, c)
	s.planned = true
	p.planned = append(p.planned, s)
	if c.ReducesAvailable {
		p.Budgets.Set(s.name, after)
	}
	return true
}

// advanceWave takes hosts for a wave until the step is full, the limit of the wave is reached or the budget has no room.
// Steps overlap: a step does not wait for the last host of the previous one, and each host that returns to service lets
// two more be taken. Once one host has returned, hosts of the spare pool no longer count towards the step, since no
// service runs on them.
func (p *Planner) advanceWave(r *run) {
	if !r.takes() {
		return
	}
	out, outInFleet, window := r.outInCentre, r.outInFleet, r.window()
	anyReturned := r.anyReturned()
	if q := r.queues[p.spare]; q != nil && anyReturned {
		out -= q.out
	}
	for _, pool := range p.order(r) {
		q := r.queues[pool]
		delete(r.blockReason, pool)
		p.sortQueue(r, pool)
		// A host that can't be taken now moves to the end of the queue; each host is tried once.
		for range len(q.hosts) {
			why := ""
			switch {
			case out >= window && (!anyReturned || pool != p.spare):
				why = fmt.Sprintf("%d hosts are out, as many as the step allows", out)
			case outInFleet >= r.wave.Limit:
				why = fmt.Sprintf("%d hosts are out over the fleet, as many as the wave's limit", outInFleet)
			default:
				if a, ok := p.Budgets.MayTake(q.hosts[0].name); !ok {
					why = a.String()
				}
			}
			if why != "" {
				r.blockReason[pool] = why
				break
			}
			s := q.hosts[0]
			q.hosts = q.hosts[1:]
			if p.takeForWave(r, s) {
				q.forget(s)
				p.dequeued = append(p.dequeued, s)
				q.planned++
				outInFleet++
				if !anyReturned || pool != p.spare {
					out++
				}
				continue
			}
			q.hosts = append(q.hosts, s)
		}
	}
}

// takeForWave plans the drain of a host for a wave. A host that is not in the pool that the fleet file assigns to it is
// skipped until it is in that pool.
func (p *Planner) takeForWave(r *run, s *status) bool {
	if !s.active() || s.planned || s.row.Hold || !s.healthy || s.row.Pool != s.host.Pool || s.orderAt > s.row.Order {
		return false
	}
	return p.planDrain(s, GoalWave, ReasonWave, "taken by wave "+r.wave.Name, func(h *Host) {
		if h.Wave != r.wave.Name {
			h.Wave, h.Done, h.Late = r.wave.Name, false, 0
		}
		h.Done = false
	})
}

// order returns the pools of a wave in the order in which their hosts are taken: the spare pool first, since its hosts
// use no budget and can be lent afterwards, then the pools with the most hosts left, since they take the longest.
func (p *Planner) order(r *run) []string {
	pools := slices.Clone(r.wave.Pools)
	slices.SortStableFunc(pools, func(a, b string) int {
		if (a == p.spare) != (b == p.spare) {
			if a == p.spare {
				return -1
			}
			return 1
		}
		return len(r.queues[b].hosts) - len(r.queues[a].hosts)
	})
	return pools
}

// mayRepair reports whether one more replacement may start. If so, it adds the replacement to p.repairing.
func (p *Planner) mayRepair() bool {
	n := p.repairing
	for _, s := range p.worklist {
		if s.row.Goal == GoalRepair && s.row.State != cuminstair.HostFailed && s.row.State != cuminstair.HostActive {
			n++
		}
	}
	if n >= max(2, int(repairShare*float64(p.hostCount))) {
		return false
	}
	p.repairing++
	return true
}
