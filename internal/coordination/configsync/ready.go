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
	enoughAnswered := m.pullFromPeersAtStartup(now)
	timedOut := now-m.startedAt >= StartupTimeout
	switch {
	case !m.hasRevision:
	case timedOut:
		m.ready = m.peerAnswered || m.platformResponded
	case m.revision < m.highestPeerRevision && !m.isRejectedRevision(m.highestPeerRevision):
	default:
		m.ready = enoughAnswered && m.peerAnswered
	}
}

// pullFromPeersAtStartup pulls the number of the active revision from the readers and random
// members of the domain, and from one member of another domain. A peer that fails is replaced
// by another one. It reports whether each pull was answered or failed and at least one was
// answered.
func (m *Machine) pullFromPeersAtStartup(now time.Duration) bool {
	waiting, answered := 0, 0
	for _, s := range m.startupPulls {
		switch s {
		case startupPullPending:
			waiting++
		case startupPullAnswered:
			answered++
		}
	}
	required := ReadersPerDomain + startupRandomPeers
	pull := func(p Peer) {
		if _, ok := m.startupPulls[p.ID]; ok || p.ID == m.options.Self.ID || len(m.startupPulls) >= maxStartupPulls {
			return
		}
		// No peer holds a higher revision than this, so the answer carries the number of
		// the peer's revision and no text.
		if m.startPull(now, p.ID, Pull{Revision: math.MaxUint64}) {
			m.startupPulls[p.ID] = startupPullPending
			waiting++
		}
	}
	for _, p := range m.readers {
		pull(p)
	}
	for _, p := range m.randomMembers(m.options.Self.Domain) {
		if waiting+answered < required {
			pull(p)
		}
	}
	if n := len(m.otherDomains); n > 0 {
		required++
		for range n {
			if p, ok := m.randomPeer(m.otherDomains[m.rng.IntN(n)]); ok && waiting+answered < required {
				pull(p)
			}
		}
	}
	return waiting == 0 && answered > 0
}

// randomMembers returns up to maxStartupQueries members of a domain in random order.
func (m *Machine) randomMembers(domain string) []Peer {
	domainMembers := m.membersByDomain[domain]
	n := min(len(domainMembers), maxStartupPulls)
	selected := make([]Peer, 0, n)
	for _, i := range m.rng.Perm(len(domainMembers))[:n] {
		selected = append(selected, domainMembers[i])
	}
	return selected
}
