package experiment

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Guards against counting tokens outside the window. They would raise the goodput of an
// overloaded run, whose queues are served after sending has ended.
func TestTokensWithinWindow(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	w := measurementWindow{start: at(10), end: at(20)}
	cases := []struct{ first, last, want int }{{0, 9, 0}, {0, 20, 50}, {12, 14, 100}, {15, 25, 50}, {5, 25, 50}, {21, 30, 0}, {15, 15, 100}, {25, 25, 0}}
	for _, c := range cases {
		if got := w.tokensWithin(attemptResult{firstTokenAt: at(c.first), lastTokenAt: at(c.last), tokens: 100}); int(got+0.5) != c.want {
			t.Errorf("response from %d to %d: %.1f tokens, want %d", c.first, c.last, got, c.want)
		}
	}
}

// Guards against warm-up requests that are counted or not sent.
func TestWarmupIsNotCounted(t *testing.T) {
	b := newTestbed(t)
	r := b.runScenario(func(s *Scenario) { s.Warmup = s.Duration - 1 })
	if c := r.Classes[0]; c.Offered != 0 || c.Answered != 0 || c.Orders != 0 || r.Waste.Tokens == 0 {
		t.Errorf("counts %+v, engine tokens %d", c.ClassCounts, r.Waste.Tokens)
	}
}

// Guards against bursts that begin at the start of the run instead of at their offset.
func TestBurstOffset(t *testing.T) {
	c := ClassLoad{Rate: 1, Burst: &Burst{Every: config.Duration(time.Minute), Length: config.Duration(time.Second), Offset: config.Duration(10 * time.Second), Factor: 3}}
	for at, want := range map[time.Duration]float64{0: 1, 9 * time.Second: 1, 10 * time.Second: 3, 11 * time.Second: 1, 70 * time.Second: 3} {
		if got := c.rateAt(at); got != want {
			t.Errorf("rate at %s: %g, want %g", at, got, want)
		}
	}
}
