package caller

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

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
