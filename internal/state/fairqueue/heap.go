package fairqueue

import "container/heap"

// Heap is an indexed priority queue: it reports the position of each element, so that any
// element can be removed in O(log n). It is not safe for concurrent use.
type Heap[T any] struct {
	items heapItems[T]
}

// NewHeap returns an empty heap. The heap calls onMove with the new position of an element
// whenever it changes, and with -1 when the element is removed.
func NewHeap[T any](less func(a, b T) bool, onMove func(x T, position int)) *Heap[T] {
	return &Heap[T]{items: heapItems[T]{less: less, onMove: onMove}}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items.elements) }

// Min returns the smallest element. The heap must not be empty.
func (h *Heap[T]) Min() T { return h.items.elements[0] }

// Add inserts x.
func (h *Heap[T]) Add(x T) { heap.Push(&h.items, x) }

// Remove removes the element at a position.
func (h *Heap[T]) Remove(position int) { heap.Remove(&h.items, position) }

// Fix restores the heap order after a change of the element at a position.
func (h *Heap[T]) Fix(position int) { heap.Fix(&h.items, position) }

// heapItems implements heap.Interface.
type heapItems[T any] struct {
	elements []T
	less     func(a, b T) bool
	onMove   func(x T, position int)
}

func (s *heapItems[T]) Len() int           { return len(s.elements) }
func (s *heapItems[T]) Less(i, j int) bool { return s.less(s.elements[i], s.elements[j]) }

func (s *heapItems[T]) Swap(i, j int) {
	s.elements[i], s.elements[j] = s.elements[j], s.elements[i]
	s.onMove(s.elements[i], i)
	s.onMove(s.elements[j], j)
}

func (s *heapItems[T]) Push(x any) {
	s.elements = append(s.elements, x.(T))
	s.onMove(x.(T), len(s.elements)-1)
}

func (s *heapItems[T]) Pop() any {
	var zero T
	last := len(s.elements) - 1
	x := s.elements[last]
	s.elements[last] = zero
	s.elements = s.elements[:last]
	s.onMove(x, -1)
	return x
}
