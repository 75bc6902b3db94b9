package replica

import (
	"slices"
	"sync"
)

// Recent holds the last changes of a replica, so that a peer that is a little behind needs no snapshot. It is
// safe for concurrent use.
type Recent struct {
	maxBytes int

	mu      sync.Mutex
	from    Position // the changes are complete after it
	to      Position
	changes []Change // in order of revision
	bytes   int
}

// maxKeptVersionBytes is the size from which a change to an entry replaces the one before: of a large entry, the
// configuration, only the newest version matters, while small ones, of upstreams, also show what came and went.
const maxKeptVersionBytes = 4 << 10

// changeOverhead is the memory of a change beside its key and value.
const changeOverhead = 64

// NewRecent returns an empty Recent that holds at most maxBytes of keys and values.
func NewRecent(maxBytes int) *Recent { return &Recent{maxBytes: maxBytes} }

// Reset forgets all changes: the replica was read in full at a position.
func (r *Recent) Reset(position Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.from, r.to, r.changes, r.bytes = position, position, nil, 0
}

// Add adds the changes between the last position and a new one. If they do not follow the last position,
// what was held is forgotten. Changes up to the last position have no effect, as in [Replica.ApplyChanges].
func (r *Recent) Add(after Position, changes []Change, position Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after != r.to || position.Era != after.Era {
		r.from, r.changes, r.bytes = after, nil, 0
	}
	r.to = position
	for _, c := range changes {
		if position.Era == after.Era && c.Revision <= after.Revision {
			continue // of two reads that overlap; repeated, it would undo a later removal
		}
		if len(c.Value) > maxKeptVersionBytes {
			r.drop(c.Key)
		}
		r.changes = append(r.changes, c)
		r.bytes += size(c)
	}
	for r.bytes > r.maxBytes {
		dropped := r.changes[0]
		r.from = Position{Era: r.from.Era, Revision: dropped.Revision}
		r.changes, r.bytes = r.changes[1:], r.bytes-size(dropped)
	}
}

// drop forgets the changes to an entry. The caller must hold mu.
func (r *Recent) drop(key string) {
	r.changes = slices.DeleteFunc(r.changes, func(c Change) bool {
		if c.Key == key {
			r.bytes -= size(c)
		}
		return c.Key == key
	})
}

func size(c Change) int { return len(c.Key) + len(c.Value) + changeOverhead }

// After returns the changes after a position and the position up to which they are complete. ok is false if
// they are not all held.
func (r *Recent) After(position Position) (changes []Change, to Position, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if position.Era != r.from.Era || position.Compare(r.from) < 0 {
		return nil, Position{}, false
	}
	for _, c := range r.changes {
		if c.Revision > position.Revision {
			changes = append(changes, c)
		}
	}
	return changes, r.to, true
}
