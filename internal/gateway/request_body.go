package gateway

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

// bodyMemoryTimeout bounds the wait for the memory of a body.
const bodyMemoryTimeout = 2 * time.Second

// receiveBody reads the body of the request into reserved memory.
func (ex *exchange) receiveBody() *apierror.Error {
	request := &ex.httpCtx.Request
	g := ex.gateway
	began := g.now()
	u := caller.Upload{Request: request, Conn: ex.conn.Conn, Limit: ex.maxBodyBytes, MaxWait: bodyMemoryTimeout, OnWait: ex.recordBodyWait}
	if ex.request.Timeout > 0 {
		u.MaxWait = min(u.MaxWait, ex.request.Timeout)
	}
	body, err := g.intake.Receive(g.answering, u)
	switch {
	case err == caller.ErrNoMemory:
		ex.logEntry(eventlog.RequestBodyRefused).WithFields(logrus.Fields{"bytes": request.Header.ContentLength(), "waited_ms": body.Waited.Milliseconds()}).Warn("no memory for the body of a request")
		return ex.withRetryAfter(apierror.New(apierror.Overloaded, "the memory for bodies in progress is used up; the request did not run"))
	case err == caller.ErrTooLarge:
		return bodyTooLargeError()
	case err != nil:
		ex.bodyErr = err
		return apierror.New(apierror.MalformedRequest, "the request body could not be read")
	case body == nil:
		return nil
	}
	ex.requestBody = body
	request.SetBodyRaw(body.Bytes)
	// The time that the caller takes to send the body does not count against its timeout.
	ex.arrived += g.now() - began - body.Waited
	return nil
}

// recordBodyWait records that the body has waited for memory, and allows the caller more time: the instance has not read.
func (ex *exchange) recordBodyWait(waited time.Duration, granted bool) {
	ex.conn.extendRequest(waited)
	result := "granted"
	if !granted {
		result = "refused"
	}
	ex.gateway.metrics.bodyWaits.WithLabelValues(result).Inc()
}

func bodyTooLargeError() *apierror.Error {
	return apierror.New(apierror.BodyTooLarge, "the request body is too large")
}

// discardBody reads what is left of the body of a request that is refused, in constant memory: its caller may read no
// answer before it has sent everything, and may use the connection again. It returns false if the body is too long for
// that, or the instance ends.
func (ex *exchange) discardBody() bool {
	stream := ex.httpCtx.Request.BodyStream()
	if stream == nil || ex.bodyErr != nil {
		return true
	}
	if ex.httpCtx.Request.Header.ContentLength() > defaultMaxBodyBytes || ex.gateway.answering.Err() != nil {
		return false
	}
	_, err := io.CopyN(io.Discard, stream, defaultMaxBodyBytes+1)
	if err != nil && err != io.EOF {
		ex.bodyErr = err
	}
	return err != nil
}

// holdTooLargeBody lets the server ask before it reads any of a body that is too large: see handleExpectation.
func holdTooLargeBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > defaultMaxBodyBytes {
		h.Set(fasthttp.HeaderExpect, "100-continue")
	}
	return fasthttp.RequestConfig{}
}

// handleExpectation decides about requests whose callers wait for leave to send the body, and about those that
// holdTooLargeBody has marked.
func (g *Gateway) handleExpectation(ctx *fasthttp.RequestCtx) int {
	if ctx.Request.Header.ContentLength() <= defaultMaxBodyBytes {
		return fasthttp.StatusContinue
	}
	g.handleReadError(ctx, fasthttp.ErrBodyTooLarge)
	return ctx.Response.StatusCode()
}
