package joining

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 38, Checks: 2000}) }

var seeds = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1")}

var other = netip.MustParseAddrPort("10.0.0.9:1")

// Guards against a wait that goes on when no peer can know more, and against one that ends while a settled
// peer may still answer.
func TestWaitEnds(t *testing.T) {
	type answer struct {
		at      time.Duration
		peer    netip.AddrPort
		settled bool
	}
	for name, c := range map[string]struct {
		seeds   []netip.AddrPort
		answers []answer
		at      time.Duration
		want    Reason
	}{
		"no seeds":                          {nil, nil, 0, Alone},
		"no answer":                         {seeds, nil, Timeout, NoAnswer},
		"no answer yet":                     {seeds, nil, Timeout - 1, Joining},
		"a settled peer":                    {seeds, []answer{{5 * time.Millisecond, other, true}}, 5 * time.Millisecond, PeerSettled},
		"one seed is joining":               {seeds, []answer{{0, seeds[0], false}}, UnsettledWait - 1, Joining},
		"a seed that answers twice":         {seeds, []answer{{0, seeds[0], false}, {1, seeds[0], false}, {2, seeds[0], false}}, 3, Joining},
		"only joining peers":                {seeds, []answer{{7, seeds[0], false}, {8, other, false}}, 7 + UnsettledWait, PeersJoining},
		"all seeds are joining":             {seeds, []answer{{0, seeds[0], false}, {1, seeds[1], false}, {2, seeds[2], false}}, 2, SeedsJoining},
		"a settled peer after joining ones": {seeds, []answer{{0, seeds[0], false}, {1, other, true}}, 1, PeerSettled},
	} {
		b := New(c.seeds)
		for _, a := range c.answers {
			b.Answered(a.at, a.peer, a.settled)
		}
		b.Tick(c.at)
		if got := b.Reason(); got != c.want || b.Settled() != (c.want != Joining) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Whatever peers answer, the wait ends once and within its time limit.
func TestWaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(seeds[:rapid.IntRange(0, len(seeds)).Draw(t, "seeds")])
		var now time.Duration
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(Timeout/4)).Draw(t, "step"))
			before := b.Reason()
			if rapid.Bool().Draw(t, "answer") {
				b.Answered(now, rapid.SampledFrom(append(seeds, other)).Draw(t, "peer"), rapid.Bool().Draw(t, "settled"))
			}
			b.Tick(now)
			if before != Joining && b.Reason() != before {
				t.Fatalf("%q after %q", b.Reason(), before)
			}
			if now >= Timeout && !b.Settled() {
				t.Fatalf("still joining at %v", now)
			}
		}
		select {
		case <-b.Done():
			if !b.Settled() {
				t.Fatal("done, but not settled")
			}
		default:
			if b.Settled() {
				t.Fatal("settled, but not done")
			}
		}
	})
}
