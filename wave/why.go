package wave

import (
	"fmt"
	"slices"
	"strings"

	"cuminstair.org/cuminstair"
)

// lateHosts lists a few of the hosts that did not return to service.
func (p *Planner) lateHosts(r *run) string {
	const limit = 5
	var names []string
	for name, s := range p.hosts {
		if p.inCentre(s) && s.row.Wave == r.wave.Name && s.row.Late > 0 && !s.row.Done {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	if len(names) > limit {
		names = append(names[:limit], "and others")
	}
	return strings.Join(names, ", ")
}

// WhyHost explains the state of a host of this data centre, and why it is not being drained.
func (p *Planner) WhyHost(name string) (cuminstair.Reason, string) {
	s, ok := p.hosts[name]
	if !ok || !s.hasRow {
		return ReasonUnknown, "no row of this host has been read"
	}
	switch {
	case s.orderAt > s.row.Order && s.order.Event == "drain" && s.active():
		a, _ := p.Budgets.MayTake(name)
		return ReasonBudget, "an operator's drain waits for the budget: " + a.String()
	case !s.active():
		return s.reason(), fmt.Sprintf("%s in pool %s: %s", s.row.State, s.row.Pool, p.waitReason(s))
	case s.row.Hold:
		return ReasonHeld, "held by an operator"
	case p.frozen != "":
		return ReasonFrozen, "planned work is frozen: " + p.frozen
	}
	return p.whyNotTaken(s)
}

func (s *status) reason() cuminstair.Reason {
	if s.row.Goal == GoalWave {
		return ReasonWave
	}
	return ReasonHealth
}

// waitReason returns what a host that is out of service waits for.
func (p *Planner) waitReason(s *status) string {
	why := s.row.Why
	switch s.row.State {
	case cuminstair.HostLeaving, cuminstair.HostDrained:
		if p.frozen != "" {
			return why + "; planned work is frozen: " + p.frozen
		}
		if !s.idle {
			return why + "; not every live daemon has confirmed that it is idle"
		}
	case cuminstair.HostRebooting:
		return fmt.Sprintf("%s; listed as %q, healthy %t", why, s.listed, s.healthy)
	default:
	}
	return why
}

// whyNotTaken explains why no wave takes an active host.
func (p *Planner) whyNotTaken(s *status) (cuminstair.Reason, string) {
	for _, name := range p.waveNames {
		r := p.runs[name]
		q := r.queues[s.host.Pool]
		if q == nil || !q.queued[s.name] {
			continue
		}
		if r.row.State != Running {
			return ReasonHeld, fmt.Sprintf("wave %s is %s: %s", name, r.row.State, r.row.Reason)
		}
		if why := r.blockReason[s.host.Pool]; why != "" {
			return ReasonWindow, fmt.Sprintf("wave %s: %s", name, why)
		}
		return ReasonWave, fmt.Sprintf("wave %s takes it in its turn", name)
	}
	if s.row.Wave != "" && s.row.Done {
		return ReasonDone, "wave " + s.row.Wave + " is done with it"
	}
	return ReasonOK, "no planned work wants it"
}

// ReasonOK is the reason of a host that no planned work is to take.
const ReasonOK = cuminstair.ReasonOK

// Progress is the state of a wave in this data centre, for operators.
type Progress struct {
	Name    string `json:"name"`
	Centre  string `json:"centre"`
	State   State  `json:"state"`
	Reason  string `json:"reason,omitempty"`
	Done    int    `json:"done"`
	Out     int    `json:"out"`
	Pending int    `json:"pending"`
	Step    int    `json:"step"` // hosts that may be out at once in the current step
	// Blocks gives for each pool the reason why none of its hosts is taken.
	Blocks map[string]string `json:"blocks,omitempty"`
}

// Waves returns the progress of all waves.
func (p *Planner) Waves() []Progress {
	var all []Progress
	for _, name := range p.waveNames {
		r := p.runs[name]
		all = append(all, Progress{
			Name: name, Centre: p.Centre, State: r.row.State, Reason: r.row.Reason,
			Done: r.done, Out: r.outInCentre, Pending: r.pending(), Step: r.window(), Blocks: r.blockReason,
		})
	}
	return all
}
