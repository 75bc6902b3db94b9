package entry

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
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
	if c, ok := ctx.Conn().(*callerConn); ok {
		c.refused.Store(true)
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
	r.ctx, r.cancel = in.watcher.watch(ctx.Conn())
	return r
}

// watchInterval is how often the connections of callers with requests in progress
// are checked. One check is one system call.
const watchInterval = 250 * time.Millisecond

// callerWatcher notices callers that close their connection while their request is
// in progress: the server does not read the connection in that time.
type callerWatcher struct {
	mu      sync.Mutex
	next    uint64
	watched map[uint64]watchedCaller
}

type watchedCaller struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func newCallerWatcher() *callerWatcher {
	return &callerWatcher{watched: map[uint64]watchedCaller{}}
}

// watch returns a context that ends when the caller is gone.
func (w *callerWatcher) watch(conn net.Conn) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	key := w.next
	w.watched[key] = watchedCaller{conn: conn, cancel: cancel}
	return ctx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.watched, key)
	}
}

// inProgress is the number of requests in progress.
func (w *callerWatcher) inProgress() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watched)
}

// check cancels the requests of callers that are gone.
func (w *callerWatcher) check() {
	w.mu.Lock()
	list := make([]watchedCaller, 0, len(w.watched))
	for _, c := range w.watched {
		list = append(list, c)
	}
	w.mu.Unlock()
	for _, c := range list {
		if upstream.PeerClosed(c.conn) {
			c.cancel()
		}
	}
}
