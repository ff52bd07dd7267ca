package wave

import (
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// latePerDone is how many hosts must be done for each late host that is tolerated: among 28,000 hosts, some fail while
// they reboot for reasons unrelated to the wave. The first hosts after a start or a resume have no such allowance.
const latePerDone = 100

// run is the state of a wave in this data centre.
type run struct {
	wave    cuminstair.Wave
	row     Wave
	order   Order
	orderAt uint64
	// changing is set if the running Decide plans a transition of the wave.
	changing bool

	done         int // hosts of this data centre on which the action is complete
	hostsInFleet int // hosts that the fleet file puts into the pools of the wave
	doneInFleet  int // hosts of all data centres on which the action is complete
	late         int // sum of Host.Late over the hosts of this data centre
	outInCentre  int // hosts of this data centre that are out of service for the wave
	outInFleet   int // hosts of all data centres that are out of service for the wave
	queues       map[string]*queue
	blockReason  map[string]string // by pool: why none of its hosts is taken
}

// queue holds the hosts of a pool in this data centre that the wave still has to take, in order.
type queue struct {
	hosts   []*status
	queued  map[string]bool
	racks   map[string]int // number of queued hosts by rack
	out     int            // hosts of the pool that are out of service for the wave
	planned int            // hosts that the running Decide takes for the wave
}

// add appends a host to the queue.
func (q *queue) add(s *status) {
	q.hosts = append(q.hosts, s)
	q.queued[s.name] = true
	q.racks[s.host.Rack]++
}

// forget updates the counts for a host that the caller has removed from the hosts of the queue.
func (q *queue) forget(s *status) {
	delete(q.queued, s.name)
	q.racks[s.host.Rack]--
}

// left returns the number of hosts of the pool that are out of service for the wave or that it still has to take.
func (q *queue) left() int { return len(q.hosts) + q.out + q.planned }

func newRun(w cuminstair.Wave, old *run) *run {
	r := &run{wave: w, row: Wave{State: Ready}, queues: map[string]*queue{}, blockReason: map[string]string{}}
	if old != nil {
		r.row, r.order, r.orderAt = old.row, old.order, old.orderAt
	}
	for _, pool := range w.Pools {
		r.queues[pool] = &queue{queued: map[string]bool{}, racks: map[string]int{}}
	}
	return r
}

// SetWave records the committed row of a wave in this planner's data centre.
func (p *Planner) SetWave(name string, row Wave) {
	if r, ok := p.runs[name]; ok {
		r.row = row
	}
}

// SetWaveOrder records an operator's order for a wave.
func (p *Planner) SetWaveOrder(name string, o Order, version uint64) {
	if r, ok := p.runs[name]; ok {
		r.order, r.orderAt = o, version
	}
}

// isOut reports whether the host is out of service for the wave.
func (r *run) isOut(s *status) bool {
	if !s.hasRow || s.row.Wave != r.wave.Name || s.row.Goal != GoalWave || s.row.Done {
		return false
	}
	switch s.row.State {
	case cuminstair.HostLeaving, cuminstair.HostDrained, cuminstair.HostRebooting, cuminstair.HostProbation:
		return true
	default:
		return false
	}
}

// count adds the host to the counts of the last wave that took it (n is 1) or removes it from them (n is -1).
func (r *run) count(s *status, n int, inCentre bool) {
	if r.isOut(s) {
		r.outInFleet += n
	}
	if s.row.Done {
		r.doneInFleet += n
	}
	if !inCentre {
		return
	}
	if s.row.Done {
		r.done += n
	}
	r.late += n * s.row.Late
	if q := r.queues[s.host.Pool]; q != nil && r.isOut(s) {
		r.outInCentre += n
		q.out += n
	}
}

// enqueue adds a host of this data centre to its queue if the wave still has to take it.
func (r *run) enqueue(s *status) {
	q := r.queues[s.host.Pool]
	if q == nil || !s.hasRow || q.queued[s.name] || r.isOut(s) || (s.row.Wave == r.wave.Name && s.row.Done) {
		return
	}
	q.add(s)
}

// pending returns the number of queued hosts of this data centre. It includes hosts that were removed from the fleet
// file or are held by an operator until pruneQueues removes them.
func (r *run) pending() int {
	n := 0
	for _, q := range r.queues {
		n += len(q.hosts)
	}
	return n
}

// window returns the size of the current step: one host at first, plus one for each host that has returned to service,
// so that the size doubles from step to step.
func (r *run) window() int { return max(1, 1+r.done-r.row.DoneAtStart) }

// anyReturned reports whether a host has returned to service since the wave was last started or resumed.
func (r *run) anyReturned() bool { return r.done > r.row.DoneAtStart }

// takes reports whether the wave takes hosts out of service: it runs and is not about to stop, pause or end.
func (r *run) takes() bool { return r.row.State == Running && !r.changing }

// failing reports whether more hosts than tolerated did not return to service.
func (r *run) failing() bool {
	return r.late-r.row.LateAtStart > (r.done-r.row.DoneAtStart)/latePerDone
}

// updateWave plans the next transition of the wave chart, if one is due.
func (p *Planner) updateWave(now time.Time, r *run) {
	if r.row.State == Done {
		return
	}
	if r.orderAt > r.row.Order {
		p.applyOrder(r)
		return
	}
	switch r.row.State {
	case Ready:
		if !r.wave.Hold {
			p.restart(r, "start", ReasonWave, "started as declared")
		}
	case Running:
		p.checkRunning(r)
	case Paused:
		if r.failing() {
			p.transitionWave(r, "fail", ReasonLate, p.lateReason(r))
		} else if now.Sub(p.lossFreeSince) >= SettleTime {
			p.transitionWave(r, "clear", ReasonLoss, "the loss is repaired")
		}
	case Held, Stopped, Done:
	}
}

// checkRunning stops, pauses or finishes a running wave.
func (p *Planner) checkRunning(r *run) {
	loss := p.lossReason(r)
	switch {
	case r.failing():
		p.transitionWave(r, "fail", ReasonLate, p.lateReason(r))
	case loss != "":
		p.transitionWave(r, "pause", ReasonLoss, loss)
	case r.outInCentre == 0 && r.pruneQueues() && r.pending() == 0 && p.allHaveRows():
		p.transitionWave(r, "finish", ReasonDone, fmt.Sprintf("%d hosts done", r.done))
	}
}

// allHaveRows reports whether all hosts of this data centre have a row.
func (p *Planner) allHaveRows() bool {
	for _, s := range p.worklist {
		if !s.hasRow && s.host.Pool != "" {
			return false
		}
	}
	return true
}

// pruneQueues removes from the queues the hosts that the wave no longer has to take: those that are done, out of
// service for the wave, held by an operator, without a row, or assigned to another pool. It always returns true,
// so that it can be used in a condition.
func (r *run) pruneQueues() bool {
	for pool, q := range r.queues {
		q.hosts = slices.DeleteFunc(q.hosts, func(s *status) bool {
			gone := s.host.Pool != pool || !s.hasRow || s.row.Hold || r.isOut(s) || (s.row.Wave == r.wave.Name && s.row.Done)
			if gone {
				q.forget(s)
			}
			return gone
		})
	}
	return true
}

func (p *Planner) lateReason(r *run) string {
	return fmt.Sprintf("%d hosts did not come back healthy within %s or stayed unhealthy, after %d that did: %s",
		r.late-r.row.LateAtStart, r.wave.Back, r.done-r.row.DoneAtStart, p.lateHosts(r))
}

// applyOrder plans an operator's order. An order that the state does not allow is recorded as seen, with a reason, and
// does not change the state.
func (p *Planner) applyOrder(r *run) {
	row := r.row
	row.Order, row.Reason = r.orderAt, "ordered by an operator"
	next, err := waveChart.Next(string(r.row.State), r.order.Event)
	if err != nil {
		row.Reason = fmt.Sprintf("order ignored: %v", err)
	} else if row.State = State(next); row.State == Running {
		row.DoneAtStart, row.LateAtStart = r.done, r.late
	}
	r.changing = row.State != r.row.State
	p.plan.Waves = append(p.plan.Waves, Change{Name: r.wave.Name, Row: row, Reason: ReasonOrder})
}

// restart plans a transition of the wave chart after which the step size grows from one host again.
func (p *Planner) restart(r *run, event string, reason cuminstair.Reason, why string) {
	r.row.DoneAtStart, r.row.LateAtStart = r.done, r.late
	p.transitionWave(r, event, reason, why)
}

func (p *Planner) transitionWave(r *run, event string, reason cuminstair.Reason, why string) {
	next, err := waveChart.Next(string(r.row.State), event)
	if err != nil {
		return
	}
	r.changing = true
	row := r.row
	row.State, row.Reason = State(next), why
	p.plan.Waves = append(p.plan.Waves, Change{Name: r.wave.Name, Row: row, Reason: reason})
}

// lossReason returns why planned work of the wave has to wait for repairs, or an empty string if it does not.
func (p *Planner) lossReason(r *run) string {
	for name, k := range p.racks {
		if k.down() {
			return fmt.Sprintf("%d of %d hosts of rack %s are lost", max(k.lost, k.gone), k.hosts, name)
		}
	}
	for _, pool := range r.wave.Pools {
		a, ok := p.Budgets.Tightest(pool, p.Centre)
		if ok && a.Room() < 0 && a.Unavailable > a.Planned {
			return a.String()
		}
	}
	return ""
}

// anyLoss reports whether any wave has to wait for repairs.
func (p *Planner) anyLoss() bool {
	for _, r := range p.runs {
		if p.lossReason(r) != "" {
			return true
		}
	}
	return false
}

// room returns the account with the least room among the services of a pool. limited is false for a pool without
// services.
func (p *Planner) room(pool string) (a budget.Account, limited bool) {
	return p.Budgets.Tightest(pool, p.Centre)
}
