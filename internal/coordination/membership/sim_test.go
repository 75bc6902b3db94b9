package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	simTick = 100 * time.Millisecond
	simLink = 1500 * time.Microsecond
)

// simNode is one process in the simulation.
type simNode struct {
	m      *Machine
	self   Member
	start  time.Duration
	alive  bool
	frozen bool
	left   bool
	missed []simEvent // datagrams that arrived while frozen
	sent   int
	bytes  int
	paused int
}

type simEvent struct {
	at   time.Duration
	n    uint64
	node *simNode // tick when message is nil
	to   netip.AddrPort
	from netip.AddrPort
	msg  *Message

	packet []byte // the encoded message, with sim.wire
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

// sim runs several machines over a network that loses, delays and cuts.
type sim struct {
	now     time.Duration
	rng     *rand.Rand
	queue   simQueue
	n       uint64
	nodes   []*simNode
	byAddr  map[netip.AddrPort]*simNode
	seeds   []netip.AddrPort
	loss    float64
	jitter  time.Duration
	cut     func(from, to netip.AddrPort) bool
	changes func(n *simNode, c Changed)
	wire    bool // encode and decode each message as the transport does
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[netip.AddrPort]*simNode{}}
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// add starts a process at address number i.
func (s *sim) add(i int, domain string) *simNode {
	a := simAddr(i)
	self := Member{Name: fmt.Sprintf("%s-%03d", domain, i), Domain: domain, UDP: a, TCP: a}
	for k := range self.Incarnation.Process {
		self.Incarnation.Process[k] = byte(s.rng.Uint32())
	}
	n := &simNode{self: self, alive: true, start: s.now}
	n.m = New(Options{Self: self, Seeds: s.seeds}, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	s.nodes = append(s.nodes, n)
	s.byAddr[a] = n
	s.push(simEvent{at: s.now + time.Duration(s.rng.Int64N(int64(simTick))), node: n})
	return n
}

func (s *sim) push(e simEvent) {
	s.n++
	e.n = s.n
	heap.Push(&s.queue, e)
}

// local is the clock of the process: time since its start.
func (s *sim) local(n *simNode) time.Duration { return s.now - n.start }

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		s.step(e)
	}
	s.now = end
}

func (s *sim) step(e simEvent) {
	if e.msg == nil {
		n := e.node
		if !n.alive {
			return
		}
		s.push(simEvent{at: s.now + simTick, node: n})
		if !n.frozen {
			s.perform(n, n.m.Tick(s.local(n)))
		}
		return
	}
	n := s.byAddr[e.to]
	if n == nil || !n.alive {
		return
	}
	if n.frozen {
		if len(n.missed) < 64 {
			n.missed = append(n.missed, e)
		}
		return
	}
	if e.packet != nil {
		*e.msg = Wire.Open(n.self.Incarnation.Process, e.packet)
	}
	s.perform(n, n.m.Receive(s.local(n), e.from, *e.msg))
}

// thaw lets a frozen process go on: first with the datagrams in its socket.
func (s *sim) thaw(n *simNode) {
	n.frozen = false
	missed := n.missed
	n.missed = nil
	for _, e := range missed {
		s.perform(n, n.m.Receive(s.local(n), e.from, *e.msg))
	}
}

func (s *sim) perform(n *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		case Changed:
			if s.changes != nil {
				s.changes(n, a)
			}
		case Paused:
			n.paused++
		}
	}
}

func (s *sim) send(n *simNode, a Send) {
	n.sent++
	var packet []byte
	if s.wire {
		packet = Wire.Seal(n.self.Incarnation.Process, a.Message)
		n.bytes += len(packet)
	}
	from := n.self.UDP
	if s.cut != nil && s.cut(from, a.To) || s.loss > 0 && s.rng.Float64() < s.loss {
		return
	}
	delay := simLink
	if s.jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.jitter)))
	}
	msg := a.Message
	s.push(simEvent{at: s.now + delay, to: a.To, from: from, msg: &msg, packet: packet})
}

// Wire encodes and decodes messages. The external test package sets it, because this
// package must not import the protocol layer.
var Wire struct {
	Seal func(from Process, m Message) []byte
	Open func(to Process, packet []byte) Message
}

// leave makes n announce that it leaves; it runs on until it is killed.
func (s *sim) leave(n *simNode) {
	n.left = true
	s.perform(n, n.m.Leave(s.local(n)))
}

func (s *sim) kill(n *simNode) { n.alive = false }

// build starts count processes in each domain and lets them join.
func build(seed uint64, count int, domains ...string) *sim {
	s := newSim(seed)
	for d := range domains {
		s.seeds = append(s.seeds, simAddr(d*count), simAddr(d*count+min(1, count-1)))
	}
	for d, name := range domains {
		for i := range count {
			s.add(d*count+i, name)
		}
	}
	return s
}

// disagreement compares all views with the truth and describes the first difference.
// Members of domains that a view reports as unreachable do not count.
func (s *sim) disagreement() string {
	for _, n := range s.nodes {
		if !n.alive || n.frozen {
			continue
		}
		for _, d := range n.m.Domains() {
			if !n.m.Reachable(s.local(n), d) {
				if s.domainRuns(d) {
					return fmt.Sprintf("%s sees domain %s as unreachable", n.self.Name, d)
				}
				continue
			}
			if diff := s.compareView(n, d); diff != "" {
				return diff
			}
		}
	}
	return ""
}

func (s *sim) domainRuns(d string) bool {
	for _, n := range s.nodes {
		if n.alive && n.self.Domain == d {
			return true
		}
	}
	return false
}

func (s *sim) compareView(n *simNode, d string) string {
	view := map[Process]State{}
	for _, x := range n.m.Members(d) {
		view[x.Incarnation.Process] = x.State
	}
	for _, o := range s.nodes {
		p := o.self.Incarnation.Process
		want := State(0)
		if o.alive && o.self.Domain == d {
			if want = Alive; o.left {
				want = Leaving
			}
		}
		if got := view[p]; got != want {
			return fmt.Sprintf("%s sees %s (%v) as %v, want %v", n.self.Name, o.self.Name, p, got, want)
		}
	}
	return ""
}
