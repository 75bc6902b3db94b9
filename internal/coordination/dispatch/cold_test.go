package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against an instance that has measured no response yet and sends all requests for a plain service
// to one upstream until its slots are taken, while others are idle.
func TestRequestsAreSpreadBeforeAnyResponse(t *testing.T) {
	const upstreamCount, slots = 4, 6
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	var upstreams []Upstream
	for i := range upstreamCount {
		upstreams = append(upstreams, Upstream{ID: fmt.Sprint("u", i), Domain: "a", Slots: slots})
	}
	d.Update(0, upstreams)
	granted := map[string]int{}
	for i := range upstreamCount * slots / 2 {
		g := d.Submit(time.Millisecond, Request{ID: uint64(i + 1), Arrived: time.Millisecond, Target: time.Second, Deadline: 4 * time.Second}).Grant
		if g == nil {
			t.Fatalf("request %d waits", i)
		}
		granted[g.Upstream.ID]++
	}
	for _, u := range upstreams {
		if granted[u.ID] != slots/2 {
			t.Errorf("%s received %d requests, want %d", u.ID, granted[u.ID], slots/2)
		}
	}
}
