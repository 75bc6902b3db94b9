package balancer

import "testing"

// The bound on the mean token interval must be below the target: with a mean at the
// target, about half of the responses would miss it.
func TestTokenIntervalBoundIsBelowTarget(t *testing.T) {
	l := newLimiter(4, 1, 100)
	inputs := &limitInputs{tokenIntervalTarget: 0.053}
	if l.tokenIntervalTooLong(0.053*tokenIntervalTargetShare-0.001, inputs) || !l.tokenIntervalTooLong(0.052, inputs) {
		t.Error("the bound on the mean token interval is not below the target")
	}
}

// At an engine that reports a queue, requests of high tiers wait too, long before the
// time to first token reaches three times its baseline. The bound must be lower then.
func TestReportedQueueLowersFirstTokenBound(t *testing.T) {
	l := newLimiter(4, 1, 100)
	l.firstTokenBaseline, l.serviceTime = 0.1, 5
	if l.firstTokenTooLate(0.2, false, &limitInputs{}) || !l.firstTokenTooLate(0.2, false, &limitInputs{queueReported: true}) {
		t.Error("a reported queue does not lower the bound on the time to first token")
	}
	if l.firstTokenTooLate(0.14, false, &limitInputs{queueReported: true}) {
		t.Error("a first token within 1.5 times the baseline counts as late")
	}
}
