package replica

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Item is one published entry. Its value must not be modified.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
}

// Change is a write or a removal of an entry.
type Change struct {
	Item
	Deleted bool
}

// Snapshot is the whole content at a revision.
type Snapshot struct {
	Revision uint64
	Items    []Item
}

// Options configure a Replica.
type Options struct {
	// Grace is how long removals that are seen around an outage are held back after
	// the platform's return. Zero: removals take effect at once.
	Grace time.Duration
}

// Replica is the copy of one prefix. It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	options  Options
	items    map[string]Item
	held     map[string]bool // removed around an outage, still used
	revision uint64
	loaded   bool
	away     bool
	returned time.Duration // end of the last outage
	outages  int
}

// New returns an empty copy.
func New(o Options) *Replica {
	return &Replica{options: o, items: map[string]Item{}, held: map[string]bool{}}
}

// Load applies a full read and returns what changed. A read that is older than the copy
// changes nothing.
func (r *Replica) Load(now time.Duration, s Snapshot) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && s.Revision < r.revision {
		return nil
	}
	seen := make(map[string]bool, len(s.Items))
	var out []Change
	for _, i := range s.Items {
		seen[i.Key] = true
		out = r.write(out, i)
	}
	for key, old := range r.items {
		if !seen[key] && old.Revision <= s.Revision {
			out = r.remove(out, now, key, s.Revision)
		}
	}
	r.loaded, r.revision = true, s.Revision
	sortChanges(out)
	return out
}

// Apply applies the changes of a watch up to a revision and returns those that took
// effect.
func (r *Replica) Apply(now time.Duration, changes []Change, revision uint64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Change
	for _, c := range changes {
		if c.Deleted {
			if old, ok := r.items[c.Key]; ok && old.Revision < c.Revision {
				out = r.remove(out, now, c.Key, c.Revision)
			}
			continue
		}
		out = r.write(out, c.Item)
	}
	r.revision = max(r.revision, revision)
	return out
}

func (r *Replica) write(out []Change, i Item) []Change {
	old, known := r.items[i.Key]
	if known && old.Revision > i.Revision {
		return out
	}
	delete(r.held, i.Key)
	if known && old.Revision == i.Revision {
		return out
	}
	r.items[i.Key] = i
	return append(out, Change{Item: i})
}

func (r *Replica) remove(out []Change, now time.Duration, key string, revision uint64) []Change {
	if r.away || r.outages > 0 && now < r.returned+r.options.Grace {
		r.held[key] = true
		return out
	}
	delete(r.items, key)
	delete(r.held, key)
	return append(out, Change{Item: Item{Key: key, Revision: revision}, Deleted: true})
}

// Away records that the platform does not answer. It returns true at the beginning of an
// outage.
func (r *Replica) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	began := !r.away
	if began {
		r.away = true
		r.outages++
	}
	return began
}

// Back records that the platform answers. It returns true at the end of an outage.
func (r *Replica) Back(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.away
	if ended {
		r.away, r.returned = false, now
	}
	return ended
}

// Tick returns the removals whose grace has passed.
func (r *Replica) Tick(now time.Duration) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away || len(r.held) == 0 || now < r.returned+r.options.Grace {
		return nil
	}
	var out []Change
	for key := range r.held {
		delete(r.items, key)
		out = append(out, Change{Item: Item{Key: key, Revision: r.revision}, Deleted: true})
	}
	clear(r.held)
	sortChanges(out)
	return out
}

func sortChanges(list []Change) {
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
}

// Revision returns the revision of the copy, and false before the first full read.
func (r *Replica) Revision() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.loaded
}

// IsAway reports whether the platform does not answer.
func (r *Replica) IsAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// Snapshot returns the content in the order of the keys, held removals included.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Revision: r.revision, Items: make([]Item, 0, len(r.items))}
	for _, i := range r.items {
		s.Items = append(s.Items, i)
	}
	slices.SortFunc(s.Items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return s
}
