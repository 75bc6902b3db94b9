package gateway

import (
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

const (
	// maxHeaderBytes bounds the header of a request; it is larger than any limit in a
	// configuration.
	maxHeaderBytes = 20 << 10
	// defaultMaxBodyBytes bounds a request body, also before the configuration is known; a
	// configuration can only lower the limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultIdleTimeout applies to idle caller connections unless the configuration sets a
	// timeout.
	defaultIdleTimeout = 15 * time.Second
	// bodyReadTimeout is the time allowed for the body of a request in addition to the
	// header timeout.
	bodyReadTimeout = 10 * time.Second
	// writeTimeout bounds a single write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// callerKeepAliveInterval is the idle time before the first TCP keep-alive probe and
	// the interval between probes; they detect caller connections that failed silently.
	callerKeepAliveInterval = 2 * time.Second
)

// concurrencyFactor times the limit of connections is the server's own limit, which counts a connection that has been closed
// until its goroutine has ended.
const concurrencyFactor = 2

func (g *Gateway) newCallerServer() *fasthttp.Server {
	server := &fasthttp.Server{
		Handler:                       g.handleRequest,
		ErrorHandler:                  g.handleReadError,
		HeaderReceived:                holdTooLargeBody,
		ExpectHandler:                 g.handleExpectation,
		StreamRequestBody:             true,
		MaxRequestBodySize:            defaultMaxBodyBytes,
		ReadBufferSize:                maxHeaderBytes,
		Concurrency:                   concurrencyFactor * g.settings.MaxConnections,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: true,
		SecureErrorLogMessage:         true,
		DisablePreParseMultipartForm:  true,
		Logger:                        debugLogger{g},
	}
	caller.Attach(server, func() time.Duration { return lifecycle.ReuseTimeout(g.settings.DrainDelay.Std(), g.idleTimeout()) })
	return server
}

// debugLogger writes messages of the HTTP server library at debug level because they
// contain text from callers.
type debugLogger struct{ gateway *Gateway }

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, args ...any) {
	l.gateway.log.WithField("event", eventlog.HTTPServer).Debugf(format, args...)
}

// callerListener applies the idle and read timeouts of the current configuration to caller
// connections.
type callerListener struct {
	*caller.Listener
	gateway *Gateway
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := c.(*caller.Conn)
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		config := net.KeepAliveConfig{Enable: true, Idle: callerKeepAliveInterval, Interval: callerKeepAliveInterval, Count: 2}
		if err := tcp.SetKeepAliveConfig(config); err != nil {
			l.gateway.log.WithFields(map[string]any{"event": eventlog.SocketOptionFailed, "error": err.Error()}).Warn("failed to enable keep-alive probes")
		}
	}
	return &callerConn{Conn: conn, gateway: l.gateway}, nil
}

// callerConn sets the read deadlines of a caller connection.
type callerConn struct {
	*caller.Conn
	gateway *Gateway
	readBy  time.Time // the deadline for the rest of a request
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.Waiting() {
		if err := c.SetReadDeadline(time.Now().Add(max(c.gateway.idleTimeout(), c.LeastWait()))); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(b)
}

// RequestBegan sets the deadline for the rest of a request.
func (c *callerConn) RequestBegan() {
	c.Conn.RequestBegan()
	c.setRequestDeadline(time.Now().Add(c.gateway.headerTimeout() + bodyReadTimeout))
}

// extendRequest allows the rest of a request more time: the instance has not read for so long.
func (c *callerConn) extendRequest(by time.Duration) { c.setRequestDeadline(c.readBy.Add(by)) }

func (c *callerConn) setRequestDeadline(t time.Time) {
	c.readBy = t
	// It fails only if the connection is closed; the read of the rest fails, too.
	_ = c.SetReadDeadline(t)
}

// recordUnanswered logs a connection that was closed although its caller waits for an answer.
func (g *Gateway) recordUnanswered(bytes caller.RequestBytes) {
	g.metrics.unanswered.WithLabelValues(string(bytes)).Inc()
	g.log.WithFields(map[string]any{"event": eventlog.RequestUnanswered, "bytes": string(bytes), "draining": g.life.Stops()}).
		Warn("closed a connection on which a request has arrived that was not answered")
}

// recordEviction records a connection that was closed so that there is room for others, or not accepted.
func (g *Gateway) recordEviction(e caller.Eviction) {
	g.metrics.evicted.WithLabelValues(string(e.Reason)).Inc()
	g.log.WithFields(map[string]any{"event": eventlog.ConnectionEvicted, "caller": e.Caller, "reason": string(e.Reason), "bytes": e.Received, "after_ms": e.After.Milliseconds()}).
		Debug("closed a connection to make room")
}

// recordWaitEnd records a connection that was closed while it waited for a request: a request that is on its way meets
// the close.
func (g *Gateway) recordWaitEnd(end caller.WaitEnd) {
	reason := "timeout"
	if end.InStop {
		reason = "stop"
	}
	g.metrics.closedWaiting.WithLabelValues(reason).Inc()
	if g.life.Stops() {
		g.log.WithFields(map[string]any{"event": eventlog.ConnectionClosed, "caller": end.Caller, "reason": reason, "after_ms": time.Since(g.life.StoppingSince()).Milliseconds(),
			"unused": end.Unused, "waited_ms": end.Waited.Milliseconds(), "reusable_ms": end.ReuseTimeout.Milliseconds()}).Info("closed a connection that waits for a request")
	}
}

func (g *Gateway) idleTimeout() time.Duration {
	if routing := g.routing.Load(); routing != nil && routing.limits.IdleTimeout > 0 {
		return routing.limits.IdleTimeout
	}
	return defaultIdleTimeout
}

func (g *Gateway) headerTimeout() time.Duration {
	if routing := g.routing.Load(); routing != nil {
		return routing.limits.HeaderTimeout
	}
	return 0
}

// handleReadError responds to requests that could not be read.
func (g *Gateway) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	e := apierror.New(apierror.MalformedRequest, "the request is not valid HTTP")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = apierror.New(apierror.BodyTooLarge, "the request body is too large")
	case errors.As(err, &smallBuffer):
		e = apierror.New(apierror.HeadersTooLarge, "the request headers are too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		e = apierror.New(apierror.RequestTimeout, "the request did not arrive in time")
	}
	g.log.WithFields(map[string]any{"event": eventlog.RequestUnreadable, "code": string(e.Code), "error": err.Error()}).Warn("failed to read request")
	g.metrics.errorResponses.WithLabelValues(string(e.Code)).Inc()
	g.adapter.Caller.WriteError(&ctx.Response, ErrorResponse{Error: e, Status: e.Status()})
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.RequestHandled(0)
		c.LingerOnClose()
	}
}

// newOperationsServer creates the server for readiness, metrics and state.
func (g *Gateway) newOperationsServer() *fasthttp.Server {
	metricsHandler := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Name:   "yuccabridge-operations",
		Logger: debugLogger{g},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case g.settings.ReadyPath:
				g.handleReady(ctx)
			case "/metrics":
				metricsHandler(ctx)
			case "/state":
				g.handleState(ctx)
			default:
				ctx.Error("not found", fasthttp.StatusNotFound)
			}
		},
	}
}

// ready reports whether the instance should receive requests.
func (g *Gateway) ready() bool {
	g.signalServing()
	return g.life.Ready()
}

func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if !g.ready() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// State is the state of an instance as served at /state.
type State struct {
	Instance string `json:"instance"`
	// Build is the commit that the binary was built from; "unknown" if it does not say.
	Build    string `json:"build"`
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Version  uint64 `json:"configuration_version"`
	// Platform is the position up to which the published entries have been read.
	Platform replica.Position `json:"platform"`
	// PlatformAgeMS is the time in milliseconds since this instance knew that it had read everything.
	PlatformAgeMS int64 `json:"platform_age_ms"`
	// ReadsPlatform is set if the instance reads the platform for its failure domain; the others
	// learn changes from such instances.
	ReadsPlatform bool     `json:"reads_platform"`
	InProgress    int      `json:"in_progress"`
	Peers         []string `json:"peers"`
	// Evacuations are the evacuations of failure domains in progress.
	Evacuations []EvacuationState `json:"evacuations,omitempty"`
	// UpstreamsThroughPeers is the number of upstreams that this instance reaches through peers only.
	UpstreamsThroughPeers int `json:"upstreams_through_peers"`
	// StreamOrigins is the number of streams of which this instance knows where they began.
	StreamOrigins int            `json:"stream_origins"`
	Services      []ServiceState `json:"services"`
}

// ServiceState is the state of one service.
type ServiceState struct {
	Name    string      `json:"name"`
	Waiting int         `json:"waiting"`
	Retries retry.Usage `json:"retries"`
	// RetrySlack is this instance's share of the retries that need no requests.
	RetrySlack int                      `json:"retry_slack"`
	Upstreams  []dispatch.UpstreamState `json:"upstreams"`
}

// State returns the current state of the instance.
func (g *Gateway) State() State {
	state := State{Instance: g.settings.Instance, Build: buildRevision(), Ready: g.ready(), Draining: g.life.Stops(), InProgress: g.callerWatcher.InProgress()}
	if routing := g.routing.Load(); routing != nil {
		state.Version = routing.version
	}
	if g.peers != nil {
		for _, m := range g.peers.livePeers() {
			state.Peers = append(state.Peers, m.Name)
		}
	}
	state.Platform, _ = g.platformWatcher.replica.Position()
	now := g.now()
	age, _ := g.platformWatcher.schedule.Age(now)
	state.PlatformAgeMS, state.ReadsPlatform = age.Milliseconds(), g.platformWatcher.schedule.IsReader()
	state.Evacuations = g.evacuationStates()
	state.UpstreamsThroughPeers = g.paths.relayedCount()
	state.StreamOrigins = g.origins.Len(now)
	for _, svc := range g.sortedServices() {
		state.Services = append(state.Services, ServiceState{Name: svc.name, Waiting: svc.dispatcher.Waiting(), Retries: svc.budget.Usage(now), RetrySlack: g.retrySlack(), Upstreams: svc.dispatcher.Snapshot(now)})
	}
	return state
}

func (g *Gateway) handleState(ctx *fasthttp.RequestCtx) {
	body, err := json.Marshal(g.State())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
