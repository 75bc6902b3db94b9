package expiring

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20260304, Checks: 1000}) }

// oracleEntry is an entry of the reference model, a slice ordered from the least to the
// most recently used entry.
type oracleEntry struct {
	key, value int
	cost       int64
	expiresAt  time.Duration
}

// TestMapMatchesOracle guards against entries that outlive their lifetime or exceed the
// bounds, that are evicted in the wrong order or without a call of OnEvict, and against
// dangling links in the lists.
func TestMapMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options[int, int]{TTL: 10, MaxEntries: rapid.IntRange(0, 4).Draw(t, "entries"), MaxCost: int64(rapid.IntRange(0, 9).Draw(t, "cost bound"))}
		var now time.Duration
		var evicted, wantEvicted []int
		o.OnEvict = func(_, v int) { evicted = append(evicted, v) }
		m := New(o)
		var want []oracleEntry
		evictAt := func(i int) {
			wantEvicted = append(wantEvicted, want[i].value)
			want = slices.Delete(want, i, i+1)
		}
		indexOf := func(k int) int { return slices.IndexFunc(want, func(entry oracleEntry) bool { return entry.key == k }) }
		expire := func() {
			for i := 0; i < len(want); {
				if want[i].expiresAt <= now {
					evictAt(i)
				} else {
					i++
				}
			}
		}
		totalCost := func() (sum int64) {
			for _, entry := range want {
				sum += entry.cost
			}
			return sum
		}
		value := 0
		keys := rapid.IntRange(0, 6)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				value++
				entry := oracleEntry{keys.Draw(t, "key"), value, int64(rapid.IntRange(0, 5).Draw(t, "cost")), now + o.TTL}
				kept := m.Put(now, entry.key, entry.value, entry.cost)
				expire()
				if i := indexOf(entry.key); i >= 0 {
					want = slices.Delete(want, i, i+1)
				}
				want = append(want, entry)
				if o.MaxCost > 0 && entry.cost > o.MaxCost {
					evictAt(len(want) - 1)
					if kept {
						t.Fatal("Put kept an entry above the cost bound")
					}
				}
				for o.MaxEntries > 0 && len(want) > o.MaxEntries || o.MaxCost > 0 && totalCost() > o.MaxCost {
					evictAt(0)
				}
			},
			"get": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				v, ok := m.Get(now, k)
				expire()
				i := indexOf(k)
				if ok != (i >= 0) || ok && v != want[i].value {
					t.Fatalf("Get(%d) = %d, %v", k, v, ok)
				}
				if ok {
					entry := want[i]
					want = append(slices.Delete(want, i, i+1), entry)
				}
			},
			"peek": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				v, ok := m.Peek(now, k)
				i := indexOf(k)
				if live := i >= 0 && want[i].expiresAt > now; ok != live || ok && v != want[i].value {
					t.Fatalf("Peek(%d) = %d, %v", k, v, ok)
				}
			},
			"delete": func(t *rapid.T) {
				k := keys.Draw(t, "key")
				i := indexOf(k)
				if m.Delete(k) != (i >= 0) {
					t.Fatalf("Delete(%d) returned the wrong result", k)
				}
				if i >= 0 {
					want = slices.Delete(want, i, i+1)
				}
			},
			"pass time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(-2, 6).Draw(t, "time")) },
			"": func(t *rapid.T) {
				slices.Sort(evicted)
				slices.Sort(wantEvicted)
				if m.Len() != len(want) || m.Cost() != totalCost() || !slices.Equal(evicted, wantEvicted) {
					t.Fatalf("Len() = %d, Cost() = %d, evicted %v; want %d, %d, %v", m.Len(), m.Cost(), evicted, len(want), totalCost(), wantEvicted)
				}
				if _, v, ok := m.Oldest(); ok != (len(want) > 0) || ok && v != want[0].value {
					t.Fatalf("Oldest() = %d", v)
				}
				live := 0
				m.All(now, func(k, v int, remaining time.Duration) bool {
					if i := indexOf(k); i < 0 || want[i].value != v || want[i].expiresAt-now != remaining {
						t.Fatalf("All yields %d: %d", k, v)
					}
					live++
					return true
				})
				if n := len(slices.DeleteFunc(slices.Clone(want), func(entry oracleEntry) bool { return entry.expiresAt <= now })); live != n {
					t.Fatalf("All yields %d entries, want %d", live, n)
				}
			},
		})
	})
}

// BenchmarkPutFull measures Put into a full map, which evicts one entry.
func BenchmarkPutFull(b *testing.B) {
	m := New(Options[int, int]{TTL: time.Hour, MaxEntries: 10_000})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Put(0, i, i, 1)
	}
}
