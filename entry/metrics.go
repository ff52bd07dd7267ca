package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cuminstair.org/cuminstair"
	"cuminstair.org/cuminstair/dispatch"
	"cuminstair.org/cuminstair/intake"
)

// Metrics has the counters and histograms of a daemon. It must be made with NewMetrics.
type Metrics struct {
	Calls       *prometheus.CounterVec   // calls that were refused or are uncertain, by method and outcome
	WorkerCalls *prometheus.HistogramVec // seconds, by order and outcome
	StoreWrites *prometheus.HistogramVec // seconds, by outcome
	Events      *prometheus.CounterVec   // events of jobs and tasks, by event
	Takeover    prometheus.Histogram     // seconds from the decision to take a service to the start of its runner
	Late        *prometheus.CounterVec   // forwarded calls that might be late copies, by what came of them
	Copies      *prometheus.CounterVec   // second copies of slow tasks, by outcome
	Wasted      prometheus.Counter       // core-seconds of the copies that did not complete their task
	Locality    *prometheus.CounterVec   // runs of tasks that want a rack, by outcome
	Connections prometheus.Counter       // opened to workers, the store and the platform's host control
	Limited     *prometheus.CounterVec   // connections closed and requests refused at a limit, by limit and listener
}

// NewMetrics returns metrics that are registered in reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	buckets := []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5}
	m := &Metrics{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_calls_total", Help: "Calls of callers that were refused or are uncertain.",
		}, []string{"method", "outcome"}),
		WorkerCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstair_worker_call_seconds", Help: "Calls to workers.", Buckets: buckets,
		}, []string{"order", "outcome"}),
		StoreWrites: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminstair_store_write_seconds", Help: "Transactions of services.", Buckets: buckets,
		}, []string{"outcome"}),
		Events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_job_events_total", Help: "Jobs accepted and refused, runs started, done, failed, lost and stopped, workers that crashed, records that the store refuses, shares of limits granted, accounts and tasks that limits kept waiting.",
		}, []string{"event"}),
		Takeover: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminstair_takeover_seconds", Help: "Time from the decision to take a service to its first order.", Buckets: buckets,
		}),
		Late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_late_calls_total", Help: "Forwarded calls that might be late copies.",
		}, []string{"outcome"}),
		Copies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_copies_total", Help: "Second copies of slow tasks that were started, that won and that were wasted.",
		}, []string{"outcome"}),
		Wasted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminstair_copies_wasted_core_seconds_total",
			Help: "Core-seconds of runs that did not complete their task, while a second copy of a slow task ran.",
		}),
		Locality: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_locality_total", Help: "Runs started of tasks that take longer away from a rack.",
		}, []string{"outcome"}),
		Connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminstair_connections_total", Help: "Connections opened to the platform.",
		}),
		Limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_client_limits_total", Help: "Connections closed and requests refused at a limit for clients.",
		}, []string{"limit", "listener"}),
	}
	reg.MustRegister(m.Calls, m.Events, m.WorkerCalls, m.StoreWrites, m.Takeover, m.Late, m.Copies, m.Wasted, m.Locality, m.Connections, m.Limited)
	return m
}

func (m *Metrics) countCall(method, outcome string) {
	switch method {
	case "GET", "POST", "DELETE":
	default:
		method = "other"
	}
	m.Calls.WithLabelValues(method, outcome).Inc()
}

// countEvents adds the events of a service between two readings of its counters.
func (m *Metrics) countEvents(before, now dispatch.Counts) {
	for _, e := range []struct {
		name string
		n    int
	}{
		{"accepted", now.Accepted - before.Accepted},
		{"refused", now.Refused - before.Refused},
		{"above_share", now.AboveShare - before.AboveShare},
		{"started", now.Starts - before.Starts},
		{"done", now.Done - before.Done},
		{"failed", now.Failed - before.Failed},
		{"lost", now.Lost - before.Lost},
		{"stopped", now.Stops - before.Stops},
		{"crashed", now.Crashes - before.Crashes},
		{"contradicted", now.Contradictions - before.Contradictions},
		{"withheld", now.Withheld - before.Withheld},
		{"granted", now.Grants - before.Grants},
		{"blocked", now.LimitBlocks - before.LimitBlocks},
		{"held back", now.LimitTasks - before.LimitTasks},
	} {
		if e.n > 0 {
			m.Events.WithLabelValues(e.name).Add(float64(e.n))
		}
	}
	m.countCopies(before, now)
	m.countLocality(&before.Locality, &now.Locality)
}

// countCopies adds the second copies of a service between two readings of its counters.
func (m *Metrics) countCopies(before, now dispatch.Counts) {
	m.Copies.WithLabelValues("started").Add(float64(now.Copies - before.Copies))
	m.Copies.WithLabelValues("won").Add(float64(now.CopiesWon - before.CopiesWon))
	m.Copies.WithLabelValues("wasted").Add(float64(now.CopiesWasted - before.CopiesWasted))
	m.Wasted.Add(now.WastedCoreSeconds - before.WastedCoreSeconds)
}

func (m *Metrics) countLocality(before, now *dispatch.LocalityCounts) {
	for _, e := range []struct {
		name string
		n    int
	}{
		{"near", now.Near - before.Near},
		{"waited then near", now.WaitedNear - before.WaitedNear},
		{"waited then remote", now.WaitedRemote - before.WaitedRemote},
		{"remote", now.Remote - before.Remote},
	} {
		if e.n > 0 {
			m.Locality.WithLabelValues(e.name).Add(float64(e.n))
		}
	}
}

var orderNames = [...]string{"start", "stop", "hold", "pace", "advise"}

func (m *Metrics) observeWorkerCall(kind dispatch.OrderKind, err error, took time.Duration) {
	m.WorkerCalls.WithLabelValues(orderNames[kind], outcome(err)).Observe(took.Seconds())
}

func (m *Metrics) observeStoreWrite(err error, took time.Duration) {
	m.StoreWrites.WithLabelValues(outcome(err)).Observe(took.Seconds())
}

// outcome maps an error to one of a fixed set of label values.
func outcome(err error) string {
	for _, o := range []struct {
		err  error
		name string
	}{
		{cuminstair.ErrUncertain, "uncertain"},
		{cuminstair.ErrNotDone, "refused"},
		{cuminstair.ErrUnavailable, "unavailable"},
		{cuminstair.ErrConflict, "conflict"},
		{cuminstair.ErrFenced, "fenced"},
		{cuminstair.ErrOtherIncarnation, "gone"},
		{cuminstair.ErrRestarted, "restarted"},
	} {
		if errors.Is(err, o.err) {
			return o.name
		}
	}
	if err != nil {
		return "error"
	}
	return "ok"
}

// serveMetrics serves the metrics until ctx ends. If it can't listen on MetricsAddr, it logs a warning and the daemon
// runs without serving them.
func (d *Daemon) serveMetrics(ctx context.Context) {
	if d.MetricsAddr == "" {
		return
	}
	l, err := d.gate.Listen(ctx, intake.Metrics, d.MetricsAddr)
	if err != nil {
		d.Log.Warn("entry: metrics are not served", "address", d.MetricsAddr, "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.Handler())
	server := &http.Server{Handler: mux}
	d.gate.Guard(server)
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}
