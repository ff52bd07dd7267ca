package tables

import (
	"context"
	"fmt"

	"cuminstair.org/cuminstair"
)

// Verdict is what became of a commit whose answer was lost.
type Verdict int

// Verdicts of Settle.
const (
	// Pending means that the commit has not taken effect, but its checks still hold: it may still arrive. Ask again.
	Pending Verdict = iota
	// Done means that the commit took effect.
	Done
	// Never means that the commit did not take effect and that a check of it fails now, so that it never will.
	Never
	// Moved means that every row of the commit has been overwritten by later commits. Whether the commit took effect
	// before can't be told. The caller treats it as a conflict: it reads the rows anew and decides again.
	Moved
)

// String returns the verdict in one word.
func (v Verdict) String() string {
	return [...]string{"pending", "done", "never", "moved"}[v]
}

// Settle reads back the rows of a commit to find out whether it took effect. since is a table version from before the
// commit was sent; 0 if none is known, in which case deletions may go unseen. It never writes. A commit without checks
// stays pending until it took effect. Error: ErrUnavailable.
//
// The decision rests on three facts. A commit writes all its rows at one version, above since and above the versions
// of its checks, and its id into each: one row with the id proves that it took effect, and one row that was not written
// after those versions proves that it did not. A check that fails once fails for ever, because the version of a row
// never goes back, so that the commit can't arrive later. (Only a check for a row that must not exist can hold again,
// after the row was deleted; rows that are created under such a check must not be deleted while this is open.) And the
// checks are read before the rows: a commit that arrives between the two reads is then pending, and never lost.
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

// writtenKeys returns the keys that show whether a commit took effect. Deletes of rows that don't exist leave no trace,
// so that deletes count only where there are no puts.
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

// changed returns the row as it is if it was written or deleted after since, or else a row without version.
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

// checksHold is true if every check of the commit holds now.
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
