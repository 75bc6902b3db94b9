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

// Stats counts what a node has seen.
type Stats struct {
	Accepted, Refused, Dialed                       uint64
	DialFailures, HandshakeFailures                 uint64
	Unauthenticated, Oversized, Malformed, Silenced uint64
	Redialed                                        uint64
	// ReloadFailures counts looks at key files that could not be used.
	ReloadFailures uint64
}

// Node listens for peers and calls them. It is safe for concurrent use.
type Node struct {
	opts     Options
	self     peerwire.Identity
	certs    *certificates
	listener net.Listener
	started  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	stats   Stats
	inbound int
	links   map[netip.AddrPort]*link
	closed  bool
}

// link is the connection to one peer that is called.
type link struct {
	mu      chan struct{} // held while dialling; a channel, so that waiting ends with a context
	current *connection
	users   int // guarded by Node.mu
	used    time.Time
}

// Listen opens the listener and accepts peers until Close.
func Listen(o Options) (*Node, error) {
	o = o.withDefaults()
	if err := o.check(); err != nil {
		return nil, err
	}
	n := &Node{opts: o, self: o.Self, started: time.Now(), links: map[netip.AddrPort]*link{}}
	if o.TLS != nil {
		var err error
		if n.certs, err = loadCertificates(*o.TLS); err != nil {
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
	n.done.Add(1)
	go n.accept()
	return n, nil
}

// Addr returns the address of the listener.
func (n *Node) Addr() netip.AddrPort { return unmap(n.listener.Addr().(*net.TCPAddr).AddrPort()) }

// Stats returns the counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	if n.certs != nil {
		s.ReloadFailures = n.certs.failures()
	}
	return s
}

// Close ends all connections and waits for their goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.cancel()
	err := n.listener.Close()
	n.done.Wait()
	return err
}

func (n *Node) now() time.Duration { return time.Since(n.started) }

func (n *Node) count(f func(*Stats)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.stats)
}

func (n *Node) countRead(err error) {
	n.count(func(s *Stats) {
		var timeout net.Error
		switch cause := errors.Cause(err); {
		case cause == peerwire.ErrUnauthenticated:
			s.Unauthenticated++
		case cause == peerwire.ErrTooLarge:
			s.Oversized++
		case cause == peerwire.ErrMalformed || cause == peerwire.ErrTruncated || cause == peerwire.ErrVersion:
			s.Malformed++
		case errors.As(err, &timeout) && timeout.Timeout():
			s.Silenced++
		}
	})
}

// accept takes connections until the listener is closed.
func (n *Node) accept() {
	defer n.done.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			// Running out of file descriptors passes; a closed listener does not.
			select {
			case <-n.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
				continue
			}
		}
		if !n.admit(c) {
			c.Close()
		}
	}
}

func (n *Node) admit(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.inbound >= n.opts.MaxInbound || n.certs == nil && !n.opts.PrivateNetwork && !isLoopback(c.RemoteAddr()) {
		n.stats.Refused++
		return false
	}
	n.inbound++
	n.stats.Accepted++
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		n.serve(c)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.inbound--
	}()
	return true
}

func (n *Node) serve(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(n.ctx, func() { c.Close() })
	defer stop()
	if n.certs != nil {
		c = tls.Server(c, n.certs.config(x509.ExtKeyUsageClientAuth))
	}
	s, err := n.handshakeServer(c)
	if err != nil {
		n.countRead(err)
		n.count(func(s *Stats) { s.HandshakeFailures++ })
		return
	}
	n.newConnection(s, false).run()
}

// Call sends a request to the peer at an address and returns its answer. A message
// that may be repeated is sent once more over a fresh connection when the first one
// is lost. Failure answers are returned as errors of type peerwire.Failure.
func (n *Node) Call(ctx context.Context, to netip.AddrPort, m peerwire.Message) (peerwire.Message, error) {
	for try := 0; ; try++ {
		c, release, err := n.connect(ctx, to)
		if err != nil {
			return nil, err
		}
		answer, err := c.call(ctx, m)
		release()
		if err != ErrConnectionLost || try > 0 || !isRepeatable(m.Type()) || n.ctx.Err() != nil {
			return answer, err
		}
		n.count(func(s *Stats) { s.Redialed++ })
	}
}

// Notify sends a message that is not answered. It returns when the message is queued.
func (n *Node) Notify(ctx context.Context, to netip.AddrPort, m peerwire.Message) error {
	c, release, err := n.connect(ctx, to)
	if err != nil {
		return err
	}
	defer release()
	return c.notify(ctx, m)
}

// isRepeatable reports whether handling a request twice has the effect of handling
// it once. Orders and handovers are repeated by their callers, who know.
func isRepeatable(t peerwire.Type) bool {
	switch t {
	case peerwire.TypeConfigPull, peerwire.TypeConfigPush, peerwire.TypeSuspicions,
		peerwire.TypeInstances, peerwire.TypeIntent, peerwire.TypeOutcome, peerwire.TypeQuery, peerwire.TypeReplicaPull:
		return true
	}
	return false
}

// connect returns the connection to a peer and dials it when there is none.
func (n *Node) connect(ctx context.Context, to netip.AddrPort) (*connection, func(), error) {
	if n.certs == nil && !n.opts.PrivateNetwork && !to.Addr().Unmap().IsLoopback() {
		return nil, nil, errors.Wrapf(ErrUnreachable, "%s needs key files: plain TCP is allowed on loopback only", to)
	}
	to = unmap(to)
	l, err := n.link(to)
	if err != nil {
		return nil, nil, err
	}
	release := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		l.users--
		l.used = time.Now()
	}
	select {
	case l.mu <- struct{}{}:
	case <-ctx.Done():
		release()
		return nil, nil, ctx.Err()
	}
	defer func() { <-l.mu }()
	if l.current != nil && l.current.isOpen() {
		return l.current, release, nil
	}
	c, err := n.dial(ctx, to)
	if err != nil {
		release()
		return nil, nil, err
	}
	n.mu.Lock()
	l.current = c
	n.mu.Unlock()
	return c, release, nil
}

// link returns the link to a peer, with one more user.
func (n *Node) link(to netip.AddrPort) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	l := n.links[to]
	if l == nil {
		if len(n.links) >= n.opts.MaxPeers && !n.evict() {
			return nil, ErrBusy
		}
		l = &link{mu: make(chan struct{}, 1)}
		n.links[to] = l
	}
	l.users++
	return l, nil
}

// evict closes the link that has been unused for longest.
func (n *Node) evict() bool {
	var oldest netip.AddrPort
	for a, l := range n.links {
		if l.users == 0 && (!oldest.IsValid() || l.used.Before(n.links[oldest].used)) {
			oldest = a
		}
	}
	if !oldest.IsValid() {
		return false
	}
	if c := n.links[oldest].current; c != nil {
		c.close()
	}
	delete(n.links, oldest)
	return true
}

func (n *Node) dial(ctx context.Context, to netip.AddrPort) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.HandshakeTimeout)
	defer cancel()
	raw, err := n.opts.Dialer(ctx, "tcp", to.String())
	if err != nil {
		n.count(func(s *Stats) { s.DialFailures++ })
		return nil, errors.Wrapf(ErrUnreachable, "dial %s: %v", to, err)
	}
	stop := context.AfterFunc(n.ctx, func() { raw.Close() })
	defer stop()
	wrapped := raw
	if n.certs != nil {
		wrapped = tls.Client(raw, n.certs.config(x509.ExtKeyUsageServerAuth))
	}
	s, err := n.handshakeClient(wrapped)
	if err != nil {
		raw.Close()
		n.count(func(s *Stats) { s.HandshakeFailures++ })
		return nil, errors.Wrapf(ErrUnreachable, "handshake with %s: %v", to, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		raw.Close()
		return nil, ErrClosed
	}
	n.stats.Dialed++
	c := n.newConnection(s, true)
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		c.run()
	}()
	return c, nil
}
