package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against slack that is granted again at every restart of the process, and before the
// others have given up their part of it.
func TestNoSlackInFirstWindow(t *testing.T) {
	s := Slack{Total: 8 * 5, Window: windowLength}
	for uptime := time.Duration(0); uptime <= windowLength; uptime += windowLength / 10 {
		if got := s.Share(uptime, 1); got != 0 {
			t.Errorf("%d retries were granted after %v", got, uptime)
		}
	}
	if got := s.Share(windowLength+settleTime, 1); got != 5 {
		t.Errorf("%d retries were granted after the first window, want 5", got)
	}
	if got := s.Share(time.Hour, 0); got != 0 {
		t.Errorf("%d retries were granted to an instance that knows no other", got)
	}
}

// simulatedInstance uses up its share whenever it can.
type simulatedInstance struct {
	startedAt, endedAt time.Duration
	crashes            bool          // ends without announcing it
	learnDelay         time.Duration // until it knows of another instance
	window             *Window
}

func (in *simulatedInstance) running(now time.Duration) bool {
	return now >= in.startedAt && now < in.endedAt
}

// known returns how many instances of the fleet the instance counts.
func (in *simulatedInstance) known(now time.Duration, fleet []*simulatedInstance) int {
	n := 0
	for _, other := range fleet {
		switch {
		case other != in && now < other.startedAt+in.learnDelay:
		case now >= other.endedAt+windowLength && !other.crashes:
		default:
			n++
		}
	}
	return n
}

// Guards against shares that add up to more than the slack: instances that start together, are
// added, crash, leave and are replaced.
func TestSlackSharesAddUpToTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total, step, end = 56, 250 * time.Millisecond, 90 * time.Second
		seconds := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Second
		}
		fleet := make([]*simulatedInstance, rapid.IntRange(1, 40).Draw(t, "instances"))
		for i := range fleet {
			in := &simulatedInstance{window: NewWindow(0, windowLength), endedAt: end, crashes: rapid.Bool().Draw(t, "crashes"),
				learnDelay: time.Duration(rapid.IntRange(0, int(settleTime/step)).Draw(t, "learns")) * step}
			if rapid.Bool().Draw(t, "added") {
				in.startedAt = seconds("start", 60)
			}
			if rapid.Bool().Draw(t, "ends") {
				in.endedAt = in.startedAt + seconds("uptime", 60)
			}
			fleet[i] = in
		}
		var retries []time.Duration
		for now := time.Duration(0); now < end; now += step {
			for _, in := range fleet {
				share := Slack{Total: total, Window: windowLength}.Share(now-in.startedAt, in.known(now, fleet))
				for in.running(now) {
					r := in.window.Allow(now, share)
					if r == nil {
						break
					}
					in.window.Sent(now, r)
					retries = append(retries, now)
				}
			}
			inWindow := 0
			for _, at := range retries {
				if at > now-windowLength {
					inWindow++
				}
			}
			if inWindow > total {
				t.Fatalf("at %v: %d retries in the window, the slack is %d", now, inWindow, total)
			}
		}
	})
}
