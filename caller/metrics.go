package caller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests. A nil *Metrics counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	inflight prometheus.Gauge
}

// NewMetrics registers the metrics of the request path.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminstair_requests_total",
			Help: "Requests of callers by outcome.",
		}, []string{"service", "kind", "outcome", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cuminstair_request_seconds",
			Help:    "Time from the end of the checks of the edge to the outcome.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"service", "kind"}),
		inflight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cuminstair_requests_inflight",
			Help: "Requests of callers that have no outcome yet, queued ones included.",
		}),
	}
	r.MustRegister(m.requests, m.seconds, m.inflight)
	return m
}

func (m *Metrics) begin() {
	if m != nil {
		m.inflight.Inc()
	}
}

// end counts a request. The labels of a request that did not pass its checks are empty: a caller can send any names,
// and the number of series must be bounded by the names in the fleet file.
func (m *Metrics) end(x *exchange, took time.Duration) {
	if m == nil {
		return
	}
	m.inflight.Dec()
	answer, service, kind := x.answer, "", ""
	if x.checked {
		service, kind = x.request.Service, x.request.Kind
	}
	m.requests.WithLabelValues(service, kind, answer.Outcome.String(), string(answer.Reason)).Inc()
	m.seconds.WithLabelValues(service, kind).Observe(took.Seconds())
}
