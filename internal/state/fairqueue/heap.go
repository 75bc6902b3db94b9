package fairqueue

import "container/heap"

// Heap is a priority queue whose elements know their position, so that any of
// them can be removed in O(log n). It is not safe for concurrent use.
type Heap[T any] struct {
	store heapStore[T]
}

// NewHeap returns an empty heap. moved is told the position of an element
// whenever it changes, and -1 when the element leaves.
func NewHeap[T any](less func(a, b T) bool, moved func(x T, position int)) *Heap[T] {
	return &Heap[T]{store: heapStore[T]{less: less, moved: moved}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.store.items) }

// Min returns the least element. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.store.items[0] }

// Add inserts x.
func (h *Heap[T]) Add(x T) { heap.Push(&h.store, x) }

// Remove deletes the element at a position.
func (h *Heap[T]) Remove(position int) { heap.Remove(&h.store, position) }

// Fix restores the order after the element at a position changed.
func (h *Heap[T]) Fix(position int) { heap.Fix(&h.store, position) }

// heapStore implements heap.Interface.
type heapStore[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(x T, position int)
}

func (s *heapStore[T]) Len() int           { return len(s.items) }
func (s *heapStore[T]) Less(i, j int) bool { return s.less(s.items[i], s.items[j]) }

func (s *heapStore[T]) Swap(i, j int) {
	s.items[i], s.items[j] = s.items[j], s.items[i]
	s.moved(s.items[i], i)
	s.moved(s.items[j], j)
}

func (s *heapStore[T]) Push(x any) {
	s.items = append(s.items, x.(T))
	s.moved(x.(T), len(s.items)-1)
}

func (s *heapStore[T]) Pop() any {
	var zero T
	last := len(s.items) - 1
	x := s.items[last]
	s.items[last] = zero
	s.items = s.items[:last]
	s.moved(x, -1)
	return x
}
