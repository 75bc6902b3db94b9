package gateway

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
)

const (
	// smallBodyBytes is the length up to which the body of a request takes no memory from the buffer for
	// uploads, and never waits.
	smallBodyBytes = 64 << 10
	// initialChunkedBytes is the first capacity for a body without a stated length.
	initialChunkedBytes = 4 << 10
	// bodyMemoryTimeout bounds the wait for the memory of a body.
	bodyMemoryTimeout = 2 * time.Second
)

// receiveBody reads the body of the request. Its memory is reserved before; until then, the bytes stay with the
// caller, whose sending the window of the connection holds back.
func (ex *exchange) receiveBody() *apierror.Error {
	request := &ex.httpCtx.Request
	stream := request.BodyStream()
	if stream == nil {
		return nil
	}
	began, waited := ex.gateway.now(), time.Duration(0)
	var body []byte
	var e *apierror.Error
	if stated := request.Header.ContentLength(); stated >= 0 {
		body, waited, e = ex.receiveStated(stream, stated)
	} else {
		body, waited, e = ex.receiveChunked(stream)
	}
	if e != nil {
		return e
	}
	request.SetBodyRaw(body)
	// The time that the caller takes to send the body does not count against its timeout.
	ex.arrived += ex.gateway.now() - began - waited
	return nil
}

func (ex *exchange) receiveStated(stream io.Reader, length int) ([]byte, time.Duration, *apierror.Error) {
	waited, e := ex.reserveBody(length)
	if e != nil {
		return nil, waited, e
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(stream, body); err != nil {
		return nil, waited, ex.bodyFailed(err)
	}
	return body, waited, nil
}

// receiveChunked reads a body without a stated length. One that is not small reserves the largest length: if it
// reserved more as it grows, several could wait for each other.
func (ex *exchange) receiveChunked(stream io.Reader) ([]byte, time.Duration, *apierror.Error) {
	waited, e := ex.reserveBody(min(smallBodyBytes, ex.maxBodyBytes))
	if e != nil {
		return nil, waited, e
	}
	body := make([]byte, 0, initialChunkedBytes)
	for {
		if len(body) == cap(body) {
			capacity := 2 * cap(body)
			if len(body) >= smallBodyBytes {
				ex.requestBody.Release()
				if waited, e = ex.reserveBody(ex.maxBodyBytes); e != nil {
					return nil, waited, e
				}
				capacity = ex.maxBodyBytes + 1
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > ex.maxBodyBytes:
			return nil, waited, bodyTooLargeError()
		case err == io.EOF:
			return ex.fitBody(body), waited, nil
		case err != nil:
			return nil, waited, ex.bodyFailed(err)
		}
	}
}

// fitBody returns the memory that a body without a stated length has not needed.
func (ex *exchange) fitBody(body []byte) []byte {
	if cap(body) > 2*len(body) {
		body = append(make([]byte, 0, len(body)), body...)
	}
	ex.requestBody.Shrink(ex.requestBody.Held() - cap(body))
	return body
}

// bodyFailed records that the body could not be read.
func (ex *exchange) bodyFailed(err error) *apierror.Error {
	ex.bodyErr = err
	return apierror.New(apierror.MalformedRequest, "the request body could not be read")
}

func bodyTooLargeError() *apierror.Error {
	return apierror.New(apierror.BodyTooLarge, "the request body is too large")
}

// reserveBody reserves the memory of a body. It returns how long it has waited for it.
func (ex *exchange) reserveBody(length int) (time.Duration, *apierror.Error) {
	if length == 0 {
		return 0, nil
	}
	if length <= smallBodyBytes {
		ex.requestBody = ex.gateway.buffer.Reserve(nil)
		if ex.requestBody.Grow(length) != nil {
			return 0, ex.refuseBody(length, 0)
		}
		return 0, nil
	}
	return ex.awaitBodyMemory(length)
}

func (ex *exchange) awaitBodyMemory(length int) (time.Duration, *apierror.Error) {
	g := ex.gateway
	if r, ok := g.uploads.TryAcquire(length); ok {
		ex.requestBody = r
		return 0, nil
	}
	timeout := bodyMemoryTimeout
	if ex.request.Timeout > 0 {
		timeout = min(timeout, ex.request.Timeout)
	}
	ctx, cancel := context.WithTimeout(g.answering, timeout)
	defer cancel()
	began := g.now()
	r, err := g.uploads.Acquire(ctx, length)
	waited := g.now() - began
	if ex.conn != nil {
		ex.conn.extendRequest(waited)
	}
	if err != nil {
		g.metrics.bodyWaits.WithLabelValues("refused").Inc()
		return waited, ex.refuseBody(length, waited)
	}
	g.metrics.bodyWaits.WithLabelValues("granted").Inc()
	ex.requestBody = r
	return waited, nil
}

func (ex *exchange) refuseBody(length int, waited time.Duration) *apierror.Error {
	ex.logEntry(eventlog.RequestBodyRefused).WithFields(logrus.Fields{"bytes": length, "waited_ms": waited.Milliseconds()}).Warn("no memory for the body of a request")
	return ex.withRetryAfter(apierror.New(apierror.Overloaded, "the memory for bodies in progress is used up; the request did not run"))
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
