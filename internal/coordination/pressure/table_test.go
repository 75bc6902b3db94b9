package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Extended run: go test ./internal/coordination/pressure -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 200}) }

const testPool Pool = 7

// An entry that is not renewed must expire at every instance, however often it is forwarded.
func TestForwardedEntriesExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := time.Duration(0)
		tables[0].RecordShed(now, testPool, 2)
		for now <= MaxAge {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			encoded := tables[from].Encode(now, 200)
			delay := time.Duration(rapid.IntRange(1, 50).Draw(t, "delay_ms")) * time.Millisecond
			now += delay
			tables[to].Merge(now, encoded, delay)
		}
		for i, table := range tables {
			if tier, age := table.HighestShed(now, testPool); tier != 0 {
				t.Fatalf("table %d still has tier %d, %s old, at %s", i, tier, age, now)
			}
		}
	})
}

// HighestShed must return the highest tier without a stale entry, so that a lower tier takes effect
// when the entry of a higher one becomes stale.
func TestHighestShedIgnoresStaleEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		lastShed := map[int]time.Duration{} // reference model: the last shed of each tier
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause_ms")) * time.Millisecond
			tier := rapid.IntRange(1, 6).Draw(t, "tier")
			table.RecordShed(now, testPool, tier)
			lastShed[tier] = now
			want := 0
			for tier, at := range lastShed {
				if now-at <= MaxAge && (want == 0 || tier < want) {
					want = tier
				}
			}
			if got, _ := table.HighestShed(now, testPool); got != want {
				t.Fatalf("at %s: tier %d, want %d", now, got, want)
			}
		}
	})
}

// An entry that its origin renews must reach the whole domain within 15 rounds, that is before
// it becomes stale on the way. Every 200 ms, each instance sends to its two neighbours and to
// three random instances.
func TestEntriesReachWholeDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, round = 160, 200 * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable()
		}
		rounds := 0
		for now := time.Duration(0); ; now += round {
			tables[0].RecordShed(now, testPool, 1)
			reached := 0
			var encoded [n][]byte
			for i, table := range tables {
				if tier, _ := table.HighestShed(now, testPool); tier == 1 {
					reached++
				}
				encoded[i] = table.Encode(now, 200)
			}
			if reached == n {
				break
			}
			if rounds++; rounds > 15 {
				t.Fatalf("only %d of %d instances have the entry after %d rounds", reached, n, rounds)
			}
			for i := range tables {
				for _, to := range []int{i + 1, i + n - 1, rng.IntN(n), rng.IntN(n), rng.IntN(n)} {
					tables[to%n].Merge(now+round, encoded[i], round)
				}
			}
		}
	})
}

// Arbitrary bytes from a peer must never cause a panic or an entry with an invalid tier or age.
func FuzzMerge(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 1, 0, 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		table := NewTable()
		table.Merge(time.Minute, b, 0)
		for pool := range table.pools {
			if tier, age := table.HighestShed(time.Minute, pool); tier < 1 || age < 0 || age > MaxAge {
				t.Errorf("invalid entry: tier %d, age %s", tier, age)
			}
		}
	})
}
