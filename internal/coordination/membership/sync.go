package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// mismatchesBeforeSync is the number of consecutive digest mismatches after which the
	// view is fetched. Views differ briefly while records are in flight.
	mismatchesBeforeSync = 3
	// syncInterval is the minimum time between two syncs of one domain.
	syncInterval = 5 * time.Second
	// syncTimeout is the time after which the request for a page is repeated.
	syncTimeout = 400 * time.Millisecond
	// maxSyncAttempts is the maximum number of requests for one page.
	maxSyncAttempts = 4
	// maxSyncPagesPerPeriod is the maximum number of pages sent in one probe period.
	maxSyncPagesPerPeriod = 64
	// samplesPerOtherDomain is the maximum number of members of each other domain that
	// the last page lists.
	samplesPerOtherDomain = 2
	// refreshRequests is the number of members that are asked for their view after a
	// pause.
	refreshRequests = 3
)

// syncSession is the state of a sync, which fetches the view of one domain from a peer.
// One session runs at a time.
type syncSession struct {
	domain     *domainState
	seq        uint64
	after      Process
	sentAt     time.Duration
	startedAt  time.Duration
	attempts   int
	seen       map[Process]struct{}
	refreshing bool
}

// compareDigest counts consecutive messages whose digest differs from the local view of
// the sender's domain, and starts a sync after mismatchesBeforeSync of them.
func (m *Machine) compareDigest(now time.Duration, sender *memberState, msg *Message) {
	d := sender.domain
	if msg.Kind != Ping && msg.Kind != Ack {
		return // other messages arrive while records are still in flight
	}
	if msg.Digest == d.digest {
		d.digestMismatches = 0
		return
	}
	d.digestMismatches++
	// The first sync of a domain starts at the first mismatch.
	if (d.digestMismatches >= mismatchesBeforeSync || !d.everSynced) && (now-d.lastSyncAt >= syncInterval || !d.everSynced) {
		m.startSync(now, d.name, sender)
	}
}

// startSync fetches the view of a domain from source. A joining process may ask a member
// of another domain for the view of its own, which may have no other member.
func (m *Machine) startSync(now time.Duration, domainName string, source *memberState) {
	if m.sync.domain != nil || source == nil || source.State == Dead {
		return
	}
	d := m.ensureDomain(now, domainName)
	m.stats.Syncs++
	d.lastSyncAt, d.digestMismatches = now, 0
	m.sync = syncSession{domain: d, startedAt: now, seen: map[Process]struct{}{}}
	m.requestPage(now, source)
}

func (m *Machine) requestPage(now time.Duration, source *memberState) {
	session := &m.sync
	session.seq, session.sentAt = m.nextSeq(), now
	m.sendToMember(now, source, Message{Kind: SyncRequest, Seq: session.seq, Domain: session.domain.name, After: session.after})
}

// refreshView fetches the view of the local domain from whichever of several members
// answers first.
func (m *Machine) refreshView(now time.Duration) {
	d := m.self.domain
	m.stats.Syncs++
	d.lastSyncAt, d.digestMismatches = now, 0
	m.sync = syncSession{domain: d, startedAt: now, sentAt: now, seq: m.nextSeq(), refreshing: true, seen: map[Process]struct{}{}}
	var asked []*memberState
	for range 2 * refreshRequests {
		member := m.randomLive(d)
		if member == nil || member == m.self || slices.Contains(asked, member) || len(asked) == refreshRequests {
			continue
		}
		asked = append(asked, member)
		m.sendToMember(now, member, Message{Kind: SyncRequest, Seq: m.sync.seq, Domain: d.name})
	}
}

// retrySync requests a page that has not arrived from a random member of the domain, and
// gives up after maxSyncAttempts.
func (m *Machine) retrySync(now time.Duration) {
	session := &m.sync
	if session.domain == nil || now-session.sentAt < syncTimeout {
		return
	}
	source := m.randomLive(session.domain)
	if session.attempts++; session.attempts >= maxSyncAttempts || source == nil || source == m.self && len(session.domain.live) == 1 {
		m.sync = syncSession{}
		return
	}
	if source != m.self {
		m.requestPage(now, source)
	}
}

func (m *Machine) handleSyncRequest(now time.Duration, from netip.AddrPort, msg *Message) {
	if m.syncPagesLeft <= 0 {
		m.stats.Refused++
		return
	}
	m.syncPagesLeft--
	reply := Message{Kind: SyncReply, Seq: msg.Seq, Domain: msg.Domain, From: m.selfRecord(now), Digest: m.self.domain.digest}
	room := MaxMessageBytes - maxMessageOverhead - maxMemberSize(reply.From)
	add := func(member *memberState) bool {
		record := recordWithoutPressure(member)
		size := maxMemberSize(record)
		if size > room || len(reply.Updates) == MaxUpdates {
			return false
		}
		room -= size
		reply.Updates = append(reply.Updates, record)
		return true
	}
	if member := m.members[msg.From.Incarnation.Process]; member != nil && (member.State == Suspect || member.State == Dead) {
		add(member)
	}
	reply.After = msg.After
	if d := m.domains[msg.Domain]; d != nil {
		i, found := slices.BinarySearchFunc(d.members, msg.After, compareProcess)
		if found {
			i++
		}
		for ; i < len(d.members); i++ {
			if !add(d.members[i]) {
				reply.More = true
				break
			}
			reply.After = d.members[i].Incarnation.Process
		}
	}
	if !reply.More {
		m.addOtherDomainSamples(&reply, add)
	}
	m.send(from, reply)
}

// addOtherDomainSamples adds records of members of other domains, through which a
// joining process learns of those domains.
func (m *Machine) addOtherDomainSamples(reply *Message, add func(*memberState) bool) {
	for _, name := range m.otherDomains {
		if name == reply.Domain {
			continue
		}
		d := m.domains[name]
		for range min(samplesPerOtherDomain, len(d.live)) {
			if member := m.randomLive(d); member.State == Alive {
				add(member)
			}
		}
	}
}

func (m *Machine) handleSyncReply(now time.Duration, sender *memberState, msg *Message) {
	session := &m.sync
	if session.domain == nil || msg.Seq != session.seq || msg.Domain != session.domain.name || sender == nil || sender.State == Dead {
		return
	}
	for i := range msg.Updates {
		session.seen[msg.Updates[i].Incarnation.Process] = struct{}{}
	}
	session.seen[msg.From.Incarnation.Process] = struct{}{}
	session.attempts = 0
	if msg.More && msg.After.Compare(session.after) > 0 {
		session.after = msg.After
		m.requestPage(now, sender)
		return
	}
	m.finishSync(now, sender)
}

// finishSync ends a sync and handles the live members that the source did not list. A
// member of another domain is dead if its own domain no longer knows it. The record of
// a member of the local domain is sent on instead: the probes decide whether it is alive.
func (m *Machine) finishSync(now time.Duration, source *memberState) {
	session := m.sync
	m.sync = syncSession{}
	session.domain.everSynced = true
	if session.refreshing {
		m.staleUntil = now
	}
	if session.domain == m.self.domain {
		m.joined = true
	}
	for _, member := range slices.Clone(session.domain.live) {
		if _, ok := session.seen[member.Incarnation.Process]; ok || member == m.self || member.stateSince >= session.startedAt {
			continue
		}
		if session.domain == m.self.domain {
			m.enqueueUpdate(member) // the source does not know the member
		} else if source.domain == session.domain {
			m.setState(now, member, member.Incarnation.Number, Dead)
		}
	}
}

// discardView drops a view that may be older than the tombstones of the peers and would
// therefore bring dead members back. The addresses of live members are added to the
// seeds.
func (m *Machine) discardView(now time.Duration) {
	const maxAddedSeeds = 16
	for _, d := range m.domains {
		for _, member := range slices.Clone(d.members) {
			if member == m.self {
				continue
			}
			if member.State != Dead {
				if len(m.seeds) < len(m.opts.Seeds)+maxAddedSeeds {
					m.seeds = append(m.seeds, member.UDP)
				}
				m.setState(now, member, member.Incarnation.Number, Dead)
			}
			m.removeMember(member)
		}
	}
	m.piggybackQueue, m.urgentQueue, m.resendQueue, m.tombstones, m.suspects = nil, nil, nil, nil, nil
	m.joined = false
}

// isLiveAddr reports whether a member that is not dead is known at the address.
func (m *Machine) isLiveAddr(addr netip.AddrPort) bool {
	member := m.byAddr[addr]
	return member != nil && member.State != Dead
}
