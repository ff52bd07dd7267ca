package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Weights of a new sample in the moving averages, and the safety margin.
const (
	meanWeight      = 0.05
	deviationWeight = 0.05
	// needDeviations is how many mean absolute deviations above the mean must be left before the deadline when a request
	// starts. With exponential service times, 63% of the requests that start at the last moment end in time if this is 0,
	// and 96% if it is 3.
	needDeviations = 3
)

// serviceTime is the learned time that an upstream takes for one kind of work. It is zero before the first sample.
type serviceTime struct {
	mean      float64 // seconds
	deviation float64 // mean absolute deviation in seconds
}

// observe adds the result of a request. The service time of a request without an answer is at least its latency, so
// the latency is used only if it raises the mean.
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

// timeNeeded returns how long before its deadline a request has to start: the mean plus a margin, limited to half of
// the kind's deadline unless the mean itself is larger.
func (t *serviceTime) timeNeeded(deadline time.Duration) time.Duration {
	limit := max(t.mean, deadline.Seconds()/2)
	return seconds(min(t.mean+needDeviations*t.deviation, limit))
}
