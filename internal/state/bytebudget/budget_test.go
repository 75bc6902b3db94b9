package bytebudget

import (
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// Guards against the end of transfers that are well because another one has no end.
func TestLargestReservationIsEnded(t *testing.T) {
	b := New(100)
	aborted := make(chan string, 3)
	small := b.Reserve(func() { aborted <- "small" })
	large := b.Reserve(func() { aborted <- "large" })
	if small.Grow(20) != nil || large.Grow(70) != nil || small.Grow(20) != nil {
		t.Fatal("a reservation within the limit was refused")
	}
	if got := <-aborted; got != "large" || !large.Ended() || large.Grow(1) != ErrExceeded {
		t.Errorf("%s was ended, want the large one", got)
	}
	if b.Used() != 40 {
		t.Errorf("%d bytes used, want 40", b.Used())
	}
	if fixed := b.Reserve(nil); fixed.Grow(200) != ErrExceeded {
		t.Error("a reservation beyond the limit was granted")
	}
}

// Guards against a sum that exceeds the limit, or that is not zero at the end.
func TestSumStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := New(limit)
		var aborts atomic.Int32
		var reservations []*Reservation
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				abort := func() { aborts.Add(1) }
				if rapid.Bool().Draw(t, "fixed") {
					abort = nil
				}
				reservations = append(reservations, b.Reserve(abort))
			},
			"grow": func(t *rapid.T) {
				if len(reservations) > 0 {
					rapid.SampledFrom(reservations).Draw(t, "r").Grow(rapid.IntRange(0, 700).Draw(t, "n"))
				}
			},
			"shrink": func(t *rapid.T) {
				if len(reservations) > 0 {
					rapid.SampledFrom(reservations).Draw(t, "r").Shrink(rapid.IntRange(0, 700).Draw(t, "n"))
				}
			},
			"": func(t *rapid.T) {
				sum := 0
				for _, r := range reservations {
					sum += r.held
				}
				if used := b.Used(); used != sum || used > limit {
					t.Fatalf("%d bytes used, the reservations hold %d, the limit is %d", used, sum, limit)
				}
			},
		})
		for _, r := range reservations {
			r.Release()
		}
		if b.Used() != 0 || len(b.holders) != 0 {
			t.Fatalf("%d bytes in %d reservations after the end", b.Used(), len(b.holders))
		}
	})
}

// Guards against the end of a transfer that is complete: its connection may serve another one.
func TestSettledReservationIsNotEnded(t *testing.T) {
	b := New(100)
	complete := b.Reserve(func() { t.Error("a complete transfer was ended") })
	if complete.Grow(90) != nil || complete.Settle() != nil {
		t.Fatal("the first reservation was refused")
	}
	growing := b.Reserve(func() {})
	if growing.Grow(20) != ErrExceeded || !growing.Ended() || complete.Ended() {
		t.Error("the transfer that exceeds the limit was not the one that ended")
	}
	if growing.Settle() != ErrExceeded {
		t.Error("an ended reservation was settled")
	}
}
