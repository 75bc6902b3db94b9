package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// relayTimeout bounds the search for a peer that reaches an upstream, relayPeerTimeout the answer
	// of one peer, and relayDialTimeout the dial at that peer.
	relayTimeout     = 350 * time.Millisecond
	relayPeerTimeout = 200 * time.Millisecond
	relayDialTimeout = 150 * time.Millisecond
	// connectTimeout bounds a direct dial and the search for a peer together.
	connectTimeout = dialTimeout + relayTimeout
	// maxRelayPeers is the number of peers asked for one connection. They stand in different failure
	// domains as far as possible: a whole domain may be cut off.
	maxRelayPeers = 4
	// maxRelayRefusals is the number of failure domains whose peers also find the upstream down.
	maxRelayRefusals = 2
	// relayBackoff is how long no peer is asked for an upstream that none of them reached, and
	// peerBackoff how long a peer that did not relay is asked last.
	relayBackoff = 500 * time.Millisecond
	peerBackoff  = time.Second
	// pathProbeInterval is the interval between direct dials of upstreams that are reached through
	// peers, one upstream at a time.
	pathProbeInterval = 100 * time.Millisecond
	// minRelayedForPartition is the number of upstreams reached through peers, and none directly in the
	// meantime, from which the instance counts as partitioned and asks peers first.
	minRelayedForPartition = 2
)

var errNoRelay = errors.New("no peer reaches the upstream")

// upstreamPaths opens connections to upstreams: directly, or through a peer if the link of this instance to
// an upstream has failed. A peer only relays bytes, so everything that concerns a request is decided here,
// once. An error of a dial is that of the direct one; nothing has been sent then. It is safe for concurrent
// use.
type upstreamPaths struct {
	gateway *Gateway
	direct  func(ctx context.Context, address string) (net.Conn, error)

	mu             sync.Mutex
	byAddress      map[string]*upstreamPath
	peerFailedAt   map[membership.Process]time.Duration
	lastDirect     time.Duration // last direct connection
	relayedSince   time.Duration // when the first of the upstreams reached through peers became one
	relayed        int           // number of upstreams reached through peers
	nextProbe      time.Duration
	nextProbeIndex int
}

// upstreamPath is the state of the path to one upstream.
type upstreamPath struct {
	target       dispatch.Upstream // as dialed last
	relayed      bool
	noRelayUntil time.Duration
	probing      bool
}

func newUpstreamPaths(g *Gateway) *upstreamPaths {
	direct := g.adapter.DialUpstream
	if direct == nil {
		direct = DefaultDialer()
	}
	return &upstreamPaths{gateway: g, direct: direct, byAddress: map[string]*upstreamPath{}, peerFailedAt: map[membership.Process]time.Duration{}}
}

// DefaultDialer returns the dial function for upstreams that applies unless the adapter has one.
func DefaultDialer() func(ctx context.Context, address string) (net.Conn, error) {
	return upstream.Dialer(unackedDataTimeout, keepAliveInterval)
}

// dial opens a connection to an upstream.
func (p *upstreamPaths) dial(ctx context.Context, target dispatch.Upstream) (net.Conn, error) {
	var firstRelayErr error
	if p.asksPeersFirst(target.Address) {
		var c net.Conn
		if c, firstRelayErr = p.dialThroughPeers(ctx, target); firstRelayErr == nil {
			return c, nil
		}
	}
	c, err := p.dialDirectly(ctx, target.Address)
	if err == nil {
		p.setRelayed(target, false)
		return c, nil
	}
	if ctx.Err() != nil {
		return nil, withRelayError(err, firstRelayErr)
	}
	relayed, relayErr := p.dialThroughPeers(ctx, target)
	if relayErr != nil {
		return nil, withRelayError(withRelayError(err, firstRelayErr), relayErr)
	}
	return relayed, nil
}

// refusedAtPeerError is the failure of a direct dial of an upstream at which a peer finds no listener.
type refusedAtPeerError struct{ error }

// Unwrap returns the failure of the direct dial.
func (e refusedAtPeerError) Unwrap() error { return e.error }

// Is reports that a peer finds no listener.
func (e refusedAtPeerError) Is(target error) bool { return target == errUpstreamRefuses }

// withRelayError adds to the failure of a direct dial what the peers found out.
func withRelayError(err, relayErr error) error {
	if relayErr == errUpstreamRefuses {
		return refusedAtPeerError{err}
	}
	return err
}

func (p *upstreamPaths) dialDirectly(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return p.direct(ctx, address)
}

// asksPeersFirst reports whether a direct dial would most likely fail.
func (p *upstreamPaths) asksPeersFirst(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.byAddress[address]; path != nil && path.relayed {
		return true
	}
	return p.relayed >= minRelayedForPartition && p.lastDirect < p.relayedSince
}

// isRelayed reports whether the upstream is reached through peers.
func (p *upstreamPaths) isRelayed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.byAddress[address]
	return path != nil && path.relayed
}

// setRelayed records how the upstream was reached.
func (p *upstreamPaths) setRelayed(target dispatch.Upstream, relayed bool) {
	now := p.gateway.now()
	p.mu.Lock()
	path := p.path(target.Address)
	path.target = target
	changed := path.relayed != relayed
	path.relayed = relayed
	switch {
	case !relayed:
		p.lastDirect = now
		if changed {
			p.relayed--
		}
	case changed:
		if p.relayed == 0 {
			p.relayedSince = now
		}
		p.relayed++
	}
	count := p.relayed
	p.mu.Unlock()
	if !changed {
		return
	}
	p.gateway.metrics.upstreamsThroughPeers.Set(float64(count))
	p.gateway.log.WithFields(logrus.Fields{"event": eventlog.PathChanged, "upstream": target.ID, "address": target.Address, "through_peers": relayed,
		"upstreams_through_peers": count}).Warn("path to an upstream changed")
}

// path returns the state of a path. The caller must hold mu.
func (p *upstreamPaths) path(address string) *upstreamPath {
	path := p.byAddress[address]
	if path == nil {
		path = &upstreamPath{}
		p.byAddress[address] = path
	}
	return path
}

// retainPaths forgets the paths to upstreams that are not published. The caller must hold
// configurationMu.
func (g *Gateway) retainPaths() {
	addresses := map[string]bool{}
	for _, u := range g.upstreams {
		addresses[u.Address] = true
	}
	g.paths.retain(addresses)
}

// retain forgets the paths to all other addresses.
func (p *upstreamPaths) retain(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, path := range p.byAddress {
		if addresses[address] {
			continue
		}
		if path.relayed {
			p.relayed--
		}
		delete(p.byAddress, address)
	}
	p.gateway.metrics.upstreamsThroughPeers.Set(float64(p.relayed))
}

// dialThroughPeers asks peers one after the other for a connection to the upstream. It returns errUpstreamRefuses if
// one of them found no listener there, errNoRelay if nothing is known.
func (p *upstreamPaths) dialThroughPeers(ctx context.Context, target dispatch.Upstream) (net.Conn, error) {
	g := p.gateway
	p.mu.Lock()
	backoff := g.now() < p.path(target.Address).noRelayUntil
	p.mu.Unlock()
	if g.peers == nil || backoff {
		return nil, errNoRelay
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	refusedBy := map[string]bool{}
	for _, member := range p.relayCandidates(target) {
		c, err := p.dialThrough(ctx, member, target)
		if err == nil {
			g.metrics.relays.WithLabelValues("caller", "opened").Inc()
			p.setRelayed(target, true)
			return c, nil
		}
		g.metrics.relays.WithLabelValues("caller", "refused").Inc()
		g.log.WithFields(logrus.Fields{"event": eventlog.RelayRefused, "peer": member.Name, "upstream": target.ID, "error": err.Error()}).Debug("a peer did not relay")
		if ctx.Err() != nil {
			break
		}
		var answer peerwire.Failure
		if !errors.As(err, &answer) {
			p.recordPeerFailure(member)
			continue
		}
		switch answer.Reason {
		case errUpstreamRefuses.Error():
			refusedBy[member.FailureDomain] = true
		case errNotReached.Error():
			p.recordPeerFailure(member)
		}
		if len(refusedBy) == maxRelayRefusals {
			break
		}
	}
	p.mu.Lock()
	p.path(target.Address).noRelayUntil = g.now() + relayBackoff
	p.mu.Unlock()
	if len(refusedBy) > 0 {
		return nil, errUpstreamRefuses
	}
	return nil, errNoRelay
}

func (p *upstreamPaths) dialThrough(ctx context.Context, member membership.Member, target dispatch.Upstream) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayPeerTimeout)
	defer cancel()
	c, err := p.gateway.peers.node.OpenRelay(ctx, member.TCP, peerwire.RelayOpen{Upstream: target.ID})
	if err != nil {
		return nil, err
	}
	return &relayedConn{RelayConn: c, paths: p, address: target.Address, peer: member.Incarnation.Process}, nil
}

func (p *upstreamPaths) recordPeerFailure(member membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerFailedAt[member.Incarnation.Process] = p.gateway.now()
	for process, failedAt := range p.peerFailedAt {
		if p.gateway.now()-failedAt > peerBackoff {
			delete(p.peerFailedAt, process)
		}
	}
}

// relayCandidates returns the peers to ask, at most maxRelayPeers: first one in the failure domain of the
// upstream, so that the bytes cross domains once, then one in each other domain.
func (p *upstreamPaths) relayCandidates(target dispatch.Upstream) []membership.Member {
	byDomain := map[string][]membership.Member{}
	var domains []string
	now := p.gateway.now()
	p.mu.Lock()
	for _, m := range p.gateway.peers.livePeers() {
		if failedAt, failed := p.peerFailedAt[m.Incarnation.Process]; m.State != membership.Alive || failed && now-failedAt <= peerBackoff {
			continue
		}
		if byDomain[m.FailureDomain] == nil {
			domains = append(domains, m.FailureDomain)
		}
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	p.mu.Unlock()
	rand.Shuffle(len(domains), func(i, j int) { domains[i], domains[j] = domains[j], domains[i] })
	slices.SortStableFunc(domains, func(a, b string) int { return domainRank(a, target.Domain) - domainRank(b, target.Domain) })
	var candidates []membership.Member
	for round := 0; len(candidates) < maxRelayPeers; round++ {
		before := len(candidates)
		for _, domain := range domains {
			members := byDomain[domain]
			if round == 0 {
				rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
			}
			if round < len(members) && len(candidates) < maxRelayPeers {
				candidates = append(candidates, members[round])
			}
		}
		if len(candidates) == before {
			break
		}
	}
	return candidates
}

// domainRank orders the failure domain of the upstream before the others.
func domainRank(domain, upstreamDomain string) int {
	if domain == upstreamDomain {
		return 0
	}
	return 1
}

// relayedCount returns the number of upstreams that are reached through peers.
func (p *upstreamPaths) relayedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed
}

// probe dials one of the upstreams that are reached through peers, so that they are reached directly as soon
// as the link is back. Only new connections take the direct path then.
func (p *upstreamPaths) probe(now time.Duration) {
	target, ok := p.nextProbeTarget(now)
	if !ok {
		return
	}
	go func() {
		c, err := p.dialDirectly(context.Background(), target.Address)
		p.mu.Lock()
		p.path(target.Address).probing = false
		p.mu.Unlock()
		if err != nil {
			return
		}
		c.Close()
		p.setRelayed(target, false)
	}()
}

func (p *upstreamPaths) nextProbeTarget(now time.Duration) (dispatch.Upstream, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relayed == 0 || now < p.nextProbe {
		return dispatch.Upstream{}, false
	}
	p.nextProbe = now + pathProbeInterval
	var relayed []string
	for address, path := range p.byAddress {
		if path.relayed && !path.probing {
			relayed = append(relayed, address)
		}
	}
	if len(relayed) == 0 {
		return dispatch.Upstream{}, false
	}
	slices.Sort(relayed)
	p.nextProbeIndex++
	path := p.byAddress[relayed[p.nextProbeIndex%len(relayed)]]
	path.probing = true
	return path.target, true
}
