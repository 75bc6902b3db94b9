package bytebudget

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

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
			"try to acquire": func(t *rapid.T) {
				if r, ok := b.TryAcquire(rapid.IntRange(0, 700).Draw(t, "n")); ok {
					reservations = append(reservations, r)
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

// Guards against a large reservation that small ones overtake until it is refused, and against one that is refused
// although there is room for it.
func TestReservationsThatWaitAreGrantedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(100)
		held, ok := b.TryAcquire(90)
		if !ok {
			t.Fatal("a reservation within the limit was refused")
		}
		granted := make(chan int, 3)
		acquire := func(n int, timeout time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if _, err := b.Acquire(ctx, n); err != nil {
				n = -n
			}
			granted <- n
		}
		go acquire(95, time.Second)
		synctest.Wait()
		go acquire(60, time.Minute)
		synctest.Wait()
		go acquire(5, time.Minute)
		synctest.Wait()
		if _, ok := b.TryAcquire(1); ok || len(granted) > 0 {
			t.Error("a reservation was granted before those that wait")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if n := <-granted; n != -95 || len(granted) > 0 {
			t.Errorf("%d first, want the end of the wait of the first one, and no other", n)
		}
		held.Shrink(50) // room for the next one only
		synctest.Wait()
		if n := <-granted; n != 60 || len(granted) > 0 {
			t.Errorf("%d was granted, want 60 and no other", n)
		}
		held.Release()
		if n := <-granted; n != 5 || b.Used() != 65 {
			t.Errorf("%d was granted, %d bytes used; want 5 and 65", n, b.Used())
		}
	})
}

// Guards against a wait for what can never be granted.
func TestReservationAboveTheLimitDoesNotWait(t *testing.T) {
	if _, err := New(100).Acquire(t.Context(), 101); err != ErrExceeded {
		t.Errorf("%v, want ErrExceeded", err)
	}
}

// Guards against a sum above the limit, and against room that is lost, when waits end at the moment of their grant.
func TestRoomIsNotLostWhenWaitsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b := New(limit)
		var group sync.WaitGroup
		var exceeded atomic.Bool
		for range rapid.IntRange(2, 12).Draw(t, "goroutines") {
			sizes := rapid.SliceOfN(rapid.IntRange(1, limit), 1, 8).Draw(t, "sizes")
			timeout := time.Duration(rapid.IntRange(0, 200).Draw(t, "timeout")) * time.Microsecond
			group.Go(func() {
				for _, n := range sizes {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					if r, err := b.Acquire(ctx, n); err == nil {
						if b.Used() > limit {
							exceeded.Store(true)
						}
						r.Release()
					}
					cancel()
				}
			})
		}
		group.Wait()
		if exceeded.Load() || b.Used() != 0 || len(b.holders) != 0 || len(b.waiting) != 0 {
			t.Fatalf("exceeded %v; %d bytes in %d reservations and %d waits after the end", exceeded.Load(), b.Used(), len(b.holders), len(b.waiting))
		}
	})
}
