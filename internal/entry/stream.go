package entry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/protocol/chat"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// errResumeRefused reports that the engine cannot resume the stream.
var errResumeRefused = errors.New("engine refused to resume the stream")

// isTimeout reports whether no byte arrived in time on the connection.
func isTimeout(err error) bool {
	var f *upstream.Failure
	return errors.As(err, &f) && f.Timeout
}

// startStream reads the first event, so that a failure before it can still be retried,
// and sets the stream as the response body.
func (a *attempt) startStream(ctx *fasthttp.RequestCtx) error {
	s := &stream{attempt: a, liveness: a.request.pool.instance.settings.Limits.Liveness.Std()}
	s.openEvents()
	firstEvent, err := s.nextEvent()
	if err != nil {
		return err
	}
	s.unread = append(s.unread, firstEvent...)
	a.request.observeFirstToken(a.request.pool.instance.now())
	copyResponseHeaders(ctx, a)
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetBodyStream(s, -1)
	return nil
}

// stream relays server-sent events as a response body. The HTTP server reads and closes
// it; a Close before the end of the stream means that the caller has disconnected.
type stream struct {
	attempt    *attempt
	events     *chat.EventReader
	liveness   time.Duration
	dataEvents int // number of data events received from the engine
	unread     []byte
	ended      bool
	finishOnce sync.Once
}

func (s *stream) openEvents() {
	s.events = chat.NewEventReader(s.attempt.response.Body(s.liveness))
}

// Read implements io.Reader. Each call returns bytes of at most one event.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.unread) == 0 {
		if s.ended {
			s.finish(balancer.OK)
			return 0, io.EOF
		}
		raw, err := s.nextEvent()
		if err != nil {
			raw = s.failureEvent(err)
			s.ended = true
		}
		s.unread = append(s.unread[:0], raw...)
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// nextEvent returns the raw bytes of the next event. If the connection times out or breaks,
// the stream is resumed at the next event over a new connection to the same engine.
func (s *stream) nextEvent() ([]byte, error) {
	e, err := s.events.Next()
	for resumes := 0; err != nil && resumes < maxResumes && s.attempt.request.ctx.Err() == nil; resumes++ {
		if s.attempt.resumeStream(s.dataEvents) != nil {
			return nil, err // the original failure is needed to detect a crash
		}
		s.openEvents()
		e, err = s.events.Next()
	}
	if err != nil {
		return nil, err
	}
	switch e.Kind {
	case chat.Done:
		s.ended = true
	case chat.Data:
		if e.ID != s.attempt.request.id {
			s.attempt.request.pool.instance.metrics.mismatchedResponses.WithLabelValues(s.attempt.request.pool.name).Inc()
			return nil, errRequestIDMismatch
		}
		s.dataEvents++
		s.attempt.recordToken()
	}
	return e.Raw, nil
}

// maxResumes bounds the resume attempts for one event.
const maxResumes = 2

// failureEvent finishes a stream that cannot be continued and returns the error event for
// the caller. No "[DONE]" follows it, so the caller can detect the truncated response.
func (s *stream) failureEvent(err error) []byte {
	apiErr := s.attempt.fail(err)
	s.finish(balancer.Failed)
	return fmt.Appendf(nil, "data: %s\n\n", brokenStreamError(apiErr).JSON())
}

func brokenStreamError(e *apierror.Error) *apierror.Error {
	adjusted := *e
	adjusted.Run = apierror.Unknown
	adjusted.Message = "the answer broke off and cannot be continued"
	return &adjusted
}

// finish finishes the attempt and cancels the request. Calls after the first have no effect.
func (s *stream) finish(status balancer.Status) {
	s.finishOnce.Do(func() {
		s.attempt.finish(status)
		s.attempt.request.cancel()
		if status == balancer.OK {
			s.attempt.request.pool.instance.metrics.recordServed(s.attempt.request, s.attempt.meanTokenInterval())
		} else {
			s.attempt.request.pool.instance.metrics.brokenStreams.WithLabelValues(s.attempt.request.class.Name).Inc()
		}
	})
}

// Close implements io.Closer. The HTTP server calls it when the body has been written or
// the caller has disconnected.
func (s *stream) Close() error {
	s.finish(balancer.Cancelled)
	return nil
}

// resumeStream continues the stream at the given event over a new connection to the same
// engine. Output of different engines is never combined in one stream.
func (a *attempt) resumeStream(fromEvent int) error {
	if a.response != nil {
		a.response.Release(false)
		a.response = nil
	}
	req := &fasthttp.Request{}
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", a.pick.Upstream.Address, a.request.id, fromEvent))
	a.request.setUpstreamHeaders(&req.Header, a.request.pool.instance.now())
	if err := a.send(upstream.Call{Request: req, FreshConnection: true, HeaderTimeout: a.request.pool.instance.settings.Limits.Liveness.Std()}); err != nil {
		return err
	}
	if a.response.Response.StatusCode() != fasthttp.StatusOK {
		return errResumeRefused
	}
	a.request.pool.instance.metrics.resumes.WithLabelValues(a.request.pool.name).Inc()
	return nil
}
