// Package runner drives a rollout.Node: it reads the accepted generation (rollout.Head), the differences between
// generations (rollout.Change) and parts of the configuration (fleet.Section) from the platform, exchanges messages
// with peers and commits the configurations that operators apply.
package runner

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/fleet"
	"cuminstair.org/cuminstair/rollout"
)

// ErrGap is returned if the change rows on the platform are not consecutive.
const ErrGap = errors.ConstError("a change row is missing")

// maxChangeRows is the number of changes above which the manifest is read instead. A change row has about 200 bytes,
// and the manifest of 28,000 hosts about 40 KB, as much as 200 rows.
const maxChangeRows = 200

// ReadHead returns the accepted generation, or a Head with Gen 0 if none was accepted. Errors: ErrUnavailable and
// rollout.ErrMessage.
func ReadHead(ctx context.Context, t cuminstair.Table) (rollout.Head, error) {
	rows, _, err := t.Rows(ctx, rollout.HeadKey, 0)
	if err != nil {
		return rollout.Head{}, fmt.Errorf("read head row: %w", err)
	}
	for _, r := range rows {
		if r.Key == rollout.HeadKey {
			h, err := rollout.Decode[rollout.Head](r.Value)
			h.Version = r.Version
			return h, err
		}
	}
	return rollout.Head{}, nil
}

// ReadUpdate reads from the platform what r requests. Errors: ErrUnavailable, ErrNotFound, ErrGap, rollout.ErrMessage.
func ReadUpdate(ctx context.Context, t cuminstair.Table, o cuminstair.Objects, r rollout.Request) (rollout.Update, error) {
	if len(r.Sections) > 0 {
		return readSections(ctx, o, r)
	}
	if !r.Full && r.Version > 0 && r.After > 0 && r.To.Gen-r.After <= maxChangeRows {
		return readDelta(ctx, t, r)
	}
	data, err := o.GetObject(ctx, r.To.Root.String())
	if err != nil {
		return rollout.Update{}, fmt.Errorf("read manifest of generation %d: %w", r.To.Gen, err)
	}
	return rollout.Update{Head: r.To, Manifest: data}, nil
}

// readDelta reads the changes after a generation. The last one may be later than the requested generation.
func readDelta(ctx context.Context, t cuminstair.Table, r rollout.Request) (rollout.Update, error) {
	changes, err := readChanges(ctx, t, r.Version)
	if err != nil {
		return rollout.Update{}, err
	}
	if len(changes) == 0 || changes[0].From != r.After {
		return rollout.Update{}, fmt.Errorf("changes after generation %d: %w", r.After, ErrGap)
	}
	deltas := make([]fleet.Delta, 0, len(changes))
	for _, c := range changes {
		deltas = append(deltas, c.Delta)
	}
	delta := rollout.Squash(deltas)
	return rollout.Update{Head: changes[len(changes)-1].Head, From: r.After, Delta: &delta}, nil
}

// readChanges returns the changes after a table version, in order.
func readChanges(ctx context.Context, t cuminstair.Table, since uint64) ([]rollout.Change, error) {
	rows, _, err := t.Rows(ctx, rollout.ChangePrefix, since)
	if err != nil {
		return nil, fmt.Errorf("read change rows: %w", err)
	}
	var out []rollout.Change
	for _, row := range rows {
		c, err := rollout.Decode[rollout.Change](row.Value)
		if err != nil {
			return nil, fmt.Errorf("read change row %s: %w", row.Key, err)
		}
		c.Head.Version = row.Version
		if len(out) > 0 && c.From != out[len(out)-1].Head.Gen {
			return nil, fmt.Errorf("change row %s: %w", row.Key, ErrGap)
		}
		out = append(out, c)
	}
	return out, nil
}

func readSections(ctx context.Context, o cuminstair.Objects, r rollout.Request) (rollout.Update, error) {
	u := rollout.Update{Head: r.To}
	for _, e := range r.Sections {
		data, err := o.GetObject(ctx, e.Hash.String())
		if err != nil {
			if len(u.Sections) > 0 {
				return u, nil // The node requests the missing ones again.
			}
			return rollout.Update{}, fmt.Errorf("read section %s: %w", e.Name, err)
		}
		u.Sections = append(u.Sections, fleet.Section{Name: e.Name, Hash: e.Hash, Data: data})
	}
	return u, nil
}
