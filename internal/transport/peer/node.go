package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// Stats holds the counters of a [Node].
type Stats struct {
	Accepted, Refused, Dialed                       uint64
	DialFailures, HandshakeFailures                 uint64
	Unauthenticated, Oversized, Malformed, TimedOut uint64
	Redialed                                        uint64
	// Unknown counts messages of types that this build does not know.
	Unknown uint64
	// ReloadFailures counts failed reloads of the key files.
	ReloadFailures uint64
}

// Node accepts connections from peers and calls peers. It is safe for concurrent use.
type Node struct {
	opts         Options
	self         peerwire.Identity
	certificates *certificates
	listener     net.Listener
	started      time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup

	mu      sync.Mutex
	stats   Stats
	inbound int
	links   map[netip.AddrPort]*link
	closed  bool
	relays  int // connections that this instance relays
}

// link is the outbound connection to one peer.
type link struct {
	dialLock chan struct{} // held while dialling; a channel, so that a waiting caller can be cancelled
	conn     *connection
	users    int // guarded by Node.mu
	lastUsed time.Time
}

// Listen opens the listener and accepts connections until Close.
func Listen(o Options) (*Node, error) {
	o = o.withDefaults()
	if err := o.validate(); err != nil {
		return nil, err
	}
	n := &Node{opts: o, self: o.Self, started: time.Now(), links: map[netip.AddrPort]*link{}}
	if o.TLS != nil {
		var err error
		if n.certificates, err = loadCertificates(*o.TLS); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	n.listener = listener
	if n.self.TCP.Port() == 0 {
		n.self.TCP = n.Addr()
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.goroutines.Add(1)
	go n.accept()
	return n, nil
}

// Addr returns the address of the TCP listener.
func (n *Node) Addr() netip.AddrPort { return unmap(n.listener.Addr().(*net.TCPAddr).AddrPort()) }

// Stats returns the counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	if n.certificates != nil {
		s.ReloadFailures = n.certificates.reloadFailures()
	}
	return s
}

// Close closes all connections and waits for their goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	err := n.listener.Close()
	n.goroutines.Wait()
	return err
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) updateStats(f func(*Stats)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.stats)
}

func (n *Node) countReadError(err error) {
	n.updateStats(func(s *Stats) {
		var timeout net.Error
		switch cause := errors.Cause(err); {
		case cause == peerwire.ErrUnauthenticated:
			s.Unauthenticated++
		case cause == peerwire.ErrTooLarge:
			s.Oversized++
		case cause == peerwire.ErrMalformed || cause == peerwire.ErrTruncated || cause == peerwire.ErrVersion:
			s.Malformed++
		case errors.As(err, &timeout) && timeout.Timeout():
			s.TimedOut++
		}
	})
}

// accept accepts connections until the listener is closed.
func (n *Node) accept() {
	defer n.goroutines.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			// A shortage of file descriptors is temporary, so accepting is tried again. Once
			// the listener is closed, accepting always fails.
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
				continue
			}
		}
		if !n.admitInbound(c) {
			c.Close()
		}
	}
}

func (n *Node) admitInbound(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.inbound >= n.opts.MaxInbound || n.certificates == nil && !n.opts.PrivateNetwork && !isLoopback(c.RemoteAddr()) {
		n.stats.Refused++
		return false
	}
	n.inbound++
	n.stats.Accepted++
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		n.serveInbound(c)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.inbound--
	}()
	return true
}

func (n *Node) serveInbound(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(n.ctx, func() { c.Close() })
	defer stop()
	if n.certificates != nil {
		c = tls.Server(c, n.certificates.config(x509.ExtKeyUsageClientAuth))
	}
	s, err := n.handshakeServer(c)
	if err != nil {
		n.countReadError(err)
		n.updateStats(func(s *Stats) { s.HandshakeFailures++ })
		return
	}
	first, err := s.readFrame(n.opts.LivenessTimeout)
	if err != nil {
		n.countReadError(err)
		return
	}
	if open, ok := first.Message.(peerwire.RelayOpen); ok {
		n.serveRelay(s, open)
		return
	}
	inbound := n.newConnection(s, false)
	inbound.handleFrame(first)
	inbound.run()
}

// Call sends a request to the peer at an address and returns its answer. When the connection
// is lost, an idempotent message is sent once more on a new connection. A Failure is returned
// as an error of type peerwire.Failure.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, m peerwire.Message) (peerwire.Message, error) {
	for attempt := 0; ; attempt++ {
		c, release, err := n.acquireConnection(ctx, to)
		if err != nil {
			return nil, err
		}
		answer, err := c.call(ctx, m)
		release()
		if err != ErrConnectionLost || attempt > 0 || !isIdempotent(m.Type()) || n.ctx.Err() != nil {
			return answer, err
		}
		n.updateStats(func(s *Stats) { s.Redialed++ })
	}
}

// Notify sends a message that has no answer. It returns when the message is queued.
func (n *Node) Notify(ctx context.Context, to netip.AddrPort, m peerwire.Message) error {
	c, release, err := n.acquireConnection(ctx, to)
	if err != nil {
		return err
	}
	defer release()
	return c.notify(ctx, m)
}

// isIdempotent reports whether handling a request twice has the same effect as handling it
// once. Orders and handovers are not listed: their callers decide whether to send them again.
func isIdempotent(t peerwire.Type) bool {
	switch t {
	case peerwire.TypeConfigPull, peerwire.TypeConfigPush, peerwire.TypeSuspicions,
		peerwire.TypeLeavingUpstreams, peerwire.TypeIntent, peerwire.TypeOutcome, peerwire.TypeQuery, peerwire.TypeReplicaPull,
		peerwire.TypeStreamOriginQuery:
		return true
	}
	return false
}

// acquireConnection returns the connection to a peer, dialling if there is none. The returned
// function releases it.
func (n *Node) acquireConnection(ctx context.Context, to netip.AddrPort) (*connection, func(), error) {
	if n.certificates == nil && !n.opts.PrivateNetwork && !to.Addr().Unmap().IsLoopback() {
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s needs key files: plain TCP is allowed on loopback only", to)
	}
	to = unmap(to)
	l, err := n.acquireLink(to)
	if err != nil {
		return nil, nil, err
	}
	release := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		l.users--
		l.lastUsed = time.Now()
	}
	select {
	case l.dialLock <- struct{}{}:
	case <-ctx.Done():
		release()
		return nil, nil, ctx.Err()
	}
	defer func() { <-l.dialLock }()
	if l.conn != nil && l.conn.isOpen() {
		return l.conn, release, nil
	}
	c, err := n.dial(ctx, to)
	if err != nil {
		release()
		return nil, nil, err
	}
	n.mu.Lock()
	l.conn = c
	n.mu.Unlock()
	return c, release, nil
}

// acquireLink returns the link to a peer and counts one more user of it.
func (n *Node) acquireLink(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	l := n.links[to]
	if l == nil {
		if len(n.links) >= n.opts.MaxPeers && !n.evictUnusedLink() {
			return nil, ErrBusy
		}
		l = &link{dialLock: make(chan struct{}, 1)}
		n.links[to] = l
	}
	l.users++
	return l, nil
}

// evictUnusedLink closes the link that has been unused for the longest time. It returns false
// when all links are in use.
func (n *Node) evictUnusedLink() bool {
	var oldest netip.AddrPort
	for a, l := range n.links {
		if l.users == 0 && (!oldest.IsValid() || l.lastUsed.Before(n.links[oldest].lastUsed)) {
			oldest = a
		}
	}
	if !oldest.IsValid() {
		return false
	}
	if c := n.links[oldest].conn; c != nil {
		c.close()
	}
	delete(n.links, oldest)
	return true
}

func (n *Node) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	s, err := n.connect(ctx, to, n.opts.Dialer)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		s.conn.Close()
		return nil, ErrClosed
	}
	n.stats.Dialed++
	c := n.newConnection(s, true)
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		c.run()
	}()
	return c, nil
}

// connect dials a peer and authenticates both ends.
func (n *Node) connect(ctx context.Context, to netip.AddrPort, dial DialFunc) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.HandshakeTimeout)
	defer cancel()
	raw, err := dial(ctx, "tcp", to.String())
	if err != nil {
		n.updateStats(func(s *Stats) { s.DialFailures++ })
		return nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", to, err)
	}
	stop := context.AfterFunc(n.ctx, func() { raw.Close() })
	defer stop()
	abort := context.AfterFunc(ctx, func() { raw.Close() })
	defer abort()
	wrapped := raw
	if n.certificates != nil {
		wrapped = tls.Client(raw, n.certificates.config(x509.ExtKeyUsageServerAuth))
	}
	s, err := n.handshakeClient(wrapped)
	if err != nil {
		raw.Close()
		n.updateStats(func(s *Stats) { s.HandshakeFailures++ })
		return nil, errors.Wrapf(ErrUnreachable, "handshake with %s: %v", to, err)
	}
	return s, nil
}
