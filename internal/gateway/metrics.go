package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics are the instance's own metrics. Routes and teams come and go with
// configurations, so requests are labelled by kind and priority.
type metrics struct {
	registry *prometheus.Registry
	latency  *prometheus.HistogramVec
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	attempts *prometheus.CounterVec
	resumes  prometheus.Counter
	version  prometheus.Gauge
}

const namespace = "yuccabridge"

// latencyBuckets span 5 ms to 20 s in factors of two, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "gateway_first_output_seconds",
		Help: "Time from a request's arrival to its answer or first event.", Buckets: latencyBuckets}, []string{"kind", "priority"})
	m.requests = counter("gateway_requests_total", "Requests by how they ended.", "kind", "priority", "outcome")
	m.refused = counter("gateway_refused_total", "Answers of the instance's own by code.", "code")
	m.attempts = counter("gateway_attempts_total", "Sendings to upstreams by how they ended.", "outcome")
	m.resumes = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_resumes_total", Help: "Streams that went on at another upstream."})
	m.version = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_configuration_version", Help: "Version of the configuration in force."})
	m.registry.MustRegister(m.latency, m.requests, m.refused, m.attempts, m.resumes, m.version)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
