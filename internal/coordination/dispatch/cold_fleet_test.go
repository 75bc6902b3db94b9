package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// coldBound is the published bound for one second: 1.5 times the rate of a cold upstream and 5 requests.
func coldBound(rate float64) int { return int(1.5*rate + 5) }

// worstSecond returns the largest number of arrivals within one second from a time on, until another one.
func (f *limitedFleet) worstSecond(id string, from, until time.Duration) int {
	worst := 0
	list := slices.DeleteFunc(slices.Clone(f.arrivals[id]), func(at time.Duration) bool { return at < from || at >= until })
	for i, at := range list {
		n, _ := slices.BinarySearch(list, at+time.Second)
		worst = max(worst, n-i)
	}
	return worst
}

// published returns the list of upstreams that all instances have, changed by change.
func (f *limitedFleet) published(change func(*Upstream)) []Upstream {
	var list []Upstream
	for u := range f.instances[0].all() {
		published := u.Upstream
		change(&published)
		list = append(list, published)
	}
	return list
}

// publish makes all instances learn of a change of what is published.
func (f *limitedFleet) publish(change func(*Upstream)) {
	list := f.published(change)
	for _, d := range f.instances {
		d.Update(f.now, list)
	}
}

// settle tells all instances all names.
func (f *limitedFleet) settle() {
	for _, d := range f.instances {
		d.SetKnownInstances(f.now, f.names)
	}
}

// Guards against an upstream that is published as cold, is idle, and is chosen by all instances at once; and against one
// that gets nothing until it is warm.
func TestColdUpstreamGetsItsRateInSum(t *testing.T) {
	for _, instances := range []int{1, 8, 67} {
		for _, rate := range []float64{1, 8.3, 30} {
			t.Run(fmt.Sprint(instances, " instances, rate ", rate), func(t *testing.T) {
				const coldTime = 5 * time.Second
				f := newLimitedFleet(instances, 4, 16)
				f.settle()
				f.publish(func(u *Upstream) { u.ColdRate, u.ColdTime = rate, coldTime })
				perInstance := 600 / float64(instances)
				f.run(2*time.Second, perInstance)
				cold, from := f.instances[0].byHash[0].ID, f.now
				f.publish(func(u *Upstream) {
					if u.ID == cold {
						u.ColdUntil = f.now + coldTime
					}
				})
				f.run(coldTime, perInstance)
				if n := f.worstSecond(cold, from, from+coldTime); n > coldBound(rate) {
					t.Errorf("%d requests in a second, want at most %d", n, coldBound(rate))
				}
				if n := f.worstWindow(cold, from); float64(n) < rate*limitWindow.Seconds()/2 {
					t.Errorf("%d requests in %v, want at least half of the rate", n, limitWindow)
				}
				f.run(time.Second, perInstance)
				if n := f.worstSecond(cold, from+coldTime, f.now); n < 20 {
					t.Errorf("%d requests in the second after it is warm", n)
				}
				if len(f.rejected) > 0 {
					t.Errorf("rejected %v, although the other upstreams have room", f.rejected)
				}
			})
		}
	}
}

// Guards against the sides of a partition that each send what a cold upstream takes, and against instances that have just
// started and know nobody.
func TestInstancesThatCannotTalkKeepTheColdRateTogether(t *testing.T) {
	const coldTime, rate = 5 * time.Second, 8.3
	for name, arrange := range map[string]func(*limitedFleet){
		"four sides": func(f *limitedFleet) {
			for i, d := range f.instances {
				var side []string
				for j, name := range f.names {
					if i%4 == j%4 {
						side = append(side, name)
					}
				}
				d.SetInstances(f.now, f.names[i], side)
			}
		},
		"each alone": func(f *limitedFleet) {
			for i, d := range f.instances {
				d.SetInstances(f.now, f.names[i], nil)
			}
		},
		"just started": func(f *limitedFleet) {
			for i, d := range f.instances[:40] {
				d.SetInstances(f.now, f.names[i], nil)
				d.SetKnownInstances(f.now, nil)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(67, 6, 16)
			f.settle()
			f.publish(func(u *Upstream) { u.ColdRate, u.ColdTime = rate, coldTime })
			f.run(time.Second, 3)
			arrange(f)
			cold, from := f.instances[0].byHash[0].ID, f.now
			f.publish(func(u *Upstream) {
				if u.ID == cold {
					u.ColdUntil = f.now + coldTime
				}
			})
			f.run(coldTime, 3)
			if n := f.worstSecond(cold, from, f.now); n > coldBound(rate) {
				t.Errorf("%d requests in a second, want at most %d", n, coldBound(rate))
			}
		})
	}
}

// Guards against requests that go to an evacuated failure domain, against rejections while the others have room, and
// against upstreams that get the load which waits for them all at once when they come back, cold.
func TestEvacuatedDomainGetsNothingAndReturnsSlowly(t *testing.T) {
	const instances, coldTime, rate = 67, 3 * time.Second, 8.3
	f := newLimitedFleet(instances, 12, 64)
	f.settle()
	var away []string // the first choice of all instances is among them
	for _, u := range f.instances[0].byHash[:4] {
		away = append(away, u.ID)
	}
	f.publish(func(u *Upstream) { u.ColdRate, u.ColdTime = rate, coldTime })
	f.run(2*time.Second, 10)
	from := f.now
	evacuate := func(evacuated bool) {
		f.publish(func(u *Upstream) { u.Evacuated = evacuated && slices.Contains(away, u.ID) })
	}
	evacuate(true)
	f.run(4*time.Second, 10)
	for _, id := range away {
		if n := f.worstSecond(id, from, f.now); n > 0 {
			t.Errorf("%s got %d requests in a second while its failure domain was evacuated", id, n)
		}
	}
	if len(f.rejected) > 0 {
		t.Errorf("rejected %v, although the other upstreams have room", f.rejected)
	}
	returned := f.now
	evacuate(false)
	f.run(coldTime, 10)
	for _, id := range away {
		if n := f.worstSecond(id, returned, f.now); n > coldBound(rate) {
			t.Errorf("%s got %d requests in a second while it was cold, want at most %d", id, n, coldBound(rate))
		}
	}
	f.run(2*time.Second, 10)
	if n := f.worstSecond(away[0], returned+coldTime, f.now); n == 0 {
		t.Error("the first choice of all instances got nothing after it had come back")
	}
}

// Guards against an evacuation of all failure domains that ends instances, keeps callers waiting or is ignored.
func TestRequestsAreRejectedWhileAllDomainsAreEvacuated(t *testing.T) {
	f := newLimitedFleet(2, 4, 16)
	f.publish(func(u *Upstream) { u.Evacuated = true })
	d := f.instances[0]
	decision := d.Submit(f.now, Request{ID: 1 << 40, Target: f.now + time.Second, Deadline: f.now + 4*time.Second})
	if r := decision.Rejection; r == nil || r.Reason != ReasonEvacuated || r.RetryAfter < time.Second {
		t.Fatalf("decision %+v, want a rejection with a time to come back", decision)
	}
	d.Advance(f.now)
	f.publish(func(u *Upstream) { u.Evacuated = false })
	if decision := d.Submit(f.now, Request{ID: 1<<40 + 1, Target: f.now + time.Second, Deadline: f.now + 4*time.Second}); decision.Grant == nil {
		t.Errorf("decision %+v after the evacuation", decision)
	}
}

// Guards against requests that were placed, or wait, before their upstream is evacuated or turns cold, and are sent there
// afterwards.
func TestPlacedRequestsAreWithheldFromEvacuatedAndColdUpstreams(t *testing.T) {
	for name, change := range map[string]func(now time.Duration, u *Upstream){
		"evacuated": func(_ time.Duration, u *Upstream) { u.Evacuated = true },
		"cold":      func(now time.Duration, u *Upstream) { u.ColdUntil = now + time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFleet(2, 1, 1)
			f.publish(func(u *Upstream) { u.ColdRate, u.ColdTime = 1, time.Minute })
			d := f.instances[0]
			placed := d.Submit(f.now, Request{ID: 1, Target: time.Minute, Deadline: time.Minute}).Grant
			if placed == nil || !d.MaySend(f.now, placed.Token) {
				t.Fatal("the request is not placed")
			}
			if waiting := d.Submit(f.now, Request{ID: 2, Target: f.now + time.Second, Deadline: f.now + time.Second}); waiting.Wait.Reason != WaitSlot {
				t.Fatalf("decision %+v, want to wait for the only slot", waiting)
			}
			f.publish(func(u *Upstream) { change(f.now, u) })
			if d.MaySend(f.now, placed.Token) {
				t.Error("the request may still be sent")
			}
			d.Done(f.now, placed.Token, Cancelled)
			for _, decision := range d.Advance(f.now + 10*time.Millisecond) {
				if decision.Grant != nil {
					t.Errorf("a request that waited is placed there: %+v", decision.Grant)
				}
			}
		})
	}
}

// Guards against sessions that all come back to their upstreams in the moment in which these return: their shared parts
// would be processed again all at once.
func TestSessionsReturnGradually(t *testing.T) {
	u := &upstream{returnedAt: 10 * time.Second}
	share := func(now time.Duration) float64 {
		const sessions = 2000
		n := 0
		for session := range uint64(sessions) {
			// Of the sessions that prefer an upstream, all have large hashes.
			if h := rendezvousHash(session, 77) | 3<<62; u.takesBack(now, h) {
				n++
			}
		}
		return float64(n) / sessions
	}
	for _, tc := range []struct {
		after    time.Duration
		min, max float64
	}{{-time.Second, 0, 0}, {returnTime / 5, 0.15, 0.25}, {returnTime / 2, 0.45, 0.55}, {returnTime, 1, 1}} {
		if got := share(u.returnedAt + tc.after); got < tc.min || got > tc.max {
			t.Errorf("%v after the return %.2f of the sessions have returned, want %.2f to %.2f", tc.after, got, tc.min, tc.max)
		}
	}
}

// Guards against an upstream whose process has ended while its entry is old, for want of a platform, and that gets all
// that it can hold as soon as another process accepts connections.
func TestUpstreamThatRestartsUnseenCountsAsCold(t *testing.T) {
	f := newLimitedFleet(1, 2, 16)
	f.publish(func(u *Upstream) { u.ColdRate, u.ColdTime = 2, 3*time.Second })
	d := f.instances[0]
	d.RecordProcessEnd("u0")
	d.RecordProbe(f.now, "u0", false)
	d.RecordProbe(f.now, "u1", false)
	d.RecordProbe(f.now, "u0", true)
	d.RecordProbe(f.now, "u1", true)
	for _, u := range d.Snapshot(f.now) {
		if u.Cold != (u.ID == "u0") {
			t.Errorf("%s counts as cold: %v", u.ID, u.Cold)
		}
	}
	if d.ColdUpstreams(f.now+3*time.Second) != 0 {
		t.Error("it stays cold")
	}
}
