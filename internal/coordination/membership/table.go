package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxStrikes bounds the time that a member which refutes again and again is spared
// from suspicion: 1 s << 5 = 32 s.
const maxStrikes = 5

// member is a claim with the local knowledge about it.
type member struct {
	Member
	domain    *domain
	liveIndex int           // index in domain.live, -1 when dead
	valueAt   time.Duration // when the values were true
	acked     time.Duration // last answer to a message of ours
	stateAt   time.Duration
	suspicion time.Duration // when a suspect dies
	helper    *member       // the helper that reached it last
	strikes   int
	quiet     time.Duration // no suspicion before this time
	linkSkip  time.Duration // not chosen as a link before this time
	linkSent  time.Duration
	linkSeq   uint64
	transmits int
	rounds    int // rounds of urgent gossip left
	queued    bool
	urgent    bool
	left      bool // it announced that it leaves: its address is not tried again
}

// domain is the view of one failure domain.
type domain struct {
	name       string
	members    []*member // in the order of processes, tombstones included
	live       []*member // not dead, in no order
	digest     uint64
	acked      time.Duration
	mismatches int
	syncedAt   time.Duration
	synced     bool
	links      []*member
	dirty      bool // the links must be chosen anew
}

// digestOf hashes what all members must agree on: process, refutation counter and
// whether it leaves. Suspicion is transient and dead members count as absent.
func digestOf(c Member) uint64 {
	if c.State == Dead {
		return 0
	}
	var b [21]byte
	copy(b[:], c.Incarnation.Process[:])
	binary.LittleEndian.PutUint32(b[16:], c.Incarnation.Refutation)
	if c.State == Leaving {
		b[20] = 1
	}
	return xxhash.Sum64(b[:])
}

func compareMember(x *member, p Process) int { return x.Incarnation.Process.Compare(p) }

func (m *Machine) domainOf(now time.Duration, name string) *domain {
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name, acked: now}
		m.domains[name] = d
		if m.self != nil && name != m.self.Domain {
			m.names = append(m.names, name)
			slices.Sort(m.names)
		}
	}
	return d
}

// insert adds a process that is not in the table. It returns nil when the table is
// full of members that are not dead.
func (m *Machine) insert(now time.Duration, c Member) *member {
	if len(m.members) >= MaxMembers && !m.evictTombstone() {
		m.stats.Refused++
		return nil
	}
	d := m.domainOf(now, c.Domain)
	x := &member{Member: c, domain: d, liveIndex: -1, stateAt: now, acked: -time.Hour, valueAt: now - c.PressureAge}
	x.Pressure = slices.Clone(c.Pressure)
	m.members[c.Incarnation.Process] = x
	i, _ := slices.BinarySearchFunc(d.members, c.Incarnation.Process, compareMember)
	d.members = slices.Insert(d.members, i, x)
	if m.self != nil && d == m.self.domain {
		// A random position keeps the time until the first probe uniform.
		m.order = slices.Insert(m.order, m.rng.IntN(len(m.order)+1), x)
	}
	x.State = 0
	m.setState(now, x, c.Incarnation.Refutation, c.State)
	return x
}

// setState changes the state or the counter of x and queues the claim.
func (m *Machine) setState(now time.Duration, x *member, refutation uint32, s State) {
	previous, d := x.State, x.domain
	if previous != 0 {
		d.digest ^= digestOf(x.Member)
	}
	x.Incarnation.Refutation, x.State, x.stateAt = refutation, s, now
	d.digest ^= digestOf(x.Member)
	d.dirty = true
	x.suspicion = 0 // a timer belongs to the claim that started it
	m.relist(x)
	if previous == Leaving || s == Leaving {
		x.left = true
	}
	switch s {
	case Suspect:
		m.suspect(now, x)
	case Dead:
		m.stats.Deaths++
		m.tombstones = append(m.tombstones, x)
	}
	if previous != 0 || s != Dead {
		m.out = append(m.out, Changed{Member: x.Member, Previous: previous})
	}
	m.enqueue(x)
}

// relist keeps domain.live and byAddr in step with the state of x.
func (m *Machine) relist(x *member) {
	d := x.domain
	switch {
	case x.State == Dead && x.liveIndex >= 0:
		last := d.live[len(d.live)-1]
		d.live[x.liveIndex], last.liveIndex = last, x.liveIndex
		d.live[len(d.live)-1] = nil
		d.live = d.live[:len(d.live)-1]
		x.liveIndex = -1
		if m.byAddr[x.UDP] == x {
			delete(m.byAddr, x.UDP)
		}
	case x.State != Dead && x.liveIndex < 0:
		x.liveIndex = len(d.live)
		d.live = append(d.live, x)
		m.byAddr[x.UDP] = x
	}
}

func (m *Machine) suspect(now time.Duration, x *member) {
	x.suspicion = now + m.opts.SuspicionTime
	if x.domain == m.self.domain && !slices.Contains(m.suspects, x) {
		m.suspects = append(m.suspects, x)
	}
}

// apply merges a claim about another process. authority is the address of the
// sender: a process knows for certain that an earlier one at its address is gone.
func (m *Machine) apply(now time.Duration, c Member, authority netip.AddrPort) {
	p := c.Incarnation.Process
	if p == m.self.Incarnation.Process {
		m.refute(now, c)
		return
	}
	if c.UDP == m.self.UDP && c.State != Dead {
		c.State, authority = Dead, c.UDP
	}
	if c.State == Suspect && c.Domain != m.self.Domain {
		// Its own domain decides. A suspicion whose author has died would never be
		// refuted here, because nobody has told the member.
		c.State = Alive
	}
	x := m.members[p]
	if x == nil {
		m.insert(now, c)
		return
	}
	if !overrides(c.Incarnation.Refutation, c.State, x.Incarnation.Refutation, x.State) {
		return
	}
	if c.State == Dead && !m.believesDeath(now, x, c, authority) {
		if x.State == Suspect && x.Incarnation.Refutation == c.Incarnation.Refutation {
			return
		}
		c.State = Suspect
	}
	refuted := c.Incarnation.Refutation > x.Incarnation.Refutation && (x.State == Suspect || x.State == Dead)
	if refuted && c.State == Alive {
		m.strike(now, x)
	}
	m.setState(now, x, c.Incarnation.Refutation, c.State)
}

// believesDeath reports whether a dead claim is taken over at once.
func (m *Machine) believesDeath(now time.Duration, x *member, c Member, authority netip.AddrPort) bool {
	if x.domain != m.self.domain || authority == c.UDP || x.State == Dead || x.left {
		return true
	}
	return x.State == Suspect && now-x.stateAt >= m.opts.SuspicionTime/2
}

// strike spares x from suspicion for a while after it refuted one. The time doubles
// with each refutation, so that a partial cut does not make a member flap for ever.
// A member that does not refute for two minutes starts over.
func (m *Machine) strike(now time.Duration, x *member) {
	if now-x.quiet > 2*time.Minute {
		x.strikes = 0
	}
	x.quiet = now + time.Second<<x.strikes
	x.strikes = min(x.strikes+1, maxStrikes)
}

// refute answers a claim that this process is suspect or dead. A leaving process
// refutes only its death, and stays leaving.
func (m *Machine) refute(now time.Duration, c Member) {
	if !overrides(c.Incarnation.Refutation, c.State, m.self.Incarnation.Refutation, m.self.State) ||
		c.State != Suspect && c.State != Dead {
		return
	}
	m.stats.Refutations++
	m.setState(now, m.self, c.Incarnation.Refutation+1, m.self.State)
}

// values takes over newer values of x.
func (m *Machine) values(now time.Duration, x *member, c Member, direct bool) {
	at := now - max(c.PressureAge, 0)
	changed := c.Revision > x.Revision
	x.Revision = max(x.Revision, c.Revision)
	if (direct || len(c.Pressure) > 0) && at > x.valueAt {
		x.valueAt = at
		x.Pressure = slices.Clone(c.Pressure)
		changed = true
		if x.domain == m.self.domain && len(x.Pressure) > 0 {
			m.pressures[m.nextValue%recentPressures] = x
			m.nextValue++
		}
	}
	if changed {
		r := x.Member
		r.PressureAge = now - x.valueAt
		m.out = append(m.out, Reported{Member: r})
	}
}

func (m *Machine) stepSuspects(now time.Duration) {
	kept := m.suspects[:0]
	for _, x := range m.suspects {
		switch {
		case x.suspicion == 0 || x.State == Dead || x.State == Alive:
			x.suspicion = 0
		case now >= x.suspicion:
			x.suspicion = 0
			m.setState(now, x, x.Incarnation.Refutation, Dead)
		default:
			kept = append(kept, x)
		}
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}

func (m *Machine) stepTombstones(now time.Duration) {
	for len(m.tombstones) > 0 {
		x := m.tombstones[0]
		if x.State == Dead && now-x.stateAt < m.opts.TombstoneTime {
			return
		}
		m.tombstones = m.tombstones[1:]
		if x.State == Dead && m.members[x.Incarnation.Process] == x {
			m.remove(x)
		}
	}
}

func (m *Machine) evictTombstone() bool {
	for len(m.tombstones) > 0 {
		x := m.tombstones[0]
		m.tombstones = m.tombstones[1:]
		if x.State == Dead && m.members[x.Incarnation.Process] == x {
			m.remove(x)
			return true
		}
	}
	return false
}

func (m *Machine) remove(x *member) {
	d := x.domain
	p := x.Incarnation.Process
	delete(m.members, p)
	if i, ok := slices.BinarySearchFunc(d.members, p, compareMember); ok {
		d.members = slices.Delete(d.members, i, i+1)
	}
	if i := slices.Index(m.order, x); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
		if i < m.orderIndex {
			m.orderIndex--
		}
	}
	x.queued, x.transmits = false, 0
}
