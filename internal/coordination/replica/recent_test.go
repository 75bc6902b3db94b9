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
