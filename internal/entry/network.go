package entry

import (
	"context"
	"net"
	"net/netip"
)

// Network replaces the network of an instance, so that experiments can cut links. Nil
// functions take the system's network.
type Network struct {
	// Dial opens the connections to upstreams, peers and the platform.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Drop suppresses membership messages to an address.
	Drop func(to netip.AddrPort) bool
}

// dialUpstream returns the dialer of upstream connections, or nil for the default.
func (n Network) dialUpstream() func(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
}
