// Package platform is the client of the platform's services. It reads and watches
// the configuration and reads the list of instances. Every call has a time limit,
// and its result is a typed outcome, so that callers can tell "nothing new" from
// "limited" and "unavailable" without parsing errors.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// Outcome classifies the result of a call.
type Outcome int

const (
	// OK means that the result holds an answer.
	OK Outcome = iota
	// NotModified means that a watch ended without a newer revision.
	NotModified
	// Limited means that the platform refused the call because of its rate limit.
	Limited
	// Unavailable means that the platform did not answer in time or answered with an error.
	Unavailable
	// Malformed means that the answer breaks the protocol.
	Malformed
)

// String returns the name that is used in logs.
func (o Outcome) String() string {
	switch o {
	case OK:
		return "ok"
	case NotModified:
		return "not_modified"
	case Limited:
		return "limited"
	case Unavailable:
		return "unavailable"
	}
	return "malformed"
}

const (
	// defaultTimeout bounds a call; the platform answers in milliseconds.
	defaultTimeout = 2 * time.Second
	// maxInstancesBytes bounds the instance list: 3,100 nodes at about 100 bytes
	// each fit with room to spare.
	maxInstancesBytes = 2 << 20
	// maxConnections is enough for one watch, one poll and a few reads at the same time.
	maxConnections = 8
)

// Options configure a client.
type Options struct {
	// Address is the platform's IP address with port.
	Address string
	// Timeout bounds each call; a watch may take its wait longer. Zero: 2 s.
	Timeout time.Duration
	// Dial replaces the dialer, so that experiments can cut links.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// WithoutNetwork adapts a dialer that knows only TCP.
func WithoutNetwork(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	dialer  func(ctx context.Context, network, address string) (net.Conn, error)
	http    *fasthttp.HostClient

	mu     sync.Mutex
	closed bool
	conns  map[*trackedConn]struct{}
}

// New returns a client. It opens no connection until the first call.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	c := &Client{timeout: o.Timeout, dialer: o.Dial, conns: map[*trackedConn]struct{}{}}
	c.http = &fasthttp.HostClient{
		Addr:                     o.Address,
		Dial:                     c.dial,
		MaxConns:                 maxConnections,
		MaxResponseBodySize:      max(maxInstancesBytes, config.MaxBytes),
		NoDefaultUserAgentHeader: true,
	}
	return c
}

// ConfigResult is the result of Read and Watch.
type ConfigResult struct {
	Outcome    Outcome
	Deployment platformapi.Deployment
	// Err explains the outcomes Unavailable and Malformed.
	Err error
}

// InstancesResult is the result of Instances.
type InstancesResult struct {
	Outcome   Outcome
	Instances []platformapi.Instance
	// Err explains the outcomes Unavailable and Malformed.
	Err error
}

// Read returns the current configuration.
func (c *Client) Read() ConfigResult { return c.config(platformapi.Watch{}) }

// Watch waits at most wait for a revision above after.
func (c *Client) Watch(after platformapi.Revision, wait time.Duration) ConfigResult {
	return c.config(platformapi.Watch{After: after, Wait: min(wait, platformapi.MaxWait)})
}

func (c *Client) config(w platformapi.Watch) ConfigResult {
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	outcome, err := c.get(w.URI(), c.timeout+w.Wait, res)
	if outcome != OK {
		return ConfigResult{Outcome: outcome, Err: err}
	}
	revision, err := platformapi.ParseRevision(string(res.Header.Peek(platformapi.HeaderRevision)))
	if err != nil {
		return ConfigResult{Outcome: Malformed, Err: errors.Wrap(err, platformapi.HeaderRevision)}
	}
	if len(res.Body()) > config.MaxBytes {
		return ConfigResult{Outcome: Malformed, Err: errors.Errorf("configuration has %d bytes, the limit is %d", len(res.Body()), config.MaxBytes)}
	}
	text := append([]byte(nil), res.Body()...)
	return ConfigResult{Outcome: OK, Deployment: platformapi.Deployment{Revision: revision, Text: text}}
}

// Instances returns the platform's list of instances.
func (c *Client) Instances() InstancesResult {
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	outcome, err := c.get(platformapi.PathInstances, c.timeout, res)
	if outcome != OK {
		return InstancesResult{Outcome: outcome, Err: err}
	}
	var list []platformapi.Instance
	if err := json.Unmarshal(res.Body(), &list); err != nil {
		return InstancesResult{Outcome: Malformed, Err: errors.Wrap(err, "instance list")}
	}
	for _, i := range list {
		if err := i.Validate(); err != nil {
			return InstancesResult{Outcome: Malformed, Err: err}
		}
	}
	return InstancesResult{Outcome: OK, Instances: list}
}

func (c *Client) get(uri string, timeout time.Duration, res *fasthttp.Response) (Outcome, error) {
	if err := c.do(uri, timeout, res); err != nil {
		return Unavailable, err
	}
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
		return OK, nil
	case fasthttp.StatusNotModified:
		return NotModified, nil
	case fasthttp.StatusTooManyRequests:
		return Limited, nil
	default:
		return Unavailable, errors.Errorf("platform answered with status %d", code)
	}
}

// Get calls the platform and returns the status and the body of its answer. When ctx ends,
// the connections of all calls are closed.
func (c *Client) Get(ctx context.Context, uri string, timeout time.Duration) (int, []byte, error) {
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	if err := c.do(uri, timeout, res); err != nil {
		return 0, nil, err
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}

// interrupt closes the connections of all calls in progress.
func (c *Client) interrupt() {
	c.mu.Lock()
	open := make([]*trackedConn, 0, len(c.conns))
	for conn := range c.conns {
		open = append(open, conn)
	}
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.Conn.Close() // the call in progress reports the error
	}
}

func (c *Client) do(uri string, timeout time.Duration, res *fasthttp.Response) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + c.http.Addr + uri)
	return errors.Wrap(c.http.DoTimeout(req, res, timeout), "platform")
}

// Close ends all calls in progress, also a waiting watch, and refuses new ones.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	open := c.conns
	c.conns = nil
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Conn.Close()
	}
	c.http.CloseIdleConnections()
}

// dial tracks connections, because the HTTP client cannot interrupt a waiting call.
func (c *Client) dial(addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	inner, err := c.dialer(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := &trackedConn{Conn: inner, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	c.conns[conn] = struct{}{}
	return conn, nil
}

type trackedConn struct {
	net.Conn
	owner *Client
}

// Close removes the connection from its client's set.
func (t *trackedConn) Close() error {
	t.owner.mu.Lock()
	delete(t.owner.conns, t)
	t.owner.mu.Unlock()
	return t.Conn.Close()
}
