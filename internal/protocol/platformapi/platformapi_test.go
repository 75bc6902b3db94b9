package platformapi

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a client and a platform that read different calls from the same URI.
func TestWatchRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Watch{
			After: Revision(rapid.Uint64().Draw(t, "after")),
			Wait:  time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond,
		}
		_, query, _ := strings.Cut(w.URI(), "?")
		got, err := ParseWatch(query)
		if err != nil || got.After != w.After || (got.Wait-w.Wait).Abs() > time.Microsecond {
			t.Fatalf("%s: got %+v, %v", w.URI(), got, err)
		}
	})
}

// Guards against accepting malformed queries and unbounded waits.
func TestParseWatchBounds(t *testing.T) {
	for _, query := range []string{"after=-1", "after=x", "wait=-1", "wait=NaN", "wait=soon", "%zz"} {
		if _, err := ParseWatch(query); err == nil {
			t.Errorf("%q was accepted", query)
		}
	}
	if w, err := ParseWatch("after=3&wait=1e9"); err != nil || w.Wait != MaxWait {
		t.Errorf("got %+v, %v", w, err)
	}
}
