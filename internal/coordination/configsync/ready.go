package configsync

import (
	"math"
	"time"
)

// updateReadiness decides whether a newly started instance may serve.
func (m *Machine) updateReadiness(now time.Duration) {
	if m.ready || !m.started {
		return
	}
	enoughAnswered := m.queryPeersAtStartup(now)
	timedOut := now-m.startedAt >= StartupTimeout
	switch {
	case !m.hasRevision:
	case timedOut:
		m.ready = m.peerAnswered || m.platformAnswered
	case m.revision < m.highestPeerRevision && !m.isRejectedRevision(m.highestPeerRevision):
	default:
		m.ready = enoughAnswered && m.peerAnswered
	}
}

// queryPeersAtStartup queries the readers and random members of the domain, and one member
// of another domain, for their revision. A peer that fails is replaced by another one. It
// reports whether every queried peer has answered or failed and at least one has answered.
func (m *Machine) queryPeersAtStartup(now time.Duration) bool {
	waiting, answered := 0, 0
	for _, s := range m.startupQueries {
		switch s {
		case queryPending:
			waiting++
		case queryAnswered:
			answered++
		}
	}
	required := ReadersPerDomain + startupRandomPeers
	query := func(p Peer) {
		if _, ok := m.startupQueries[p.ID]; ok || p.ID == m.opts.Self.ID || len(m.startupQueries) >= maxStartupQueries {
			return
		}
		// No peer holds a higher revision than this, so the response carries the number of
		// the peer's revision and no text.
		if m.startPull(now, p.ID, Pull{Revision: math.MaxUint64}) {
			m.startupQueries[p.ID] = queryPending
			waiting++
		}
	}
	for _, p := range m.readers {
		query(p)
	}
	for _, p := range m.randomMembers(m.opts.Self.Domain) {
		if waiting+answered < required {
			query(p)
		}
	}
	if n := len(m.otherDomains); n > 0 {
		required++
		for range n {
			if p, ok := m.randomPeer(m.otherDomains[m.rng.IntN(n)]); ok && waiting+answered < required {
				query(p)
			}
		}
	}
	return waiting == 0 && answered > 0
}

// randomMembers returns up to maxStartupQueries members of a domain in random order.
func (m *Machine) randomMembers(domain string) []Peer {
	domainMembers := m.membersByDomain[domain]
	n := min(len(domainMembers), maxStartupQueries)
	selected := make([]Peer, 0, n)
	for _, i := range m.rng.Perm(len(domainMembers))[:n] {
		selected = append(selected, domainMembers[i])
	}
	return selected
}
