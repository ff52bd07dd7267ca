package table

import (
	"context"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// States of hosts, as the list shows them.
const (
	StateLive      = "live"
	StateLeaving   = "leaving"
	StateRebooting = "rebooting"
	StateGone      = "gone"
)

// Actions of the platform that cuminstair itself does not ask for.
const (
	ActionDrain  cuminstair.HostAction = "drain"  // the host is listed as leaving until a resume, reboot or replace
	ActionResume cuminstair.HostAction = "resume" // ends a drain
)

// Host is a host that the platform knows.
type Host struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	Rack   string `json:"rack"`
	Role   string `json:"role"` // "entry" or "upstream"
}

// host keeps its states with their times, since the list shows an earlier one.
type host struct {
	Host
	states []stateAt
	action int // counts actions; a later one ends the earlier
}

type stateAt struct {
	at    time.Time
	state string
}

// AddHosts declares live hosts. A host that is declared already is left as it is.
func (s *Service) AddHosts(hosts ...Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = make(map[string]*host)
	}
	for _, h := range hosts {
		if s.hosts[h.Name] == nil {
			s.hosts[h.Name] = &host{Host: h, states: []stateAt{{time.Time{}, StateLive}}}
		}
	}
}

// HostState returns the true state of a host, without lag; empty if there is no such host.
func (s *Service) HostState(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[name]
	if h == nil {
		return ""
	}
	return h.states[len(h.states)-1].state
}

// Hosts implements cuminstair.HostList.
func (s *Service) Hosts(ctx context.Context) ([]cuminstair.HostStatus, error) {
	var list []cuminstair.HostStatus
	err := s.read(ctx, func() error {
		lag := s.faults.Lag.D()
		for _, h := range sortedValues(s.hosts) {
			list = append(list, h.status(s.Timer.Now(), lag))
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return list, nil
}

// status returns what the list showed at now, given its lag.
func (h *host) status(now time.Time, lag time.Duration) cuminstair.HostStatus {
	out := cuminstair.HostStatus{Name: h.Name, Centre: h.Centre, Role: h.Role, State: StateLive}
	for _, x := range h.states {
		if x.at.Add(lag).After(now) {
			break
		}
		out.State = x.state
		if !x.at.IsZero() {
			out.Changed = x.at.Add(lag)
		}
	}
	return out
}

// Act implements cuminstair.HostList.
func (s *Service) Act(ctx context.Context, id, name string, action cuminstair.HostAction) error {
	err := s.write(ctx, func() error {
		h := s.hosts[name]
		if h == nil {
			return cuminstair.ErrNotFound
		}
		if s.acts[id] {
			return nil
		}
		if s.acts == nil {
			s.acts = make(map[string]bool)
		}
		s.acts[id] = true
		s.act(h, action)
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s host %s: %w", action, name, err)
	}
	return nil
}

// act starts an action.
func (s *Service) act(h *host, action cuminstair.HostAction) {
	h.action++
	switch action {
	case cuminstair.ActionReboot:
		s.takeDown(h, StateRebooting, orDefault(s.Reboot, DefaultReboot))
	case cuminstair.ActionReplace:
		s.takeDown(h, StateGone, orDefault(s.Replace, DefaultReplace))
	case ActionDrain:
		s.setState(h, StateLeaving)
	default:
		s.setState(h, StateLive)
	}
}

// takeDown puts a host into a state for d, after the drain time, and then makes it live again.
func (s *Service) takeDown(h *host, state string, d time.Duration) {
	down := func() {
		s.setState(h, state)
		s.after(h, d, func() { s.setState(h, StateLive) })
	}
	if s.Drain == 0 {
		down()
		return
	}
	s.setState(h, StateLeaving)
	s.after(h, s.Drain, down)
}

// after calls fn under the lock after d, unless another action or a failure of the host came in between.
func (s *Service) after(h *host, d time.Duration, fn func()) {
	action := h.action
	s.Timer.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if h.action == action {
			fn()
		}
	})
}

// setState records a state and reports it. A host that is not running loses its tasks.
func (s *Service) setState(h *host, state string) {
	h.states = append(h.states, stateAt{s.Timer.Now(), state})
	if state == StateGone || state == StateRebooting {
		s.loseTasks(h.Name)
	}
	if s.OnHost != nil {
		s.Timer.After(0, func(time.Time) { s.OnHost(h.Name, state) })
	}
}

// FailRack makes all hosts of a rack fail at once and returns their number.
func (s *Service) FailRack(centre, rack string) int { return s.setRack(centre, rack, StateGone) }

// RestoreRack makes all hosts of a rack live again and returns their number.
func (s *Service) RestoreRack(centre, rack string) int { return s.setRack(centre, rack, StateLive) }

// FailHost makes a host fail and returns false if there is none of that name.
func (s *Service) FailHost(name string) bool {
	return s.setHosts(StateGone, func(h *host) bool { return h.Name == name }) > 0
}

// RestoreHost makes a host live again and returns false if there is none of that name.
func (s *Service) RestoreHost(name string) bool {
	return s.setHosts(StateLive, func(h *host) bool { return h.Name == name }) > 0
}

func (s *Service) setRack(centre, rack, state string) int {
	return s.setHosts(state, func(h *host) bool { return h.Centre == centre && h.Rack == rack })
}

// setHosts ends the actions on some hosts, puts them into a state and returns their number.
func (s *Service) setHosts(state string, which func(*host) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, h := range sortedValues(s.hosts) {
		if which(h) {
			h.action++
			s.setState(h, state)
			count++
		}
	}
	return count
}
