package daemon_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/admit"
	"cuminstair.org/cuminstair/daemon"
	"cuminstair.org/cuminstair/health"
	"cuminstair.org/cuminstair/retry"
	"cuminstair.org/cuminstair/route"
	"cuminstair.org/cuminstair/standin/instance"
	"cuminstair.org/cuminstair/timer"
)

// benchConns is the number of connections of an instance (section 1.2 of docs/design.md).
const benchConns = 64

// BenchmarkThroughDaemon compares requests through one daemon with direct requests to the same instance, alternating
// within the same run. The target is a throughput of at least half that of direct requests. "plain" uses the defaults of
// package daemon, "full" the router, admission, quotas, retries and health of package node and a logger that formats
// each line.
func BenchmarkThroughDaemon(b *testing.B) {
	for _, work := range []string{"0s", "1ms"} {
		fault := "delay=" + work
		b.Run("plain/work="+work, func(b *testing.B) { compare(b, fault, nil) })
		b.Run("full/work="+work, func(b *testing.B) { compare(b, fault, withNodeParts) })
	}
}

// withNodeParts sets the router, admission, quotas, retries and health that package node uses.
func withNodeParts(d *daemon.Daemon) {
	random := rand.New(rand.NewPCG(1, 2))
	d.Log = hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info})
	d.Router = &route.Router{Centre: "c1", Rand: random}
	d.NewAdmission = func() cuminstair.Admission { return &admit.Queue{} }
	d.Quotas = &admit.Quotas{}
	d.Retries = &retry.Budget{Rand: random}
	d.Health = &health.Monitor{}
}

func compare(b *testing.B, fault string, change func(d *daemon.Daemon)) {
	clock := realClock(b)
	// The daemon opens connections besides those of the direct requests. The limit is high enough for both, since it is
	// not what is measured.
	s := &instance.Server{Timer: clock, Conns: 4 * benchConns}
	addr := serve(b, s)
	d := start(b, loadSettings(b, []string{addr}, `"wait": "0s"`), clock, change)
	direct := &loadGenerator{clock: clock, client: newClient(b, benchConns), url: "http://" + addr, fault: fault}
	through := &loadGenerator{clock: clock, client: newClient(b, benchConns), url: d.url, fault: fault}
	direct.run(b, benchConns)
	through.run(b, benchConns)
	direct.reset()
	through.reset()
	const batch = 1000
	b.ResetTimer()
	for n := 0; n < b.N; n += batch {
		direct.run(b, batch)
		through.run(b, batch)
	}
	b.ReportMetric(through.rate()/direct.rate(), "throughput/direct")
	b.ReportMetric(float64(through.median())/float64(direct.median()), "median/direct")
	b.ReportMetric(through.rate(), "req/s")
	b.ReportMetric(direct.rate(), "direct-req/s")
	b.ReportMetric(through.median().Seconds()*1000, "median-ms")
	b.ReportMetric(0, "ns/op")
	through.client.CloseIdleConnections()
	d.stop()
	is.New(b).NoErr(<-d.ended)
}

// loadGenerator sends requests over benchConns connections.
type loadGenerator struct {
	clock  *timer.Service
	client *http.Client
	url    string
	fault  string
	took   time.Duration
	times  []time.Duration
}

func (l *loadGenerator) reset() { l.took, l.times = 0, nil }

func (l *loadGenerator) run(b *testing.B, n int) {
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := l.clock.Now()
	for range benchConns {
		wg.Go(func() {
			for next.Add(1) <= int64(n) {
				sent := l.clock.Now()
				answer, err := post(context.Background(), l.client, l.url, "portion", l.fault, "body")
				if err != nil || answer.body != "body" {
					b.Error(answer, err)
					return
				}
				mu.Lock()
				l.times = append(l.times, l.clock.Now().Sub(sent))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	l.took += l.clock.Now().Sub(began)
}

// rate returns the requests per second.
func (l *loadGenerator) rate() float64 { return float64(len(l.times)) / l.took.Seconds() }

func (l *loadGenerator) median() time.Duration {
	sorted := slices.Sorted(slices.Values(l.times))
	return sorted[len(sorted)/2]
}
