package pressure

import (
	"slices"
	"sync"
	"time"
)

const (
	// Staleness is the age at which news no longer counts. A round of gossip takes
	// 200 ms, so news crosses a domain of 160 instances in about five rounds.
	Staleness = time.Second
	// EntrySize is the size of an encoded entry in bytes: pool, tier and age.
	EntrySize = 6
	// ageUnit is the unit of an encoded age.
	ageUnit = 5 * time.Millisecond
	// maxTier is the lowest tier that an entry can carry.
	maxTier = 255
)

// Pool is the hash of a pool's name.
type Pool uint32

// entry is the news that a tier was shed at a time.
type entry struct {
	tier int
	at   time.Duration
}

// Table holds the news of one instance. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	pools map[Pool][]entry // sorted by tier, at most one entry a tier
}

// NewTable returns a table without news.
func NewTable() *Table { return &Table{pools: map[Pool][]entry{}} }

// Set notes that this instance sheds the tier now.
func (t *Table) Set(now time.Duration, p Pool, tier int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(now, p, entry{tier: tier, at: now})
}

// Merge takes the news of a peer, which is age old as a whole. Bytes that are no
// entry are ignored.
func (t *Table) Merge(now time.Duration, news []byte, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ; len(news) >= EntrySize; news = news[EntrySize:] {
		p := Pool(news[0]) | Pool(news[1])<<8 | Pool(news[2])<<16 | Pool(news[3])<<24
		total := max(age, 0) + time.Duration(news[5])*ageUnit
		t.put(now, p, entry{tier: int(news[4]), at: now - total})
	}
}

// put adds an entry unless it is stale or invalid.
func (t *Table) put(now time.Duration, p Pool, e entry) {
	if e.tier < 1 || e.tier > maxTier || now-e.at > Staleness {
		return
	}
	list := t.pools[p]
	i, found := slices.BinarySearchFunc(list, e.tier, func(x entry, tier int) int { return x.tier - tier })
	switch {
	case found:
		list[i].at = max(list[i].at, e.at)
	default:
		list = slices.Insert(list, i, e)
	}
	t.pools[p] = list
}

// Highest returns the highest tier that is shed in the domain and the age of the
// news; the tier is 0 when none is.
func (t *Table) Highest(now time.Duration, p Pool) (tier int, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.fresh(now, p)
	if len(list) == 0 {
		return 0, 0
	}
	return list[0].tier, now - list[0].at
}

// fresh drops stale entries and returns the rest.
func (t *Table) fresh(now time.Duration, p Pool) []entry {
	list := slices.DeleteFunc(t.pools[p], func(e entry) bool { return now-e.at > Staleness })
	if len(list) == 0 {
		delete(t.pools, p)
		return nil
	}
	t.pools[p] = list
	return list
}

// Encode returns the news for peers: the highest tier of each pool, at most limit bytes.
// Ages are rounded up, so that passing news on never makes it younger.
func (t *Table) Encode(now time.Duration, limit int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	pools := make([]Pool, 0, len(t.pools))
	for p := range t.pools {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	var b []byte
	for _, p := range pools {
		list := t.fresh(now, p)
		if len(list) == 0 || len(b)+EntrySize > limit {
			continue
		}
		age := (now - list[0].at + ageUnit - 1) / ageUnit
		b = append(b, byte(p), byte(p>>8), byte(p>>16), byte(p>>24), byte(list[0].tier), byte(min(age, maxTier)))
	}
	return b
}
