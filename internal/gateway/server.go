package gateway

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

const (
	// maxHeaderBytes bounds the header of a request; it is above what configurations
	// allow callers to send.
	maxHeaderBytes = 20 << 10
	// defaultBodyBytes bounds a body before the configuration is known.
	defaultBodyBytes = 4 << 20
	// defaultIdle closes a caller's idle connection before the configuration is known.
	defaultIdle = 15 * time.Second
	// bodyTime is how long a caller may take for a body after its header.
	bodyTime = 10 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// callerProbe is the pause before and between probes of a caller's connection, so
	// that a connection that went silent is noticed.
	callerProbe = 2 * time.Second
)

func (g *Gateway) newCallersServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       g.handle,
		ErrorHandler:                  g.handleProtocolError,
		MaxRequestBodySize:            defaultBodyBytes,
		ReadBufferSize:                maxHeaderBytes,
		Concurrency:                   g.settings.MaxConnections,
		CloseOnShutdown:               true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		NoDefaultDate:                 true,
		DisableHeaderNamesNormalizing: true,
		SecureErrorLogMessage:         true,
		DisablePreParseMultipartForm:  true,
		Logger:                        quietLogger{g},
	}
}

// quietLogger sends the server library's messages to the debug log: their text comes from
// callers.
type quietLogger struct{ g *Gateway }

// Printf implements fasthttp.Logger.
func (q quietLogger) Printf(format string, args ...any) {
	q.g.log.WithField("event", eventlog.HTTPServer).Debugf(format, args...)
}

// callerListener bounds how long callers may stay idle or take to send a request. The
// bounds come from the configuration in force.
type callerListener struct {
	caller.Listener
	g *Gateway
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := c.(*caller.Conn)
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		config := net.KeepAliveConfig{Enable: true, Idle: callerProbe, Interval: callerProbe, Count: 2}
		if err := tcp.SetKeepAliveConfig(config); err != nil {
			l.g.log.WithFields(map[string]any{"event": eventlog.SocketOptionFailed, "error": err.Error()}).Warn("keep-alive probes could not be enabled")
		}
	}
	return &callerConn{Conn: conn, g: l.g}, nil
}

// callerConn sets the read deadlines of one connection.
type callerConn struct {
	*caller.Conn
	g       *Gateway
	reading atomic.Bool // the first bytes of a request have arrived
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if !c.reading.Load() {
		if err := c.SetReadDeadline(time.Now().Add(c.g.idleTimeout())); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.reading.Swap(true) {
		if err := c.SetReadDeadline(time.Now().Add(c.g.headerTimeout() + bodyTime)); err != nil {
			return n, err
		}
	}
	return n, err
}

// ended notes that the request on the connection has been read and answered.
func (c *callerConn) ended() { c.reading.Store(false) }

func (g *Gateway) idleTimeout() time.Duration {
	if t := g.table.Load(); t != nil && t.limits.IdleTimeout > 0 {
		return t.limits.IdleTimeout
	}
	return defaultIdle
}

func (g *Gateway) headerTimeout() time.Duration {
	if t := g.table.Load(); t != nil {
		return t.limits.HeaderTimeout
	}
	return 0
}

// handleProtocolError answers requests that could not be read.
func (g *Gateway) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	e := apierror.New(apierror.MalformedRequest, "the request is not valid HTTP")
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		e = apierror.New(apierror.BodyTooLarge, "the request body is too large")
	case errors.As(err, &small):
		e = apierror.New(apierror.HeadersTooLarge, "the request headers are too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		e = apierror.New(apierror.RequestTimeout, "the request did not arrive in time")
	}
	g.log.WithFields(map[string]any{"event": eventlog.RequestUnreadable, "code": string(e.Code), "error": err.Error()}).Warn("a request could not be read")
	g.metrics.refused.WithLabelValues(string(e.Code)).Inc()
	g.protocols.Caller.Refuse(&ctx.Response, Refusal{Error: e, Status: e.Status()})
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.LingerOnClose()
	}
}

// newOperationsServer builds the server for readiness, metrics and state.
func (g *Gateway) newOperationsServer() *fasthttp.Server {
	exposed := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Name:   "yuccabridge-operations",
		Logger: quietLogger{g},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case g.settings.ReadyPath:
				g.handleReady(ctx)
			case "/metrics":
				exposed(ctx)
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
	return g.table.Load() != nil && g.feed.loaded() && !g.draining.Load()
}

func (g *Gateway) handleReady(ctx *fasthttp.RequestCtx) {
	if !g.ready() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// State is the state dump of an instance.
type State struct {
	Instance   string         `json:"instance"`
	Ready      bool           `json:"ready"`
	Draining   bool           `json:"draining"`
	Version    uint64         `json:"configuration_version"`
	InProgress int            `json:"in_progress"`
	Peers      []string       `json:"peers"`
	Services   []ServiceState `json:"services"`
}

// ServiceState is the state of one service.
type ServiceState struct {
	Name      string                   `json:"name"`
	Waiting   int                      `json:"waiting"`
	Upstreams []dispatch.UpstreamState `json:"upstreams"`
}

// State returns the instance's present state.
func (g *Gateway) State() State {
	s := State{Instance: g.settings.Instance, Ready: g.ready(), Draining: g.draining.Load(), InProgress: g.watcher.InProgress()}
	if t := g.table.Load(); t != nil {
		s.Version = t.version
	}
	if g.peers != nil {
		for _, m := range g.peers.live() {
			s.Peers = append(s.Peers, m.Name)
		}
	}
	now := g.now()
	for _, x := range g.serviceList() {
		s.Services = append(s.Services, ServiceState{Name: x.name, Waiting: x.dispatcher.Waiting(), Upstreams: x.dispatcher.Snapshot(now)})
	}
	return s
}

func (g *Gateway) handleState(ctx *fasthttp.RequestCtx) {
	text, err := json.Marshal(g.State())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
