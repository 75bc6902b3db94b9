package entry

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// startWithPeers runs an instance without a configuration that joins through the seeds.
func startWithPeers(t *testing.T, name, domain, keyFile string, seeds ...string) *Instance {
	t.Helper()
	s := &settings.Settings{Instance: name, FailureDomain: domain, Callers: settings.Listener{Address: "127.0.0.1:0"},
		Operations: settings.Listener{Address: "127.0.0.2:0"}, ConfigurationFile: "unused",
		Peers: &settings.Peers{Address: "127.0.0.1:0", Gossip: "127.0.0.1:0", Seeds: seeds, KeyFile: keyFile}}
	if err := s.Complete(); err != nil {
		t.Fatal(err)
	}
	s.ConfigurationFile = ""
	log := logrus.New()
	log.SetOutput(io.Discard)
	in, err := New(s, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return in
}

// Guards against instances that never learn of a crashing request because the broadcast did not
// reach them: they were cut off at that moment.
func TestMissedSuspicionsReachPeers(t *testing.T) {
	const fingerprint = 7
	keyFile := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	first := startWithPeers(t, "entry-1", "a", keyFile)
	second := startWithPeers(t, "entry-2", "b", keyFile, first.GossipAddress())
	await := func(condition string, holds func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("not seen: %s", condition)
			}
		}
	}
	await("the instances know each other", func() bool {
		return len(first.peers.liveMembers()) == 1 && len(second.peers.liveMembers()) == 1
	})
	// Merge broadcasts nothing, as if the broadcast had been lost.
	first.quarantine.Merge(first.now(), []quarantine.Suspicion{{Fingerprint: fingerprint, Team: "team",
		Crashes: []quarantine.CrashID{{Upstream: "llm-1", Incarnation: "1"}, {Upstream: "llm-2", Incarnation: "1"}}}})
	await("the other instance refuses the request", func() bool {
		return second.quarantine.Check(second.now(), fingerprint) == quarantine.Refuse
	})
}
