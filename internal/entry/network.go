package entry

import (
	"context"
	"net"
	"net/netip"
)

// Network overrides the network functions of an instance, so that experiments can
// simulate partitions. Nil functions select the system network.
type Network struct {
	// Dial opens the connections to upstreams, peers and the platform.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Drop reports whether membership messages to an address are discarded.
	Drop func(to netip.AddrPort) bool
}

// upstreamDialer returns the dial function for upstreams, or nil for the default.
func (n Network) upstreamDialer() func(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial == nil {
		return nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return n.Dial(ctx, "tcp", address) }
}
