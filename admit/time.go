package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Weights of a new sample in the moving averages.
const (
	meanWeight      = 0.05
	deviationWeight = 0.05
)

// serviceTime is the learned time that an upstream takes for one kind of work. Nothing is assumed before the first
// sample.
type serviceTime struct {
	mean      float64 // seconds
	deviation float64 // mean absolute deviation in seconds
}

// observe takes the result of a request. A request without an answer took at least its latency, so that it counts only
// if it raises the mean.
func (t *serviceTime) observe(res cuminstair.Result) {
	took := res.Latency.Seconds()
	if took <= 0 || (res.Outcome != cuminstair.OutcomeDone && took < t.mean) {
		return
	}
	if t.mean == 0 {
		t.mean = took
		return
	}
	diff := took - t.mean
	t.mean += meanWeight * diff
	t.deviation += deviationWeight * (max(diff, -diff) - t.deviation)
}

// need returns the time that a request must have left when it starts.
func (t *serviceTime) need() time.Duration { return seconds(t.mean) }
