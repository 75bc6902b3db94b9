package expiring

import (
	"math"
	"time"
)

// Options configures a Map. A lifetime or bound of zero means that there is none.
type Options[K comparable, V any] struct {
	TTL        time.Duration // lifetime of an entry
	MaxEntries int           // bound on the number of entries
	MaxCost    int64         // bound on the sum of the costs given to Put
	// OnEvict is called for each entry that expires or is evicted to enforce a bound. It
	// must not use the map.
	OnEvict func(K, V)
}

// Map is a bounded map with expiry and least-recently-used eviction. It is not safe for
// concurrent use.
type Map[K comparable, V any] struct {
	options Options[K, V]
	entries map[K]*node[K, V]
	expiry  list[K, V] // first to expire at the front
	recency list[K, V] // least recently used at the front
	cost    int64
}

type node[K comparable, V any] struct {
	key       K
	value     V
	cost      int64
	expiresAt time.Duration
	links     [listCount]link[K, V]
}

type link[K comparable, V any] struct{ prev, next *node[K, V] }

// Indexes into node.links.
const (
	expiryLink = iota
	recencyLink
	listCount
)

// New returns an empty map.
func New[K comparable, V any](o Options[K, V]) *Map[K, V] {
	return &Map[K, V]{
		options: o,
		entries: make(map[K]*node[K, V]),
		expiry:  list[K, V]{linkIndex: expiryLink},
		recency: list[K, V]{linkIndex: recencyLink},
	}
}

// Len returns the number of entries, including those that have expired since the last
// call of Put, Get or Expire.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Cost returns the sum of the costs of the entries that Len counts.
func (m *Map[K, V]) Cost() int64 { return m.cost }

// Put stores v under k until now+TTL and replaces an older value. If cost alone exceeds
// MaxCost, Put passes v to the eviction callback and returns false.
func (m *Map[K, V]) Put(now time.Duration, k K, v V, cost int64) bool {
	m.Expire(now)
	m.Delete(k)
	if m.options.MaxCost > 0 && cost > m.options.MaxCost {
		m.notifyEvicted(k, v)
		return false
	}
	n := &node[K, V]{key: k, value: v, cost: cost, expiresAt: m.expiryTime(now)}
	m.entries[k] = n
	m.cost += cost
	m.insertByExpiry(n)
	m.recency.insertAfter(m.recency.back, n)
	for m.exceedsBounds() {
		m.evict(m.recency.front)
	}
	return true
}

// Get returns the value of k if it has not expired, and marks it as used.
func (m *Map[K, V]) Get(now time.Duration, k K) (V, bool) {
	m.Expire(now)
	n, ok := m.entries[k]
	if !ok {
		var zero V
		return zero, false
	}
	m.recency.remove(n)
	m.recency.insertAfter(m.recency.back, n)
	return n.value, true
}

// Peek returns the value of k if it has not expired, without marking it as used.
func (m *Map[K, V]) Peek(now time.Duration, k K) (V, bool) {
	n, ok := m.entries[k]
	if !ok || n.expiresAt <= now {
		var zero V
		return zero, false
	}
	return n.value, true
}

// Oldest returns the least recently used entry, which is the next to be evicted when a
// bound is exceeded.
func (m *Map[K, V]) Oldest() (K, V, bool) {
	if m.recency.front == nil {
		var k K
		var v V
		return k, v, false
	}
	return m.recency.front.key, m.recency.front.value, true
}

// Delete removes k without calling the eviction callback.
func (m *Map[K, V]) Delete(k K) bool {
	n, ok := m.entries[k]
	if ok {
		m.unlink(n)
	}
	return ok
}

// Expire removes the expired entries.
func (m *Map[K, V]) Expire(now time.Duration) {
	for n := m.expiry.front; n != nil && n.expiresAt <= now; n = m.expiry.front {
		m.evict(n)
	}
}

// All calls f for each entry that has not expired, in the order of expiry and with its
// remaining lifetime, until f returns false. f must not change the map.
func (m *Map[K, V]) All(now time.Duration, f func(k K, v V, remaining time.Duration) bool) {
	for n := m.expiry.front; n != nil; n = n.links[expiryLink].next {
		if n.expiresAt > now && !f(n.key, n.value, n.expiresAt-now) {
			return
		}
	}
}

func (m *Map[K, V]) expiryTime(now time.Duration) time.Duration {
	if m.options.TTL == 0 {
		return math.MaxInt64
	}
	return now + m.options.TTL
}

func (m *Map[K, V]) exceedsBounds() bool {
	return m.options.MaxEntries > 0 && len(m.entries) > m.options.MaxEntries ||
		m.options.MaxCost > 0 && m.cost > m.options.MaxCost
}

func (m *Map[K, V]) insertByExpiry(n *node[K, V]) {
	prev := m.expiry.back
	for prev != nil && prev.expiresAt > n.expiresAt {
		prev = prev.links[expiryLink].prev
	}
	m.expiry.insertAfter(prev, n)
}

func (m *Map[K, V]) evict(n *node[K, V]) {
	m.unlink(n)
	m.notifyEvicted(n.key, n.value)
}

func (m *Map[K, V]) notifyEvicted(k K, v V) {
	if m.options.OnEvict != nil {
		m.options.OnEvict(k, v)
	}
}

func (m *Map[K, V]) unlink(n *node[K, V]) {
	delete(m.entries, n.key)
	m.expiry.remove(n)
	m.recency.remove(n)
	m.cost -= n.cost
}

// list is an intrusive doubly linked list that uses one of the links of its nodes.
type list[K comparable, V any] struct {
	front, back *node[K, V]
	linkIndex   int
}

// insertAfter inserts n after prev, or at the front if prev is nil.
func (l *list[K, V]) insertAfter(prev, n *node[K, V]) {
	next := l.front
	if prev != nil {
		next = prev.links[l.linkIndex].next
		prev.links[l.linkIndex].next = n
	} else {
		l.front = n
	}
	if next != nil {
		next.links[l.linkIndex].prev = n
	} else {
		l.back = n
	}
	n.links[l.linkIndex] = link[K, V]{prev: prev, next: next}
}

func (l *list[K, V]) remove(n *node[K, V]) {
	links := n.links[l.linkIndex]
	if links.prev != nil {
		links.prev.links[l.linkIndex].next = links.next
	} else {
		l.front = links.next
	}
	if links.next != nil {
		links.next.links[l.linkIndex].prev = links.prev
	} else {
		l.back = links.prev
	}
	n.links[l.linkIndex] = link[K, V]{}
}
