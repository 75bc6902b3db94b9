package caller

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// requestConn is a [Conn], or wraps one.
type requestConn interface {
	RequestBegan()
	RequestReceived()
	RequestHandled(reuseTimeout time.Duration)
}

// Attach makes the server tell the connections of a [Listener] when a request begins and when it has been handled. It
// must be called before the server serves. Responses announce for how long the connection may be used again, as
// reuseTimeout returns it.
//
// A request may begin without a read from the connection: its first bytes have been read with the request before. The
// server would then hold back the response until it has read the whole request; it sends each at once if the handler
// sets a write deadline.
func Attach(server *fasthttp.Server, reuseTimeout func() time.Duration) {
	handle := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if c, ok := ctx.Conn().(requestConn); ok && ctx.Request.BodyStream() == nil {
			c.RequestReceived()
		}
		handle(ctx)
		if c, ok := ctx.Conn().(requestConn); ok {
			// It fails only if the connection is closed. The connection limits each write by itself.
			_ = ctx.SetWriteDeadline(time.Time{})
			c.RequestHandled(announceReuse(ctx, reuseTimeout()))
		}
	}
	server.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if own, ok := c.(requestConn); ok && state == fasthttp.StateActive {
			own.RequestBegan()
		}
	}
}
