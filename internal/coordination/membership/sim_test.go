package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	simTick    = 100 * time.Millisecond
	simLatency = 1500 * time.Microsecond
)

// simNode is one process in the simulation.
type simNode struct {
	machine   *Machine
	self      Member
	startedAt time.Duration
	alive     bool
	frozen    bool
	left      bool
	buffered  []simEvent // datagrams received while frozen
	sent      int
	bytes     int
	pauses    int
}

type simEvent struct {
	at   time.Duration
	seq  uint64
	node *simNode // the node to tick when msg is nil
	to   netip.AddrPort
	from netip.AddrPort
	msg  *Message

	packet []byte // the encoded message, with sim.encodeMessages
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int)   { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(event any) { *q = append(*q, event.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	event := old[len(old)-1]
	*q = old[:len(old)-1]
	return event
}

// sim runs several machines over a network that loses, delays and blocks datagrams.
type sim struct {
	now            time.Duration
	rng            *rand.Rand
	queue          simQueue
	lastSeq        uint64
	nodes          []*simNode
	byAddr         map[netip.AddrPort]*simNode
	seeds          []netip.AddrPort
	loss           float64
	jitter         time.Duration
	blocked        func(from, to netip.AddrPort) bool
	onChange       func(n *simNode, c StateChanged)
	encodeMessages bool // encode and decode each message as the transport does
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 1)), byAddr: map[netip.AddrPort]*simNode{}}
}

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// add starts a process at the address simAddr(i).
func (s *sim) add(i int, domain string) *simNode {
	addr := simAddr(i)
	self := Member{Name: fmt.Sprintf("%s-%03d", domain, i), Domain: domain, UDP: addr, TCP: addr}
	for k := range self.Incarnation.Process {
		self.Incarnation.Process[k] = byte(s.rng.Uint32())
	}
	n := &simNode{self: self, alive: true, startedAt: s.now}
	n.machine = New(Options{Self: self, Seeds: s.seeds}, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	s.nodes = append(s.nodes, n)
	s.byAddr[addr] = n
	s.push(simEvent{at: s.now + time.Duration(s.rng.Int64N(int64(simTick))), node: n})
	return n
}

func (s *sim) push(event simEvent) {
	s.lastSeq++
	event.seq = s.lastSeq
	heap.Push(&s.queue, event)
}

// localTime returns the time on the clock of the process, which starts at zero with it.
func (s *sim) localTime(n *simNode) time.Duration { return s.now - n.startedAt }

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		s.handleEvent(event)
	}
	s.now = end
}

func (s *sim) handleEvent(event simEvent) {
	if event.msg == nil {
		n := event.node
		if !n.alive {
			return
		}
		s.push(simEvent{at: s.now + simTick, node: n})
		if !n.frozen {
			s.perform(n, n.machine.Tick(s.localTime(n)))
		}
		return
	}
	n := s.byAddr[event.to]
	if n == nil || !n.alive {
		return
	}
	if n.frozen {
		if len(n.buffered) < 64 {
			n.buffered = append(n.buffered, event)
		}
		return
	}
	if event.packet != nil {
		*event.msg = MessageCodec.Open(n.self.Incarnation.Process, event.packet)
	}
	s.perform(n, n.machine.Receive(s.localTime(n), event.from, *event.msg))
}

// thaw resumes a frozen process, which first receives the datagrams in its socket buffer.
func (s *sim) thaw(n *simNode) {
	n.frozen = false
	buffered := n.buffered
	n.buffered = nil
	for _, event := range buffered {
		s.perform(n, n.machine.Receive(s.localTime(n), event.from, *event.msg))
	}
}

func (s *sim) perform(n *simNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		case StateChanged:
			if s.onChange != nil {
				s.onChange(n, a)
			}
		case Paused:
			n.pauses++
		}
	}
}

func (s *sim) send(n *simNode, a Send) {
	n.sent++
	var packet []byte
	if s.encodeMessages {
		packet = MessageCodec.Seal(n.self.Incarnation.Process, a.Message)
		n.bytes += len(packet)
	}
	from := n.self.UDP
	if s.blocked != nil && s.blocked(from, a.To) || s.loss > 0 && s.rng.Float64() < s.loss {
		return
	}
	delay := simLatency
	if s.jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.jitter)))
	}
	msg := a.Message
	s.push(simEvent{at: s.now + delay, to: a.To, from: from, msg: &msg, packet: packet})
}

// MessageCodec encodes and decodes messages. The external test package sets it, because
// this package must not import the protocol layer.
var MessageCodec struct {
	Seal func(from Process, m Message) []byte
	Open func(to Process, packet []byte) Message
}

// leave makes n announce that it leaves. The process runs until it is killed.
func (s *sim) leave(n *simNode) {
	n.left = true
	s.perform(n, n.machine.Leave(s.localTime(n)))
}

func (s *sim) kill(n *simNode) { n.alive = false }

// newCluster starts count processes in each domain, with two of each domain as seeds. They
// join when the simulation runs.
func newCluster(seed uint64, count int, domains ...string) *sim {
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

// firstDisagreement compares all views with the running processes and describes the first
// difference, or returns "". Members of domains that a view reports as unreachable are
// not compared.
func (s *sim) firstDisagreement() string {
	for _, n := range s.nodes {
		if !n.alive || n.frozen {
			continue
		}
		for _, d := range n.machine.Domains() {
			if !n.machine.Reachable(s.localTime(n), d) {
				if s.domainHasLiveNode(d) {
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

func (s *sim) domainHasLiveNode(d string) bool {
	for _, n := range s.nodes {
		if n.alive && n.self.Domain == d {
			return true
		}
	}
	return false
}

func (s *sim) compareView(n *simNode, d string) string {
	view := map[Process]State{}
	for _, member := range n.machine.Members(d) {
		view[member.Incarnation.Process] = member.State
	}
	for _, other := range s.nodes {
		p := other.self.Incarnation.Process
		want := State(0)
		if other.alive && other.self.Domain == d {
			if want = Alive; other.left {
				want = Leaving
			}
		}
		if got := view[p]; got != want {
			return fmt.Sprintf("%s sees %s (%v) as %v, want %v", n.self.Name, other.self.Name, p, got, want)
		}
	}
	return ""
}
