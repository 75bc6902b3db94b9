package membership

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// MinGossipInterval is the minimum time between two rounds of urgent gossip of one
	// member. It limits urgent messages to 50 per second when many members change.
	MinGossipInterval = 100 * time.Millisecond
	// urgentRounds is the number of rounds in which a record is sent, and
	// urgentRoundInterval the time between them. At a datagram loss of 10 %, one round
	// misses one member in about 1,500, two rounds one in two million.
	urgentRounds        = 2
	urgentRoundInterval = 200 * time.Millisecond
	// randomGossipTargets is the number of random members in a round of urgent gossip,
	// in addition to the two neighbours.
	randomGossipTargets = 3
	// extraPiggybacks plus the binary logarithm of the domain's size limits the
	// piggybacked copies of a record. Members that miss all copies are found by the
	// comparison of digests.
	extraPiggybacks = 2
	// pressureHistorySize is the number of members whose pressure is forwarded.
	pressureHistorySize = 4
	// maxRelayedPressures is the maximum number of forwarded pressures in one message.
	maxRelayedPressures = 2
	// maxRelayedPressureAge is the maximum age of a forwarded pressure.
	maxRelayedPressureAge = time.Second
)

// enqueueUpdate queues the record of a member for urgent gossip and for piggybacking.
func (m *Machine) enqueueUpdate(member *memberState) {
	size := 2
	if m.self != nil {
		size = len(m.self.domain.live) + 1
	}
	member.urgentRoundsLeft = urgentRounds
	member.piggybacksLeft = bits.Len(uint(size)) + extraPiggybacks
	if !member.inPiggybackQueue {
		member.inPiggybackQueue = true
		m.piggybackQueue = append(m.piggybackQueue, member)
	}
	if !member.inUrgentQueue {
		member.inUrgentQueue = true
		m.urgentQueue = append(m.urgentQueue, member)
	}
}

// requeueUrgent queues the records of earlier rounds for their next one.
func (m *Machine) requeueUrgent(now time.Duration) {
	if len(m.resendQueue) == 0 || now-m.lastFlush < urgentRoundInterval {
		return
	}
	for _, member := range m.resendQueue {
		if !member.inUrgentQueue {
			member.inUrgentQueue = true
			m.urgentQueue = append(m.urgentQueue, member)
		}
	}
	m.resendQueue = m.resendQueue[:0]
}

// flushUrgent gossips the urgent records and the local pressure to the neighbours and to
// random members. Without force it sends nothing before MinGossipInterval has passed.
func (m *Machine) flushUrgent(now time.Duration, force bool) {
	if len(m.urgentQueue) == 0 && !m.pressurePending || !m.started || (!force && now-m.lastFlush < MinGossipInterval) {
		return
	}
	m.lastFlush, m.pressurePending = now, false
	updates := make([]Member, 0, min(len(m.urgentQueue), MaxUpdates))
	room := MaxMessageBytes - maxMessageOverhead - maxMemberSize(m.self.Member)
	taken := 0
	for _, member := range m.urgentQueue {
		record := recordWithoutPressure(member)
		if size := maxMemberSize(record); size <= room && len(updates) < MaxUpdates {
			room -= size
			updates = append(updates, record)
			taken++
			member.inUrgentQueue = false
			if member.urgentRoundsLeft--; member.urgentRoundsLeft > 0 {
				m.resendQueue = append(m.resendQueue, member)
			}
			continue
		}
		break
	}
	remaining := copy(m.urgentQueue, m.urgentQueue[taken:])
	clear(m.urgentQueue[remaining:])
	m.urgentQueue = m.urgentQueue[:remaining]
	for _, member := range m.gossipTargets() {
		msg := Message{Kind: Gossip, From: m.selfRecord(now), Digest: m.self.domain.digest, Updates: updates}
		m.send(member.UDP, msg)
	}
}

// gossipTargets returns the two neighbours in the order of processes and some random
// members.
func (m *Machine) gossipTargets() []*memberState {
	d := m.self.domain
	targets := make([]*memberState, 0, 2+randomGossipTargets)
	add := func(member *memberState) {
		if member != nil && member != m.self && member.State != Dead && !slices.Contains(targets, member) {
			targets = append(targets, member)
		}
	}
	i, _ := slices.BinarySearchFunc(d.members, m.self.Incarnation.Process, compareProcess)
	add(nextLiveMember(d.members, i, 1))
	add(nextLiveMember(d.members, i, len(d.members)-1))
	for range randomGossipTargets {
		add(m.randomLive(d))
	}
	return targets
}

// nextLiveMember returns the first member that is not dead among the 16 that follow
// index i in increments of step, or nil.
func nextLiveMember(members []*memberState, i, step int) *memberState {
	n := len(members)
	for offset := 1; offset <= min(n-1, 16); offset++ {
		if member := members[(i+offset*step)%n]; member.State != Dead {
			return member
		}
	}
	return nil
}

// recordWithoutPressure returns the record of a member without its pressure.
func recordWithoutPressure(member *memberState) Member {
	record := member.Member
	record.Pressure, record.PressureAge = nil, 0
	return record
}

// selfRecord returns the record of this process with its metadata.
func (m *Machine) selfRecord(now time.Duration) Member {
	record := m.self.Member
	record.PressureAge = now - m.self.metadataAt
	return record
}

// maxMessageOverhead is the maximum encoded size of a message without members.
const maxMessageOverhead = 96 + MaxNameBytes

// maxMemberSize returns the maximum encoded size of a record.
func maxMemberSize(record Member) int {
	return 68 + len(record.Name) + len(record.Domain) + len(record.FailureDomain) + len(record.Pressure) + maxAddrSize(record.UDP) + maxAddrSize(record.TCP)
}

func maxAddrSize(addr netip.AddrPort) int {
	if addr.Addr().Is4() {
		return 8
	}
	return 20
}

// sendToMember sends a message to a member. A member that is suspect or dead here also
// receives its own record, so that it can refute it.
func (m *Machine) sendToMember(now time.Duration, member *memberState, msg Message) {
	m.sendToAddr(now, member.UDP, member, msg)
}

// reply sends the answer to a request, whose sender may be unknown.
func (m *Machine) reply(now time.Duration, to netip.AddrPort, request *Message, msg Message) {
	m.sendToAddr(now, to, m.members[request.From.Incarnation.Process], msg)
}

// sendToAddr adds the local record and as many queued records as fit to msg and sends
// it. recipient is nil when the process at the address is not known.
func (m *Machine) sendToAddr(now time.Duration, to netip.AddrPort, recipient *memberState, msg Message) {
	msg.From, msg.Digest = m.selfRecord(now), m.self.domain.digest
	room := MaxMessageBytes - maxMessageOverhead - maxMemberSize(msg.From)
	add := func(record Member) bool {
		size := maxMemberSize(record)
		if size > room || len(msg.Updates) == MaxUpdates {
			return false
		}
		room -= size
		msg.Updates = append(msg.Updates, record)
		return true
	}
	if recipient != nil && (recipient.State == Suspect || recipient.State == Dead) {
		add(recordWithoutPressure(recipient))
	}
	m.piggyback(add)
	if recipient != nil && recipient.domain == m.self.domain {
		m.piggybackPressures(now, recipient, add)
	}
	m.send(to, msg)
}

// piggyback passes records from the head of the queue to add until add returns false.
// Records with copies left go back to the end of the queue.
func (m *Machine) piggyback(add func(Member) bool) {
	for range len(m.piggybackQueue) {
		member := m.piggybackQueue[0]
		if member.piggybacksLeft > 0 && member != m.self && !add(recordWithoutPressure(member)) {
			return
		}
		member.piggybacksLeft--
		copy(m.piggybackQueue, m.piggybackQueue[1:])
		m.piggybackQueue = m.piggybackQueue[:len(m.piggybackQueue)-1]
		if member.piggybacksLeft > 0 && member != m.self {
			m.piggybackQueue = append(m.piggybackQueue, member)
		} else {
			member.inPiggybackQueue = false
		}
	}
}

// piggybackPressures adds recent pressures of other members for the recipient.
func (m *Machine) piggybackPressures(now time.Duration, recipient *memberState, add func(Member) bool) {
	relayed := 0
	for i, member := range m.recentPressures {
		if member == nil || member == recipient || member.State == Dead || slices.Contains(m.recentPressures[:i], member) || len(member.Pressure) == 0 {
			continue
		}
		record := member.Member
		record.PressureAge = now - member.metadataAt
		if record.PressureAge > maxRelayedPressureAge || !add(record) {
			continue
		}
		if relayed++; relayed == maxRelayedPressures {
			return
		}
	}
}
