package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/protocol/chat"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const chatPath = "/v1/chat/completions"

// handleChat serves a chat-completions request.
func (in *Instance) handleChat(ctx *fasthttp.RequestCtx, routes *routes, t *team) *apierror.Error {
	if !ctx.IsPost() {
		return apierror.New(apierror.MethodNotAllowed, "chat completions are requested by POST")
	}
	body := ctx.PostBody()
	parsed, err := chat.ParseRequest(body)
	if err != nil {
		return apierror.New(apierror.MalformedJSON, err.Error())
	}
	p, ok := routes.models[parsed.Model]
	if !ok {
		return apierror.New(apierror.UnknownModel, "the model is not declared")
	}
	class, apiErr := routes.classFor(string(ctx.Request.Header.Peek(headerClass)), chatPath, parsed.Model, p.defaultClass(routes), t)
	if apiErr != nil {
		return apiErr
	}
	r := in.newRequest(ctx, p, class, t, body)
	r.stream, r.promptTokens, r.affinity = parsed.Stream, parsed.PromptTokens, parsed.PrefixHash
	apiErr = in.serve(ctx, r, r.modelCall(body))
	if !ctx.Response.IsBodyStream() {
		r.cancel() // a stream is cancelled when it ends
	}
	return apiErr
}

// modelCall builds the call to an engine. The caller's key is not passed on.
func (r *request) modelCall(body []byte) func(balancer.Pick) upstream.Call {
	return func(pick balancer.Pick) upstream.Call {
		req := &fasthttp.Request{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + pick.Upstream.Address + chatPath)
		req.Header.SetContentType("application/json")
		r.upstreamHeaders(&req.Header, r.pool.in.now())
		req.SetBodyRaw(body)
		return upstream.Call{Request: req, HeaderTimeout: r.pool.answerWait(r.class.Name)}
	}
}

// serve admits the request, tries upstreams until one answers, and answers the
// caller. A returned error has not been written yet.
func (in *Instance) serve(ctx *fasthttp.RequestCtx, r *request, build func(balancer.Pick) upstream.Call) *apierror.Error {
	if b := r.pool.budget(r.class); b != nil {
		b.RecordFirstAttempt(in.now())
	}
	for {
		switch in.quarantine.Check(in.now(), r.fingerprint) {
		case quarantine.Refuse:
			return r.finalError(apierror.New(apierror.RequestCrashesUpstreams, "this request crashed two upstreams; it is refused for a while"))
		case quarantine.Suspect:
			r.isolate = true
		}
		pick, apiErr := r.admit()
		if apiErr != nil {
			return r.finalError(apiErr)
		}
		a := r.newAttempt(pick)
		err := a.run(ctx, build(pick))
		if err == nil {
			return nil
		}
		apiErr = a.fail(err)
		if apiErr == errCallerGone || !r.mayRetry() {
			return r.finalError(apiErr)
		}
		r.retried = true
		in.metrics.retries.WithLabelValues(r.class.Name).Inc()
	}
}

// finalError adjusts "not run" for a request that an upstream may have begun: a
// retry that is shed later does not undo the first try.
func (r *request) finalError(e *apierror.Error) *apierror.Error {
	if len(r.tried) == 0 || e == errCallerGone {
		return e
	}
	adjusted := *e
	adjusted.Run = apierror.Unknown
	return &adjusted
}

// run sends the request and answers the caller. An error means that nothing has
// been sent to the caller.
func (a *attempt) run(ctx *fasthttp.RequestCtx, call upstream.Call) error {
	if a.r.stream {
		call.HeaderTimeout = a.r.pool.in.firstByteWait(a.r)
	}
	if err := a.send(call); err != nil {
		if !a.r.stream || !isSilent(err) {
			return err
		}
		if a.reattach(0) != nil {
			return err // the first failure tells whether the upstream crashed
		}
	}
	status := a.answer.Response.StatusCode()
	if retryable(status) {
		return errStatus
	}
	if a.r.stream && status == fasthttp.StatusOK {
		return a.startStream(ctx)
	}
	return a.relayWhole(ctx)
}

// relayWhole reads an answer that is not streamed and hands it to the caller.
func (a *attempt) relayWhole(ctx *fasthttp.RequestCtx) error {
	limits := a.r.pool.in.settings.Limits
	body, err := a.readAll(limits.MaxAnswerBytes, limits.AnswerTimeout.Std())
	if err != nil {
		return err
	}
	a.token()
	a.r.observeFirstToken(a.r.pool.in.now())
	copyAnswerHeader(ctx, a)
	ctx.SetStatusCode(a.answer.Response.StatusCode())
	ctx.SetBody(body)
	a.end(balancer.OK)
	a.r.pool.in.metrics.served(a.r, 0)
	return nil
}

// firstByteWait is how long a stream may stay silent before its first token until a
// fresh connection is tried. It leaves time for a second try within the deadline.
func (in *Instance) firstByteWait(r *request) time.Duration {
	return max(in.settings.Limits.Liveness.Std(), r.class.Deadline.Std()/4)
}

// copyAnswerHeader passes the upstream's headers on, except those that belong to
// the connection.
func copyAnswerHeader(ctx *fasthttp.RequestCtx, a *attempt) {
	for key, value := range a.answer.Response.Header.All() {
		if !hopByHop[string(key)] {
			ctx.Response.Header.SetBytesKV(key, value)
		}
	}
	ctx.Response.Header.Set(headerRequestID, a.r.id)
}

// hopByHop are the headers that belong to one connection. Content-Length is set by
// the server.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}
