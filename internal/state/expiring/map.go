package expiring

import (
	"math"
	"time"
)

// Options configures a Map. A lifetime or limit of zero means none.
type Options[K comparable, V any] struct {
	TTL        time.Duration // lifetime of an entry
	MaxEntries int           // bound on the number of entries
	MaxCost    int64         // bound on the sum of the costs given to Put
	// OnEvict is called for each entry that expires or is evicted by a bound. It must
	// not use the map.
	OnEvict func(K, V)
}

// Map is a bounded map with expiry and least-recently-used eviction. It is not safe for
// concurrent use.
type Map[K comparable, V any] struct {
	options Options[K, V]
	entries map[K]*node[K, V]
	expiry  list[K, V] // first to expire at the front
	use     list[K, V] // least recently used at the front
	cost    int64
}

type node[K comparable, V any] struct {
	key     K
	value   V
	cost    int64
	expires time.Duration
	links   [listCount]link[K, V]
}

type link[K comparable, V any] struct{ prev, next *node[K, V] }

// Indexes of the links of a node.
const (
	expiryLink = iota
	useLink
	listCount
)

// New returns an empty map.
func New[K comparable, V any](o Options[K, V]) *Map[K, V] {
	return &Map[K, V]{
		options: o,
		entries: make(map[K]*node[K, V]),
		expiry:  list[K, V]{index: expiryLink},
		use:     list[K, V]{index: useLink},
	}
}

// Len returns the number of entries, including those that expired since the last call
// that takes the time.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// Cost returns the sum of the costs of the entries that Len counts.
func (m *Map[K, V]) Cost() int64 { return m.cost }

// Put stores v under k until now+TTL and replaces an older value. It returns false, and
// passes v to the eviction callback, when the cost of v alone exceeds the cost bound.
func (m *Map[K, V]) Put(now time.Duration, k K, v V, cost int64) bool {
	m.Expire(now)
	m.Delete(k)
	if m.options.MaxCost > 0 && cost > m.options.MaxCost {
		m.evicted(k, v)
		return false
	}
	n := &node[K, V]{key: k, value: v, cost: cost, expires: m.expires(now)}
	m.entries[k] = n
	m.cost += cost
	m.insertByExpiry(n)
	m.use.insertAfter(m.use.back, n)
	for m.full() {
		m.evict(m.use.front)
	}
	return true
}

// Get returns the live value of k and marks it as used.
func (m *Map[K, V]) Get(now time.Duration, k K) (V, bool) {
	m.Expire(now)
	n, ok := m.entries[k]
	if !ok {
		var zero V
		return zero, false
	}
	m.use.remove(n)
	m.use.insertAfter(m.use.back, n)
	return n.value, true
}

// Peek returns the live value of k without marking it as used.
func (m *Map[K, V]) Peek(now time.Duration, k K) (V, bool) {
	n, ok := m.entries[k]
	if !ok || n.expires <= now {
		var zero V
		return zero, false
	}
	return n.value, true
}

// Oldest returns the least recently used entry: the next to be evicted by a bound.
func (m *Map[K, V]) Oldest() (K, V, bool) {
	if m.use.front == nil {
		var k K
		var v V
		return k, v, false
	}
	return m.use.front.key, m.use.front.value, true
}

// Delete removes k without calling the eviction callback.
func (m *Map[K, V]) Delete(k K) bool {
	n, ok := m.entries[k]
	if ok {
		m.unlink(n)
	}
	return ok
}

// Expire removes the entries whose lifetime has ended.
func (m *Map[K, V]) Expire(now time.Duration) {
	for n := m.expiry.front; n != nil && n.expires <= now; n = m.expiry.front {
		m.evict(n)
	}
}

// All calls f for each live entry in the order of expiry, with its remaining lifetime,
// until f returns false. f must not change the map.
func (m *Map[K, V]) All(now time.Duration, f func(k K, v V, left time.Duration) bool) {
	for n := m.expiry.front; n != nil; n = n.links[expiryLink].next {
		if n.expires > now && !f(n.key, n.value, n.expires-now) {
			return
		}
	}
}

func (m *Map[K, V]) expires(now time.Duration) time.Duration {
	if m.options.TTL == 0 {
		return math.MaxInt64
	}
	return now + m.options.TTL
}

func (m *Map[K, V]) full() bool {
	return m.options.MaxEntries > 0 && len(m.entries) > m.options.MaxEntries ||
		m.options.MaxCost > 0 && m.cost > m.options.MaxCost
}

func (m *Map[K, V]) insertByExpiry(n *node[K, V]) {
	after := m.expiry.back
	for after != nil && after.expires > n.expires {
		after = after.links[expiryLink].prev
	}
	m.expiry.insertAfter(after, n)
}

func (m *Map[K, V]) evict(n *node[K, V]) {
	m.unlink(n)
	m.evicted(n.key, n.value)
}

func (m *Map[K, V]) evicted(k K, v V) {
	if m.options.OnEvict != nil {
		m.options.OnEvict(k, v)
	}
}

func (m *Map[K, V]) unlink(n *node[K, V]) {
	delete(m.entries, n.key)
	m.expiry.remove(n)
	m.use.remove(n)
	m.cost -= n.cost
}

// list is a doubly linked list through one of the links of its nodes.
type list[K comparable, V any] struct {
	front, back *node[K, V]
	index       int
}

// insertAfter inserts n behind at, or at the front when at is nil.
func (l *list[K, V]) insertAfter(at, n *node[K, V]) {
	next := l.front
	if at != nil {
		next = at.links[l.index].next
		at.links[l.index].next = n
	} else {
		l.front = n
	}
	if next != nil {
		next.links[l.index].prev = n
	} else {
		l.back = n
	}
	n.links[l.index] = link[K, V]{prev: at, next: next}
}

func (l *list[K, V]) remove(n *node[K, V]) {
	at := n.links[l.index]
	if at.prev != nil {
		at.prev.links[l.index].next = at.next
	} else {
		l.front = at.next
	}
	if at.next != nil {
		at.next.links[l.index].prev = at.prev
	} else {
		l.back = at.prev
	}
	n.links[l.index] = link[K, V]{}
}
