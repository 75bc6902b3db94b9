// Package platform is a client for the platform's services. It reads and watches the
// configuration and reads the list of instances. Every call has a time limit and returns a
// typed outcome, so that callers can tell "not modified", "rate limited" and "unavailable"
// apart without parsing errors.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
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
	// OK means that the result holds the requested data.
	OK Outcome = iota
	// NotModified means that a watch timed out without a newer revision.
	NotModified
	// RateLimited means that the platform refused the call because of its rate limit.
	RateLimited
	// Unavailable means that the platform did not respond in time or returned an error status.
	Unavailable
	// Malformed means that the response violates the protocol.
	Malformed
)

// String returns the name used in logs.
func (o Outcome) String() string {
	switch o {
	case OK:
		return "ok"
	case NotModified:
		return "not_modified"
	case RateLimited:
		return "limited"
	case Unavailable:
		return "unavailable"
	}
	return "malformed"
}

const (
	// defaultTimeout bounds a call; the platform responds within milliseconds.
	defaultTimeout = 2 * time.Second
	// maxResponseBytes bounds a response: a page of entries holds about 1 MB of values and one more value of
	// up to 1 MiB, in base64.
	maxResponseBytes = 4 << 20
	// maxReadBytes bounds what is read for a response, with its head, chunk sizes and extensions.
	maxReadBytes = 2 * maxResponseBytes
	// progressTimeout is how long an answer that has begun to arrive may pause beyond the time limit of its
	// call, and maxTransferTime how much longer than the limit it may take in all. Large answers take
	// seconds over a slow link, while the limit of a call shows whether the platform answers at all.
	progressTimeout = time.Second
	maxTransferTime = 8 * time.Second
	// maxConnections allows one watch, one poll and a few reads at the same time.
	maxConnections = 8
	// maxAttempts bounds how often a call is sent: each of the idle connections may have been closed.
	maxAttempts = 5
)

// Options configures a [Client].
type Options struct {
	// Address is the platform's IP address with port.
	Address string
	// Timeout bounds each call; the wait of a watch is added to it. Zero: 2 s.
	Timeout time.Duration
	// Dial replaces the default dialer, so that experiments can interrupt links.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// AdaptTCPDial turns a dial function for TCP into one that takes the network as well.
func AdaptTCPDial(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	timeout     time.Duration
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	ctx         context.Context // ends when the client is closed
	cancel      context.CancelFunc
	all         []*slot

	mu   sync.Mutex
	free []*slot // the one used last at the end
}

// New returns a client. It opens no connection until the first call.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	c := &Client{timeout: o.Timeout, dialContext: o.Dial}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range maxConnections {
		c.all = append(c.all, c.newSlot(o.Address))
	}
	c.free = slices.Clone(c.all)
	return c
}

// ConfigResult is the result of Read and Watch.
type ConfigResult struct {
	Outcome    Outcome
	Deployment platformapi.Deployment
	// Err is the cause of the outcomes Unavailable and Malformed.
	Err error
}

// InstancesResult is the result of Instances.
type InstancesResult struct {
	Outcome   Outcome
	Instances []platformapi.Instance
	// Invalid is the number of entries that describe no instance and are left out, and InvalidErr says why for
	// one of them.
	Invalid    int
	InvalidErr error
	// Err is the cause of the outcomes Unavailable and Malformed.
	Err error
}

// Read returns the current configuration.
func (c *Client) Read() ConfigResult { return c.fetchConfig(platformapi.Watch{}) }

// Watch waits for a revision above after, for at most wait.
func (c *Client) Watch(after platformapi.Revision, wait time.Duration) ConfigResult {
	return c.fetchConfig(platformapi.Watch{After: after, Wait: min(wait, platformapi.MaxWait)})
}

func (c *Client) fetchConfig(w platformapi.Watch) ConfigResult {
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
	body := append([]byte(nil), res.Body()...)
	return ConfigResult{Outcome: OK, Deployment: platformapi.Deployment{Revision: revision, Text: body}}
}

// Instances returns the platform's list of instances.
func (c *Client) Instances() InstancesResult {
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	outcome, err := c.get(platformapi.PathInstances, c.timeout, res)
	if outcome != OK {
		return InstancesResult{Outcome: outcome, Err: err}
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(res.Body(), &entries); err != nil {
		return InstancesResult{Outcome: Malformed, Err: errors.Wrap(err, "decode instance list")}
	}
	result := InstancesResult{Outcome: OK}
	for _, entry := range entries {
		instance, err := decodeInstance(entry)
		if err != nil {
			// One entry of another writer must not hide the others.
			result.Invalid++
			result.InvalidErr = err
			continue
		}
		result.Instances = append(result.Instances, instance)
	}
	return result
}

func decodeInstance(entry json.RawMessage) (platformapi.Instance, error) {
	var instance platformapi.Instance
	if err := json.Unmarshal(entry, &instance); err != nil {
		return instance, errors.Wrap(err, "decode instance")
	}
	return instance, instance.Validate()
}

func (c *Client) get(uri string, timeout time.Duration, res *fasthttp.Response) (Outcome, error) {
	err := c.do(context.Background(), uri, timeout, nil, res)
	switch {
	case errors.Is(err, ErrMalformed):
		return Malformed, err
	case err != nil:
		return Unavailable, err
	}
	switch code := res.StatusCode(); code {
	case fasthttp.StatusOK:
		return OK, nil
	case fasthttp.StatusNotModified:
		return NotModified, nil
	case fasthttp.StatusTooManyRequests:
		return RateLimited, nil
	default:
		return Unavailable, errors.Errorf("platform responded with status %d", code)
	}
}

// ErrTooLarge reports a response that is larger than the client accepts.
var ErrTooLarge = errors.New("platform: the response is too large")

// ErrMalformed reports an answer that is no valid HTTP.
var ErrMalformed = errors.New("platform: the answer is no valid HTTP")

// Response is a response of the platform.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// LargeResponseBytes is the size from which a response counts as large.
const LargeResponseBytes = 48 << 10

// Get calls the platform. The call ends when ctx does.
func (c *Client) Get(ctx context.Context, uri string, timeout time.Duration) (*Response, error) {
	return c.GetLarge(ctx, uri, timeout, nil)
}

// GetLarge is like Get. It calls onLarge, if it is not nil, while a large response arrives; onLarge must not block.
func (c *Client) GetLarge(ctx context.Context, uri string, timeout time.Duration, onLarge func()) (*Response, error) {
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	if err := c.do(ctx, uri, timeout, onLarge, res); err != nil {
		return nil, err
	}
	out := &Response{Status: res.StatusCode(), Header: http.Header{}, Body: append([]byte(nil), res.Body()...)}
	for key, value := range res.Header.All() {
		out.Header.Add(string(key), string(value))
	}
	return out, nil
}

// do calls the platform. A call that finds its connection closed is sent again, unless ctx has ended: then this
// client has closed the connection.
func (c *Client) do(ctx context.Context, uri string, timeout time.Duration, onLarge func(), res *fasthttp.Response) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	if c.ctx.Err() != nil {
		return errors.Wrap(net.ErrClosed, "platform")
	}
	s, err := c.acquireSlot()
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	defer c.releaseSlot(s)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + s.http.Addr + uri)
	err = s.do(ctx, req, res, time.Now().Add(timeout), onLarge)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return ErrTooLarge
	}
	return errors.Wrap(err, "platform")
}

func (c *Client) acquireSlot() (*slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.free) - 1
	if last < 0 {
		return nil, fasthttp.ErrNoFreeConns
	}
	s := c.free[last]
	c.free = c.free[:last]
	return s, nil
}

func (c *Client) releaseSlot(s *slot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free = append(c.free, s)
}

// connectionEnded reports whether a call failed since its connection ended, rather than by a time limit or a dial.
func connectionEnded(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) {
		return op.Op != "dial" && !op.Timeout()
	}
	return errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, io.ErrUnexpectedEOF)
}

// Close ends all calls in progress, including a waiting watch, and refuses new ones.
func (c *Client) Close() {
	c.cancel()
	for _, s := range c.all {
		s.http.CloseIdleConnections()
	}
}
