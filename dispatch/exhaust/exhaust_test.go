package exhaust_test

import (
	"flag"
	"testing"

	"cuminstair.org/cuminstair/dispatch/exhaust"
)

var (
	depth  = flag.Int("exhaust.depth", 0, "events in an order; 0: that of the configuration")
	name   = flag.String("exhaust.name", "", "configuration to run; empty: all")
	most   = flag.Int("exhaust.violations", 1, "kinds of violations to find")
	cores  = flag.Int("exhaust.parallel", 1, "goroutines")
	late   = flag.Bool("exhaust.late", true, "calls without an answer may be carried out late")
	replay = flag.String("exhaust.replay", "", "events to replay in the configuration, separated by commas")
)

// longDelays is the configuration in which starts are carried out later than the longest lease.
const longDelays = "late"

// Guards against a run that is taken as ended while it is alive or can still begin, and against tasks that wait for ever.
func TestEveryOrder(t *testing.T) {
	checkEveryOrder(t, func(configuration string) bool { return configuration != longDelays })
}

// Guards against the same where a start may be carried out after the longest lease of its order.
func TestEveryOrderWithLongDelays(t *testing.T) {
	checkEveryOrder(t, func(configuration string) bool { return configuration == longDelays })
}

func checkEveryOrder(t *testing.T, chosen func(configuration string) bool) {
	t.Helper()
	for _, opts := range exhaust.Configurations() {
		if *name != "" && opts.Name != *name || !chosen(opts.Name) {
			continue
		}
		if *depth > 0 {
			opts.Depth = *depth
		}
		if !*late {
			opts.Late = exhaust.Calls{}
		}
		opts.MaxViolations, opts.Parallel = *most, *cores
		t.Run(opts.Name, func(t *testing.T) {
			if *replay != "" {
				replayEvents(t, opts)
				return
			}
			r, err := exhaust.Run(opts)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			for _, v := range r.Violations {
				text, _ := exhaust.Replay(opts, v.Events)
				t.Errorf("%s\n%s", v, text)
			}
		})
	}
}

func replayEvents(t *testing.T, opts exhaust.Options) {
	events, err := exhaust.ParseEvents(*replay)
	if err != nil {
		t.Fatal(err)
	}
	text, v := exhaust.Replay(opts, events)
	t.Log(text)
	if v != nil {
		t.Error(v)
	}
}
