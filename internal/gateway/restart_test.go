package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// Guards against a new process that counts as crashed, or that gets no requests, while the entry of its
// predecessor still names the same address: the order of the entries decided.
func TestLaterStartSupersedesUpstreamAtItsAddress(t *testing.T) {
	at := func(id, incarnation string) dispatch.Upstream {
		return dispatch.Upstream{ID: id, Incarnation: incarnation, Address: "10.0.0.1:80", Slots: 4}
	}
	leaving := at("leaving", "5")
	leaving.Leaving = true
	elsewhere := dispatch.Upstream{ID: "elsewhere", Incarnation: "9", Address: "10.0.0.2:80", Slots: 4}
	type step struct {
		published []dispatch.Upstream
		replaced  []string // IDs
		used      []string // IDs
	}
	// The second of two IDs is the lesser one in half of the cases, so that no order of IDs passes.
	for name, steps := range map[string][]step{
		"later start": {
			{[]dispatch.Upstream{at("a", "10"), elsewhere}, nil, []string{"a", "elsewhere"}},
			{[]dispatch.Upstream{at("a", "10"), at("b", "11"), elsewhere}, []string{"a"}, []string{"b", "elsewhere"}},
			{[]dispatch.Upstream{at("a", "10"), at("b", "11")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("a", "10"), at("b", "11"), elsewhere}, nil, []string{"b", "elsewhere"}},
			{[]dispatch.Upstream{at("b", "11"), elsewhere}, nil, []string{"b", "elsewhere"}},
		},
		"more digits are later": {
			{[]dispatch.Upstream{at("b", "999")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("b", "999"), at("a", "1000")}, []string{"b"}, []string{"a"}},
			{[]dispatch.Upstream{at("a", "1000")}, nil, []string{"a"}},
		},
		"an unknown start is the earliest": {
			{[]dispatch.Upstream{at("b", "")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("b", ""), at("a", "1")}, []string{"b"}, []string{"a"}},
			{[]dispatch.Upstream{at("a", "1")}, nil, []string{"a"}},
		},
		"both known at once": {
			{[]dispatch.Upstream{at("b", "1"), at("a", "2")}, nil, []string{"a"}},
			{[]dispatch.Upstream{at("b", "1"), at("a", "2"), elsewhere}, nil, []string{"a", "elsewhere"}},
			{[]dispatch.Upstream{at("a", "2")}, nil, []string{"a"}},
		},
		"three starts": {
			{[]dispatch.Upstream{at("c", "1")}, nil, []string{"c"}},
			{[]dispatch.Upstream{at("c", "1"), at("a", "2"), at("b", "3")}, []string{"c"}, []string{"b"}},
		},
		"the later entry is removed first": {
			{[]dispatch.Upstream{at("a", "1"), at("b", "2")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("a", "1")}, nil, []string{"a"}},
			{[]dispatch.Upstream{at("a", "1"), at("c", "3")}, []string{"a"}, []string{"c"}},
		},
		"neither start is known": { // the one that is removed first has ended
			{[]dispatch.Upstream{at("b", "")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("b", ""), at("a", "")}, nil, []string{"a", "b"}},
			{[]dispatch.Upstream{at("b", ""), at("a", ""), elsewhere}, nil, []string{"a", "b", "elsewhere"}},
			{[]dispatch.Upstream{at("a", "")}, []string{"b"}, []string{"a"}},
		},
		"entries change in one step": {
			{[]dispatch.Upstream{at("b", "1")}, nil, []string{"b"}},
			{[]dispatch.Upstream{at("a", "2")}, []string{"b"}, []string{"a"}},
			{[]dispatch.Upstream{at("a", "3")}, []string{"a"}, []string{"a"}},
		},
		"a leaving upstream": {
			{[]dispatch.Upstream{leaving}, nil, []string{"leaving"}},
			{[]dispatch.Upstream{leaving, at("a", "6")}, []string{"leaving"}, []string{"a"}},
		},
	} {
		for _, reversed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reversed=%v", name, reversed), func(t *testing.T) {
				s := &service{dispatcher: dispatch.New(dispatch.Options{}, rand.New(rand.NewPCG(1, 1))), clients: map[string]*upstream.Client{}}
				for i, step := range steps {
					published := slices.Clone(step.published)
					if reversed {
						slices.Reverse(published)
					}
					replaced := upstreamIDs(s.updateUpstreams(time.Duration(i)*time.Second, published, latestStarts(published)))
					if !slices.Equal(replaced, step.replaced) {
						t.Errorf("step %d: replaced %v, want %v", i, replaced, step.replaced)
					}
					var used []string
					for _, u := range s.dispatcher.Snapshot(time.Duration(i) * time.Second) {
						used = append(used, u.ID)
					}
					if slices.Sort(used); !slices.Equal(used, step.used) {
						t.Errorf("step %d: upstreams %v are used, want %v", i, used, step.used)
					}
				}
			})
		}
	}
}

// Guards against requests at the address of a server of another service, and against a crash that is recorded for
// it: the entry may stand because its removal is deferred, after a planned stop.
func TestStartOfAnotherServiceSupersedesWithoutCrash(t *testing.T) {
	s := &service{dispatcher: dispatch.New(dispatch.Options{}, rand.New(rand.NewPCG(1, 1))), clients: map[string]*upstream.Client{}}
	u := dispatch.Upstream{ID: "a", Incarnation: "1", Address: "10.0.0.1:80", Slots: 4}
	for i, step := range []struct {
		latest string // at the address
		used   int
	}{{"1", 1}, {"2", 0}, {"2", 0}, {"1", 1}} {
		replaced := s.updateUpstreams(time.Duration(i)*time.Second, []dispatch.Upstream{u}, map[string]string{u.Address: step.latest})
		if len(replaced) > 0 {
			t.Errorf("step %d: replaced %v", i, upstreamIDs(replaced))
		}
		if used := len(s.dispatcher.Snapshot(time.Duration(i) * time.Second)); used != step.used {
			t.Errorf("step %d: %d upstreams are used, want %d", i, used, step.used)
		}
		if _, ok := s.publishedUpstream(u.ID); !ok {
			t.Errorf("step %d: the published upstream is not known", i)
		}
	}
}

func upstreamIDs(upstreams []dispatch.Upstream) []string {
	var ids []string
	for _, u := range upstreams {
		ids = append(ids, u.ID)
	}
	slices.Sort(ids)
	return ids
}
