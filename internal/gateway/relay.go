package gateway

import (
	"context"
	"net"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// relayDialer dials the peers that relay.
func relayDialer() peer.DialFunc {
	dial := upstream.Dialer(unackedDataTimeout, keepAliveInterval)
	return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
}

// relayedConn is a connection to an upstream through a peer.
type relayedConn struct {
	*peer.RelayConn
	paths   *upstreamPaths
	address string
	peer    membership.Process
}

// Reusable reports whether a further request may be sent: the path still leads through peers, and the peer
// does not leave.
func (c *relayedConn) Reusable() bool {
	if c.Buffered() > 0 || !c.paths.isRelayed(c.address) {
		return false
	}
	return slices.ContainsFunc(c.paths.gateway.peers.livePeers(), func(m membership.Member) bool { return m.Incarnation.Process == c.peer })
}

// Answers to a peer that asks for a relayed connection.
var (
	errUnknownUpstream = errors.New("the upstream is not known")
	errNotReached      = errors.New("the upstream is not reached from here")
	errUpstreamRefuses = errors.New("the upstream refuses connections")
	errLeaving         = errors.New("the instance or the upstream leaves")
	errEvacuated       = errors.New("the failure domain of the upstream is evacuated")
)

// relay opens a connection to a published upstream for a peer. It never asks another peer, so a request
// passes one peer at most. The address is the one that is published here; each request names the upstream
// that it is for.
func (p *peers) relay(ctx context.Context, from peerwire.Identity, open peerwire.RelayOpen) (net.Conn, error) {
	if err := p.awaitInitialized(ctx); err != nil {
		return nil, err
	}
	c, err := p.openRelay(ctx, open)
	result := "opened"
	if err != nil {
		result = "refused"
	}
	g := p.gateway
	g.metrics.relays.WithLabelValues("relay", result).Inc()
	entry := g.log.WithFields(logrus.Fields{"event": eventlog.RelayServed, "peer": from.Name, "upstream": open.Upstream, "result": result})
	if err != nil {
		entry = entry.WithField("error", err.Error())
	}
	entry.Debug("connection relayed for a peer")
	return c, err
}

func (p *peers) openRelay(ctx context.Context, open peerwire.RelayOpen) (net.Conn, error) {
	g := p.gateway
	target, ok := g.publishedUpstream(open.Upstream)
	switch {
	case !ok:
		return nil, errUnknownUpstream
	case target.Leaving || g.life.Stops():
		return nil, errLeaving
	case g.evacuations.Evacuated(target.FailureDomain):
		return nil, errEvacuated
	case g.paths.isRelayed(target.Address):
		return nil, errNotReached
	}
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	c, err := g.paths.direct(ctx, target.Address)
	switch {
	case err == nil:
		// Whether the peer's request is long is known at the other end only, which also bounds the wait.
		upstream.LiftUserTimeout(c)
		return c, nil
	case refusedConnection(err):
		return nil, errUpstreamRefuses
	}
	return nil, errNotReached
}

// relays returns the number of connections that this instance relays.
func (p *peers) relays() int {
	if p == nil {
		return 0
	}
	return p.node.Relays()
}

// publishedUpstream returns a published upstream by its ID.
func (g *Gateway) publishedUpstream(id string) (Upstream, bool) {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	for _, u := range g.upstreams {
		if u.ID == id {
			return u, true
		}
	}
	return Upstream{}, false
}
