package dispatch

import (
	"testing"
	"time"
)

// Guards against keeping requests that no upstream will take in time: the queue of each instance was predicted to
// empty as if all upstreams served it alone, so that requests were rejected only when hardly any of their time
// was left. The load is five times the long prompts that 30 engines can process, at 28 instances, for
// long enough that all queues fill: callers with 12 s, of which the first 2 s are the target. This is the load of
// scenario scale-1 on the day vagas-serenas-grown.
func TestRequestsThatCannotRunAreRejectedEarly(t *testing.T) {
	sim := newFleetSimulation(28, 30, 48)
	long := longPrompts
	long.sessions, long.deadline = 400, 12*time.Second
	sim.run(24*time.Second, func(now time.Duration) {
		sim.submitArrivals(now, 450, long, "a")
	})
	rejected, late := 0, 0
	for _, r := range sim.requests {
		if r.rejection == nil || r.arrived > 12*time.Second {
			continue
		}
		rejected++
		if r.rejectedAt > r.Arrived+(r.Deadline-r.Arrived)*3/4 {
			late++
		}
	}
	t.Logf("%d rejected, %d of them with less than a quarter of their time left", rejected, late)
	if rejected == 0 {
		t.Fatal("the load is not the intended one: nothing was rejected")
	}
	if late > rejected/10 {
		t.Errorf("%d of %d rejected requests had less than a quarter of their time left, want at most a tenth", late, rejected)
	}
}

// Guards against predictions from a rate that was measured long ago, or that no fleet reaches.
func TestServiceTimeFollowsTheMeasuredRate(t *testing.T) {
	sim := newFleetSimulation(4, 8, 16)
	d := sim.dispatchers[0]
	expect := func(step string, now, least, most time.Duration) {
		t.Helper()
		if got := d.serviceTime(now, 4); got < least || got > most {
			t.Errorf("%s: %v for 4 s of work, want %v to %v", step, got, least, most)
		}
	}
	expect("nothing measured: an equal share", 0, 2*time.Second, 2*time.Second)
	now := time.Duration(0)
	for range 100 { // 5 s of work a second
		now += 100 * time.Millisecond
		d.drain.add(now, 0.5)
	}
	expect("measured", now, 700*time.Millisecond, 900*time.Millisecond)
	expect("measured long ago", now+10*time.Second, 2*time.Second, 2*time.Second)
	d.drain.add(now, 1000)
	expect("more than the upstreams do", now, 500*time.Millisecond, 500*time.Millisecond)
}
