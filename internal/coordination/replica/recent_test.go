package replica

import (
	"fmt"
	"testing"
)

func written(revision uint64, size int) Change {
	return Change{Item: Item{Key: fmt.Sprint("k", revision), Value: make([]byte, size), Revision: revision}}
}

// Guards against answering a follower with a part of the changes that it lacks.
func TestRecentChangesAreComplete(t *testing.T) {
	at := func(revision uint64) Position { return Position{Era: 1, Revision: revision} }
	r := NewRecent(400)
	r.Reset(at(10))
	r.Add(at(10), []Change{written(11, 10), written(12, 10)}, at(13))
	expect := func(step string, after Position, wantOK bool, want ...uint64) {
		t.Helper()
		changes, to, ok := r.After(after)
		if ok != wantOK || ok && to != r.to {
			t.Fatalf("%s: after %v: %v up to %v, want %v", step, after, ok, to, wantOK)
		}
		var got []uint64
		for _, c := range changes {
			got = append(got, c.Revision)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: after %v: %v, want %v", step, after, got, want)
		}
	}
	expect("all", at(10), true, 11, 12)
	expect("some", at(11), true, 12)
	expect("none", at(13), true)
	expect("ahead of it", at(14), true)
	expect("too old", at(9), false)
	expect("another era", Position{Era: 2, Revision: 11}, false)
	r.Add(at(13), []Change{written(14, 300)}, at(14))
	expect("the oldest were dropped", at(10), false)
	expect("the newest is held", at(13), true, 14)
	r.Add(at(20), []Change{written(21, 10)}, at(21))
	expect("a gap", at(14), false)
	expect("after the gap", at(20), true, 21)
	r.Add(at(21), []Change{written(22, 1000)}, at(22))
	expect("larger than the bound", at(21), false)
	expect("up to date", at(22), true)
}

// Guards against an entry that comes back at a follower: of two reads that overlap, the later one repeats its last
// write after its removal.
func TestChangesOfOverlappingReadsAreHeldOnce(t *testing.T) {
	at := func(revision uint64) Position { return Position{Era: 1, Revision: revision} }
	put := written(11, 10)
	removal := Change{Item: Item{Key: put.Key, Revision: 12}, Deleted: true}
	r := NewRecent(4000)
	r.Reset(at(10))
	r.Add(at(10), []Change{put, removal}, at(12))
	r.Add(at(12), []Change{put, removal, written(13, 10)}, at(13))
	changes, to, ok := r.After(at(10))
	if !ok || len(changes) != 3 {
		t.Fatalf("%v, changes %v", ok, changes)
	}
	follower := New(Options{})
	follower.ApplySnapshot(0, Snapshot{Era: 1, Revision: 10})
	follower.ApplyChanges(0, changes, to)
	if items := follower.Snapshot().Items; len(items) != 1 || items[0].Revision != 13 {
		t.Errorf("the follower has %v", items)
	}
}

// Guards against configurations in quick succession that are sent to each follower one after the other.
func TestRecentKeepsTheNewestOfALargeEntry(t *testing.T) {
	r := NewRecent(1 << 20)
	r.Reset(Position{Era: 1})
	for revision := uint64(1); revision <= 20; revision++ {
		large := written(revision, maxKeptVersionBytes+1)
		large.Key = "configuration"
		small := Change{Item: Item{Key: "upstream", Value: []byte("x"), Revision: revision}}
		r.Add(Position{Era: 1, Revision: revision - 1}, []Change{small, large}, Position{Era: 1, Revision: revision})
	}
	changes, _, ok := r.After(Position{Era: 1})
	counts := map[string]int{}
	for _, c := range changes {
		counts[c.Key]++
	}
	if !ok || counts["configuration"] != 1 || counts["upstream"] != 20 || changes[len(changes)-1].Revision != 20 {
		t.Errorf("%v %v", ok, counts)
	}
	if r.bytes != 20*size(Change{Item: Item{Key: "upstream", Value: []byte("x")}})+size(Change{Item: Item{Key: "configuration", Value: make([]byte, maxKeptVersionBytes+1)}}) {
		t.Errorf("%d bytes are counted", r.bytes)
	}
}
