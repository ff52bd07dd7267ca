package wave

import (
	"fmt"
	"slices"
	"time"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/budget"
)

// latePerDone is how many hosts done allow for one late host: at 28,000 hosts some fail while they reboot for reasons
// of their own. The first hosts after a start or a resume have no such allowance.
const latePerDone = 100

// run is a wave in this data centre.
type run struct {
	wave    cuminstair.Wave
	row     Wave
	order   Order
	orderAt uint64

	done     int // own hosts that are done
	late     int // times that own hosts did not come back
	inflight int // own hosts that are out for this wave
	fleet    int // the same over all data centres
	queues   map[string]*queue
	block    map[string]string // pool: why none of its hosts is taken
}

// queue holds the own hosts of a pool that the wave has still to take, in order.
type queue struct {
	hosts  []*status
	queued map[string]bool
	out    int // hosts of the pool that are out for the wave
	fresh  int // hosts that the running Decide takes
}

func newRun(w cuminstair.Wave, old *run) *run {
	r := &run{wave: w, row: Wave{State: Ready}, queues: map[string]*queue{}, block: map[string]string{}}
	if old != nil {
		r.row, r.order, r.orderAt = old.row, old.order, old.orderAt
	}
	for _, pool := range w.Pools {
		r.queues[pool] = &queue{queued: map[string]bool{}}
	}
	return r
}

// SetWave takes the row of a wave in this planner's data centre.
func (p *Planner) SetWave(name string, row Wave) {
	if r, ok := p.runs[name]; ok {
		r.row = row
	}
}

// SetWaveOrder takes an operator's order for a wave.
func (p *Planner) SetWaveOrder(name string, o Order, version uint64) {
	if r, ok := p.runs[name]; ok {
		r.order, r.orderAt = o, version
	}
}

// out tells whether the host is out of service for the wave.
func (r *run) out(s *status) bool {
	if !s.has || s.row.Wave != r.wave.Name || s.row.Goal != GoalWave || s.row.Done {
		return false
	}
	switch s.row.State {
	case cuminstair.HostLeaving, cuminstair.HostDrained, cuminstair.HostRebooting, cuminstair.HostProbation:
		return true
	default:
		return false
	}
}

// count adds n times the host to the counts of the wave that took it last.
func (r *run) count(s *status, n int, mine bool) {
	if r.out(s) {
		r.fleet += n
	}
	if !mine {
		return
	}
	if s.row.Done {
		r.done += n
	}
	r.late += n * s.row.Late
	if q := r.queues[s.host.Pool]; q != nil && r.out(s) {
		r.inflight += n
		q.out += n
	}
}

// offer queues an own host that the wave has still to take.
func (r *run) offer(s *status) {
	q := r.queues[s.host.Pool]
	if q == nil || !s.has || q.queued[s.name] || r.out(s) || (s.row.Wave == r.wave.Name && s.row.Done) {
		return
	}
	q.queued[s.name] = true
	q.hosts = append(q.hosts, s)
}

// pending returns the number of own hosts that the wave has still to take. Hosts that the fleet file has dropped, or
// that an operator holds, are not waited for.
func (r *run) pending() int {
	n := 0
	for _, q := range r.queues {
		n += len(q.hosts)
	}
	return n
}

// window returns the size of a step: one host at first, and one more for each host that came back, so that the size
// doubles from step to step.
func (r *run) window() int { return max(1, 1+r.done-r.row.Base) }

// failing tells whether more hosts than the allowance did not come back.
func (r *run) failing() bool {
	return r.late-r.row.LateBase > (r.done-r.row.Base)/latePerDone
}

// steer decides about the state of the wave.
func (p *Planner) steer(now time.Time, r *run) {
	if r.row.State == Done {
		return
	}
	if r.orderAt > r.row.Order {
		p.obey(r)
		return
	}
	switch r.row.State {
	case Ready:
		if !r.wave.Hold {
			p.restart(r, "start", ReasonWave, "started as declared")
		}
	case Running:
		p.check(r)
	case Paused:
		if r.failing() {
			p.turn(r, "fail", ReasonLate, p.lateWhy(r))
		} else if now.Sub(p.calm) >= Settle {
			p.turn(r, "clear", ReasonLoss, "the loss is repaired")
		}
	case Held, Stopped, Done:
	}
}

// check stops, pauses or finishes a running wave.
func (p *Planner) check(r *run) {
	loss := p.loss(r)
	switch {
	case r.failing():
		p.turn(r, "fail", ReasonLate, p.lateWhy(r))
	case loss != "":
		p.turn(r, "pause", ReasonLoss, loss)
	case r.inflight == 0 && r.drop() && r.pending() == 0 && p.complete():
		p.turn(r, "finish", ReasonDone, fmt.Sprintf("%d hosts done", r.done))
	}
}

// complete tells whether all own hosts have a row.
func (p *Planner) complete() bool {
	for _, s := range p.out {
		if !s.has && s.host.Pool != "" {
			return false
		}
	}
	return true
}

// drop takes hosts out of the queues that are done or no longer covered. It always returns true.
func (r *run) drop() bool {
	for pool, q := range r.queues {
		q.hosts = slices.DeleteFunc(q.hosts, func(s *status) bool {
			gone := s.host.Pool != pool || !s.has || s.row.Hold || r.out(s) || (s.row.Wave == r.wave.Name && s.row.Done)
			if gone {
				delete(q.queued, s.name)
			}
			return gone
		})
	}
	return true
}

func (p *Planner) lateWhy(r *run) string {
	return fmt.Sprintf("%d hosts did not come back healthy within %s or stayed unhealthy, after %d that did: %s",
		r.late-r.row.LateBase, r.wave.Back, r.done-r.row.Base, p.lateHosts(r))
}

// obey follows an operator's order. An order that the state does not allow is marked as seen and changes nothing.
func (p *Planner) obey(r *run) {
	row := r.row
	row.Order, row.Reason = r.orderAt, "ordered by an operator"
	next, err := waveChart.Next(string(r.row.State), r.order.Event)
	if err != nil {
		row.Reason = fmt.Sprintf("order ignored: %v", err)
	} else if row.State = State(next); row.State == Running {
		row.Base, row.LateBase = r.done, r.late
	}
	p.plan.Waves = append(p.plan.Waves, Change{Name: r.wave.Name, Row: row, Reason: ReasonOrder})
}

// restart is turn with steps that grow from one host again.
func (p *Planner) restart(r *run, event string, reason cuminstair.Reason, why string) {
	r.row.Base, r.row.LateBase = r.done, r.late
	p.turn(r, event, reason, why)
}

func (p *Planner) turn(r *run, event string, reason cuminstair.Reason, why string) {
	next, err := waveChart.Next(string(r.row.State), event)
	if err != nil {
		return
	}
	row := r.row
	row.State, row.Reason = State(next), why
	p.plan.Waves = append(p.plan.Waves, Change{Name: r.wave.Name, Row: row, Reason: reason})
}

// loss returns why planned work of the wave has to wait for repairs, or nothing.
func (p *Planner) loss(r *run) string {
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

// anyLoss tells whether any wave would have to wait for repairs.
func (p *Planner) anyLoss() bool {
	for _, r := range p.runs {
		if p.loss(r) != "" {
			return true
		}
	}
	return false
}

// room returns how many more instances the services of a pool can spare, and why not more. limited is false for a pool
// without services.
func (p *Planner) room(pool string) (a budget.Account, limited bool) {
	return p.Budgets.Tightest(pool, p.Centre)
}
