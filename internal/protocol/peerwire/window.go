package peerwire

import (
	"container/list"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// replayWindow records which of the last windowBits sequence numbers of a sender were seen.
type replayWindow struct {
	sender  membership.Process
	highest uint64
	seen    [windowBits / 64]uint64
}

// accept records seq and reports whether it is new. Numbers below the window count as seen.
func (w *replayWindow) accept(seq uint64) bool {
	if seq == 0 {
		return false
	}
	if seq > w.highest {
		for i := range min(seq-w.highest, windowBits) {
			w.clear(seq - i)
		}
		w.highest = seq
		w.set(seq)
		return true
	}
	if w.highest-seq >= windowBits || w.has(seq) {
		return false
	}
	w.set(seq)
	return true
}

func (w *replayWindow) set(n uint64)      { w.seen[n%windowBits/64] |= 1 << (n % 64) }
func (w *replayWindow) clear(n uint64)    { w.seen[n%windowBits/64] &^= 1 << (n % 64) }
func (w *replayWindow) has(n uint64) bool { return w.seen[n%windowBits/64]&(1<<(n%64)) != 0 }

// replayWindows holds the replay windows of a bounded number of senders.
type replayWindows struct {
	limit   int
	entries map[membership.Process]*list.Element
	lru     *list.List // most recently active first
}

func newReplayWindows(limit int) *replayWindows {
	return &replayWindows{limit: limit, entries: map[membership.Process]*list.Element{}, lru: list.New()}
}

func (w *replayWindows) accept(sender membership.Process, seq uint64) bool {
	entry := w.entries[sender]
	if entry == nil {
		if w.lru.Len() >= w.limit {
			oldest := w.lru.Back()
			delete(w.entries, oldest.Value.(*replayWindow).sender)
			w.lru.Remove(oldest)
		}
		entry = w.lru.PushFront(&replayWindow{sender: sender})
		w.entries[sender] = entry
	}
	if !entry.Value.(*replayWindow).accept(seq) {
		return false
	}
	w.lru.MoveToFront(entry)
	return true
}
