package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 60, Steps: 40}) }

const (
	// convergenceTicks is the number of ticks after which all views must agree once the
	// network works again: the last crash must be detected (up to 4 periods until the
	// probe, one without an answer, 3 s of suspicion), refutations must spread, and
	// members that were removed on both sides must rejoin.
	convergenceTicks = 400
	// maxDatagramsPerSecond limits the average rate at which a member sends datagrams in
	// a run: 50 of urgent gossip under continuous membership changes, plus probes,
	// cross-domain pings and answers.
	maxDatagramsPerSecond = 60
)

// model drives a simulation with generated events and checks each state change against
// the states that the same observer has reported before.
type model struct {
	t         *rapid.T
	sim       *sim
	maxStates map[string]State // by observer, process and incarnation number
	left      map[Process]bool
	domains   []string
	perDomain int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, maxStates: map[string]State{}, left: map[Process]bool{}, perDomain: rapid.IntRange(1, 5).Draw(t, "per domain")}
	m.domains = []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "domains")]
	m.sim = newCluster(rapid.Uint64().Draw(t, "seed"), m.perDomain, m.domains...)
	// All addresses are seeds, as in the platform's list. Without a live seed, processes
	// that start at the same time could not find each other.
	m.sim.seeds = nil
	for i := range m.perDomain * len(m.domains) {
		m.sim.seeds = append(m.sim.seeds, simAddr(i))
	}
	for _, n := range m.sim.nodes {
		n.machine.SetSeeds(m.sim.seeds)
	}
	m.sim.onChange = m.checkChange
	m.sim.encodeMessages = true // so that machines do not share memory
	m.sim.run(15 * time.Second)
	return m
}

// checkChange checks a single state change: within an incarnation the state only
// increases, and no observer sees a process that has left as alive again.
func (m *model) checkChange(n *simNode, change StateChanged) {
	incarnation := change.Member.Incarnation
	key := fmt.Sprintf("%v %v %d", n.self.Incarnation.Process, incarnation.Process, incarnation.Number)
	// Tombstones outlive every datagram of this simulation, so Leaving and Dead must not
	// be reverted within an incarnation.
	if old := m.maxStates[key]; change.Member.State < old && old >= Leaving {
		m.t.Fatalf("%s saw %s incarnation %d as %v after %v", n.self.Name, change.Member.Name, incarnation.Number, change.Member.State, old)
	}
	m.maxStates[key] = max(m.maxStates[key], change.Member.State)
	leftKey := fmt.Sprintf("%v left %v", n.self.Incarnation.Process, incarnation.Process)
	if change.Member.State == Leaving {
		m.maxStates[leftKey] = Leaving
	} else if change.Member.State < Leaving && m.maxStates[leftKey] == Leaving {
		m.t.Fatalf("%s saw %s as %v after it left", n.self.Name, change.Member.Name, change.Member.State)
	}
}

func (m *model) drawNode(label string) *simNode {
	return m.sim.nodes[rapid.IntRange(0, len(m.sim.nodes)-1).Draw(m.t, label)]
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			m.sim.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * simTick)
		},
		"kill":   func(*rapid.T) { m.sim.kill(m.drawNode("kill")) },
		"freeze": func(*rapid.T) { m.drawNode("freeze").frozen = true },
		"thaw": func(*rapid.T) {
			if n := m.drawNode("thaw"); n.alive && n.frozen {
				m.sim.thaw(n)
			}
		},
		"leave": func(*rapid.T) {
			if n := m.drawNode("leave"); n.alive && !n.frozen {
				m.sim.leave(n)
			}
		},
		"rejoin": func(*rapid.T) { m.replaceProcess(m.drawNode("rejoin")) },
		"block one way": func(t *rapid.T) {
			a, b := m.drawNode("from").self.UDP, m.drawNode("to").self.UDP
			all := rapid.Bool().Draw(t, "all destinations")
			old := m.sim.blocked
			m.sim.blocked = func(from, to netip.AddrPort) bool {
				return from == a && (all || to == b) || old != nil && old(from, to)
			}
		},
		"block both ways": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "side")
			side := func(a netip.AddrPort) uint64 { return mask >> a.Addr().As4()[3] & 1 }
			m.sim.blocked = func(from, to netip.AddrPort) bool { return side(from) != side(to) }
		},
		"heal": func(*rapid.T) { m.sim.blocked = nil },
		"network": func(t *rapid.T) {
			m.sim.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			m.sim.jitter = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) { m.checkRates() },
	}
}

// replaceProcess kills the process at an address and starts a new one there.
func (m *model) replaceProcess(n *simNode) {
	if m.sim.byAddr[n.self.UDP] != n {
		return
	}
	m.sim.kill(n)
	octets := n.self.UDP.Addr().As4()
	m.sim.add(int(octets[2])<<8|int(octets[3]), n.self.Domain)
}

func (m *model) checkRates() {
	for _, n := range m.sim.nodes {
		if limit := maxDatagramsPerSecond*(m.sim.localTime(n).Seconds()+1) + 100; float64(n.sent) > limit {
			m.t.Fatalf("%s sent %d datagrams in %v", n.self.Name, n.sent, m.sim.localTime(n))
		}
	}
}

// Guards against views that do not converge after faults, dead or leaving incarnations
// that become alive again, pauses that are not detected, and message storms.
func TestRapidViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.sim.blocked, m.sim.loss, m.sim.jitter = nil, 0, 0
		for _, n := range m.sim.nodes {
			if n.alive && n.frozen {
				m.sim.thaw(n)
			}
		}
		m.sim.run(convergenceTicks * simTick)
		if diff := m.sim.firstDisagreement(); diff != "" {
			t.Fatalf("%d ticks after the network healed: %s", convergenceTicks, diff)
		}
		m.checkRates()
	})
}

// Guards against a process that relies on its outdated view after a pause: it must report
// the pause, be stale for at most 1 s, and be fresh as soon as a peer answers.
func TestPauseMakesViewStale(t *testing.T) {
	s := newCluster(6, 8, "a")
	s.run(20 * time.Second)
	n := s.nodes[3]
	n.frozen = true
	s.run(1900 * time.Millisecond)
	if s.thaw(n); n.pauses != 0 || !n.machine.Fresh(s.now) {
		t.Fatal("a pause shorter than MaxTickGap was reported")
	}
	s.run(time.Second)
	n.frozen = true
	s.run(10 * time.Second)
	if n.machine.Fresh(s.now) {
		t.Fatal("fresh during a pause")
	}
	s.thaw(n)
	s.perform(n, n.machine.Tick(s.now))
	if n.pauses != 1 || n.machine.Fresh(s.now) {
		t.Fatalf("paused %d times, fresh %v after a pause of 10 s", n.pauses, n.machine.Fresh(s.now))
	}
	s.run(100 * time.Millisecond)
	if !n.machine.Fresh(s.now) {
		t.Fatal("not fresh although a peer has answered")
	}
	runUntilConverged(t, s, 10*time.Second)
	s.blocked = func(from, to netip.AddrPort) bool { return true }
	n.frozen = true
	s.run(5 * time.Second)
	s.thaw(n)
	s.perform(n, n.machine.Tick(s.now))
	s.run(900 * time.Millisecond)
	if n.machine.Fresh(s.now) {
		t.Fatal("fresh before an answer or the end of RefreshTimeout")
	}
	s.run(200 * time.Millisecond)
	if !n.machine.Fresh(s.now) {
		t.Fatal("an isolated instance is still stale after RefreshTimeout")
	}
}

// Guards against metadata that does not arrive, arrives with a wrong age, or replaces
// newer metadata.
func TestMetadataCarriesItsAge(t *testing.T) {
	s := newCluster(7, 3, "a")
	s.run(10 * time.Second)
	n := s.nodes[0]
	if n.machine.SetMetadata(s.now, 41, make([]byte, MaxPressureBytes+1)) {
		t.Error("a pressure longer than MaxPressureBytes was accepted")
	}
	n.machine.SetMetadata(s.now, 42, []byte{7})
	setAt := s.now
	s.run(3 * time.Second)
	for _, other := range s.nodes[1:] {
		known, _ := other.machine.Member(n.self.Incarnation.Process)
		if known.Revision != 42 || len(known.Pressure) != 1 {
			t.Errorf("%s knows revision %d and pressure %v", other.self.Name, known.Revision, known.Pressure)
		}
		if datedAt := other.machine.members[n.self.Incarnation.Process].metadataAt; datedAt < setAt || datedAt > setAt+10*time.Millisecond {
			t.Errorf("metadata set at %v is dated %v", setAt, datedAt)
		}
	}
}

// Guards against message storms: a member that learns of thousands of changes within a
// second sends at most ten rounds of urgent gossip.
func TestUrgentGossipIsBounded(t *testing.T) {
	m := newMachineWithMembers(20)
	sent, now := 0, time.Duration(0)
	count := func(actions []Action) {
		for _, a := range actions {
			if s, ok := a.(Send); ok && s.Message.Kind == Gossip {
				sent++
			}
		}
	}
	count(m.Tick(now))
	for i := range 2000 {
		now += 500 * time.Microsecond
		member := Member{Name: "x", Domain: "lanester", UDP: simAddr(100 + i), State: Alive}
		member.Incarnation.Process = Process{byte(i), byte(i >> 8), 2}
		count(m.Receive(now, member.UDP, Message{Kind: Gossip, From: member}))
		if i%200 == 199 {
			count(m.Tick(now))
		}
	}
	if rounds := 2 + int(now/MinGossipInterval)*2; sent > rounds*(2+randomGossipTargets) {
		t.Errorf("%d urgent messages in %v", sent, now)
	}
}

// Guards against invalid messages that change the view or cause actions.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	s := newCluster(8, 2, "a")
	s.run(5 * time.Second)
	m, other := s.nodes[0].machine, s.nodes[1].self
	other.State = Alive
	mutated := func(mutate func(*Message)) Message {
		msg := Message{Kind: Ping, From: other}
		msg.From.Incarnation.Number += 9
		mutate(&msg)
		return msg
	}
	before := m.Members("a")
	for i, msg := range []Message{
		mutated(func(msg *Message) { msg.Kind = 0 }),
		mutated(func(msg *Message) { msg.Kind = SyncReply + 1 }),
		mutated(func(msg *Message) { msg.From.Name = "" }),
		mutated(func(msg *Message) { msg.From.State = Dead }),
		mutated(func(msg *Message) { msg.From.UDP = netip.AddrPort{} }),
		mutated(func(msg *Message) { msg.From.Pressure = make([]byte, MaxPressureBytes+1) }),
		mutated(func(msg *Message) { msg.Updates = make([]Member, MaxUpdates+1) }),
		mutated(func(msg *Message) { msg.Updates = make([]Member, 1) }),
		mutated(func(msg *Message) { msg.From.Incarnation = m.Self().Incarnation }),
	} {
		if actions := m.Receive(s.now, other.UDP, msg); len(actions) > 0 || m.Stats().Invalid != uint64(i+1) {
			t.Errorf("message %d: actions %v, %d counted", i, actions, m.Stats().Invalid)
		}
	}
	if after := m.Members("a"); fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("view changed from %v to %v", before, after)
	}
}
