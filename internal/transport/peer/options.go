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
	// ErrUnreachable means that a fresh dial or handshake failed: nothing was sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrConnectionLost means that the connection failed after the request may have
	// left.
	ErrConnectionLost = errors.New("connection to peer was lost")
	// ErrBusy means that too many calls to the peer are waiting: nothing was sent.
	ErrBusy = errors.New("too many calls to peer")
	// ErrClosed means that the node is closed.
	ErrClosed = errors.New("peer node is closed")
)

// Handler handles requests of peers. The context ends with the connection. A nil
// message is answered with Done, an error with Failure.
type Handler interface {
	HandlePeer(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error)

// HandlePeer calls f.
func (f HandlerFunc) HandlePeer(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	return f(ctx, from, m)
}

// DialFunc dials a peer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Node. Zero limits take the defaults.
type Options struct {
	// Self is the identity that is sent to peers. TCP is replaced by the address of
	// the listener when its port is zero.
	Self peerwire.Identity
	// Listen is the TCP address.
	Listen netip.AddrPort
	// Keys authenticate connections without TLS.
	Keys *peerwire.KeyList
	// TLS names the key files. Without them only loopback addresses are allowed.
	TLS *TLSFiles
	// PrivateNetwork allows connections without TLS beyond loopback addresses: the
	// network itself keeps others out, and keys only tell deployments apart.
	PrivateNetwork bool
	// Handler handles the requests of peers.
	Handler Handler
	// Dialer replaces the dialer, so that tests can cut links.
	Dialer DialFunc

	KeepAlive        time.Duration // 1 s between keep-alive frames
	Liveness         time.Duration // 3 s of silence close a connection
	HandshakeTimeout time.Duration // 2 s for dial and handshake
	IdleTime         time.Duration // 60 s without a call close a dialled connection
	MaxInbound       int           // 1024 accepted connections
	MaxPeers         int           // 512 peers that are called
	MaxPending       int           // 256 calls that wait on one connection
	MaxHandlers      int           // 64 requests of one connection handled at once
}

func (o Options) withDefaults() Options {
	duration := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	count := func(n *int, v int) {
		if *n <= 0 {
			*n = v
		}
	}
	duration(&o.KeepAlive, time.Second)
	duration(&o.Liveness, 3*time.Second)
	duration(&o.HandshakeTimeout, 2*time.Second)
	duration(&o.IdleTime, time.Minute)
	count(&o.MaxInbound, 1024)
	count(&o.MaxPeers, 512)
	count(&o.MaxPending, 256)
	count(&o.MaxHandlers, 64)
	if o.Dialer == nil {
		o.Dialer = new(net.Dialer).DialContext
	}
	return o
}

func (o Options) check() error {
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
