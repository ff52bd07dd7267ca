package health

import (
	"math"
	"time"
)

// Bounds of the quiet time, after which a connection without data is probed, and shape of the histogram.
const (
	defaultQuiet     = time.Second // used until there are minLatencies
	minQuiet         = 50 * time.Millisecond
	maxQuiet         = 10 * time.Second
	minLatencies     = 20
	quietQuantile    = 0.99
	histogramDecayAt = 1000 // number of latencies at which all counts are halved
	firstBucket      = time.Millisecond
	bucketCount      = 64
	bucketFactor     = 1.25 // factor from one bucket to the next; the last one starts at 1.02 million times firstBucket
)

// latencyHistogram counts latencies in buckets whose bounds grow by a constant factor.
type latencyHistogram struct {
	counts [bucketCount]uint16
	total  int
}

func (t *latencyHistogram) add(latency time.Duration) {
	if latency <= 0 {
		return
	}
	i := 0
	if latency > firstBucket {
		i = int(math.Log(float64(latency)/float64(firstBucket))/math.Log(bucketFactor)) + 1
	}
	t.counts[min(i, bucketCount-1)]++
	t.total++
	if t.total >= histogramDecayAt {
		t.decay()
	}
}

func (t *latencyHistogram) decay() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += int(t.counts[i])
	}
}

// quietTime returns the upper bound of the bucket that holds the 99th percentile, between minQuiet and maxQuiet.
func (t *latencyHistogram) quietTime() time.Duration {
	if t.total < minLatencies {
		return defaultQuiet
	}
	above := 0
	allowed := int((1 - quietQuantile) * float64(t.total))
	for i := bucketCount - 1; i >= 0; i-- {
		above += int(t.counts[i])
		if above > allowed {
			bound := time.Duration(float64(firstBucket) * math.Pow(bucketFactor, float64(i)))
			return min(max(bound, minQuiet), maxQuiet)
		}
	}
	return minQuiet
}
