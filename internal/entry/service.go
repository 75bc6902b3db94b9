package entry

import (
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// handleService passes a request on to a plain service.
func (in *Instance) handleService(ctx *fasthttp.RequestCtx, routes *routes, s serviceRoute, t *team) *apierror.Error {
	class, apiErr := routes.classFor(string(ctx.Request.Header.Peek(headerClass)), string(ctx.Path()), "", s.service.Class, t)
	if apiErr != nil {
		return apiErr
	}
	if s.nonIdempotent(string(ctx.Method()), string(ctx.Path())) {
		return in.handleOrder(ctx, s, t)
	}
	r := in.newRequest(ctx, s.pool, class, t, requestIdentity(ctx))
	defer r.cancel()
	return in.serve(ctx, r, r.serviceCall(ctx))
}

// upstreamURI is the path and query that an upstream receives. It is made from the same
// parsed form as the path that selects the service, whatever form the caller sent.
func upstreamURI(ctx *fasthttp.RequestCtx) string { return string(ctx.URI().RequestURI()) }

// requestIdentity is the text that a resent request shares with the first: method,
// address and body.
func requestIdentity(ctx *fasthttp.RequestCtx) []byte {
	text := append([]byte(nil), ctx.Method()...)
	text = append(append(text, ' '), ctx.RequestURI()...)
	return append(append(text, '\n'), ctx.PostBody()...)
}

// serviceCall builds the call to a plain service.
func (r *request) serviceCall(ctx *fasthttp.RequestCtx) func(balancer.Pick) upstream.Call {
	return func(pick balancer.Pick) upstream.Call {
		req := &fasthttp.Request{}
		for key, value := range ctx.Request.Header.All() {
			if !hopByHop[string(key)] && !callerOnly[string(key)] {
				req.Header.SetBytesKV(key, value)
			}
		}
		req.Header.SetMethodBytes(ctx.Method())
		req.SetRequestURI("http://" + pick.Upstream.Address + upstreamURI(ctx))
		req.Header.Set(headerTeam, r.team.name)
		r.upstreamHeaders(&req.Header, r.pool.in.now())
		req.SetBodyRaw(ctx.PostBody())
		return upstream.Call{Request: req, HeaderTimeout: r.pool.answerWait(r.class.Name)}
	}
}

// callerOnly are headers of the caller that upstreams must not see or that the
// router sets itself.
var callerOnly = map[string]bool{
	"Authorization": true, "Host": true, headerClass: true, headerRequestID: true,
	headerPriority: true, headerDeadlineMS: true, headerTeam: true, "Expect": true,
}
