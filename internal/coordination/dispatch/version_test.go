package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newVersionedDispatcher(slots int, versions ...string) *Dispatcher {
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 2)))
	var list []Upstream
	for i, version := range versions {
		list = append(list, Upstream{ID: fmt.Sprint("i-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Domain: "a", Slots: slots, Version: version})
	}
	d.Update(0, list)
	return d
}

func versionRequest(id uint64, rank int, version *string) Request {
	return Request{ID: id, Rank: rank, Team: "t", Target: time.Second, Deadline: 10 * time.Second, Version: version}
}

// Guards against a request that is placed at an upstream of another version because those of its own are
// full, ejected or have been tried.
func TestRequestIsPlacedAtItsVersionOnly(t *testing.T) {
	d := newVersionedDispatcher(1, "v1", "v2", "v2", "v2")
	v1 := "v1"
	first := d.Submit(0, versionRequest(1, 0, &v1))
	if first.Grant == nil || first.Grant.Upstream.Version != v1 {
		t.Fatalf("%+v", first)
	}
	r := versionRequest(2, 0, &v1)
	r.Exclude = []string{first.Grant.Upstream.ID}
	if full := d.Submit(0, r); full.Grant != nil || full.Rejection != nil {
		t.Fatalf("the only upstream of the version is full: %+v", full)
	}
	d.Done(time.Millisecond, first.Grant.Token, Unreachable)
	decisions := d.Advance(2 * time.Millisecond)
	if len(decisions) != 1 || decisions[0].Grant == nil || decisions[0].Grant.Upstream.Version != v1 {
		t.Fatalf("%+v", decisions)
	}
}

// Guards against a request that waits for a version of which no upstream accepts requests.
func TestRequestWhoseVersionIsGoneIsRejectedAtOnce(t *testing.T) {
	for name, leaving := range map[string]bool{"gone": false, "leaving": true} {
		d := newVersionedDispatcher(4, "v2")
		if leaving {
			d.Update(0, []Upstream{{ID: "i-0", Address: "10.0.0.0:80", Slots: 4, Version: "v2"}, {ID: "i-1", Address: "10.0.0.1:80", Slots: 4, Version: "v1", Leaving: true}})
		}
		v1 := "v1"
		got := d.Submit(0, versionRequest(1, 0, &v1))
		if got.Rejection == nil || got.Rejection.Reason != ReasonNoVersion || got.Rejection.RetryAfter <= 0 {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// Guards against idle upstreams: a request that waits for its version must not hold back less urgent ones
// that may run at the others.
func TestRequestThatWaitsForItsVersionHoldsNoOthersBack(t *testing.T) {
	d := newVersionedDispatcher(1, "v1", "v2")
	v1 := "v1"
	busy := []Decision{d.Submit(0, versionRequest(1, 0, &v1)), d.Submit(0, versionRequest(2, 0, nil))}
	for id, rank := range map[uint64]int{3: 0, 4: 5} {
		r := versionRequest(id, rank, nil)
		if id == 3 {
			r.Version = &v1
		}
		if got := d.Submit(0, r); got.Grant != nil || got.Rejection != nil {
			t.Fatalf("request %d does not wait: %+v", id, got)
		}
	}
	d.Done(time.Millisecond, busy[1].Grant.Token, Succeeded)
	decisions := d.Advance(2 * time.Millisecond)
	if len(decisions) != 1 || decisions[0].ID != 4 || decisions[0].Grant == nil || decisions[0].Grant.Upstream.Version != "v2" {
		t.Fatalf("%+v", decisions)
	}
}
