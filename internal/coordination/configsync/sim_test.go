package configsync

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	simTickInterval = 100 * time.Millisecond
	simLinkDelay    = 1500 * time.Microsecond
)

// simNode is one instance in the simulation.
type simNode struct {
	machine         *Machine
	peer            Peer
	index           int
	startedAt       time.Duration
	alive           bool
	highestAccepted uint64 // highest revision that this process has accepted
	ready           bool
	pendingWatch    *Watch // long-poll call that waits at the platform
	watchReplica    int    // platform replica at which the call waits
}

// simEvent is a scheduled event. Events at the same time run in the order of scheduling.
type simEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim simulates instances, the network between them and the replicas of the platform.
type sim struct {
	now             time.Duration
	rng             *rand.Rand
	queue           simQueue
	lastSequence    uint64
	nodes           []*simNode
	lossRate        float64
	maxJitter       time.Duration
	partitioned     func(from, to *simNode) bool // links that deliver nothing
	texts           map[uint64]string
	replicas        []uint64 // latest revision at each replica; some may be stale
	platformDown    bool
	platformBlocked func(n *simNode) bool // instances that cannot reach the platform
	platformCalls   int
	callsPerSecond  map[int]int // by simulated second
	pulls           int
	bytesSent       int
	onAccepted      func(n *simNode, a Accepted)
	onReady         func(n *simNode)
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), texts: map[uint64]string{}, callsPerSecond: map[int]int{}, replicas: []uint64{0}}
}

// validate rejects texts that contain the word invalid.
func validate(text []byte) error {
	if strings.Contains(string(text), "invalid") {
		return errors.New("text is invalid")
	}
	return nil
}

func (s *sim) schedule(d time.Duration, f func()) {
	s.lastSequence++
	heap.Push(&s.queue, simEvent{s.now + d, s.lastSequence, f})
}

// addInstance starts a new process. Processes with the same index are successive restarts
// of one instance.
func (s *sim) addInstance(index int, domain string) *simNode {
	n := &simNode{index: index, startedAt: s.now, alive: true, peer: Peer{Domain: domain}}
	for i := range n.peer.ID {
		n.peer.ID[i] = byte(s.rng.Uint32())
	}
	n.machine = New(Options{Self: n.peer, Validate: validate}, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	s.nodes = append(s.nodes, n)
	s.scheduleTick(n, time.Duration(s.rng.Int64N(int64(simTickInterval))))
	return n
}

func (s *sim) scheduleTick(n *simNode, d time.Duration) {
	s.schedule(d, func() {
		if !n.alive {
			return
		}
		s.perform(n, n.machine.Tick(s.now-n.startedAt))
		s.scheduleTick(n, simTickInterval)
	})
}

// updateMembers passes the live members to all instances, as the failure detector does.
func (s *sim) updateMembers() {
	var live []Peer
	for _, n := range s.nodes {
		if n.alive {
			live = append(live, n.peer)
		}
	}
	for _, n := range s.nodes {
		if n.alive {
			s.perform(n, n.machine.SetMembers(s.now-n.startedAt, live))
		}
	}
}

func (s *sim) runFor(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) nodeByID(id [16]byte) *simNode {
	for _, n := range s.nodes {
		if n.peer.ID == id {
			return n
		}
	}
	return nil
}

// deliver runs f after the network delay. It returns false if the message is lost.
func (s *sim) deliver(from, to *simNode, f func()) bool {
	if to == nil || s.partitioned != nil && s.partitioned(from, to) || s.lossRate > 0 && s.rng.Float64() < s.lossRate {
		return false
	}
	delay := simLinkDelay
	if s.maxJitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.maxJitter)))
	}
	s.schedule(delay, func() {
		if to.alive {
			f()
		}
	})
	return true
}

func (s *sim) perform(n *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendPull:
			s.sendPull(n, s.nodeByID(a.To), a.Pull)
		case SendPush:
			s.bytesSent += pushSize(a.Push)
			to := s.nodeByID(a.To)
			s.deliver(n, to, func() { s.perform(to, to.machine.ReceivePush(s.now-to.startedAt, n.peer.ID, a.Push)) })
		case Watch:
			s.platformCalls++
			s.callsPerSecond[int(s.now/time.Second)]++
			s.schedule(simLinkDelay, func() { s.handlePlatformCall(n, a) })
		case Accepted:
			if s.onAccepted != nil {
				s.onAccepted(n, a)
			}
			n.highestAccepted = max(n.highestAccepted, a.Revision)
		}
	}
	if !n.ready && n.machine.Ready() {
		n.ready = true
		if s.onReady != nil {
			s.onReady(n)
		}
	}
}

func (s *sim) sendPull(n, to *simNode, p Pull) {
	s.pulls++
	s.bytesSent += 60 + 34*len(p.Have)
	sent := s.deliver(n, to, func() {
		answer := to.machine.ReceivePull(s.now-to.startedAt, n.peer.ID, p)
		s.bytesSent += pushSize(answer)
		s.deliver(to, n, func() { s.perform(n, n.machine.ReceivePush(s.now-n.startedAt, to.peer.ID, answer)) })
	})
	if !sent && to != nil && s.rng.IntN(2) == 0 {
		// The transport detects half of the failures; the others time out.
		s.schedule(10*simLinkDelay, func() {
			if n.alive {
				s.perform(n, n.machine.PullFailed(s.now-n.startedAt, to.peer.ID))
			}
		})
	}
}

func pushSize(p Push) int {
	size := 60
	for _, r := range p.Manifest {
		size += 40 + len(r.Name)
	}
	for _, section := range p.Sections {
		size += 40 + len(section.Name) + len(section.Data)
	}
	return size
}

// handlePlatformCall responds to a call or lets it wait for a new revision.
func (s *sim) handlePlatformCall(n *simNode, w Watch) {
	if !n.alive {
		return
	}
	if s.platformDown || s.platformBlocked != nil && s.platformBlocked(n) {
		if s.rng.IntN(2) == 0 {
			s.sendResult(n, w.ID, Result{Status: Failed})
		}
		return
	}
	replica := s.rng.IntN(len(s.replicas))
	// A replica restored from a backup may hold only revisions below the requested one and
	// responds with what it has.
	restored := s.maxJitter > 0 && s.rng.IntN(4) == 0
	if rev := s.replicas[replica]; rev > w.After || restored && rev > 0 {
		s.sendResult(n, w.ID, Result{Status: Changed, Revision: rev, Text: []byte(s.texts[rev])})
		return
	}
	if w.Wait == 0 {
		s.sendResult(n, w.ID, Result{Status: NotModified})
		return
	}
	n.pendingWatch, n.watchReplica = &w, replica
	s.schedule(w.Wait, func() {
		if n.pendingWatch == &w {
			n.pendingWatch = nil
			s.sendResult(n, w.ID, Result{Status: NotModified})
		}
	})
}

func (s *sim) sendResult(n *simNode, id uint64, r Result) {
	d := simLinkDelay
	if s.maxJitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.maxJitter))) // it may arrive after later responses
	}
	s.schedule(d, func() {
		if n.alive && (!s.platformDown || r.Status == Failed) {
			s.perform(n, n.machine.ReceivePlatformResult(s.now-n.startedAt, id, r))
		}
	})
}

// publish stores a revision at the first replicas and completes the calls that wait there.
func (s *sim) publish(rev uint64, text string, replicas int) {
	s.texts[rev] = text
	for i := range min(replicas, len(s.replicas)) {
		s.replicas[i] = max(s.replicas[i], rev)
	}
	for _, n := range s.nodes {
		if w := n.pendingWatch; w != nil && s.replicas[n.watchReplica] > w.After {
			n.pendingWatch = nil
			r := s.replicas[n.watchReplica]
			s.sendResult(n, w.ID, Result{Status: Changed, Revision: r, Text: []byte(s.texts[r])})
		}
	}
}

// configText returns a configuration with the given number of upstreams, 20 per model. The
// value of change alters the first upstream.
func configText(upstreams, change int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version: 1\nname: test\nteams:\n  - name: t\nmodels:\n")
	for i := range upstreams {
		if i%20 == 0 {
			fmt.Fprintf(&b, "  - name: model-%02d\n    class: floor\n    upstreams:\n", i/20)
		}
		weight := 1
		if i == 0 {
			weight = change
		}
		fmt.Fprintf(&b, "      - name: server-%03d\n        address: 10.0.0.%d:8000\n        failure_domain: lanester\n        path_prefix: /v%d\n", i, i%250, weight)
	}
	return b.String()
}
