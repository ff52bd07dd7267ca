package node

import (
	"context"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/member"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/rollout/runner"
)

var _ cuminstair.Operations = (*operations)(nil)

// operations implements the operators' interface of this daemon.
type operations struct {
	node *Node
}

// Check implements cuminstair.Operations.
func (o *operations) Check(_ context.Context, file, text string) error {
	_, err := parseFleet(file, text)
	return err
}

// parseFleet parses a fleet file. The error is a *cuminstair.FaultsError.
func parseFleet(file, text string) (*cuminstair.Fleet, error) {
	f, err := fleet.Parse(file, []byte(text))
	if err != nil {
		return nil, convertFaults(err)
	}
	return f, nil
}

// convertFaults converts the faults of package fleet to those of the operators' interface.
func convertFaults(err error) error {
	found, ok := errors.AsType[*fleet.Faults](err)
	if !ok {
		return err
	}
	out := &cuminstair.FaultsError{}
	for _, x := range found.List {
		out.Faults = append(out.Faults, cuminstair.Fault{File: found.File, Line: x.Line, Field: x.Path, Message: x.Problem + "; " + x.Change})
	}
	return out
}

// Difference implements cuminstair.Operations.
func (o *operations) Difference(_ context.Context, file, text string) ([]string, error) {
	f, err := parseFleet(file, text)
	if err != nil {
		return nil, err
	}
	current := o.node.current()
	if current.Fleet == nil {
		current.Fleet = &cuminstair.Fleet{}
	}
	return fleet.Diff(current.Fleet, f), nil
}

// Apply implements cuminstair.Operations.
func (o *operations) Apply(ctx context.Context, a cuminstair.ApplyRequest) (cuminstair.ApplyResult, error) {
	f, err := parseFleet(a.File, a.Text)
	if err != nil {
		return cuminstair.ApplyResult{}, err
	}
	res, err := o.node.config.Apply(ctx, rollout.Apply{Fleet: f, Base: a.Base, By: o.node.Settings.Name})
	if err != nil {
		return cuminstair.ApplyResult{}, applyError(err)
	}
	out := cuminstair.ApplyResult{Generation: res.Head.Gen, Root: res.Head.Root.String(), Repeat: res.Again, Changes: []string{}}
	if !res.Again && res.Plan != nil {
		out.Changes = append(out.Changes, res.Plan.Change.Words...)
	}
	return out, nil
}

// applyError converts an error of package rollout to one of the operators' interface.
func applyError(err error) error {
	if c, ok := errors.AsType[*rollout.Conflict](err); ok {
		return &cuminstair.StaleError{Base: c.Base, Current: c.Head, Changes: c.Changed}
	}
	if errors.Is(err, runner.ErrBehind) {
		return fmt.Errorf("%w: %w", err, cuminstair.ErrUnavailable)
	}
	return convertFaults(err)
}

// Current implements cuminstair.Operations.
func (o *operations) Current(context.Context) (cuminstair.Current, error) {
	current := o.node.current()
	if current.Fleet == nil {
		return current, fmt.Errorf("no fleet was applied yet: %w", cuminstair.ErrNotFound)
	}
	return current, nil
}

// current returns the configuration in force; Fleet is nil if there is none.
func (n *Node) current() cuminstair.Current {
	var out cuminstair.Current
	n.config.View(func(r *rollout.Node) {
		base := r.Base()
		out = cuminstair.Current{Generation: base.Head.Gen, Root: base.Head.Root.String(), Fleet: base.Fleet}
	})
	return out
}

// Force implements cuminstair.Operations. A daemon that is registered, named in the settings or in the membership is
// listed as missing until it has confirmed the generation, unless the membership shows it as gone.
func (o *operations) Force(ctx context.Context, generation uint64) (cuminstair.ForceStatus, error) {
	if err := o.node.refreshRegistrations(ctx); err != nil {
		o.node.Log.Debug("registrations could not be read", "error", err)
	}
	names := o.node.network.expected()
	out := cuminstair.ForceStatus{Generation: generation}
	o.node.config.View(func(r *rollout.Node) { out.Confirmed, out.Missing = r.InForce(names, generation) })
	return out, nil
}

// Daemons implements cuminstair.Operations.
func (o *operations) Daemons(context.Context) ([]cuminstair.DaemonStatus, error) {
	var rows []cuminstair.DaemonStatus
	for _, m := range o.node.network.list() {
		rows = append(rows, cuminstair.DaemonStatus{
			Name: m.Name, Centre: m.Centre, State: daemonState(m), Incarnation: m.Incarnation, Generation: m.Generation,
		})
	}
	return rows, nil
}

func daemonState(m member.Member) string {
	switch {
	case m.Health == member.Gone:
		return "gone"
	case m.Health == member.Suspect:
		return "suspect"
	case m.State == member.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

// ChangeHost implements cuminstair.Operations.
func (o *operations) ChangeHost(ctx context.Context, host, action string) error {
	f := o.node.current().Fleet
	if f == nil || !slices.ContainsFunc(f.Hosts, func(h cuminstair.Host) bool { return h.Name == host }) {
		return fmt.Errorf("host %s is not in the fleet: %w", host, cuminstair.ErrNotFound)
	}
	return o.node.control.OrderHost(ctx, host, action)
}

// ChangeWave implements cuminstair.Operations.
func (o *operations) ChangeWave(ctx context.Context, name, action string) error {
	f := o.node.current().Fleet
	if f == nil || !slices.ContainsFunc(f.Waves, func(w cuminstair.Wave) bool { return w.Name == name }) {
		return fmt.Errorf("wave %s is not in the fleet: %w", name, cuminstair.ErrNotFound)
	}
	return o.node.control.OrderWave(ctx, name, action)
}

// Explain implements cuminstair.Operations.
func (o *operations) Explain(_ context.Context, kind, id string) (cuminstair.Explanation, error) {
	out := cuminstair.Explanation{Kind: kind, ID: id, Decisions: o.node.daemon.Explain().Lookup(kind, id)}
	slices.Reverse(out.Decisions)
	switch kind {
	case "host":
		reason, detail := o.node.control.HostReason(id)
		out.Summary = fmt.Sprintf("%s (%s)", detail, reason)
	case "wave":
		out.Summary = o.waveSummary(id)
	default:
		if len(out.Decisions) == 0 {
			return out, fmt.Errorf("no recent decision about %s %s: %w", kind, id, cuminstair.ErrNotFound)
		}
		last := out.Decisions[0]
		out.Summary = fmt.Sprintf("%s: %s (%s)", last.Part, last.Choice, last.Reason)
	}
	return out, nil
}

// waveSummary describes the state of a wave in this data centre.
func (o *operations) waveSummary(name string) string {
	for _, w := range o.node.control.Waves() {
		if w.Name != name {
			continue
		}
		text := fmt.Sprintf("%s in %s: %d done, %d out, %d pending", w.State, w.Centre, w.Done, w.Out, w.Pending)
		if w.Reason != "" {
			text += "; " + w.Reason
		}
		for pool, block := range w.Blocks {
			text += fmt.Sprintf("; pool %s: %s", pool, block)
		}
		return text
	}
	return "unknown in data centre " + o.node.Settings.Centre
}
