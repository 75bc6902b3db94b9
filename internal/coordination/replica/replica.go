package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one published entry. Value must not be modified.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change to the entry
}

// Change is the write or the removal of an entry.
type Change struct {
	Item
	Deleted bool
}

// Snapshot is the complete content of a prefix at a revision.
type Snapshot struct {
	Revision uint64
	Items    []Item
}

// Options configure a Replica.
type Options struct {
	// GracePeriod is the time after an outage of the platform during which removals are
	// deferred. With zero, removals take effect as soon as the platform is available.
	GracePeriod time.Duration
}

// Replica is a local copy of one prefix. It is safe for concurrent use.
type Replica struct {
	mu               sync.Mutex
	options          Options
	items            map[string]Item
	deferredRemovals map[string]bool // removed around an outage, still in items
	revision         uint64
	loaded           bool
	unavailable      bool
	availableSince   time.Duration // end of the last outage
	outages          int
}

// New returns an empty Replica.
func New(opts Options) *Replica {
	return &Replica{options: opts, items: map[string]Item{}, deferredRemovals: map[string]bool{}}
}

// ApplySnapshot applies a full read and returns the changes that took effect. A snapshot
// that is older than the replica has no effect.
func (r *Replica) ApplySnapshot(now time.Duration, snapshot Snapshot) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && snapshot.Revision < r.revision {
		return nil
	}
	seen := make(map[string]bool, len(snapshot.Items))
	var applied []Change
	for _, item := range snapshot.Items {
		seen[item.Key] = true
		applied = r.put(applied, item)
	}
	for key, old := range r.items {
		if !seen[key] && old.Revision <= snapshot.Revision {
			applied = r.remove(applied, now, key, snapshot.Revision)
		}
	}
	r.loaded, r.revision = true, snapshot.Revision
	sortChanges(applied)
	return applied
}

// ApplyChanges applies the changes that a watch has returned up to a revision, and returns
// those that took effect.
func (r *Replica) ApplyChanges(now time.Duration, changes []Change, revision uint64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []Change
	for _, c := range changes {
		if c.Deleted {
			if old, ok := r.items[c.Key]; ok && old.Revision < c.Revision {
				applied = r.remove(applied, now, c.Key, c.Revision)
			}
			continue
		}
		applied = r.put(applied, c.Item)
	}
	r.revision = max(r.revision, revision)
	return applied
}

func (r *Replica) put(applied []Change, item Item) []Change {
	old, known := r.items[item.Key]
	if known && old.Revision > item.Revision {
		return applied
	}
	delete(r.deferredRemovals, item.Key)
	if known && old.Revision == item.Revision {
		return applied
	}
	r.items[item.Key] = item
	return append(applied, Change{Item: item})
}

func (r *Replica) remove(applied []Change, now time.Duration, key string, revision uint64) []Change {
	if r.unavailable || r.outages > 0 && now < r.availableSince+r.options.GracePeriod {
		r.deferredRemovals[key] = true
		return applied
	}
	delete(r.items, key)
	delete(r.deferredRemovals, key)
	return append(applied, Change{Item: Item{Key: key, Revision: revision}, Deleted: true})
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
		delete(r.items, key)
		applied = append(applied, Change{Item: Item{Key: key, Revision: r.revision}, Deleted: true})
	}
	clear(r.deferredRemovals)
	sortChanges(applied)
	return applied
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Revision returns the revision of the replica, and false before the first snapshot.
func (r *Replica) Revision() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.loaded
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
	snapshot := Snapshot{Revision: r.revision, Items: make([]Item, 0, len(r.items))}
	for _, item := range r.items {
		if !r.deferredRemovals[item.Key] {
			snapshot.Items = append(snapshot.Items, item)
		}
	}
	slices.SortFunc(snapshot.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot
}
