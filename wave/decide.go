package wave

import (
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
)

// Rounds bounds how often a controller calls Decide in one tick. A host that is idle passes from active to rebooting in
// three rounds.
const Rounds = 4

// Decide returns what to write now. Its cost grows with the hosts that need attention and those it takes, not with the
// fleet.
func (p *Planner) Decide(now time.Time) Plan {
	p.plan, p.undo, p.repairing = Plan{}, nil, 0
	p.requeue()
	p.first = p.isFirst()
	if p.anyLoss() || p.calm.IsZero() {
		p.calm = now
	}
	for _, name := range p.names {
		p.steer(now, p.runs[name])
	}
	waiting := p.attend(now)
	if p.frozen == "" {
		p.takeAll(now, waiting)
	}
	for _, s := range p.undo {
		p.Budgets.Set(s.name, s.account())
		s.taken = false
	}
	return p.plan
}

// requeue puts hosts back into their queues whose drain was planned but not committed.
func (p *Planner) requeue() {
	for _, s := range p.popped {
		for _, r := range p.runs {
			r.offer(s)
		}
	}
	p.popped = p.popped[:0]
}

// attend steps the hosts that are out of service and returns the others that need attention.
func (p *Planner) attend(now time.Time) []*status {
	names := make([]string, 0, len(p.out))
	for name := range p.out {
		names = append(names, name)
	}
	slices.Sort(names)
	var waiting []*status
	for _, name := range names {
		s := p.out[name]
		if !p.progress(now, s) {
			waiting = append(waiting, s)
		}
	}
	return waiting
}

// takeAll takes hosts out of service for orders, removals, moves, repairs, waves and lending, in this order.
func (p *Planner) takeAll(now time.Time, waiting []*status) {
	clear(p.blocked)
	for _, s := range waiting {
		if !p.takeOne(now, s) {
			p.blocked[s.row.Pool]++
		}
	}
	for _, name := range p.names {
		p.advance(p.runs[name])
	}
	p.lend(now, waiting)
}

// takeOne takes a host that is to go for a reason of its own. It returns false if the budget does not let it go.
func (p *Planner) takeOne(now time.Time, s *status) bool {
	if !s.active() || s.taken {
		return true
	}
	switch {
	case s.orderAt > s.row.Order && s.order.Event == "drain":
		return p.take(s, GoalOperate, ReasonOrder, "drained by an operator", func(h *Host) { h.Order = s.orderAt })
	case s.row.Hold:
		return true
	case s.suspect != "":
		_, ok := p.Budgets.MayTake(s.name)
		return ok && p.step(s, "quarantine", s.row, ReasonHealth, s.suspect)
	case s.host.Pool == "":
		return p.take(s, GoalRemove, ReasonFile, "the fleet file does not name it any more", nil)
	case !s.healthy && s.listed != listGone && now.Sub(s.since) >= RepairAfter:
		return !p.mayRepair() || p.take(s, GoalRepair, ReasonHealth, "unhealthy for "+RepairAfter.String(), nil)
	case s.row.Pool != s.host.Pool && s.host.Pool != p.spare:
		return p.take(s, GoalMove, ReasonFile, "the fleet file puts it into pool "+s.host.Pool, func(h *Host) { h.To = s.host.Pool })
	default:
		return true
	}
}

// take starts the drain of an active host if the budget has room.
func (p *Planner) take(s *status, goal Goal, reason cuminstair.Reason, why string, edit func(*Host)) bool {
	if _, ok := p.Budgets.MayTake(s.name); !ok {
		return false
	}
	row := s.row
	row.Goal, row.To = goal, ""
	if edit != nil {
		edit(&row)
	}
	return p.step(s, "drain", row, reason, why)
}

// step puts a transition of the host chart into the plan.
func (p *Planner) step(s *status, event string, row Host, reason cuminstair.Reason, why string) bool {
	next, err := hostChart.Next(string(s.row.State), event)
	if err != nil || s.taken {
		return false
	}
	row.State, row.Why = cuminstair.HostState(next), why
	before := s.account()
	after := before
	after.State, after.Pool = row.State, row.Pool
	c := HostChange{Name: s.name, Row: row, Event: event, Reason: reason, Takes: before.Available()}
	p.plan.Hosts = append(p.plan.Hosts, c)
	s.taken = true
	p.undo = append(p.undo, s)
	if c.Takes {
		p.Budgets.Set(s.name, after)
	}
	return true
}

// advance takes hosts for a wave until the step is full or the budget has no room. A step does not wait for the last
// host of the step before it: each host that comes back makes room for two. Once one host has come back, hosts of the
// spare pool are not counted against the step, since nothing runs on them.
func (p *Planner) advance(r *run) {
	if r.row.State != Running {
		return
	}
	out, fleet, window := r.inflight, r.fleet, r.window()
	proven := r.done > r.row.Base
	if q := r.queues[p.spare]; q != nil && proven {
		out -= q.out
	}
	for _, pool := range p.order(r) {
		q := r.queues[pool]
		delete(r.block, pool)
		q.fresh = 0
		// A host that can't be taken now goes to the end; each is looked at once.
		for range len(q.hosts) {
			why := ""
			switch {
			case out >= window && (!proven || pool != p.spare):
				why = fmt.Sprintf("%d hosts are out, as many as the step allows", out)
			case fleet >= r.wave.Limit:
				why = fmt.Sprintf("%d hosts are out over the fleet, as many as the wave's limit", fleet)
			default:
				if a, limited := p.room(pool); limited && a.Room() < 1 {
					why = a.String()
				}
			}
			if why != "" {
				r.block[pool] = why
				break
			}
			s := q.hosts[0]
			q.hosts = q.hosts[1:]
			if p.takeForWave(r, s) {
				delete(q.queued, s.name)
				p.popped = append(p.popped, s)
				q.fresh++
				fleet++
				if !proven || pool != p.spare {
					out++
				}
				continue
			}
			q.hosts = append(q.hosts, s)
		}
	}
}

// takeForWave starts the drain of a host for a wave. Hosts that are away from their pool wait until they are back.
func (p *Planner) takeForWave(r *run, s *status) bool {
	if !s.active() || s.taken || s.row.Hold || !s.healthy || s.row.Pool != s.host.Pool || s.orderAt > s.row.Order {
		return false
	}
	return p.take(s, GoalWave, ReasonWave, "taken by wave "+r.wave.Name, func(h *Host) {
		if h.Wave != r.wave.Name {
			h.Wave, h.Done, h.Late = r.wave.Name, false, 0
		}
		h.Done = false
	})
}

// order returns the pools of a wave: the spare pool first, since its hosts cost no budget and can then be lent, then
// the pool with the most hosts left, which takes the longest.
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

// mayRepair tells whether one more replacement may start, and counts it.
func (p *Planner) mayRepair() bool {
	n := p.repairing
	for _, s := range p.out {
		if s.row.Goal == GoalRepair && s.row.State != cuminstair.HostFailed && s.row.State != cuminstair.HostActive {
			n++
		}
	}
	if n >= max(2, int(repairShare*float64(p.own))) {
		return false
	}
	p.repairing++
	return true
}
