package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// linksPerDomain is the number of members of each other domain that are pinged.
	linksPerDomain = 2
	// linkTimeout is the silence after which another member is linked instead.
	linkTimeout = 3 * time.Second
	// linkSkipTime is the time for which a silent member is not linked.
	linkSkipTime = 10 * time.Second
	// joinPings is the number of addresses tried in a period by a member that is
	// alone.
	joinPings = 3
)

// stepLinks pings the linked members of the other domains, at most MaxLinks a
// period; with more domains, the domains take turns.
func (m *Machine) stepLinks(now time.Duration) {
	sent := 0
	for range m.names {
		m.nextDomain = (m.nextDomain + 1) % len(m.names)
		d := m.domains[m.names[m.nextDomain]]
		if now-d.acked > linkTimeout && now-d.syncedAt >= syncInterval {
			// All known members may be gone. Others of this domain may know new ones.
			if x := m.random(m.self.domain); x != m.self {
				m.startSync(now, d.name, x)
			}
		}
		for _, x := range m.linksOf(now, d) {
			if sent == MaxLinks {
				return
			}
			sent++
			if x.linkSent == 0 {
				x.linkSent = now
			}
			x.linkSeq = m.nextSeq()
			m.sendTo(now, x, Message{Kind: Ping, Seq: x.linkSeq, Target: x.Incarnation.Process})
		}
	}
}

// handleLinkAck removes a linked member whose address another process answers at. A
// domain of one instance has nobody else to notice.
func (m *Machine) handleLinkAck(now time.Duration, msg *Message) {
	for _, name := range m.names {
		for _, x := range m.domains[name].links {
			if x.linkSeq == msg.Seq && x.State != Dead && msg.Target != x.Incarnation.Process {
				m.setState(now, x, x.Incarnation.Refutation, Dead)
			}
		}
	}
}

// linksOf returns the links to d. They are chosen anew when the domain has changed
// or a link is silent.
func (m *Machine) linksOf(now time.Duration, d *domain) []*member {
	for _, x := range d.links {
		if x.linkSent > 0 && now-max(x.acked, x.linkSent) > linkTimeout {
			x.linkSkip, x.linkSent = now+linkSkipTime, 0
			d.dirty = true
		}
	}
	if d.dirty {
		m.chooseLinks(now, d)
	}
	return d.links
}

// chooseLinks takes the members with the highest rendezvous hash: the choice is
// stable, and even over the members.
func (m *Machine) chooseLinks(now time.Duration, d *domain) {
	type candidate struct {
		x    *member
		hash uint64
	}
	var b [32]byte
	copy(b[:], m.self.Incarnation.Process[:])
	all := make([]candidate, 0, len(d.live))
	for _, x := range d.live {
		copy(b[16:], x.Incarnation.Process[:])
		h := xxhash.Sum64(b[:])
		// Leaving and silent members are linked only when there are no others.
		switch {
		case now < x.linkSkip:
			h = 0
		case x.State == Leaving:
			h = 1
		}
		all = append(all, candidate{x, h})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), a.x.Incarnation.Process.Compare(b.x.Incarnation.Process))
	})
	old := d.links
	d.links = make([]*member, 0, linksPerDomain)
	for _, c := range all[:min(linksPerDomain, len(all))] {
		if !slices.Contains(old, c.x) {
			c.x.linkSent = 0
		}
		d.links = append(d.links, c.x)
	}
	d.dirty = false
}

// reconnect pings a seed or a dead member that did not leave, so that a process that
// was cut off is found again.
func (m *Machine) reconnect(now time.Duration) {
	tries := 1
	if len(m.self.domain.live) == 1 {
		tries = joinPings
	}
	for range tries {
		if n := len(m.seeds); n > 0 {
			a := m.seeds[m.rng.IntN(n)]
			if a != m.self.UDP && !m.knownAlive(a) {
				m.sendAddr(now, a, nil, Message{Kind: Ping, Seq: m.nextSeq()})
			}
		}
		if n := len(m.tombstones); n > 0 {
			x := m.tombstones[m.rng.IntN(n)]
			if x.State == Dead && !x.left && !m.knownAlive(x.UDP) {
				m.sendTo(now, x, Message{Kind: Ping, Seq: m.nextSeq(), Target: x.Incarnation.Process})
			}
		}
	}
}
