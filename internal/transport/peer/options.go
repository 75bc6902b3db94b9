package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// Errors of calls.
var (
	// ErrUnreachable means that the dial or the handshake failed: nothing was sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrConnectionLost means that the connection failed after the request may have been sent.
	ErrConnectionLost = errors.New("connection to peer was lost")
	// ErrBusy means that the limit of pending calls or of peers is reached: nothing was sent.
	ErrBusy = errors.New("too many calls to peer")
	// ErrClosed means that the node is closed.
	ErrClosed = errors.New("peer node is closed")
)

// Handler handles requests from peers. The context ends with the connection. A nil message is
// answered with Done and an error with Failure.
type Handler interface {
	HandlePeer(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error)
}

// HandlerFunc adapts a function to [Handler].
type HandlerFunc func(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error)

// HandlePeer calls f.
func (f HandlerFunc) HandlePeer(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	return f(ctx, from, m)
}

// DialFunc dials a peer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a [Node]. Zero limits take the defaults.
type Options struct {
	// Self is the identity sent to peers. When the port of its TCP address is zero, the
	// address is replaced by that of the listener.
	Self peerwire.Identity
	// Listen is the TCP address to listen on.
	Listen netip.AddrPort
	// Keys authenticates connections without TLS.
	Keys *peerwire.KeyList
	// TLS names the key files. Without it, only loopback addresses are allowed unless
	// PrivateNetwork is set.
	TLS *TLSFiles
	// PrivateNetwork allows connections without TLS beyond loopback addresses: access is
	// restricted by the network itself, and the keys only separate deployments.
	PrivateNetwork bool
	// Handler handles requests from peers.
	Handler Handler
	// Dialer replaces the default dialer, so that tests can interrupt links.
	Dialer DialFunc

	// Relay dials an upstream for a peer; nil if this instance relays nothing.
	Relay func(ctx context.Context, from peerwire.Identity, open peerwire.RelayOpen) (net.Conn, error)
	// RelayDialer dials the peers that relay. Its connections must notice a link that has failed.
	// Default: Dialer.
	RelayDialer DialFunc

	KeepAliveInterval time.Duration // between keep-alive frames; default 1 s
	LivenessTimeout   time.Duration // without received bytes until a connection is closed; default 3 s
	HandshakeTimeout  time.Duration // for dial and handshake; default 2 s
	IdleTimeout       time.Duration // without a call until a dialled connection is closed; default 60 s
	MaxInbound        int           // accepted connections; default 1024
	MaxPeers          int           // peers that are called; default 512
	MaxPending        int           // calls waiting on one connection; default 256
	MaxHandlers       int           // requests of one connection handled at once; default 64
	MaxRelays         int           // relayed connections; default 256
}

func (o Options) withDefaults() Options {
	setDuration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	setCount := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	setDuration(&o.KeepAliveInterval, time.Second)
	setDuration(&o.LivenessTimeout, 3*time.Second)
	setDuration(&o.HandshakeTimeout, 2*time.Second)
	setDuration(&o.IdleTimeout, time.Minute)
	setCount(&o.MaxInbound, 1024)
	setCount(&o.MaxPeers, 512)
	setCount(&o.MaxPending, 256)
	setCount(&o.MaxHandlers, 64)
	setCount(&o.MaxRelays, 256)
	if o.Dialer == nil {
		o.Dialer = new(net.Dialer).DialContext
	}
	if o.RelayDialer == nil {
		o.RelayDialer = o.Dialer
	}
	return o
}

func (o Options) validate() error {
	if o.Handler == nil {
		return errors.New("peer node has no handler")
	}
	if o.TLS != nil {
		return nil
	}
	if o.Keys == nil {
		return errors.New("peer node has neither key files nor shared keys")
	}
	if !o.PrivateNetwork && !o.Listen.Addr().IsLoopback() {
		return errors.Errorf("listen address %s needs key files: plain TCP is allowed on loopback only", o.Listen)
	}
	return nil
}
