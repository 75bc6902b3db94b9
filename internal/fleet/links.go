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

// links is the network between the failure domains of a fleet. While a domain is cut
// off, its instances reach only addresses of the same domain, and the others reach
// none of it. Callers are not part of the network.
type links struct {
	mu      sync.Mutex
	domains map[string]string // by address; the platform is in none
	cut     string            // the domain that is cut off; empty: none
	conns   map[*linkConn]struct{}
}

func newLinks() *links {
	return &links{domains: map[string]string{}, conns: map[*linkConn]struct{}{}}
}

// place tells in which domain an address is.
func (l *links) place(address, domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.domains[address] = domain
}

// crosses reports whether the way from a domain to an address is cut. The caller holds mu.
func (l *links) crosses(from, address string) bool {
	to := l.domains[address]
	return l.cut != "" && from != to && (from == l.cut || to == l.cut)
}

// setCut cuts a domain off, or heals the network with an empty name. Connections that
// cross the cut stay silent for good, as after the loss of a link.
func (l *links) setCut(domain string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = domain
	for c := range l.conns {
		if l.crosses(c.from, c.to) {
			c.severed.Store(true)
		}
	}
}

// from returns the network as the instances of a domain see it.
func (l *links) from(domain string) entry.Network {
	return entry.Network{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return l.dial(ctx, domain, network, address)
		},
		Drop: func(to netip.AddrPort) bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.crosses(domain, to.String())
		},
	}
}

// blockedDial bounds a dial over a cut for callers whose context has no deadline.
const blockedDial = 2 * time.Second

func (l *links) dial(ctx context.Context, domain, network, address string) (net.Conn, error) {
	l.mu.Lock()
	crosses := l.crosses(domain, address)
	l.mu.Unlock()
	if crosses {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(blockedDial):
			return nil, &net.OpError{Op: "dial", Net: network, Err: context.DeadlineExceeded}
		}
	}
	raw, err := (&net.Dialer{KeepAlive: 5 * time.Second}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: raw.(*net.TCPConn), links: l, from: domain, to: address}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	c.severed.Store(l.crosses(domain, address))
	return c, nil
}

// linkConn is a connection that a cut makes silent. It embeds the TCP connection, whose
// file descriptor the upstream client looks at.
type linkConn struct {
	*net.TCPConn
	links    *links
	from, to string
	severed  atomic.Bool
}

// Read reads until the connection is cut; then it waits for its deadline or its close.
func (c *linkConn) Read(b []byte) (int, error) {
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

// Write loses what is written after the cut.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.severed.Load() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.TCPConn.Close()
}

// Cut cuts a failure domain off from the other domains and from the platform.
func (f *Fleet) Cut(domain string) { f.links.setCut(domain) }

// Heal ends the cut.
func (f *Fleet) Heal() { f.links.setCut("") }
