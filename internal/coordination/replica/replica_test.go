package replica

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 200}) }

const gracePeriod = 1800 * time.Millisecond

func newItem(key string, revision uint64) Item { return Item{Key: key, Revision: revision} }

func itemKeys(s Snapshot) []string {
	var list []string
	for _, item := range s.Items {
		list = append(list, item.Key)
	}
	return list
}

// Guards against upstreams that are removed because their entries expired while the
// platform could not be written.
func TestEntriesExpiredInAnOutageAreKeptForTheGracePeriod(t *testing.T) {
	r := New(Options{GracePeriod: gracePeriod})
	r.ApplySnapshot(0, Snapshot{Revision: 5, Items: []Item{newItem("a", 3), newItem("b", 4)}})
	r.MarkUnavailable()
	r.MarkAvailable(10 * time.Second)
	if got := r.ApplyChanges(10*time.Second, []Change{{Item: newItem("a", 6), Deleted: true}, {Item: newItem("b", 7), Deleted: true}}, Position{Revision: 7}); len(got) != 0 {
		t.Fatalf("removals took effect in the grace period: %v", got)
	}
	r.ApplyChanges(11*time.Second, []Change{{Item: newItem("a", 8)}}, Position{Revision: 8})
	if got := r.ApplyDueRemovals(11 * time.Second); len(got) != 0 {
		t.Fatalf("removals took effect before the grace period had passed: %v", got)
	}
	got := r.ApplyDueRemovals(12 * time.Second)
	if len(got) != 1 || got[0].Key != "b" || !got[0].Deleted {
		t.Fatalf("changes after the grace period: %v, want the removal of b", got)
	}
	if remaining := itemKeys(r.Snapshot()); !slices.Equal(remaining, []string{"a"}) {
		t.Fatalf("content %v", remaining)
	}
}

// Guards against an upstream that keeps receiving requests after its entry was removed
// while the platform was available.
func TestRemovalTakesEffectAtOnceWithoutAnOutage(t *testing.T) {
	r := New(Options{GracePeriod: gracePeriod})
	r.ApplySnapshot(0, Snapshot{Revision: 5, Items: []Item{newItem("a", 3)}})
	if got := r.ApplyChanges(time.Second, []Change{{Item: newItem("a", 6), Deleted: true}}, Position{Revision: 6}); len(got) != 1 {
		t.Fatalf("changes %v", got)
	}
}

// Guards against an entry that stays at an instance for good because it was read from a peer
// that still defers its removal: the revision of the peer's copy is behind the removal, so no
// later watch reports it.
func TestRemovalDeferredAtAPeerReachesReadersOfItsCopy(t *testing.T) {
	before := Snapshot{Revision: 5, Items: []Item{newItem("a", 3), newItem("b", 4)}}
	peer, reader := New(Options{GracePeriod: gracePeriod}), New(Options{GracePeriod: gracePeriod})
	peer.ApplySnapshot(0, before)
	reader.ApplySnapshot(0, before)
	peer.MarkUnavailable()
	peer.MarkAvailable(10 * time.Second)
	peer.ApplyChanges(10*time.Second, []Change{{Item: newItem("a", 6), Deleted: true}}, Position{Revision: 6})
	reader.ApplySnapshot(10*time.Second, peer.Snapshot())
	if remaining := itemKeys(reader.Snapshot()); !slices.Equal(remaining, []string{"b"}) {
		t.Errorf("the reader of the peer's copy has %v, want [b]", remaining)
	}
	if got := peer.ApplyDueRemovals(10*time.Second + gracePeriod); len(got) != 1 || got[0].Key != "a" {
		t.Errorf("changes at the peer after the grace period: %v, want the removal of a", got)
	}
}

// Guards against an entry that is kept for as long as the platform is away for this replica although a peer knows
// that it is gone, and against one that is removed on the word of a peer that does not.
func TestDeferredRemovalIsConfirmedByAPeerThatHasRemovedTheEntry(t *testing.T) {
	before := Snapshot{Revision: 5, Items: []Item{newItem("a", 3), newItem("b", 4)}}
	without := Snapshot{Revision: 6, Items: []Item{newItem("b", 4)}}
	newReplica := func() *Replica {
		r := New(Options{GracePeriod: gracePeriod})
		r.ApplySnapshot(0, before)
		return r
	}
	waiting, inOutage, connected, started := newReplica(), newReplica(), newReplica(), New(Options{GracePeriod: gracePeriod})
	waiting.MarkUnavailable()
	inOutage.MarkUnavailable()
	for _, r := range []*Replica{waiting, inOutage, connected, started} {
		r.ApplySnapshot(time.Second, without)
	}
	asked := waiting.Deferred(10)
	if want := []EntryState{{Key: "a", Revision: 3}}; !slices.Equal(asked, want) {
		t.Fatalf("deferred: %v, want %v", asked, want)
	}
	for name, peer := range map[string]*Replica{"one in an outage": inOutage, "one that never had the entry": started} {
		if got := peer.Removed(asked); len(got) != 0 {
			t.Errorf("%s confirms %v", name, got)
		}
	}
	confirmed := connected.Removed(asked)
	written := newItem("a", 7)
	rewritten := newReplica()
	rewritten.MarkUnavailable()
	rewritten.ApplySnapshot(time.Second, without)
	rewritten.ApplyChanges(time.Second, []Change{{Item: written}}, Position{Revision: 7})
	rewritten.ApplySnapshot(time.Second, Snapshot{Revision: 8, Items: []Item{newItem("b", 4)}})
	if got := rewritten.ConfirmRemovals(confirmed); len(got) != 0 {
		t.Errorf("an entry that was written since is removed: %v", got)
	}
	if got := waiting.ConfirmRemovals(confirmed); len(got) != 1 || got[0].Key != "a" || !got[0].Deleted {
		t.Errorf("changes %v, want the removal of a", got)
	}
	if got := waiting.Removed(asked); !slices.Equal(got, asked) {
		t.Errorf("a confirmed removal is not passed on: %v", got)
	}
}

// Guards against a replica that reverts to an older state when an older answer or a
// peer's older copy arrives late.
func TestOlderSnapshotChangesNothing(t *testing.T) {
	r := New(Options{})
	r.ApplySnapshot(0, Snapshot{Revision: 9, Items: []Item{newItem("a", 9)}})
	if got := r.ApplySnapshot(0, Snapshot{Revision: 8, Items: []Item{newItem("a", 7), newItem("b", 8)}}); got != nil {
		t.Fatalf("changes %v", got)
	}
}

// Guards against an entry that comes back for good, or whose deferred removal is forgotten, because the answer to a
// watch arrives after a copy that was newer.
func TestLateChangesDoNotBringBackARemovedEntry(t *testing.T) {
	for _, outage := range []bool{false, true} {
		r := New(Options{GracePeriod: gracePeriod})
		r.ApplySnapshot(0, Snapshot{Revision: 5, Items: []Item{newItem("a", 3), newItem("b", 4)}})
		if outage {
			r.MarkUnavailable()
		}
		r.ApplySnapshot(time.Second, Snapshot{Revision: 9, Items: []Item{newItem("b", 4)}})
		r.ApplyChanges(2*time.Second, []Change{{Item: newItem("a", 6)}}, Position{Revision: 7})
		r.MarkAvailable(3 * time.Second)
		r.ApplyDueRemovals(3*time.Second + gracePeriod)
		if got := itemKeys(r.Snapshot()); !slices.Equal(got, []string{"b"}) {
			t.Errorf("outage %v: content %v, want [b]", outage, got)
		}
		if position, _ := r.Position(); position.Revision != 9 {
			t.Errorf("outage %v: revision %d, want 9", outage, position.Revision)
		}
	}
}

// Guards against replicas that differ from the platform's content after any mix of full
// reads, watches and repeated answers. The expected content is kept in a plain map.
func TestReplicaFollowsThePlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[string]uint64{}
		revision := uint64(1)
		var history []Change
		r := New(Options{GracePeriod: gracePeriod})
		r.ApplySnapshot(0, Snapshot{Revision: 1})
		watched := uint64(1)
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 60).Draw(t, "steps")
		for _, step := range steps {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch step {
			case 0:
				revision++
				want[key] = revision
				history = append(history, Change{Item: newItem(key, revision)})
			case 1:
				if _, ok := want[key]; ok {
					revision++
					delete(want, key)
					history = append(history, Change{Item: newItem(key, revision), Deleted: true})
				}
			case 2:
				from := rapid.Uint64Range(1, watched).Draw(t, "from")
				var changes []Change
				for _, c := range history {
					if c.Revision > from {
						changes = append(changes, c)
					}
				}
				r.ApplyChanges(0, changes, Position{Revision: revision})
				watched = revision
			case 3:
				snapshot := Snapshot{Revision: revision}
				for entryKey, entryRevision := range want {
					snapshot.Items = append(snapshot.Items, newItem(entryKey, entryRevision))
				}
				r.ApplySnapshot(0, snapshot)
				watched = revision
			}
		}
		r.ApplyChanges(0, history, Position{Revision: revision})
		got := r.Snapshot()
		if len(got.Items) != len(want) {
			t.Fatalf("content %v, want %v", got.Items, want)
		}
		for _, item := range got.Items {
			if want[item.Key] != item.Revision {
				t.Fatalf("%s at %d, want %d", item.Key, item.Revision, want[item.Key])
			}
		}
	})
}
