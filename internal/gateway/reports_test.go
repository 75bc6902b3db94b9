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

// fleet returns the members of a fleet and each one's place.
func fleet(n int) (members []membership.Member, places []groups) {
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
		places = append(places, groupsOf(self, live))
	}
	return members, places
}

// Guards against relays whose links are full of reports: their calls to the platform time
// out, and they go on with an old configuration (ngri-bridge-grown scale-1, CONFIG at
// front-cai-c-7). Load pattern: the burst of ngri-bridge-grown, 1,500 placements a second at
// 63 instances, links of 10 Mbit/s.
func TestReportsOfAFleetFitARelaysLink(t *testing.T) {
	const (
		instances  = 63
		upstreams  = 140
		placements = 1500 // a second
		link       = 10e6 / 8
		mayUse     = 0.5 // of the link; requests and answers need a fifth of it each way
	)
	rng := rand.New(rand.NewPCG(1, 1))
	perReport := int(math.Ceil(placements * relayInterval.Seconds() / instances))
	one := func(origin int) originReport {
		var report dispatch.Report
		for range perReport {
			tag := dispatch.Tag(rng.Uint32())
			report.Placed = append(report.Placed, dispatch.Work{Upstream: tag, Prefill: time.Duration(rng.IntN(300_000_000)), Priority: 2, Long: true,
				Session: dispatch.Part{ID: rng.Uint64(), Tokens: 6300}})
			// Each request changes the load of its upstream twice.
			report.Loads = append(report.Loads, dispatch.Load{Upstream: tag, InFlight: 1}, dispatch.Load{Upstream: dispatch.Tag(rng.Uint32()), InFlight: 1})
		}
		return originReport{Origin: membership.Process{byte(origin), 1}.String(), Services: map[string]dispatch.Report{"service": report}}
	}
	size := func(origins int) int {
		var b reportBatch
		for i := range origins {
			b.Reports = append(b.Reports, one(i))
		}
		payload, err := b.encode()
		if err != nil {
			t.Fatal(err)
		}
		return len(payload)
	}
	_, places := fleet(instances)
	for i, g := range places {
		if !g.isRelay {
			continue
		}
		own := len(g.members) + 1
		sent := size(instances)*len(g.members) + size(own)*len(g.relays)
		rate := float64(sent) / relayInterval.Seconds()
		if rate > mayUse*link {
			t.Errorf("the relay at place %d sends %.0f kB/s to %d members and %d relays; its link carries %.0f", i, rate/1000, len(g.members), len(g.relays), link/1000)
		}
	}
}

// Guards against instances that have no relay or are in two groups.
func TestEveryInstanceHasOneRelay(t *testing.T) {
	for _, n := range []int{1, 2, 16, 17, 60, 63, 300} {
		members, places := fleet(n)
		relays, covered := 0, 0
		for i, g := range places {
			if !g.isRelay {
				continue
			}
			relays++
			covered += len(g.members) + 1
			if g.relay.Name != members[i].Name {
				t.Errorf("%d instances: %s is a relay and has the relay %s", n, members[i].Name, g.relay.Name)
			}
		}
		if covered != n {
			t.Errorf("%d instances: the groups of %d relays have %d members", n, relays, covered)
		}
	}
}

// Guards against work that is counted twice and passed on without end, when instances
// disagree about the groups: the part for streams grew until one engine was left for long
// prompts (ngri-bridge-grown scale-1, from the kill of eight instances on).
func TestReportThatArrivesTwiceCountsOnce(t *testing.T) {
	members, _ := fleet(2)
	r := newReports(&peers{self: members[0]})
	other := members[1].Incarnation.Process.String()
	first := originReport{Origin: other, Sequence: 1}
	second := originReport{Origin: other, Sequence: 2}
	own := originReport{Origin: members[0].Incarnation.Process.String(), Sequence: 7}
	if got := r.fresh([]originReport{first, own}); len(got) != 1 || got[0].Origin != other {
		t.Fatalf("%+v", got)
	}
	if got := r.fresh([]originReport{first, second}); len(got) != 1 || got[0].Sequence != 2 {
		t.Fatalf("%+v", got)
	}
	if got := r.fresh([]originReport{second, first}); len(got) != 0 {
		t.Fatalf("%+v", got)
	}
}
