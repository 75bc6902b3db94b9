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

// gossipSize is a membership with the same number of members in each domain.
type gossipSize struct{ domains, members int }

// measureMembership measures the failure detector over the members of one domain and
// over the number of domains: on sockets for processor time, and without them for
// messages, bytes and memory.
func measureMembership(ctx context.Context, r *Recorder) error {
	var overMembers, overDomains, overMany []gossipSize
	for _, n := range []int{8, 40, 160, 400} {
		overMembers = append(overMembers, gossipSize{1, n})
	}
	for _, n := range []int{1, 2, 3, 4} {
		overDomains = append(overDomains, gossipSize{n, 8})
	}
	// The links of a member are bounded at eight pings a second, which five domains reach:
	// the line changes there.
	for _, n := range []int{5, 9, 19} {
		overMany = append(overMany, gossipSize{n, 8})
	}
	domains := func(s gossipSize) int { return s.domains }
	if err := r.membership(ctx, "members", "members of the only domain", overMembers, func(s gossipSize) int { return s.members }); err != nil {
		return err
	}
	if err := r.membership(ctx, "domains", "domains of 8 members", overDomains, domains); err != nil {
		return err
	}
	return r.membership(ctx, "many_domains", "domains of 8 members", overMany, domains)
}

func (r *Recorder) membership(ctx context.Context, name, axis string, sizes []gossipSize, size func(gossipSize) int) error {
	var cpu, messages, bytes, memory []Point
	for _, s := range sizes {
		x := float64(size(s))
		c, err := gossipProcessorTime(ctx, s)
		if err != nil {
			return err
		}
		m, err := simulateGossip(s)
		if err != nil {
			return err
		}
		cpu, messages = append(cpu, Point{x, c}), append(messages, Point{x, m.messages})
		bytes, memory = append(bytes, Point{x, m.bytes}), append(memory, Point{x, m.memory})
	}
	r.put("membership.cpu_over_"+name, axis, "µs/s", cpu)
	r.put("membership.messages_over_"+name, axis, "1/s", messages)
	r.put("membership.bytes_over_"+name, axis, "B/s", bytes)
	r.put("membership.memory_over_"+name, axis, "B", memory)
	return nil
}

// gossipProcessorTime runs the members on loopback sockets and returns the processor
// time of one member in µs per second after all have joined.
func gossipProcessorTime(ctx context.Context, s gossipSize) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	keys, err := newKeys()
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
		// A member's loop ends with the context; an error shows as a missing member below.
		running.Go(func() { _ = g.Run(ctx) })
	}
	if err := awaitJoined(ctx, machines, total); err != nil {
		return 0, err
	}
	if err := wait(ctx, 3*time.Second); err != nil {
		return 0, err
	}
	share, err := processorShare(ctx, idleTime)
	return share * 1e6 / float64(total), err
}

// joinTimeout bounds the wait until all members know each other.
const joinTimeout = time.Minute

func awaitJoined(ctx context.Context, machines []*membership.Machine, total int) error {
	limit := time.Now().Add(joinTimeout)
	for _, m := range machines {
		for {
			known := 0
			for _, d := range m.Domains() {
				known += len(m.Members(d))
			}
			if known == total {
				break
			}
			if time.Now().After(limit) {
				return errors.Errorf("a member knows %d of %d", known, total)
			}
			if err := wait(ctx, 50*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// gossipFigures are those of one member.
type gossipFigures struct{ messages, bytes, memory float64 }

const (
	// settleTime is how long simulated members run before they are observed. The claims
	// of the common start travel in probes for almost three minutes at 400 members.
	settleTime = 180 * time.Second
	// observeTime is how long they are observed.
	observeTime = 20 * time.Second
)

type simulatedMember struct {
	machine *membership.Machine
	codec   *peerwire.DatagramCodec
	address netip.AddrPort
}

type simulation struct {
	members map[netip.AddrPort]*simulatedMember
	order   []*simulatedMember
	count   bool
	gossipFigures
}

// simulateGossip runs the members in simulated time; a datagram arrives at once.
func simulateGossip(s gossipSize) (gossipFigures, error) {
	keys, err := newKeys()
	if err != nil {
		return gossipFigures{}, err
	}
	total := s.domains * s.members
	before := heldBytes()
	sim := &simulation{members: map[netip.AddrPort]*simulatedMember{}}
	var seeds []netip.AddrPort
	for i := range total {
		self := newMember(i, fmt.Sprint("domain-", i%s.domains))
		m := &simulatedMember{codec: peerwire.NewDatagramCodec(keys, self.Incarnation.Process), address: self.UDP}
		m.machine = membership.New(membership.Options{Self: self, Seeds: seeds}, mathrand.New(mathrand.NewPCG(uint64(i), 1)))
		sim.members[self.UDP], sim.order = m, append(sim.order, m)
		if len(seeds) < 2*s.domains {
			seeds = append(seeds, self.UDP)
		}
	}
	for now := time.Duration(0); now < settleTime+observeTime; now += peer.TickInterval {
		sim.count = now >= settleTime
		for i, m := range sim.order {
			// Ticks are spread over the interval, as those of independent processes are.
			at := now + peer.TickInterval*time.Duration(i)/time.Duration(total)
			if err := sim.deliver(at, m, m.machine.Tick(at)); err != nil {
				return gossipFigures{}, err
			}
		}
	}
	f := sim.gossipFigures
	f.memory = (heldBytes() - before) / float64(total)
	runtime.KeepAlive(sim)
	f.messages /= observeTime.Seconds() * float64(total)
	f.bytes /= observeTime.Seconds() * float64(total)
	return f, nil
}

// deliver carries out the actions of a member and of those that it reaches.
func (s *simulation) deliver(now time.Duration, from *simulatedMember, actions []membership.Action) error {
	for _, a := range actions {
		send, ok := a.(membership.Send)
		if !ok {
			continue
		}
		b, err := from.codec.Seal(send.Message)
		if err != nil {
			return errors.Wrap(err, "seal")
		}
		if s.count {
			s.messages++
			s.bytes += float64(len(b) + datagramBytes)
		}
		to := s.members[send.To]
		if to == nil {
			continue
		}
		m, err := to.codec.Open(b)
		if err != nil {
			return errors.Wrap(err, "open")
		}
		if err := s.deliver(now, to, to.machine.Receive(now, from.address, m)); err != nil {
			return err
		}
	}
	return nil
}
