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
	// healTicks is the number of ticks after which all views agree once the network
	// works again: the last crash must be found (up to 4 periods of waiting, one
	// without an answer, 3 s of suspicion), refutations must end, and members that
	// were removed on both sides must meet again.
	healTicks = 400
	// maxRate bounds the datagrams that a member sends in a second, on average over
	// a run: 50 of urgent gossip while members change all the time, and its probes,
	// links and answers.
	maxRate = 60
)

// model drives a sim by generated events and checks each change against what the
// processes have announced.
type model struct {
	t       *rapid.T
	s       *sim
	seen    map[string]State // by observer, process and counter
	left    map[Process]bool
	domains []string
	perSite int
}

func newModel(t *rapid.T) *model {
	r := &model{t: t, seen: map[string]State{}, left: map[Process]bool{}, perSite: rapid.IntRange(1, 5).Draw(t, "per domain")}
	r.domains = []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "domains")]
	r.s = build(rapid.Uint64().Draw(t, "seed"), r.perSite, r.domains...)
	// The platform's list names all addresses; without a live seed, processes that
	// start together could not find each other.
	r.s.seeds = nil
	for i := range r.perSite * len(r.domains) {
		r.s.seeds = append(r.s.seeds, simAddr(i))
	}
	for _, n := range r.s.nodes {
		n.m.SetSeeds(r.s.seeds)
	}
	r.s.changes = r.check
	r.s.wire = true // machines must not share memory
	r.s.run(15 * time.Second)
	return r
}

// check is the oracle for a single change: within an incarnation the state only
// grows, and a process that has left is never alive again for anybody.
func (r *model) check(n *simNode, c Changed) {
	p := c.Member.Incarnation
	key := fmt.Sprintf("%v %v %d", n.self.Incarnation.Process, p.Process, p.Refutation)
	// A tombstone outlives every datagram of this simulation, so a state that was
	// once seen must not be taken back.
	if old := r.seen[key]; c.Member.State < old && old >= Leaving {
		r.t.Fatalf("%s saw %s incarnation %d as %v after %v", n.self.Name, c.Member.Name, p.Refutation, c.Member.State, old)
	}
	r.seen[key] = max(r.seen[key], c.Member.State)
	left := fmt.Sprintf("%v left %v", n.self.Incarnation.Process, p.Process)
	if c.Member.State == Leaving {
		r.seen[left] = Leaving
	} else if c.Member.State < Leaving && r.seen[left] == Leaving {
		r.t.Fatalf("%s saw %s as %v after it left", n.self.Name, c.Member.Name, c.Member.State)
	}
}

func (r *model) pick(label string) *simNode {
	return r.s.nodes[rapid.IntRange(0, len(r.s.nodes)-1).Draw(r.t, label)]
}

func (r *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			r.s.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * simTick)
		},
		"kill":   func(*rapid.T) { r.s.kill(r.pick("kill")) },
		"freeze": func(*rapid.T) { r.pick("freeze").frozen = true },
		"thaw": func(*rapid.T) {
			if n := r.pick("thaw"); n.alive && n.frozen {
				r.s.thaw(n)
			}
		},
		"leave": func(*rapid.T) {
			if n := r.pick("leave"); n.alive && !n.frozen {
				r.s.leave(n)
			}
		},
		"rejoin": func(*rapid.T) { r.rejoin(r.pick("rejoin")) },
		"cut one way": func(t *rapid.T) {
			a, b := r.pick("from").self.UDP, r.pick("to").self.UDP
			all := rapid.Bool().Draw(t, "all destinations")
			old := r.s.cut
			r.s.cut = func(from, to netip.AddrPort) bool {
				return from == a && (all || to == b) || old != nil && old(from, to)
			}
		},
		"cut in two": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "side")
			side := func(a netip.AddrPort) uint64 { return mask >> a.Addr().As4()[3] & 1 }
			r.s.cut = func(from, to netip.AddrPort) bool { return side(from) != side(to) }
		},
		"heal": func(*rapid.T) { r.s.cut = nil },
		"network": func(t *rapid.T) {
			r.s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			r.s.jitter = rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 3 * time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) { r.checkRates() },
	}
}

// rejoin replaces the process at an address by a new one.
func (r *model) rejoin(n *simNode) {
	if r.s.byAddr[n.self.UDP] != n {
		return
	}
	r.s.kill(n)
	b := n.self.UDP.Addr().As4()
	r.s.add(int(b[2])<<8|int(b[3]), n.self.Domain)
}

func (r *model) checkRates() {
	for _, n := range r.s.nodes {
		if limit := maxRate*(r.s.local(n).Seconds()+1) + 100; float64(n.sent) > limit {
			r.t.Fatalf("%s sent %d datagrams in %v", n.self.Name, n.sent, r.s.local(n))
		}
	}
}

// Guards against views that never agree again, against dead or leaving incarnations
// that come back, against late wake-ups that go unnoticed, and against message storms.
func TestRapidViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newModel(t)
		t.Repeat(r.actions())
		r.s.cut, r.s.loss, r.s.jitter = nil, 0, 0
		for _, n := range r.s.nodes {
			if n.alive && n.frozen {
				r.s.thaw(n)
			}
		}
		r.s.run(healTicks * simTick)
		if diff := r.s.disagreement(); diff != "" {
			t.Fatalf("%d ticks after the network healed: %s", healTicks, diff)
		}
		r.checkRates()
	})
}

// Guards against a process that wakes up late and trusts its old view: it must report
// the pause, refuse for at most 1 s, and be fresh at once when a peer answers.
func TestPauseMakesViewStale(t *testing.T) {
	s := build(6, 8, "a")
	s.run(20 * time.Second)
	n := s.nodes[3]
	n.frozen = true
	s.run(1900 * time.Millisecond)
	if s.thaw(n); n.paused != 0 || !n.m.Fresh(s.now) {
		t.Fatal("a pause shorter than the lease was reported")
	}
	s.run(time.Second)
	n.frozen = true
	s.run(10 * time.Second)
	if n.m.Fresh(s.now) {
		t.Fatal("fresh before the tick that follows a pause")
	}
	s.thaw(n)
	s.perform(n, n.m.Tick(s.now))
	if n.paused != 1 || n.m.Fresh(s.now) {
		t.Fatalf("paused %d times, fresh %v after a pause of 10 s", n.paused, n.m.Fresh(s.now))
	}
	s.run(100 * time.Millisecond)
	if !n.m.Fresh(s.now) {
		t.Fatal("not fresh although a peer has answered")
	}
	converge(t, s, 10*time.Second)
	s.cut = func(from, to netip.AddrPort) bool { return true }
	n.frozen = true
	s.run(5 * time.Second)
	s.thaw(n)
	s.perform(n, n.m.Tick(s.now))
	s.run(900 * time.Millisecond)
	if n.m.Fresh(s.now) {
		t.Fatal("fresh without an answer")
	}
	s.run(200 * time.Millisecond)
	if !n.m.Fresh(s.now) {
		t.Fatal("an isolated instance does not go on after 1 s")
	}
}

// Guards against values that do not arrive, arrive with a wrong age, or replace newer
// ones.
func TestValuesCarryTheirAge(t *testing.T) {
	s := build(7, 3, "a")
	s.run(10 * time.Second)
	n := s.nodes[0]
	if n.m.SetValues(s.now, 41, make([]byte, MaxPressure+1)) {
		t.Error("a pressure above the limit was taken")
	}
	n.m.SetValues(s.now, 42, []byte{7})
	at := s.now
	s.run(3 * time.Second)
	for _, o := range s.nodes[1:] {
		x, _ := o.m.Member(n.self.Incarnation.Process)
		if x.Revision != 42 || len(x.Pressure) != 1 {
			t.Errorf("%s knows revision %d and pressure %v", o.self.Name, x.Revision, x.Pressure)
		}
		if v := o.m.members[n.self.Incarnation.Process].valueAt; v < at || v > at+10*time.Millisecond {
			t.Errorf("values of %v were dated %v", at, v)
		}
	}
}

// Guards against a storm: a member that hears of thousands of changes within a second
// sends at most ten rounds of urgent gossip.
func TestUrgentGossipIsBounded(t *testing.T) {
	m := filled(20)
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
		c := Member{Name: "x", Domain: "lanester", UDP: simAddr(100 + i), State: Alive}
		c.Incarnation.Process = Process{byte(i), byte(i >> 8), 2}
		count(m.Receive(now, c.UDP, Message{Kind: Gossip, From: c}))
		if i%200 == 199 {
			count(m.Tick(now))
		}
	}
	if rounds := 2 + int(now/FlushInterval)*2; sent > rounds*(2+randomGossip) {
		t.Errorf("%d urgent messages in %v", sent, now)
	}
}

// Guards against messages whose fields the machine must not rely on.
func TestInvalidMessagesChangeNothing(t *testing.T) {
	s := build(8, 2, "a")
	s.run(5 * time.Second)
	m, other := s.nodes[0].m, s.nodes[1].self
	other.State = Alive
	bad := func(f func(*Message)) Message {
		msg := Message{Kind: Ping, From: other}
		msg.From.Incarnation.Refutation += 9
		f(&msg)
		return msg
	}
	before := m.Members("a")
	for i, msg := range []Message{
		bad(func(x *Message) { x.Kind = 0 }),
		bad(func(x *Message) { x.Kind = SyncReply + 1 }),
		bad(func(x *Message) { x.From.Name = "" }),
		bad(func(x *Message) { x.From.State = Dead }),
		bad(func(x *Message) { x.From.UDP = netip.AddrPort{} }),
		bad(func(x *Message) { x.From.Pressure = make([]byte, MaxPressure+1) }),
		bad(func(x *Message) { x.Updates = make([]Member, MaxUpdates+1) }),
		bad(func(x *Message) { x.Updates = make([]Member, 1) }),
		bad(func(x *Message) { x.From.Incarnation = m.Self().Incarnation }),
	} {
		if out := m.Receive(s.now, other.UDP, msg); len(out) > 0 || m.Stats().Invalid != uint64(i+1) {
			t.Errorf("message %d: actions %v, %d counted", i, out, m.Stats().Invalid)
		}
	}
	if after := m.Members("a"); fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("view changed from %v to %v", before, after)
	}
}
