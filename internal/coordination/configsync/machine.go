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
	// MaxText is the largest text in bytes: the platform holds values up to 1 MB.
	MaxText = 1 << 20
	// ReadersPerDomain is the number of instances of a domain that watch the platform.
	ReadersPerDomain = 2
	// PollInterval is the time after which an instance asks a random peer.
	PollInterval = 4 * time.Second
	// emptyPollInterval is that time for an instance without any revision.
	emptyPollInterval = time.Second
	// StartTime is the time after which a fresh instance does not wait for the rest.
	StartTime = 5 * time.Second
	// WatchWait is the time for which a call may wait at the platform: 13 calls a
	// second from the 38 readers of 19 domains.
	WatchWait = 3 * time.Second
	// maxRejected bounds the remembered invalid revisions.
	maxRejected = 64
	// maxPulls bounds the pulls in flight.
	maxPulls = 8
)

// Options configure a Machine.
type Options struct {
	Self Peer
	// Validate checks a text. It must be a pure function of the text.
	Validate func(text []byte) error
}

// Machine synchronises the configuration of one instance. It is safe for concurrent
// use.
type Machine struct {
	mu    sync.Mutex
	opts  Options
	rng   *rand.Rand
	out   []Action
	stats Stats

	started   bool
	startedAt time.Duration

	accepted bool
	revision uint64
	sum      Sum
	sections []Section
	rejected []rejection

	domains []string
	members map[string][]Peer // by domain, in the order of identifiers
	readers []Peer
	reading bool

	watch     watch
	pulls     []pull
	sources   []source
	nextPoll  time.Duration
	asked     map[[16]byte]askState // fresh: peers asked for their revision
	wanted    uint64                // the highest revision that peers are known to hold
	ready     bool
	heardPeer bool
	heardPlat bool
}

// rejection remembers an invalid revision.
type rejection struct {
	revision uint64
	sum      Sum
	reason   string
}

// Stats counts what the machine has done.
type Stats struct {
	Accepted, Invalid, Conflicts, Stale    uint64
	PlatformCalls, PlatformFailures        uint64
	Pulls, Pushes, SectionsKept, Corrupted uint64
}

// Status describes the machine, for the operations listener.
type Status struct {
	Ready    bool
	Revision uint64
	Sum      Sum
	Reader   bool
	// Invalid is the highest revision that was refused, with the reason.
	Invalid       uint64
	InvalidReason string
	Stats         Stats
}

// New returns the machine of a fresh instance.
func New(o Options, rng *rand.Rand) *Machine {
	m := &Machine{opts: o, rng: rng, members: map[string][]Peer{}, asked: map[[16]byte]askState{}}
	m.setMembers(nil)
	return m
}

// Tick advances the machine. The driver calls it every 100 ms.
func (m *Machine) Tick(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start(now)
	m.stepPulls(now)
	m.stepWatch(now)
	m.stepPoll(now)
	m.stepReady(now)
	return m.take()
}

// SetMembers replaces the live members. The own instance may be among them.
func (m *Machine) SetMembers(now time.Duration, members []Peer) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setMembers(members)
	m.start(now)
	m.stepWatch(now)
	return m.take()
}

// Observe tells the machine that a peer has a revision in force, as seen in a
// message of the failure detector.
func (m *Machine) Observe(now time.Duration, from [16]byte, revision uint64) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start(now)
	m.observe(now, from, revision)
	return m.take()
}

// ReceivePush handles an announcement or the answer to a pull.
func (m *Machine) ReceivePush(now time.Duration, from [16]byte, p Push) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start(now)
	m.receivePush(now, from, p)
	m.stepReady(now)
	return m.take()
}

// ReceivePull answers the pull of a peer.
func (m *Machine) ReceivePull(now time.Duration, from [16]byte, p Pull) Push {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepted || p.Revision >= m.revision {
		return m.head()
	}
	answer := m.manifest()
	have := make(map[Sum]bool, len(p.Have))
	for _, s := range p.Have {
		have[s] = true
	}
	for _, s := range m.sections {
		if have[s.Sum] {
			m.stats.SectionsKept++
			continue
		}
		have[s.Sum] = true
		answer.Sections = append(answer.Sections, s)
	}
	m.stats.Pushes++
	return answer
}

// PullFailed reports that a peer did not answer a pull.
func (m *Machine) PullFailed(now time.Duration, from [16]byte) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endPull(from, askFailed)
	m.dropSource(from)
	m.pullNext(now)
	m.stepReady(now)
	return m.take()
}

// PlatformAnswer handles the outcome of the call with the same ID.
func (m *Machine) PlatformAnswer(now time.Duration, id uint64, r Result) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.platformAnswer(now, id, r)
	m.stepReady(now)
	return m.take()
}

// Ready reports whether the instance may serve. It stays true.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready
}

// Current returns the revision in force and its text; false when there is none.
func (m *Machine) Current() (uint64, []byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, _ := join(m.sections)
	return m.revision, text, m.accepted
}

// Status returns a description of the machine.
func (m *Machine) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Status{Ready: m.ready, Revision: m.revision, Sum: m.sum, Reader: m.reading, Stats: m.stats}
	for _, r := range m.rejected {
		if r.revision >= s.Invalid {
			s.Invalid, s.InvalidReason = r.revision, r.reason
		}
	}
	return s
}

func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) start(now time.Duration) {
	if !m.started {
		m.started, m.startedAt = true, now
		m.nextPoll = now + time.Duration(m.rng.Int64N(int64(PollInterval)))
		m.watch.at = now + time.Duration(m.rng.Int64N(int64(freshSpread)))
	}
}

// offer considers a whole text. It returns false when the text is refused.
func (m *Machine) offer(now time.Duration, revision uint64, sections []Section, text []byte, sum Sum) bool {
	switch {
	case m.accepted && revision < m.revision:
		m.stats.Stale++
		return false
	case m.accepted && revision == m.revision:
		if sum != m.sum {
			m.stats.Conflicts++
		}
		return sum == m.sum
	case m.isRejected(revision, sum):
		return false
	}
	if reason := m.invalid(text); reason != "" {
		m.reject(revision, sum, reason)
		return false
	}
	m.accepted, m.revision, m.sum, m.sections = true, revision, sum, sections
	m.stats.Accepted++
	m.out = append(m.out, Accepted{Revision: revision, Text: bytes.Clone(text)})
	m.sources = slices.DeleteFunc(m.sources, func(s source) bool { return s.revision <= revision })
	m.announce()
	return true
}

func (m *Machine) invalid(text []byte) string {
	if len(text) > MaxText {
		return "text is longer than 1 MiB"
	}
	if err := m.opts.Validate(text); err != nil {
		return err.Error()
	}
	return ""
}

func (m *Machine) isRejected(revision uint64, sum Sum) bool {
	return slices.ContainsFunc(m.rejected, func(r rejection) bool { return r.revision == revision && r.sum == sum })
}

func (m *Machine) reject(revision uint64, sum Sum, reason string) {
	m.stats.Invalid++
	if len(m.rejected) >= maxRejected {
		m.rejected = m.rejected[1:]
	}
	m.rejected = append(m.rejected, rejection{revision, sum, reason})
	m.out = append(m.out, Rejected{Revision: revision, Sum: sum, Reason: reason})
}

// offerText considers a text of the platform.
func (m *Machine) offerText(now time.Duration, revision uint64, text []byte) bool {
	if m.accepted && revision < m.revision {
		m.stats.Stale++
		return false
	}
	return m.offer(now, revision, Split(text), text, sha256.Sum256(text))
}

// head names the revision in force.
func (m *Machine) head() Push { return Push{Revision: m.revision, Sum: m.sum} }

// manifest names the sections of the revision in force.
func (m *Machine) manifest() Push {
	p := Push{Revision: m.revision, Sum: m.sum, Manifest: make([]SectionRef, len(m.sections))}
	for i, s := range m.sections {
		p.Manifest[i] = SectionRef{Name: s.Name, Sum: s.Sum, Size: len(s.Data)}
	}
	return p
}
