// Package queue implements a priority queue ordered by time. Adding an item and
// removing any item take O(log n) time.
package queue

// Item is an element of a queue.
type Item[T any] struct {
	Value T
	// At is the time by which items are ordered, lowest first. Items with the
	// same time are ordered by when they were added. At must not change while
	// the item is queued.
	At       int64
	sequence uint64
	index    int
	queued   bool
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i != nil && i.queued }

// Queue is a binary heap of items. The zero Queue is empty.
type Queue[T any] struct {
	items    []*Item[T]
	sequence uint64
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// First returns the item with the lowest At, or nil if the queue is empty.
func (q *Queue[T]) First() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Add adds an item, which must not be in a queue.
func (q *Queue[T]) Add(i *Item[T]) {
	q.sequence++
	i.sequence = q.sequence
	q.push(i)
}

// Requeue adds an item that was removed before. Among items with the same At it
// keeps its former position.
func (q *Queue[T]) Requeue(i *Item[T]) { q.push(i) }

func (q *Queue[T]) push(i *Item[T]) {
	i.queued = true
	i.index = len(q.items)
	q.items = append(q.items, i)
	q.siftUp(i.index)
}

// Remove removes an item. It does nothing if the item is not queued.
func (q *Queue[T]) Remove(i *Item[T]) {
	if !i.Queued() {
		return
	}
	last := len(q.items) - 1
	index := i.index
	q.swap(index, last)
	q.items[last] = nil
	q.items = q.items[:last]
	if index < last {
		q.siftDown(index)
		q.siftUp(index)
	}
	i.queued = false
}

// CountUpTo returns the number of items whose At is not greater than at, which
// is the number of items that would precede a new item with that At. The result
// is at most limit; at most 2 × limit + 1 items are visited.
func (q *Queue[T]) CountUpTo(at int64, limit int) int {
	return q.countUpTo(0, at, limit)
}

func (q *Queue[T]) countUpTo(i int, at int64, limit int) int {
	if limit <= 0 || i >= len(q.items) || q.items[i].At > at {
		return 0
	}
	n := 1
	n += q.countUpTo(2*i+1, at, limit-n)
	n += q.countUpTo(2*i+2, at, limit-n)
	return n
}

func (q *Queue[T]) less(a, b int) bool {
	x, y := q.items[a], q.items[b]
	if x.At != y.At {
		return x.At < y.At
	}
	return x.sequence < y.sequence
}

func (q *Queue[T]) swap(a, b int) {
	q.items[a], q.items[b] = q.items[b], q.items[a]
	q.items[a].index = a
	q.items[b].index = b
}

func (q *Queue[T]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) siftDown(i int) {
	for {
		smallest := 2*i + 1
		if smallest >= len(q.items) {
			return
		}
		if right := smallest + 1; right < len(q.items) && q.less(right, smallest) {
			smallest = right
		}
		if !q.less(smallest, i) {
			return
		}
		q.swap(i, smallest)
		i = smallest
	}
}
