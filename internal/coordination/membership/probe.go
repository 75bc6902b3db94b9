package membership

import (
	"net/netip"
	"time"
)

const (
	// relaysPerProbe is the number of relays that are asked to ping an unresponsive
	// member.
	relaysPerProbe = 2
	// maxLeaverProbes is the maximum number of extra probes of leaving members in one
	// probe period.
	maxLeaverProbes = 4
	// maxRelayedPings is the maximum number of pings in flight on behalf of others.
	maxRelayedPings = 64
	// ackerHistorySize is the number of members of the local domain that are remembered
	// as reachable in both directions; relays are chosen among them.
	ackerHistorySize = 8
)

// probe is the state of the current period's probe.
type probe struct {
	target       *memberState
	seq          uint64
	sentAt       time.Duration
	indirectSent bool
	answered     bool
}

// relayedPing is a ping in flight on behalf of another member, the requester.
type relayedPing struct {
	seq, requesterSeq uint64
	requester         netip.AddrPort
	deadline          time.Duration
}

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) stepProbe(now time.Duration) {
	if now >= m.nextProbe {
		m.finishProbe(now)
		m.startProbe(now)
		m.pingOtherDomains(now)
		m.reconnect(now)
		m.syncPagesLeft = maxSyncPagesPerPeriod
		m.nextProbe += m.opts.ProbePeriod
		if m.nextProbe <= now {
			m.nextProbe = now + m.opts.ProbePeriod
		}
		return
	}
	p := &m.probe
	if p.target != nil && !p.answered && !p.indirectSent && now-p.sentAt >= m.opts.ProbeTimeout {
		p.indirectSent = true
		m.probeIndirectly(now, p)
	}
}

// finishProbe suspects the target if it has not answered within the period.
func (m *Machine) finishProbe(now time.Duration) {
	target := m.probe.target
	if target == nil || m.probe.answered || m.probe.seq == 0 {
		return
	}
	switch {
	case target.State == Alive && now >= target.noSuspicionUntil:
		m.stats.Suspicions++
		m.setState(now, target, target.Incarnation.Number, Suspect)
	case target.State == Leaving && target.suspicionDeadline == 0:
		m.startSuspicion(now, target)
	}
}

func (m *Machine) startProbe(now time.Duration) {
	m.probe = probe{}
	target := m.nextProbeTarget()
	if target == nil {
		return
	}
	m.probe = probe{target: target, seq: m.nextSeq(), sentAt: now}
	m.sendToMember(now, target, Message{Kind: Ping, Seq: m.probe.seq, Target: target.Incarnation.Process})
	m.probeLeavers(now)
}

// probeLeavers pings the leaving members that have missed a probe. The other members are
// not told of this suspicion, because Suspect does not override Leaving.
func (m *Machine) probeLeavers(now time.Duration) {
	sent := 0
	for _, member := range m.suspects {
		if member.State == Leaving && member.suspicionDeadline > 0 && member != m.probe.target && sent < maxLeaverProbes {
			sent++
			m.sendToMember(now, member, Message{Kind: Ping, Seq: m.nextSeq(), Target: member.Incarnation.Process})
		}
	}
}

// nextProbeTarget returns the next member of the round that is not dead. It reshuffles
// the members at the start of a round.
func (m *Machine) nextProbeTarget() *memberState {
	for range len(m.probeOrder) + 1 {
		if m.probeIndex >= len(m.probeOrder) {
			m.probeIndex = 0
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
			if len(m.probeOrder) == 0 {
				return nil
			}
		}
		member := m.probeOrder[m.probeIndex]
		m.probeIndex++
		if member.State != Dead {
			return member
		}
	}
	return nil
}

func (m *Machine) probeIndirectly(now time.Duration, p *probe) {
	var chosen [relaysPerProbe]*memberState
	n := 0
	add := func(candidate *memberState) {
		if n == len(chosen) || candidate == nil || candidate == p.target || candidate == m.self || candidate.State == Dead || candidate == chosen[0] {
			return
		}
		chosen[n] = candidate
		n++
	}
	add(p.target.lastRelay)
	if p.target.suspicionBackoff > 0 {
		// The member has refuted before, so others could reach it while this domain
		// could not. The partition may lie within the domain.
		m.addCrossTargets(add)
	}
	for range 2 * ackerHistorySize {
		add(m.recentAckers[m.rng.IntN(ackerHistorySize)])
	}
	for range 4 {
		add(m.randomLive(m.self.domain))
	}
	// A domain of two instances has no relay of its own.
	m.addCrossTargets(add)
	for _, relay := range chosen[:n] {
		m.sendToMember(now, relay, Message{Kind: PingReq, Seq: p.seq, Target: p.target.Incarnation.Process, TargetAddress: p.target.UDP})
	}
}

func (m *Machine) addCrossTargets(add func(*memberState)) {
	for _, name := range m.otherDomains {
		for _, member := range m.domains[name].crossTargets {
			add(member)
		}
	}
}

// randomLive returns a random member of d that is not dead, or nil.
func (m *Machine) randomLive(d *domainState) *memberState {
	if len(d.live) == 0 {
		return nil
	}
	return d.live[m.rng.IntN(len(d.live))]
}

func (m *Machine) handlePing(now time.Duration, from netip.AddrPort, msg *Message) {
	self := m.self.Incarnation.Process
	if previous := m.members[msg.Target]; previous != nil && msg.Target != self && previous.UDP == m.self.UDP && previous.State != Dead {
		m.setState(now, previous, previous.Incarnation.Number, Dead)
	}
	m.reply(now, from, msg, Message{Kind: Ack, Seq: msg.Seq, Target: self})
}

func (m *Machine) handlePingReq(now time.Duration, from netip.AddrPort, msg *Message) {
	pending := m.relayedPings[:0]
	for _, relayed := range m.relayedPings {
		if now < relayed.deadline {
			pending = append(pending, relayed)
		}
	}
	m.relayedPings = pending
	if len(m.relayedPings) >= maxRelayedPings || !msg.TargetAddress.IsValid() {
		m.stats.Refused++
		return
	}
	relayed := relayedPing{seq: m.nextSeq(), requesterSeq: msg.Seq, requester: from, deadline: now + m.opts.ProbePeriod}
	m.relayedPings = append(m.relayedPings, relayed)
	ping := Message{Kind: Ping, Seq: relayed.seq, Target: msg.Target}
	m.sendToAddr(now, msg.TargetAddress, m.members[msg.Target], ping)
}

func (m *Machine) handleAck(now time.Duration, sender *memberState, msg *Message) {
	if sender != nil && sender.State != Dead {
		sender.lastAckAt = now
		sender.domain.lastAckAt = now
		if sender.State == Leaving {
			sender.suspicionDeadline = 0
		}
		if sender.domain == m.self.domain {
			m.recentAckers[m.nextAcker%ackerHistorySize] = sender
			m.nextAcker++
		}
	}
	if p := &m.probe; p.target != nil && p.seq == msg.Seq {
		m.handleProbeAck(now, sender, msg)
		return
	}
	for i, relayed := range m.relayedPings {
		if relayed.seq == msg.Seq {
			m.relayedPings = append(m.relayedPings[:i], m.relayedPings[i+1:]...)
			m.sendToAddr(now, relayed.requester, nil, Message{Kind: Ack, Seq: relayed.requesterSeq, Target: msg.Target})
			return
		}
	}
	m.handleCrossDomainAck(now, msg)
	if !m.joined {
		m.startSync(now, m.self.Domain, sender)
	}
}

func (m *Machine) handleProbeAck(now time.Duration, sender *memberState, msg *Message) {
	p := &m.probe
	target := p.target
	if msg.Target != target.Incarnation.Process {
		// Another process answers at the address, so the target no longer runs.
		if target.State != Dead {
			m.setState(now, target, target.Incarnation.Number, Dead)
		}
		return
	}
	p.answered = true
	if target.State == Leaving {
		target.suspicionDeadline = 0
	}
	if sender != nil && sender != target {
		target.lastRelay = sender
	}
	if !m.joined {
		m.startSync(now, m.self.Domain, sender)
	}
}
