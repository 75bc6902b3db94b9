package entry

import (
	"maps"
	"testing"
	"time"
)

// An upstream that one reader reports as leaving must stay out of use until every list
// that still counts leaves it out, and a reader that is gone must not keep it out for ever.
func TestLeavingLists(t *testing.T) {
	var lists leavingLists
	one, two := [16]byte{1}, [16]byte{2}
	for _, step := range []struct {
		at     time.Duration
		source [16]byte
		names  []string
		want   map[string]bool
	}{
		{0, one, []string{"a"}, map[string]bool{"a": true}},
		{time.Second, two, nil, map[string]bool{"a": true}},
		{2 * time.Second, two, []string{"b"}, map[string]bool{"a": true, "b": true}},
		{3 * time.Second, one, nil, map[string]bool{"b": true}},
		{leavingLifetime, two, []string{"b"}, map[string]bool{"b": true}},
		{4*time.Second + 2*leavingLifetime, one, nil, map[string]bool{}},
	} {
		if got := lists.put(step.at, step.source, step.names); !maps.Equal(got, step.want) {
			t.Errorf("at %s: got %v, want %v", step.at, got, step.want)
		}
		if lists.lastHeard() != step.at {
			t.Errorf("last heard at %s, want %s", lists.lastHeard(), step.at)
		}
	}
}
