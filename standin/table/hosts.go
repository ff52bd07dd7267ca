package table

import (
	"context"
	"fmt"
	"time"

	"cuminstair.org/cuminstair"
)

// States of hosts in the host list.
const (
	StateLive      = "live"
	StateLeaving   = "leaving"
	StateRebooting = "rebooting"
	StateGone      = "gone"
)

// Actions of the platform that cuminstair itself does not request.
const (
	ActionDrain  cuminstair.HostAction = "drain"  // lists the host as leaving until the next resume, reboot or replace
	ActionResume cuminstair.HostAction = "resume" // ends a drain
)

// Host is a host of the platform.
type Host struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	Rack   string `json:"rack"`
	Role   string `json:"role"` // "entry" or "upstream"
}

// host keeps all its states with their times, since the host list may lag and show an earlier one.
type host struct {
	Host
	states      []stateAt
	actionCount int // number of actions so far; a new action cancels the pending steps of the previous one
}

type stateAt struct {
	at    time.Time
	state string
}

// AddHosts declares live hosts. It doesn't change a host that is already declared.
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

// HostState returns the current state of a host, regardless of Faults.Lag. It is empty if there is no such host.
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
		return nil, fmt.Errorf("read host list: %w", err)
	}
	return list, nil
}

// status returns the entry that the host list shows at now, given its lag.
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
		if s.actionIDs[id] {
			return nil
		}
		if s.actionIDs == nil {
			s.actionIDs = make(map[string]bool)
		}
		s.actionIDs[id] = true
		s.act(h, action)
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s host %s: %w", action, name, err)
	}
	return nil
}

// act starts an action on a host.
func (s *Service) act(h *host, action cuminstair.HostAction) {
	h.actionCount++
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

// takeDown lists a host as leaving for the drain time, puts it into a state for d and then makes it live again.
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

// after calls fn under the lock after d, unless another action on the host, its failure or its restoration intervenes.
func (s *Service) after(h *host, d time.Duration, fn func()) {
	action := h.actionCount
	s.Timer.After(d, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if h.actionCount == action {
			fn()
		}
	})
}

// setState records a state and calls OnHost. The tasks of a host that is gone or rebooting fail.
func (s *Service) setState(h *host, state string) {
	h.states = append(h.states, stateAt{s.Timer.Now(), state})
	if state == StateGone || state == StateRebooting {
		s.failTasksOf(h.Name)
	}
	if s.OnHost != nil {
		s.Timer.After(0, func(time.Time) { s.OnHost(h.Name, state) })
	}
}

// FailRack makes all hosts of a rack fail at once and returns their number.
func (s *Service) FailRack(centre, rack string) int { return s.setRack(centre, rack, StateGone) }

// RestoreRack makes all hosts of a rack live again and returns their number.
func (s *Service) RestoreRack(centre, rack string) int { return s.setRack(centre, rack, StateLive) }

// FailHost makes a host fail. It returns false if there is no host of that name.
func (s *Service) FailHost(name string) bool {
	return s.setHosts(StateGone, func(h *host) bool { return h.Name == name }) > 0
}

// RestoreHost makes a host live again. It returns false if there is no host of that name.
func (s *Service) RestoreHost(name string) bool {
	return s.setHosts(StateLive, func(h *host) bool { return h.Name == name }) > 0
}

func (s *Service) setRack(centre, rack, state string) int {
	return s.setHosts(state, func(h *host) bool { return h.Centre == centre && h.Rack == rack })
}

// setHosts cancels the actions on the matching hosts, puts these hosts into a state and returns their number.
func (s *Service) setHosts(state string, match func(*host) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, h := range sortedValues(s.hosts) {
		if match(h) {
			h.actionCount++
			s.setState(h, state)
			count++
		}
	}
	return count
}
