package entry

import (
	"maps"
	"testing"
	"time"
)

// An upstream that a reader reports as leaving must stay excluded until no unexpired list
// contains it. The list of a stopped reader must expire, so that it does not exclude an
// upstream forever.
func TestLeavingLists(t *testing.T) {
	var lists leavingLists
	readerA, readerB := [16]byte{1}, [16]byte{2}
	for _, step := range []struct {
		at     time.Duration
		source [16]byte
		names  []string
		want   map[string]bool
	}{
		{0, readerA, []string{"a"}, map[string]bool{"a": true}},
		{time.Second, readerB, nil, map[string]bool{"a": true}},
		{2 * time.Second, readerB, []string{"b"}, map[string]bool{"a": true, "b": true}},
		{3 * time.Second, readerA, nil, map[string]bool{"b": true}},
		{leavingListTTL, readerB, []string{"b"}, map[string]bool{"b": true}},
		{4*time.Second + 2*leavingListTTL, readerA, nil, map[string]bool{}},
	} {
		if got := lists.update(step.at, step.source, step.names); !maps.Equal(got, step.want) {
			t.Errorf("at %s: got %v, want %v", step.at, got, step.want)
		}
		if lists.lastReceived() != step.at {
			t.Errorf("last received at %s, want %s", lists.lastReceived(), step.at)
		}
	}
}
