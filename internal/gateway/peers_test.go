package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// emptyStore is a PlatformStore without entries.
type emptyStore struct{}

func (emptyStore) Read(context.Context, string) (replica.Snapshot, error) {
	return replica.Snapshot{Revision: 1}, nil
}

func (emptyStore) Watch(ctx context.Context, _ string, after replica.Position, wait time.Duration, _ func()) ([]replica.Change, replica.Position, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil
}

func (emptyStore) Ping(context.Context) error { return nil }

// startWithPeers runs an instance without upstreams on loopback ports. It joins through the
// given gossip addresses.
func startWithPeers(t *testing.T, name string, seeds ...string) *Gateway {
	t.Helper()
	s, err := settings.ParseGateway([]byte("instance: " + name + "\nfailure_domain: lanester\ncallers: {address: 127.0.0.1:0}\n" +
		"operations: {address: 127.0.0.1:0}\nready_path: /ready\nplatform: {address: 127.0.0.1:1}\ndrain_delay: 10ms\n"))
	if err != nil {
		t.Fatal(err)
	}
	s.Peers = &settings.GatewayPeers{Address: "127.0.0.1:0", Gossip: "127.0.0.1:0", Seeds: seeds, Network: "gateway test deployment"}
	s.Retries = settings.Retries{Slack: 56, Window: config.Duration(10 * time.Second)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g, err := New(s, Adapter{Store: emptyStore{}, Decoder: prefixDecoder{}}, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// eventually waits until the condition holds.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not seen: %s", condition)
		}
	}
}

// Guards against instances that never learn of a crashing request because the broadcast did not
// reach them: they were down or cut off at that moment.
func TestMissedCrashesReachPeers(t *testing.T) {
	const fingerprint = 7
	first := startWithPeers(t, "front-1")
	second := startWithPeers(t, "front-2", first.GossipAddress())
	eventually(t, "two instances know each other", func() bool { return first.retryingInstances() == 2 && second.retryingInstances() == 2 })
	// Merge broadcasts nothing, as if the broadcast had been lost.
	first.quarantine.Merge(first.now(), []quarantine.Suspicion{{Fingerprint: fingerprint, Team: "team",
		Crashes: []quarantine.CrashID{{Upstream: "i-a", Incarnation: "1"}, {Upstream: "i-b", Incarnation: "1"}}}})
	refuses := func(g *Gateway) func() bool {
		return func() bool { return g.quarantine.Check(g.now(), fingerprint) == quarantine.Refuse }
	}
	eventually(t, "the second instance refuses the request", refuses(second))
	third := startWithPeers(t, "front-3", second.GossipAddress())
	eventually(t, "an instance that joins refuses the request", refuses(third))
}

// Guards against shares of the retry slack that are computed once, before the instances know each
// other: twelve instances that started together took five retries each of 44.
func TestRetrySlackSharesFollowTheNumberOfInstances(t *testing.T) {
	const instances = 12
	fleet := []*Gateway{startWithPeers(t, "front-0")}
	for i := 1; i < instances; i++ {
		fleet = append(fleet, startWithPeers(t, fmt.Sprint("front-", i), fleet[0].GossipAddress()))
	}
	for _, g := range fleet {
		eventually(t, "each instance knows all", func() bool { return g.retryingInstances() == instances })
	}
	total := 0
	for _, g := range fleet {
		total += g.retrySlackAt(time.Minute)
	}
	if limit := int(fleet[0].settings.Retries.Slack); total > limit || total == 0 {
		t.Errorf("the shares add up to %d, the slack is %d", total, limit)
	}
}
