package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// largeRegion returns a region of the target scale, which is 10,000 servers and 3,100
// nodes in 7 regions with 19 models. The region has 3 failure domains.
func largeRegion() (Plan, []Member) {
	p := Plan{Revision: 1, LoadsPerMinute: 60, ConcurrentLoads: 16}
	for i := range 10_000 / 7 {
		p.Engines = append(p.Engines, Engine{Name: fmt.Sprintf("engine-%d", i), Model: fmt.Sprintf("model-%d", i%19), Domain: string(rune('a' + i%3)),
			Wanted: Placement{Version: "v1", Role: Mixed}})
	}
	var members []Member
	for i := range 3_100 / 7 {
		members = append(members, Member{ID: [16]byte{byte(i), byte(i >> 8)}, Domain: string(rune('a' + i%3))})
	}
	return p, members
}

// BenchmarkControllerSecond measures one second of a controller in a settled region: two
// ticks and the reports that they query.
func BenchmarkControllerSecond(b *testing.B) {
	p, members := largeRegion()
	m := New(Controllers(p, "a", members)[0], rand.New(rand.NewPCG(1, 1)))
	m.SetPlan(0, p)
	m.SetMembers(0, members)
	now, reports := time.Duration(0), 0
	for b.Loop() {
		for range 2 {
			now += 500 * time.Millisecond
			for _, a := range m.Tick(now, true) {
				if q, ok := a.(Query); ok {
					reports++
					m.HandleReport(now, q.ID, Report{Placement: Placement{Version: "v1", Role: Mixed}, Fence: 1}, true)
				}
			}
		}
	}
	b.ReportMetric(float64(reports)/float64(b.N), "reports/op")
}

// BenchmarkSetPlan measures SetPlan for a revision that changes no placement.
func BenchmarkSetPlan(b *testing.B) {
	p, members := largeRegion()
	m := New(Controllers(p, "a", members)[0], rand.New(rand.NewPCG(1, 1)))
	m.SetMembers(0, members)
	for b.Loop() {
		p.Revision++
		m.SetPlan(0, p)
	}
}
