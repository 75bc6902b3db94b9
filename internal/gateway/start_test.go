package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Guards against a process that ends because a peer's message arrives while the instance is being created: its peer
// socket is open then.
func TestMessageDuringTheCreationOfAnInstanceWaits(t *testing.T) {
	g := &Gateway{settings: &settings.Gateway{Peers: &settings.GatewayPeers{Address: "127.0.0.1:0", Gossip: "127.0.0.1:0", Network: "gateway test deployment"}}}
	p, err := newPeers(g)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	payload, err := msgpack.Marshal(pullMessage{Follow: followMessage{Confirm: true}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.handleMessage(ctx, peerwire.Identity{}, peerwire.ReplicaPull{Payload: payload}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a pull: %v", err)
	}
	if _, err := p.relay(ctx, peerwire.Identity{}, peerwire.RelayOpen{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a relay: %v", err)
	}
}
