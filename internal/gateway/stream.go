package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// streamProgress records the events that the caller of a stream has received.
type streamProgress struct {
	events       int
	lastID       int64 // ID of the last complete event
	hasIDs       bool  // set once an event carried an ID
	firstAt      time.Duration
	latestAt     time.Duration
	longestPause time.Duration
	tailBytes    int // bytes after the last complete event when the stream ended
}

func (p *streamProgress) record(now time.Duration, event []byte) {
	if p.events == 0 {
		p.firstAt = now
	} else {
		p.longestPause = max(p.longestPause, now-p.latestAt)
	}
	p.events++
	p.latestAt = now
	if id, ok := sse.ID(event); ok {
		p.lastID, p.hasIDs = id, true
	}
}

// stream forwards events. The HTTP server reads from it and closes it; a Close before the
// end of the stream means that the caller has disconnected.
type stream struct {
	attempt    *attempt
	body       *upstream.BodyReader
	reader     *sse.Reader
	pending    []byte // of the last event
	done       bool
	err        error
	framed     bool // the response to the caller has chunks, so a regular end claims that it is complete
	finishOnce sync.Once
}

const (
	// eventTimeoutFactor times the inter-token target, but at least minEventTimeout, is how
	// long a resumable stream may be silent before it is resumed at another upstream that can take it.
	eventTimeoutFactor = 5
	minEventTimeout    = 1200 * time.Millisecond
)

// eventTimeout returns how long the stream may be silent; 0 means that only the deadline of
// the request applies.
func (ex *exchange) eventTimeout() time.Duration {
	if !ex.canResume() {
		return 0
	}
	return max(eventTimeoutFactor*ex.route.InterTokenTarget, minEventTimeout)
}

// canResume reports whether the stream may be resumed at another upstream.
func (ex *exchange) canResume() bool {
	return ex.route.Resumable && ex.countedAttempts < ex.route.MaxAttempts && ex.progress.hasIDs
}

// startStream waits for the first event, so that an earlier failure can still be retried,
// and leaves the rest of the stream to the HTTP server.
func (a *attempt) startStream() error {
	s := &stream{attempt: a}
	s.openBody()
	event, err := s.awaitEvent(a.timeout)
	if err != nil {
		if err == io.EOF {
			return errNoEvent
		}
		return err
	}
	return a.beginStream(s, event)
}

// beginStream forwards a stream from its first event on.
func (a *attempt) beginStream(s *stream, event []byte) error {
	ex := a.exchange
	// Callers that speak HTTP/1.0 cannot read chunks.
	s.framed = ex.lastFraming != upstream.FramingClose && ex.httpCtx.Request.Header.IsHTTP11()
	a.recordFirstOutput()
	a.recordOrigin()
	s.buffer(event)
	ex.gateway.adapter.Upstream.CopyResponseHeader(&ex.httpCtx.Response.Header, &a.response.Response.Header)
	ex.httpCtx.SetStatusCode(fasthttp.StatusOK)
	a.delivered = true
	if !s.framed {
		ex.respondUntilClose(s)
		return nil
	}
	ex.httpCtx.Response.ImmediateHeaderFlush = false
	ex.httpCtx.SetBodyStream(s, -1)
	return nil
}

// openBody starts reading events from the response of the current attempt.
func (s *stream) openBody() {
	s.body = s.attempt.response.Body(0)
	s.attempt.event = s.attempt.exchange.gateway.buffer.NewBuffer(s.attempt.response.Abort)
	s.reader = sse.NewBufferedReader(s.body, s.attempt.event)
}

// errEndsInsideEvent reports an upstream that ended the stream before the blank line that ends an event.
var errEndsInsideEvent = errors.New("stream ended inside an event")

// nextEvent returns the next event that has a field, with the blank lines and comments before it: alone
// they are no part of a response, and may come without end. With io.EOF it returns the blank lines and
// comments after the last event. The bytes are valid until the next call.
func (s *stream) nextEvent() ([]byte, error) {
	event, err := s.reader.NextWithField()
	if err != io.ErrUnexpectedEOF {
		return event, err
	}
	if !sse.IsComment(event) {
		s.attempt.exchange.progress.tailBytes = len(event)
		return nil, errEndsInsideEvent
	}
	return event, io.EOF
}

// awaitEvent is like nextEvent. After the timeout it fails if another upstream can take the stream; 0 means that it
// waits. Bytes that are no event do not extend the wait.
func (s *stream) awaitEvent(timeout time.Duration) ([]byte, error) {
	stop := s.body.Limit(timeout, s.attempt.reserveNext)
	event, err := s.nextEvent()
	stop()
	if err == nil {
		s.attempt.exchange.releaseNext()
	}
	return event, err
}

// buffer records an event and makes it available to Read.
func (s *stream) buffer(event []byte) {
	ex := s.attempt.exchange
	ex.progress.record(ex.gateway.now(), event)
	s.attempt.recordEvent()
	ex.service.budget.Answered(ex.gateway.now(), s.attempt.grant.Upstream.ID)
	s.pending = event
}

// Read implements io.Reader. Each call returns bytes of at most one event. An error closes
// the connection to the caller, which shows that the response is incomplete.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.done {
			return 0, s.err
		}
		s.readNext()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// readNext reads the next event and resumes the stream at another upstream if the current
// one fails.
func (s *stream) readNext() {
	event, err := s.awaitEvent(s.attempt.exchange.eventTimeout())
	if err == nil {
		s.buffer(event)
		return
	}
	ex := s.attempt.exchange
	if err == io.EOF {
		s.end(event)
		return
	}
	for ex.callCtx.Err() == nil && ex.canResume() {
		s.attempt.recordFailure(err)
		if ex.originSuperseded() {
			err = errOriginUncertain
			break
		}
		if !ex.allowRetry() {
			break
		}
		grant, apiErr := ex.acquireUpstream()
		if apiErr != nil {
			// No attempt was made, so asking again is not bounded by the attempts of the route.
			err = apiErr
			break
		}
		if event, err = s.resume(grant); err == nil {
			s.buffer(event)
			return
		}
	}
	s.abort(err)
}

// errUnprovenEnd reports a stream that was resumed and whose rest ends with the connection of the
// upstream, while the caller receives chunks.
var errUnprovenEnd = errors.New("the end of the resumed stream cannot be verified")

// end ends a stream whose upstream has ended it regularly. tail are the blank lines and comments after
// the last event.
func (s *stream) end(tail []byte) {
	s.pending = tail
	if s.framed && s.attempt.exchange.lastFraming == upstream.FramingClose {
		s.finish(dispatch.Succeeded, outcomeStreamBroken, errUnprovenEnd)
		return
	}
	s.finish(dispatch.Succeeded, outcomeServed, io.EOF)
}

// resume continues the stream at the granted upstream and returns the first new event.
func (s *stream) resume(grant *dispatch.Grant) ([]byte, error) {
	ex := s.attempt.exchange
	lastID := ex.progress.lastID
	next := &attempt{exchange: ex, grant: grant, startedAt: ex.gateway.now()}
	ex.lastUpstream = grant.Upstream.ID
	ex.logEntry(eventlog.StreamResumed).WithFields(logrus.Fields{"upstream": grant.Upstream.ID, "version": grant.Upstream.Version,
		"previous": s.attempt.grant.Upstream.ID, "previous_version": s.attempt.grant.Upstream.Version, "after_event": lastID}).Info("resuming stream at another upstream")
	s.attempt = next
	if err := next.send(&lastID); err != nil {
		return nil, err
	}
	if next.response.Response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("upstream responded with status %d", next.response.Response.StatusCode())
	}
	s.openBody()
	event, err := s.awaitEvent(next.timeout)
	if err == io.EOF {
		return nil, errNoEvent // the end alone does not show that nothing is missing
	}
	if err != nil {
		return nil, err
	}
	if id, ok := sse.ID(event); !ok || id != lastID+1 {
		return nil, errResumeGap
	}
	ex.service.dispatcher.FirstOutput(ex.gateway.now(), grant.Token)
	ex.gateway.metrics.resumes.Inc()
	return event, nil
}

// abort ends a stream that cannot be resumed.
func (s *stream) abort(err error) {
	ex := s.attempt.exchange
	switch {
	case ex.callerClosed():
		s.finish(dispatch.Cancelled, "caller_gone", err)
	case ex.callCtx.Err() != nil:
		s.finish(dispatch.Cancelled, "time_limit", err)
	default:
		if !s.attempt.finished {
			s.attempt.recordFailure(err)
		}
		s.finish(dispatch.Failed, outcomeStreamBroken, err)
	}
}

func (s *stream) finish(status dispatch.Status, outcome string, err error) {
	s.finishOnce.Do(func() {
		s.done, s.err = true, err
		s.attempt.finish(status, status == dispatch.Succeeded)
		s.attempt.exchange.outcome, s.attempt.exchange.streamErr = outcome, err
		s.attempt.exchange.renewOrigin()
		s.attempt.exchange.finish()
	})
}

// Close implements io.Closer. The HTTP server calls it after the body has been written or
// the caller has disconnected.
func (s *stream) Close() error {
	s.finish(dispatch.Cancelled, "caller_gone", upstream.ErrCancelled)
	return nil
}
