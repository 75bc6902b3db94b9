package streamorigin

import (
	"sync"
	"time"
)

const (
	// maxCopies is the number of records that all instances of a small fleet together copy beyond the holders
	// in a Lifetime. Half of a registry is left to the records of its instance as a holder.
	maxCopies = shardCount * maxRecordsPerShard / 2
	// copyBurstShare is the part of maxCopies, one in copyBurstShare, that may be copied at once; the rest is
	// spread over the Lifetime.
	copyBurstShare = 8
)

// CopyQueue collects the streams whose records are to be copied to all instances of a small fleet, in batches.
// It is safe for concurrent use.
type CopyQueue struct {
	mu      sync.Mutex
	keys    []Key
	spent   float64 // of the burst
	spentAt time.Duration
}

// Add queues a stream unless this instance has copied its share of records: the copies must not evict
// the records of holders.
func (q *CopyQueue) Add(now time.Duration, key Key, instances int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	share := float64(maxCopies / max(instances, 1))
	burst := share / copyBurstShare
	q.spent = max(0, q.spent-(share-burst)*(now-q.spentAt).Seconds()/Lifetime.Seconds())
	q.spentAt = now
	if q.spent+1 > burst {
		return
	}
	q.spent++
	q.keys = append(q.keys, key)
}

// Take returns the streams queued since the last call.
func (q *CopyQueue) Take() []Key {
	q.mu.Lock()
	defer q.mu.Unlock()
	keys := q.keys
	q.keys = nil
	return keys
}
