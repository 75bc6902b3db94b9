package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// TickInterval is the time between ticks of the membership state machine.
const TickInterval = 100 * time.Millisecond

// GossipOptions configures a [Gossip].
type GossipOptions struct {
	Machine *membership.Machine
	Codec   *peerwire.DatagramCodec
	// Now returns the monotonic time since the process started.
	Now func() time.Duration
	// OnAction receives every action except Send, in order. It must not block.
	OnAction func(now time.Duration, a membership.Action)
	// Drop, when set, reports whether to discard datagrams to an address, so that tests can
	// simulate partitions.
	Drop func(to netip.AddrPort) bool
}

// Gossip drives a membership state machine from a UDP socket.
type Gossip struct {
	opts GossipOptions
	conn *net.UDPConn
	mu   sync.Mutex // serializes the events of the machine and keeps the actions of each together
}

// ListenGossip opens the UDP socket. Run reads from it.
func ListenGossip(listen netip.AddrPort, o GossipOptions) (*Gossip, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, errors.Wrap(err, "listen for datagrams")
	}
	return &Gossip{opts: o, conn: conn}, nil
}

// Addr returns the address of the socket.
func (g *Gossip) Addr() netip.AddrPort {
	return unmap(g.conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

// unmap converts IPv4-mapped IPv6 addresses to IPv4, so that addresses compare equal.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// SetMachine sets the machine before Run, for callers that need the address of the socket
// to construct it.
func (g *Gossip) SetMachine(m *membership.Machine) { g.opts.Machine = m }

// Close closes the socket of a Gossip that is never run.
func (g *Gossip) Close() error { return g.conn.Close() }

// Run ticks the machine and reads datagrams until ctx ends, then closes the socket.
func (g *Gossip) Run(ctx context.Context) error {
	var done sync.WaitGroup
	defer done.Wait()
	stop := context.AfterFunc(ctx, func() { g.conn.Close() })
	defer stop()
	done.Add(1)
	go func() {
		defer done.Done()
		g.tick(ctx)
	}()
	buf := make([]byte, peerwire.MaxDatagramBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Some systems report an ICMP port-unreachable message as a read error.
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "read datagrams")
			}
			continue
		}
		m, err := g.opts.Codec.Open(buf[:n])
		if err != nil {
			continue // counted by the codec
		}
		from = unmap(from)
		g.apply(func(now time.Duration) []membership.Action { return g.opts.Machine.Receive(now, from, m) })
	}
}

func (g *Gossip) tick(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		g.apply(g.opts.Machine.Tick)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Leave announces that this instance is leaving.
func (g *Gossip) Leave() { g.apply(g.opts.Machine.Leave) }

func (g *Gossip) apply(event func(now time.Duration) []membership.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.opts.Now()
	for _, a := range event(now) {
		send, ok := a.(membership.Send)
		if !ok {
			if g.opts.OnAction != nil {
				g.opts.OnAction(now, a)
			}
			continue
		}
		if g.opts.Drop != nil && g.opts.Drop(send.To) {
			continue
		}
		if b, err := g.opts.Codec.Seal(send.Message); err == nil {
			// A send error has the same effect as a lost datagram.
			_, _ = g.conn.WriteToUDPAddrPort(b, send.To)
		}
	}
}
