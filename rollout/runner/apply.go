package runner

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/rollout"
	"cuminstair.org/cuminstair/tables"
)

const (
	// settleTries is the number of times that a commit with an uncertain outcome is read back.
	settleTries = 5
	// applyTries is the number of plans that are tried while other applies change the head.
	applyTries = 3
	// maxConflict is the number of changes above which a conflict does not list the differences.
	maxConflict = 1000
)

// ErrBehind means that the accepted generation is not in force in this daemon yet.
const ErrBehind = errors.ConstError("the accepted generation is not in force in this daemon yet; try again")

// Result is an accepted configuration.
type Result struct {
	Head  rollout.Head
	Again bool // it was accepted before: the call was a repeat, or nothing differs
	Plan  *rollout.Plan
}

// Applier commits the configurations that operators apply.
type Applier struct {
	Table   cuminstair.Table
	Objects cuminstair.Objects
	// State returns the configuration in force in this daemon.
	State func() rollout.Base
	// NewID returns a unique id for a commit.
	NewID func() string
	// Pause waits before an uncertain commit is read back again. It returns false if ctx ended.
	Pause func(ctx context.Context) bool
}

// Apply accepts a configuration. Errors: *fleet.Faults, *rollout.Conflict, ErrBehind, ErrUnavailable (nothing was
// accepted), ErrUncertain (it may be accepted; the same call can be repeated, and the repeat is recognised).
func (a *Applier) Apply(ctx context.Context, in rollout.Apply) (Result, error) {
	var err error
	for range applyTries {
		var plan *rollout.Plan
		plan, err = a.plan(ctx, in)
		if err != nil {
			return Result{}, fmt.Errorf("plan the apply: %w", err)
		}
		if plan.Again {
			return Result{Head: plan.Head, Again: true, Plan: plan}, nil
		}
		var version uint64
		version, err = a.commit(ctx, plan)
		if err == nil {
			plan.Head.Version = version
			return Result{Head: plan.Head, Plan: plan}, nil
		}
		if !errors.Is(err, cuminstair.ErrConflict) {
			return Result{}, err
		}
	}
	return Result{}, err
}

// plan reads the head and the changes after the operator's base generation, and plans the apply.
func (a *Applier) plan(ctx context.Context, in rollout.Apply) (*rollout.Plan, error) {
	head, err := ReadHead(ctx, a.Table)
	if err != nil {
		return nil, err
	}
	base := a.State()
	if head.Gen == 0 {
		base = rollout.Base{}
	}
	if base.Head.Gen != head.Gen {
		if in.Base == head.Gen {
			return nil, ErrBehind
		}
		base = rollout.Base{} // A conflict or a repeat; neither needs the fleet.
	}
	base.Head = head
	if base.Changes, err = a.changes(ctx, in.Base, head.Gen); err != nil {
		return nil, err
	}
	in.ID = a.NewID()
	return rollout.Make(base, in)
}

// changes returns the changes after a generation. It starts from the version of that generation's own row.
func (a *Applier) changes(ctx context.Context, after, head uint64) ([]rollout.Change, error) {
	if after >= head || head-after > maxConflict {
		return nil, nil
	}
	since := uint64(0)
	if after > 0 {
		rows, _, err := a.Table.Rows(ctx, rollout.ChangeKey(after), 0)
		if err != nil {
			return nil, fmt.Errorf("read change row: %w", err)
		}
		if len(rows) == 0 {
			return nil, fmt.Errorf("change row of generation %d: %w", after, ErrGap)
		}
		since = rows[0].Version
	}
	return readChanges(ctx, a.Table, since)
}

// commit stores the objects and then commits the new head. The outcome of an uncertain commit is determined by reading
// it back.
func (a *Applier) commit(ctx context.Context, p *rollout.Plan) (uint64, error) {
	for _, o := range p.Objects {
		if err := a.Objects.PutObject(ctx, o.Hash.String(), o.Data); err != nil {
			return 0, fmt.Errorf("store section %s: %w", o.Name, err)
		}
	}
	version, err := a.Table.Commit(ctx, p.Commit)
	if err == nil {
		return version, nil
	}
	if !errors.Is(err, cuminstair.ErrUncertain) {
		return 0, fmt.Errorf("swap the head: %w", err)
	}
	for range settleTries {
		verdict, readErr := tables.Settle(ctx, a.Table, p.Commit, 0)
		switch {
		case readErr == nil && verdict == tables.Done:
			return a.versionOf(ctx, p), nil
		case readErr == nil && verdict != tables.Pending:
			// The verdict is Never, a conflict: Moved is impossible, since a change row is never overwritten.
			return 0, fmt.Errorf("swap the head: the commit is %s: %w", verdict, cuminstair.ErrConflict)
		}
		if !a.Pause(ctx) {
			break
		}
	}
	return 0, fmt.Errorf("swap the head: %w", err)
}

// versionOf returns the table version of a plan that is known to be accepted; 0 if it can't be read now.
func (a *Applier) versionOf(ctx context.Context, p *rollout.Plan) uint64 {
	rows, _, err := a.Table.Rows(ctx, rollout.ChangeKey(p.Head.Gen), 0)
	if err != nil || len(rows) == 0 {
		return 0 // The plan is accepted; the version only saves a read later.
	}
	return rows[0].Version
}
