package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Options configures a [Client]. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds each dial. Default 1s.
	DialTimeout time.Duration
	// WriteTimeout bounds the writing of a request. Default 5s.
	WriteTimeout time.Duration
	// ReuseWindow is how long a connection may stay idle and still be reused. Default 2s.
	ReuseWindow time.Duration
	// MaxIdle is the largest number of idle connections kept. Default 16.
	MaxIdle int
	// TCPUserTimeout is how long sent data may stay unacknowledged before the kernel closes
	// the connection. Default 5s.
	TCPUserTimeout time.Duration
	// KeepAliveInterval is the idle time before the first TCP keep-alive probe and the time
	// between probes, of which two may stay unanswered. Default 2s.
	KeepAliveInterval time.Duration
	// PreserveHeaderCase keeps the names of response headers as the upstream sent them.
	PreserveHeaderCase bool
	// Dial replaces the default dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	if o.DialTimeout == 0 {
		o.DialTimeout = time.Second
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = 5 * time.Second
	}
	if o.ReuseWindow == 0 {
		o.ReuseWindow = 2 * time.Second
	}
	if o.MaxIdle == 0 {
		o.MaxIdle = 16
	}
	if o.TCPUserTimeout == 0 {
		o.TCPUserTimeout = 5 * time.Second
	}
	if o.KeepAliveInterval == 0 {
		o.KeepAliveInterval = 2 * time.Second
	}
	if o.Dial == nil {
		o.Dial = Dialer(o.TCPUserTimeout, o.KeepAliveInterval)
	}
	return o
}

// keepAliveProbes is the number of unanswered keep-alive probes after which the kernel
// closes the connection.
const keepAliveProbes = 2

// Dialer returns a dial function whose connections the kernel closes when the other end, or
// a middlebox between the two ends, no longer has state for them.
func Dialer(userTimeout, keepAliveInterval time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

// Phase is the part of an exchange in which it failed.
type Phase int

const (
	// PhaseDial: the dial failed, so the upstream is unreachable, or BeforeSend returned
	// false; no byte was sent.
	PhaseDial Phase = iota
	// PhaseWrite: the write failed; some bytes may have been sent.
	PhaseWrite
	// PhaseHeader: the request was sent, but no complete response header was read.
	PhaseHeader
	// PhaseBody: the response body could not be read to its end.
	PhaseBody
)

// Failure describes a failed exchange.
type Failure struct {
	Phase Phase
	// Sent is true when at least one byte of the request may have been sent.
	Sent bool
	// Reused is true when the exchange ran on a pooled connection.
	Reused bool
	// Timeout is true when the read or write deadline of the connection expired.
	Timeout bool
	// Malformed is true when the upstream sent bytes that are no response.
	Malformed bool
	Err       error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// TimedOut reports whether a time limit expired, here or in the kernel.
func (f *Failure) TimedOut() bool { return isTimeout(f.Err) || f.ConnectionTimedOut() }

// ConnectionTimedOut reports whether the kernel closed the connection because the other end
// acknowledged neither data nor keep-alive probes.
func (f *Failure) ConnectionTimedOut() bool { return errors.Is(f.Err, syscall.ETIMEDOUT) }

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	opts    Options

	mu     sync.Mutex
	idle   []*conn // ordered by last use, the most recent last
	closed bool
}

// New returns a client of the upstream at address, an IP address with a port.
func New(address string, o Options) *Client {
	return &Client{address: address, opts: o.withDefaults()}
}

// Address returns the upstream's address.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections. Exchanges in progress continue.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// conn is a connection with its read and write buffers.
type conn struct {
	net.Conn
	reader           *bufio.Reader
	writer           *bufio.Writer
	written          atomic.Bool
	readAllowance    int // bytes that may still be read for the current call; see allowRead
	lastUsed         time.Time
	keepAliveTimeout time.Duration // announced by the upstream; 0: unknown
	reused           bool
}

// Write records that bytes may have been sent, then writes them.
func (cn *conn) Write(p []byte) (int, error) {
	cn.written.Store(true)
	return cn.Conn.Write(p)
}

const (
	// maxFramingBytes bounds what is read beside the data of a body: chunk sizes and extensions,
	// trailers. maxFramingFactor allows for chunks of few bytes.
	maxFramingBytes  = 64 << 10
	maxFramingFactor = 8
)

// errEndlessFraming reports an upstream that sends bytes which are neither data nor the end.
var errEndlessFraming = errors.New("the response has no end")

// allowRead limits the bytes that are read from the connection for the next n bytes of data.
func (cn *conn) allowRead(n int) { cn.readAllowance = maxFramingFactor*n + maxFramingBytes }

// Read implements io.Reader for the response parser, which goes on reading while it skips bytes.
func (cn *conn) Read(p []byte) (int, error) {
	if cn.readAllowance <= 0 {
		return 0, errEndlessFraming
	}
	n, err := cn.Conn.Read(p)
	cn.readAllowance -= n
	return n, err
}

// Call is one request with the options of its exchange.
type Call struct {
	Request *fasthttp.Request
	// FreshConnection dials a new connection instead of using a pooled one.
	FreshConnection bool
	// HeaderTimeout bounds the wait for the response header. Zero: no bound.
	HeaderTimeout time.Duration
	// IsForeign, when set, reports whether a response belongs to another request. Such
	// responses are discarded, at most maxForeignResponses of them, and the next is read.
	IsForeign func(*fasthttp.ResponseHeader) bool
	// BeforeSend, when set, runs after the dial and before the first byte is sent. When it
	// returns false, the call fails with PhaseDial and nothing is sent.
	BeforeSend func() bool
}

// ErrCancelled reports an exchange that was cancelled because its caller is gone.
var ErrCancelled = errors.New("the exchange was cancelled")

// errBeforeSendRefused reports that BeforeSend returned false.
var errBeforeSendRefused = errors.New("the request was refused before it was sent")

// Do sends the request and reads the response header. The body is read through
// [Response.Body]. When ctx ends, the connection is closed, which cancels the request at the
// upstream. Every error is a *Failure.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	cn, err := c.acquireConn(ctx, call.FreshConnection)
	if err != nil {
		return nil, &Failure{Phase: PhaseDial, Err: errors.Wrap(err, "dial upstream")}
	}
	response, failure := c.exchange(ctx, cn, call)
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

func (c *Client) acquireConn(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if cn := c.takeIdle(); cn != nil {
			return cn, nil
		}
	}
	return c.dial(ctx)
}

// LostConnection reports whether a pooled connection failed before the response began.
// The upstream may have closed it while it was idle, or may have crashed; only a new
// dial can tell the two apart.
func (f *Failure) LostConnection() bool {
	return f.Reused && !f.Timeout && (f.Phase == PhaseWrite || f.Phase == PhaseHeader)
}

// Reachable dials the upstream once and reports whether it accepts the connection.
func (c *Client) Reachable(ctx context.Context) bool {
	cn, err := c.dial(ctx)
	if err != nil {
		return false
	}
	cn.Close()
	return true
}

// Warm dials the upstream and adds the connection to the pool.
func (c *Client) Warm(ctx context.Context) error {
	cn, err := c.dial(ctx)
	if err != nil {
		return err
	}
	c.putIdle(cn)
	return nil
}

func (c *Client) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: raw}
	cn.reader = bufio.NewReaderSize(cn, 4<<10)
	cn.writer = bufio.NewWriterSize(cn, 4<<10)
	return cn, nil
}

// takeIdle returns the most recently used connection that is still within the reuse window
// and has not been closed by the upstream, or nil.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(cn.lastUsed) < c.reuseWindow(cn) && isReusable(cn.Conn) {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
	return nil
}

// reuseMargin is subtracted from the keep-alive timeout that the upstream announces: when a
// request is sent while the upstream closes the connection, it is unknown whether it ran.
const reuseMargin = 500 * time.Millisecond

// reuseWindow is how long the connection may stay idle and still be reused.
func (c *Client) reuseWindow(cn *conn) time.Duration {
	if cn.keepAliveTimeout > 0 {
		return min(c.opts.ReuseWindow, cn.keepAliveTimeout-reuseMargin)
	}
	return c.opts.ReuseWindow
}

func (c *Client) putIdle(cn *conn) {
	cn.lastUsed = time.Now()
	cn.written.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) >= c.opts.MaxIdle {
		cn.Close()
		return
	}
	c.idle = append(c.idle, cn)
}

func (c *Client) exchange(ctx context.Context, cn *conn, call Call) (*Response, *Failure) {
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	fail := func(phase Phase, err error) (*Response, *Failure) {
		stop()
		cn.Close()
		return nil, &Failure{Phase: phase, Sent: cn.written.Load(), Reused: cn.reused, Timeout: isTimeout(err), Malformed: phase == PhaseHeader && isMalformed(err), Err: err}
	}
	if call.BeforeSend != nil && !call.BeforeSend() {
		return fail(PhaseDial, errBeforeSendRefused)
	}
	if err := cn.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout)); err != nil {
		return fail(PhaseWrite, errors.Wrap(err, "send request"))
	}
	if err := writeRequest(cn, call.Request); err != nil {
		return fail(PhaseWrite, errors.Wrap(err, "send request"))
	}
	if err := cn.SetReadDeadline(deadlineAfter(call.HeaderTimeout)); err != nil {
		return fail(PhaseHeader, errors.Wrap(err, "read response"))
	}
	cn.allowRead(0)
	for skipped := 0; ; skipped++ {
		response := &Response{client: c, conn: cn, stop: stop}
		response.Response.StreamBody = true
		response.Response.SkipBody = call.Request.Header.IsHead()
		if c.opts.PreserveHeaderCase {
			response.Response.Header.DisableNormalizing()
		}
		if err := response.Response.Read(cn.reader); err != nil {
			return fail(PhaseHeader, errors.Wrap(err, "read response"))
		}
		if call.IsForeign == nil || !call.IsForeign(&response.Response.Header) {
			cn.keepAliveTimeout = parseKeepAliveTimeout(&response.Response.Header)
			return response, nil
		}
		if skipped == maxForeignResponses {
			return fail(PhaseHeader, errForeignResponses)
		}
		if err := response.discardBody(); err != nil {
			return fail(PhaseHeader, errors.Wrap(err, "discard a response to another request"))
		}
	}
}

// maxForeignResponses bounds the responses to other requests that are discarded in one
// exchange.
const maxForeignResponses = 3

// maxForeignBytes bounds the body of a discarded response.
const maxForeignBytes = 1 << 20

// errForeignResponses reports a connection on which too many responses belong to other requests.
var errForeignResponses = errors.New("the connection carries responses to other requests")

// discardBody reads the body to its end. A body that ends only when the connection closes
// cannot be skipped.
func (r *Response) discardBody() error {
	if r.Framing() == FramingClose {
		return errForeignResponses
	}
	if stream := r.Response.BodyStream(); stream != nil {
		r.conn.allowRead(maxForeignBytes)
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	return r.Response.CloseBodyStream()
}

// parseKeepAliveTimeout returns the timeout of the Keep-Alive header, which is how long the
// upstream keeps an idle connection open; 0 when it is absent.
func parseKeepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
	for _, field := range strings.Split(string(h.Peek(fasthttp.HeaderKeepAlive)), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

func writeRequest(cn *conn, r *fasthttp.Request) error {
	if err := r.Write(cn.writer); err != nil {
		return err
	}
	return cn.writer.Flush()
}

func deadlineAfter(timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// isTimeout accepts any error with a Timeout method: when a header does not arrive in time,
// fasthttp returns an error that is not a [net.Error]. ETIMEDOUT is excluded; see
// [Failure.ConnectionTimedOut].
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return !errors.Is(err, syscall.ETIMEDOUT) && errors.As(err, &t) && t.Timeout()
}

// isMalformed reports whether the parser rejected what it read, as opposed to an error of the
// connection.
func isMalformed(err error) bool {
	var netErr *net.OpError
	return !isTimeout(err) && !errors.As(err, &netErr) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

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

// Abort closes the connection, so that a read in progress fails. It may be called concurrently
// with reads.
func (r *Response) Abort() { r.conn.Close() }

// Release ends the exchange. When the body was read to its end, the connection returns to
// the pool; otherwise it is closed, which cancels the request at the upstream.
func (r *Response) Release(complete bool) {
	if r.released {
		return
	}
	r.released = true
	cancelled := !r.stop()
	reusable := complete && !cancelled && !r.Response.ConnectionClose() && r.Framing() != FramingClose && r.atBodyEnd()
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
