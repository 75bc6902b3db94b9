package gateway

import (
	"testing"
	"time"
)

// Guards against requests to an upstream that left while this instance was cut off from the
// platform: the instance must have reconnected, and the grace for entries that lapsed must
// have ended, before the platform counts on it again.
func TestGraceEndsBeforeTheInstanceIsCountedOnAgain(t *testing.T) {
	const (
		leaving = 2 * time.Second // bound for new requests to an upstream that leaves
		stable  = 3 * time.Second // an instance counts as connected after this time
	)
	if lapseGrace >= leaving {
		t.Errorf("the grace of %v is not below the bound of %v", lapseGrace, leaving)
	}
	if reconnect := maxPause + StoreDialTimeout; reconnect+lapseGrace >= stable {
		t.Errorf("reconnecting takes up to %v and the grace %v, together not below %v", reconnect, lapseGrace, stable)
	}
}
