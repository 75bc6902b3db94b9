package pressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long campaign: go test ./internal/coordination/pressure -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 200}) }

const pool Pool = 7

// News that nobody renews must end everywhere, however often instances pass it on.
func TestNewsIsNotKeptAliveByPassingItOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		now := time.Duration(0)
		tables[0].Set(now, pool, 2)
		for now <= Staleness {
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			news := tables[from].Encode(now, 200)
			delay := time.Duration(rapid.IntRange(1, 50).Draw(t, "delay_ms")) * time.Millisecond
			now += delay
			tables[to].Merge(now, news, delay)
		}
		for i, table := range tables {
			if tier, age := table.Highest(now, pool); tier != 0 {
				t.Fatalf("table %d still has tier %d, %s old, at %s", i, tier, age, now)
			}
		}
	})
}

// The highest tier that is shed counts, and a lower one takes over when it is stale.
func TestHighestTierCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		last := map[int]time.Duration{} // the oracle: when each tier was shed last
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause_ms")) * time.Millisecond
			tier := rapid.IntRange(1, 6).Draw(t, "tier")
			table.Set(now, pool, tier)
			last[tier] = now
			want := 0
			for tier, at := range last {
				if now-at <= Staleness && (want == 0 || tier < want) {
					want = tier
				}
			}
			if got, _ := table.Highest(now, pool); got != want {
				t.Fatalf("at %s: tier %d, want %d", now, got, want)
			}
		}
	})
}

// News must reach a whole domain while it is fresh: each instance sends to its two
// neighbours and three random ones every 200 ms.
func TestNewsCrossesADomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n, round = 160, 200 * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		tables := make([]*Table, n)
		for i := range tables {
			tables[i] = NewTable()
		}
		rounds := 0
		for now := time.Duration(0); ; now += round {
			tables[0].Set(now, pool, 1)
			reached := 0
			var news [n][]byte
			for i, table := range tables {
				if tier, _ := table.Highest(now, pool); tier == 1 {
					reached++
				}
				news[i] = table.Encode(now, 200)
			}
			if reached == n {
				break
			}
			if rounds++; rounds > 15 {
				t.Fatalf("only %d of %d instances have the news after %d rounds", reached, n, rounds)
			}
			for i := range tables {
				for _, to := range []int{i + 1, i + n - 1, rng.IntN(n), rng.IntN(n), rng.IntN(n)} {
					tables[to%n].Merge(now+round, news[i], round)
				}
			}
		}
	})
}

// Bytes from a peer must never cause a panic or an entry without a valid tier.
func FuzzMerge(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 1, 0, 9})
	f.Fuzz(func(t *testing.T, b []byte) {
		table := NewTable()
		table.Merge(time.Minute, b, 0)
		for p := range table.pools {
			if tier, age := table.Highest(time.Minute, p); tier < 1 || age < 0 || age > Staleness {
				t.Errorf("tier %d, age %s", tier, age)
			}
		}
	})
}
