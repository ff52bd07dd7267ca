package admit

import (
	"time"

	"cuminstair.org/cuminstair"
)

// Weights of a new sample in the moving averages, and the margin.
const (
	meanWeight      = 0.05
	deviationWeight = 0.05
	// needDeviations is how many mean deviations above the mean a request must have left when it starts. With 0, 63% of
	// the requests that start at the last moment end in time if service times are exponential; with 3, 96% do.
	needDeviations = 3
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

// need returns the time that a request of a kind with a deadline must have left when it starts. The margin above the
// mean takes at most half of the deadline.
func (t *serviceTime) need(deadline time.Duration) time.Duration {
	most := max(t.mean, deadline.Seconds()/2)
	return seconds(min(t.mean+needDeviations*t.deviation, most))
}
