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
	simTick = 100 * time.Millisecond
	simLink = 1500 * time.Microsecond
)

// simNode is one instance in the simulation.
type simNode struct {
	m       *Machine
	peer    Peer
	index   int
	start   time.Duration
	alive   bool
	highest uint64 // highest revision accepted by this process
	ready   bool
	watch   *Watch // waiting call
	replica int    // the platform replica that the waiting call is at
}

type simEvent struct {
	at time.Duration
	n  uint64
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// sim runs instances, a network and the replicas of a platform.
type sim struct {
	now      time.Duration
	rng      *rand.Rand
	queue    simQueue
	n        uint64
	nodes    []*simNode
	loss     float64
	jitter   time.Duration
	cut      func(a, b *simNode) bool
	texts    map[uint64]string
	replicas []uint64 // revision of each replica; a stale one lags
	down     bool
	calls    int
	perSec   map[int]int // calls by second
	pulls    int
	bytes    int
	accepted func(n *simNode, a Accepted)
	onReady  func(n *simNode)
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), texts: map[uint64]string{}, perSec: map[int]int{}, replicas: []uint64{0}}
}

// validate refuses texts that contain the word invalid.
func validate(text []byte) error {
	if strings.Contains(string(text), "invalid") {
		return errors.New("text is invalid")
	}
	return nil
}

func (s *sim) after(d time.Duration, f func()) {
	s.n++
	heap.Push(&s.queue, simEvent{s.now + d, s.n, f})
}

// add starts a fresh process. Processes with the same index replace each other.
func (s *sim) add(index int, domain string) *simNode {
	n := &simNode{index: index, start: s.now, alive: true, peer: Peer{Domain: domain}}
	for i := range n.peer.ID {
		n.peer.ID[i] = byte(s.rng.Uint32())
	}
	n.m = New(Options{Self: n.peer, Validate: validate}, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	s.nodes = append(s.nodes, n)
	s.tick(n, time.Duration(s.rng.Int64N(int64(simTick))))
	return n
}

func (s *sim) tick(n *simNode, d time.Duration) {
	s.after(d, func() {
		if !n.alive {
			return
		}
		s.perform(n, n.m.Tick(s.now-n.start))
		s.tick(n, simTick)
	})
}

// members tells all instances who lives, as the failure detector does.
func (s *sim) members() {
	var live []Peer
	for _, n := range s.nodes {
		if n.alive {
			live = append(live, n.peer)
		}
	}
	for _, n := range s.nodes {
		if n.alive {
			s.perform(n, n.m.SetMembers(s.now-n.start, live))
		}
	}
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) byID(id [16]byte) *simNode {
	for _, n := range s.nodes {
		if n.peer.ID == id {
			return n
		}
	}
	return nil
}

// deliver runs f after the delay of the network, unless the message is lost.
func (s *sim) deliver(from, to *simNode, f func()) bool {
	if to == nil || s.cut != nil && s.cut(from, to) || s.loss > 0 && s.rng.Float64() < s.loss {
		return false
	}
	d := simLink
	if s.jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.jitter)))
	}
	s.after(d, func() {
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
			s.pull(n, s.byID(a.To), a.Pull)
		case SendPush:
			s.bytes += pushSize(a.Push)
			to := s.byID(a.To)
			s.deliver(n, to, func() { s.perform(to, to.m.ReceivePush(s.now-to.start, n.peer.ID, a.Push)) })
		case Watch:
			s.calls++
			s.perSec[int(s.now/time.Second)]++
			s.after(simLink, func() { s.platform(n, a) })
		case Accepted:
			if s.accepted != nil {
				s.accepted(n, a)
			}
			n.highest = max(n.highest, a.Revision)
		}
	}
	if !n.ready && n.m.Ready() {
		n.ready = true
		if s.onReady != nil {
			s.onReady(n)
		}
	}
}

func (s *sim) pull(n, to *simNode, p Pull) {
	s.pulls++
	s.bytes += 60 + 34*len(p.Have)
	sent := s.deliver(n, to, func() {
		answer := to.m.ReceivePull(s.now-to.start, n.peer.ID, p)
		s.bytes += pushSize(answer)
		s.deliver(to, n, func() { s.perform(n, n.m.ReceivePush(s.now-n.start, to.peer.ID, answer)) })
	})
	if !sent && to != nil && s.rng.IntN(2) == 0 {
		// Half of the failures are noticed by the transport, the others time out.
		s.after(10*simLink, func() {
			if n.alive {
				s.perform(n, n.m.PullFailed(s.now-n.start, to.peer.ID))
			}
		})
	}
}

func pushSize(p Push) int {
	size := 60
	for _, r := range p.Manifest {
		size += 40 + len(r.Name)
	}
	for _, x := range p.Sections {
		size += 40 + len(x.Name) + len(x.Data)
	}
	return size
}

// platform answers a call, or lets it wait.
func (s *sim) platform(n *simNode, w Watch) {
	if !n.alive {
		return
	}
	if s.down {
		if s.rng.IntN(2) == 0 {
			s.answer(n, w.ID, Result{Status: Failed})
		}
		return
	}
	replica := s.rng.IntN(len(s.replicas))
	// A replica that was restored from a copy does not know the revision asked for.
	restored := s.jitter > 0 && s.rng.IntN(4) == 0
	if rev := s.replicas[replica]; rev > w.After || restored && rev > 0 {
		s.answer(n, w.ID, Result{Status: Changed, Revision: rev, Text: []byte(s.texts[rev])})
		return
	}
	if w.Wait == 0 {
		s.answer(n, w.ID, Result{Status: NotModified})
		return
	}
	n.watch, n.replica = &w, replica
	s.after(w.Wait, func() {
		if n.watch == &w {
			n.watch = nil
			s.answer(n, w.ID, Result{Status: NotModified})
		}
	})
}

func (s *sim) answer(n *simNode, id uint64, r Result) {
	d := simLink
	if s.jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.jitter))) // it may come after newer ones
	}
	s.after(d, func() {
		if n.alive && (!s.down || r.Status == Failed) {
			s.perform(n, n.m.PlatformAnswer(s.now-n.start, id, r))
		}
	})
}

// publish makes a revision known at the first replicas and wakes the calls there.
func (s *sim) publish(rev uint64, text string, replicas int) {
	s.texts[rev] = text
	for i := range min(replicas, len(s.replicas)) {
		s.replicas[i] = max(s.replicas[i], rev)
	}
	for _, n := range s.nodes {
		if w := n.watch; w != nil && s.replicas[n.replica] > w.After {
			n.watch = nil
			r := s.replicas[n.replica]
			s.answer(n, w.ID, Result{Status: Changed, Revision: r, Text: []byte(s.texts[r])})
		}
	}
}

// configText returns a text with a number of upstreams, 20 to a model.
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
