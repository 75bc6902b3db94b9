package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// startUpstream accepts one connection after the other and passes them to serve.
func startUpstream(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func relayTo(t *testing.T) func(*Options) {
	t.Helper()
	return func(o *Options) {
		o.Relay = func(ctx context.Context, _ peerwire.Identity, open peerwire.RelayOpen) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", open.Upstream)
		}
	}
}

// Guards against bytes that a relay loses, adds or reorders, and against an end that it invents: only a
// regular end of the upstream is one.
func TestRelayedConnectionCarriesBytesAndTheirEnd(t *testing.T) {
	const size = 1 << 20
	payload := strings.Repeat("0123456789abcdef", size/16)
	for name, tc := range map[string]struct {
		reset bool
		want  error
	}{"regular end": {false, io.EOF}, "reset": {true, io.ErrUnexpectedEOF}} {
		t.Run(name, func(t *testing.T) {
			address := startUpstream(t, func(c *net.TCPConn) {
				defer c.Close()
				received := make([]byte, size)
				if _, err := io.ReadFull(c, received); err != nil {
					return
				}
				c.Write(received)
				if tc.reset {
					time.Sleep(200 * time.Millisecond) // a reset discards what has not been read
					c.SetLinger(0)
				}
			})
			relaying, caller := startNode(t, "relay", relayTo(t)), startNode(t, "caller", nil)
			c, err := caller.OpenRelay(t.Context(), relaying.Addr(), peerwire.RelayOpen{Upstream: address})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go io.WriteString(c, payload)
			received := make([]byte, size)
			if _, err := io.ReadFull(c, received); err != nil || string(received) != payload {
				t.Fatalf("%d bytes, %v", len(received), err)
			}
			if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, tc.want) {
				t.Errorf("%d bytes more, %v, want %v", n, err, tc.want)
			}
		})
	}
}

// Guards against an upstream that is not told that its caller has gone, and against a relay that stays.
func TestRelayEndsWithItsCaller(t *testing.T) {
	ended := make(chan error, 1)
	address := startUpstream(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
		c.Close()
	})
	relaying, caller := startNode(t, "relay", relayTo(t)), startNode(t, "caller", nil)
	c, err := caller.OpenRelay(t.Context(), relaying.Addr(), peerwire.RelayOpen{Upstream: address})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "request"); err != nil {
		t.Fatal(err)
	}
	if relaying.Relays() != 1 {
		t.Error("the relay is not counted")
	}
	c.Close()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the upstream still waits for the caller")
	}
	for deadline := time.Now().Add(5 * time.Second); relaying.Relays() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the relay has not ended")
		}
	}
}

// Guards against connections that are relayed for others than peers, for too many, or by an instance that
// reaches no upstream.
func TestRelayIsRefused(t *testing.T) {
	address := startUpstream(t, func(c *net.TCPConn) { io.Copy(io.Discard, c) })
	open := peerwire.RelayOpen{Upstream: address}
	limited := startNode(t, "limited", func(o *Options) { relayTo(t)(o); o.MaxRelays = 1 })
	unwilling := startNode(t, "unwilling", nil)
	caller := startNode(t, "caller", nil)
	first, err := caller.OpenRelay(t.Context(), limited.Addr(), open)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	for name, node := range map[string]*Node{"too many": limited, "relays nothing": unwilling} {
		var failure peerwire.Failure
		if _, err := caller.OpenRelay(t.Context(), node.Addr(), open); !errors.As(err, &failure) {
			t.Errorf("%s: %v", name, err)
		}
	}
	stranger := startNode(t, "stranger", func(o *Options) { o.Keys = keyList(t, "another") })
	if _, err := stranger.OpenRelay(t.Context(), limited.Addr(), open); !errors.Is(err, ErrUnreachable) {
		t.Errorf("a stranger: %v", err)
	}
}

// heldConn is a connection to an upstream whose first write waits.
type heldConn struct {
	net.Conn
	began, release chan struct{}
	once           sync.Once
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	c.once.Do(func() {
		close(c.began)
		<-c.release
	})
	return c.Conn.Write(p)
}

// Guards against a request that a relaying instance passes on after its caller has given it up, because the
// instance was paused in between.
func TestRelayDropsWhatItsCallerHasGivenUp(t *testing.T) {
	received := make(chan string, 1)
	address := startUpstream(t, func(c *net.TCPConn) {
		text, _ := io.ReadAll(c)
		received <- string(text)
		c.Close()
	})
	held := &heldConn{began: make(chan struct{}), release: make(chan struct{})}
	relaying := startNode(t, "relay", func(o *Options) {
		o.Relay = func(ctx context.Context, _ peerwire.Identity, open peerwire.RelayOpen) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", open.Upstream)
			held.Conn = c
			return held, err
		}
	})
	caller := startNode(t, "caller", nil)
	c, err := caller.OpenRelay(t.Context(), relaying.Addr(), peerwire.RelayOpen{Upstream: address})
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"first ", "second"} {
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
	}
	<-held.began
	c.Close()
	time.Sleep(100 * time.Millisecond) // the end of the connection arrives while the first write waits
	close(held.release)
	if got := <-received; got != "first " {
		t.Errorf("the upstream received %q", got)
	}
}

// Guards against a planned stop that cuts a response whose upstream pauses: it waits until no relays are left.
func TestRelayCountsWhileItsResponsePauses(t *testing.T) {
	const pause = 1500 * time.Millisecond
	address := startUpstream(t, func(c *net.TCPConn) {
		defer c.Close()
		io.ReadFull(c, make([]byte, len("request")))
		io.WriteString(c, "first")
		time.Sleep(pause)
		io.WriteString(c, " rest")
	})
	relaying, caller := startNode(t, "relay", relayTo(t)), startNode(t, "caller", nil)
	c, err := caller.OpenRelay(t.Context(), relaying.Addr(), peerwire.RelayOpen{Upstream: address})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "request")
	go func() {
		time.Sleep(100 * time.Millisecond)
		for relaying.Relays() > 0 {
			time.Sleep(20 * time.Millisecond)
		}
		relaying.Close()
	}()
	if b, err := io.ReadAll(c); string(b) != "first rest" || err != nil {
		t.Errorf("the caller's instance got %q, %v", b, err)
	}
}

// Guards against a reset that reaches the caller as a regular end, because the relay notices it while it writes the
// upload and its next read finds only an end.
func TestRelayPassesOnAResetDuringAnUpload(t *testing.T) {
	const tries, part = 200, "part of an answer"
	address := startUpstream(t, func(c *net.TCPConn) {
		defer c.Close()
		if _, err := io.CopyN(io.Discard, c, 256<<10); err != nil {
			return
		}
		io.WriteString(c, part)
		c.SetLinger(0)
	})
	relaying, caller := startNode(t, "relay", relayTo(t)), startNode(t, "caller", nil)
	upload := make([]byte, 1<<20)
	for range tries {
		c, err := caller.OpenRelay(t.Context(), relaying.Addr(), peerwire.RelayOpen{Upstream: address})
		if err != nil {
			t.Fatal(err)
		}
		var writing sync.WaitGroup
		writing.Go(func() { c.Write(upload) })
		if text, err := io.ReadAll(c); err == nil {
			t.Fatalf("a regular end after %q", text)
		}
		c.Close()
		writing.Wait()
	}
}
