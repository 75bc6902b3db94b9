package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

// Guards against a loop that loses datagrams or actions: three processes on real
// sockets find each other, and learn of a stop and of a cut.
func TestGossipFindsMembers(t *testing.T) {
	var cut atomic.Bool
	var seeds []netip.AddrPort
	var loops []*Gossip
	var codecs []*peerwire.Datagrams
	var changes atomic.Int64
	start := time.Now()
	for i := range 3 {
		codec := peerwire.NewDatagrams(keyList(t, "gossip"), membership.Process{byte(i + 1)})
		g, err := ListenGossip(loopback, GossipOptions{
			Codec:    codec,
			Now:      func() time.Duration { return time.Since(start) },
			OnAction: func(time.Duration, membership.Action) { changes.Add(1) },
			Drop:     func(to netip.AddrPort) bool { return cut.Load() && (i == 2 || to == seeds[2]) },
		})
		if err != nil {
			t.Fatal(err)
		}
		loops, codecs, seeds = append(loops, g), append(codecs, codec), append(seeds, g.Addr())
	}
	ctx, cancel := context.WithCancel(testContext(t))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var machines []*membership.Machine
	for i, g := range loops {
		self := membership.Member{Name: fmt.Sprint("i", i), Domain: "a", Incarnation: membership.Incarnation{Process: membership.Process{byte(i + 1)}}, UDP: g.Addr(), TCP: g.Addr()}
		m := membership.New(membership.Options{Self: self, Seeds: seeds, ProbePeriod: 200 * time.Millisecond, SuspicionTimeout: 400 * time.Millisecond}, rand.New(rand.NewPCG(uint64(i), 1)))
		machines = append(machines, m)
		g.SetMachine(m)
		running.Go(func() {
			if err := g.Run(ctx); err != nil {
				t.Error(err)
			}
		})
	}
	until := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			if ctx.Err() != nil {
				t.Fatalf("%s: %v %v %v", what, machines[0].Members("a"), machines[1].Members("a"), machines[2].Members("a"))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	count := func(i, n int) bool { return len(machines[i].Members("a")) == n }
	until("join", func() bool { return count(0, 3) && count(1, 3) && count(2, 3) })
	cut.Store(true)
	until("cut", func() bool { return count(0, 2) && count(1, 2) && count(2, 1) })
	cut.Store(false)
	until("heal", func() bool { return count(0, 3) && count(1, 3) && count(2, 3) })
	loops[1].Leave()
	until("leave", func() bool {
		x, _ := machines[0].Member(membership.Process{2})
		return x.State == membership.Leaving
	})
	garbage, err := net.Dial("udp", seeds[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer garbage.Close()
	for codecs[0].Stats().Unauthenticated == 0 {
		if _, err := garbage.Write(append([]byte{peerwire.Version}, make([]byte, 200)...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if changes.Load() == 0 {
		t.Error("no action was reported")
	}
}
