package tables

import (
	"context"
	"fmt"

	"cuminstair.org/cuminstair"
)

// Verdict is the result of Settle for a commit whose response was lost.
type Verdict int

// Verdicts of Settle.
const (
	// Pending means that the commit has not taken effect, but its checks still hold, so that it may take effect later.
	// Settle must be called again.
	Pending Verdict = iota
	// Done means that the commit took effect.
	Done
	// Never means that the commit did not take effect and never will, since one of its checks fails now.
	Never
	// Moved means that every row of the commit has been overwritten by later commits. It is unknown whether the commit
	// took effect before. The caller treats this as a conflict: it reads the rows and decides again.
	Moved
)

// String returns the verdict as one word.
func (v Verdict) String() string {
	return [...]string{"pending", "done", "never", "moved"}[v]
}

// Settle reads the rows of a commit to determine whether it took effect. since is a table version from before the
// commit was sent, or 0 if none is known; with 0, deletions may be missed. Settle never writes. A commit without checks
// stays Pending until it has taken effect. Error: ErrUnavailable.
//
// The decision is based on three facts:
//   - A commit writes all its rows at one version, above since and above the versions of its checks, and puts its id
//     into each. One row with the id proves that the commit took effect. One row that was not written after those
//     versions proves that it has not taken effect.
//   - A check that has failed fails forever, because the version of a row never decreases. The commit then can't take
//     effect later. The exception is a check that a row does not exist, which holds again after the row was deleted.
//     Rows that are created under such a check must not be deleted while the verdict is Pending.
//   - The checks are read before the rows. A commit that takes effect between the two reads is therefore reported
//     as Pending or Done, and not as Never.
func Settle(ctx context.Context, t cuminstair.Table, c cuminstair.Commit, since uint64) (Verdict, error) {
	holds, err := checksHold(ctx, t, c)
	if err != nil {
		return Pending, fmt.Errorf("settle commit %s: %w", c.ID, err)
	}
	for _, check := range c.Checks {
		since = max(since, check.Version)
	}
	untouched := false
	for _, key := range writtenKeys(c) {
		row, err := changed(ctx, t, key, since)
		if err != nil {
			return Pending, fmt.Errorf("settle commit %s: %w", c.ID, err)
		}
		if row.Write == c.ID {
			return Done, nil
		}
		untouched = untouched || row.Version <= since
	}
	switch {
	case holds:
		return Pending, nil
	case untouched:
		return Never, nil
	default:
		return Moved, nil
	}
}

// writtenKeys returns the keys that show whether a commit took effect. Deleting a row that does not exist is not
// recorded, so deletes are used only if there are no puts.
func writtenKeys(c cuminstair.Commit) []string {
	var keys []string
	for _, p := range c.Puts {
		keys = append(keys, p.Key)
	}
	if len(keys) == 0 {
		return c.Deletes
	}
	return keys
}

// changed returns the current row if it was written or deleted after since, or else a row with version 0.
func changed(ctx context.Context, t cuminstair.Table, key string, since uint64) (cuminstair.Row, error) {
	rows, _, err := t.Rows(ctx, key, since)
	if err != nil {
		return cuminstair.Row{}, err
	}
	for _, r := range rows {
		if r.Key == key {
			return r, nil
		}
	}
	return cuminstair.Row{}, nil
}

// checksHold reports whether all checks of the commit hold now.
func checksHold(ctx context.Context, t cuminstair.Table, c cuminstair.Commit) (bool, error) {
	for _, check := range c.Checks {
		row, err := changed(ctx, t, check.Key, 0)
		if err != nil {
			return false, err
		}
		if row.Version != check.Version {
			return false, nil
		}
	}
	return true, nil
}
