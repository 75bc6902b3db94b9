package replica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Position is a place in the history of the platform. A platform that comes back from an older copy
// begins a new era, in which it gives revisions out again.
type Position struct {
	Era      uint64 `json:"era"` // 0 if the platform has not stated one
	Revision uint64 `json:"revision"`
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Item is one published entry. Value must not be modified.
type Item struct {
	Key      string
	Value    []byte
	Era      uint64 `msgpack:",omitempty"` // in which the platform showed the entry
	Revision uint64 // of the last change to the entry
}

// Position returns the place of the last change to the entry.
func (i Item) Position() Position { return Position{Era: i.Era, Revision: i.Revision} }

// Change is the write or the removal of an entry.
type Change struct {
	Item
	Deleted bool
}

// EntryState names an entry as of its last change.
type EntryState struct {
	Key           string
	Era, Revision uint64 // of the last change
}

// Snapshot is the complete content of a prefix at a position.
type Snapshot struct {
	Era      uint64 `msgpack:",omitempty"`
	Revision uint64
	Items    []Item
}

// Position returns the place of the snapshot.
func (s Snapshot) Position() Position { return Position{Era: s.Era, Revision: s.Revision} }

// Holds reports whether the snapshot has the entry in the same state.
func (s Snapshot) Holds(item *Item) bool {
	return slices.ContainsFunc(s.Items, func(i Item) bool { return i.Key == item.Key && i.Position() == item.Position() })
}

// Options configure a Replica.
type Options struct {
	// GracePeriod is the time after an outage of the platform during which removals are
	// deferred. With zero, removals take effect as soon as the platform is available.
	GracePeriod time.Duration
	// IsOlder decides whether item, which the older copy of a new era holds, is an older state of
	// its entry than held, which this replica has; nil if the entry had been removed. Such an item
	// takes effect only when it is written again. Nil means that no item is.
	IsOlder func(held *Item, item Item) bool
}

// Replica is a local copy of one prefix. It is safe for concurrent use.
type Replica struct {
	mu               sync.Mutex
	options          Options
	items            map[string]Item
	deferredRemovals map[string]bool     // removed around an outage, still in items
	newlyDeferred    []Change            // removals deferred since the last call of TakeDeferred
	removed          map[string]Position // entries that were removed, with the place of their last change
	withheld         map[string]Position // entries of an older copy that wait until they are written again
	position         Position
	loaded           bool
	unavailable      bool
	availableSince   time.Duration // end of the last outage
	outages          int
}

// New returns an empty Replica.
func New(opts Options) *Replica {
	return &Replica{options: opts, items: map[string]Item{}, deferredRemovals: map[string]bool{}, removed: map[string]Position{}, withheld: map[string]Position{}}
}

// maxRemoved bounds the removed entries that are remembered. If there are more, all are forgotten.
const maxRemoved = 4096

// ApplySnapshot applies a full read and returns the changes that took effect. A snapshot
// that is older than the replica has no effect. The first one of a new era counts as the end of an
// outage.
func (r *Replica) ApplySnapshot(now time.Duration, snapshot Snapshot) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot.Era == 0 {
		snapshot.Era = r.position.Era
	}
	if r.loaded && snapshot.Position().Compare(r.position) < 0 {
		return nil
	}
	if r.loaded && snapshot.Era > r.position.Era {
		r.outages++
		r.availableSince = now
		clear(r.withheld)
	}
	seen := make(map[string]bool, len(snapshot.Items))
	var applied []Change
	for _, item := range snapshot.Items {
		seen[item.Key] = true
		if item.Era == 0 {
			item.Era = snapshot.Era
		}
		if !r.withhold(item) {
			applied = r.put(applied, item)
		}
	}
	for key, old := range r.items {
		if !seen[key] && old.Position().Compare(snapshot.Position()) <= 0 {
			applied = r.remove(applied, now, key, snapshot.Revision)
		}
	}
	r.loaded, r.position = true, snapshot.Position()
	sortChanges(applied)
	return applied
}

// withhold reports whether an item of a snapshot is an older state that must not take effect.
func (r *Replica) withhold(item Item) bool {
	if r.options.IsOlder == nil {
		return false
	}
	held, known := r.items[item.Key]
	position, before := r.removed[item.Key]
	var older bool
	switch {
	case known:
		older = held.Era < item.Era && held.Revision > item.Revision && r.options.IsOlder(&held, item)
	case before:
		older = position.Era < item.Era && position.Revision > item.Revision && r.options.IsOlder(nil, item)
	}
	if older {
		r.withheld[item.Key] = item.Position()
		delete(r.deferredRemovals, item.Key)
	}
	return older
}

// ApplyChanges applies the changes that a watch has returned up to a position, and returns
// those that took effect. Changes up to the position of the replica have no effect: a copy that arrived during the
// watch already reflects them, and what was removed after them.
func (r *Replica) ApplyChanges(now time.Duration, changes []Change, position Position) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []Change
	for _, c := range changes {
		c.Era = position.Era
		if c.Position().Compare(r.position) <= 0 {
			continue
		}
		if withheld, ok := r.withheld[c.Key]; ok && c.Position().Compare(withheld) <= 0 {
			continue
		}
		if c.Deleted {
			if old, ok := r.items[c.Key]; ok && old.Position().Compare(c.Position()) < 0 {
				applied = r.remove(applied, now, c.Key, c.Revision)
			}
			continue
		}
		applied = r.put(applied, c.Item)
	}
	if position.Compare(r.position) > 0 {
		r.position = position
	}
	return applied
}

func (r *Replica) put(applied []Change, item Item) []Change {
	old, known := r.items[item.Key]
	if known && old.Position().Compare(item.Position()) > 0 {
		return applied
	}
	delete(r.deferredRemovals, item.Key)
	delete(r.removed, item.Key)
	delete(r.withheld, item.Key)
	unchanged := known && old.Revision == item.Revision && (old.Era == item.Era || bytes.Equal(old.Value, item.Value))
	r.items[item.Key] = item
	if unchanged {
		return applied
	}
	return append(applied, Change{Item: item})
}

func (r *Replica) remove(applied []Change, now time.Duration, key string, revision uint64) []Change {
	if r.unavailable || r.outages > 0 && now < r.availableSince+r.options.GracePeriod {
		if !r.deferredRemovals[key] {
			r.newlyDeferred = append(r.newlyDeferred, Change{Item: Item{Key: key, Revision: revision}, Deleted: true})
		}
		r.deferredRemovals[key] = true
		return applied
	}
	r.forget(key, revision)
	return append(applied, Change{Item: Item{Key: key, Revision: revision}, Deleted: true})
}

// forget deletes an entry and remembers that it was removed at the revision.
func (r *Replica) forget(key string, revision uint64) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[key] = Position{Era: r.position.Era, Revision: revision}
	delete(r.items, key)
	delete(r.deferredRemovals, key)
	delete(r.withheld, key)
}

// TakeDeferred returns the removals that were deferred since the last call.
func (r *Replica) TakeDeferred() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	deferred := r.newlyDeferred
	r.newlyDeferred = nil
	sortChanges(deferred)
	return deferred
}

// MarkUnavailable records that the platform does not answer. It returns true at the start
// of an outage.
func (r *Replica) MarkUnavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := !r.unavailable
	if began {
		r.unavailable = true
		r.outages++
	}
	return began
}

// MarkAvailable records that the platform answers. It returns true at the end of an
// outage.
func (r *Replica) MarkAvailable(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.unavailable
	if ended {
		r.unavailable, r.availableSince = false, now
	}
	return ended
}

// LastOutage returns when the last outage of the platform ended, which is now during one; false if there was
// none.
func (r *Replica) LastOutage(now time.Duration) (endedAt time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable {
		return now, true
	}
	return r.availableSince, r.outages > 0
}

// RecordOutage records an outage of the platform that a peer has noticed and that ended at a time.
func (r *Replica) RecordOutage(endedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outages == 0 || endedAt > r.availableSince {
		r.outages++
		r.availableSince = endedAt
	}
}

// ApplyDueRemovals applies and returns the deferred removals once the grace period has
// passed.
func (r *Replica) ApplyDueRemovals(now time.Duration) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unavailable || len(r.deferredRemovals) == 0 || now < r.availableSince+r.options.GracePeriod {
		return nil
	}
	var applied []Change
	for key := range r.deferredRemovals {
		r.forget(key, r.position.Revision)
		applied = append(applied, Change{Item: Item{Key: key, Revision: r.position.Revision}, Deleted: true})
	}
	sortChanges(applied)
	return applied
}

// Deferred returns the entries whose removal is deferred, sorted by key and at most limit of them.
func (r *Replica) Deferred(limit int) []EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var states []EntryState
	for _, key := range slices.Sorted(maps.Keys(r.deferredRemovals)) {
		if len(states) == limit {
			break
		}
		item := r.items[key]
		states = append(states, EntryState{Key: key, Era: item.Era, Revision: item.Revision})
	}
	return states
}

// Removed returns those of the entries whose removal, after the state that is asked for, has taken effect here.
// An entry that this replica never had, or whose removal it defers itself, is none of them.
func (r *Replica) Removed(asked []EntryState) []EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	var removed []EntryState
	for _, state := range asked {
		at, ok := r.removed[state.Key]
		_, held := r.items[state.Key]
		if ok && !held && at.Compare(Position{Era: state.Era, Revision: state.Revision}) > 0 {
			removed = append(removed, state)
		}
	}
	return removed
}

// ConfirmRemovals applies and returns the deferred removals that have taken effect at a peer. An entry that has been
// written since it was asked for stays.
func (r *Replica) ConfirmRemovals(confirmed []EntryState) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []Change
	for _, state := range confirmed {
		item := r.items[state.Key]
		if !r.deferredRemovals[state.Key] || item.Era != state.Era || item.Revision != state.Revision {
			continue
		}
		r.forget(state.Key, r.position.Revision)
		applied = append(applied, Change{Item: Item{Key: state.Key, Revision: r.position.Revision}, Deleted: true})
	}
	sortChanges(applied)
	return applied
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Position returns the position of the replica, and false before the first snapshot.
func (r *Replica) Position() (Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.loaded
}

// Pending returns the numbers of entries whose removal is deferred, and of entries of an older copy that
// wait until they are written again.
func (r *Replica) Pending() (deferred, withheld int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.deferredRemovals), len(r.withheld)
}

// Unavailable reports whether an outage of the platform is in progress.
func (r *Replica) Unavailable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unavailable
}

// Snapshot returns the content sorted by key, without entries whose removal is deferred: each
// reader of the copy defers their removal by its own outages.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Snapshot{Era: r.position.Era, Revision: r.position.Revision, Items: make([]Item, 0, len(r.items))}
	for _, item := range r.items {
		if !r.deferredRemovals[item.Key] {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot
}
