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

// errNoResume reports that the engine cannot resume the stream.
var errNoResume = errors.New("the engine does not resume the stream")

// isSilent reports a connection on which no byte arrived in time.
func isSilent(err error) bool {
	var f *upstream.Failure
	return errors.As(err, &f) && f.Timeout
}

// startStream reads the first event, so that a failure before it can still be
// retried, and hands the rest to a reader that the server drains.
func (a *attempt) startStream(ctx *fasthttp.RequestCtx) error {
	s := &stream{a: a, liveness: a.r.pool.in.settings.Limits.Liveness.Std()}
	s.open()
	first, err := s.next()
	if err != nil {
		return err
	}
	s.pending = append(s.pending, first...)
	a.r.observeFirstToken(a.r.pool.in.now())
	copyAnswerHeader(ctx, a)
	ctx.SetStatusCode(fasthttp.StatusOK)
	ctx.SetBodyStream(s, -1)
	return nil
}

// stream relays server-sent events. The server reads it and closes it; a close
// before the end means that the caller is gone.
type stream struct {
	a        *attempt
	events   *chat.EventReader
	liveness time.Duration
	sent     int // data events taken from the engine
	pending  []byte
	complete bool
	once     sync.Once
}

func (s *stream) open() {
	s.events = chat.NewEventReader(s.a.answer.Body(s.liveness))
}

// Read implements io.Reader. Each call returns bytes of at most one event.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.complete {
			s.finish(balancer.OK)
			return 0, io.EOF
		}
		raw, err := s.next()
		if err != nil {
			raw = s.broken(err)
			s.complete = true
		}
		s.pending = append(s.pending[:0], raw...)
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// next returns the raw bytes of the next event. A connection that went silent or
// broke is replaced by a fresh one to the same engine, which continues the stream at
// the next event.
func (s *stream) next() ([]byte, error) {
	e, err := s.events.Next()
	for resumes := 0; err != nil && resumes < maxResumes && s.a.r.ctx.Err() == nil; resumes++ {
		if s.a.reattach(s.sent) != nil {
			return nil, err // the first failure tells whether the upstream crashed
		}
		s.open()
		e, err = s.events.Next()
	}
	if err != nil {
		return nil, err
	}
	switch e.Kind {
	case chat.Done:
		s.complete = true
	case chat.Data:
		if e.ID != s.a.r.id {
			s.a.r.pool.in.metrics.foreignAnswers.WithLabelValues(s.a.r.pool.name).Inc()
			return nil, errForeign
		}
		s.sent++
		s.a.token()
	}
	return e.Raw, nil
}

// maxResumes bounds the fresh connections tried for one event.
const maxResumes = 2

// broken ends a stream that cannot go on. The caller gets an error event and no
// "[DONE]", so it can tell the answer from a whole one.
func (s *stream) broken(err error) []byte {
	apiErr := s.a.fail(err)
	s.finish(balancer.Failed)
	return fmt.Appendf(nil, "data: %s\n\n", streamError(apiErr).JSON())
}

func streamError(e *apierror.Error) *apierror.Error {
	adjusted := *e
	adjusted.Run = apierror.Unknown
	adjusted.Message = "the answer broke off and cannot be continued"
	return &adjusted
}

// finish ends the attempt once.
func (s *stream) finish(status balancer.Status) {
	s.once.Do(func() {
		s.a.end(status)
		s.a.r.cancel()
		if status == balancer.OK {
			s.a.r.pool.in.metrics.served(s.a.r, s.a.interval())
		} else {
			s.a.r.pool.in.metrics.brokenStreams.WithLabelValues(s.a.r.class.Name).Inc()
		}
	})
}

// Close implements io.Closer. The server calls it when the body has been written
// or the caller is gone.
func (s *stream) Close() error {
	s.finish(balancer.Cancelled)
	return nil
}

// reattach continues the stream over a fresh connection to the same engine, from
// the given event on. Generations of different engines are never joined.
func (a *attempt) reattach(from int) error {
	if a.answer != nil {
		a.answer.Release(false)
		a.answer = nil
	}
	req := &fasthttp.Request{}
	req.SetRequestURI(fmt.Sprintf("http://%s/v1/streams/%s?from=%d", a.pick.Upstream.Address, a.r.id, from))
	a.r.upstreamHeaders(&req.Header, a.r.pool.in.now())
	if err := a.send(upstream.Call{Request: req, FreshConnection: true, HeaderTimeout: a.r.pool.in.settings.Limits.Liveness.Std()}); err != nil {
		return err
	}
	if a.answer.Response.StatusCode() != fasthttp.StatusOK {
		return errNoResume
	}
	a.r.pool.in.metrics.resumes.WithLabelValues(a.r.pool.name).Inc()
	return nil
}
