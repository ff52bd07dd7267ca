package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair"
)

// BenchmarkPeak measures one second of peak load on 270 workers: 150 jobs a second, of two steps with 8 short tasks
// each.
func BenchmarkPeak(b *testing.B) {
	const jobsPerTick = 3
	t := &testing.T{}
	p := newPool(t, 0)
	for i := range 270 {
		p.addWorker(fmt.Sprintf("w%d", i), i/8)
	}
	p.takeOver(200, 0)
	p.duration = func(cuminstair.TaskID) time.Duration { return 640 * time.Millisecond }
	p.run(500 * time.Millisecond)
	n := 0
	second := func() {
		for range int(time.Second / tick) {
			for range jobsPerTick {
				n++
				next := step(8, 3100)
				next.After = []int{0}
				p.submit(fmt.Sprintf("%016x", n), step(8, 3100), next)
			}
			p.run(tick)
		}
	}
	second()
	b.ResetTimer()
	for range b.N {
		second()
	}
	b.ReportMetric(float64(len(p.starts))/float64(b.N+1), "starts/s")
}
