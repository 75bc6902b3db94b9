package configsync

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pullTimeout is the time after which an unanswered pull counts as failed.
	pullTimeout = 2 * time.Second
	// announceRandom is the number of random members that an announcement goes to,
	// beside the two neighbours.
	announceRandom = 3
	// announceDomains is the number of other domains that an announcement goes to.
	announceDomains = 4
	// maxSources bounds the peers that are remembered to hold a higher revision.
	maxSources = 8
	// freshRandom is the number of random members that a fresh instance asks, beside
	// the readers.
	freshRandom = 2
)

// askState is the state of a question that a fresh instance asked a peer.
type askState uint8

const (
	askWaiting askState = iota + 1
	askAnswered
	askFailed
)

// maxAsked bounds the peers that a fresh instance asks when many do not answer.
const maxAsked = 32

// pull is a request in flight.
type pull struct {
	to       [16]byte
	deadline time.Duration
}

// source is a peer that holds a revision above the own one.
type source struct {
	id       [16]byte
	revision uint64
}

func comparePeer(a, b Peer) int { return bytes.Compare(a.ID[:], b.ID[:]) }

func (m *Machine) setMembers(members []Peer) {
	m.members = map[string][]Peer{m.opts.Self.Domain: {m.opts.Self}}
	m.domains = nil
	for _, p := range members {
		if p.ID != m.opts.Self.ID {
			m.members[p.Domain] = append(m.members[p.Domain], p)
		}
	}
	for name, list := range m.members {
		slices.SortFunc(list, comparePeer)
		m.members[name] = slices.CompactFunc(list, func(a, b Peer) bool { return a.ID == b.ID })
		if name != m.opts.Self.Domain {
			m.domains = append(m.domains, name)
		}
	}
	slices.Sort(m.domains)
	m.readers = Readers(m.opts.Self.Domain, m.members[m.opts.Self.Domain])
	m.reading = slices.ContainsFunc(m.readers, func(p Peer) bool { return p.ID == m.opts.Self.ID })
}

// Readers returns the members of a domain that watch the platform: those with the
// highest rendezvous hash. Views that differ for a moment yield a reader more or
// less, which is harmless.
func Readers(domain string, members []Peer) []Peer {
	sorted := slices.Clone(members)
	hash := func(p Peer) uint64 { return xxhash.Sum64(append([]byte(domain+"\x00"), p.ID[:]...)) }
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Or(cmp.Compare(hash(b), hash(a)), comparePeer(a, b)) })
	return sorted[:min(ReadersPerDomain, len(sorted))]
}

// randomPeer returns a random other member of the domain.
func (m *Machine) randomPeer(domain string) (Peer, bool) {
	list := m.members[domain]
	n := len(list)
	if n == 0 {
		return Peer{}, false
	}
	p := list[m.rng.IntN(n)]
	if p.ID == m.opts.Self.ID {
		p = list[m.rng.IntN(n)]
	}
	return p, p.ID != m.opts.Self.ID
}

// announce tells some peers of the revision in force.
func (m *Machine) announce() {
	var sent [][16]byte
	add := func(p Peer) {
		if p.ID != m.opts.Self.ID && !slices.Contains(sent, p.ID) {
			sent = append(sent, p.ID)
			m.out = append(m.out, SendPush{To: p.ID, Push: m.head()})
		}
	}
	own := m.members[m.opts.Self.Domain]
	if i := slices.IndexFunc(own, func(p Peer) bool { return p.ID == m.opts.Self.ID }); i >= 0 {
		add(own[(i+1)%len(own)])
		add(own[(i+len(own)-1)%len(own)])
	}
	for range announceRandom {
		if p, ok := m.randomPeer(m.opts.Self.Domain); ok {
			add(p)
		}
	}
	if n := len(m.domains); n > 0 {
		first := m.rng.IntN(n)
		for i := range min(announceDomains, n) {
			if p, ok := m.randomPeer(m.domains[(first+i)%n]); ok {
				add(p)
			}
		}
	}
}

// observe remembers a peer that holds a higher revision, and pulls from it.
func (m *Machine) observe(now time.Duration, from [16]byte, revision uint64) {
	if m.accepted && revision <= m.revision || revision == 0 || m.isKnownInvalid(revision) {
		return
	}
	m.wanted = max(m.wanted, revision)
	m.dropSource(from)
	if len(m.sources) >= maxSources {
		lowest := slices.MinFunc(m.sources, func(a, b source) int { return cmp.Compare(a.revision, b.revision) })
		if lowest.revision >= revision {
			return
		}
		m.dropSource(lowest.id)
	}
	m.sources = append(m.sources, source{from, revision})
	m.pullNext(now)
}

// isKnownInvalid reports whether a revision was refused under any hash. Its peers
// are not asked for it; a higher one will come.
func (m *Machine) isKnownInvalid(revision uint64) bool {
	return slices.ContainsFunc(m.rejected, func(r rejection) bool { return r.revision == revision })
}

func (m *Machine) dropSource(id [16]byte) {
	m.sources = slices.DeleteFunc(m.sources, func(s source) bool { return s.id == id })
}

// pullNext pulls the highest known revision. A revision is pulled from one peer at a
// time: two answers would carry the same bytes.
func (m *Machine) pullNext(now time.Duration) {
	if len(m.sources) == 0 {
		return
	}
	best := slices.MaxFunc(m.sources, func(a, b source) int { return cmp.Compare(a.revision, b.revision) })
	for _, p := range m.pulls {
		for _, s := range m.sources {
			if p.to == s.id && s.revision >= best.revision {
				return
			}
		}
	}
	m.startPull(now, best.id, m.request())
}

// request returns the pull for whatever is newer.
func (m *Machine) request() Pull {
	p := Pull{Revision: m.revision, Sum: m.sum, Have: make([]Sum, len(m.sections))}
	for i, s := range m.sections {
		p.Have[i] = s.Sum
	}
	return p
}

func (m *Machine) startPull(now time.Duration, to [16]byte, p Pull) bool {
	if len(m.pulls) >= maxPulls || slices.ContainsFunc(m.pulls, func(p pull) bool { return p.to == to }) {
		return false
	}
	m.stats.Pulls++
	m.pulls = append(m.pulls, pull{to: to, deadline: now + pullTimeout})
	m.out = append(m.out, SendPull{To: to, Pull: p})
	return true
}

// endPull forgets a pull, answered or failed.
func (m *Machine) endPull(from [16]byte, outcome askState) bool {
	n := len(m.pulls)
	m.pulls = slices.DeleteFunc(m.pulls, func(p pull) bool { return p.to == from })
	if m.asked[from] == askWaiting {
		m.asked[from] = outcome
	}
	return len(m.pulls) < n
}

func (m *Machine) stepPulls(now time.Duration) {
	for _, p := range slices.Clone(m.pulls) {
		if now >= p.deadline {
			m.endPull(p.to, askFailed)
			m.dropSource(p.to)
		}
	}
	m.pullNext(now)
}

// stepPoll asks one random peer, every second time in another domain.
func (m *Machine) stepPoll(now time.Duration) {
	if now < m.nextPoll {
		return
	}
	m.nextPoll = now + PollInterval
	if !m.accepted {
		m.nextPoll = now + emptyPollInterval
	}
	domain := m.opts.Self.Domain
	alone := len(m.members[domain]) < 2
	if n := len(m.domains); n > 0 && (alone || m.rng.IntN(2) == 0) {
		domain = m.domains[m.rng.IntN(n)]
	}
	if p, ok := m.randomPeer(domain); ok {
		m.startPull(now, p.ID, m.request())
	}
}

func (m *Machine) receivePush(now time.Duration, from [16]byte, p Push) {
	answered := m.endPull(from, askAnswered)
	if answered {
		m.heardPeer = true
	}
	if !m.isKnownInvalid(p.Revision) {
		m.wanted = max(m.wanted, p.Revision)
	}
	defer m.pullNext(now)
	switch {
	case m.accepted && p.Revision == m.revision:
		if p.Sum != m.sum {
			m.stats.Conflicts++
		}
		return
	case p.Revision < m.revision:
		m.stats.Stale++
		if answered && p.Revision > 0 {
			// The peer is behind: it learns so instead of waiting for its own poll.
			m.out = append(m.out, SendPush{To: from, Push: m.head()})
		}
		return
	case p.Revision == 0 || m.isRejected(p.Revision, p.Sum):
		m.dropSource(from)
		return
	}
	sections, ok := m.assemble(p)
	if !ok {
		if answered && len(p.Sections) > 0 {
			m.stats.Corrupted++
			m.dropSource(from)
			return
		}
		m.observe(now, from, p.Revision)
		return
	}
	text, sum := join(sections)
	if sum != p.Sum {
		m.stats.Corrupted++
		m.dropSource(from)
		return
	}
	if !m.offer(now, p.Revision, sections, text, sum) {
		m.dropSource(from)
	}
}

// assemble completes a manifest from the sections that came and those held.
func (m *Machine) assemble(p Push) ([]Section, bool) {
	if len(p.Manifest) == 0 {
		return nil, false
	}
	bySum := make(map[Sum]Section, len(m.sections)+len(p.Sections))
	for _, s := range m.sections {
		bySum[s.Sum] = s
	}
	for _, s := range p.Sections {
		// The sum is computed here: a peer's own figure proves nothing.
		c := newSection(s.Name, s.Data)
		bySum[c.Sum] = c
	}
	out := make([]Section, len(p.Manifest))
	total := 0
	for i, ref := range p.Manifest {
		s, ok := bySum[ref.Sum]
		if total += len(s.Data); !ok || total > MaxText {
			return nil, false
		}
		s.Name = ref.Name
		out[i] = s
	}
	return out, true
}
