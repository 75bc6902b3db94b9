package balancer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var fast = Result{
	FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, Service: time.Second, Tokens: 45,
}

func slowResult(factor time.Duration) Result {
	return Result{FirstToken: factor * fast.FirstToken, TokenInterval: factor * fast.TokenInterval, Service: factor * fast.Service}
}

func newBalancer(o Options, local, remote int) (*Balancer, []Upstream) {
	o.Instance, o.Domain = "i0", "a"
	var ups []Upstream
	for i := range local + remote {
		u := Upstream{Name: fmt.Sprintf("u%d", i), Domain: "a"}
		if i >= local {
			u.Domain = "b"
		}
		ups = append(ups, u)
	}
	b := New(o, rand.New(rand.NewPCG(1, 2)))
	b.Update(0, ups)
	return b, ups
}

func state(b *Balancer, now time.Duration, name string) UpstreamState {
	for _, s := range b.Snapshot(now) {
		if s.Upstream.Name == name {
			return s
		}
	}
	return UpstreamState{}
}

// serve runs single requests, one every 20 ms, and counts them by upstream.
func serve(b *Balancer, now *time.Duration, n int, result func(string) Result) map[string]int {
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

func always(r Result) func(string) Result { return func(string) Result { return r } }

// A slow upstream must be cut, receive one probe a second, and recover.
func TestStragglerIsCutAndRecovers(t *testing.T) {
	b, _ := newBalancer(Options{}, 6, 0)
	now := time.Duration(0)
	u0Slow := func(name string) Result {
		if name == "u0" {
			return slowResult(4)
		}
		return fast
	}
	serve(b, &now, 300, u0Slow)
	if !state(b, now, "u0").Straggler {
		t.Fatal("u0 is four times slower and not cut")
	}
	if n := serve(b, &now, 500, u0Slow)["u0"]; n < 9 || n > 11 { // 10 s
		t.Errorf("%d probes in 10 s, want one per second", n)
	}
	others := []string{"u1", "u2", "u3", "u4", "u5"}
	for range 2 { // a retry that has tried all others must not wait for a probe
		if p, ok := b.Pick(now, Request{Exclude: others}); !ok || p.Upstream.Name != "u0" {
			t.Errorf("retry after all others went to %q", p.Upstream.Name)
		} else {
			b.Done(now, p, Result{Status: Cancelled})
		}
	}
	serve(b, &now, 750, always(fast)) // 15 s
	if state(b, now, "u0").Straggler {
		t.Error("u0 is still cut after 15 s of fast probes")
	}
}

// Equal slowness is load, not straggling; cutting would remove capacity.
func TestEqualStragglersAreNotCut(t *testing.T) {
	b, _ := newBalancer(Options{}, 6, 0)
	now := time.Duration(0)
	serve(b, &now, 300, always(fast))
	serve(b, &now, 600, always(slowResult(10)))
	for _, s := range b.Snapshot(now) {
		if s.Straggler {
			t.Errorf("%s is cut", s.Upstream.Name)
		}
	}
}

// With more slow upstreams than a third, the cut must stay within a third.
func TestAtMostAThirdIsCut(t *testing.T) {
	b, _ := newBalancer(Options{}, 9, 0)
	now := time.Duration(0)
	serve(b, &now, 900, func(name string) Result {
		if name < "u4" {
			return slowResult(10)
		}
		return fast
	})
	cut := 0
	for _, s := range b.Snapshot(now) {
		if s.Straggler {
			cut++
		}
	}
	if cut != 3 {
		t.Errorf("%d of 9 are cut, want 3", cut)
	}
}

// The back-off must grow, and a working probe must end the ejection.
func TestEjection(t *testing.T) {
	b, _ := newBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	var last time.Duration
	for failures := 1; failures <= 5; {
		now += 10 * time.Millisecond
		p, _ := b.Pick(now, Request{})
		if p.Upstream.Name != "u0" {
			b.Done(now, p, fast)
			continue
		}
		b.Done(now, p, Result{Status: Failed})
		s := state(b, now, "u0")
		if wait := s.RetryAt - now; !s.Ejected || s.Failures != failures || wait < last*3/2 {
			t.Fatalf("after failure %d: %+v, back-off %v after %v", failures, s, wait, last)
		} else {
			last = wait
		}
		failures++
	}
	now += last
	for state(b, now, "u0").Ejected {
		p, _ := b.Pick(now, Request{})
		b.Done(now, p, fast)
		if now += time.Millisecond; now > last*4 {
			t.Fatal("a successful probe did not end the ejection")
		}
	}
}

// One crash fails every request in flight; it must count as one failure.
func TestOneCrashCountsOnce(t *testing.T) {
	b, _ := newBalancer(Options{}, 1, 0)
	var picks []Pick
	for range 4 {
		p, _ := b.Pick(time.Second, Request{})
		picks = append(picks, p)
	}
	for _, p := range picks {
		b.Done(2*time.Second, p, Result{Status: Crashed})
	}
	if s := state(b, 2*time.Second, "u0"); s.Failures != 1 {
		t.Errorf("%d failures, want 1", s.Failures)
	}
}

// When all upstreams are ejected, requests must not be rejected for ever.
func TestAllEjectedAreStillProbed(t *testing.T) {
	b, _ := newBalancer(Options{}, 3, 0)
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
	if n := len(serve(b, &now, 100, always(fast))); n != 3 {
		t.Errorf("%d upstreams serve again, want 3", n)
	}
}

// An upstream with a long back-off must be tried soon after all others have failed too.
func TestAllEjectedShortensBackOff(t *testing.T) {
	b, _ := newBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	u0Fails := func(name string) Result {
		if name == "u0" {
			return Result{Status: Failed}
		}
		return fast
	}
	serve(b, &now, 1900, u0Fails) // 38 s
	if s := state(b, now, "u0"); s.RetryAt-now < 10*time.Second {
		t.Fatalf("back-off ends in %v, want over 10 s", s.RetryAt-now)
	}
	counts := serve(b, &now, 100, func(name string) Result { // 2 s
		if name == "u1" {
			return Result{Status: Failed}
		}
		return fast
	})
	if counts["u0"] < 2 {
		t.Errorf("u0 received %d requests in 2 s", counts["u0"])
	}
}

// Update must keep learned state and slots of upstreams that remain.
func TestUpdateKeepsState(t *testing.T) {
	b, ups := newBalancer(Options{}, 2, 0)
	now := time.Duration(0)
	serve(b, &now, 100, always(fast))
	p, _ := b.Pick(now, Request{})
	before := state(b, now, p.Upstream.Name)
	b.Update(now, append(ups, Upstream{Name: "new", Domain: "a"}))
	if after := state(b, now, p.Upstream.Name); after != before {
		t.Errorf("state changed from %+v to %+v", before, after)
	}
}

// A restarted upstream must not inherit the latency, ejection back-off or results of
// its earlier incarnation, and an older report must not undo that.
func TestIncarnationResets(t *testing.T) {
	b, _ := newBalancer(Options{}, 1, 0)
	now := 10 * time.Second
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "x"})
	serve(b, &now, 50, always(fast))
	old, _ := b.Pick(now, Request{})
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "y"})
	if s := state(b, now, "u0"); s.FirstToken != 0 || s.Limit != defaultInitialLimit {
		t.Errorf("learned state remains: %+v", s)
	}
	b.Done(now, old, Result{Status: Crashed})
	if s := state(b, now, "u0"); s.Ejected || s.InFlight != 0 {
		t.Errorf("the earlier incarnation's crash changed %+v", s)
	}
	serve(b, &now, 50, always(fast))
	b.ReportLoad(now, "u0", LoadReport{Incarnation: "x", Age: 5 * time.Second})
	if s := state(b, now, "u0"); s.FirstToken == 0 {
		t.Error("an older report reset the state")
	}
}

// Reported queues must attract less, also while the report is old, and count what was
// sent since.
func TestLoadReportAge(t *testing.T) {
	b, _ := newBalancer(Options{}, 2, 0)
	share := func(now time.Duration) float64 { return b.pool["u0"].report.queueShare(now) }
	b.ReportLoad(10*time.Second, "u0", LoadReport{Running: 4, Waiting: 4})
	fresh := share(10 * time.Second)
	if old := share(13 * time.Second); old <= 0 || old >= fresh {
		t.Errorf("share %v after 3 s, %v when fresh", old, fresh)
	}
	for b.pool["u0"].inFlight == 0 {
		b.Pick(10*time.Second, Request{})
	}
	if sent := share(10 * time.Second); sent <= fresh {
		t.Errorf("share %v with a request sent since, %v without", sent, fresh)
	}
	if gone := share(16 * time.Second); gone != 0 {
		t.Errorf("share %v from an expired report", gone)
	}
}

// Requests with one prefix must meet at one upstream while its load is bounded, and
// spread when it is not.
func TestAffinityWithBoundedLoads(t *testing.T) {
	b, _ := newBalancer(Options{InitialLimit: 8}, 8, 0)
	now, counts := time.Second, map[string]int{}
	for range 50 {
		p, _ := b.Pick(now, Request{Affinity: 7})
		counts[p.Upstream.Name]++
		b.Done(now, p, Result{Status: Cancelled})
	}
	if len(counts) != 1 {
		t.Errorf("sequential requests of one prefix at %v", counts)
	}
	clear(counts)
	for range 32 {
		p, _ := b.Pick(now, Request{Affinity: 7})
		counts[p.Upstream.Name]++
	}
	for name, n := range counts {
		if n > 7 { // 1.25 times the mean of 4, rounded up, and the random choices
			t.Errorf("%s has %d of 32 requests at 8 upstreams", name, n)
		}
	}
}

// Hints must attract their prefix, and stop when they expire or are withdrawn.
func TestCacheHints(t *testing.T) {
	b, _ := newBalancer(Options{}, 8, 0)
	at := func(now time.Duration, prefix uint64) string {
		p, _ := b.Pick(now, Request{Affinity: prefix})
		b.Done(now, p, Result{Status: Cancelled})
		return p.Upstream.Name
	}
	attracted := 0
	for prefix := uint64(1); prefix <= 200; prefix++ {
		home := at(time.Second, prefix)
		b.CacheEvent(time.Second, "u3", prefix, true)
		hinted := at(time.Second, prefix)
		if hinted == "u3" && home != "u3" {
			attracted++
		}
		if prefix%2 == 0 {
			b.CacheEvent(time.Second, "u3", prefix, false)
			if after := at(time.Second, prefix); after != home {
				t.Fatalf("prefix %d at %s after its hint was withdrawn, want %s", prefix, after, home)
			}
		} else if after := at(time.Second+hintTTL, prefix); after != home {
			t.Fatalf("prefix %d at %s after its hint expired, want %s", prefix, after, home)
		}
		b.now = 0
	}
	if attracted < 30 { // weight 4 of 11 against 1 of 8: 24% of 200 move
		t.Errorf("hints moved %d of 200 prefixes", attracted)
	}
}

// Remote upstreams must serve only when the own domain is full or slower.
func TestSpillover(t *testing.T) {
	b, _ := newBalancer(Options{}, 2, 4)
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
		t.Fatal("spillover beyond a quarter of the limits")
	}
	// Both domains are known now; the own one turns slower by 2, then by 50 ms.
	for _, c := range []struct {
		slower time.Duration
		spills bool
	}{{2 * time.Millisecond, false}, {50 * time.Millisecond, true}} {
		remote := 0
		for range 400 {
			for _, p := range picks {
				r := fast
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
	b, _ := newBalancer(Options{InitialLimit: 8}, 4, 0)
	for range 20 {
		b.Pick(0, Request{})
		low := 99
		for _, s := range b.Snapshot(0) {
			low = min(low, s.InFlight)
		}
		p, _ := b.Pick(0, Request{Isolated: true})
		if n := state(b, 0, p.Upstream.Name).InFlight; n != low+1 {
			t.Errorf("isolated request at %s with %d in flight, want %d", p.Upstream.Name, n, low+1)
		}
		b.Done(0, p, Result{Status: Cancelled})
	}
}

// Concurrent use must lose no slot; the race detector checks the locking.
func TestConcurrentUse(t *testing.T) {
	b, ups := newBalancer(Options{}, 4, 2)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for now := time.Duration(0); now < time.Second; now += time.Millisecond {
				if p, ok := b.Pick(now, Request{Affinity: uint64(i)}); ok {
					b.Done(now, p, fast)
				}
				b.Free(now)
				b.Update(now, ups)
				b.ReportLoad(now, "u0", LoadReport{Incarnation: "x"})
			}
		})
	}
	wg.Wait()
	for _, s := range b.Snapshot(time.Second) {
		if s.InFlight != 0 {
			t.Errorf("%s has %d in flight after all ended", s.Upstream.Name, s.InFlight)
		}
	}
}
