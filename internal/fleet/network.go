package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/entry"
)

// domainNetwork simulates network partitions between the failure domains of a fleet.
// While a domain is isolated, its instances reach only addresses of the same domain,
// and instances of other domains reach none of its addresses. Connections of callers
// do not pass through it.
type domainNetwork struct {
	mu       sync.Mutex
	domains  map[string]string // failure domain by address; the platform belongs to none
	isolated string            // the isolated domain; empty if there is none
	conns    map[*domainConn]struct{}
}

func newDomainNetwork() *domainNetwork {
	return &domainNetwork{domains: map[string]string{}, conns: map[*domainConn]struct{}{}}
}

// setDomain records the failure domain of an address.
func (n *domainNetwork) setDomain(address, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// blocked reports whether the partition separates a domain from an address. The caller
// holds mu.
func (n *domainNetwork) blocked(fromDomain, address string) bool {
	toDomain := n.domains[address]
	return n.isolated != "" && fromDomain != toDomain && (fromDomain == n.isolated || toDomain == n.isolated)
}

// isolate separates a domain from all others; an empty name ends the partition. Open
// connections across the partition never carry data again, even after it has healed, as
// after the loss of a physical link.
func (n *domainNetwork) isolate(domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = domain
	for c := range n.conns {
		if n.blocked(c.fromDomain, c.toAddress) {
			c.severed.Store(true)
		}
	}
}

// forDomain returns the dial and drop functions for the instances of a domain.
func (n *domainNetwork) forDomain(domain string) entry.Network {
	return entry.Network{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return n.dial(ctx, domain, network, address)
		},
		Drop: func(to netip.AddrPort) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.blocked(domain, to.String())
		},
	}
}

// blockedDialTimeout is when a dial across the partition fails if its context has not
// ended earlier; it is needed for contexts without a deadline.
const blockedDialTimeout = 2 * time.Second

func (n *domainNetwork) dial(ctx context.Context, fromDomain, network, address string) (net.Conn, error) {
	n.mu.Lock()
	blocked := n.blocked(fromDomain, address)
	n.mu.Unlock()
	if blocked {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(blockedDialTimeout):
			return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
		}
	}
	conn, err := (&net.Dialer{KeepAlive: 5 * time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &domainConn{TCPConn: conn.(*net.TCPConn), network: n, fromDomain: fromDomain, toAddress: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	c.severed.Store(n.blocked(fromDomain, address))
	return c, nil
}

// domainConn is a connection that stops carrying data when a partition separates its
// ends. It embeds *net.TCPConn because the upstream client inspects the file descriptor.
type domainConn struct {
	*net.TCPConn
	network               *domainNetwork
	fromDomain, toAddress string
	severed               atomic.Bool
}

// Read discards incoming data once a partition has severed the connection. It then
// returns only at the read deadline or when the connection is closed.
func (c *domainConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err == io.EOF && c.severed.Load() {
			err = net.ErrClosed
		}
		if err != nil || !c.severed.Load() {
			return n, err
		}
	}
}

// Write discards the data once a partition has severed the connection.
func (c *domainConn) Write(b []byte) (int, error) {
	if c.severed.Load() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *domainConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}

// Isolate simulates a network partition between a failure domain and everything outside
// it: the other domains and the platform.
func (f *Fleet) Isolate(domain string) { f.network.isolate(domain) }

// Heal ends the partition. Connections severed by it stay unusable.
func (f *Fleet) Heal() { f.network.isolate("") }
