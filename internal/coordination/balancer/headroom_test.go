package balancer

import "testing"

// A mean at the target leaves about half of the answers above it.
func TestLimitKeepsHeadroomBelowTheIntervalTarget(t *testing.T) {
	l := newLimiter(4, 1, 100)
	o := &limitContext{intervalTarget: 0.053}
	if l.slowTokens(0.053*intervalHeadroom-0.001, o) || !l.slowTokens(0.052, o) {
		t.Error("the bound is not below the target")
	}
}

// An engine that reports a queue lets requests of high tiers wait as well, long before
// the first token is three times its baseline.
func TestReportedQueueTightensTheFirstToken(t *testing.T) {
	l := newLimiter(4, 1, 100)
	l.firstBase, l.service = 0.1, 5
	if l.lateFirst(0.2, false, &limitContext{}) || !l.lateFirst(0.2, false, &limitContext{queued: true}) {
		t.Error("the report makes no difference")
	}
	if l.lateFirst(0.14, false, &limitContext{queued: true}) {
		t.Error("the first token within half of its baseline counts as late")
	}
}
