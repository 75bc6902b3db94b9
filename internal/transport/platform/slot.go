package platform

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxSlotConnections allows the connection of a call while the library closes an idle one, which it still counts.
const maxSlotConnections = 2

// slot makes one call at a time, on a connection of its own, because the HTTP client can't cancel a call: the
// connection of a call must be known to end the call alone.
type slot struct {
	client *Client
	http   *fasthttp.HostClient

	mu      sync.Mutex
	ctx     context.Context // of the call in progress
	onLarge func()          // of the call in progress; nil if it has been called
	conn    net.Conn        // opened last; nil before the first dial

	malformed error // in the answer to the call in progress
}

func (c *Client) newSlot(address string) *slot {
	s := &slot{client: c}
	s.http = &fasthttp.HostClient{
		Addr:                address,
		Dial:                s.dial,
		MaxConns:            maxSlotConnections,
		MaxResponseBodySize: maxResponseBytes,
		// The library can't be told that a call has ended; see do.
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
	}
	return s
}

// do makes a call that ends when ctx does.
func (s *slot) do(ctx context.Context, req *fasthttp.Request, res *fasthttp.Response, deadline time.Time, onLarge func()) error {
	s.begin(ctx, onLarge)
	defer s.finish()
	defer context.AfterFunc(ctx, func() { s.abort(ctx) })()
	err := ctx.Err()
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		err = s.http.DoDeadline(req, res, deadline)
		if malformed := s.malformedAnswer(); malformed != nil {
			return errors.WithMessage(ErrMalformed, malformed.Error())
		}
		if !connectionEnded(err) {
			break
		}
	}
	return err
}

func (s *slot) begin(ctx context.Context, onLarge func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx, s.onLarge, s.malformed = ctx, onLarge, nil
}

func (s *slot) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx, s.onLarge = nil, nil
}

// recordMalformed keeps what is wrong with the answer to the call in progress: the HTTP client reports a failed read as an end of
// the connection, after which the call would be sent again.
func (s *slot) recordMalformed(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.malformed = err
}

func (s *slot) malformedAnswer() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.malformed
}

// notifyLarge tells the call in progress, once, that its response is large.
func (s *slot) notifyLarge() {
	s.mu.Lock()
	onLarge := s.onLarge
	s.onLarge = nil
	s.mu.Unlock()
	if onLarge != nil {
		onLarge()
	}
}

// abort closes the connection of the call with the context, if it is still in progress.
func (s *slot) abort(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx == ctx && s.conn != nil {
		_ = s.conn.Close() // the call reports the error
	}
}

func (s *slot) dial(address string) (net.Conn, error) {
	s.mu.Lock()
	call := s.ctx
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(call, s.client.timeout)
	defer cancel()
	conn, err := s.client.dialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := call.Err(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.conn = conn
	return &trackedConn{Conn: conn, slot: s}, nil
}
