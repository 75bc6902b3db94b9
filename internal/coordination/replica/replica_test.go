package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 200}) }

const grace = 1800 * time.Millisecond

func item(key string, revision uint64) Item { return Item{Key: key, Revision: revision} }

func keys(s Snapshot) []string {
	var out []string
	for _, i := range s.Items {
		out = append(out, i.Key)
	}
	return out
}

// Guards against upstreams that are dropped because their entries lapsed while the
// platform could not be written.
func TestEntriesThatLapsedInAnOutageAreKeptUntilTheGraceHasPassed(t *testing.T) {
	r := New(Options{Grace: grace})
	r.Load(0, Snapshot{Revision: 5, Items: []Item{item("a", 3), item("b", 4)}})
	r.Away()
	r.Back(10 * time.Second)
	if got := r.Apply(10*time.Second, []Change{{Item: item("a", 6), Deleted: true}, {Item: item("b", 7), Deleted: true}}, 7); len(got) != 0 {
		t.Fatalf("removals took effect in the grace: %v", got)
	}
	r.Apply(11*time.Second, []Change{{Item: item("a", 8)}}, 8)
	if got := r.Tick(11 * time.Second); len(got) != 0 {
		t.Fatalf("removed before the grace had passed: %v", got)
	}
	got := r.Tick(12 * time.Second)
	if len(got) != 1 || got[0].Key != "b" || !got[0].Deleted {
		t.Fatalf("changes after the grace: %v", got)
	}
	if k := keys(r.Snapshot()); !slices.Equal(k, []string{"a"}) {
		t.Fatalf("content %v", k)
	}
}

// Guards against an upstream that keeps receiving requests after its entry was removed
// while the platform was well.
func TestRemovalTakesEffectAtOnceWithoutAnOutage(t *testing.T) {
	r := New(Options{Grace: grace})
	r.Load(0, Snapshot{Revision: 5, Items: []Item{item("a", 3)}})
	if got := r.Apply(time.Second, []Change{{Item: item("a", 6), Deleted: true}}, 6); len(got) != 1 {
		t.Fatalf("changes %v", got)
	}
}

// Guards against a copy that goes back when an older answer or a peer's older copy
// arrives late.
func TestOlderReadChangesNothing(t *testing.T) {
	r := New(Options{})
	r.Load(0, Snapshot{Revision: 9, Items: []Item{item("a", 9)}})
	if got := r.Load(0, Snapshot{Revision: 8, Items: []Item{item("a", 7), item("b", 8)}}); got != nil {
		t.Fatalf("changes %v", got)
	}
}

// Guards against copies that differ from the platform's content after any mix of full
// reads, watches and repeated answers. The oracle is a plain map.
func TestCopyFollowsThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := map[string]uint64{}
		revision := uint64(1)
		var history []Change
		r := New(Options{Grace: grace})
		r.Load(0, Snapshot{Revision: 1})
		watched := uint64(1)
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 60).Draw(t, "steps")
		for _, step := range steps {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch step {
			case 0:
				revision++
				truth[key] = revision
				history = append(history, Change{Item: item(key, revision)})
			case 1:
				if _, ok := truth[key]; ok {
					revision++
					delete(truth, key)
					history = append(history, Change{Item: item(key, revision), Deleted: true})
				}
			case 2:
				from := rapid.Uint64Range(1, watched).Draw(t, "from")
				var events []Change
				for _, c := range history {
					if c.Revision > from {
						events = append(events, c)
					}
				}
				r.Apply(0, events, revision)
				watched = revision
			case 3:
				s := Snapshot{Revision: revision}
				for k, rev := range truth {
					s.Items = append(s.Items, item(k, rev))
				}
				r.Load(0, s)
				watched = revision
			}
		}
		r.Apply(0, history, revision)
		got := r.Snapshot()
		if len(got.Items) != len(truth) {
			t.Fatalf("content %v, want %v", got.Items, truth)
		}
		for _, i := range got.Items {
			if truth[i.Key] != i.Revision {
				t.Fatalf("%s at %d, want %d", i.Key, i.Revision, truth[i.Key])
			}
		}
	})
}
