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
	// DialTimeout bounds a fresh dial. Default 1s.
	DialTimeout time.Duration
	// WriteTimeout bounds the sending of a request. Default 5s.
	WriteTimeout time.Duration
	// ReuseWindow is how long after its last use a connection is reused. Default 2s.
	ReuseWindow time.Duration
	// MaxIdle is the number of idle connections kept. Default 16.
	MaxIdle int
	// SilentConnection is how long sent bytes may stay without an acknowledgement until
	// the kernel gives the connection up. Default 5s.
	SilentConnection time.Duration
	// KeepAlivePause is how long a connection is idle before and between keep-alive
	// probes, of which two may stay unanswered. Default 2s.
	KeepAlivePause time.Duration
	// KeepHeaderNames passes the names of headers on as they were sent.
	KeepHeaderNames bool
	// Dial replaces the dialer.
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
	if o.SilentConnection == 0 {
		o.SilentConnection = 5 * time.Second
	}
	if o.KeepAlivePause == 0 {
		o.KeepAlivePause = 2 * time.Second
	}
	if o.Dial == nil {
		o.Dial = Dialer(o.SilentConnection, o.KeepAlivePause)
	}
	return o
}

// keepAliveCount is how many keep-alive probes may stay unanswered.
const keepAliveCount = 2

// Dialer returns a function that opens connections which the kernel gives up when the
// other end, or something between the two ends, has lost track of them.
func Dialer(silent, pause time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: pause, Interval: pause, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
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

// Phase is the part of an exchange in which a failure happened.
type Phase int

const (
	// Dial failed: no byte has left and the upstream is unreachable.
	Dial Phase = iota
	// Write failed: some bytes may have left.
	Write
	// Header failed: the request has left and no answer has begun.
	Header
	// Body failed: the answer broke off.
	Body
)

// Failure describes a failed exchange.
type Failure struct {
	Phase Phase
	// Sent is true when at least one byte of the request may have left.
	Sent bool
	// Reused is true when the exchange ran on a pooled connection.
	Reused bool
	// Timeout is true when the liveness deadline ran out.
	Timeout bool
	Err     error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// TimedOut reports that the failure is a time limit of any kind.
func (f *Failure) TimedOut() bool { return isTimeout(f.Err) || f.Broken() }

// Broken reports that the kernel gave the connection up because the other end no longer
// acknowledged anything.
func (f *Failure) Broken() bool { return errors.Is(f.Err, syscall.ETIMEDOUT) }

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	opts    Options

	mu     sync.Mutex
	idle   []*conn // the most recently used is last
	closed bool
}

// New returns a client of the upstream at address, an IP address with a port.
func New(address string, o Options) *Client {
	return &Client{address: address, opts: o.withDefaults()}
}

// Address returns the upstream's address.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections. Exchanges in progress end undisturbed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cn := range c.idle {
		cn.Close()
	}
	c.idle = nil
}

// conn is a connection with its buffers.
type conn struct {
	net.Conn
	r        *bufio.Reader
	w        *bufio.Writer
	written  atomic.Bool
	lastUsed time.Time
	window   time.Duration // the upstream keeps the connection open that long; 0: not known
	reused   bool
}

// Write notes that bytes may have left before it writes them.
func (cn *conn) Write(p []byte) (int, error) {
	cn.written.Store(true)
	return cn.Conn.Write(p)
}

// Call is one request.
type Call struct {
	Request *fasthttp.Request
	// Fresh demands a connection that is dialled for this call.
	Fresh bool
	// FirstByte bounds the wait for the answer's header. Zero: no bound.
	FirstByte time.Duration
	// Foreign, when set, tells whether an answer belongs to another request. Such answers
	// are read and dropped, up to maxForeign, and the next one is awaited.
	Foreign func(*fasthttp.ResponseHeader) bool
	// BeforeSend, when set, runs after the dial and before the first byte leaves.
	// When it returns false the call fails with Phase Dial and nothing is sent.
	BeforeSend func() bool
}

// ErrCancelled reports an exchange that was given up because nobody waits for its answer.
var ErrCancelled = errors.New("the exchange was cancelled")

// errRefused reports that BeforeSend refused the call.
var errRefused = errors.New("the call was refused before it was sent")

// Do sends the request and reads the answer's header. The body is read from the
// answer. When ctx ends, the connection is closed, which cancels the request at the
// upstream. A failure is always a *Failure.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	cn, err := c.connection(ctx, call.Fresh)
	if err != nil {
		return nil, &Failure{Phase: Dial, Err: errors.Wrap(err, "dial upstream")}
	}
	answer, fail := c.exchange(ctx, cn, call)
	if fail != nil {
		return nil, fail
	}
	return answer, nil
}

func (c *Client) connection(ctx context.Context, fresh bool) (*conn, error) {
	if !fresh {
		if cn := c.takeIdle(); cn != nil {
			return cn, nil
		}
	}
	return c.dial(ctx)
}

// LostConnection reports that a pooled connection broke before the answer began.
// The upstream may have closed it while it was idle, or may have crashed; a fresh
// dial tells.
func (f *Failure) LostConnection() bool {
	return f.Reused && !f.Timeout && (f.Phase == Write || f.Phase == Header)
}

// Reachable dials the upstream once and reports whether it accepts connections.
func (c *Client) Reachable(ctx context.Context) bool {
	cn, err := c.dial(ctx)
	if err != nil {
		return false
	}
	cn.Close()
	return true
}

// Warm dials the upstream and keeps the connection for a later call.
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
	cn.r = bufio.NewReaderSize(raw, 4<<10)
	cn.w = bufio.NewWriterSize(cn, 4<<10)
	return cn, nil
}

// takeIdle returns the most recently used connection that is still in the reuse
// window and not closed by the upstream, or nil.
func (c *Client) takeIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(cn.lastUsed) < c.window(cn) && quiet(cn.Conn) {
			cn.reused = true
			return cn
		}
		cn.Close()
	}
	return nil
}

// reuseMargin is kept from the idle time that the upstream announces: a request that
// crosses the upstream's close may or may not have run.
const reuseMargin = 500 * time.Millisecond

// window is how long after its last use the connection is reused.
func (c *Client) window(cn *conn) time.Duration {
	if cn.window > 0 {
		return min(c.opts.ReuseWindow, cn.window-reuseMargin)
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

func (c *Client) exchange(ctx context.Context, cn *conn, call Call) (*Answer, *Failure) {
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	fail := func(phase Phase, err error) (*Answer, *Failure) {
		stop()
		cn.Close()
		return nil, &Failure{Phase: phase, Sent: cn.written.Load(), Reused: cn.reused, Timeout: isTimeout(err), Err: err}
	}
	if call.BeforeSend != nil && !call.BeforeSend() {
		return fail(Dial, errRefused)
	}
	if err := cn.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout)); err != nil {
		return fail(Write, errors.Wrap(err, "send request"))
	}
	if err := writeRequest(cn, call.Request); err != nil {
		return fail(Write, errors.Wrap(err, "send request"))
	}
	if err := cn.SetReadDeadline(deadline(call.FirstByte)); err != nil {
		return fail(Header, errors.Wrap(err, "read answer"))
	}
	for foreign := 0; ; foreign++ {
		answer := &Answer{client: c, conn: cn, stop: stop}
		answer.Response.StreamBody = true
		answer.Response.SkipBody = call.Request.Header.IsHead()
		if c.opts.KeepHeaderNames {
			answer.Response.Header.DisableNormalizing()
		}
		if err := answer.Response.Read(cn.r); err != nil {
			return fail(Header, errors.Wrap(err, "read answer"))
		}
		if call.Foreign == nil || !call.Foreign(&answer.Response.Header) {
			cn.window = keepAliveWindow(&answer.Response.Header)
			return answer, nil
		}
		if foreign == maxForeign {
			return fail(Header, errForeignAnswers)
		}
		if err := answer.discard(); err != nil {
			return fail(Header, errors.Wrap(err, "drop an answer to another request"))
		}
	}
}

// maxForeign bounds the answers to other requests that are dropped while the right one is
// awaited.
const maxForeign = 3

// errForeignAnswers reports a connection with too many answers to other requests.
var errForeignAnswers = errors.New("the connection carries answers to other requests")

// discard reads the body to its end. A body that ends with the connection has none.
func (a *Answer) discard() error {
	if a.Response.Header.ContentLength() == -2 {
		return errForeignAnswers
	}
	if stream := a.Response.BodyStream(); stream != nil {
		if _, err := io.Copy(io.Discard, stream); err != nil {
			return err
		}
	}
	return a.Response.CloseBodyStream()
}

// keepAliveWindow reads how long the upstream keeps an idle connection open; 0 when it
// does not say.
func keepAliveWindow(h *fasthttp.ResponseHeader) time.Duration {
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
	if err := r.Write(cn.w); err != nil {
		return err
	}
	return cn.w.Flush()
}

func deadline(wait time.Duration) time.Time {
	if wait == 0 {
		return time.Time{}
	}
	return time.Now().Add(wait)
}

// isTimeout accepts any error with a Timeout method: fasthttp reports a header that
// did not arrive in time with an error that is not a [net.Error].
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return !errors.Is(err, syscall.ETIMEDOUT) && errors.As(err, &t) && t.Timeout()
}

// Answer is an answer whose body is still being read.
type Answer struct {
	Response fasthttp.Response
	client   *Client
	conn     *conn
	stop     func() bool
	ended    bool
}

// Body returns a reader of the body. Each read is bounded by liveness; zero means
// no bound.
func (a *Answer) Body(liveness time.Duration) *BodyReader {
	return &BodyReader{answer: a, liveness: liveness}
}

// Release ends the exchange. A connection whose body was read to the end returns
// to the pool; any other is closed, which cancels the request at the upstream.
func (a *Answer) Release(complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	cancelled := !a.stop()
	reusable := complete && !cancelled && !a.Response.ConnectionClose() && a.Response.Header.ContentLength() != -2 && a.atEnd()
	if !reusable {
		a.conn.Close()
		return
	}
	if err := a.Response.CloseBodyStream(); err != nil || a.conn.r.Buffered() > 0 {
		// Bytes behind the answer belong to no request.
		a.conn.Close()
		return
	}
	a.client.putIdle(a.conn)
}

// bodyEndWait bounds the wait for the end of a body whose last part has been read. The
// upstream sends the end right behind it.
const bodyEndWait = 20 * time.Millisecond

// atEnd reads the end of the body. A caller stops at the last event of a stream, and the
// end of the chunked body may arrive later: left in the connection, it would be read as
// the beginning of the next answer.
func (a *Answer) atEnd() bool {
	stream := a.Response.BodyStream()
	if stream == nil {
		return true
	}
	if a.conn.SetReadDeadline(deadline(bodyEndWait)) != nil {
		return false
	}
	var b [1]byte
	n, err := stream.Read(b[:])
	return n == 0 && err == io.EOF
}

// BodyReader reads the body of an answer.
type BodyReader struct {
	answer   *Answer
	liveness time.Duration
}

// SetLiveness bounds each further read; zero means no bound.
func (b *BodyReader) SetLiveness(d time.Duration) { b.liveness = d }

// Read reads body bytes; a failure is a *Failure with Phase Body.
func (b *BodyReader) Read(p []byte) (int, error) {
	a := b.answer
	stream := a.Response.BodyStream()
	if stream == nil {
		return 0, io.EOF
	}
	if err := a.conn.SetReadDeadline(deadline(b.liveness)); err != nil {
		return 0, bodyFailure(err)
	}
	n, err := stream.Read(p)
	if err != nil && err != io.EOF {
		return n, bodyFailure(err)
	}
	return n, err
}

func bodyFailure(err error) *Failure {
	return &Failure{Phase: Body, Sent: true, Timeout: isTimeout(err), Err: errors.Wrap(err, "read answer")}
}
