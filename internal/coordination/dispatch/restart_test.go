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

// Guards against retries that are used up at an address that belongs to another upstream: until
// the list is updated each request sent there is refused, and dials succeed.
func TestMisdirectedUpstreamIsEjected(t *testing.T) {
	const length = 10 * time.Second
	d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "gone", Slots: 4}, {ID: "b", Slots: 4}, {ID: "c", Slots: 4}})
	misdirected := 0
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		for _, u := range d.ProbesDue(now) {
			d.RecordProbe(now, u.ID, true)
		}
		g := d.Submit(now, Request{ID: uint64(now) + 1, Arrived: now, Target: now + time.Second, Deadline: now + time.Second}).Grant
		if g == nil {
			t.Fatal("no upstream was granted")
		}
		if g.Upstream.ID == "gone" {
			misdirected++
			d.Done(now, g.Token, Misdirected)
			continue
		}
		d.FirstOutput(now, g.Token)
		d.Done(now, g.Token, Succeeded)
	}
	if limit := int(length/maxBackoff) + 1; misdirected > limit {
		t.Errorf("%d of %d requests were misdirected in %v, want at most %d", misdirected, length/(10*time.Millisecond), length, limit)
	}
}
