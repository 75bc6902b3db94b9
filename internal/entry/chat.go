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
func (in *Instance) handleChat(ctx *fasthttp.RequestCtx, routes *routingTable, t *team) *apierror.Error {
	if !ctx.IsPost() {
		return apierror.New(apierror.MethodNotAllowed, "chat completions are requested by POST")
	}
	body := ctx.PostBody()
	chatRequest, err := chat.ParseRequest(body)
	if err != nil {
		return apierror.New(apierror.MalformedJSON, err.Error())
	}
	p, ok := routes.models[chatRequest.Model]
	if !ok {
		return apierror.New(apierror.UnknownModel, "the model is not declared")
	}
	class, apiErr := routes.resolveClass(string(ctx.Request.Header.Peek(headerClass)), chatPath, chatRequest.Model, p.defaultClass(routes), t)
	if apiErr != nil {
		return apiErr
	}
	r := in.newRequest(ctx, p, class, t, body)
	r.stream, r.promptTokens, r.prefixHash = chatRequest.Stream, chatRequest.PromptTokens, chatRequest.PrefixHash
	apiErr = in.serveWithRetries(ctx, r, r.engineCall(body))
	if !ctx.Response.IsBodyStream() {
		r.cancel() // a stream cancels its request when it ends
	}
	return apiErr
}

// engineCall returns a function that builds the call to an engine. The caller's key is
// not forwarded.
func (r *request) engineCall(body []byte) func(balancer.Pick) upstream.Call {
	return func(pick balancer.Pick) upstream.Call {
		req := &fasthttp.Request{}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://" + pick.Upstream.Address + chatPath)
		req.Header.SetContentType("application/json")
		r.setUpstreamHeaders(&req.Header, r.pool.instance.now())
		req.SetBodyRaw(body)
		return upstream.Call{Request: req, HeaderTimeout: r.pool.responseTimeout(r.class.Name)}
	}
}

// serveWithRetries queues the request, sends it to upstreams until an attempt succeeds or
// no retry is allowed, and relays the response to the caller. If it returns an error,
// nothing has been written to the caller.
func (in *Instance) serveWithRetries(ctx *fasthttp.RequestCtx, r *request, newCall func(balancer.Pick) upstream.Call) *apierror.Error {
	if in.refuses() {
		return stoppingError()
	}
	if b := r.pool.retryBudget(r.class); b != nil {
		b.RecordFirstAttempt(in.now())
	}
	for {
		switch in.quarantine.Check(in.now(), r.fingerprint) {
		case quarantine.Refuse:
			return r.finalError(apierror.New(apierror.RequestCrashesUpstreams, "this request crashed two upstreams; it is refused for a while"))
		case quarantine.Suspect:
			r.isolated = true
		}
		pick, apiErr := r.acquireSlot()
		if apiErr != nil {
			return r.finalError(apiErr)
		}
		a := r.newAttempt(pick)
		err := a.run(ctx, newCall(pick))
		if err == nil {
			return nil
		}
		apiErr = a.fail(err)
		if r.ctx.Err() != nil || !r.takeRetry() {
			return r.finalError(apiErr)
		}
		r.retried = true
		in.metrics.retries.WithLabelValues(r.class.Name).Inc()
	}
}

// finalError sets the run state to unknown if an earlier attempt failed: that upstream
// may have started the request, even if a later retry was shed.
func (r *request) finalError(e *apierror.Error) *apierror.Error {
	if len(r.failedUpstreams) == 0 || e == errCallerDisconnected {
		return e
	}
	adjusted := *e
	adjusted.Run = apierror.Unknown
	return &adjusted
}

// run sends the request and relays the response. If it returns an error, nothing has
// been sent to the caller.
func (a *attempt) run(ctx *fasthttp.RequestCtx, call upstream.Call) error {
	if a.request.stream {
		call.HeaderTimeout = a.request.pool.instance.streamFirstByteTimeout(a.request)
	}
	if err := a.send(call); err != nil {
		if !a.request.stream || !isTimeout(err) {
			return err
		}
		if a.resumeStream(0) != nil {
			return err // the original failure is needed to detect a crash
		}
	}
	status := a.response.Response.StatusCode()
	if retryableStatus(status) {
		return errRetryableStatus
	}
	if a.request.stream && status == fasthttp.StatusOK {
		return a.startStream(ctx)
	}
	return a.relayResponse(ctx)
}

// relayResponse relays a response that is not streamed.
func (a *attempt) relayResponse(ctx *fasthttp.RequestCtx) error {
	limits := a.request.pool.instance.settings.Limits
	body, err := a.readBody(limits.MaxAnswerBytes, limits.AnswerTimeout.Std())
	if err != nil {
		return err
	}
	a.recordToken()
	a.request.observeFirstToken(a.request.pool.instance.now())
	copyResponseHeaders(ctx, a)
	ctx.SetStatusCode(a.response.Response.StatusCode())
	ctx.SetBody(body)
	a.finish(balancer.OK)
	a.request.pool.instance.metrics.recordServed(a.request, 0)
	return nil
}

// streamFirstByteTimeout returns how long to wait for the first byte of a stream before
// it is resumed over a new connection. It leaves time for a second attempt within the deadline.
func (in *Instance) streamFirstByteTimeout(r *request) time.Duration {
	return max(in.settings.Limits.Liveness.Std(), r.class.Deadline.Std()/4)
}

// copyResponseHeaders copies the upstream's response headers except the hop-by-hop ones.
func copyResponseHeaders(ctx *fasthttp.RequestCtx, a *attempt) {
	for key, value := range a.response.Response.Header.All() {
		if !hopByHopHeaders[string(key)] {
			ctx.Response.Header.SetBytesKV(key, value)
		}
	}
	ctx.Response.Header.Set(headerRequestID, a.request.id)
}

// hopByHopHeaders are not forwarded. Content-Length is included because the HTTP server
// sets it.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}
