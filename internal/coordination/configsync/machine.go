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
	// MaxTextBytes is the maximum length of a text: the platform stores values up to 1 MB.
	MaxTextBytes = 1 << 20
	// ReadersPerDomain is the number of members of a failure domain that watch the
	// platform.
	ReadersPerDomain = 2
	// PeerPollInterval is the interval at which an instance polls a random peer.
	PeerPollInterval = 4 * time.Second
	// noRevisionPollInterval replaces PeerPollInterval while an instance has no revision.
	noRevisionPollInterval = time.Second
	// StartupTimeout is the time after which a newly started instance stops waiting for
	// outstanding answers of peers.
	StartupTimeout = 5 * time.Second
	// LongPollWait is the time for which a call may wait at the platform. With 3 s, the
	// 38 readers of 19 domains make 13 calls a second.
	LongPollWait = 3 * time.Second
	// maxRejections is the maximum number of remembered invalid revisions.
	maxRejections = 64
	// maxPendingPulls is the maximum number of pulls in flight.
	maxPendingPulls = 8
)

// Options configures a Machine.
type Options struct {
	Self Peer
	// Validate checks a text. Its result must depend on the text alone.
	Validate func(text []byte) error
}

// Machine synchronises the configuration of one instance. It is safe for concurrent
// use.
type Machine struct {
	mu      sync.Mutex
	opts    Options
	rng     *rand.Rand
	actions []Action
	stats   Stats

	started   bool
	startedAt time.Duration

	hasRevision bool
	revision    uint64
	sum         Sum
	sections    []Section
	rejections  []rejection

	otherDomains    []string
	membersByDomain map[string][]Peer // sorted by identifier
	readers         []Peer
	isReader        bool

	platformWatch       platformWatch
	pendingPulls        []pendingPull
	sources             []source
	nextPollAt          time.Duration
	startupQueries      map[[16]byte]queryState // peers queried for their revision since the start
	highestPeerRevision uint64                  // highest revision reported by peers, except known invalid ones
	ready               bool
	peerAnswered        bool
	platformAnswered    bool
}

// rejection is an invalid revision that was rejected.
type rejection struct {
	revision uint64
	sum      Sum
	reason   string
}

// Stats holds the event counters of a machine.
type Stats struct {
	Accepted, Invalid, Conflicts, Stale    uint64
	PlatformCalls, PlatformFailures        uint64
	Pulls, Pushes, SectionsKept, Corrupted uint64
}

// Status is the state of a machine as shown on the operations listener.
type Status struct {
	Ready    bool
	Revision uint64
	Sum      Sum
	Reader   bool
	// Invalid is the highest invalid revision that is remembered, InvalidReason why it was
	// rejected.
	Invalid       uint64
	InvalidReason string
	Stats         Stats
}

// New returns the machine of a newly started instance.
func New(o Options, rng *rand.Rand) *Machine {
	m := &Machine{opts: o, rng: rng, membersByDomain: map[string][]Peer{}, startupQueries: map[[16]byte]queryState{}}
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
	m.pollPeer(now)
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

// ReceivePush handles an announcement or the response to a pull.
func (m *Machine) ReceivePush(now time.Duration, from [16]byte, p Push) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ensureStarted(now)
	m.receivePush(now, from, p)
	m.updateReadiness(now)
	return m.takeActions()
}

// ReceivePull returns the response to the pull of a peer.
func (m *Machine) ReceivePull(now time.Duration, from [16]byte, p Pull) Push {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasRevision || p.Revision >= m.revision {
		return m.announcement()
	}
	answer := m.manifest()
	heldOrSent := make(map[Sum]bool, len(p.Have))
	for _, s := range p.Have {
		heldOrSent[s] = true
	}
	for _, s := range m.sections {
		if heldOrSent[s.Sum] {
			m.stats.SectionsKept++
			continue
		}
		heldOrSent[s.Sum] = true
		answer.Sections = append(answer.Sections, s)
	}
	m.stats.Pushes++
	return answer
}

// PullFailed handles a pull that the peer did not answer.
func (m *Machine) PullFailed(now time.Duration, from [16]byte) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endPull(from, queryFailed)
	m.removeSource(from)
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
	s := Status{Ready: m.ready, Revision: m.revision, Sum: m.sum, Reader: m.isReader, Stats: m.stats}
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
		m.nextPollAt = now + time.Duration(m.rng.Int64N(int64(PeerPollInterval)))
		m.platformWatch.nextCallAt = now + time.Duration(m.rng.Int64N(int64(startupSpread)))
	}
}

// acceptRevision validates a complete text and makes it active if its revision is higher
// than the active one. It reports whether this text is now active.
func (m *Machine) acceptRevision(now time.Duration, revision uint64, sections []Section, text []byte, sum Sum) bool {
	switch {
	case m.hasRevision && revision < m.revision:
		m.stats.Stale++
		return false
	case m.hasRevision && revision == m.revision:
		if sum != m.sum {
			m.stats.Conflicts++
		}
		return sum == m.sum
	case m.isRejectedText(revision, sum):
		return false
	}
	if reason := m.validationFailure(text); reason != "" {
		m.reject(revision, sum, reason)
		return false
	}
	m.hasRevision, m.revision, m.sum, m.sections = true, revision, sum, sections
	m.stats.Accepted++
	m.actions = append(m.actions, Accepted{Revision: revision, Text: bytes.Clone(text)})
	m.sources = slices.DeleteFunc(m.sources, func(s source) bool { return s.revision <= revision })
	m.announce()
	return true
}

func (m *Machine) validationFailure(text []byte) string {
	if len(text) > MaxTextBytes {
		return "text is longer than 1 MiB"
	}
	if err := m.opts.Validate(text); err != nil {
		return err.Error()
	}
	return ""
}

func (m *Machine) isRejectedText(revision uint64, sum Sum) bool {
	return slices.ContainsFunc(m.rejections, func(r rejection) bool { return r.revision == revision && r.sum == sum })
}

func (m *Machine) reject(revision uint64, sum Sum, reason string) {
	m.stats.Invalid++
	if len(m.rejections) >= maxRejections {
		m.rejections = m.rejections[1:]
	}
	m.rejections = append(m.rejections, rejection{revision, sum, reason})
	m.actions = append(m.actions, Rejected{Revision: revision, Sum: sum, Reason: reason})
}

// acceptPlatformText handles a text from the platform.
func (m *Machine) acceptPlatformText(now time.Duration, revision uint64, text []byte) bool {
	if m.hasRevision && revision < m.revision {
		m.stats.Stale++
		return false
	}
	return m.acceptRevision(now, revision, Split(text), text, sha256.Sum256(text))
}

// announcement returns a push that carries the number and hash of the active revision.
func (m *Machine) announcement() Push { return Push{Revision: m.revision, Sum: m.sum} }

// manifest returns a push that lists the sections of the active revision without their
// data.
func (m *Machine) manifest() Push {
	p := Push{Revision: m.revision, Sum: m.sum, Manifest: make([]SectionRef, len(m.sections))}
	for i, s := range m.sections {
		p.Manifest[i] = SectionRef{Name: s.Name, Sum: s.Sum, Size: len(s.Data)}
	}
	return p
}
