package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// schedulerWithBacklog returns a scheduler with recent dispatches of tier 1, waiting drafts and a
// known service time of one second per request.
func schedulerWithBacklog(t *testing.T, o Options) *Scheduler {
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

// Guards against a request of a higher tier that must wait for a bulk request to end because
// no slot is open, and against slots that stay reserved although bulk requests may use them.
func TestLowerTiersReserveSlotsForHigherTiers(t *testing.T) {
	s := schedulerWithBacklog(t, traceOptions())
	now := time.Second + ms
	s.SetSlots(now, 2, 16)
	if r, ok, _ := s.Next(now); ok {
		t.Errorf("draft %d was dispatched to a reserved slot", r.ID)
	}
	s.Enqueue(now, Request{ID: 20, Class: "memo", Team: "a", Arrived: now})
	if r, ok, _ := s.Next(now); !ok || r.ID != 20 {
		t.Error("the memo was not dispatched to a reserved slot")
	}
	s.SetSlots(now, 3, 16)
	if _, ok, _ := s.Next(now); !ok {
		t.Error("no draft was dispatched although more slots are open than reserved")
	}
	s.SetSlots(now, 1, 1)
	if _, ok, _ := s.Next(now); !ok {
		t.Error("no draft was dispatched to the only slot")
	}
	late := now + 20*time.Second // the draft is due for an aged dispatch
	s.SetSlots(late, 1, 16)
	if _, ok, _ := s.Next(late); !ok {
		t.Error("the aged draft was not dispatched to a reserved slot")
	}
	idle := now + 3*time.Minute
	s.SetSlots(idle, 1, 16)
	s.Enqueue(idle, Request{ID: 30, Class: "draft", Team: "b", Arrived: idle})
	if r, ok, _ := s.Next(idle); !ok || r.ID != 30 {
		t.Error("slots stay reserved for a tier without requests")
	}
}

// Guards against requests that, with the goodput objective, are admitted although they cannot
// meet their target, and occupy the slots of requests that could meet theirs.
func TestGoodputAdmitsByTargetBehindABacklog(t *testing.T) {
	o := traceOptions()
	o.Objective = Goodput
	o.Classes[0].FirstTokenTarget, o.Classes[0].Deadline = 2*time.Second, time.Minute
	s := New(o, rand.New(rand.NewPCG(1, 1)))
	res := runTrace(s, o, 4, time.Second, 0, 40*time.Second, arrivals{"memo", "a", 100 * ms})
	if res.late["memo"]*10 > res.dispatched["memo"] || res.shed["memo"][ReasonDeadline] == 0 {
		t.Errorf("%d of %d memos late, shed %v", res.late["memo"], res.dispatched["memo"], res.shed["memo"])
	}
	// Nothing is ahead of this late request, so only its deadline counts.
	late := 2 * time.Minute
	s.Tick(late)
	if sheds := s.Enqueue(late, Request{ID: 1 << 40, Class: "memo", Team: "a", Arrived: late - 30*time.Second}); len(sheds) > 0 {
		t.Errorf("a late memo was shed although there is no backlog: %+v", sheds)
	}
}
