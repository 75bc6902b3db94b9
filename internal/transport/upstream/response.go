package upstream

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Response is a response whose body is still being read.
type Response struct {
	Response fasthttp.Response
	client   *Client
	conn     *conn
	stop     func() bool
	released bool
}

// Framing is how a response marks the end of its body.
type Framing int

const (
	// FramingNone: the response has no body.
	FramingNone Framing = iota
	// FramingLength: the header states the length.
	FramingLength
	// FramingChunked: the last chunk ends the body.
	FramingChunked
	// FramingClose: the connection ends with the body. A regular close does not prove that the
	// body is complete.
	FramingClose
)

// String implements fmt.Stringer.
func (f Framing) String() string {
	return [...]string{"none", "length", "chunked", "close"}[f]
}

// contentLengthChunked is the content length that the HTTP library reports for a chunked body; it
// reports a lower one for a body that ends with the connection.
const contentLengthChunked = -1

// Framing returns how the response marks the end of its body.
func (r *Response) Framing() Framing {
	length := r.Response.Header.ContentLength()
	switch {
	case r.Response.BodyStream() == nil:
		return FramingNone
	case length >= 0:
		return FramingLength
	case length == contentLengthChunked:
		return FramingChunked
	}
	return FramingClose
}

// Body returns a reader of the body. readTimeout bounds each read; zero means no bound.
func (r *Response) Body(readTimeout time.Duration) *BodyReader {
	return &BodyReader{response: r, readTimeout: readTimeout}
}

// Abort resets the connection, so that a read in progress fails. It may be called concurrently
// with reads.
func (r *Response) Abort() { r.conn.abandon() }

// Release ends the exchange. When the body was read to its end, the connection returns to
// the pool or is closed; otherwise it is reset, which cancels the request at the upstream.
func (r *Response) Release(complete bool) {
	if r.released {
		return
	}
	r.released = true
	cancelled := !r.stop()
	if !complete || cancelled {
		r.conn.abandon()
		return
	}
	reusable := !r.conn.singleUse && !r.Response.ConnectionClose() && r.Framing() != FramingClose && r.atBodyEnd()
	if !reusable {
		r.conn.Close()
		return
	}
	if err := r.Response.CloseBodyStream(); err != nil || r.conn.reader.Buffered() > 0 {
		// Bytes after the response belong to no request.
		r.conn.Close()
		return
	}
	r.client.putIdle(r.conn)
}

// bodyEndTimeout bounds the wait for the end of the body after its last data was read. The
// upstream sends the end directly after the data.
const bodyEndTimeout = 20 * time.Millisecond

// atBodyEnd reads the end of the body and reports whether nothing else came before it. The
// reader of an event stream stops at the last event, and the end of the chunked body may
// arrive later: left unread, it would be parsed as the start of the next response.
func (r *Response) atBodyEnd() bool {
	stream := r.Response.BodyStream()
	if stream == nil {
		return true
	}
	if r.conn.SetReadDeadline(deadlineAfter(bodyEndTimeout)) != nil {
		return false
	}
	var b [1]byte
	r.conn.allowRead(len(b))
	n, err := stream.Read(b[:])
	return n == 0 && err == io.EOF
}

// BodyReader reads the body of a response.
type BodyReader struct {
	response    *Response
	readTimeout time.Duration
	deadline    time.Time
}

// SetDeadline replaces the bound of each read by one for all following reads together, which bytes
// that arrive do not extend. The zero time means no bound.
func (b *BodyReader) SetDeadline(deadline time.Time) { b.readTimeout, b.deadline = 0, deadline }

func (b *BodyReader) readDeadline() time.Time {
	if b.readTimeout > 0 {
		return deadlineAfter(b.readTimeout)
	}
	return b.deadline
}

// Read reads from the body. Every error but io.EOF is a *Failure with PhaseBody.
func (b *BodyReader) Read(p []byte) (int, error) {
	r := b.response
	stream := r.Response.BodyStream()
	if stream == nil {
		return 0, io.EOF
	}
	if err := r.conn.SetReadDeadline(b.readDeadline()); err != nil {
		return 0, bodyFailure(err)
	}
	r.conn.allowRead(len(p))
	n, err := stream.Read(p)
	if err != nil && err != io.EOF {
		return n, bodyFailure(err)
	}
	return n, err
}

func bodyFailure(err error) *Failure {
	return &Failure{Phase: PhaseBody, Sent: true, Timeout: isTimeout(err), Malformed: isMalformed(err), Err: errors.Wrap(err, "read response")}
}
