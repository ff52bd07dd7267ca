package member_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair/member"
)

// BenchmarkFleet starts fleets of several sizes at once and, when they have settled, measures the bytes that a node
// sends in a second, the share of wrong suspicions, and when a killed daemon is out of use.
func BenchmarkFleet(b *testing.B) {
	for _, c := range []struct {
		count, centres int
		loss           float64
	}{{9, 3, 0}, {9, 3, 0.2}, {50, 4, 0}, {50, 4, 0.2}, {100, 4, 0}, {280, 7, 0}} {
		b.Run(fmt.Sprintf("%d-loss-%.1f", c.count, c.loss), func(b *testing.B) {
			for b.Loop() {
				measure(b, newNetwork(b, 7, c.count, c.centres, c.loss))
			}
		})
	}
}

func measure(b *testing.B, n *network) {
	n.run(100 * time.Second)
	for _, d := range n.daemons {
		d.sent = 0
	}
	wrong, seen := 0, 0
	for range 10 {
		n.run(time.Second)
		for _, d := range n.daemons {
			wrong += n.count(d, member.Suspect) + n.count(d, member.Gone)
			seen += len(n.daemons) - 1
		}
	}
	total, most := 0, 0
	for _, d := range n.daemons {
		total += d.sent
		most = max(most, d.sent)
	}
	near, far := n.unused(n.daemons[3])
	b.ReportMetric(float64(total)/float64(len(n.daemons))/10, "bytes/s-mean")
	b.ReportMetric(float64(most)/10, "bytes/s-most")
	b.ReportMetric(100*float64(wrong)/float64(seen), "%-wrongly-suspect")
	b.ReportMetric(near.Seconds(), "s-out-of-use-near")
	b.ReportMetric(far.Seconds(), "s-out-of-use-far")
}

// unused kills a daemon and returns until when daemons of its data centre, and of others, take it for healthy.
func (n *network) unused(dead *daemon) (near, far time.Duration) {
	dead.up = false
	killed := n.now
	for range 100 {
		n.run(100 * time.Millisecond)
		for _, d := range n.daemons {
			switch {
			case d == dead || n.sees(d, dead) != member.Healthy:
			case d.Self.Centre == dead.Self.Centre:
				near = n.now.Sub(killed)
			default:
				far = n.now.Sub(killed)
			}
		}
	}
	return near, far
}
