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

// Guards against lost datagrams or actions between socket and machine: three processes on
// real sockets must find each other, and must notice a partition and a planned leave.
func TestGossipFindsMembers(t *testing.T) {
	var partitioned atomic.Bool
	var seeds []netip.AddrPort
	var gossips []*Gossip
	var codecs []*peerwire.DatagramCodec
	var actionCount atomic.Int64
	start := time.Now()
	for i := range 3 {
		codec := peerwire.NewDatagramCodec(keyList(t, "gossip"), membership.Process{byte(i + 1)})
		g, err := ListenGossip(loopback, GossipOptions{
			Codec:    codec,
			Now:      func() time.Duration { return time.Since(start) },
			OnAction: func(time.Duration, membership.Action) { actionCount.Add(1) },
			Drop:     func(to netip.AddrPort) bool { return partitioned.Load() && (i == 2 || to == seeds[2]) },
		})
		if err != nil {
			t.Fatal(err)
		}
		gossips, codecs, seeds = append(gossips, g), append(codecs, codec), append(seeds, g.Addr())
	}
	ctx, cancel := context.WithCancel(testContext(t))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var machines []*membership.Machine
	for i, g := range gossips {
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
	waitFor := func(what string, ok func() bool) {
		t.Helper()
		for !ok() {
			if ctx.Err() != nil {
				t.Fatalf("%s: %v %v %v", what, machines[0].Members("a"), machines[1].Members("a"), machines[2].Members("a"))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	hasMembers := func(i, n int) bool { return len(machines[i].Members("a")) == n }
	waitFor("join", func() bool { return hasMembers(0, 3) && hasMembers(1, 3) && hasMembers(2, 3) })
	partitioned.Store(true)
	waitFor("partition", func() bool { return hasMembers(0, 2) && hasMembers(1, 2) && hasMembers(2, 1) })
	partitioned.Store(false)
	waitFor("heal", func() bool { return hasMembers(0, 3) && hasMembers(1, 3) && hasMembers(2, 3) })
	gossips[1].Leave()
	waitFor("leave", func() bool {
		member, _ := machines[0].Member(membership.Process{2})
		return member.State == membership.Leaving
	})
	sender, err := net.Dial("udp", seeds[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for codecs[0].Stats().Unauthenticated == 0 {
		if _, err := sender.Write(append([]byte{peerwire.Version}, make([]byte, 200)...)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if actionCount.Load() == 0 {
		t.Error("no action was reported")
	}
}
