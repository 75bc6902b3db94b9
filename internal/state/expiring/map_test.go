package expiring

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20260304, Checks: 1000}) }

// item is an entry of the oracle: a slice in the order of use, oldest first.
type item struct {
	key, value int
	cost       int64
	expires    time.Duration
}

// TestMapAgainstSlice guards against entries that outlive their time or the bounds, that
// leave in the wrong order or unseen by the callback, and against links left dangling.
func TestMapAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options[int, int]{TTL: 10, MaxEntries: rapid.IntRange(0, 4).Draw(t, "entries"), MaxCost: int64(rapid.IntRange(0, 9).Draw(t, "cost bound"))}
		var now time.Duration
		var evicted, wantEvicted []int
		o.OnEvict = func(_, v int) { evicted = append(evicted, v) }
		m := New(o)
		var want []item
		drop := func(i int) {
			wantEvicted = append(wantEvicted, want[i].value)
			want = slices.Delete(want, i, i+1)
		}
		find := func(k int) int { return slices.IndexFunc(want, func(x item) bool { return x.key == k }) }
		expire := func() {
			for i := 0; i < len(want); {
				if want[i].expires <= now {
					drop(i)
				} else {
					i++
				}
			}
		}
		total := func() (sum int64) {
			for _, x := range want {
				sum += x.cost
			}
			return sum
		}
		value := 0
		key := rapid.IntRange(0, 6)
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				value++
				x := item{key.Draw(t, "key"), value, int64(rapid.IntRange(0, 5).Draw(t, "cost")), now + o.TTL}
				kept := m.Put(now, x.key, x.value, x.cost)
				expire()
				if i := find(x.key); i >= 0 {
					want = slices.Delete(want, i, i+1)
				}
				want = append(want, x)
				if o.MaxCost > 0 && x.cost > o.MaxCost {
					drop(len(want) - 1)
					if kept {
						t.Fatal("kept an entry above the cost bound")
					}
				}
				for o.MaxEntries > 0 && len(want) > o.MaxEntries || o.MaxCost > 0 && total() > o.MaxCost {
					drop(0)
				}
			},
			"get": func(t *rapid.T) {
				k := key.Draw(t, "key")
				v, ok := m.Get(now, k)
				expire()
				i := find(k)
				if ok != (i >= 0) || ok && v != want[i].value {
					t.Fatalf("get %d: %d, %v", k, v, ok)
				}
				if ok {
					x := want[i]
					want = append(slices.Delete(want, i, i+1), x)
				}
			},
			"peek": func(t *rapid.T) {
				k := key.Draw(t, "key")
				v, ok := m.Peek(now, k)
				i := find(k)
				if live := i >= 0 && want[i].expires > now; ok != live || ok && v != want[i].value {
					t.Fatalf("peek %d: %d, %v", k, v, ok)
				}
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				i := find(k)
				if m.Delete(k) != (i >= 0) {
					t.Fatalf("delete %d", k)
				}
				if i >= 0 {
					want = slices.Delete(want, i, i+1)
				}
			},
			"pass time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(-2, 6).Draw(t, "time")) },
			"": func(t *rapid.T) {
				slices.Sort(evicted)
				slices.Sort(wantEvicted)
				if m.Len() != len(want) || m.Cost() != total() || !slices.Equal(evicted, wantEvicted) {
					t.Fatalf("%d entries of cost %d, evicted %v; want %d of %d, %v", m.Len(), m.Cost(), evicted, len(want), total(), wantEvicted)
				}
				if _, v, ok := m.Oldest(); ok != (len(want) > 0) || ok && v != want[0].value {
					t.Fatalf("oldest is %d", v)
				}
				live := 0
				m.All(now, func(k, v int, left time.Duration) bool {
					if i := find(k); i < 0 || want[i].value != v || want[i].expires-now != left {
						t.Fatalf("all yields %d: %d", k, v)
					}
					live++
					return true
				})
				if n := len(slices.DeleteFunc(slices.Clone(want), func(x item) bool { return x.expires <= now })); live != n {
					t.Fatalf("all yields %d entries, want %d", live, n)
				}
			},
		})
	})
}

// BenchmarkPutFull measures Put in a full map, which evicts one entry.
func BenchmarkPutFull(b *testing.B) {
	m := New(Options[int, int]{TTL: time.Hour, MaxEntries: 10_000})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		m.Put(0, i, i, 1)
	}
}
