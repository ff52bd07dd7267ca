package table

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"cuminstair.org/cuminstair"
)

// Committed is a commit that took effect.
type Committed struct {
	Version uint64
	At      time.Time
	Commit  cuminstair.Commit
}

// change is a key that a commit wrote or deleted.
type change struct {
	version uint64
	key     string
}

// store is the table. Each commit increases the version by one.
type store struct {
	rows    map[string]cuminstair.Row // tombstones included
	log     []change                  // in order of versions
	history []Committed
	version uint64
}

// Commit implements cuminstair.Table.
func (s *Service) Commit(ctx context.Context, c cuminstair.Commit) (uint64, error) {
	var version uint64
	err := s.write(ctx, func() error {
		var err error
		version, err = s.store.commit(c, s.Timer.Now())
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("commit %s: %w", c.ID, err)
	}
	return version, nil
}

func (t *store) commit(c cuminstair.Commit, now time.Time) (uint64, error) {
	for _, check := range c.Checks {
		row, ok := t.rows[check.Key]
		version := row.Version
		if !ok || row.Deleted {
			version = 0
		}
		if version != check.Version {
			return 0, fmt.Errorf("row %s has version %d, not %d: %w", check.Key, version, check.Version, cuminstair.ErrConflict)
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]cuminstair.Row)
	}
	t.version++
	for _, p := range c.Puts {
		t.set(cuminstair.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.version, Write: c.ID})
	}
	for _, key := range c.Deletes {
		if _, ok := t.rows[key]; ok {
			t.set(cuminstair.Row{Key: key, Version: t.version, Write: c.ID, Deleted: true})
		}
	}
	t.history = append(t.history, Committed{Version: t.version, At: now, Commit: c})
	return t.version, nil
}

func (t *store) set(row cuminstair.Row) {
	t.rows[row.Key] = row
	t.log = append(t.log, change{version: row.Version, key: row.Key})
}

// Rows implements cuminstair.Table.
func (s *Service) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	var rows []cuminstair.Row
	var version uint64
	err := s.read(ctx, func() error {
		rows, version = s.store.scan(prefix, since), s.store.version
		return nil
	})
	if err != nil {
		return nil, 0, fmt.Errorf("read rows below %s: %w", prefix, err)
	}
	return rows, version, nil
}

// scan returns the rows with a prefix that changed after a version, in order of their versions. Deleted rows are left
// out if since is 0.
func (t *store) scan(prefix string, since uint64) []cuminstair.Row {
	var out []cuminstair.Row
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > since })
	for _, ch := range t.log[first:] {
		row := t.rows[ch.key]
		current := row.Version == ch.version
		if current && strings.HasPrefix(ch.key, prefix) && (since > 0 || !row.Deleted) {
			out = append(out, row)
		}
	}
	return out
}

// History returns all commits that took effect, in order.
func (s *Service) History() []Committed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.store.history)
}

// Replay applies the history to an empty table and calls fn after each commit with the existing rows, so that a test can
// check an invariant at every version. It stops at the first error.
func (s *Service) Replay(fn func(rows map[string]cuminstair.Row, c Committed) error) error {
	rows := make(map[string]cuminstair.Row)
	for _, c := range s.History() {
		for _, p := range c.Commit.Puts {
			rows[p.Key] = cuminstair.Row{Key: p.Key, Value: p.Value, Version: c.Version, Write: c.Commit.ID}
		}
		for _, key := range c.Commit.Deletes {
			delete(rows, key)
		}
		if err := fn(rows, c); err != nil {
			return fmt.Errorf("version %d, commit %s: %w", c.Version, c.Commit.ID, err)
		}
	}
	return nil
}

// PutObject implements cuminstair.Objects. If the answer is lost, it returns ErrUnavailable and not ErrUncertain, since
// it is safe to store the object again.
func (s *Service) PutObject(ctx context.Context, hash string, data []byte) error {
	err := s.putObject(ctx, hash, data)
	if errors.Is(err, cuminstair.ErrUncertain) {
		return fmt.Errorf("put object %s: the answer was lost: %w", hash, cuminstair.ErrUnavailable)
	}
	return err
}

func (s *Service) putObject(ctx context.Context, hash string, data []byte) error {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != hash {
		return fmt.Errorf("object %s: content has another hash", hash)
	}
	err := s.write(ctx, func() error {
		if s.objects == nil {
			s.objects = make(map[string][]byte)
		}
		s.objects[hash] = slices.Clone(data)
		return nil
	})
	if err != nil {
		return fmt.Errorf("put object %s: %w", hash, err)
	}
	return nil
}

// GetObject implements cuminstair.Objects.
func (s *Service) GetObject(ctx context.Context, hash string) ([]byte, error) {
	var data []byte
	err := s.read(ctx, func() error {
		found, ok := s.objects[hash]
		if !ok {
			return cuminstair.ErrNotFound
		}
		data = slices.Clone(found)
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("get object %s: %w", hash, err)
	}
	return data, nil
}

// sortedValues returns the values of a map, sorted by key.
func sortedValues[T any](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), cmp.Compare[string]) {
		out = append(out, m[k])
	}
	return out
}
