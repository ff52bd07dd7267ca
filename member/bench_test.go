package member_test

import (
	"fmt"
	"testing"
	"time"

	"cuminstair.org/cuminstair/member"
)

// BenchmarkFleet starts all daemons of a fleet together and, once membership has settled, measures the bytes that a
// daemon sends per second, the share of false suspicions, and the time until a killed daemon is out of use.
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
	falsePositives, seen := 0, 0
	for range 10 {
		n.run(time.Second)
		for _, d := range n.daemons {
			falsePositives += n.count(d, member.Suspect) + n.count(d, member.Gone)
			seen += len(n.daemons) - 1
		}
	}
	total, maxSent := 0, 0
	for _, d := range n.daemons {
		total += d.sent
		maxSent = max(maxSent, d.sent)
	}
	near, far := n.killAndMeasure(n.daemons[3])
	b.ReportMetric(float64(total)/float64(len(n.daemons))/10, "bytes/s-mean")
	b.ReportMetric(float64(maxSent)/10, "bytes/s-most")
	b.ReportMetric(100*float64(falsePositives)/float64(seen), "%-wrongly-suspect")
	b.ReportMetric(near.Seconds(), "s-out-of-use-near")
	b.ReportMetric(far.Seconds(), "s-out-of-use-far")
}

// killAndMeasure kills a daemon and returns how long daemons of its data centre, and those of other data centres, still
// see it as healthy.
func (n *network) killAndMeasure(dead *daemon) (ownCentre, otherCentres time.Duration) {
	dead.up = false
	killed := n.now
	for range 100 {
		n.run(100 * time.Millisecond)
		for _, d := range n.daemons {
			switch {
			case d == dead || n.sees(d, dead) != member.Healthy:
			case d.Self.Centre == dead.Self.Centre:
				ownCentre = n.now.Sub(killed)
			default:
				otherCentres = n.now.Sub(killed)
			}
		}
	}
	return ownCentre, otherCentres
}
