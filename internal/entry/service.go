package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// handleService forwards a request to a plain service.
func (in *Instance) handleService(ctx *fasthttp.RequestCtx, routes *routingTable, s serviceRoute, t *team) *apierror.Error {
	class, apiErr := routes.resolveClass(string(ctx.Request.Header.Peek(headerClass)), string(ctx.Path()), "", s.service.Class, t)
	if apiErr != nil {
		return apiErr
	}
	if s.isNonIdempotent(string(ctx.Method()), string(ctx.Path())) {
		return in.handleOrder(ctx, s, t)
	}
	r := in.newRequest(ctx, s.pool, class, t, requestIdentity(ctx))
	defer r.cancel()
	return in.serveWithRetries(ctx, r, r.serviceCall(ctx))
}

// upstreamURI returns the path and query sent to the upstream. It uses the same parsed
// URI that selected the service, not the raw form that the caller sent.
func upstreamURI(ctx *fasthttp.RequestCtx) string { return string(ctx.URI().RequestURI()) }

// requestIdentity returns the text that identifies a request across resends: method, URI
// and body.
func requestIdentity(ctx *fasthttp.RequestCtx) []byte {
	text := append([]byte(nil), ctx.Method()...)
	text = append(append(text, ' '), ctx.RequestURI()...)
	return append(append(text, '\n'), ctx.PostBody()...)
}

// serviceCall returns a function that builds the call to a plain service.
func (r *request) serviceCall(ctx *fasthttp.RequestCtx) func(balancer.Pick) upstream.Call {
	return func(pick balancer.Pick) upstream.Call {
		req := &fasthttp.Request{}
		for key, value := range ctx.Request.Header.All() {
			if !hopByHopHeaders[string(key)] && !unforwardedHeaders[string(key)] {
				req.Header.SetBytesKV(key, value)
			}
		}
		req.Header.SetMethodBytes(ctx.Method())
		req.SetRequestURI("http://" + pick.Upstream.Address + upstreamURI(ctx))
		req.Header.Set(headerTeam, r.team.name)
		r.setUpstreamHeaders(&req.Header, r.pool.instance.now())
		req.SetBodyRaw(ctx.PostBody())
		return upstream.Call{Request: req, HeaderTimeout: r.pool.responseTimeout(r.class.Name)}
	}
}

// unforwardedHeaders are request headers that upstreams must not receive or that the
// router sets itself.
var unforwardedHeaders = map[string]bool{
	"Authorization": true, "Host": true, headerClass: true, headerRequestID: true,
	headerPriority: true, headerDeadlineMS: true, headerTeam: true, "Expect": true,
}
