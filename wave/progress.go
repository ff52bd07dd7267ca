package wave

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cuminstair.org/cuminstair"
)

// progress plans the next transition of a host that is out of service or has failed. It returns false if the host may
// be taken for other work.
func (p *Planner) progress(now time.Time, s *status) bool {
	switch {
	case !s.hasRow:
		return p.create(s)
	case s.orderAt > s.row.Order && s.order.Event != "drain":
		return p.applyHostOrder(s)
	case p.goneTooLong(now, s):
		return p.transitionHost(s, "lose", p.lostRow(s), ReasonHealth, "listed as gone for "+GoneTimeout.String())
	}
	age := now.Sub(s.stateSince)
	switch s.row.State {
	case cuminstair.HostLeaving:
		return p.leaving(s, age)
	case cuminstair.HostDrained:
		return p.drained(s, age)
	case cuminstair.HostMoving:
		return p.transitionHost(s, "admit", s.row, ReasonSpare, "joins pool "+s.row.Pool)
	case cuminstair.HostRebooting:
		return p.rebooting(s, age)
	case cuminstair.HostProbation:
		return p.probation(now, s, age)
	case cuminstair.HostQuarantined:
		return p.quarantined(s, age)
	case cuminstair.HostFailed:
		return p.failed(now, s, age)
	default:
		return false
	}
}

// create plans the row of a host that the fleet file has added. Hosts of a data centre's first fleet file start as
// active: they already serve and are health checked, and probation would take all of them out of service at once.
func (p *Planner) create(s *status) bool {
	if s.host.Pool == "" {
		return true
	}
	state := cuminstair.HostState(hostChart.Start)
	if p.noRows && s.healthy && s.listed != listGone {
		state = cuminstair.HostActive
	}
	p.plan.Hosts = append(p.plan.Hosts, HostChange{
		Name: s.name, Event: "create", Reason: ReasonFile,
		Row: Host{Pool: s.host.Pool, State: state, Why: "added by the fleet file"},
	})
	return true
}

// hasNoRows reports whether no host of this data centre has a row.
func (p *Planner) hasNoRows() bool {
	missing := 0
	for _, s := range p.worklist {
		if !s.hasRow && s.host.Pool != "" {
			missing++
		}
	}
	return missing > 0 && missing == p.hostCount
}

// goneTooLong reports whether a host has been listed as gone for GoneTimeout. Hosts that reboot are excluded, since
// they are expected to be gone for a while.
func (p *Planner) goneTooLong(now time.Time, s *status) bool {
	if s.row.State == cuminstair.HostFailed || s.row.State == cuminstair.HostRebooting {
		return false
	}
	return s.listed == listGone && now.Sub(s.listedAt) >= GoneTimeout
}

// lostRow returns the row of a host that fails. A host that fails during or after the wave's action counts as late,
// unless its whole rack is lost.
func (p *Planner) lostRow(s *status) Host {
	row := s.row
	if row.Goal == GoalWave && !p.rack(s).down() && (row.State == cuminstair.HostRebooting || row.State == cuminstair.HostProbation) {
		row.Late++
		return row
	}
	row.Goal, row.To = GoalNone, ""
	return row
}

// goalHolds reports whether the reason for which the host was taken out of service still applies.
func (p *Planner) goalHolds(s *status) bool {
	switch s.row.Goal {
	case GoalWave:
		r, ok := p.runs[s.row.Wave]
		return ok && r.takes() && !s.row.Hold
	case GoalMove:
		return s.row.To != s.row.Pool
	case GoalRemove:
		return s.host.Pool == ""
	case GoalRepair, GoalOperatorDrain:
		return true
	default:
		return false
	}
}

// noDrainTimeout reports whether the host may take as long as it needs to become idle.
func (s *status) noDrainTimeout() bool {
	return s.row.Goal == GoalOperatorDrain || s.row.Goal == GoalRepair || s.row.Goal == GoalRemove
}

func (p *Planner) drainTimeout(s *status) time.Duration {
	if r, ok := p.runs[s.row.Wave]; ok && s.row.Goal == GoalWave && r.wave.Drain > 0 {
		return r.wave.Drain.D()
	}
	return DrainTimeout
}

func (p *Planner) cancel(s *status, reason cuminstair.Reason, why string) bool {
	row := s.row
	row.Goal, row.To = GoalNone, ""
	return p.transitionHost(s, "cancel", row, reason, why)
}

func (p *Planner) leaving(s *status, age time.Duration) bool {
	switch {
	case !p.goalHolds(s):
		return p.cancel(s, ReasonHeld, "no longer wanted: back to work")
	case s.idle && p.frozen == "":
		return p.transitionHost(s, "idle", s.row, ReasonIdle, "every live daemon confirmed that it is idle")
	case age >= p.drainTimeout(s) && !s.noDrainTimeout():
		return p.cancel(s, ReasonIdle, "not idle within "+p.drainTimeout(s).String()+": back to work")
	}
	return true
}

func (p *Planner) drained(s *status, age time.Duration) bool {
	switch {
	case !p.goalHolds(s):
		return p.cancel(s, ReasonHeld, "no longer wanted: back to work")
	case s.row.Goal == GoalOperatorDrain:
		return true
	case !s.idle || p.frozen != "":
		if age >= p.drainTimeout(s) && !s.noDrainTimeout() {
			return p.cancel(s, ReasonFrozen, "not confirmed idle within "+p.drainTimeout(s).String()+": back to work")
		}
		return true
	}
	switch s.row.Goal {
	case GoalWave:
		return p.act(s, s.row, "boot", cuminstair.HostAction(p.runs[s.row.Wave].wave.Action), ReasonWave)
	case GoalRepair:
		return p.act(s, s.row, "boot", cuminstair.ActionReplace, ReasonHealth)
	case GoalRemove:
		p.plan.Hosts = append(p.plan.Hosts, HostChange{Name: s.name, Row: s.row, Event: "remove", Reason: ReasonFile, Delete: true})
		return true
	default:
		return p.move(s)
	}
}

// act plans an action of the platform. The controller sets ActionID when it commits the row.
func (p *Planner) act(s *status, row Host, event string, action cuminstair.HostAction, reason cuminstair.Reason) bool {
	row.ActionID, row.Action, row.ChangedBefore = "", string(action), s.changed
	return p.transitionHost(s, event, row, reason, "platform action "+string(action))
}

// move changes the pool of a drained host in one write. The host is admitted to the new pool by a later transition.
func (p *Planner) move(s *status) bool {
	row := s.row
	row.Pool, row.To, row.Goal = s.row.To, "", GoalNone
	return p.transitionHost(s, "move", row, ReasonSpare, "from pool "+s.row.Pool+" to "+row.Pool)
}

// rebooting waits until the platform lists the host as live, with another HostStatus.Changed than before the action.
// A host stays in this state until the platform has accepted the action with the row's id: if a paused controller sends
// the action later, it is then a duplicate, which the platform ignores.
func (p *Planner) rebooting(s *status, age time.Duration) bool {
	if s.acceptedAction != s.row.ActionID {
		return true
	}
	limit := ReplaceTimeout
	if r, ok := p.runs[s.row.Wave]; ok && s.row.Goal == GoalWave && r.wave.Back > 0 {
		limit = r.wave.Back.D()
	}
	switch {
	case s.listed == listLive && s.changed != s.row.ChangedBefore && s.healthy:
		return p.transitionHost(s, "back", s.row, ReasonHealth, "back after "+s.row.Action)
	case age >= limit:
		return p.transitionHost(s, "lose", p.lostRow(s), ReasonLate, fmt.Sprintf("not back within %s after %s", limit, s.row.Action))
	}
	return true
}

func (p *Planner) probation(now time.Time, s *status, age time.Duration) bool {
	healthyFor := now.Sub(s.healthySince)
	if age < healthyFor {
		healthyFor = age
	}
	if s.healthy && s.listed != listGone && healthyFor >= Probation {
		row := s.row
		row.Done = row.Done || row.Goal == GoalWave
		row.Goal, row.ActionID, row.Action, row.ChangedBefore = GoalNone, "", "", 0
		return p.transitionHost(s, "pass", row, ReasonHealth, "healthy for "+Probation.String())
	}
	limit := RepairAfter
	if r, ok := p.runs[s.row.Wave]; ok && s.row.Goal == GoalWave && r.wave.Back > 0 {
		limit = r.wave.Back.D()
	}
	if age < limit {
		return true
	}
	row := s.row
	if row.Goal == GoalWave {
		row.Late++
	}
	return p.transitionHost(s, "fail", row, ReasonLate, "not healthy within "+limit.String())
}

func (p *Planner) quarantined(s *status, age time.Duration) bool {
	if age < RepairAfter || p.frozen != "" || !p.mayRepair() {
		return true
	}
	row := s.row
	row.Goal = GoalRepair
	return p.transitionHost(s, "repair", row, ReasonHealth, "to be replaced after "+RepairAfter.String()+" in quarantine")
}

func (p *Planner) failed(now time.Time, s *status, age time.Duration) bool {
	if s.listed == listLive && s.healthy && now.Sub(s.listedAt) >= GoneTimeout {
		return p.transitionHost(s, "back", s.row, ReasonHealth, "listed as live and healthy again")
	}
	// The list may show a host as gone that still answers, so a failed host is replaced only when it is idle.
	if age < RepairAfter || !s.idle || p.frozen != "" || !p.mayRepair() {
		return true
	}
	row := s.row
	row.Goal = GoalRepair
	return p.act(s, row, "replace", cuminstair.ActionReplace, ReasonHealth)
}

// applyHostOrder plans an operator's hold or resume. A drain is handled by takeOne, when the budget has room.
func (p *Planner) applyHostOrder(s *status) bool {
	row := s.row
	row.Order = s.orderAt
	row.Hold = s.order.Event == "hold"
	if s.order.Event == "resume" && row.State == cuminstair.HostQuarantined {
		return p.transitionHost(s, "cancel", row, ReasonOrder, "resumed by an operator")
	}
	if s.order.Event == "resume" && row.Goal == GoalOperatorDrain {
		row.Goal, row.To = GoalNone, ""
	}
	p.plan.Hosts = append(p.plan.Hosts, HostChange{
		Name: s.name, Row: row, Event: s.order.Event, Reason: ReasonOrder,
	})
	return true
}

// HostsToConfirm returns the hosts of this data centre that every live daemon has to confirm as idle.
func (p *Planner) HostsToConfirm(now time.Time) []string {
	var names []string
	for name, s := range p.worklist {
		switch s.row.State {
		case cuminstair.HostLeaving, cuminstair.HostDrained:
			names = append(names, name)
		case cuminstair.HostFailed:
			if now.Sub(s.stateSince) >= RepairAfter {
				names = append(names, name)
			}
		default:
		}
	}
	slices.Sort(names)
	return names
}

// Action is a platform action that the row of a rebooting host requires.
type Action struct {
	ID   string
	Host string
	Verb cuminstair.HostAction
}

// Actions returns the actions of rebooting hosts of this data centre that the platform has not accepted yet.
func (p *Planner) Actions() []Action {
	var acts []Action
	for name, s := range p.worklist {
		if s.row.State == cuminstair.HostRebooting && s.row.ActionID != "" && s.acceptedAction != s.row.ActionID {
			acts = append(acts, Action{ID: s.row.ActionID, Host: name, Verb: cuminstair.HostAction(s.row.Action)})
		}
	}
	slices.SortFunc(acts, func(a, b Action) int { return strings.Compare(a.Host, b.Host) })
	return acts
}
