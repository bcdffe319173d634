// Package queue holds waiting work in the order of its time limits. Adding,
// removing any item and taking the first one cost O(log n).
package queue

// Item is a place in a queue.
type Item[T any] struct {
	Value T
	// At orders the items; of two equal ones the earlier added comes first.
	At     int64
	added  uint64
	index  int
	queued bool
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i != nil && i.queued }

// Queue is a binary heap of items. The zero Queue is empty.
type Queue[T any] struct {
	items []*Item[T]
	added uint64
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// First returns the item with the lowest At, or nil.
func (q *Queue[T]) First() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Add puts an item that is in no queue into this one.
func (q *Queue[T]) Add(i *Item[T]) {
	q.added++
	i.added = q.added
	q.push(i)
}

// Requeue puts an item back that was removed, at its former place among equal
// ones.
func (q *Queue[T]) Requeue(i *Item[T]) { q.push(i) }

func (q *Queue[T]) push(i *Item[T]) {
	i.queued = true
	i.index = len(q.items)
	q.items = append(q.items, i)
	q.siftUp(i.index)
}

// Remove takes an item out. An item that is in no queue is left alone.
func (q *Queue[T]) Remove(i *Item[T]) {
	if !i.Queued() {
		return
	}
	last := len(q.items) - 1
	at := i.index
	q.swap(at, last)
	q.items[last] = nil
	q.items = q.items[:last]
	if at < last {
		q.siftDown(at)
		q.siftUp(at)
	}
	i.queued = false
}

// CountUpTo returns the number of items that an item with the given At would
// wait for, at most limit. It visits no more than 2 × limit + 1 items.
func (q *Queue[T]) CountUpTo(at int64, limit int) int {
	return q.countUntil(0, at, limit)
}

func (q *Queue[T]) countUntil(i int, at int64, limit int) int {
	if limit <= 0 || i >= len(q.items) || q.items[i].At > at {
		return 0
	}
	n := 1
	n += q.countUntil(2*i+1, at, limit-n)
	n += q.countUntil(2*i+2, at, limit-n)
	return n
}

func (q *Queue[T]) less(a, b int) bool {
	x, y := q.items[a], q.items[b]
	if x.At != y.At {
		return x.At < y.At
	}
	return x.added < y.added
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
		least := 2*i + 1
		if least >= len(q.items) {
			return
		}
		if right := least + 1; right < len(q.items) && q.less(right, least) {
			least = right
		}
		if !q.less(least, i) {
			return
		}
		q.swap(i, least)
		i = least
	}
}
