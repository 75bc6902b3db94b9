package experiment

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Tokens outside the window would raise the goodput of an overloaded run, whose queues
// are served after sending has ended.
func TestWindowCountsTokensWithin(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	w := window{start: at(10), end: at(20)}
	cases := []struct{ first, last, want int }{{0, 9, 0}, {0, 20, 50}, {12, 14, 100}, {15, 25, 50}, {5, 25, 50}, {21, 30, 0}, {15, 15, 100}, {25, 25, 0}}
	for _, c := range cases {
		if got := w.part(attempt{first: at(c.first), last: at(c.last), tokens: 100}); int(got+0.5) != c.want {
			t.Errorf("answer from %d to %d: %.1f tokens, want %d", c.first, c.last, got, c.want)
		}
	}
}

// Requests of the warm-up must be sent but not counted.
func TestWarmupIsNotCounted(t *testing.T) {
	b := newBed(t)
	r := b.run(func(s *Scenario) { s.Warmup = s.Duration - 1 })
	if c := r.Classes[0]; c.Intended != 0 || c.Answered != 0 || c.Orders != 0 || r.Waste.Tokens == 0 {
		t.Errorf("counts %+v, engine tokens %d", c.ClassCounts, r.Waste.Tokens)
	}
}

// A burst must begin at its offset, not at the start of the run.
func TestBurstOffset(t *testing.T) {
	c := ClassLoad{Rate: 1, Burst: &Burst{Every: config.Duration(time.Minute), Length: config.Duration(time.Second), Offset: config.Duration(10 * time.Second), Factor: 3}}
	for at, want := range map[time.Duration]float64{0: 1, 9 * time.Second: 1, 10 * time.Second: 3, 11 * time.Second: 1, 70 * time.Second: 3} {
		if got := c.rateAt(at); got != want {
			t.Errorf("rate at %s: %g, want %g", at, got, want)
		}
	}
}
