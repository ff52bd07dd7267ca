// Package chart implements state machines whose transition tables (state charts) are read from files. A chart is
// validated when it is loaded, so that its faults are found before the first transition.
package chart

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"slices"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// Errors of charts.
const (
	ErrInvalid = errors.ConstError("invalid state chart")
	// ErrEventNotAllowed means that the state has no transition for the event.
	ErrEventNotAllowed = errors.ConstError("event not allowed in this state")
)

// Chart is a state chart. Every state is reachable from Start, the target of every transition is a declared state, and
// Events lists exactly the events that occur in transitions.
type Chart struct {
	Name   string                       `json:"name"`
	Start  string                       `json:"start"`
	Final  []string                     `json:"final"`  // states without transitions
	Events []string                     `json:"events"` // all events
	States map[string]map[string]string `json:"states"` // next state by state and event
}

// Load reads and validates a chart file. An error that wraps ErrInvalid lists all faults of the chart.
func Load(files fs.FS, name string) (*Chart, error) {
	data, err := fs.ReadFile(files, name)
	if err != nil {
		return nil, fmt.Errorf("read chart: %w", err)
	}
	c := &Chart{}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, fmt.Errorf("parse chart %s: %w", name, err)
	}
	if faults := c.validate(); len(faults) > 0 {
		return nil, fmt.Errorf("chart %s: %s: %w", name, strings.Join(faults, "; "), ErrInvalid)
	}
	return c, nil
}

// MustLoad is Load for charts that are embedded in the program; it panics on a fault.
func MustLoad(files fs.FS, name string) *Chart {
	c, err := Load(files, name)
	if err != nil {
		panic(err)
	}
	return c
}

// Next returns the state that follows on event. If the event is not allowed, it returns state and an error that wraps
// ErrEventNotAllowed.
func (c *Chart) Next(state, event string) (string, error) {
	next, ok := c.States[state][event]
	if !ok {
		return state, fmt.Errorf("%s: %s in state %s: %w", c.Name, event, state, ErrEventNotAllowed)
	}
	return next, nil
}

// String lists the transitions, one per line, sorted by state and event.
func (c *Chart) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: starts in %s\n", c.Name, c.Start)
	for _, state := range sortedKeys(c.States) {
		for _, event := range sortedKeys(c.States[state]) {
			fmt.Fprintf(&b, "  %-12s %-12s -> %s\n", state, event, c.States[state][event])
		}
	}
	return b.String()
}

func (c *Chart) validate() []string {
	var faults []string
	used := map[string]bool{}
	if _, ok := c.States[c.Start]; !ok {
		faults = append(faults, fmt.Sprintf("start state %q is unknown", c.Start))
	}
	for _, state := range sortedKeys(c.States) {
		edges := c.States[state]
		final := slices.Contains(c.Final, state)
		if final != (len(edges) == 0) {
			faults = append(faults, fmt.Sprintf("state %q: a state must be final if and only if it has no transitions", state))
		}
		for _, event := range sortedKeys(edges) {
			used[event] = true
			if !slices.Contains(c.Events, event) {
				faults = append(faults, fmt.Sprintf("state %q: event %q is not declared", state, event))
			}
			if _, ok := c.States[edges[event]]; !ok {
				faults = append(faults, fmt.Sprintf("state %q: event %q leads to unknown state %q", state, event, edges[event]))
			}
		}
	}
	for _, event := range c.Events {
		if !used[event] {
			faults = append(faults, fmt.Sprintf("event %q is declared but has no transitions", event))
		}
	}
	for _, state := range c.Final {
		if _, ok := c.States[state]; !ok {
			faults = append(faults, fmt.Sprintf("final state %q is unknown", state))
		}
	}
	return append(faults, c.unreachable()...)
}

func (c *Chart) unreachable() []string {
	seen := map[string]bool{c.Start: true}
	todo := []string{c.Start}
	for len(todo) > 0 {
		state := todo[0]
		todo = todo[1:]
		for _, next := range c.States[state] {
			if !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	var faults []string
	for _, state := range sortedKeys(c.States) {
		if !seen[state] {
			faults = append(faults, fmt.Sprintf("state %q can't be reached", state))
		}
	}
	return faults
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
