package membership

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Machine is the failure detector of one instance. It is safe for concurrent use.
type Machine struct {
	mu      sync.Mutex
	opts    Options
	rng     *rand.Rand
	actions []Action
	stats   Stats
	started bool
	// startedAt is the time of the first tick.
	startedAt time.Duration
	seq       uint64

	self    *memberState
	members map[Process]*memberState
	byAddr  map[netip.AddrPort]*memberState
	domains map[string]*domainState
	// otherDomains are the names of the other domains, sorted.
	otherDomains []string
	nextDomain   int
	seeds        []netip.AddrPort
	tombstones   []*memberState
	suspects     []*memberState

	lastTick     time.Duration
	nextProbe    time.Duration
	probeOrder   []*memberState
	probeIndex   int
	probe        probe
	relayedPings []relayedPing
	recentAckers [ackerHistorySize]*memberState
	nextAcker    int

	piggybackQueue  []*memberState
	urgentQueue     []*memberState
	pressurePending bool           // the local pressure has not been gossiped yet
	resendQueue     []*memberState // records that need another round of gossip
	lastFlush       time.Duration
	recentPressures [pressureHistorySize]*memberState
	nextPressure    int

	sync          syncSession
	joined        bool
	staleUntil    time.Duration
	syncPagesLeft int
}

// Stats are the counters of a Machine.
type Stats struct {
	Sent, Received, Invalid, FromDead uint64
	Suspicions, Deaths, Refutations   uint64
	Pauses, Syncs, Refused            uint64
}

// New returns the machine of an instance that has not joined its domain yet. rng must
// not be used elsewhere.
func New(opts Options, rng *rand.Rand) *Machine {
	opts = opts.withDefaults()
	m := &Machine{
		opts:          opts,
		rng:           rng,
		members:       map[Process]*memberState{},
		byAddr:        map[netip.AddrPort]*memberState{},
		domains:       map[string]*domainState{},
		seeds:         slices.Clone(opts.Seeds),
		syncPagesLeft: maxSyncPagesPerPeriod,
	}
	m.self = m.insertMember(0, opts.Self)
	m.actions = nil
	return m
}

// Tick advances the machine to the time now. The driver calls it every 100 ms.
func (m *Machine) Tick(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectPause(now)
	if !m.started {
		m.startedAt = now
	}
	m.started, m.lastTick = true, now
	m.pingSeedsAtStart(now)
	m.stepProbe(now)
	m.expireSuspects(now)
	m.expireTombstones(now)
	m.retrySync(now)
	m.requeueUrgent(now)
	m.flushUrgent(now, true)
	return m.takeActions()
}

// Receive handles one authenticated datagram.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, msg Message) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.detectPause(now)
	m.stats.Received++
	if !m.validMessage(&msg) {
		m.stats.Invalid++
		return m.takeActions()
	}
	m.handleMessage(now, from, &msg)
	m.flushUrgent(now, false)
	return m.takeActions()
}

// Leave announces that this process leaves. The machine continues to answer messages;
// its state never returns to Alive.
func (m *Machine) Leave(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State != Leaving {
		m.setState(now, m.self, m.self.Incarnation.Number+1, Leaving)
		m.lastFlush = now - MinGossipInterval
		m.flushUrgent(now, true)
	}
	return m.takeActions()
}

// SetSeeds replaces the addresses that are contacted to join and rejoin.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = slices.Clone(seeds)
}

// SetMetadata sets the metadata that the instance reports about itself. It returns
// false and keeps the previous metadata when pressure is longer than MaxPressureBytes.
// A pressure that is not empty is sent in the next round of urgent gossip: probes alone
// would reach a given member of a large domain only once a minute.
func (m *Machine) SetMetadata(now time.Duration, revision uint64, pressure []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(pressure) > MaxPressureBytes {
		return false
	}
	m.self.Revision = revision
	m.self.Pressure = slices.Clone(pressure)
	m.self.metadataAt = now
	m.pressurePending = len(pressure) > 0
	return true
}

// Fresh reports whether the view is up to date: the last tick is no older than
// Options.MaxTickGap, and since the last pause the view has been refreshed or
// Options.RefreshTimeout has passed.
func (m *Machine) Fresh(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now-m.lastTick <= m.opts.MaxTickGap && now >= m.staleUntil
}

// Joined reports whether the machine has fetched the view of its domain from a live
// member.
func (m *Machine) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Self returns this instance's record of itself.
func (m *Machine) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.Member
}

// Members returns the members of a domain that are not dead, sorted by process.
func (m *Machine) Members(domainName string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.domains[domainName]
	if d == nil {
		return nil
	}
	list := make([]Member, 0, len(d.live))
	for _, member := range d.members {
		if member.State != Dead {
			list = append(list, member.Member)
		}
	}
	return list
}

// Instances returns the number of instances of a domain that may be running or have been running
// within the period before now, including this one. Processes of the same name count once. A
// member that is dead without having announced its leave may be behind a partition and counts
// while its tombstone is kept. The result is 0 until this process has joined through a seed.
func (m *Machine) Instances(now time.Duration, domainName string, period time.Duration) int {
	return len(m.InstanceNames(now, domainName, period))
}

// InstanceNames returns the names of the instances that Instances counts, sorted.
func (m *Machine) InstanceNames(now time.Duration, domainName string, period time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.domains[domainName]
	if d == nil || !m.joined && len(m.opts.Seeds) > 0 {
		return nil
	}
	names := make(map[string]struct{}, len(d.members))
	for _, member := range d.members {
		if member.State == Dead && member.announcedLeave && now-member.stateSince > period {
			continue
		}
		names[member.Name] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

// Member returns the record of a process, and false if the process is unknown.
func (m *Machine) Member(p Process) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	member := m.members[p]
	if member == nil {
		return Member{}, false
	}
	return member.Member, true
}

// Domains returns the names of the known domains, sorted.
func (m *Machine) Domains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := append([]string{m.self.Domain}, m.otherDomains...)
	slices.Sort(names)
	return names
}

// Reachable reports whether a member of the domain has answered recently. The own
// domainName is always reachable.
func (m *Machine) Reachable(now time.Duration, domainName string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if domainName == m.self.Domain {
		return true
	}
	d := m.domains[domainName]
	return d != nil && now-d.lastAckAt <= m.opts.UnreachableTimeout
}

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

func (m *Machine) send(to netip.AddrPort, msg Message) {
	m.stats.Sent++
	m.actions = append(m.actions, Send{To: to, Message: msg})
}

// detectPause checks whether the process was paused. After a gap of more than
// Options.MaxTickGap the view may list members that have died in the meantime, so it is
// marked as stale and refreshed, and all timeouts start again.
func (m *Machine) detectPause(now time.Duration) {
	if !m.started || now-m.lastTick <= m.opts.MaxTickGap {
		return
	}
	gap := now - m.lastTick
	m.stats.Pauses++
	m.lastTick = now
	m.staleUntil = now + m.opts.RefreshTimeout
	m.actions = append(m.actions, Paused{Duration: gap})
	m.probe = probe{}
	m.relayedPings = m.relayedPings[:0]
	m.nextProbe = now
	for _, suspect := range m.suspects {
		suspect.suspicionDeadline = now + m.opts.SuspicionTimeout
	}
	for _, d := range m.domains {
		d.lastAckAt = now
		for _, target := range d.crossTargets {
			target.crossFirstPingAt = now
		}
	}
	if gap > m.opts.TombstoneRetention/2 {
		m.discardView(now)
	}
	m.refreshView(now)
}
