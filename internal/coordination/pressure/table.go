package pressure

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxAge is the age above which an entry is stale and ignored. A gossip round takes
	// 200 ms, and an entry reaches all instances of a domain of 160 in about five rounds.
	MaxAge = time.Second
	// EntrySize is the size of an encoded entry in bytes: pool, tier and age.
	EntrySize = 6
	// ageUnit is the resolution of an encoded age.
	ageUnit = 5 * time.Millisecond
	// maxByteValue is the greatest value of the one-byte tier and age of an encoded entry.
	maxByteValue = 255
)

// Pool identifies a pool by the hash of its name.
type Pool uint32

// shedEntry records that a tier was shed, and when it was last shed.
type shedEntry struct {
	tier   int
	shedAt time.Duration
}

// Table holds the entries that one instance knows. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	pools map[Pool][]shedEntry // sorted by tier, with at most one entry per tier
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{pools: map[Pool][]shedEntry{}} }

// RecordShed records that this instance sheds the tier now.
func (t *Table) RecordShed(now time.Duration, pool Pool, tier int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.insert(now, pool, shedEntry{tier: tier, shedAt: now})
}

// Merge adds the encoded entries of a peer. age is the time since the peer encoded them and is
// added to the age of each entry. Bytes that do not form a valid entry are ignored.
func (t *Table) Merge(now time.Duration, encoded []byte, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ; len(encoded) >= EntrySize; encoded = encoded[EntrySize:] {
		pool := Pool(encoded[0]) | Pool(encoded[1])<<8 | Pool(encoded[2])<<16 | Pool(encoded[3])<<24
		totalAge := max(age, 0) + time.Duration(encoded[5])*ageUnit
		t.insert(now, pool, shedEntry{tier: int(encoded[4]), shedAt: now - totalAge})
	}
}

// insert adds an entry, or renews the existing entry of its tier, unless it is stale or invalid.
func (t *Table) insert(now time.Duration, pool Pool, e shedEntry) {
	if e.tier < 1 || e.tier > maxByteValue || now-e.shedAt > MaxAge {
		return
	}
	entries := t.pools[pool]
	i, found := slices.BinarySearchFunc(entries, e.tier, func(entry shedEntry, tier int) int { return entry.tier - tier })
	switch {
	case found:
		entries[i].shedAt = max(entries[i].shedAt, e.shedAt)
	default:
		entries = slices.Insert(entries, i, e)
	}
	t.pools[pool] = entries
}

// HighestShed returns the highest tier that is shed in the domain and the age of its entry.
// The tier is 0 if none is shed.
func (t *Table) HighestShed(now time.Duration, pool Pool) (tier int, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := t.dropStale(now, pool)
	if len(entries) == 0 {
		return 0, 0
	}
	return entries[0].tier, now - entries[0].shedAt
}

// dropStale removes the stale entries of a pool and returns the remaining ones.
func (t *Table) dropStale(now time.Duration, pool Pool) []shedEntry {
	entries := slices.DeleteFunc(t.pools[pool], func(e shedEntry) bool { return now-e.shedAt > MaxAge })
	if len(entries) == 0 {
		delete(t.pools, pool)
		return nil
	}
	t.pools[pool] = entries
	return entries
}

// Encode returns the entries to send to peers: the highest tier of each pool, in at most maxBytes
// bytes. Ages are rounded up, so that forwarding an entry never reduces its age.
func (t *Table) Encode(now time.Duration, maxBytes int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := make([]Pool, 0, len(t.pools))
	for pool := range t.pools {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	var encoded []byte
	for _, pool := range pools {
		entries := t.dropStale(now, pool)
		if len(entries) == 0 || len(encoded)+EntrySize > maxBytes {
			continue
		}
		age := (now - entries[0].shedAt + ageUnit - 1) / ageUnit
		encoded = append(encoded, byte(pool), byte(pool>>8), byte(pool>>16), byte(pool>>24), byte(entries[0].tier), byte(min(age, maxByteValue)))
	}
	return encoded
}
