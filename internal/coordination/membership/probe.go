package membership

import (
	"net/netip"
	"time"
)

const (
	// indirectProbes is the number of helpers that are asked to ping a silent member.
	indirectProbes = 2
	// maxLeaverProbes bounds the extra probes of leaving members in a period.
	maxLeaverProbes = 4
	// maxRelays bounds the pings that are in flight for others.
	maxRelays = 64
	// recentAcks is the number of members of the own domain that are remembered as
	// reachable in both directions; helpers are chosen among them.
	recentAcks = 8
)

// probe is the probe of the current period.
type probe struct {
	target   *member
	seq      uint64
	sentAt   time.Duration
	indirect bool
	answered bool
}

// relay is a ping on behalf of another member.
type relay struct {
	seq, originSeq uint64
	origin         netip.AddrPort
	deadline       time.Duration
}

func (m *Machine) nextSeq() uint64 {
	m.seq++
	return m.seq
}

func (m *Machine) stepProbe(now time.Duration) {
	if now >= m.nextProbe {
		m.finishProbe(now)
		m.startProbe(now)
		m.stepLinks(now)
		m.reconnect(now)
		m.pages = maxPages
		m.nextProbe += m.opts.ProbePeriod
		if m.nextProbe <= now {
			m.nextProbe = now + m.opts.ProbePeriod
		}
		return
	}
	p := &m.probe
	if p.target != nil && !p.answered && !p.indirect && now-p.sentAt >= m.opts.ProbeTimeout {
		p.indirect = true
		m.probeIndirectly(now, p)
	}
}

// finishProbe suspects the member that has not answered in this period.
func (m *Machine) finishProbe(now time.Duration) {
	x := m.probe.target
	if x == nil || m.probe.answered || m.probe.seq == 0 {
		return
	}
	switch {
	case x.State == Alive && now >= x.quiet:
		m.stats.Suspicions++
		m.setState(now, x, x.Incarnation.Refutation, Suspect)
	case x.State == Leaving && x.suspicion == 0:
		m.suspect(now, x)
	}
}

func (m *Machine) startProbe(now time.Duration) {
	m.probe = probe{}
	x := m.nextTarget()
	if x == nil {
		return
	}
	m.probe = probe{target: x, seq: m.nextSeq(), sentAt: now}
	m.sendTo(now, x, Message{Kind: Ping, Seq: m.probe.seq, Target: x.Incarnation.Process})
	m.probeLeavers(now)
}

// probeLeavers pings members that leave and have missed a probe: they cannot be
// suspected openly, because suspicion does not override leaving.
func (m *Machine) probeLeavers(now time.Duration) {
	sent := 0
	for _, x := range m.suspects {
		if x.State == Leaving && x.suspicion > 0 && x != m.probe.target && sent < maxLeaverProbes {
			sent++
			m.sendTo(now, x, Message{Kind: Ping, Seq: m.nextSeq(), Target: x.Incarnation.Process})
		}
	}
}

// nextTarget returns the next member of the round that is not dead.
func (m *Machine) nextTarget() *member {
	for range len(m.order) + 1 {
		if m.orderIndex >= len(m.order) {
			m.orderIndex = 0
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
			if len(m.order) == 0 {
				return nil
			}
		}
		x := m.order[m.orderIndex]
		m.orderIndex++
		if x.State != Dead {
			return x
		}
	}
	return nil
}

func (m *Machine) probeIndirectly(now time.Duration, p *probe) {
	var chosen [indirectProbes]*member
	n := 0
	add := func(x *member) {
		if n == len(chosen) || x == nil || x == p.target || x == m.self || x.State == Dead || x == chosen[0] {
			return
		}
		chosen[n] = x
		n++
	}
	add(p.target.helper)
	if p.target.strikes > 0 {
		// The member was reached by others while this domain could not reach it, so
		// the cut may lie within the domain.
		m.addLinks(add)
	}
	for range 2 * recentAcks {
		add(m.acked[m.rng.IntN(recentAcks)])
	}
	for range 4 {
		add(m.random(m.self.domain))
	}
	// A domain of two instances has no helper of its own.
	m.addLinks(add)
	for _, x := range chosen[:n] {
		m.sendTo(now, x, Message{Kind: PingReq, Seq: p.seq, Target: p.target.Incarnation.Process, TargetAddress: p.target.UDP})
	}
}

func (m *Machine) addLinks(add func(*member)) {
	for _, name := range m.names {
		for _, x := range m.domains[name].links {
			add(x)
		}
	}
}

// random returns a random member of d that is not dead, or nil.
func (m *Machine) random(d *domain) *member {
	if len(d.live) == 0 {
		return nil
	}
	return d.live[m.rng.IntN(len(d.live))]
}

func (m *Machine) handlePing(now time.Duration, from netip.AddrPort, msg *Message) {
	self := m.self.Incarnation.Process
	if old := m.members[msg.Target]; old != nil && msg.Target != self && old.UDP == m.self.UDP && old.State != Dead {
		m.setState(now, old, old.Incarnation.Refutation, Dead)
	}
	m.reply(now, from, msg, Message{Kind: Ack, Seq: msg.Seq, Target: self})
}

func (m *Machine) handlePingReq(now time.Duration, from netip.AddrPort, msg *Message) {
	kept := m.relays[:0]
	for _, r := range m.relays {
		if now < r.deadline {
			kept = append(kept, r)
		}
	}
	m.relays = kept
	if len(m.relays) >= maxRelays || !msg.TargetAddress.IsValid() {
		m.stats.Refused++
		return
	}
	r := relay{seq: m.nextSeq(), originSeq: msg.Seq, origin: from, deadline: now + m.opts.ProbePeriod}
	m.relays = append(m.relays, r)
	ping := Message{Kind: Ping, Seq: r.seq, Target: msg.Target}
	m.sendAddr(now, msg.TargetAddress, m.members[msg.Target], ping)
}

func (m *Machine) handleAck(now time.Duration, s *member, msg *Message) {
	if s != nil && s.State != Dead {
		s.acked = now
		s.domain.acked = now
		if s.State == Leaving {
			s.suspicion = 0
		}
		if s.domain == m.self.domain {
			m.acked[m.ackedNext%recentAcks] = s
			m.ackedNext++
		}
	}
	if p := &m.probe; p.target != nil && p.seq == msg.Seq {
		m.handleProbeAck(now, s, msg)
		return
	}
	for i, r := range m.relays {
		if r.seq == msg.Seq {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.sendAddr(now, r.origin, nil, Message{Kind: Ack, Seq: r.originSeq, Target: msg.Target})
			return
		}
	}
	m.handleLinkAck(now, msg)
	if !m.joined {
		m.startSync(now, m.self.Domain, s)
	}
}

func (m *Machine) handleProbeAck(now time.Duration, s *member, msg *Message) {
	p := &m.probe
	x := p.target
	if msg.Target != x.Incarnation.Process {
		// Another process answers at the address, so the target no longer runs.
		if x.State != Dead {
			m.setState(now, x, x.Incarnation.Refutation, Dead)
		}
		return
	}
	p.answered = true
	if x.State == Leaving {
		x.suspicion = 0
	}
	if s != nil && s != x {
		x.helper = s
	}
	if !m.joined {
		m.startSync(now, m.self.Domain, s)
	}
}
