package configsync

import (
	"math"
	"time"
)

// stepReady decides whether a fresh instance may serve.
func (m *Machine) stepReady(now time.Duration) {
	if m.ready || !m.started {
		return
	}
	enough := m.askFresh(now)
	late := now-m.startedAt >= StartTime
	switch {
	case !m.accepted:
	case late:
		m.ready = m.heardPeer || m.heardPlat
	case m.revision < m.wanted && !m.isKnownInvalid(m.wanted):
	default:
		m.ready = enough && m.heardPeer
	}
}

// askFresh asks the readers and random members of the domain, and one member of
// another domain, for their revision. A peer that fails is replaced by another. It
// reports whether as many have answered as were to be asked.
func (m *Machine) askFresh(now time.Duration) bool {
	waiting, answered := 0, 0
	for _, s := range m.asked {
		switch s {
		case askWaiting:
			waiting++
		case askAnswered:
			answered++
		}
	}
	wanted := ReadersPerDomain + freshRandom
	ask := func(p Peer) {
		if _, ok := m.asked[p.ID]; ok || p.ID == m.opts.Self.ID || len(m.asked) >= maxAsked {
			return
		}
		// No peer holds a higher revision than this, so the answer names the peer's
		// revision and carries no text.
		if m.startPull(now, p.ID, Pull{Revision: math.MaxUint64}) {
			m.asked[p.ID] = askWaiting
			waiting++
		}
	}
	for _, p := range m.readers {
		ask(p)
	}
	for _, p := range m.shuffled(m.opts.Self.Domain) {
		if waiting+answered < wanted {
			ask(p)
		}
	}
	if n := len(m.domains); n > 0 {
		wanted++
		for range n {
			if p, ok := m.randomPeer(m.domains[m.rng.IntN(n)]); ok && waiting+answered < wanted {
				ask(p)
			}
		}
	}
	return waiting == 0 && answered > 0
}

// shuffled returns up to maxAsked members of a domain in random order.
func (m *Machine) shuffled(domain string) []Peer {
	list := m.members[domain]
	n := min(len(list), maxAsked)
	out := make([]Peer, 0, n)
	for _, i := range m.rng.Perm(len(list))[:n] {
		out = append(out, list[i])
	}
	return out
}
