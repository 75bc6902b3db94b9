package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSuspicionBackoff is the largest exponent of the time in which a member that keeps
// refuting is not suspected again: at most 1 s << 5 = 32 s.
const maxSuspicionBackoff = 5

// memberState is the record of a member with the local state about it.
type memberState struct {
	Member
	domain             *domainState
	liveIndex          int           // index in domain.live, -1 when dead
	metadataAt         time.Duration // when the member reported its metadata
	lastAckAt          time.Duration
	stateSince         time.Duration
	suspicionDeadline  time.Duration // when the suspect is declared dead, 0 without a suspicion
	lastRelay          *memberState  // the relay whose ping the member answered last
	suspicionBackoff   int           // exponent of the next noSuspicionUntil interval
	noSuspicionUntil   time.Duration
	crossExcludedUntil time.Duration // not chosen as a cross-domain target before this time
	crossFirstPingAt   time.Duration // first ping as a cross-domain target, 0 before it
	crossPingSeq       uint64
	piggybacksLeft     int
	urgentRoundsLeft   int
	inPiggybackQueue   bool
	inUrgentQueue      bool
	announcedLeave     bool // reconnect does not try its address any more
}

// domainState is the view of one failure domain.
type domainState struct {
	name              string
	members           []*memberState // sorted by process, tombstones included
	live              []*memberState // not dead, unordered
	digest            uint64
	lastAckAt         time.Duration
	digestMismatches  int
	lastSyncAt        time.Duration
	everSynced        bool
	crossTargets      []*memberState
	crossTargetsStale bool // crossTargets must be chosen again
}

// memberDigest hashes what all members must agree on: process, incarnation number and
// whether it leaves. Suspicions are transient and not included; a dead member hashes
// to zero, like an absent one.
func memberDigest(record Member) uint64 {
	if record.State == Dead {
		return 0
	}
	var buf [21]byte
	copy(buf[:], record.Incarnation.Process[:])
	binary.LittleEndian.PutUint32(buf[16:], record.Incarnation.Number)
	if record.State == Leaving {
		buf[20] = 1
	}
	return xxhash.Sum64(buf[:])
}

func compareProcess(member *memberState, p Process) int { return member.Incarnation.Process.Compare(p) }

// ensureDomain returns the view of a domain and creates it if it is not known.
func (m *Machine) ensureDomain(now time.Duration, name string) *domainState {
	d := m.domains[name]
	if d == nil {
		d = &domainState{name: name, lastAckAt: now}
		m.domains[name] = d
		if m.self != nil && name != m.self.Domain {
			m.otherDomains = append(m.otherDomains, name)
			slices.Sort(m.otherDomains)
		}
	}
	return d
}

// insertMember adds a process that is not in the table. It returns nil when the table is
// full of members that are not dead.
func (m *Machine) insertMember(now time.Duration, record Member) *memberState {
	if len(m.members) >= MaxMembers && !m.evictTombstone() {
		m.stats.Refused++
		return nil
	}
	d := m.ensureDomain(now, record.Domain)
	member := &memberState{Member: record, domain: d, liveIndex: -1, stateSince: now, lastAckAt: -time.Hour, metadataAt: now - record.PressureAge}
	member.Pressure = slices.Clone(record.Pressure)
	m.members[record.Incarnation.Process] = member
	i, _ := slices.BinarySearchFunc(d.members, record.Incarnation.Process, compareProcess)
	d.members = slices.Insert(d.members, i, member)
	if m.self != nil && d == m.self.domain {
		// A random position keeps the time until the first probe uniformly distributed.
		m.probeOrder = slices.Insert(m.probeOrder, m.rng.IntN(len(m.probeOrder)+1), member)
	}
	member.State = 0
	m.setState(now, member, record.Incarnation.Number, record.State)
	return member
}

// setState changes the state or the incarnation number of a member and queues the
// record for sending.
func (m *Machine) setState(now time.Duration, member *memberState, number uint32, state State) {
	previous, d := member.State, member.domain
	if previous != 0 {
		d.digest ^= memberDigest(member.Member)
	}
	member.Incarnation.Number, member.State, member.stateSince = number, state, now
	d.digest ^= memberDigest(member.Member)
	d.crossTargetsStale = true
	member.suspicionDeadline = 0 // a deadline applies only to the record that set it
	m.updateLiveSets(member)
	if previous == Leaving || state == Leaving {
		member.announcedLeave = true
	}
	switch state {
	case Suspect:
		m.startSuspicion(now, member)
	case Dead:
		m.stats.Deaths++
		m.tombstones = append(m.tombstones, member)
	}
	if previous != 0 || state != Dead {
		m.actions = append(m.actions, StateChanged{Member: member.Member, Previous: previous})
	}
	m.enqueueUpdate(member)
}

// updateLiveSets updates domain.live and byAddr after a change of the member's state.
func (m *Machine) updateLiveSets(member *memberState) {
	d := member.domain
	switch {
	case member.State == Dead && member.liveIndex >= 0:
		last := d.live[len(d.live)-1]
		d.live[member.liveIndex], last.liveIndex = last, member.liveIndex
		d.live[len(d.live)-1] = nil
		d.live = d.live[:len(d.live)-1]
		member.liveIndex = -1
		if m.byAddr[member.UDP] == member {
			delete(m.byAddr, member.UDP)
		}
	case member.State != Dead && member.liveIndex < 0:
		member.liveIndex = len(d.live)
		d.live = append(d.live, member)
		m.byAddr[member.UDP] = member
	}
}

func (m *Machine) startSuspicion(now time.Duration, member *memberState) {
	member.suspicionDeadline = now + m.opts.SuspicionTimeout
	if member.domain == m.self.domain && !slices.Contains(m.suspects, member) {
		m.suspects = append(m.suspects, member)
	}
}

// applyUpdate merges a record received from a peer. authorityAddr is the address of the
// sender, which is authoritative about it: a process knows for certain that an earlier
// process at its own address has ended.
func (m *Machine) applyUpdate(now time.Duration, update Member, authorityAddr netip.AddrPort) {
	p := update.Incarnation.Process
	if p == m.self.Incarnation.Process {
		m.refute(now, update)
		return
	}
	if update.UDP == m.self.UDP && update.State != Dead {
		update.State, authorityAddr = Dead, update.UDP
	}
	if update.State == Suspect && update.Domain != m.self.Domain {
		// The member's own domain decides on its death. A suspicion whose originator
		// has died would never be refuted here, because the member is not told of it.
		update.State = Alive
	}
	member := m.members[p]
	if member == nil {
		m.insertMember(now, update)
		return
	}
	if !overrides(update.Incarnation.Number, update.State, member.Incarnation.Number, member.State) {
		return
	}
	if update.State == Dead && !m.acceptsDeath(now, member, update, authorityAddr) {
		if member.State == Suspect && member.Incarnation.Number == update.Incarnation.Number {
			return
		}
		update.State = Suspect
	}
	refuted := update.Incarnation.Number > member.Incarnation.Number && (member.State == Suspect || member.State == Dead)
	if refuted && update.State == Alive {
		m.backOffSuspicion(now, member)
	}
	m.setState(now, member, update.Incarnation.Number, update.State)
}

// acceptsDeath reports whether a record of a member's death is applied at once, without
// suspecting the member first.
func (m *Machine) acceptsDeath(now time.Duration, member *memberState, update Member, authorityAddr netip.AddrPort) bool {
	if member.domain != m.self.domain || authorityAddr == update.UDP || member.State == Dead || member.announcedLeave {
		return true
	}
	return member.State == Suspect && now-member.stateSince >= m.opts.SuspicionTimeout/2
}

// backOffSuspicion excludes a member that has refuted a suspicion from new ones for a
// time that doubles with each refutation, so that a partial partition does not make the
// member flap indefinitely. The time is reset when two minutes pass after it without a
// refutation.
func (m *Machine) backOffSuspicion(now time.Duration, member *memberState) {
	if now-member.noSuspicionUntil > 2*time.Minute {
		member.suspicionBackoff = 0
	}
	member.noSuspicionUntil = now + time.Second<<member.suspicionBackoff
	member.suspicionBackoff = min(member.suspicionBackoff+1, maxSuspicionBackoff)
}

// refute increments the incarnation number when a record says that this process is
// suspect or dead. A leaving process refutes only its death and stays leaving.
func (m *Machine) refute(now time.Duration, update Member) {
	if !overrides(update.Incarnation.Number, update.State, m.self.Incarnation.Number, m.self.State) ||
		update.State != Suspect && update.State != Dead {
		return
	}
	m.stats.Refutations++
	m.setState(now, m.self, update.Incarnation.Number+1, m.self.State)
}

// applyMetadata stores the metadata of an update if it is newer. direct is set when the
// member itself has sent the update.
func (m *Machine) applyMetadata(now time.Duration, member *memberState, update Member, direct bool) {
	at := now - max(update.PressureAge, 0)
	changed := update.Revision > member.Revision
	member.Revision = max(member.Revision, update.Revision)
	if (direct || len(update.Pressure) > 0) && at > member.metadataAt {
		member.metadataAt = at
		member.Pressure = slices.Clone(update.Pressure)
		changed = true
		if member.domain == m.self.domain && len(member.Pressure) > 0 {
			m.recentPressures[m.nextPressure%pressureHistorySize] = member
			m.nextPressure++
		}
	}
	if changed {
		reported := member.Member
		reported.PressureAge = now - member.metadataAt
		m.actions = append(m.actions, MetadataChanged{Member: reported})
	}
}

func (m *Machine) expireSuspects(now time.Duration) {
	pending := m.suspects[:0]
	for _, member := range m.suspects {
		switch {
		case member.suspicionDeadline == 0 || member.State == Dead || member.State == Alive:
			member.suspicionDeadline = 0
		case now >= member.suspicionDeadline:
			member.suspicionDeadline = 0
			m.setState(now, member, member.Incarnation.Number, Dead)
		default:
			pending = append(pending, member)
		}
	}
	clear(m.suspects[len(pending):])
	m.suspects = pending
}

func (m *Machine) expireTombstones(now time.Duration) {
	for len(m.tombstones) > 0 {
		member := m.tombstones[0]
		if member.State == Dead && now-member.stateSince < m.opts.TombstoneRetention {
			return
		}
		m.tombstones = m.tombstones[1:]
		if member.State == Dead && m.members[member.Incarnation.Process] == member {
			m.removeMember(member)
		}
	}
}

func (m *Machine) evictTombstone() bool {
	for len(m.tombstones) > 0 {
		member := m.tombstones[0]
		m.tombstones = m.tombstones[1:]
		if member.State == Dead && m.members[member.Incarnation.Process] == member {
			m.removeMember(member)
			return true
		}
	}
	return false
}

func (m *Machine) removeMember(member *memberState) {
	d := member.domain
	p := member.Incarnation.Process
	delete(m.members, p)
	if i, ok := slices.BinarySearchFunc(d.members, p, compareProcess); ok {
		d.members = slices.Delete(d.members, i, i+1)
	}
	if i := slices.Index(m.probeOrder, member); i >= 0 {
		m.probeOrder = slices.Delete(m.probeOrder, i, i+1)
		if i < m.probeIndex {
			m.probeIndex--
		}
	}
	member.inPiggybackQueue, member.piggybacksLeft = false, 0
}
