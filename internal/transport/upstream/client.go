package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
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

// Client sends requests to one upstream. It is safe for concurrent use.
type Client struct {
	address string
	opts    Options

	mu     sync.Mutex
	idle   []*conn     // ordered by last use, the most recent last
	expiry *time.Timer // closes idle connections; nil if none is left
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
	if c.expiry != nil {
		c.expiry.Stop()
		c.expiry = nil
	}
}

// Call is one request with the options of its exchange.
type Call struct {
	Request *fasthttp.Request
	// FreshConnection dials a new connection instead of using a pooled one.
	FreshConnection bool
	// HeaderTimeout bounds the wait for the response header. Zero: no bound.
	HeaderTimeout time.Duration
	// GiveUp, when set, decides at the end of HeaderTimeout whether the call fails; otherwise the wait goes on
	// and it is asked again. It must not block. It runs in another goroutine, but only during the call.
	GiveUp func() bool
	// Attribute, when set, reports to which request a response belongs. Responses to other requests
	// are discarded, at most maxForeignResponses of them, and the next is read.
	Attribute func(*fasthttp.ResponseHeader) Attribution
	// OnForeign, when set, is called for each response that is discarded.
	OnForeign func(*fasthttp.ResponseHeader)
	// BeforeSend, when set, runs after the dial and before the first byte is sent. When it
	// returns false, the call fails with PhaseDial and nothing is sent.
	BeforeSend func() bool
}

// Attribution is what a response says about the request to which it belongs.
type Attribution int

const (
	// OwnResponse names the request.
	OwnResponse Attribution = iota
	// ForeignResponse names another request.
	ForeignResponse
	// UnnamedResponse names no request. On a connection that has carried no other request it can only be the
	// response to this one. Later it may be a copy of an earlier response and counts as foreign; the
	// connection is not used again after it.
	UnnamedResponse
)

// ErrCancelled reports an exchange that was cancelled because its caller is gone.
var ErrCancelled = errors.New("the exchange was cancelled")

// errBeforeSendRefused reports that BeforeSend returned false.
var errBeforeSendRefused = errors.New("the request was refused before it was sent")

// Do sends the request and reads the response header. The body is read through
// [Response.Body]. When ctx ends, the connection is reset, which cancels the request at the
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
	now := time.Now()
	cn := &conn{Conn: raw, lastUsed: now, lastRead: now}
	cn.reader = bufio.NewReaderSize(cn, 4<<10)
	cn.writer = bufio.NewWriterSize(cn, 4<<10)
	return cn, nil
}

func (c *Client) exchange(ctx context.Context, cn *conn, call Call) (*Response, *Failure) {
	stop := context.AfterFunc(ctx, cn.abandon)
	fail := func(phase Phase, err error) (*Response, *Failure) {
		stop()
		cn.abandon()
		return nil, &Failure{Phase: phase, Sent: cn.written.Load(), Reused: cn.reused, Timeout: isTimeout(err), Malformed: phase == PhaseHeader && isMalformed(err), Err: err}
	}
	if err := ctx.Err(); err != nil {
		return fail(PhaseDial, err) // the context may have ended while nothing waited for it
	}
	if call.BeforeSend != nil && !call.BeforeSend() {
		return fail(PhaseDial, errBeforeSendRefused)
	}
	cn.requests++
	if len(call.Request.Body()) > maxUnreadBytes {
		defer liftUserTimeout(cn.Conn)()
	}
	if err := cn.SetWriteDeadline(time.Now().Add(c.opts.WriteTimeout)); err != nil {
		return fail(PhaseWrite, errors.Wrap(err, "send request"))
	}
	if err := writeRequest(cn, call.Request); err != nil {
		return fail(PhaseWrite, errors.Wrap(err, "send request"))
	}
	limit, err := cn.limitHeader(call)
	if err != nil {
		return fail(PhaseHeader, errors.Wrap(err, "read response"))
	}
	defer limit.stop()
	cn.allowRead(0)
	for skipped := 0; ; skipped++ {
		response := &Response{client: c, conn: cn, stop: stop}
		response.Response.StreamBody = true
		response.Response.SkipBody = call.Request.Header.IsHead()
		if c.opts.PreserveHeaderCase {
			response.Response.Header.DisableNormalizing()
		}
		if err := readResponse(cn.reader, &response.Response); err != nil {
			return fail(PhaseHeader, errors.Wrap(err, "read response"))
		}
		if cn.acceptsResponse(call, &response.Response.Header) {
			cn.keepAliveTimeout, cn.keepAliveStated = parseKeepAliveTimeout(&response.Response.Header)
			return response, nil
		}
		if call.OnForeign != nil {
			call.OnForeign(&response.Response.Header)
		}
		if skipped == maxForeignResponses {
			return fail(PhaseHeader, errForeignResponses)
		}
		if err := response.discardBody(); err != nil {
			return fail(PhaseHeader, errors.Wrap(err, "discard a response to another request"))
		}
	}
}

// limitHeader bounds the wait for the response header. The limit is nil if the call always fails at its end.
func (cn *conn) limitHeader(call Call) (*readLimit, error) {
	if call.HeaderTimeout == 0 || call.GiveUp == nil {
		return nil, cn.SetReadDeadline(deadlineAfter(call.HeaderTimeout))
	}
	if err := cn.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return limitReads(cn.Conn, call.HeaderTimeout, call.GiveUp), nil
}

// acceptsResponse reports whether the response belongs to the request of the call.
func (cn *conn) acceptsResponse(call Call, h *fasthttp.ResponseHeader) bool {
	if call.Attribute == nil {
		return true
	}
	switch call.Attribute(h) {
	case OwnResponse:
		return true
	case UnnamedResponse:
		cn.singleUse = true
		return cn.requests == 1
	}
	return false
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
// upstream keeps an idle connection open, if there is one. The name may be written in any case.
func parseKeepAliveTimeout(h *fasthttp.ResponseHeader) (time.Duration, bool) {
	for name, header := range h.All() {
		if !strings.EqualFold(string(name), fasthttp.HeaderKeepAlive) {
			continue
		}
		if timeout, ok := ParseKeepAlive(string(header)); ok {
			return timeout, true
		}
	}
	return 0, false
}

// ParseKeepAlive returns the timeout in the value of a Keep-Alive header, if there is one.
func ParseKeepAlive(header string) (time.Duration, bool) {
	for field := range strings.SplitSeq(header, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(strings.Trim(value, `" `)); strings.EqualFold(key, "timeout") && err == nil && seconds >= 0 && seconds <= maxKeepAliveSeconds {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

// maxKeepAliveSeconds is the longest timeout that is read; a longer one is no limit.
const maxKeepAliveSeconds = 24 * 60 * 60

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
