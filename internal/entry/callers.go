package entry

import (
	"io"
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

const (
	// concurrencyFactor times the limit of connections is the server's own limit, which counts a connection that has been
	// closed until its goroutine has ended.
	concurrencyFactor = 2
	// bodyMemoryTimeout bounds the wait for the memory of a body.
	bodyMemoryTimeout = 2 * time.Second
	// bodyMemoryRetryAfter is when the caller of a request may come back for whose body there was no memory.
	bodyMemoryRetryAfter = time.Second
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
		StreamRequestBody:             true,
		MaxRequestBodySize:            limits.MaxBodyBytes,
		ReadBufferSize:                limits.MaxHeaderBytes,
		Concurrency:                   concurrencyFactor * limits.MaxConnections,
		DisablePreParseMultipartForm:  true,
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

// bodyReleaseKey is the key under which a request holds the function that releases the memory of its body.
type bodyReleaseKey struct{}

// handleRequest serves a request and writes the error response if it fails.
func (in *Instance) handleRequest(ctx *fasthttp.RequestCtx) {
	defer func() {
		if in.life.Stops() {
			ctx.SetConnectionClose()
		}
	}()
	e := in.routeRequest(ctx)
	if e != nil && e != errCallerDisconnected {
		in.metrics.rejected.WithLabelValues(string(e.Code)).Inc()
		writeError(ctx, e)
	}
	if !in.discardBody(ctx) {
		ctx.SetConnectionClose()
		if c, ok := ctx.Conn().(*caller.Conn); ok {
			c.LingerOnClose()
		}
	}
}

// discardBody reads what is left of the body of a request that was refused, in constant memory: its caller may use the
// connection again. It returns false if the body is too long for that or cannot be read.
func (in *Instance) discardBody(ctx *fasthttp.RequestCtx) bool {
	stream, limit := ctx.Request.BodyStream(), in.settings.Limits.MaxBodyBytes
	if stream == nil {
		return true
	}
	if ctx.Request.Header.ContentLength() > limit {
		return false
	}
	_, err := io.CopyN(io.Discard, stream, int64(limit)+1)
	return err == io.EOF
}

// receiveBody reads the body of the request into reserved memory, which the returned function releases.
func (in *Instance) receiveBody(ctx *fasthttp.RequestCtx) (release func(), apiErr *apierror.Error) {
	conn, ok := ctx.Conn().(*caller.Conn)
	if !ok {
		return func() {}, nil
	}
	body, err := in.intake.Receive(in.stop.answering, caller.Upload{Request: &ctx.Request, Conn: conn, Limit: in.settings.Limits.MaxBodyBytes, MaxWait: bodyMemoryTimeout,
		OnWait: func(waited time.Duration, _ bool) {
			// The instance has not read meanwhile. It fails only if the connection is closed.
			_ = conn.SetReadDeadline(time.Now().Add(in.settings.Limits.ReadTimeout.Std()))
		}})
	switch {
	case err == caller.ErrNoMemory:
		e := apierror.New(apierror.Overloaded, "the memory for bodies in progress is used up; the request did not run")
		e.RetryAfter = bodyMemoryRetryAfter
		return nil, e
	case err == caller.ErrTooLarge:
		return nil, readErrorResponse(fasthttp.ErrBodyTooLarge)
	case err != nil:
		return nil, readErrorResponse(err)
	case body == nil:
		return func() {}, nil
	}
	ctx.Request.SetBodyRaw(body.Bytes)
	return body.Release, nil
}

// recordEviction records a connection that was closed so that there is room for others, or not accepted.
func (in *Instance) recordEviction(e caller.Eviction) {
	in.metrics.evicted.WithLabelValues(string(e.Reason)).Inc()
	in.log.WithFields(map[string]any{"event": "connection_evicted", "caller": e.Caller, "reason": string(e.Reason), "bytes": e.Received, "after_ms": e.After.Milliseconds()}).
		Debug("closed a connection to make room")
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
	release, apiErr := in.receiveBody(ctx)
	if apiErr != nil {
		return apiErr
	}
	defer func() {
		if !ctx.Response.IsBodyStream() {
			release()
		}
	}()
	ctx.SetUserValue(bodyReleaseKey{}, release)
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
	releaseBody, _ := ctx.UserValue(bodyReleaseKey{}).(func())
	r.ctx, r.cancel = endable, func() {
		release()
		unwatch()
		if releaseBody != nil {
			releaseBody()
		}
	}
	return r
}
