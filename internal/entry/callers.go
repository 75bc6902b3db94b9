package entry

import (
	"net"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

// newCallersServer builds the callers' HTTP server.
func (in *Instance) newCallersServer() *fasthttp.Server {
	l := in.settings.Limits
	return &fasthttp.Server{
		Name:                          "yuccabridge",
		Handler:                       in.handle,
		ErrorHandler:                  in.handleProtocolError,
		ReadTimeout:                   l.ReadTimeout.Std(),
		IdleTimeout:                   l.IdleTimeout.Std(),
		MaxRequestBodySize:            l.MaxBodyBytes,
		ReadBufferSize:                l.MaxHeaderBytes,
		Concurrency:                   l.MaxConnections,
		CloseOnShutdown:               true,
		NoDefaultServerHeader:         true,
		DisableHeaderNamesNormalizing: false,
		SecureErrorLogMessage:         true, // headers hold callers' keys
		Logger:                        quietLogger{in},
	}
}

// quietLogger sends the server library's messages to the debug log: they are about
// single connections, and their text comes from callers.
type quietLogger struct{ in *Instance }

func (q quietLogger) Printf(format string, args ...any) {
	q.in.log.WithField("event", "http_server").Debugf(format, args...)
}

// handleProtocolError answers requests that could not be read.
func (in *Instance) handleProtocolError(ctx *fasthttp.RequestCtx, err error) {
	e := protocolError(err)
	in.metrics.refused.WithLabelValues(string(e.Code)).Inc()
	writeError(ctx, e)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*caller.Conn); ok {
		c.LingerOnClose()
	}
}

func protocolError(err error) *apierror.Error {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return apierror.New(apierror.BodyTooLarge, "the request body is too large")
	case errors.As(err, &small):
		return apierror.New(apierror.HeadersTooLarge, "the request headers are too large")
	case errors.As(err, &netErr) && netErr.Timeout():
		return apierror.New(apierror.RequestTimeout, "the request did not arrive in time")
	}
	return apierror.New(apierror.MalformedRequest, "the request is not valid HTTP")
}

// handle routes one request of a caller.
func (in *Instance) handle(ctx *fasthttp.RequestCtx) {
	if e := in.route(ctx); e != nil && e != errCallerGone {
		in.metrics.refused.WithLabelValues(string(e.Code)).Inc()
		writeError(ctx, e)
	}
}

func (in *Instance) route(ctx *fasthttp.RequestCtx) *apierror.Error {
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
		return in.handleOrders(ctx, path, t)
	}
	if s, ok := routes.service(path); ok {
		return in.handleService(ctx, routes, s, t)
	}
	return apierror.New(apierror.NotFound, "no model or service has this path")
}

// newRequest starts the life of a request. Its context ends when the caller closes
// the connection or when cancel is called.
func (in *Instance) newRequest(ctx *fasthttp.RequestCtx, p *pool, class *config.Class, t *team, body []byte) *request {
	r := &request{
		id:          newRequestID(),
		seq:         in.sequence.Add(1),
		team:        t,
		class:       class,
		pool:        p,
		arrived:     in.now(),
		fingerprint: in.fingerprint(t.name, body),
	}
	r.ctx, r.cancel = in.watcher.Watch(ctx.Conn())
	return r
}
