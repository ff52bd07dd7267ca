package health

import (
	"math"
	"time"
)

// Bounds of Quiet and shape of the histogram.
const (
	defaultQuiet = time.Second // until there are minTail latencies
	minQuiet     = 50 * time.Millisecond
	maxQuiet     = 10 * time.Second
	minTail      = 20
	tailShare    = 0.99
	tailDecayAt  = 1000 // latencies before all counts are halved
	tailFirst    = time.Millisecond
	tailBuckets  = 64
	tailStep     = 1.25 // factor from one bucket to the next; the last one starts at 1.6 million times the first
)

// tail is a histogram of latencies with buckets that grow by a constant factor.
type tail struct {
	counts [tailBuckets]uint16
	total  int
}

func (t *tail) add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	i := 0
	if latency > tailFirst {
		i = int(math.Log(float64(latency)/float64(tailFirst))/math.Log(tailStep)) + 1
	}
	t.counts[min(i, tailBuckets-1)]++
	t.total++
	if t.total >= tailDecayAt {
		t.decay()
	}
}

func (t *tail) decay() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += int(t.counts[i])
	}
}

// quiet returns the upper bound of the bucket that holds the 99th percentile.
func (t *tail) quiet() time.Duration {
	if t.total < minTail {
		return defaultQuiet
	}
	above := 0
	allowed := int((1 - tailShare) * float64(t.total))
	for i := tailBuckets - 1; i >= 0; i-- {
		above += int(t.counts[i])
		if above > allowed {
			bound := time.Duration(float64(tailFirst) * math.Pow(tailStep, float64(i)))
			return min(max(bound, minQuiet), maxQuiet)
		}
	}
	return minQuiet
}
