package configsync

import (
	"bytes"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// MaxTextBytes is the maximum length of a text, 1 MiB. It is above the limit of the
	// platform, which stores values of up to 1 MB.
	MaxTextBytes = 1 << 20
	// ReadersPerDomain is the number of members of a failure domain that watch the
	// platform.
	ReadersPerDomain = 2
	// PeerPullInterval is the interval at which an instance pulls from a random peer.
	PeerPullInterval = 4 * time.Second
	// noRevisionPullInterval replaces PeerPullInterval while an instance has no revision.
	noRevisionPullInterval = time.Second
	// StartupTimeout is the time after which a newly started instance stops waiting for
	// outstanding answers of peers. To become ready it still needs a revision, and an answer
	// of a peer or a response of the platform.
	StartupTimeout = 5 * time.Second
	// LongPollWait is the time for which a call may wait at the platform. With 3 s, the
	// readers of the planned 19 domains, two in each, together make 13 calls a second.
	LongPollWait = 3 * time.Second
	// maxRejections is the maximum number of remembered rejections.
	maxRejections = 64
	// maxPendingPulls is the maximum number of pulls in flight.
	maxPendingPulls = 8
)

// Options configures a Machine.
type Options struct {
	Self Peer // this instance
	// Validate checks a text. Its result must depend on the text alone.
	Validate func(text []byte) error
}

// Machine synchronises the configuration of one instance. It is safe for concurrent
// use. The package comment defines its terms and the clock of the now parameters.
type Machine struct {
	mu      sync.Mutex
	options Options
	rng     *rand.Rand
	actions []Action
	stats   Stats

	started   bool
	startedAt time.Duration

	hasRevision bool
	revision    uint64
	hash        Hash
	sections    []Section
	rejections  []rejection

	otherDomains    []string
	membersByDomain map[string][]Peer // sorted by identifier
	readers         []Peer
	isReader        bool

	platformWatch       platformWatch
	pendingPulls        []pendingPull
	peersAhead          []peerAhead // peers that hold a higher revision than the active one
	nextPullAt          time.Duration
	startupPulls        map[[16]byte]startupPullState // pulls sent at startup, by peer
	highestPeerRevision uint64                        // highest revision reported by peers; reports of a rejected revision are ignored
	ready               bool
	peerAnswered        bool
	platformResponded   bool
}

// rejection is a revision whose text failed validation.
type rejection struct {
	revision uint64
	hash     Hash
	reason   string
}

// Stats holds the event counters of a machine.
type Stats struct {
	Accepted         uint64 // revisions that became active
	Invalid          uint64 // revisions that were rejected; a count, unlike Status.Invalid
	Conflicts        uint64 // revisions received with the number of the active one and a different hash
	Stale            uint64 // revisions received that are lower than the active one
	PlatformCalls    uint64 // calls to the platform
	PlatformFailures uint64 // calls to the platform that failed or timed out
	Pulls            uint64 // pulls sent to peers
	Pushes           uint64 // answers to pulls that carried a manifest
	SectionsKept     uint64 // sections left out of an answer: the requester has them or the answer already does
	Corrupted        uint64 // pushes whose assembled text is incomplete or does not match its hash
}

// Status is the state of a machine as shown on the operations listener.
type Status struct {
	Ready    bool
	Revision uint64 // number of the active revision, 0 if there is none
	Hash     Hash   `json:"Sum"` // hash of the active text
	Reader   bool   // whether this instance is a reader
	// Invalid is the number of the highest remembered revision that was rejected, and
	// InvalidReason why it was rejected.
	Invalid       uint64
	InvalidReason string
	Stats         Stats
}

// New returns the machine of a newly started instance.
func New(options Options, rng *rand.Rand) *Machine {
	m := &Machine{options: options, rng: rng, membersByDomain: map[string][]Peer{}, startupPulls: map[[16]byte]startupPullState{}}
	m.setMembers(nil)
	return m
}

// Tick advances the machine to the given time. The driver calls it every 100 ms.
func (m *Machine) Tick(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted(now)
	m.expirePulls(now)
	m.advanceWatch(now)
	m.pullFromRandomPeer(now)
	m.updateReadiness(now)
	return m.takeActions()
}

// SetMembers replaces the list of live members, which may include this instance.
func (m *Machine) SetMembers(now time.Duration, members []Peer) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setMembers(members)
	m.ensureStarted(now)
	m.advanceWatch(now)
	return m.takeActions()
}

// ObserveRevision records that a revision is active at a peer, as reported in a message of
// the failure detector.
func (m *Machine) ObserveRevision(now time.Duration, from [16]byte, revision uint64) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted(now)
	m.observeRevision(now, from, revision)
	return m.takeActions()
}

// ReceivePush handles an announcement or the answer to a pull.
func (m *Machine) ReceivePush(now time.Duration, from [16]byte, p Push) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted(now)
	m.receivePush(now, from, p)
	m.updateReadiness(now)
	return m.takeActions()
}

// ReceivePull returns the answer to the pull of a peer: the manifest and the sections that the
// peer lacks, or an announcement if this instance has no higher revision.
func (m *Machine) ReceivePull(now time.Duration, from [16]byte, p Pull) Push {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasRevision || p.Revision >= m.revision {
		return m.newAnnouncement()
	}
	answer := m.newManifestPush()
	heldOrSent := make(map[Hash]bool, len(p.Have))
	for _, s := range p.Have {
		heldOrSent[s] = true
	}
	for _, s := range m.sections {
		if heldOrSent[s.Hash] {
			m.stats.SectionsKept++
			continue
		}
		heldOrSent[s.Hash] = true
		answer.Sections = append(answer.Sections, s)
	}
	m.stats.Pushes++
	return answer
}

// PullFailed handles a pull that the peer did not answer.
func (m *Machine) PullFailed(now time.Duration, from [16]byte) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endPull(from, startupPullFailed)
	m.removePeerAhead(from)
	m.pullHighest(now)
	m.updateReadiness(now)
	return m.takeActions()
}

// ReceivePlatformResult handles the outcome of the platform call with the given ID.
func (m *Machine) ReceivePlatformResult(now time.Duration, id uint64, r Result) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receivePlatformResult(now, id, r)
	m.updateReadiness(now)
	return m.takeActions()
}

// Ready reports whether the instance may serve. Once true, it stays true.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// Current returns the active revision and its text, or false if there is none.
func (m *Machine) Current() (uint64, []byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, _ := joinSections(m.sections)
	return m.revision, text, m.hasRevision
}

// Status returns the current state of the machine.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Ready: m.ready, Revision: m.revision, Hash: m.hash, Reader: m.isReader, Stats: m.stats}
	for _, r := range m.rejections {
		if r.revision >= s.Invalid {
			s.Invalid, s.InvalidReason = r.revision, r.reason
		}
	}
	return s
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) ensureStarted(now time.Duration) {
	if !m.started {
		m.started, m.startedAt = true, now
		m.nextPullAt = now + time.Duration(m.rng.Int64N(int64(PeerPullInterval)))
		m.platformWatch.nextCallAt = now + time.Duration(m.rng.Int64N(int64(startupJitter)))
	}
}

// acceptRevision validates a complete text and makes it active if its revision is higher
// than the active one. It reports whether this text is now active.
func (m *Machine) acceptRevision(now time.Duration, revision uint64, sections []Section, text []byte, hash Hash) bool {
	switch {
	case m.hasRevision && revision < m.revision:
		m.stats.Stale++
		return false
	case m.hasRevision && revision == m.revision:
		if hash != m.hash {
			m.stats.Conflicts++
		}
		return hash == m.hash
	case m.isRejectedText(revision, hash):
		return false
	}
	if reason := m.validationFailure(text); reason != "" {
		m.reject(revision, hash, reason)
		return false
	}
	m.hasRevision, m.revision, m.hash, m.sections = true, revision, hash, sections
	m.stats.Accepted++
	m.actions = append(m.actions, Accepted{Revision: revision, Text: bytes.Clone(text)})
	m.peersAhead = slices.DeleteFunc(m.peersAhead, func(s peerAhead) bool { return s.revision <= revision })
	m.announce()
	return true
}

func (m *Machine) validationFailure(text []byte) string {
	if len(text) > MaxTextBytes {
		return "text is longer than 1 MiB"
	}
	if err := m.options.Validate(text); err != nil {
		return err.Error()
	}
	return ""
}

func (m *Machine) isRejectedText(revision uint64, hash Hash) bool {
	return slices.ContainsFunc(m.rejections, func(r rejection) bool { return r.revision == revision && r.hash == hash })
}

func (m *Machine) reject(revision uint64, hash Hash, reason string) {
	m.stats.Invalid++
	if len(m.rejections) >= maxRejections {
		m.rejections = m.rejections[1:]
	}
	m.rejections = append(m.rejections, rejection{revision, hash, reason})
	m.actions = append(m.actions, Rejected{Revision: revision, Hash: hash, Reason: reason})
}

// receivePlatformText handles a text from the platform, which may be stale or be rejected. It
// reports whether this text is now active. It checks for a stale revision before
// acceptRevision does, to avoid splitting and hashing the text.
func (m *Machine) receivePlatformText(now time.Duration, revision uint64, text []byte) bool {
	if m.hasRevision && revision < m.revision {
		m.stats.Stale++
		return false
	}
	return m.acceptRevision(now, revision, Split(text), text, sha256.Sum256(text))
}

// newAnnouncement returns a push that carries only the number and hash of the active revision.
// It is sent unrequested, or as the answer to a pull when this instance has no higher revision.
func (m *Machine) newAnnouncement() Push { return Push{Revision: m.revision, Hash: m.hash} }

// newManifestPush returns a push that lists the sections of the active revision without their
// data. ReceivePull adds the data of the sections that the requester lacks.
func (m *Machine) newManifestPush() Push {
	p := Push{Revision: m.revision, Hash: m.hash, Manifest: make([]SectionRef, len(m.sections))}
	for i, s := range m.sections {
		p.Manifest[i] = SectionRef{Name: s.Name, Hash: s.Hash, Size: len(s.Data)}
	}
	return p
}
