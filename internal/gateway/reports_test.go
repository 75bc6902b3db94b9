package gateway

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// newFleet returns the members of a fleet of n instances and the relay topology of each.
func newFleet(n int) (members []membership.Member, topologies []relayTopology) {
	for i := range n {
		m := membership.Member{Name: fmt.Sprintf("front-%03d", i)}
		m.Incarnation.Process = membership.Process{byte(i), byte(i >> 8), 1}
		members = append(members, m)
	}
	for i, self := range members {
		var live []membership.Member
		for j, m := range members {
			if j != i {
				live = append(live, m)
			}
		}
		topologies = append(topologies, newRelayTopology(self, live))
	}
	return members, topologies
}

// Guards against reports that saturate the link of a relay: its calls to the platform then
// time out and it keeps using an old configuration (ngri-bridge-grown scale-1, CONFIG at
// front-cai-c-7). The load is the burst of ngri-bridge-grown: 1,500 placements per second
// at 63 instances with links of 10 Mbit/s.
func TestRelayedReportsFitLinkBandwidth(t *testing.T) {
	const (
		instances           = 63
		upstreams           = 140
		placementsPerSecond = 1500 // in the fleet
		linkBytesPerSecond  = 10e6 / 8
		maxLinkShare        = 0.5 // requests and responses need a fifth of the link in each direction
	)
	rng := rand.New(rand.NewPCG(1, 1))
	perReport := int(math.Ceil(placementsPerSecond * relayedReportInterval.Seconds() / instances))
	newReport := func(origin int) originReport {
		var report dispatch.Report
		for range perReport {
			tag := dispatch.Tag(rng.Uint32())
			report.Placed = append(report.Placed, dispatch.Work{Upstream: tag, Prefill: time.Duration(rng.IntN(300_000_000)), Rank: 2, Long: true,
				Session: dispatch.Part{ID: rng.Uint64(), Tokens: 6300}})
			// Each request changes the load of its upstream twice.
			report.Loads = append(report.Loads, dispatch.Load{Upstream: tag, InFlight: 1}, dispatch.Load{Upstream: dispatch.Tag(rng.Uint32()), InFlight: 1})
		}
		return originReport{Origin: membership.Process{byte(origin), 1}.String(), Services: map[string]dispatch.Report{"service": report}}
	}
	batchSize := func(origins int) int {
		var b reportBatch
		for i := range origins {
			b.Reports = append(b.Reports, newReport(i))
		}
		payload, err := encodeCompact(b)
		if err != nil {
			t.Fatal(err)
		}
		return len(payload)
	}
	_, topologies := newFleet(instances)
	for i, topology := range topologies {
		if !topology.isRelay {
			continue
		}
		groupMembers := len(topology.members) + 1
		sent := batchSize(instances)*len(topology.members) + batchSize(groupMembers)*len(topology.relays)
		rate := float64(sent) / relayedReportInterval.Seconds()
		if rate > maxLinkShare*linkBytesPerSecond {
			t.Errorf("relay %d sends %.0f kB/s to %d members and %d relays; the link capacity is %.0f kB/s", i, rate/1000, len(topology.members), len(topology.relays), linkBytesPerSecond/1000)
		}
	}
}

// Guards against instances that have no relay or belong to two groups.
func TestEveryInstanceHasOneRelay(t *testing.T) {
	for _, n := range []int{1, 2, 16, 17, 60, 63, 300} {
		members, topologies := newFleet(n)
		relays, covered := 0, 0
		for i, topology := range topologies {
			if !topology.isRelay {
				continue
			}
			relays++
			covered += len(topology.members) + 1
			if topology.relay.Name != members[i].Name {
				t.Errorf("%d instances: %s is a relay, but its own relay is %s", n, members[i].Name, topology.relay.Name)
			}
		}
		if covered != n {
			t.Errorf("%d instances: the groups of %d relays have %d members", n, relays, covered)
		}
	}
}

// Guards against reports that are counted twice and forwarded endlessly while instances
// disagree about the groups. The share of upstreams for streams grew until one engine was
// left for long prompts (ngri-bridge-grown scale-1, after eight instances were killed).
func TestDuplicateReportIsDropped(t *testing.T) {
	members, _ := newFleet(2)
	r := newReportExchange(&peers{self: members[0]})
	other := members[1].Incarnation.Process.String()
	first := originReport{Origin: other, Sequence: 1}
	second := originReport{Origin: other, Sequence: 2}
	own := originReport{Origin: members[0].Incarnation.Process.String(), Sequence: 7}
	if got := r.dropDuplicates([]originReport{first, own}); len(got) != 1 || got[0].Origin != other {
		t.Fatalf("%+v", got)
	}
	if got := r.dropDuplicates([]originReport{first, second}); len(got) != 1 || got[0].Sequence != 2 {
		t.Fatalf("%+v", got)
	}
	if got := r.dropDuplicates([]originReport{second, first}); len(got) != 0 {
		t.Fatalf("%+v", got)
	}
}
