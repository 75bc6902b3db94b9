package membership

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// syncMismatches is the number of consecutive messages with a different digest
	// after which the view is fetched: claims in flight differ for a moment.
	syncMismatches = 3
	// syncInterval is the shortest time between two fetches of one domain's view.
	syncInterval = 5 * time.Second
	// syncTimeout is the time after which a page is asked for again.
	syncTimeout = 400 * time.Millisecond
	// syncTries bounds the requests for one page.
	syncTries = 4
	// maxPages bounds the pages sent in one probe period.
	maxPages = 64
	// domainHints is the number of members of each other domain on the last page.
	domainHints = 2
	// refreshPeers is the number of members that are asked after a pause.
	refreshPeers = 3
)

// syncSession is the fetch of one domain's view. One runs at a time.
type syncSession struct {
	domain  *domain
	seq     uint64
	after   Process
	sentAt  time.Duration
	started time.Duration
	tries   int
	seen    map[Process]struct{}
	refresh bool
}

// compare counts how often the view of the sender about its domain differs.
func (m *Machine) compare(now time.Duration, s *member, msg *Message) {
	d := s.domain
	if msg.Kind != Ping && msg.Kind != Ack {
		return // gossip arrives while claims are on their way
	}
	if msg.Digest == d.digest {
		d.mismatches = 0
		return
	}
	d.mismatches++
	// A domain that was never fetched is fetched at once.
	if (d.mismatches >= syncMismatches || !d.synced) && (now-d.syncedAt >= syncInterval || !d.synced) {
		m.startSync(now, d.name, s)
	}
}

// startSync fetches the view of a domain from s. A process that joins may ask a
// member of another domain for its own: its domain may have no other member.
func (m *Machine) startSync(now time.Duration, domain string, s *member) {
	if m.sync.domain != nil || s == nil || s.State == Dead {
		return
	}
	d := m.domainOf(now, domain)
	m.stats.Syncs++
	d.syncedAt, d.mismatches = now, 0
	m.sync = syncSession{domain: d, started: now, seen: map[Process]struct{}{}}
	m.requestPage(now, s)
}

func (m *Machine) requestPage(now time.Duration, s *member) {
	y := &m.sync
	y.seq, y.sentAt = m.nextSeq(), now
	m.sendTo(now, s, Message{Kind: SyncRequest, Seq: y.seq, Domain: y.domain.name, After: y.after})
}

// refresh fetches the view of the own domain from the first of several members that
// answers.
func (m *Machine) refresh(now time.Duration) {
	d := m.self.domain
	m.stats.Syncs++
	d.syncedAt, d.mismatches = now, 0
	m.sync = syncSession{domain: d, started: now, sentAt: now, seq: m.nextSeq(), refresh: true, seen: map[Process]struct{}{}}
	var asked []*member
	for range 2 * refreshPeers {
		x := m.random(d)
		if x == nil || x == m.self || slices.Contains(asked, x) || len(asked) == refreshPeers {
			continue
		}
		asked = append(asked, x)
		m.sendTo(now, x, Message{Kind: SyncRequest, Seq: m.sync.seq, Domain: d.name})
	}
}

// stepSync repeats the request for a page that has not arrived.
func (m *Machine) stepSync(now time.Duration) {
	y := &m.sync
	if y.domain == nil || now-y.sentAt < syncTimeout {
		return
	}
	x := m.random(y.domain)
	if y.tries++; y.tries >= syncTries || x == nil || x == m.self && len(y.domain.live) == 1 {
		m.sync = syncSession{}
		return
	}
	if x != m.self {
		m.requestPage(now, x)
	}
}

func (m *Machine) handleSyncRequest(now time.Duration, from netip.AddrPort, msg *Message) {
	if m.pages <= 0 {
		m.stats.Refused++
		return
	}
	m.pages--
	reply := Message{Kind: SyncReply, Seq: msg.Seq, Domain: msg.Domain, From: m.own(now), Digest: m.self.domain.digest}
	room := MaxBody - fixedSize - memberSize(reply.From)
	add := func(x *member) bool {
		c := claimOf(x)
		size := memberSize(c)
		if size > room || len(reply.Updates) == MaxUpdates {
			return false
		}
		room -= size
		reply.Updates = append(reply.Updates, c)
		return true
	}
	if x := m.members[msg.From.Incarnation.Process]; x != nil && (x.State == Suspect || x.State == Dead) {
		add(x)
	}
	reply.After = msg.After
	if d := m.domains[msg.Domain]; d != nil {
		i, found := slices.BinarySearchFunc(d.members, msg.After, compareMember)
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
		m.addHints(&reply, add)
	}
	m.send(from, reply)
}

// addHints names members of other domains to a process that joins.
func (m *Machine) addHints(reply *Message, add func(*member) bool) {
	for _, name := range m.names {
		if name == reply.Domain {
			continue
		}
		d := m.domains[name]
		for range min(domainHints, len(d.live)) {
			if x := m.random(d); x.State == Alive {
				add(x)
			}
		}
	}
}

func (m *Machine) handleSyncReply(now time.Duration, s *member, msg *Message) {
	y := &m.sync
	if y.domain == nil || msg.Seq != y.seq || msg.Domain != y.domain.name || s == nil || s.State == Dead {
		return
	}
	for i := range msg.Updates {
		y.seen[msg.Updates[i].Incarnation.Process] = struct{}{}
	}
	y.seen[msg.From.Incarnation.Process] = struct{}{}
	y.tries = 0
	if msg.More && msg.After.Compare(y.after) > 0 {
		y.after = msg.After
		m.requestPage(now, s)
		return
	}
	m.finishSync(now, s)
}

// finishSync ends a fetch. Members of another domain that their own domain does not
// know any more are dead. Members of the own domain are passed on: whoever probes
// them decides.
func (m *Machine) finishSync(now time.Duration, s *member) {
	y := m.sync
	m.sync = syncSession{}
	y.domain.synced = true
	if y.refresh {
		m.staleUntil = now
	}
	if y.domain == m.self.domain {
		m.joined = true
	}
	for _, x := range slices.Clone(y.domain.live) {
		if _, ok := y.seen[x.Incarnation.Process]; ok || x == m.self || x.stateAt >= y.started {
			continue
		}
		if y.domain == m.self.domain {
			m.enqueue(x) // the other side has not heard of it
		} else if s.domain == y.domain {
			m.setState(now, x, x.Incarnation.Refutation, Dead)
		}
	}
}

// forget drops a view that is older than the tombstones of the others, which would
// bring dead members back. The addresses serve as seeds.
func (m *Machine) forget(now time.Duration) {
	const maxKept = 16
	for _, d := range m.domains {
		for _, x := range slices.Clone(d.members) {
			if x == m.self {
				continue
			}
			if x.State != Dead {
				if len(m.seeds) < len(m.opts.Seeds)+maxKept {
					m.seeds = append(m.seeds, x.UDP)
				}
				m.setState(now, x, x.Incarnation.Refutation, Dead)
			}
			m.remove(x)
		}
	}
	m.queue, m.urgent, m.again, m.tombstones, m.suspects = nil, nil, nil, nil, nil
	m.joined = false
}

// knownAlive reports whether a live member is known at the address.
func (m *Machine) knownAlive(a netip.AddrPort) bool {
	x := m.byAddr[a]
	return x != nil && x.State != Dead
}
