package caller

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// reuseMargin is the time that a request and the response before it may take on their way together: the caller counts
// the announced time from when it has received the response.
const reuseMargin = 500 * time.Millisecond

// ReuseTimeout returns for how long after a response its caller may use the connection again, in whole seconds as
// the header Keep-Alive gives it; 0 if there is no such time. A request that is sent in that time arrives before the
// connection is closed, by the idle timeout or at the end of the drain delay of a stop that begins after the response.
func ReuseTimeout(drainDelay, idleTimeout time.Duration) time.Duration {
	return max(min(drainDelay, idleTimeout)-reuseMargin, 0).Truncate(time.Second)
}

// announceReuse announces in the response for how long the connection may be used again. It returns 0 if the
// connection ends after the response.
func announceReuse(ctx *fasthttp.RequestCtx, timeout time.Duration) time.Duration {
	if timeout <= 0 || ctx.Response.ConnectionClose() || ctx.Request.Header.ConnectionClose() || ctx.Hijacked() {
		return 0
	}
	ctx.Response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	ctx.Response.Header.Set("Keep-Alive", fmt.Sprintf("timeout=%d", int64(timeout/time.Second)))
	return timeout
}
