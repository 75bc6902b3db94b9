package configsync

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pullTimeout is the time after which a pull without an answer counts as failed.
	pullTimeout = 2 * time.Second
	// announceRandomPeers is the number of random members of the domain that get an
	// announcement, besides the two neighbours.
	announceRandomPeers = 3
	// announceOtherDomains is the number of other domains that get an announcement.
	announceOtherDomains = 4
	// maxPeersAhead is the maximum number of remembered peers that hold a higher revision.
	maxPeersAhead = 8
	// startupRandomPeers is the number of random members of the domain that a newly
	// started instance pulls from, besides the readers.
	startupRandomPeers = 2
)

// startupPullState is the state of a pull that a newly started instance sent to a peer.
type startupPullState uint8

const (
	startupPullPending startupPullState = iota + 1
	startupPullAnswered
	startupPullFailed
)

// maxStartupPulls is the maximum number of peers that a newly started instance pulls from,
// also when many do not answer.
const maxStartupPulls = 32

// pendingPull is a pull that has no answer yet.
type pendingPull struct {
	to       [16]byte
	deadline time.Duration
}

// peerAhead is a peer that holds a revision above the active one.
type peerAhead struct {
	id       [16]byte
	revision uint64
}

func comparePeers(a, b Peer) int { return bytes.Compare(a.ID[:], b.ID[:]) }

func (m *Machine) setMembers(members []Peer) {
	m.membersByDomain = map[string][]Peer{m.options.Self.Domain: {m.options.Self}}
	m.otherDomains = nil
	for _, p := range members {
		if p.ID != m.options.Self.ID {
			m.membersByDomain[p.Domain] = append(m.membersByDomain[p.Domain], p)
		}
	}
	for name, domainMembers := range m.membersByDomain {
		slices.SortFunc(domainMembers, comparePeers)
		m.membersByDomain[name] = slices.CompactFunc(domainMembers, func(a, b Peer) bool { return a.ID == b.ID })
		if name != m.options.Self.Domain {
			m.otherDomains = append(m.otherDomains, name)
		}
	}
	slices.Sort(m.otherDomains)
	m.readers = Readers(m.options.Self.Domain, m.membersByDomain[m.options.Self.Domain])
	m.isReader = slices.ContainsFunc(m.readers, func(p Peer) bool { return p.ID == m.options.Self.ID })
}

// Readers returns the members of a failure domain that watch the platform: those with the
// highest rendezvous hash. While the member lists of instances differ, there may be one
// reader more or fewer, which is harmless.
func Readers(domain string, members []Peer) []Peer {
	sorted := slices.Clone(members)
	hash := func(p Peer) uint64 { return xxhash.Sum64(append([]byte(domain+"\x00"), p.ID[:]...)) }
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), comparePeers(a, b)) })
	return sorted[:min(ReadersPerDomain, len(sorted))]
}

// randomPeer returns a random member of the domain. It returns false if there is none or
// both of two draws yield this instance.
func (m *Machine) randomPeer(domain string) (Peer, bool) {
	domainMembers := m.membersByDomain[domain]
	n := len(domainMembers)
	if n == 0 {
		return Peer{}, false
	}
	p := domainMembers[m.rng.IntN(n)]
	if p.ID == m.options.Self.ID {
		p = domainMembers[m.rng.IntN(n)]
	}
	return p, p.ID != m.options.Self.ID
}

// announce sends the number of the active revision to the two neighbours, to random
// members of the domain and to a random member of some other domains.
func (m *Machine) announce() {
	var recipients [][16]byte
	announceTo := func(p Peer) {
		if p.ID != m.options.Self.ID && !slices.Contains(recipients, p.ID) {
			recipients = append(recipients, p.ID)
			m.actions = append(m.actions, SendPush{To: p.ID, Push: m.newAnnouncement()})
		}
	}
	domainMembers := m.membersByDomain[m.options.Self.Domain]
	if i := slices.IndexFunc(domainMembers, func(p Peer) bool { return p.ID == m.options.Self.ID }); i >= 0 {
		announceTo(domainMembers[(i+1)%len(domainMembers)])
		announceTo(domainMembers[(i+len(domainMembers)-1)%len(domainMembers)])
	}
	for range announceRandomPeers {
		if p, ok := m.randomPeer(m.options.Self.Domain); ok {
			announceTo(p)
		}
	}
	if n := len(m.otherDomains); n > 0 {
		first := m.rng.IntN(n)
		for i := range min(announceOtherDomains, n) {
			if p, ok := m.randomPeer(m.otherDomains[(first+i)%n]); ok {
				announceTo(p)
			}
		}
	}
}

// observeRevision records a peer that holds a higher revision and starts a pull of the
// highest known revision.
func (m *Machine) observeRevision(now time.Duration, from [16]byte, revision uint64) {
	if m.hasRevision && revision <= m.revision || revision == 0 || m.isRejectedRevision(revision) {
		return
	}
	m.highestPeerRevision = max(m.highestPeerRevision, revision)
	m.removePeerAhead(from)
	if len(m.peersAhead) >= maxPeersAhead {
		lowest := slices.MinFunc(m.peersAhead, func(a, b peerAhead) int { return cmp.Compare(a.revision, b.revision) })
		if lowest.revision >= revision {
			return
		}
		m.removePeerAhead(lowest.id)
	}
	m.peersAhead = append(m.peersAhead, peerAhead{from, revision})
	m.pullHighest(now)
}

// isRejectedRevision reports whether a revision was rejected under any hash. It is not
// pulled from peers; only a higher revision replaces it.
func (m *Machine) isRejectedRevision(revision uint64) bool {
	return slices.ContainsFunc(m.rejections, func(r rejection) bool { return r.revision == revision })
}

func (m *Machine) removePeerAhead(id [16]byte) {
	m.peersAhead = slices.DeleteFunc(m.peersAhead, func(s peerAhead) bool { return s.id == id })
}

// pullHighest pulls the highest known revision. A revision is pulled from one peer at a
// time, because two answers would carry the same data.
func (m *Machine) pullHighest(now time.Duration) {
	if len(m.peersAhead) == 0 {
		return
	}
	highest := slices.MaxFunc(m.peersAhead, func(a, b peerAhead) int { return cmp.Compare(a.revision, b.revision) })
	for _, p := range m.pendingPulls {
		for _, s := range m.peersAhead {
			if p.to == s.id && s.revision >= highest.revision {
				return
			}
		}
	}
	m.startPull(now, highest.id, m.newPull())
}

// newPull returns a request for any revision above the active one.
func (m *Machine) newPull() Pull {
	p := Pull{Revision: m.revision, Hash: m.hash, Have: make([]Hash, len(m.sections))}
	for i, s := range m.sections {
		p.Have[i] = s.Hash
	}
	return p
}

func (m *Machine) startPull(now time.Duration, to [16]byte, p Pull) bool {
	if len(m.pendingPulls) >= maxPendingPulls || slices.ContainsFunc(m.pendingPulls, func(p pendingPull) bool { return p.to == to }) {
		return false
	}
	m.stats.Pulls++
	m.pendingPulls = append(m.pendingPulls, pendingPull{to: to, deadline: now + pullTimeout})
	m.actions = append(m.actions, SendPull{To: to, Pull: p})
	return true
}

// endPull removes the pull from a peer, answered or failed, and records the outcome of a
// startup pull. It reports whether there was a pull.
func (m *Machine) endPull(from [16]byte, outcome startupPullState) bool {
	n := len(m.pendingPulls)
	m.pendingPulls = slices.DeleteFunc(m.pendingPulls, func(p pendingPull) bool { return p.to == from })
	if m.startupPulls[from] == startupPullPending {
		m.startupPulls[from] = outcome
	}
	return len(m.pendingPulls) < n
}

func (m *Machine) expirePulls(now time.Duration) {
	for _, p := range slices.Clone(m.pendingPulls) {
		if now >= p.deadline {
			m.endPull(p.to, startupPullFailed)
			m.removePeerAhead(p.to)
		}
	}
	m.pullHighest(now)
}

// pullFromRandomPeer pulls from one random peer when the next pull is due. The peer is in another
// domain with a probability of one half.
func (m *Machine) pullFromRandomPeer(now time.Duration) {
	if now < m.nextPullAt {
		return
	}
	m.nextPullAt = now + PeerPullInterval
	if !m.hasRevision {
		m.nextPullAt = now + noRevisionPullInterval
	}
	domain := m.options.Self.Domain
	aloneInDomain := len(m.membersByDomain[domain]) < 2
	if n := len(m.otherDomains); n > 0 && (aloneInDomain || m.rng.IntN(2) == 0) {
		domain = m.otherDomains[m.rng.IntN(n)]
	}
	if p, ok := m.randomPeer(domain); ok {
		m.startPull(now, p.ID, m.newPull())
	}
}

func (m *Machine) receivePush(now time.Duration, from [16]byte, p Push) {
	answered := m.endPull(from, startupPullAnswered)
	if answered {
		m.peerAnswered = true
	}
	if !m.isRejectedRevision(p.Revision) {
		m.highestPeerRevision = max(m.highestPeerRevision, p.Revision)
	}
	defer m.pullHighest(now)
	switch {
	case m.hasRevision && p.Revision == m.revision:
		if p.Hash != m.hash {
			m.stats.Conflicts++
		}
		return
	case p.Revision < m.revision:
		m.stats.Stale++
		if answered && p.Revision > 0 {
			// The peer has a lower revision: send it the active one now, so that it does
			// not wait for its next pull.
			m.actions = append(m.actions, SendPush{To: from, Push: m.newAnnouncement()})
		}
		return
	case p.Revision == 0 || m.isRejectedText(p.Revision, p.Hash):
		m.removePeerAhead(from)
		return
	}
	sections, ok := m.assemble(p)
	if !ok {
		if answered && len(p.Sections) > 0 {
			m.stats.Corrupted++
			m.removePeerAhead(from)
			return
		}
		m.observeRevision(now, from, p.Revision)
		return
	}
	text, hash := joinSections(sections)
	if hash != p.Hash {
		m.stats.Corrupted++
		m.removePeerAhead(from)
		return
	}
	if !m.acceptRevision(now, p.Revision, sections, text, hash) {
		m.removePeerAhead(from)
	}
}

// assemble returns the sections of a manifest, from those received and those held. It
// returns false if one is missing or the text would be too long.
func (m *Machine) assemble(p Push) ([]Section, bool) {
	if len(p.Manifest) == 0 {
		return nil, false
	}
	byHash := make(map[Hash]Section, len(m.sections)+len(p.Sections))
	for _, s := range m.sections {
		byHash[s.Hash] = s
	}
	for _, s := range p.Sections {
		// newSection computes the hash from the data; the hash sent by the peer is not
		// trusted.
		section := newSection(s.Name, s.Data)
		byHash[section.Hash] = section
	}
	sections := make([]Section, len(p.Manifest))
	total := 0
	for i, ref := range p.Manifest {
		s, ok := byHash[ref.Hash]
		if total += len(s.Data); !ok || total > MaxTextBytes {
			return nil, false
		}
		s.Name = ref.Name
		sections[i] = s
	}
	return sections, true
}
