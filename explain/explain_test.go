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

// Guards against answers that show another request's decisions, the wrong order, or more than the ring holds.
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

// Guards against decisions without a log line at the end of the process, and against losing some without saying so.
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

// Guards against a writer that is woken for each decision, that waits for a batch although half the ring is full, or
// that never writes the last ones.
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
		lines := func(n int) {
			is.Helper()
			synctest.Wait()
			is.Equal(strings.Count(out.String(), "caller decided"), n)
		}
		record(r, "r1", "host")
		record(r, "r2", "host")
		lines(0)
		clock.Advance(10 * time.Millisecond)
		lines(2)
		record(r, "r3", "host")
		lines(2)
		for range 3 {
			record(r, "r4", "host")
		}
		lines(6)
		record(r, "r5", "host")
		cancel()
		is.NoErr(<-ended)
		lines(7)
	})
}
