package replica

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// platformModel is a platform that may come back from an older copy.
type platformModel struct {
	era, revision uint64
	items         map[string]Item
	history       []Change
	copies        []*platformModel // of earlier moments of this history
}

func (p *platformModel) clone() *platformModel {
	return &platformModel{era: p.era, revision: p.revision, items: maps.Clone(p.items), history: slices.Clone(p.history)}
}

func (p *platformModel) write(key string, value byte) {
	p.revision++
	item := Item{Key: key, Value: []byte{value}, Revision: p.revision}
	p.items[key] = item
	p.history = append(p.history, Change{Item: item})
}

func (p *platformModel) delete(key string) {
	if _, ok := p.items[key]; ok {
		p.revision++
		delete(p.items, key)
		p.history = append(p.history, Change{Item: Item{Key: key, Revision: p.revision}, Deleted: true})
	}
}

// returnFromCopy goes back to the n-th last copy and begins a new era.
func (p *platformModel) returnFromCopy(n int) {
	if n >= len(p.copies) {
		return
	}
	c, era := p.copies[len(p.copies)-1-n], p.era+1
	copies := p.copies[:len(p.copies)-1-n]
	*p = *c.clone()
	p.era, p.copies = era, copies
}

func (p *platformModel) snapshot() Snapshot {
	s := Snapshot{Era: p.era, Revision: p.revision}
	for _, item := range p.items {
		item.Era = p.era
		s.Items = append(s.Items, item)
	}
	return s
}

// Guards against a replica that keeps or loses entries for good, or goes back to a former state, when the
// platform comes back from older copies and answers of former eras arrive late.
func TestReplicaFollowsAPlatformThatComesBackFromOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platformModel{era: 1, revision: 1, items: map[string]Item{}}
		r := New(Options{GracePeriod: gracePeriod})
		r.ApplySnapshot(0, p.snapshot())
		late := []Snapshot{p.snapshot()}
		now := time.Duration(0)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 6), 1, 60).Draw(t, "steps") {
			now += 100 * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			before, _ := r.Position()
			switch step {
			case 0:
				p.write(key, rapid.Byte().Draw(t, "value"))
			case 1:
				p.delete(key)
			case 2:
				p.copies = append(p.copies, p.clone())
			case 3:
				p.returnFromCopy(rapid.IntRange(0, 2).Draw(t, "copy"))
			case 4: // a watch is answered only within its era
				if before.Era == p.era && before.Revision <= p.revision {
					var changes []Change
					for _, c := range p.history {
						if c.Revision > before.Revision {
							changes = append(changes, c)
						}
					}
					r.ApplyChanges(now, changes, Position{Era: p.era, Revision: p.revision})
				}
			case 5:
				r.ApplySnapshot(now, p.snapshot())
				late = append(late, p.snapshot())
			case 6:
				r.ApplySnapshot(now, rapid.SampledFrom(late).Draw(t, "late answer"))
			}
			if after, _ := r.Position(); after.Compare(before) < 0 {
				t.Fatalf("the replica went back from %+v to %+v", before, after)
			}
		}
		r.ApplySnapshot(now, p.snapshot())
		r.ApplyDueRemovals(now + gracePeriod)
		got := map[string]Item{}
		for _, item := range r.Snapshot().Items {
			got[item.Key] = item
		}
		for key, want := range p.items {
			if got[key].Revision != want.Revision || !slices.Equal(got[key].Value, want.Value) {
				t.Fatalf("%s is %+v, want %+v", key, got[key], want)
			}
		}
		if len(got) != len(p.items) {
			t.Fatalf("content %v, want %v", got, p.items)
		}
	})
}

// Guards against an entry of an older copy that takes effect although its owner has said otherwise since,
// and against one that stays without effect when it is written again.
func TestOlderStateTakesEffectOnlyWhenItIsWrittenAgain(t *testing.T) {
	isOlder := func(held *Item, item Item) bool { return held == nil || held.Value[0] > item.Value[0] }
	r := New(Options{GracePeriod: gracePeriod, IsOlder: isOlder})
	older := []Item{{Key: "changed", Value: []byte{1}, Revision: 2}, {Key: "removed", Value: []byte{1}, Revision: 3}}
	r.ApplySnapshot(0, Snapshot{Era: 1, Revision: 3, Items: older})
	r.ApplyChanges(time.Second, []Change{{Item: Item{Key: "changed", Value: []byte{2}, Revision: 4}}, {Item: Item{Key: "removed", Revision: 5}, Deleted: true}}, Position{1, 5})
	if got := r.ApplySnapshot(2*time.Second, Snapshot{Era: 2, Revision: 3, Items: older}); len(got) != 0 {
		t.Fatalf("the older copy took effect: %+v", got)
	}
	r.ApplySnapshot(3*time.Second, Snapshot{Era: 2, Revision: 3, Items: older}) // read once more
	r.ApplyDueRemovals(time.Minute)
	if got := itemKeys(r.Snapshot()); !slices.Equal(got, []string{"changed"}) {
		t.Fatalf("content %v, want [changed]", got)
	}
	written := []Change{{Item: Item{Key: "changed", Value: []byte{1}, Revision: 4}}, {Item: Item{Key: "removed", Value: []byte{1}, Revision: 5}}}
	if got := r.ApplyChanges(time.Minute, written, Position{2, 5}); len(got) != 2 {
		t.Fatalf("what was written again did not take effect: %+v", got)
	}
}
