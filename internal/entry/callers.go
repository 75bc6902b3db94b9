package entry

import (
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

// newCallersServer returns the HTTP server for callers.
func (in *Instance) newCallersServer() *fasthttp.Server {
	limits := in.settings.Limits
	server := &fasthttp.Server{
		Name:                          "yuccabridge",
		Handler:                       in.handleRequest,
		ErrorHandler:                  in.handleReadError,
		ReadTimeout:                   limits.ReadTimeout.Std(),
		IdleTimeout:                   limits.IdleTimeout.Std(),
		MaxRequestBodySize:            limits.MaxBodyBytes,
		ReadBufferSize:                limits.MaxHeaderBytes,
		Concurrency:                   limits.MaxConnections,
		NoDefaultServerHeader:         true,
		DisableHeaderNamesNormalizing: false,
		SecureErrorLogMessage:         true, // headers contain callers' keys
		Logger:                        debugLogger{in},
	}
	caller.Attach(server, func() time.Duration {
		return lifecycle.ReuseTimeout(in.settings.DrainDelay.Std(), limits.IdleTimeout.Std())
	})
	return server
}

// debugLogger logs the messages of the HTTP server library at debug level: they concern
// single connections and contain text sent by callers.
type debugLogger struct{ instance *Instance }

func (l debugLogger) Printf(format string, args ...any) {
	l.instance.log.WithField("event", "http_server").Debugf(format, args...)
}

// handleReadError sends an error response for a request that could not be read.
func (in *Instance) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	e := readErrorResponse(err)
	in.metrics.rejected.WithLabelValues(string(e.Code)).Inc()
	writeError(ctx, e)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*caller.Conn); ok {
		c.RequestHandled(0)
		c.LingerOnClose()
	}
}

func readErrorResponse(err error) *apierror.Error {
	var bufferErr *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return apierror.New(apierror.BodyTooLarge, "the request body is too large")
	case errors.As(err, &bufferErr):
		return apierror.New(apierror.HeadersTooLarge, "the request headers are too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.New(apierror.RequestTimeout, "the request did not arrive in time")
	}
	return apierror.New(apierror.MalformedRequest, "the request is not valid HTTP")
}

// handleRequest serves a request and writes the error response if it fails.
func (in *Instance) handleRequest(ctx *fasthttp.RequestCtx) {
	defer func() {
		if in.life.Stops() {
			ctx.SetConnectionClose()
		}
	}()
	if e := in.routeRequest(ctx); e != nil && e != errCallerDisconnected {
		in.metrics.rejected.WithLabelValues(string(e.Code)).Inc()
		writeError(ctx, e)
	}
}

func (in *Instance) routeRequest(ctx *fasthttp.RequestCtx) *apierror.Error {
	routes := in.routes.Load()
	if routes == nil {
		return apierror.New(apierror.NotReady, "the instance has no configuration yet")
	}
	t, apiErr := routes.authenticate(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if apiErr != nil {
		return apiErr
	}
	path := string(ctx.Path())
	if path == chatPath {
		return in.handleChat(ctx, routes, t)
	}
	if strings.HasPrefix(path, ordersPath) {
		return in.handleOrderAPI(ctx, path, t)
	}
	if s, ok := routes.matchService(path); ok {
		return in.handleService(ctx, routes, s, t)
	}
	return apierror.New(apierror.NotFound, "no model or service has this path")
}

// newRequest creates a request. Its context is cancelled when the caller closes the
// connection, when the instance stops or when cancel is called.
func (in *Instance) newRequest(ctx *fasthttp.RequestCtx, p *pool, class *config.Class, t *team, body []byte) *request {
	r := &request{
		id:          newRequestID(),
		queueID:     in.requestSeq.Add(1),
		team:        t,
		class:       class,
		pool:        p,
		arrived:     in.now(),
		fingerprint: in.fingerprint(t.name, body),
	}
	watched, unwatch := in.watcher.Watch(ctx.Conn())
	endable, release := in.stop.withRequest(watched)
	r.ctx, r.cancel = endable, func() { release(); unwatch() }
	return r
}
