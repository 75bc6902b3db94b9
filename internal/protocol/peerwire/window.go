package peerwire

import (
	"container/list"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// window remembers the last windowBits sequence numbers of one sender.
type window struct {
	sender membership.Process
	top    uint64
	seen   [windowBits / 64]uint64
}

// accept reports whether seq was not seen before and records it. Numbers that have
// fallen out of the window count as seen.
func (w *window) accept(seq uint64) bool {
	if seq == 0 {
		return false
	}
	if seq > w.top {
		for i := range min(seq-w.top, windowBits) {
			w.clear(seq - i)
		}
		w.top = seq
		w.set(seq)
		return true
	}
	if w.top-seq >= windowBits || w.has(seq) {
		return false
	}
	w.set(seq)
	return true
}

func (w *window) set(n uint64)      { w.seen[n%windowBits/64] |= 1 << (n % 64) }
func (w *window) clear(n uint64)    { w.seen[n%windowBits/64] &^= 1 << (n % 64) }
func (w *window) has(n uint64) bool { return w.seen[n%windowBits/64]&(1<<(n%64)) != 0 }

// windows holds the windows of a bounded number of senders.
type windows struct {
	limit   int
	entries map[membership.Process]*list.Element
	recent  *list.List // most recently heard first
}

func newWindows(limit int) *windows {
	return &windows{limit: limit, entries: map[membership.Process]*list.Element{}, recent: list.New()}
}

func (w *windows) accept(sender membership.Process, seq uint64) bool {
	e := w.entries[sender]
	if e == nil {
		if w.recent.Len() >= w.limit {
			oldest := w.recent.Back()
			delete(w.entries, oldest.Value.(*window).sender)
			w.recent.Remove(oldest)
		}
		e = w.recent.PushFront(&window{sender: sender})
		w.entries[sender] = e
	}
	if !e.Value.(*window).accept(seq) {
		return false
	}
	w.recent.MoveToFront(e)
	return true
}
