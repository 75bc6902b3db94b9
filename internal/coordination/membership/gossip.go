package membership

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// FlushInterval is the shortest time between two rounds of urgent gossip of one
	// member. It bounds urgent messages to 50 a second when many members change.
	FlushInterval = 100 * time.Millisecond
	// urgentRounds is the number of rounds in which a claim is sent, repeatInterval the
	// time between them. With a tenth of the datagrams lost, one round misses one
	// member in about 1,500, two rounds one in two million.
	urgentRounds   = 2
	repeatInterval = 200 * time.Millisecond
	// randomGossip is the number of random members in a round of urgent gossip,
	// beside the two neighbours.
	randomGossip = 3
	// extraCopies is added to the logarithm of the domain's size. Together they bound
	// the copies of a claim in probes; what they miss, the digest finds.
	extraCopies = 2
	// recentPressures is the number of members whose pressure is passed on.
	recentPressures = 4
	// relayedPressures bounds the pressures of third members in one message.
	relayedPressures = 2
	// relayAge is the age up to which a pressure is passed on.
	relayAge = time.Second
)

// enqueue makes the claim about x travel with the next messages.
func (m *Machine) enqueue(x *member) {
	n := 2
	if m.self != nil {
		n = len(m.self.domain.live) + 1
	}
	x.rounds = urgentRounds
	x.transmits = bits.Len(uint(n)) + extraCopies
	if !x.queued {
		x.queued = true
		m.queue = append(m.queue, x)
	}
	if !x.urgent {
		x.urgent = true
		m.urgent = append(m.urgent, x)
	}
}

// repeat makes the claims of the last rounds urgent again.
func (m *Machine) repeat(now time.Duration) {
	if len(m.again) == 0 || now-m.lastFlush < repeatInterval {
		return
	}
	for _, x := range m.again {
		if !x.urgent {
			x.urgent = true
			m.urgent = append(m.urgent, x)
		}
	}
	m.again = m.again[:0]
}

// flush sends the urgent claims to the neighbours and to random members.
func (m *Machine) flush(now time.Duration, tick bool) {
	if len(m.urgent) == 0 || !m.started || (!tick && now-m.lastFlush < FlushInterval) {
		return
	}
	m.lastFlush = now
	claims := make([]Member, 0, min(len(m.urgent), MaxUpdates))
	room := MaxBody - fixedSize - memberSize(m.self.Member)
	n := 0
	for _, x := range m.urgent {
		c := claimOf(x)
		if size := memberSize(c); size <= room && len(claims) < MaxUpdates {
			room -= size
			claims = append(claims, c)
			n++
			x.urgent = false
			if x.rounds--; x.rounds > 0 {
				m.again = append(m.again, x)
			}
			continue
		}
		break
	}
	rest := copy(m.urgent, m.urgent[n:])
	clear(m.urgent[rest:])
	m.urgent = m.urgent[:rest]
	for _, x := range m.audience() {
		msg := Message{Kind: Gossip, From: m.own(now), Digest: m.self.domain.digest, Updates: claims}
		m.send(x.UDP, msg)
	}
}

// audience returns the neighbours in the order of processes and random members.
func (m *Machine) audience() []*member {
	d := m.self.domain
	out := make([]*member, 0, 2+randomGossip)
	add := func(x *member) {
		if x != nil && x != m.self && x.State != Dead && !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	i, _ := slices.BinarySearchFunc(d.members, m.self.Incarnation.Process, compareMember)
	add(neighbour(d.members, i, 1))
	add(neighbour(d.members, i, len(d.members)-1))
	for range randomGossip {
		add(m.random(d))
	}
	return out
}

// neighbour returns the first member that is not dead behind index i in the
// direction of step, among the next 16.
func neighbour(members []*member, i, step int) *member {
	n := len(members)
	for k := 1; k <= min(n-1, 16); k++ {
		if x := members[(i+k*step)%n]; x.State != Dead {
			return x
		}
	}
	return nil
}

// claimOf returns the claim about x without its pressure.
func claimOf(x *member) Member {
	c := x.Member
	c.Pressure, c.PressureAge = nil, 0
	return c
}

// own returns the claim of this process about itself with its values.
func (m *Machine) own(now time.Duration) Member {
	c := m.self.Member
	c.PressureAge = now - m.self.valueAt
	return c
}

// fixedSize is the encoded size of a message without members, at most.
const fixedSize = 96 + MaxName

// memberSize is the encoded size of a claim, at most.
func memberSize(c Member) int {
	return 66 + len(c.Name) + len(c.Domain) + len(c.Pressure) + addrSize(c.UDP) + addrSize(c.TCP)
}

func addrSize(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return 8
	}
	return 20
}

// sendTo sends a message to x, with what x has to know about itself.
func (m *Machine) sendTo(now time.Duration, x *member, msg Message) { m.sendAddr(now, x.UDP, x, msg) }

// reply answers a message, whose sender may be unknown.
func (m *Machine) reply(now time.Duration, to netip.AddrPort, request *Message, msg Message) {
	m.sendAddr(now, to, m.members[request.From.Incarnation.Process], msg)
}

// sendAddr completes msg with the own claim and as many queued claims as fit.
func (m *Machine) sendAddr(now time.Duration, to netip.AddrPort, x *member, msg Message) {
	msg.From, msg.Digest = m.own(now), m.self.domain.digest
	room := MaxBody - fixedSize - memberSize(msg.From)
	add := func(c Member) bool {
		size := memberSize(c)
		if size > room || len(msg.Updates) == MaxUpdates {
			return false
		}
		room -= size
		msg.Updates = append(msg.Updates, c)
		return true
	}
	if x != nil && (x.State == Suspect || x.State == Dead) {
		add(claimOf(x))
	}
	m.piggyback(add)
	if x != nil && x.domain == m.self.domain {
		m.relayPressures(now, x, add)
	}
	m.send(to, msg)
}

// piggyback takes claims from the head of the queue and puts those that have copies
// left back at its end.
func (m *Machine) piggyback(add func(Member) bool) {
	for range len(m.queue) {
		x := m.queue[0]
		if x.transmits > 0 && x != m.self && !add(claimOf(x)) {
			return
		}
		x.transmits--
		copy(m.queue, m.queue[1:])
		m.queue = m.queue[:len(m.queue)-1]
		if x.transmits > 0 && x != m.self {
			m.queue = append(m.queue, x)
		} else {
			x.queued = false
		}
	}
}

func (m *Machine) relayPressures(now time.Duration, to *member, add func(Member) bool) {
	n := 0
	for i, x := range m.pressures {
		if x == nil || x == to || x.State == Dead || slices.Contains(m.pressures[:i], x) || len(x.Pressure) == 0 {
			continue
		}
		c := x.Member
		c.PressureAge = now - x.valueAt
		if c.PressureAge > relayAge || !add(c) {
			continue
		}
		if n++; n == relayedPressures {
			return
		}
	}
}
