package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the Prometheus metrics of an instance. Only counters have a team label:
// histograms are labelled by class, so that 2,400 teams do not multiply the buckets.
type metrics struct {
	registry            *prometheus.Registry
	timeToFirstToken    *prometheus.HistogramVec
	tokenInterval       *prometheus.HistogramVec
	requests            *prometheus.CounterVec
	rejected            *prometheus.CounterVec
	retries             *prometheus.CounterVec
	resumes             *prometheus.CounterVec
	brokenStreams       *prometheus.CounterVec
	mismatchedResponses *prometheus.CounterVec
	crashes             *prometheus.CounterVec
	orderOutcomes       *prometheus.CounterVec
	placementCommands   *prometheus.CounterVec
	evicted             *prometheus.CounterVec
	revision            prometheus.Gauge
	configRejected      prometheus.Counter
}

// latencyBuckets range from 5 ms to 82 s in factors of two, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.005, 2, 15)

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.timeToFirstToken = m.histogram("first_token_seconds", "Time from a request's arrival to its first token or whole answer.", "class")
	m.tokenInterval = m.histogram("token_interval_seconds", "Mean time between the tokens of a streamed answer.", "class")
	m.requests = m.counter("requests_total", "Requests that were answered by an upstream.", "class", "team")
	m.rejected = m.counter("refused_total", "Requests that were refused, by error code.", "code")
	m.retries = m.counter("retries_total", "Retries at another upstream.", "class")
	m.resumes = m.counter("resumes_total", "Streams continued over a fresh connection to the same engine.", "pool")
	m.brokenStreams = m.counter("broken_streams_total", "Streams that ended before their end.", "class")
	m.mismatchedResponses = m.counter("foreign_answers_total", "Answers dropped because they belong to another request.", "pool")
	m.crashes = m.counter("upstream_crashes_total", "Crashes of upstreams seen by requests in progress.", "pool")
	m.orderOutcomes = m.counter("orders_total", "Non-idempotent orders by outcome.", "outcome")
	m.placementCommands = m.counter("placement_commands_total", "Placement commands to engines by outcome.", "outcome")
	m.evicted = m.counter("connections_evicted_total", "Connections of callers that were closed to make room for others, or not accepted, by reason.", "reason")
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "configuration_revision", Help: "Revision of the configuration in force."})
	m.configRejected = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "configuration_refused_total", Help: "Configurations refused as invalid."})
	m.registry.MustRegister(m.revision, m.configRejected)
	return m
}

const namespace = "yuccabridge"

func (m *metrics) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
	m.registry.MustRegister(h)
	return h
}

func (m *metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(c)
	return c
}

// registerPeerCounters exports the counts of messages and connections rejected by the peer
// protocols. Unauthenticated, truncated, oversized and replayed messages have no other effect.
func (m *metrics) registerPeerCounters(g *peerGroup) {
	for reason, count := range map[string]func() uint64{
		"datagram_unauthenticated": func() uint64 { return g.codec.Stats().Unauthenticated },
		"datagram_truncated":       func() uint64 { return g.codec.Stats().Truncated },
		"datagram_oversized":       func() uint64 { return g.codec.Stats().Oversized },
		"datagram_malformed":       func() uint64 { return g.codec.Stats().Malformed },
		"datagram_replayed":        func() uint64 { return g.codec.Stats().Replayed },
		"frame_unauthenticated":    func() uint64 { return g.node.Stats().Unauthenticated },
		"frame_oversized":          func() uint64 { return g.node.Stats().Oversized },
		"frame_malformed":          func() uint64 { return g.node.Stats().Malformed },
		"frame_unknown":            func() uint64 { return g.node.Stats().Unknown },
		"handshake_failed":         func() uint64 { return g.node.Stats().HandshakeFailures },
		"key_files_unusable":       func() uint64 { return g.node.Stats().ReloadFailures },
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "peer_refused_total", Help: "Messages and connections of peers that were refused.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(count()) }))
	}
}

// recordServed counts a request that an upstream has served.
func (m *metrics) recordServed(r *request, interval time.Duration) {
	m.requests.WithLabelValues(r.class.Name, r.team.name).Inc()
	if interval > 0 {
		m.tokenInterval.WithLabelValues(r.class.Name).Observe(interval.Seconds())
	}
}

// observeFirstToken records the time from the request's arrival to its first token.
func (r *request) observeFirstToken(now time.Duration) {
	r.pool.instance.metrics.timeToFirstToken.WithLabelValues(r.class.Name).Observe((now - r.arrived).Seconds())
}
