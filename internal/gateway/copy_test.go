package gateway

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// largeConfiguration is the content of a configuration of about 4,000 routes.
var largeConfiguration = strings.Repeat("x", 1_000_000)

// startWithStore runs an instance that reads a store and knows peers.
func startWithStore(t *testing.T, name string, store PlatformStore, dial peer.DialFunc, seeds ...string) *Gateway {
	t.Helper()
	s, err := settings.ParseGateway([]byte("instance: " + name + "\nfailure_domain: " + name + "\ncallers: {address: 127.0.0.1:0}\n" +
		"operations: {address: 127.0.0.1:0}\nready_path: /ready\nplatform: {address: 127.0.0.1:1}\ndrain_delay: 10ms\n"))
	if err != nil {
		t.Fatal(err)
	}
	s.Peers = &settings.GatewayPeers{Address: "127.0.0.1:0", Gossip: "127.0.0.1:0", Seeds: seeds, Network: "gateway test deployment"}
	s.Retries = settings.Retries{Slack: 56, Window: config.Duration(10 * time.Second)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	g, err := New(s, Adapter{Store: store, Decoder: keyDecoder{}, DialPeer: dial}, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// Guards against copies of the configuration that instances send to each other with every small change, or while the
// platform sends it to all of them, so that it arrives late over slow links.
func TestPullsCarryNoConfigurationThatThePlatformSends(t *testing.T) {
	store := newOutageStore("i-a")
	store.put("configuration", largeConfiguration)
	g := startWithStore(t, "front-1", store, nil)
	applied := func(revision uint64) func() bool {
		return func() bool { p, ok := g.platformWatcher.replica.Position(); return ok && p.Revision == revision }
	}
	eventually(t, "the configuration is applied", applied(2))
	for name, tc := range map[string]struct {
		key, value string
	}{"an upstream": {"i-b", "ready"}, "the configuration": {"configuration", largeConfiguration + "y"}} {
		request := g.peers.newPullMessage(mustPosition(t, g))
		store.put(tc.key, tc.value)
		eventually(t, "the change is applied", applied(request.Revision+1))
		if size := pullAnswerSize(t, g, request); size > maxChangesBytes {
			t.Errorf("after a change of %s, a peer that reads the platform gets %d bytes, want at most %d", name, size, maxChangesBytes)
		}
	}
}

// mustPosition returns the position of the copy of an instance.
func mustPosition(t *testing.T, g *Gateway) replica.Position {
	t.Helper()
	position, ok := g.platformWatcher.replica.Position()
	if !ok {
		t.Fatal("the instance has no copy")
	}
	return position
}

// pullAnswerSize returns the size of the answer to a pull.
func pullAnswerSize(t *testing.T, g *Gateway, request pullMessage) int {
	t.Helper()
	payload, err := msgpack.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := g.peers.handlePull(t.Context(), peerwire.ReplicaPull{Payload: payload})
	if err != nil {
		t.Fatal(err)
	}
	return len(answer.(peerwire.ReplicaPush).Payload)
}

// slowConn delivers what it reads at a limited rate.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), 8<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// Guards against an instance that has lost the platform and never gets a large configuration from its peers, because
// each copy takes longer to arrive than a call may last.
func TestInstanceWithoutThePlatformGetsALargeConfigurationOverASlowLink(t *testing.T) {
	const bytesPerSecond = 400_000
	store, lost := newOutageStore("i-a"), newOutageStore("i-a")
	store.put("configuration", "small")
	lost.put("configuration", "small")
	front1 := startWithStore(t, "front-1", store, nil)
	front2 := startWithStore(t, "front-2", lost, func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &slowConn{Conn: c, bytesPerSecond: bytesPerSecond}, nil
	}, front1.GossipAddress())
	eventually(t, "both have the first configuration", func() bool { return front1.configurationVersion() == 2 && front2.configurationVersion() == 2 })
	eventually(t, "they know each other", func() bool { return len(front2.peers.livePeers()) == 1 })
	lost.setSilent(true)
	eventually(t, "the platform is lost", front2.platformWatcher.replica.Unavailable)
	store.put("configuration", largeConfiguration)
	store.put("i-b", "ready")
	eventually(t, "the configuration arrives", func() bool { return front2.configurationVersion() == 3 })
	eventually(t, "the copy is complete", func() bool { return mustPosition(t, front2) == mustPosition(t, front1) })
}
