package streamorigin

import (
	"testing"
	"time"
)

func published(versions ...string) map[string]map[string]bool {
	set := map[string]bool{}
	for _, v := range versions {
		set[v] = true
	}
	return map[string]map[string]bool{"svc": set}
}

// Guards against taking the version that is published now for the one at which a stream began: it may have
// begun before a release, or before this instance started.
func TestSoleVersionIsProvenOnlyByTime(t *testing.T) {
	h := NewVersionHistory(false)
	expect := func(at time.Duration, want string, wantOK bool) {
		t.Helper()
		if got, ok := h.Sole(at, "svc"); got != want || ok != wantOK {
			t.Errorf("at %v: %q %v, want %q %v", at, got, ok, want, wantOK)
		}
	}
	expect(0, "", false)
	h.Observe(time.Second, published("v1"))
	expect(Lifetime, "", false)
	expect(time.Second+Lifetime, "v1", true)
	h.Observe(2*Lifetime, published("v1", "v2"))
	expect(2*Lifetime+time.Second, "", false)
	h.Observe(3*Lifetime, published("v2"))
	expect(3*Lifetime+time.Second, "", false)
	h.Observe(4*Lifetime-time.Second, published("v2"))
	expect(4*Lifetime-time.Second, "", false)
	expect(4*Lifetime, "v2", true)
	h.Observe(5*Lifetime, published("v1", "v2")) // the release is taken back
	expect(5*Lifetime, "", false)
	if _, ok := h.Sole(5*Lifetime, "another"); ok {
		t.Error("a service without upstreams has a version")
	}
}

// Guards against an instance that has just started and takes the versions that it sees for all there were.
func TestObservationsOfAPeerCount(t *testing.T) {
	peer, started := NewVersionHistory(false), NewVersionHistory(false)
	peer.Observe(0, published("v1"))
	peer.Observe(Lifetime, published("v2"))
	started.Observe(time.Second, published("v2"))
	started.Merge(time.Second, peer.Observations(Lifetime+time.Second, true))
	if got, ok := started.Sole(2*time.Second, "svc"); ok {
		t.Errorf("%q, but the peer has seen another one", got)
	}
	if got, ok := started.Sole(2*Lifetime, "svc"); !ok || got != "v2" {
		t.Errorf("%q %v", got, ok)
	}
	fresh := NewVersionHistory(false)
	fresh.Observe(time.Second, published("v1"))
	fresh.Merge(time.Second, NewVersionHistory(false).Observations(time.Second, true))
	if _, ok := fresh.Sole(2*time.Second, "svc"); ok {
		t.Error("a peer that has observed nothing proves something")
	}
	long := NewVersionHistory(false)
	long.Observe(0, published("v1"))
	fresh.Merge(time.Second, long.Observations(2*Lifetime, true))
	if got, ok := fresh.Sole(2*time.Second, "svc"); !ok || got != "v1" {
		t.Errorf("%q %v after a peer that has observed one version for long", got, ok)
	}
}

// Guards against versions that came and went while an instance did not see what was published.
func TestObservationsWithGapsProveNothing(t *testing.T) {
	h := NewVersionHistory(true)
	h.Observe(0, published("v1"))
	h.Seen(time.Second, "svc", "v2") // gone before the next observation
	h.Observe(time.Second, published("v1"))
	if got, ok := h.Sole(2*time.Second, "svc"); ok {
		t.Errorf("%q, though another version was published for a moment", got)
	}
	h = NewVersionHistory(true)
	h.Observe(0, published("v1"))
	h.Interrupted(time.Second)
	if got, ok := h.Sole(2*time.Second, "svc"); ok {
		t.Errorf("%q after an interruption", got)
	}
	if got, ok := h.Sole(time.Second+Lifetime, "svc"); !ok || got != "v1" {
		t.Errorf("%q %v a lifetime after the interruption", got, ok)
	}
	cutOff, started := NewVersionHistory(true), NewVersionHistory(false)
	cutOff.Observe(0, published("v1"))
	started.Observe(time.Second, published("v1"))
	started.Merge(time.Second, cutOff.Observations(time.Second, false))
	if got, ok := started.Sole(2*time.Second, "svc"); ok {
		t.Errorf("%q from a peer whose observation has ended", got)
	}
	cutOff.Observe(2*time.Second, published("v2"))
	started.Merge(3*time.Second, cutOff.Observations(3*time.Second, false))
	if got, ok := started.Sole(2*Lifetime, "svc"); !ok || got != "v1" {
		t.Errorf("%q %v, long after the peer had seen another version", got, ok)
	}
}

// Guards against a fleet that cannot know the only version that there has been since it was first started.
func TestHistoryIsCompleteFromTheFirstStart(t *testing.T) {
	h, later := NewVersionHistory(true), NewVersionHistory(false)
	if got, ok := h.Sole(0, "svc"); ok {
		t.Errorf("%q before anything was observed", got)
	}
	h.Observe(time.Second, published("v1"))
	later.Observe(0, published("v1"))
	later.Merge(time.Second, h.Observations(2*time.Second, true))
	for _, history := range []*VersionHistory{h, later} {
		if got, ok := history.Sole(2*time.Second, "svc"); !ok || got != "v1" {
			t.Errorf("%q %v", got, ok)
		}
		history.Observe(3*time.Second, published("v1", "v2"))
		history.Observe(4*time.Second, published("v2"))
		if got, ok := history.Sole(5*time.Second, "svc"); ok {
			t.Errorf("%q after a release", got)
		}
	}
}
