package streamorigin

import (
	"testing"
	"time"
)

// Guards against copies of records that fill the registries of a small fleet and evict from them the records
// of their holders.
func TestCopiesLeaveHalfOfARegistryToHolders(t *testing.T) {
	const capacity = shardCount * maxRecordsPerShard
	for _, instances := range []int{1, 2, 8, maxFullCopyInstances} {
		for _, interval := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond} {
			var q CopyQueue
			most, window := 0, []time.Duration{}
			for i := range 3 * capacity {
				now := time.Duration(i) * interval
				q.Add(now, Key{}, instances)
				for range q.Take() {
					window = append(window, now)
				}
				for len(window) > 0 && now-window[0] > Lifetime {
					window = window[1:]
				}
				most = max(most, len(window)*instances)
			}
			if most > capacity/2 {
				t.Errorf("%d instances, a stream every %v: %d copies in a lifetime, want %d at most", instances, interval, most, capacity/2)
			}
			if most < capacity/32 {
				t.Errorf("%d instances, a stream every %v: only %d copies", instances, interval, most)
			}
		}
	}
}
