package entry

import (
	"context"
	"io"
	"net"
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
	return startOnNetwork(t, Network{}, name, domain, keyFile, seeds...)
}

// startOnNetwork is like startWithPeers but uses the given network functions.
func startOnNetwork(t *testing.T, network Network, name, domain, keyFile string, seeds ...string) *Instance {
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
	in, err := NewWithNetwork(network, s, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return in
}

// startPair runs two instances that know each other, the first of them with the given network functions.
func startPair(t *testing.T, network Network) (first, second *Instance) {
	t.Helper()
	keyFile := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keyFile, []byte(strings.Repeat("ab", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	first = startOnNetwork(t, network, "entry-1", "a", keyFile)
	second = startWithPeers(t, "entry-2", "b", keyFile, first.GossipAddress())
	eventually(t, "the instances know each other", func() bool {
		return len(first.peers.liveMembers()) == 1 && len(second.peers.liveMembers()) == 1
	})
	return first, second
}

// Guards against a caller that sends a crashing request again, to a peer that has not yet processed the
// report of the crash: a busy machine takes longer for it than the network.
func TestCallerOfACrashingRequestWaitsForBusyPeers(t *testing.T) {
	const (
		fingerprint   = 7
		timeToProcess = 100 * time.Millisecond
	)
	first, second := startPair(t, Network{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(timeToProcess)
		return new(net.Dialer).DialContext(ctx, network, address)
	}})
	first.crashReportTimeout = time.Minute
	first.reportCrash([]quarantine.Suspicion{{Fingerprint: fingerprint, Team: "team",
		Crashes: []quarantine.CrashID{{Upstream: "llm-1", Incarnation: "1"}}}})
	if verdict := second.quarantine.Check(second.now(), fingerprint); verdict != quarantine.Suspect {
		t.Errorf("the peer's verdict is %v when the caller gets its response, want %v", verdict, quarantine.Suspect)
	}
}

// Guards against instances that never learn of a crashing request because the broadcast did not
// reach them: they were cut off at that moment.
func TestMissedSuspicionsReachPeers(t *testing.T) {
	const fingerprint = 7
	first, second := startPair(t, Network{})
	// Merge broadcasts nothing, as if the broadcast had been lost.
	first.quarantine.Merge(first.now(), []quarantine.Suspicion{{Fingerprint: fingerprint, Team: "team",
		Crashes: []quarantine.CrashID{{Upstream: "llm-1", Incarnation: "1"}, {Upstream: "llm-2", Incarnation: "1"}}}})
	eventually(t, "the other instance refuses the request", func() bool {
		return second.quarantine.Check(second.now(), fingerprint) == quarantine.Refuse
	})
}
