package peer

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func keyList(t *testing.T, keys ...string) *peerwire.KeyList {
	t.Helper()
	var list [][]byte
	for _, k := range keys {
		list = append(list, []byte(k+" 0123456789abcdef"))
	}
	l, err := peerwire.NewKeyList(list...)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// echo answers a query with its payload and returns an error for any other request.
func echo(_ context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	switch m := m.(type) {
	case peerwire.Query:
		return peerwire.OrderAnswer{Payload: append([]byte(from.Name+" "), m.Payload...)}, nil
	case peerwire.LeavingUpstreams:
		return nil, nil
	}
	return nil, errors.New("unexpected " + m.Type().String())
}

func startNode(t *testing.T, name string, change func(*Options)) *Node {
	t.Helper()
	o := Options{
		Self: peerwire.Identity{Name: name, Domain: "lanester"}, Listen: loopback,
		Keys: keyList(t, "first"), Handler: HandlerFunc(echo),
		KeepAliveInterval: 20 * time.Millisecond, LivenessTimeout: 300 * time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	n, err := Listen(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n
}

func mustQuery(t *testing.T, a, b *Node, text string) {
	t.Helper()
	answer, err := a.Call(testContext(t), b.Addr(), peerwire.Query{Payload: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	if got := string(answer.(peerwire.OrderAnswer).Payload); got != a.self.Name+" "+text {
		t.Fatalf("got answer %q", got)
	}
}

// Guards against a connection that a newer build loses because it sends a message which this one does not know.
func TestUnknownMessagesKeepTheConnection(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	const later = peerwire.Type(200)
	var failure peerwire.Failure
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Unknown{Number: later}); !errors.As(err, &failure) {
		t.Errorf("a call of an unknown type: %v", err)
	}
	if err := a.Notify(testContext(t), b.Addr(), peerwire.Unknown{Number: later}); err != nil {
		t.Fatal(err)
	}
	mustQuery(t, a, b, "afterwards")
	if stats := b.Stats(); stats.Unknown != 2 || stats.Malformed != 0 || a.Stats().Dialed != 1 {
		t.Errorf("%+v, %d dials", stats, a.Stats().Dialed)
	}
}

// Guards against answers delivered to another call, and against one dial per call.
func TestCallsShareOneConnection(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	var calls sync.WaitGroup
	for i := range 50 {
		calls.Go(func() { mustQuery(t, a, b, string(rune('A'+i))) })
	}
	calls.Wait()
	if s := a.Stats(); s.Dialed != 1 || b.Stats().Accepted != 1 {
		t.Errorf("dialled %d times", s.Dialed)
	}
	if m, err := a.Call(testContext(t), b.Addr(), peerwire.LeavingUpstreams{}); err != nil || m != (peerwire.Done{}) {
		t.Errorf("a call whose handler returned no message gave %v, %v", m, err)
	}
	var failure peerwire.Failure
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Intent{}); !errors.As(err, &failure) {
		t.Errorf("a failing handler gave %v", err)
	}
}

// Guards against losing messages that have no answer.
func TestNotify(t *testing.T) {
	got := make(chan peerwire.Message, 1)
	b := startNode(t, "b", func(o *Options) {
		o.Handler = HandlerFunc(func(_ context.Context, _ peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
			got <- m
			return nil, nil
		})
	})
	if err := startNode(t, "a", nil).Notify(testContext(t), b.Addr(), peerwire.Suspicions{Payload: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Type() != peerwire.TypeSuspicions {
		t.Errorf("received %v", m)
	}
}

// Guards against accepting a peer with a wrong key, and against a key rotation that breaks
// connections.
func TestKeys(t *testing.T) {
	b := startNode(t, "b", func(o *Options) { o.Keys = keyList(t, "first", "second") })
	mustQuery(t, startNode(t, "rotated", func(o *Options) { o.Keys = keyList(t, "second", "first") }), b, "x")
	wrongKey := startNode(t, "wrong-key", func(o *Options) { o.Keys = keyList(t, "third") })
	for _, pair := range [][2]*Node{{wrongKey, b}, {b, wrongKey}} {
		if _, err := pair[0].Call(testContext(t), pair[1].Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
			t.Errorf("a wrong key gave %v", err)
		}
	}
	if s := b.Stats(); s.HandshakeFailures == 0 {
		t.Errorf("the failed handshake was not counted: %+v", s)
	}
}

// Guards against connections without TLS that leave the host.
func TestPlainOnlyOnLoopback(t *testing.T) {
	if _, err := Listen(Options{Listen: netip.MustParseAddrPort("192.0.2.1:0"), Keys: keyList(t, "k"), Handler: HandlerFunc(echo)}); err == nil {
		t.Error("a listener without TLS outside of loopback was allowed")
	}
	a := startNode(t, "a", func(o *Options) {
		o.Dialer = func(context.Context, string, string) (net.Conn, error) {
			t.Error("an address outside of loopback was dialled")
			return nil, errors.New("dialled")
		}
	})
	if _, err := a.Call(testContext(t), netip.MustParseAddrPort("192.0.2.1:1"), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("got %v", err)
	}
}

// blackholeConn discards all data without an error once dropping is set, like a connection
// whose network path has failed.
type blackholeConn struct {
	net.Conn
	dropping atomic.Bool
}

func (c *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropping.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.dropping.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against calls that hang on a connection that no longer delivers data while new ones
// work: an idempotent message must be sent again on a new connection, any other must fail,
// and the peer counts as unreachable only when the new dial fails.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var lastConn atomic.Pointer[blackholeConn]
	var refuseDials atomic.Bool
	b := startNode(t, "b", nil)
	a := startNode(t, "a", func(o *Options) {
		o.Dialer = func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuseDials.Load() {
				return nil, errors.New("dial refused")
			}
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			lastConn.Store(&blackholeConn{Conn: c})
			return lastConn.Load(), nil
		}
	})
	mustQuery(t, a, b, "before")
	lastConn.Load().dropping.Store(true)
	mustQuery(t, a, b, "after")
	// Either end may close the connection, depending on which notices first.
	if s := a.Stats(); s.Dialed != 2 || s.Redialed != 1 || s.TimedOut+b.Stats().TimedOut == 0 {
		t.Errorf("%+v", s)
	}
	lastConn.Load().dropping.Store(true)
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.OrderForward{}); err != ErrConnectionLost {
		t.Errorf("an order on a connection that discards data gave %v", err)
	}
	refuseDials.Store(true)
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("a failing dial gave %v", err)
	}
	refuseDials.Store(false)
	mustQuery(t, a, b, "again")
}

// Guards against closing an idle connection while both ends work.
func TestKeepAliveHoldsConnection(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	mustQuery(t, a, b, "x")
	time.Sleep(700 * time.Millisecond) // more than two liveness timeouts
	mustQuery(t, a, b, "y")
	if s := a.Stats(); s.Dialed != 1 {
		t.Errorf("dialled %d times", s.Dialed)
	}
}

// Guards against connections that stay open forever after their last call.
func TestIdleConnectionIsClosed(t *testing.T) {
	b := startNode(t, "b", nil)
	a := startNode(t, "a", func(o *Options) { o.IdleTimeout = 30 * time.Millisecond })
	mustQuery(t, a, b, "x")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		b.mu.Lock()
		open := b.inbound
		b.mu.Unlock()
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection is still open")
		}
	}
	mustQuery(t, a, b, "y")
}

// Guards against a peer that exhausts the goroutines or connections.
func TestLimits(t *testing.T) {
	entered, finish := make(chan bool), make(chan bool)
	b := startNode(t, "b", func(o *Options) {
		o.MaxHandlers, o.MaxInbound = 1, 1
		o.Handler = HandlerFunc(func(context.Context, peerwire.Identity, peerwire.Message) (peerwire.Message, error) {
			entered <- true
			<-finish
			return nil, nil
		})
	})
	a := startNode(t, "a", func(o *Options) { o.MaxPending, o.MaxPeers = 2, 1 })
	done := make(chan error, 1)
	go func() {
		_, err := a.Call(testContext(t), b.Addr(), peerwire.Query{})
		done <- err
	}()
	<-entered
	var failure peerwire.Failure
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); !errors.As(err, &failure) {
		t.Errorf("a second request gave %v", err)
	}
	if _, err := a.Call(testContext(t), loopback, peerwire.Query{}); err != ErrBusy {
		t.Errorf("a second peer gave %v", err)
	}
	if _, err := startNode(t, "c", nil).Call(testContext(t), b.Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("a second connection gave %v", err)
	}
	close(finish)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against input from something that is not a peer: it must be counted, the connection
// closed, and no handler called.
func TestGarbageIsRefused(t *testing.T) {
	b := startNode(t, "b", func(o *Options) {
		o.Handler = HandlerFunc(func(context.Context, peerwire.Identity, peerwire.Message) (peerwire.Message, error) {
			t.Error("the handler was called")
			return nil, nil
		})
	})
	order, err := peerwire.AppendFrame(nil, peerwire.Frame{Correlation: 1, Message: peerwire.OrderForward{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	hello, err := peerwire.AppendFrame(nil, peerwire.Frame{Message: peerwire.Hello{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i, input := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x02\x01\x63", string(order), string(hello) + string(hello) + string(order), "\xff"} {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(input)); err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		for buf := make([]byte, 1024); err == nil; {
			_, err = c.Read(buf)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("the connection of input %d was not closed", i)
		}
		c.Close()
	}
	if s := b.Stats(); s.HandshakeFailures != 5 || s.Oversized != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards against calls that continue after their context or the node has ended.
func TestCallsEnd(t *testing.T) {
	entered := make(chan bool, 2)
	b := startNode(t, "b", func(o *Options) {
		o.Handler = HandlerFunc(func(ctx context.Context, _ peerwire.Identity, _ peerwire.Message) (peerwire.Message, error) {
			entered <- true
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	a := startNode(t, "a", nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-entered; cancel() }()
	if _, err := a.Call(ctx, b.Addr(), peerwire.Query{}); !errors.Is(err, context.Canceled) {
		t.Errorf("a cancelled call gave %v", err)
	}
	go func() { <-entered; a.Close() }()
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); err == nil {
		t.Error("a call succeeded although its node was closed")
	}
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); err != ErrClosed {
		t.Errorf("a call of a closed node gave %v", err)
	}
}

// Guards against links to former peers that stay forever, and against a peer limit that
// refuses new peers although existing links are unused.
func TestUnusedPeerIsEvicted(t *testing.T) {
	a, b, c := startNode(t, "a", func(o *Options) { o.MaxPeers = 1 }), startNode(t, "b", nil), startNode(t, "c", nil)
	for _, to := range []*Node{b, c, b, c} {
		mustQuery(t, a, to, "x")
	}
	if s := a.Stats(); s.Dialed != 4 || len(a.links) != 1 {
		t.Errorf("dialled %d times, %d links", s.Dialed, len(a.links))
	}
}

// pacedConn delivers what it reads at a limited rate.
type pacedConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *pacedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 4<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// Guards against a connection that is closed while a large message still arrives over a slow link.
func TestLargeFrameMayTakeLongerThanTheLivenessTimeout(t *testing.T) {
	const size, bytesPerSecond = 1 << 20, 1 << 20 // a second, with a liveness timeout of 0.3 s
	b := startNode(t, "b", nil)
	a := startNode(t, "a", func(o *Options) {
		o.Dialer = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			return &pacedConn{Conn: c, bytesPerSecond: bytesPerSecond}, err
		}
	})
	mustQuery(t, a, b, strings.Repeat("x", size))
	if s := a.Stats(); s.Dialed != 1 || s.TimedOut != 0 {
		t.Errorf("%+v", s)
	}
}
