package peer

import (
	"context"
	"net"
	"net/netip"
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

// echo answers a query with its payload and fails everything else.
func echo(_ context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	switch m := m.(type) {
	case peerwire.Query:
		return peerwire.OrderAnswer{Payload: append([]byte(from.Name+" "), m.Payload...)}, nil
	case peerwire.Instances:
		return nil, nil
	}
	return nil, errors.New("unexpected " + m.Type().String())
}

func listen(t *testing.T, name string, change func(*Options)) *Node {
	t.Helper()
	o := Options{
		Self: peerwire.Identity{Name: name, Domain: "lanester"}, Listen: loopback,
		Keys: keyList(t, "first"), Handler: HandlerFunc(echo),
		KeepAlive: 20 * time.Millisecond, Liveness: 300 * time.Millisecond,
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

func query(t *testing.T, a, b *Node, text string) {
	t.Helper()
	answer, err := a.Call(testContext(t), b.Addr(), peerwire.Query{Payload: []byte(text)})
	if err != nil {
		t.Fatal(err)
	}
	if got := string(answer.(peerwire.OrderAnswer).Payload); got != a.self.Name+" "+text {
		t.Fatalf("answer %q", got)
	}
}

// Guards against answers that reach another call, and against a dial for each call.
func TestCallsShareOneConnection(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() { query(t, a, b, string(rune('A'+i))) })
	}
	all.Wait()
	if s := a.Stats(); s.Dialed != 1 || b.Stats().Accepted != 1 {
		t.Errorf("dialled %d times", s.Dialed)
	}
	if m, err := a.Call(testContext(t), b.Addr(), peerwire.Instances{}); err != nil || m != (peerwire.Done{}) {
		t.Errorf("a call without answer gave %v, %v", m, err)
	}
	var failure peerwire.Failure
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Intent{}); !errors.As(err, &failure) {
		t.Errorf("a failing handler gave %v", err)
	}
}

// Guards against messages without answer that are dropped.
func TestNotify(t *testing.T) {
	got := make(chan peerwire.Message, 1)
	b := listen(t, "b", func(o *Options) {
		o.Handler = HandlerFunc(func(_ context.Context, _ peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
			got <- m
			return nil, nil
		})
	})
	if err := listen(t, "a", nil).Notify(testContext(t), b.Addr(), peerwire.Suspicions{Payload: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if m := <-got; m.Type() != peerwire.TypeSuspicions {
		t.Errorf("received %v", m)
	}
}

// Guards against peers with a wrong key, and against rotations that cut connections.
func TestKeys(t *testing.T) {
	b := listen(t, "b", func(o *Options) { o.Keys = keyList(t, "first", "second") })
	query(t, listen(t, "rotated", func(o *Options) { o.Keys = keyList(t, "second", "first") }), b, "x")
	stranger := listen(t, "stranger", func(o *Options) { o.Keys = keyList(t, "third") })
	for _, pair := range [][2]*Node{{stranger, b}, {b, stranger}} {
		if _, err := pair[0].Call(testContext(t), pair[1].Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
			t.Errorf("a wrong key gave %v", err)
		}
	}
	if s := b.Stats(); s.HandshakeFailures == 0 {
		t.Errorf("not counted: %+v", s)
	}
}

// Guards against plain connections that leave the host.
func TestPlainOnlyOnLoopback(t *testing.T) {
	if _, err := Listen(Options{Listen: netip.MustParseAddrPort("192.0.2.1:0"), Keys: keyList(t, "k"), Handler: HandlerFunc(echo)}); err == nil {
		t.Error("a plain listener outside of loopback was allowed")
	}
	a := listen(t, "a", func(o *Options) {
		o.Dialer = func(context.Context, string, string) (net.Conn, error) {
			t.Error("dialled")
			return nil, errors.New("dialled")
		}
	})
	if _, err := a.Call(testContext(t), netip.MustParseAddrPort("192.0.2.1:1"), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("got %v", err)
	}
}

// silentConn stops passing anything on when it is silenced, without an error, as a
// connection does whose path has failed.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Guards against connections that go silent for good while new ones work: a message
// that may be repeated reaches the peer over a fresh connection, any other fails, and
// the peer is unreachable only when the fresh dial fails.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var last atomic.Pointer[silentConn]
	var refuse atomic.Bool
	b := listen(t, "b", nil)
	a := listen(t, "a", func(o *Options) {
		o.Dialer = func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuse.Load() {
				return nil, errors.New("cut")
			}
			c, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			last.Store(&silentConn{Conn: c})
			return last.Load(), nil
		}
	})
	query(t, a, b, "before")
	last.Load().silent.Store(true)
	query(t, a, b, "after")
	// Whichever end notices first closes the connection.
	if s := a.Stats(); s.Dialed != 2 || s.Redialed != 1 || s.Silenced+b.Stats().Silenced == 0 {
		t.Errorf("%+v", s)
	}
	last.Load().silent.Store(true)
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.OrderForward{}); err != ErrConnectionLost {
		t.Errorf("an order over a silent connection gave %v", err)
	}
	refuse.Store(true)
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("a failing dial gave %v", err)
	}
	refuse.Store(false)
	query(t, a, b, "again")
}

// Guards against idle connections that are cut although both ends work.
func TestKeepAliveHoldsConnection(t *testing.T) {
	a, b := listen(t, "a", nil), listen(t, "b", nil)
	query(t, a, b, "x")
	time.Sleep(700 * time.Millisecond) // more than two liveness times
	query(t, a, b, "y")
	if s := a.Stats(); s.Dialed != 1 {
		t.Errorf("dialled %d times", s.Dialed)
	}
}

// Guards against connections that are kept for ever after their last call.
func TestIdleConnectionIsClosed(t *testing.T) {
	b := listen(t, "b", nil)
	a := listen(t, "a", func(o *Options) { o.IdleTime = 30 * time.Millisecond })
	query(t, a, b, "x")
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
	query(t, a, b, "y")
}

// Guards against a peer that takes all goroutines or connections.
func TestLimits(t *testing.T) {
	entered, leave := make(chan bool), make(chan bool)
	b := listen(t, "b", func(o *Options) {
		o.MaxHandlers, o.MaxInbound = 1, 1
		o.Handler = HandlerFunc(func(context.Context, peerwire.Identity, peerwire.Message) (peerwire.Message, error) {
			entered <- true
			<-leave
			return nil, nil
		})
	})
	a := listen(t, "a", func(o *Options) { o.MaxPending, o.MaxPeers = 2, 1 })
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
	if _, err := listen(t, "c", nil).Call(testContext(t), b.Addr(), peerwire.Query{}); errors.Cause(err) != ErrUnreachable {
		t.Errorf("a second connection gave %v", err)
	}
	close(leave)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against input that is not a peer: it must be counted, cut off, and reach no
// handler.
func TestGarbageIsRefused(t *testing.T) {
	b := listen(t, "b", func(o *Options) {
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
	for i, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x02\x01\x63", string(order), string(hello) + string(hello) + string(order), "\xff"} {
		c, err := net.Dial("tcp", b.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		for buf := make([]byte, 1024); err == nil; {
			_, err = c.Read(buf)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("input %d was not cut off", i)
		}
		c.Close()
	}
	if s := b.Stats(); s.HandshakeFailures != 5 || s.Oversized != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards against calls that outlive their deadline or the node.
func TestCallsEnd(t *testing.T) {
	entered := make(chan bool, 2)
	b := listen(t, "b", func(o *Options) {
		o.Handler = HandlerFunc(func(ctx context.Context, _ peerwire.Identity, _ peerwire.Message) (peerwire.Message, error) {
			entered <- true
			<-ctx.Done()
			return nil, ctx.Err()
		})
	})
	a := listen(t, "a", nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-entered; cancel() }()
	if _, err := a.Call(ctx, b.Addr(), peerwire.Query{}); !errors.Is(err, context.Canceled) {
		t.Errorf("a cancelled call gave %v", err)
	}
	go func() { <-entered; a.Close() }()
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); err == nil {
		t.Error("a call outlived its node")
	}
	if _, err := a.Call(testContext(t), b.Addr(), peerwire.Query{}); err != ErrClosed {
		t.Errorf("a call of a closed node gave %v", err)
	}
}

// Guards against connections to former peers that are kept for ever, and against a
// limit of peers that refuses new ones although the old ones are not used.
func TestUnusedPeerIsEvicted(t *testing.T) {
	a, b, c := listen(t, "a", func(o *Options) { o.MaxPeers = 1 }), listen(t, "b", nil), listen(t, "c", nil)
	for _, to := range []*Node{b, c, b, c} {
		query(t, a, to, "x")
	}
	if s := a.Stats(); s.Dialed != 4 || len(a.links) != 1 {
		t.Errorf("dialled %d times, %d links", s.Dialed, len(a.links))
	}
}
