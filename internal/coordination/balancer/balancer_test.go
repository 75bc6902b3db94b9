package balancer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var fastResult = Result{
	FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ServiceTime: time.Second, OutputTokens: 45,
}

func slowResult(factor time.Duration) Result {
	return Result{FirstToken: factor * fastResult.FirstToken, TokenInterval: factor * fastResult.TokenInterval, ServiceTime: factor * fastResult.ServiceTime}
}

func newTestBalancer(opts Options, local, remote int) (*Balancer, []Upstream) {
	opts.Instance, opts.Domain = "i0", "a"
	var upstreams []Upstream
	for i := range local + remote {
		u := Upstream{Name: fmt.Sprintf("u%d", i), Domain: "a"}
		if i >= local {
			u.Domain = "b"
		}
		upstreams = append(upstreams, u)
	}
	b := New(opts, rand.New(rand.NewPCG(1, 2)))
	b.SetUpstreams(0, upstreams)
	return b, upstreams
}

func upstreamState(b *Balancer, now time.Duration, name string) UpstreamState {
	for _, s := range b.Snapshot(now) {
		if s.Upstream.Name == name {
			return s
		}
	}
	return UpstreamState{}
}

// runRequests runs n requests, one every 20 ms, and counts them by upstream.
func runRequests(b *Balancer, now *time.Duration, n int, result func(string) Result) map[string]int {
	counts := map[string]int{}
	for range n {
		*now += 20 * time.Millisecond
		if p, ok := b.Pick(*now, Request{}); ok {
			counts[p.Upstream.Name]++
			b.Done(*now, p, result(p.Upstream.Name))
		}
	}
	return counts
}

func constantResult(r Result) func(string) Result { return func(string) Result { return r } }

// A slow upstream must be marked as a straggler, receive one probe a second, and recover.
func TestStragglerIsMarkedAndRecovers(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 6, 0)
	now := time.Duration(0)
	u0SlowResult := func(name string) Result {
		if name == "u0" {
			return slowResult(4)
		}
		return fastResult
	}
	runRequests(b, &now, 300, u0SlowResult)
	if !upstreamState(b, now, "u0").Straggler {
		t.Fatal("u0 is four times slower and not marked as a straggler")
	}
	if n := runRequests(b, &now, 500, u0SlowResult)["u0"]; n < 9 || n > 11 { // 10 s
		t.Errorf("%d probes in 10 s, want one per second", n)
	}
	others := []string{"u1", "u2", "u3", "u4", "u5"}
	for range 2 { // a retry with all others excluded must not wait for a probe
		if p, ok := b.Pick(now, Request{Exclude: others}); !ok || p.Upstream.Name != "u0" {
			t.Errorf("retry with all others excluded went to %q", p.Upstream.Name)
		} else {
			b.Done(now, p, Result{Status: Cancelled})
		}
	}
	runRequests(b, &now, 750, constantResult(fastResult)) // 15 s
	if upstreamState(b, now, "u0").Straggler {
		t.Error("u0 is still marked as a straggler after 15 s of fast responses")
	}
}

// A slowdown of all upstreams alike is caused by load. Marking stragglers then would only
// remove capacity.
func TestUniformSlowdownMarksNoStraggler(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 6, 0)
	now := time.Duration(0)
	runRequests(b, &now, 300, constantResult(fastResult))
	runRequests(b, &now, 600, constantResult(slowResult(10)))
	for _, s := range b.Snapshot(now) {
		if s.Straggler {
			t.Errorf("%s is marked as a straggler", s.Upstream.Name)
		}
	}
}

// At most a third of the subset may be marked, also when more upstreams are slow.
func TestAtMostAThirdAreStragglers(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 9, 0)
	now := time.Duration(0)
	runRequests(b, &now, 900, func(name string) Result {
		if name < "u4" {
			return slowResult(10)
		}
		return fastResult
	})
	stragglers := 0
	for _, s := range b.Snapshot(now) {
		if s.Straggler {
			stragglers++
		}
	}
	if stragglers != 3 {
		t.Errorf("%d of 9 upstreams are stragglers, want 3", stragglers)
	}
}

// The back-off must grow with each failure, and a successful probe must end the ejection.
func TestEjection(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	var previousBackOff time.Duration
	for failures := 1; failures <= 5; {
		now += 10 * time.Millisecond
		p, _ := b.Pick(now, Request{})
		if p.Upstream.Name != "u0" {
			b.Done(now, p, fastResult)
			continue
		}
		b.Done(now, p, Result{Status: Failed})
		s := upstreamState(b, now, "u0")
		if backOff := s.RetryAt - now; !s.Ejected || s.Failures != failures || backOff < previousBackOff*3/2 {
			t.Fatalf("after failure %d: %+v, back-off %v after %v", failures, s, backOff, previousBackOff)
		} else {
			previousBackOff = backOff
		}
		failures++
	}
	now += previousBackOff
	for upstreamState(b, now, "u0").Ejected {
		p, _ := b.Pick(now, Request{})
		b.Done(now, p, fastResult)
		if now += time.Millisecond; now > previousBackOff*4 {
			t.Fatal("a successful probe did not end the ejection")
		}
	}
}

// A crash fails all requests in flight but must count as one failure.
func TestOneCrashCountsOnce(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 1, 0)
	var picks []Pick
	for range 4 {
		p, _ := b.Pick(time.Second, Request{})
		picks = append(picks, p)
	}
	for _, p := range picks {
		b.Done(2*time.Second, p, Result{Status: Crashed})
	}
	if s := upstreamState(b, 2*time.Second, "u0"); s.Failures != 1 {
		t.Errorf("%d failures, want 1", s.Failures)
	}
}

// While all upstreams are ejected, each must still be probed about once a second;
// otherwise every request would be rejected until the longest back-off ends.
func TestAllEjectedAreStillProbed(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 3, 0)
	now, probes := time.Duration(0), 0
	for now < 2*time.Minute {
		now += 50 * time.Millisecond
		if p, ok := b.Pick(now, Request{}); ok {
			b.Done(now, p, Result{Status: Failed})
			if now > time.Minute {
				probes++
			}
		}
	}
	if probes < 3*50 || probes > 3*61 { // one per second each
		t.Errorf("%d probes of three ejected upstreams in a minute", probes)
	}
	now += time.Second
	if n := len(runRequests(b, &now, 100, constantResult(fastResult))); n != 3 {
		t.Errorf("%d upstreams recovered, want 3", n)
	}
}

// An upstream with a long back-off must be probed soon after all others have failed.
func TestAllEjectedShortensBackOff(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	u0FailedResult := func(name string) Result {
		if name == "u0" {
			return Result{Status: Failed}
		}
		return fastResult
	}
	runRequests(b, &now, 1900, u0FailedResult) // 38 s
	if s := upstreamState(b, now, "u0"); s.RetryAt-now < 10*time.Second {
		t.Fatalf("back-off ends in %v, want over 10 s", s.RetryAt-now)
	}
	counts := runRequests(b, &now, 100, func(name string) Result { // 2 s
		if name == "u1" {
			return Result{Status: Failed}
		}
		return fastResult
	})
	if counts["u0"] < 2 {
		t.Errorf("u0 received %d requests in 2 s", counts["u0"])
	}
}

// SetUpstreams must keep the learned state and the slots of upstreams that remain.
func TestUpdateKeepsState(t *testing.T) {
	b, upstreams := newTestBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	runRequests(b, &now, 100, constantResult(fastResult))
	p, _ := b.Pick(now, Request{})
	before := upstreamState(b, now, p.Upstream.Name)
	b.SetUpstreams(now, append(upstreams, Upstream{Name: "new", Domain: "a"}))
	if after := upstreamState(b, now, p.Upstream.Name); after != before {
		t.Errorf("state changed from %+v to %+v", before, after)
	}
}

// A new incarnation of an upstream must not inherit the latency, the back-off or the
// results of the earlier one, and a delayed report of the earlier one must not reset the
// state again.
func TestIncarnationResets(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 1, 0)
	now := 10 * time.Second
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "x"})
	runRequests(b, &now, 50, constantResult(fastResult))
	oldPick, _ := b.Pick(now, Request{})
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "y"})
	if s := upstreamState(b, now, "u0"); s.FirstToken != 0 || s.Limit != defaultInitialLimit {
		t.Errorf("learned state was not reset: %+v", s)
	}
	b.Done(now, oldPick, Result{Status: Crashed})
	if s := upstreamState(b, now, "u0"); s.Ejected || s.InFlight != 0 {
		t.Errorf("the earlier incarnation's crash changed %+v", s)
	}
	runRequests(b, &now, 50, constantResult(fastResult))
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "x", Age: 5 * time.Second})
	if s := upstreamState(b, now, "u0"); s.FirstToken == 0 {
		t.Error("an older report reset the state")
	}
}

// A reported queue must increase the relative load, with a weight that falls with the age
// of the report, and must include requests sent after the measurement.
func TestLoadReportAge(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 2, 0)
	queuedShare := func(now time.Duration) float64 { return b.pool["u0"].loadReport.queuedShare(now) }
	b.ReportLoad(10*time.Second, "u0", LoadReport{Running: 4, Waiting: 4})
	fresh := queuedShare(10 * time.Second)
	if aged := queuedShare(13 * time.Second); aged <= 0 || aged >= fresh {
		t.Errorf("share %v after 3 s, %v when fresh", aged, fresh)
	}
	for b.pool["u0"].inFlight == 0 {
		b.Pick(10*time.Second, Request{})
	}
	if sent := queuedShare(10 * time.Second); sent <= fresh {
		t.Errorf("share %v with a request sent after the report, %v without", sent, fresh)
	}
	if expired := queuedShare(16 * time.Second); expired != 0 {
		t.Errorf("share %v from an expired report", expired)
	}
}

// Requests with the same prefix must go to one upstream while it is within its load bound,
// and spread over others beyond the bound.
func TestAffinityWithBoundedLoads(t *testing.T) {
	b, _ := newTestBalancer(Options{InitialLimit: 8}, 8, 0)
	now, counts := time.Second, map[string]int{}
	for range 50 {
		p, _ := b.Pick(now, Request{PrefixHash: 7})
		counts[p.Upstream.Name]++
		b.Done(now, p, Result{Status: Cancelled})
	}
	if len(counts) != 1 {
		t.Errorf("sequential requests with one prefix went to %v", counts)
	}
	clear(counts)
	for range 32 {
		p, _ := b.Pick(now, Request{PrefixHash: 7})
		counts[p.Upstream.Name]++
	}
	for name, n := range counts {
		if n > 7 { // 1.25 times the mean of 4, rounded up, and the random choices
			t.Errorf("%s has %d of 32 requests at 8 upstreams", name, n)
		}
	}
}

// A cache hint must attract requests with its prefix until it expires or is withdrawn.
func TestCacheHints(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 8, 0)
	pickUpstream := func(now time.Duration, prefix uint64) string {
		p, _ := b.Pick(now, Request{PrefixHash: prefix})
		b.Done(now, p, Result{Status: Cancelled})
		return p.Upstream.Name
	}
	moved := 0
	for prefix := uint64(1); prefix <= 200; prefix++ {
		preferred := pickUpstream(time.Second, prefix)
		b.RecordCacheEvent(time.Second, "u3", prefix, true)
		hinted := pickUpstream(time.Second, prefix)
		if hinted == "u3" && preferred != "u3" {
			moved++
		}
		if prefix%2 == 0 {
			b.RecordCacheEvent(time.Second, "u3", prefix, false)
			if after := pickUpstream(time.Second, prefix); after != preferred {
				t.Fatalf("prefix %d went to %s after its hint was withdrawn, want %s", prefix, after, preferred)
			}
		} else if after := pickUpstream(time.Second+cacheHintTTL, prefix); after != preferred {
			t.Fatalf("prefix %d went to %s after its hint expired, want %s", prefix, after, preferred)
		}
		b.latestTime = 0
	}
	if moved < 30 { // weight 4 of 11 against 1 of 8: 24% of 200 move
		t.Errorf("hints moved %d of 200 prefixes", moved)
	}
}

// Remote upstreams must be selected only when the own failure domain is full or slower.
func TestSpillover(t *testing.T) {
	b, _ := newTestBalancer(Options{}, 2, 4)
	now := time.Second
	var picks []Pick
	for i := range 12 {
		p, ok := b.Pick(now, Request{})
		if want := map[bool]string{true: "a", false: "b"}[i < 8]; !ok || p.Upstream.Domain != want {
			t.Fatalf("pick %d in domain %q, want %q", i, p.Upstream.Domain, want)
		}
		picks = append(picks, p)
	}
	if _, ok := b.Pick(now, Request{}); ok {
		t.Fatal("spillover exceeded a quarter of the remote limits")
	}
	// Latencies of both domains are known now. The own one becomes slower by 2 ms, which
	// is less than the additional round trip, then by 50 ms.
	for _, c := range []struct {
		slower time.Duration
		spills bool
	}{{2 * time.Millisecond, false}, {50 * time.Millisecond, true}} {
		remote := 0
		for range 400 {
			for _, p := range picks {
				r := fastResult
				if p.Upstream.Domain == "a" {
					r.FirstToken += c.slower
				}
				b.Done(now, p, r)
			}
			picks = picks[:0]
			now += 20 * time.Millisecond
			for range 12 {
				if p, ok := b.Pick(now, Request{}); ok {
					if p.Upstream.Domain == "b" && len(picks) == 0 {
						remote++
					}
					picks = append(picks, p)
				}
			}
		}
		if (remote > 100) != c.spills {
			t.Errorf("%d of 400 first picks are remote with the own domain slower by %v", remote, c.slower)
		}
	}
}

// An isolated request must go to the upstream with the fewest requests in flight.
func TestIsolatedPrefersFewestInFlight(t *testing.T) {
	b, _ := newTestBalancer(Options{InitialLimit: 8}, 4, 0)
	for range 20 {
		b.Pick(0, Request{})
		fewest := 99
		for _, s := range b.Snapshot(0) {
			fewest = min(fewest, s.InFlight)
		}
		p, _ := b.Pick(0, Request{Isolated: true})
		if n := upstreamState(b, 0, p.Upstream.Name).InFlight; n != fewest+1 {
			t.Errorf("isolated request at %s with %d in flight, want %d", p.Upstream.Name, n, fewest+1)
		}
		b.Done(0, p, Result{Status: Cancelled})
	}
}

// Concurrent use must not leak slots. The race detector checks the locking.
func TestConcurrentUse(t *testing.T) {
	b, upstreams := newTestBalancer(Options{}, 4, 2)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for now := time.Duration(0); now < time.Second; now += time.Millisecond {
				if p, ok := b.Pick(now, Request{PrefixHash: uint64(i)}); ok {
					b.Done(now, p, fastResult)
				}
				b.FreeSlots(now)
				b.SetUpstreams(now, upstreams)
				b.ReportLoad(now, "u0", LoadReport{Incarnation: "x"})
			}
		})
	}
	wg.Wait()
	for _, s := range b.Snapshot(time.Second) {
		if s.InFlight != 0 {
			t.Errorf("%s has %d in flight after all requests ended", s.Upstream.Name, s.InFlight)
		}
	}
}
