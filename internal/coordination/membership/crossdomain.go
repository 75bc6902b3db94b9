package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crossTargetsPerDomain is the number of members of each other domain that this
	// member pings (cross-domain targets).
	crossTargetsPerDomain = 2
	// crossTargetTimeout is the time without an ack after which a target is replaced.
	crossTargetTimeout = 3 * time.Second
	// crossTargetExclusion is the time for which a member that did not answer is not
	// chosen as a target again.
	crossTargetExclusion = 10 * time.Second
	// isolatedJoinPings is the number of attempts per probe period, each to a seed and
	// to a dead member, of a member that knows no other live member of its domain.
	isolatedJoinPings = 3
	// startPingTime is how long after its start an instance pings all seeds at each tick.
	startPingTime = 2 * time.Second
)

// pingOtherDomains pings the targets in the other domains, at most MaxCrossDomainPings
// per probe period. If there are more targets, the domains are served in rotation.
func (m *Machine) pingOtherDomains(now time.Duration) {
	sent := 0
	for range m.otherDomains {
		m.nextDomain = (m.nextDomain + 1) % len(m.otherDomains)
		d := m.domains[m.otherDomains[m.nextDomain]]
		if now-d.lastAckAt > crossTargetTimeout && now-d.lastSyncAt >= syncInterval {
			// All known members of the domain may have been replaced. Members of this
			// domain may know the new ones.
			if source := m.randomLive(m.self.domain); source != m.self {
				m.startSync(now, d.name, source)
			}
		}
		for _, target := range m.crossTargetsOf(now, d) {
			if sent == MaxCrossDomainPings {
				return
			}
			sent++
			if target.crossFirstPingAt == 0 {
				target.crossFirstPingAt = now
			}
			target.crossPingSeq = m.nextSeq()
			m.sendToMember(now, target, Message{Kind: Ping, Seq: target.crossPingSeq, Target: target.Incarnation.Process})
		}
	}
}

// handleCrossDomainAck declares a target dead when another process answers at its
// address. In a domain of one instance, no other member would detect this.
func (m *Machine) handleCrossDomainAck(now time.Duration, msg *Message) {
	for _, name := range m.otherDomains {
		for _, target := range m.domains[name].crossTargets {
			if target.crossPingSeq == msg.Seq && target.State != Dead && msg.Target != target.Incarnation.Process {
				m.setState(now, target, target.Incarnation.Number, Dead)
			}
		}
	}
}

// crossTargetsOf returns the targets in d. They are chosen again when a member of the
// domain has changed its state or a target does not answer.
func (m *Machine) crossTargetsOf(now time.Duration, d *domainState) []*memberState {
	for _, target := range d.crossTargets {
		if target.crossFirstPingAt > 0 && now-max(target.lastAckAt, target.crossFirstPingAt) > crossTargetTimeout {
			target.crossExcludedUntil, target.crossFirstPingAt = now+crossTargetExclusion, 0
			d.crossTargetsStale = true
		}
	}
	if d.crossTargetsStale {
		m.chooseCrossTargets(now, d)
	}
	return d.crossTargets
}

// chooseCrossTargets selects the members with the highest rendezvous hashes, which makes
// the choice stable and spreads the pings evenly over the members.
func (m *Machine) chooseCrossTargets(now time.Duration, d *domainState) {
	type candidate struct {
		member *memberState
		score  uint64
	}
	var buf [32]byte
	copy(buf[:], m.self.Incarnation.Process[:])
	all := make([]candidate, 0, len(d.live))
	for _, member := range d.live {
		copy(buf[16:], member.Incarnation.Process[:])
		score := xxhash.Sum64(buf[:])
		// Leaving and unresponsive members are chosen only when there are no others.
		switch {
		case now < member.crossExcludedUntil:
			score = 0
		case member.State == Leaving:
			score = 1
		}
		all = append(all, candidate{member, score})
	}
	slices.SortFunc(all, func(a, buf candidate) int {
		return cmp.Or(cmp.Compare(buf.score, a.score), a.member.Incarnation.Process.Compare(buf.member.Incarnation.Process))
	})
	previous := d.crossTargets
	d.crossTargets = make([]*memberState, 0, crossTargetsPerDomain)
	for _, c := range all[:min(crossTargetsPerDomain, len(all))] {
		if !slices.Contains(previous, c.member) {
			c.member.crossFirstPingAt = 0
		}
		d.crossTargets = append(d.crossTargets, c.member)
	}
	d.crossTargetsStale = false
}

// pingSeedsAtStart pings all seeds at each tick after the start until a member of the domain is known: when
// all instances start together, seeds come up within moments of the first ping.
func (m *Machine) pingSeedsAtStart(now time.Duration) {
	if now-m.startedAt >= startPingTime || now == m.startedAt || len(m.self.domain.live) > 1 {
		return
	}
	for _, addr := range m.seeds {
		if addr != m.self.UDP && !m.isLiveAddr(addr) {
			m.sendToAddr(now, addr, nil, Message{Kind: Ping, Seq: m.nextSeq()})
		}
	}
}

// reconnect pings a random seed and a random dead member that did not announce to
// leave, so that a process is found again after a partition.
func (m *Machine) reconnect(now time.Duration) {
	attempts := 1
	if len(m.self.domain.live) == 1 {
		attempts = isolatedJoinPings
	}
	for range attempts {
		if n := len(m.seeds); n > 0 {
			addr := m.seeds[m.rng.IntN(n)]
			if addr != m.self.UDP && !m.isLiveAddr(addr) {
				m.sendToAddr(now, addr, nil, Message{Kind: Ping, Seq: m.nextSeq()})
			}
		}
		if n := len(m.tombstones); n > 0 {
			member := m.tombstones[m.rng.IntN(n)]
			if member.State == Dead && !member.announcedLeave && !m.isLiveAddr(member.UDP) {
				m.sendToMember(now, member, Message{Kind: Ping, Seq: m.nextSeq(), Target: member.Incarnation.Process})
			}
		}
	}
}
