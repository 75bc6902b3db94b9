package lifecycle

import (
	"testing"
	"time"
)

var testStart = time.Unix(1000, 0)

// Guards against signals that are repeated, or come in another state, and change the course of a stop.
func TestRepeatedSignalsChangeNothing(t *testing.T) {
	l := New(Options{DrainDelay: time.Second, Grace: 4 * time.Second})
	if l.Ready() || l.Stops() {
		t.Error("the instance starts")
	}
	l.Serve()
	l.Serve()
	if !l.Ready() {
		t.Errorf("state %s", l.State())
	}
	l.Stop(testStart)
	l.Stop(testStart.Add(900 * time.Millisecond))
	l.Serve()
	if l.Ready() || l.State() != Leaving || !l.StoppingSince().Equal(testStart) {
		t.Errorf("state %s, stopping since %s", l.State(), l.StoppingSince())
	}
	if s, entered := l.Advance(testStart.Add(time.Second), 1); s != Draining || !entered {
		t.Errorf("after the drain delay: %s", s)
	}
	l.Stop(testStart.Add(2 * time.Second))
	if want := testStart.Add(4*time.Second - ExitMargin); !l.EndsAt().Equal(want) {
		t.Errorf("ends at %s, want %s", l.EndsAt(), want)
	}
}

// Guards against a request that is taken although the instance may end before it does.
func TestTakesOnlyWhatEndsInTime(t *testing.T) {
	l := New(Options{DrainDelay: time.Second, Grace: 4 * time.Second})
	late := testStart.Add(time.Minute)
	if !l.Takes(late) {
		t.Error("refused before the stop")
	}
	l.Stop(testStart)
	if !l.Takes(late) {
		t.Error("refused in the drain delay")
	}
	l.Advance(testStart.Add(time.Second), 1)
	if l.Takes(l.EndsAt().Add(time.Nanosecond)) || !l.Takes(l.EndsAt()) {
		t.Error("after the drain delay, the end of the request does not decide")
	}
	l.Advance(l.EndsAt(), 1)
	if l.Takes(l.EndsAt()) {
		t.Error("taken while the requests in progress are ended")
	}
}

// Guards against a stop during the start that does not end.
func TestStopDuringTheStart(t *testing.T) {
	l := New(Options{DrainDelay: 0, Grace: time.Second})
	l.Stop(testStart)
	for _, want := range []State{Draining, Ending, Stopped} {
		if s, entered := l.Advance(testStart, 0); s != want || !entered {
			t.Errorf("state %s, want %s", s, want)
		}
	}
	if s, entered := l.Advance(testStart, 0); s != Stopped || entered {
		t.Errorf("state %s, entered again: %t", s, entered)
	}
}

// Guards against requests that wait for the start of an instance, which is told to stop, and are not served although it
// comes to know enough.
func TestStartEndsAlsoInAStop(t *testing.T) {
	l := New(Options{DrainDelay: time.Second, Grace: 4 * time.Second})
	l.Stop(testStart)
	if l.MayServe() {
		t.Error("the instance does not know enough")
	}
	l.Serve()
	select {
	case <-l.Serving():
	default:
		t.Error("requests that wait for the start go on waiting")
	}
	if l.Ready() || l.State() != Leaving || !l.MayServe() {
		t.Errorf("state %s", l.State())
	}
}

func TestReuseTimeout(t *testing.T) {
	for _, c := range []struct{ drainDelay, idleTimeout, want time.Duration }{
		{2500 * time.Millisecond, 15 * time.Second, 2 * time.Second},
		{2 * time.Second, time.Minute, time.Second},
		{10 * time.Second, 4 * time.Second, 3 * time.Second},
		{10 * time.Second, 3499 * time.Millisecond, 2 * time.Second},
		{1499 * time.Millisecond, time.Minute, 0},
		{10 * time.Second, 300 * time.Millisecond, 0},
		{0, 0, 0},
	} {
		if got := ReuseTimeout(c.drainDelay, c.idleTimeout); got != c.want {
			t.Errorf("drain delay %s, idle timeout %s: %s, want %s", c.drainDelay, c.idleTimeout, got, c.want)
		}
	}
}

// Guards against an unreachable caller that keeps a connection open as its last response does not arrive.
func TestResponseOnItsWayDelaysTheCloseForALimitedTime(t *testing.T) {
	c := Accepted(testStart)
	c.RequestBegan()
	c.RequestHandled(time.Second)
	c.Await(testStart)
	endsAt := testStart.Add(time.Minute)
	c.ResponseOnItsWay(testStart.Add(700 * time.Millisecond))
	if got, want := c.WaitInStopUntil(endsAt), testStart.Add(2200*time.Millisecond); !got.Equal(want) {
		t.Errorf("on its way for 700 ms: waits until %s, want %s", got, want)
	}
	for after := time.Duration(0); after <= 10*time.Second; after += 100 * time.Millisecond {
		c.ResponseOnItsWay(testStart.Add(after))
	}
	if got, want := c.WaitInStopUntil(endsAt), testStart.Add(maxResponseDelay+time.Second+reuseMargin); !got.Equal(want) {
		t.Errorf("never arrived: waits until %s, want %s", got, want)
	}
}
