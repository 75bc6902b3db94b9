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
	giveUp      func() bool
	limit       *readLimit // for all reads together; nil if there is none
}

// SetGiveUp sets a function that decides at the end of the bound of a read whether it fails; otherwise the read
// goes on and it is asked again. It must not block. It runs in another goroutine, but only during reads.
func (b *BodyReader) SetGiveUp(giveUp func() bool) { b.giveUp = giveUp }

// Limit replaces the bound of each read by one for all reads until stop is called, which bytes that arrive do not
// extend. At its end giveUp decides whether they fail; otherwise they go on and it is asked again. It must not block.
// It runs in another goroutine, but not after stop. Zero means no bound.
func (b *BodyReader) Limit(timeout time.Duration, giveUp func() bool) (stop func()) {
	b.readTimeout, b.limit = 0, nil
	if timeout > 0 {
		b.limit = limitReads(b.response.conn.Conn, timeout, giveUp)
	}
	return b.limit.stop
}

// startRead sets the bound of one read, which ends with stop.
func (b *BodyReader) startRead() (stop func(), err error) {
	c, none := b.response.conn, func() {}
	switch {
	case b.limit != nil:
		return none, b.limit.apply()
	case b.readTimeout > 0 && b.giveUp != nil:
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return none, err
		}
		return limitReads(c.Conn, b.readTimeout, b.giveUp).stop, nil
	}
	return none, c.SetReadDeadline(deadlineAfter(b.readTimeout))
}

// Read reads from the body. Every error but io.EOF is a *Failure with PhaseBody.
func (b *BodyReader) Read(p []byte) (int, error) {
	r := b.response
	stream := r.Response.BodyStream()
	if stream == nil {
		return 0, io.EOF
	}
	stop, err := b.startRead()
	defer stop()
	if err != nil {
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
