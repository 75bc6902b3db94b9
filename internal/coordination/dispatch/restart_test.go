package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against predictions from before a restart: an upstream that starts again under its ID
// has an empty cache, no requests and no failures.
func TestRestartedUpstreamKeepsNoLearnedState(t *testing.T) {
	d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
	published := Upstream{ID: "i-a", Address: "10.0.0.1:80", Incarnation: "1", Slots: 4, KVCapacityTokens: simKVCapacity}
	d.Update(0, []Upstream{published})
	request := func(id uint64) Request {
		return Request{ID: id, Class: "c", Team: "t", Target: 5 * time.Second, Deadline: 20 * time.Second, Prompt: 4000, Prefix: []Part{{ID: 1, Tokens: 3000}, {ID: id + 1, Tokens: 1000}}}
	}
	first := d.Submit(0, request(1))
	if first.Grant == nil {
		t.Fatalf("%+v", first)
	}
	d.Done(time.Second, first.Grant.Token, Unreachable)
	published.Incarnation = "2"
	d.Update(2*time.Second, []Upstream{published})
	state := d.Snapshot(2 * time.Second)[0]
	if state.Ejected || state.Load != 0 || state.Wait != 0 || state.Failures != 0 {
		t.Errorf("state after the restart: %+v", state)
	}
	if second := d.Submit(2*time.Second, request(3)); second.Grant == nil || second.Grant.Cached != 0 {
		t.Errorf("%+v, want no cached tokens", second.Grant)
	}
}
