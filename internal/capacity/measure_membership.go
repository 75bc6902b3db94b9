package capacity

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// gossipSize is the size of a membership: a number of domains with the same number of
// members each.
type gossipSize struct{ domains, members int }

// measureMembership measures the failure detector over the number of members of a single
// domain and over the number of domains. CPU time is measured on real sockets; messages,
// bytes and memory come from a simulation.
func measureMembership(ctx context.Context, r *Recorder) error {
	var overMembers, overDomains, overManyDomains []gossipSize
	for _, n := range []int{8, 40, 160, 400} {
		overMembers = append(overMembers, gossipSize{1, n})
	}
	for _, n := range []int{1, 2, 3, 4} {
		overDomains = append(overDomains, gossipSize{n, 8})
	}
	// A member sends at most eight cross-domain pings a second. Five domains reach this
	// limit, so sizes from there on form a separate series with its own line.
	for _, n := range []int{5, 9, 19} {
		overManyDomains = append(overManyDomains, gossipSize{n, 8})
	}
	domains := func(s gossipSize) int { return s.domains }
	if err := r.measureMembershipSizes(ctx, "members", "members of the only domain", overMembers, func(s gossipSize) int { return s.members }); err != nil {
		return err
	}
	if err := r.measureMembershipSizes(ctx, "domains", "domains of 8 members", overDomains, domains); err != nil {
		return err
	}
	return r.measureMembershipSizes(ctx, "many_domains", "domains of 8 members", overManyDomains, domains)
}

// measureMembershipSizes measures the given sizes and records four series whose names end
// in name. sizeOf returns the size that the series are plotted over.
func (r *Recorder) measureMembershipSizes(ctx context.Context, name, sizeLabel string, sizes []gossipSize, sizeOf func(gossipSize) int) error {
	var cpu, messages, bytes, memory []Point
	for _, s := range sizes {
		size := float64(sizeOf(s))
		c, err := gossipCPUTime(ctx, s)
		if err != nil {
			return err
		}
		m, err := simulateGossip(s)
		if err != nil {
			return err
		}
		cpu, messages = append(cpu, Point{size, c}), append(messages, Point{size, m.messagesPerSecond})
		bytes, memory = append(bytes, Point{size, m.bytesPerSecond}), append(memory, Point{size, m.memoryBytes})
	}
	r.record("membership.cpu_over_"+name, sizeLabel, "µs/s", cpu)
	r.record("membership.messages_over_"+name, sizeLabel, "1/s", messages)
	r.record("membership.bytes_over_"+name, sizeLabel, "B/s", bytes)
	r.record("membership.memory_over_"+name, sizeLabel, "B", memory)
	return nil
}

// gossipCPUTime runs the members on loopback sockets and returns the CPU time of one
// member in µs per second after all have joined.
func gossipCPUTime(ctx context.Context, s gossipSize) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	keys, err := newKeyList()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	var machines []*membership.Machine
	var seeds []netip.AddrPort
	total := s.domains * s.members
	for i := range total {
		self := newMember(i, fmt.Sprint("domain-", i%s.domains))
		g, err := peer.ListenGossip(loopback, peer.GossipOptions{Codec: peerwire.NewDatagramCodec(keys, self.Incarnation.Process), Now: now,
			OnAction: func(time.Duration, membership.Action) {}})
		if err != nil {
			return 0, err
		}
		self.UDP, self.TCP = g.Addr(), g.Addr()
		m := membership.New(membership.Options{Self: self, Seeds: seeds}, mathrand.New(mathrand.NewPCG(uint64(i), 1)))
		g.SetMachine(m)
		machines = append(machines, m)
		if len(seeds) < 2*s.domains {
			seeds = append(seeds, g.Addr())
		}
		// Run ends with the context. An earlier error makes awaitFullMembership fail.
		running.Go(func() { _ = g.Run(ctx) })
	}
	if err := awaitFullMembership(ctx, machines, total); err != nil {
		return 0, err
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return 0, err
	}
	share, err := measureCPUShare(ctx, idleObservation)
	return share * 1e6 / float64(total), err
}

// joinTimeout limits the wait until all members know each other.
const joinTimeout = time.Minute

func awaitFullMembership(ctx context.Context, machines []*membership.Machine, total int) error {
	deadline := time.Now().Add(joinTimeout)
	for _, m := range machines {
		for {
			known := 0
			for _, d := range m.Domains() {
				known += len(m.Members(d))
			}
			if known == total {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("a member knows only %d of %d members after joinTimeout", known, total)
			}
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// gossipCost holds figures per member. During a simulation the fields hold totals.
type gossipCost struct{ messagesPerSecond, bytesPerSecond, memoryBytes float64 }

const (
	// gossipWarmup is the simulated time before the observation. With 400 members that start
	// together, the initial claims are piggybacked on probes for almost three minutes.
	gossipWarmup = 180 * time.Second
	// gossipObservation is the simulated time of the observation.
	gossipObservation = 20 * time.Second
)

type simulatedMember struct {
	machine *membership.Machine
	codec   *peerwire.DatagramCodec
	address netip.AddrPort
}

type gossipSimulation struct {
	members  map[netip.AddrPort]*simulatedMember
	ordered  []*simulatedMember
	counting bool
	gossipCost
}

// simulateGossip runs the members in simulated time. Datagrams are delivered without
// delay.
func simulateGossip(s gossipSize) (gossipCost, error) {
	keys, err := newKeyList()
	if err != nil {
		return gossipCost{}, err
	}
	total := s.domains * s.members
	before := liveBytes()
	sim := &gossipSimulation{members: map[netip.AddrPort]*simulatedMember{}}
	var seeds []netip.AddrPort
	for i := range total {
		self := newMember(i, fmt.Sprint("domain-", i%s.domains))
		m := &simulatedMember{codec: peerwire.NewDatagramCodec(keys, self.Incarnation.Process), address: self.UDP}
		m.machine = membership.New(membership.Options{Self: self, Seeds: seeds}, mathrand.New(mathrand.NewPCG(uint64(i), 1)))
		sim.members[self.UDP], sim.ordered = m, append(sim.ordered, m)
		if len(seeds) < 2*s.domains {
			seeds = append(seeds, self.UDP)
		}
	}
	for now := time.Duration(0); now < gossipWarmup+gossipObservation; now += peer.TickInterval {
		sim.counting = now >= gossipWarmup
		for i, m := range sim.ordered {
			// The ticks are spread over the interval, as they are for independent processes.
			at := now + peer.TickInterval*time.Duration(i)/time.Duration(total)
			if err := sim.deliver(at, m, m.machine.Tick(at)); err != nil {
				return gossipCost{}, err
			}
		}
	}
	f := sim.gossipCost
	f.memoryBytes = (liveBytes() - before) / float64(total)
	runtime.KeepAlive(sim)
	f.messagesPerSecond /= gossipObservation.Seconds() * float64(total)
	f.bytesPerSecond /= gossipObservation.Seconds() * float64(total)
	return f, nil
}

// deliver delivers the messages that a member sends, and recursively those that the
// receivers send in reply.
func (s *gossipSimulation) deliver(now time.Duration, from *simulatedMember, actions []membership.Action) error {
	for _, a := range actions {
		send, ok := a.(membership.Send)
		if !ok {
			continue
		}
		b, err := from.codec.Seal(send.Message)
		if err != nil {
			return errors.Wrap(err, "seal")
		}
		if s.counting {
			s.messagesPerSecond++
			s.bytesPerSecond += float64(len(b) + udpHeaderBytes)
		}
		receiver := s.members[send.To]
		if receiver == nil {
			continue
		}
		m, err := receiver.codec.Open(b)
		if err != nil {
			return errors.Wrap(err, "open")
		}
		if err := s.deliver(now, receiver, receiver.machine.Receive(now, from.address, m)); err != nil {
			return err
		}
	}
	return nil
}
