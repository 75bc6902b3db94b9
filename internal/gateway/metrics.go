package gateway

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of an instance. Requests are labeled by kind and
// rank rather than by route or team, since routes and teams change with the
// configuration.
type metrics struct {
	registry              *prometheus.Registry
	firstOutputSeconds    *prometheus.HistogramVec
	queueSeconds          *prometheus.HistogramVec
	requests              *prometheus.CounterVec
	errorResponses        *prometheus.CounterVec
	unanswered            *prometheus.CounterVec
	closedWaiting         *prometheus.CounterVec
	attempts              *prometheus.CounterVec
	retries               *prometheus.CounterVec
	retrySlack            prometheus.Gauge
	resumes               prometheus.Counter
	streamsLocated        *prometheus.CounterVec
	bodyWaits             *prometheus.CounterVec
	relays                *prometheus.CounterVec
	upstreamsThroughPeers prometheus.Gauge
	configurationVersion  prometheus.Gauge
	heldAtStart           prometheus.Counter
	platformReads         *prometheus.CounterVec
	readsPlatform         prometheus.Gauge
	platformAvailable     prometheus.Gauge
	deferredRemovals      prometheus.Gauge
	pullAnswerBytes       *prometheus.CounterVec
	evacuated             *prometheus.GaugeVec
	coldUpstreams         *prometheus.GaugeVec
	coldPlacements        *prometheus.CounterVec
	connections           prometheus.Gauge
	evicted               *prometheus.CounterVec
	duplicates            *prometheus.CounterVec
}

const namespace = "yuccabridge"

// latencyBuckets range from 5 ms to 20 s in powers of two.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 13)

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.firstOutputSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "gateway_first_output_seconds",
		Help: "Time from a request's arrival to its answer or first event.", Buckets: latencyBuckets}, []string{"kind", "rank"})
	m.queueSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "gateway_queue_seconds",
		Help: "Time that a request that could not be placed at once waited in the dispatcher.", Buckets: latencyBuckets}, []string{"kind", "rank"})
	m.requests = counter("gateway_requests_total", "Requests by how they ended.", "kind", "rank", "outcome")
	m.errorResponses = counter("gateway_refused_total", "Answers of the instance's own by code.", "code")
	m.unanswered = counter("gateway_unanswered_total", "Connections that were closed with a request that was not answered, by whether its bytes had been read.", "bytes")
	m.closedWaiting = counter("gateway_waiting_connections_closed_total", "Connections of callers that were closed while they waited for a request, by reason.", "reason")
	m.attempts = counter("gateway_attempts_total", "Sendings to upstreams by how they ended.", "outcome")
	m.retries = counter("gateway_retries_total", "Decisions of the retry budget.", "decision")
	m.retrySlack = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_retry_slack", Help: "Share of this instance in the retries of one window that need no requests."})
	m.resumes = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_resumes_total", Help: "Streams that went on at another upstream."})
	m.streamsLocated = counter("gateway_streams_located_total", "Streams that callers went on with, by where their origin was known.", "source")
	m.bodyWaits = counter("gateway_request_body_waits_total", "Request bodies that were not read at once for want of memory, by result.", "result")
	m.relays = counter("gateway_relays_total", "Connections to upstreams through peers, by side and result.", "side", "result")
	m.upstreamsThroughPeers = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_upstreams_through_peers", Help: "Upstreams that this instance reaches through peers only."})
	m.configurationVersion = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_configuration_version", Help: "Version of the configuration in force."})
	m.heldAtStart = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "gateway_held_at_start_total", Help: "Requests that arrived while the instance was starting and were held."})
	m.platformReads = counter("gateway_platform_reads_total", "Calls for changes of what the platform publishes, by source.", "source")
	m.readsPlatform = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_reads_platform", Help: "1 if this instance reads the platform for its failure domain."})
	m.platformAvailable = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_platform_available", Help: "1 if the last call of the platform was answered."})
	m.deferredRemovals = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_deferred_removals", Help: "Upstreams whose entries are missing and that are kept because of an outage of the platform."})
	m.pullAnswerBytes = counter("gateway_pull_answer_bytes_total", "Bytes of answers to peers that ask what is published, by content.", "content")
	m.evacuated = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_domain_evacuated", Help: "1 while the operator has evacuated the failure domain."}, []string{"failure_domain"})
	m.coldUpstreams = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_cold_upstreams", Help: "Upstreams that count as cold."}, []string{"service"})
	m.coldPlacements = counter("gateway_cold_placements_total", "Requests that this instance has placed at cold upstreams.", "service")
	m.connections = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "gateway_connections", Help: "Open connections of callers."})
	m.evicted = counter("gateway_connections_evicted_total", "Connections of callers that were closed to make room for others, or not accepted, by reason.", "reason")
	m.duplicates = counter("gateway_duplicates_total", "Second attempts of requests whose first output was late, by result.", "result")
	m.registry.MustRegister(m.duplicates, m.connections, m.evicted, m.evacuated, m.coldUpstreams, m.coldPlacements, m.pullAnswerBytes, m.platformAvailable, m.deferredRemovals, m.platformReads, m.readsPlatform, m.heldAtStart, m.firstOutputSeconds, m.queueSeconds, m.requests, m.errorResponses, m.unanswered, m.closedWaiting, m.attempts, m.retries, m.retrySlack, m.resumes, m.streamsLocated, m.bodyWaits, m.relays, m.upstreamsThroughPeers, m.configurationVersion)
	return m
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}
