package explain_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/explain"
	"cuminstair.org/cuminstair/timer"
)

func record(r *explain.Ring, id, choice string) {
	r.Record(cuminstair.Decision{Part: "caller", Kind: "request", ID: id, Choice: choice, Reason: cuminstair.ReasonLocal})
}

// Guards against lookups that return decisions about another request, in the wrong order, or already overwritten.
func TestLookup(t *testing.T) {
	is := is.New(t)
	r := explain.New(4, hclog.NewNullLogger())
	for i := range 6 {
		record(r, fmt.Sprint("r", i%2), fmt.Sprint("host", i))
	}
	found := r.Lookup("request", "r1")
	is.Equal(len(found), 2)
	is.Equal(found[0].Choice, "host3")
	is.Equal(found[1].Choice, "host5")
	is.Equal(len(r.Lookup("host", "r1")), 0)
}

// Guards against decisions that are not logged before the process ends, and against overwritten ones not being reported.
func TestRunWritesEachDecision(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	r := explain.New(4, hclog.New(&hclog.LoggerOptions{Output: &out}))
	for i := range 6 {
		record(r, fmt.Sprint("r", i), "host")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(r.Run(ctx))
	is.Equal(strings.Count(out.String(), "caller decided"), 4)
	is.True(strings.Contains(out.String(), "count=2"))
	is.True(strings.Contains(out.String(), "reason=local"))
}

// Guards against a log writer that is woken for each decision, that waits for batchTime although half the ring is full,
// or that does not write the last decisions when it stops.
func TestRunGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		clock := timer.NewVirtual(time.Unix(1000, 0))
		r := explain.New(8, hclog.New(&hclog.LoggerOptions{Output: &out}))
		r.Timer = clock
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- r.Run(ctx) }()
		expectLines := func(n int) {
			is.Helper()
			synctest.Wait()
			is.Equal(strings.Count(out.String(), "caller decided"), n)
		}
		record(r, "r1", "host")
		record(r, "r2", "host")
		expectLines(0)
		clock.Advance(10 * time.Millisecond)
		expectLines(2)
		record(r, "r3", "host")
		expectLines(2)
		for range 3 {
			record(r, "r4", "host")
		}
		expectLines(6)
		record(r, "r5", "host")
		cancel()
		is.NoErr(<-ended)
		expectLines(7)
	})
}
