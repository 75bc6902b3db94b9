package membership

import (
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
	out     []Action
	stats   Stats
	started bool
	seq     uint64

	self    *member
	members map[Process]*member
	byAddr  map[netip.AddrPort]*member
	domains map[string]*domain
	// names are the names of the other domains in order.
	names      []string
	nextDomain int
	seeds      []netip.AddrPort
	tombstones []*member
	suspects   []*member

	lastTick   time.Duration
	nextProbe  time.Duration
	order      []*member
	orderIndex int
	probe      probe
	relays     []relay
	acked      [recentAcks]*member
	ackedNext  int

	queue     []*member
	urgent    []*member
	again     []*member // claims to be sent once more
	lastFlush time.Duration
	pressures [recentPressures]*member
	nextValue int

	sync       syncSession
	joined     bool
	staleUntil time.Duration
	pages      int
}

// Stats counts what the machine has done.
type Stats struct {
	Sent, Received, Invalid, FromDead uint64
	Suspicions, Deaths, Refutations   uint64
	Pauses, Syncs, Refused            uint64
}

// New returns the machine of an instance that has not yet joined its domain.
// rng must not be shared.
func New(o Options, rng *rand.Rand) *Machine {
	o = o.withDefaults()
	m := &Machine{
		opts:    o,
		rng:     rng,
		members: map[Process]*member{},
		byAddr:  map[netip.AddrPort]*member{},
		domains: map[string]*domain{},
		seeds:   slices.Clone(o.Seeds),
		pages:   maxPages,
	}
	m.self = m.insert(0, o.Self)
	m.out = nil
	return m
}

// Tick advances the machine. The driver calls it every 100 ms.
func (m *Machine) Tick(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.started, m.lastTick = true, now
	m.stepProbe(now)
	m.stepSuspects(now)
	m.stepTombstones(now)
	m.stepSync(now)
	m.repeat(now)
	m.flush(now, true)
	return m.take()
}

// Receive handles one authenticated datagram.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, msg Message) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.stats.Received++
	if !m.valid(&msg) {
		m.stats.Invalid++
		return m.take()
	}
	m.handle(now, from, &msg)
	m.flush(now, false)
	return m.take()
}

// Leave announces that this process leaves. It goes on answering, and never returns
// to alive.
func (m *Machine) Leave(now time.Duration) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.State != Leaving {
		m.setState(now, m.self, m.self.Incarnation.Refutation+1, Leaving)
		m.lastFlush = now - FlushInterval
		m.flush(now, true)
	}
	return m.take()
}

// SetSeeds replaces the addresses to join and rejoin through.
func (m *Machine) SetSeeds(seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = slices.Clone(seeds)
}

// SetValues sets the values that the instance reports about itself. It returns false
// and keeps the old values when pressure is longer than MaxPressure.
func (m *Machine) SetValues(now time.Duration, revision uint64, pressure []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(pressure) > MaxPressure {
		return false
	}
	m.self.Revision = revision
	m.self.Pressure = slices.Clone(pressure)
	m.self.valueAt = now
	return true
}

// Fresh reports whether the view can be relied on: the last tick is not older than
// the lease, and the view has been refreshed since the last pause or the refresh
// time has passed.
func (m *Machine) Fresh(now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now-m.lastTick <= m.opts.Lease && now >= m.staleUntil
}

// Joined reports whether the machine has fetched the view of a live member.
func (m *Machine) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Self returns the claim of this instance about itself.
func (m *Machine) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.Member
}

// Members returns the known members of a domain that are not dead, in the order of
// their processes.
func (m *Machine) Members(domain string) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.domains[domain]
	if d == nil {
		return nil
	}
	out := make([]Member, 0, len(d.live))
	for _, x := range d.members {
		if x.State != Dead {
			out = append(out, x.Member)
		}
	}
	return out
}

// Member returns the known claim about a process.
func (m *Machine) Member(p Process) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x := m.members[p]
	if x == nil {
		return Member{}, false
	}
	return x.Member, true
}

// Domains returns the known domains in order.
func (m *Machine) Domains() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := append([]string{m.self.Domain}, m.names...)
	slices.Sort(out)
	return out
}

// Reachable reports whether a member of the domain has answered recently. The own
// domain is always reachable.
func (m *Machine) Reachable(now time.Duration, domain string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if domain == m.self.Domain {
		return true
	}
	d := m.domains[domain]
	return d != nil && now-d.acked <= m.opts.UnreachableAge
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) send(to netip.AddrPort, msg Message) {
	m.stats.Sent++
	m.out = append(m.out, Send{To: to, Message: msg})
}

// advance notices that the process was paused: a view without a tick for longer than
// the lease may name members that are long gone.
func (m *Machine) advance(now time.Duration) {
	if !m.started || now-m.lastTick <= m.opts.Lease {
		return
	}
	gap := now - m.lastTick
	m.stats.Pauses++
	m.lastTick = now
	m.staleUntil = now + m.opts.RefreshTime
	m.out = append(m.out, Paused{For: gap})
	m.probe = probe{}
	m.relays = m.relays[:0]
	m.nextProbe = now
	for _, s := range m.suspects {
		s.suspicion = now + m.opts.SuspicionTime
	}
	for _, d := range m.domains {
		d.acked = now
		for _, x := range d.links {
			x.linkSent = now
		}
	}
	if gap > m.opts.TombstoneTime/2 {
		m.forget(now)
	}
	m.refresh(now)
}
