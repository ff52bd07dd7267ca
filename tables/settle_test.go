package tables_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/standin/table"
	"cuminstair.org/cuminstair/tables"
	"cuminstair.org/cuminstair/timer"
)

// TestMain fixes the seed of rapid, so that all runs use the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// racing is a table that calls its field before ahead of each read, so that the test can commit at that point.
type racing struct {
	*table.Service
	before func()
}

func (r racing) Rows(ctx context.Context, prefix string, since uint64) ([]cuminstair.Row, uint64, error) {
	r.before()
	return r.Service.Rows(ctx, prefix, since)
}

// Guards against a verdict that contradicts the history of the table. The commit may take effect before, between or
// after the reads of Settle, while other commits overwrite its rows.
func TestSettleAgainstHistory(t *testing.T) {
	verdicts := make(map[tables.Verdict]int)
	rapid.Check(t, func(t *rapid.T) {
		s := &table.Service{Timer: timer.NewVirtual(time.Unix(0, 0))}
		keys := []string{"a", "a/1", "b"}
		other := 0
		overwrite := func() {
			other++
			key := rapid.SampledFrom(keys).Draw(t, "key")
			_, _ = s.Commit(t.Context(), cuminstair.Commit{ID: fmt.Sprint(other), Puts: []cuminstair.Put{{Key: key}}})
		}
		for range rapid.IntRange(0, 4).Draw(t, "earlier") {
			overwrite()
		}
		_, since, _ := s.Rows(t.Context(), "", 0)
		c := cuminstair.Commit{ID: "x"}
		for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 3, rapid.ID).Draw(t, "checks") {
			c.Checks = append(c.Checks, cuminstair.Check{Key: key, Version: version(s, key)})
		}
		for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 3, rapid.ID).Draw(t, "puts") {
			c.Puts = append(c.Puts, cuminstair.Put{Key: key})
		}
		if !rapid.Bool().Draw(t, "known") {
			since = 0
		}
		arrived := false
		step := func() {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				overwrite()
			case 1:
				if !arrived {
					arrived = true
					_, _ = s.Commit(t.Context(), c)
				}
			}
		}
		step()
		got, err := tables.Settle(t.Context(), racing{s, step}, c, since)
		if err != nil {
			t.Fatal(err)
		}
		applied := inHistory(s, "x")
		if !arrived {
			_, err = s.Commit(t.Context(), c)
		}
		verdicts[got]++
		switch {
		case got == tables.Done && !applied:
			t.Fatal("done, but the commit is not in the history")
		case got == tables.Never && inHistory(s, "x"):
			t.Fatal("never, but the commit is in the history")
		case got == tables.Moved && !arrived && !errors.Is(err, cuminstair.ErrConflict):
			t.Fatal("moved, but the commit could still take effect")
		}
	})
	for _, v := range []tables.Verdict{tables.Pending, tables.Done, tables.Never, tables.Moved} {
		if verdicts[v] == 0 {
			t.Errorf("no generated case had the verdict %s", v)
		}
	}
}

func version(s *table.Service, key string) uint64 {
	rows, _, _ := s.Rows(context.Background(), key, 0)
	for _, r := range rows {
		if r.Key == key {
			return r.Version
		}
	}
	return 0
}

func inHistory(s *table.Service, id string) bool {
	for _, c := range s.History() {
		if c.Commit.ID == id {
			return true
		}
	}
	return false
}
