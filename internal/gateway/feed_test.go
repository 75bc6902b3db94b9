package gateway

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
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

// Guards against a configuration that takes effect too late because a watch was cut without
// a sign: the watch and the pause before it, together with the next call, must fit into the
// freshness.
func TestChangesBehindASilentWatchAreSeenInTime(t *testing.T) {
	for _, freshness := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		s := &settings.Gateway{Freshness: config.Duration(freshness)}
		f := newFeed(&Gateway{settings: s, protocols: Protocols{Decoder: prefixDecoder{}}})
		if total := f.pause + f.wait + WatchSlack + maxPause/2; total > freshness {
			t.Errorf("freshness %v: a change may be seen after %v", freshness, total)
		}
	}
}

// prefixDecoder is a Decoder of which only the prefix is used.
type prefixDecoder struct{ Decoder }

func (prefixDecoder) Prefix() string { return "" }
