package gateway

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/readers"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Guards against requests to an upstream that left while this instance was disconnected
// from the platform: reconnecting and the grace for expired entries must end before the
// instance counts as connected again.
func TestExpiredEntryGraceEndsWithinBounds(t *testing.T) {
	const (
		maxRemovalDelay = 2 * time.Second // for new requests to an upstream that leaves
		reconnectBound  = 3 * time.Second // after this time an instance counts as connected
	)
	if expiredEntryGrace >= maxRemovalDelay {
		t.Errorf("grace of %v is not below the bound of %v", expiredEntryGrace, maxRemovalDelay)
	}
	s := &settings.Gateway{Freshness: config.Duration(2 * time.Second)}
	w := newPlatformWatcher(&Gateway{settings: s, adapter: Adapter{Decoder: prefixDecoder{}}})
	reader, follower := membership.Member{Name: "reader"}, membership.Member{Name: "follower"}
	follower.Incarnation.Process[0] = 1
	if readers.Choose([]membership.Member{reader, follower}, "", 1)[0].Name != reader.Name {
		reader, follower = follower, reader
	}
	for _, self := range []membership.Member{reader, follower} {
		w.schedule.SetMembers(self, []membership.Member{reader, follower}, 1)
		// A call that was made in the outage is given up, and the next one follows after a pause.
		reconnect := max(StoreDialTimeout, PingTimeout) + w.backoffLimit()
		if removal := expiredEntryGrace + removalCheckInterval; reconnect+removal >= reconnectBound {
			t.Errorf("reader %v: reconnecting takes up to %v and the removal then %v; the total is not below %v", w.schedule.IsReader(), reconnect, removal, reconnectBound)
		}
	}
}

// Guards against configuration changes that take effect too late because a watch was
// disconnected without an error: the watch, the pause before it and the following call must
// fit into the freshness bound.
func TestSilentWatchStaysWithinFreshness(t *testing.T) {
	for _, freshness := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		s := &settings.Gateway{Freshness: config.Duration(freshness)}
		w := newPlatformWatcher(&Gateway{settings: s, adapter: Adapter{Decoder: prefixDecoder{}}})
		if total := w.watchPause + w.schedule.Next(0, 0).Wait + WatchTimeoutMargin + maxBackoff/2; total > freshness {
			t.Errorf("freshness %v: a change may take %v to be seen", freshness, total)
		}
	}
}

// prefixDecoder is a Decoder that implements only Prefix.
type prefixDecoder struct{ Decoder }

func (prefixDecoder) Prefix() string { return "" }
