package route_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"cuminstair.org/cuminstair/trace"
)

// Guards against phases of lowered load that add to the loss of capacity while an instance is out, and against a service
// whose limits are never checked again because an instance stays out.
func TestNoLoweredLoadSoonAfterALoss(t *testing.T) {
	const (
		lossAt    = 20 // s; the first phase is over by then and showed nothing new
		quietFor  = 70 // s after the loss without a phase
		end       = 200
		remaining = (adaptHosts - 1) * adaptSlots
	)
	is, lateLowered := is.New(t), 0
	for seed := range uint64(2) {
		seen := adapt(seed, adaptSlots, load(0, adaptSlots, 0.75),
			trace.Line{At: ms(lossAt * 1000), Event: trace.EventLeave, Host: "h1"}, load(end, adaptSlots, 0))
		is.True(slices.Min(seen[:lossAt]) <= 0.7*adaptHosts*adaptSlots) // the first phase
		is.True(slices.Min(seen[lossAt+5:lossAt+quietFor]) >= 0.8*remaining)
		if slices.Min(seen[lossAt+quietFor:end]) <= 0.7*remaining {
			lateLowered++
		}
	}
	t.Logf("phases of lowered load later in %d of 2 runs", lateLowered)
	is.True(lateLowered > 0)
}
