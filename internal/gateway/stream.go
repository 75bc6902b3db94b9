package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// streamPosition is what the caller of a stream has received.
type streamPosition struct {
	count        int
	last         int64 // id of the last whole event
	numbered     bool  // events carry ids
	first        time.Duration
	latest       time.Duration
	longestPause time.Duration
}

func (p *streamPosition) note(now time.Duration, event []byte) {
	if p.count == 0 {
		p.first = now
	} else {
		p.longestPause = max(p.longestPause, now-p.latest)
	}
	p.count++
	p.latest = now
	if id, ok := sse.ID(event); ok {
		p.last, p.numbered = id, true
	}
}

// stream relays events. The HTTP server reads it and closes it; a close before the end
// means that the caller is gone.
type stream struct {
	a       *attempt
	body    *upstream.BodyReader
	events  *sse.Reader
	pending []byte
	ended   bool
	err     error
	once    sync.Once
}

const (
	// pauseFactor times the longest pause that is on time, but at least minPause, is how
	// long a resumable stream may be silent before it is resumed elsewhere.
	pauseFactor = 5
	minPause    = 1200 * time.Millisecond
)

// pauseLimit is how long the stream may be silent; 0: no bound but the request's own.
func (x *exchange) pauseLimit() time.Duration {
	if !x.mayResume() {
		return 0
	}
	return max(pauseFactor*x.route.InterTokenTarget, minPause)
}

// mayResume reports whether the stream may go on at another upstream.
func (x *exchange) mayResume() bool {
	return x.route.Resumable && x.counted < x.route.MaxAttempts && x.events.numbered
}

// startStream waits for the first event, so that a failure before it can still be tried
// elsewhere, and hands the rest to the HTTP server.
func (a *attempt) startStream() error {
	x := a.x
	s := &stream{a: a}
	s.open()
	event, err := s.events.Next()
	if err != nil {
		if err == io.EOF {
			return errNoEvent
		}
		return err
	}
	a.first()
	s.take(event)
	x.g.protocols.Upstream.Copy(&x.ctx.Response.Header, &a.answer.Response.Header)
	x.ctx.SetStatusCode(fasthttp.StatusOK)
	x.ctx.Response.ImmediateHeaderFlush = false
	x.ctx.SetBodyStream(s, -1)
	a.delivered = true
	return nil
}

// open begins to read the events of the present attempt's answer.
func (s *stream) open() {
	s.body = s.a.answer.Body(s.a.silence())
	s.events = sse.NewReader(s.body)
}

func (s *stream) take(event []byte) {
	s.a.x.events.note(s.a.x.g.now(), event)
	s.body.SetReadTimeout(s.a.x.pauseLimit())
	s.pending = append(s.pending[:0], event...)
}

// Read implements io.Reader. Each call returns bytes of at most one event. An error ends
// the connection, so that the caller sees that the answer is not whole.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.ended {
			return 0, s.err
		}
		s.advance()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance reads the next event, from another upstream when this one broke off.
func (s *stream) advance() {
	event, err := s.events.Next()
	if err == nil {
		s.take(event)
		return
	}
	x := s.a.x
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		// The upstream ended its body; what it sent is whole.
		s.pending = append(s.pending[:0], event...)
		s.finish(dispatch.Succeeded, outcomeServed, io.EOF)
		return
	}
	for x.life.Err() == nil && x.mayResume() {
		s.a.fail(err)
		if !x.mayArriveAgain() {
			break
		}
		if event, err = s.resume(); err == nil {
			s.take(event)
			return
		}
	}
	s.broken(err)
}

// resume continues the stream at another upstream and returns its first new event.
func (s *stream) resume() ([]byte, error) {
	x := s.a.x
	grant, refusal := x.place()
	if refusal != nil {
		return nil, refusal
	}
	after := x.events.last
	next := &attempt{x: x, grant: grant, began: x.g.now()}
	x.upstream = grant.Upstream.ID
	x.log(eventlog.StreamResumed).WithField("upstream", grant.Upstream.ID).WithField("after_event", after).Info("stream goes on at another upstream")
	x.g.quarantine.Started(next.began, x.fingerprint, x.team, grant.Upstream.ID)
	s.a = next
	if err := next.send(&after); err != nil {
		return nil, err
	}
	if next.answer.Response.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Errorf("the upstream answered %d", next.answer.Response.StatusCode())
	}
	s.open()
	event, err := s.events.Next()
	if err != nil {
		return nil, err
	}
	if id, ok := sse.ID(event); !ok || id != after+1 {
		return nil, errWrongEvent
	}
	x.service.dispatcher.FirstOutput(x.g.now(), grant.Token)
	x.g.metrics.resumes.Inc()
	return event, nil
}

// broken ends a stream that cannot go on.
func (s *stream) broken(err error) {
	x := s.a.x
	switch {
	case x.callerGone():
		s.finish(dispatch.Cancelled, "caller_gone", err)
	case x.life.Err() != nil:
		s.finish(dispatch.Cancelled, "time_limit", err)
	default:
		if !s.a.ended {
			s.a.fail(err)
		}
		s.finish(dispatch.Failed, "stream_broken", err)
	}
}

func (s *stream) finish(status dispatch.Status, outcome string, err error) {
	s.once.Do(func() {
		s.ended, s.err = true, err
		s.a.end(status, status == dispatch.Succeeded)
		s.a.x.outcome = outcome
		s.a.x.end()
	})
}

// Close implements io.Closer. The server calls it when the body has been written or the
// caller is gone.
func (s *stream) Close() error {
	s.finish(dispatch.Cancelled, "caller_gone", upstream.ErrCancelled)
	return nil
}
