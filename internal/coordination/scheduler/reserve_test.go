package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// backlog returns a scheduler whose tier 1 was dispatched lately and that has drafts
// waiting, with one request per second of known service time.
func backlog(t *testing.T, o Options) *Scheduler {
	t.Helper()
	s := New(o, rand.New(rand.NewPCG(1, 1)))
	for id := uint64(1); id <= 3; id++ {
		s.Enqueue(0, Request{ID: id, Class: "memo", Team: "a"})
		s.Next(0)
		s.Observe(time.Second, Sample{Class: "memo", Team: "a", Service: time.Second, FirstToken: 100 * ms})
	}
	s.Enqueue(time.Second, Request{ID: 9, Class: "memo", Team: "a", Arrived: time.Second})
	s.Next(time.Second)
	for id := uint64(10); id < 14; id++ {
		if sheds := s.Enqueue(time.Second, Request{ID: id, Class: "draft", Team: "b", Arrived: time.Second}); len(sheds) > 0 {
			t.Fatalf("draft %d is shed: %+v", id, sheds)
		}
	}
	return s
}

// Without open slots for a higher tier, its next request waits for the end of a bulk
// request. The slots must not stay closed for bulk work for ever either.
func TestLowerTiersLeaveSlotsOpen(t *testing.T) {
	s := backlog(t, traceOptions())
	now := time.Second + ms
	s.SetRoom(now, 2, 16)
	if r, ok, _ := s.Next(now); ok {
		t.Errorf("draft %d takes a reserved slot", r.ID)
	}
	s.Enqueue(now, Request{ID: 20, Class: "memo", Team: "a", Arrived: now})
	if r, ok, _ := s.Next(now); !ok || r.ID != 20 {
		t.Error("the memo gets no reserved slot")
	}
	s.SetRoom(now, 3, 16)
	if _, ok, _ := s.Next(now); !ok {
		t.Error("no draft although more slots are open than the reserve")
	}
	s.SetRoom(now, 1, 1)
	if _, ok, _ := s.Next(now); !ok {
		t.Error("the only slot stays closed")
	}
	late := now + 20*time.Second // the draft is due by the aged rule
	s.SetRoom(late, 1, 16)
	if _, ok, _ := s.Next(late); !ok {
		t.Error("no aged draft on a reserved slot")
	}
	idle := now + 3*time.Minute
	s.SetRoom(idle, 1, 16)
	s.Enqueue(idle, Request{ID: 30, Class: "draft", Team: "b", Arrived: idle})
	if r, ok, _ := s.Next(idle); !ok || r.ID != 30 {
		t.Error("slots stay reserved for a tier without requests")
	}
}

// With the goodput objective, requests that were admitted although their target was out
// of reach took the slots of requests that could have met it.
func TestGoodputAdmitsByTargetBehindABacklog(t *testing.T) {
	o := traceOptions()
	o.Objective = Goodput
	o.Classes[0].FirstTokenTarget, o.Classes[0].Deadline = 2*time.Second, time.Minute
	s := New(o, rand.New(rand.NewPCG(1, 1)))
	res := trace(s, o, 4, time.Second, 0, 40*time.Second, stream{"memo", "a", 100 * ms})
	if res.late["memo"]*10 > res.run["memo"] || res.shed["memo"][ReasonDeadline] == 0 {
		t.Errorf("%d of %d memos late, shed %v", res.late["memo"], res.run["memo"], res.shed["memo"])
	}
	// Nothing waits ahead of a late one, so its deadline alone counts.
	late := 2 * time.Minute
	s.Tick(late)
	if sheds := s.Enqueue(late, Request{ID: 1 << 40, Class: "memo", Team: "a", Arrived: late - 30*time.Second}); len(sheds) > 0 {
		t.Errorf("a late memo without a backlog is shed: %+v", sheds)
	}
}
